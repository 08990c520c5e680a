"""Entries as processes, stopped and started by signals."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys

import aiohttp

from fuchsiabarrow.platform.tests import worlds
from fuchsiabarrow.utils.tests import ports

__all__ = ["EntryProcess"]

START_LIMIT_S = 30.0
GRACE_S = 6


class EntryProcess:
    """One entry; ends only the processes that it started.

    Attributes:
        name: Name of the entry.
        host: Loopback address of its own.
        front: Port for callers.
        ready: Port for readiness checks.
        inner: Port for other entries, the same for all.
        settings_path: Its settings file.
        log_path: What it writes.

    Args:
        name: Name of the entry.
        host: Loopback address of its own.
        inner: Port for other entries.
        folder: Folder for settings and log.
    """

    def __init__(self, name: str, host: str, inner: int, folder: pathlib.Path):
        self.name = name
        self.host = host
        self.inner = inner
        self.front, self.ready, self.control = ports.find_ports(3)
        self.log_path = folder / f"{name}.log"
        self.settings_path = folder / f"{name}.conf"
        self._process: subprocess.Popen | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Writes the settings file."""
        text = worlds.SETTINGS.format(
            front=self.front,
            ready=self.ready,
            control=self.control,
            inner=self.inner,
            store="STORE",
            grace_s=GRACE_S,
        )
        text = text.replace("node_name=entry-1", f"node_name={self.name}")
        text = text.replace("127.0.0.1", self.host).replace("STORE", store)
        lines = [x for x in text.splitlines() if not x.startswith("seeds=")]
        told = ",".join(f"{seed}:{self.control}" for seed in seeds)
        self.settings_path.write_text("\n".join([*lines, f"seeds={told}\n"]))

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def start(self) -> None:
        """Starts the process."""
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "fuchsiabarrow", "route"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "FUCHSIABARROW_SETTINGS": str(self.settings_path),
                },
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_exit(self, limit_s: float) -> int | None:
        """Returns the exit status, None if it still runs after the limit."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self._process.poll() is None:
                    await asyncio.sleep(0.02)
        return self._process.poll()

    async def wait_ready(self, session: aiohttp.ClientSession) -> bool:
        """Returns whether the entry can serve callers in time after a start."""
        try:
            async with asyncio.timeout(START_LIMIT_S):
                while not await self.is_ready(session):
                    if self._process.poll() is not None:
                        return False
                    await asyncio.sleep(0.05)
        except TimeoutError:
            return False
        return True

    def get_status(self) -> int | None:
        """Returns the exit status, None while the process runs."""
        return self._process.poll()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Returns whether the entry says that it can serve callers."""
        url = f"http://{self.host}:{self.ready}/ready"
        limit = aiohttp.ClientTimeout(total=0.5)
        try:
            async with session.get(url, timeout=limit) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def close(self) -> None:
        """Ends the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()
