"""Entries run as child processes and controlled by signals."""

import asyncio
import contextlib
import ctypes
import os
import pathlib
import signal
import subprocess
import sys

import aiohttp

from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.utils.tests import free_ports

__all__ = ["EntryProcess"]

START_TIMEOUT_S = 30.0
GRACE_S = 6
# From linux/prctl.h.
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None, use_errno=True)


class EntryProcess:
    """An entry in a child process; signals only the process it started.

    Attributes:
        name: Name of the entry.
        host: Loopback address used by this entry only.
        front: Port for callers.
        ready: Port for readiness checks.
        inner: Port for other entries, the same for all entries; tunnels use
            the next port.
        control: Port for metrics.
        module: Module that the process runs.
        environment: Environment variables added to those of this process.
        settings_path: Settings file.
        log_path: File that receives standard output and error.

    Args:
        name: Name of the entry.
        host: Loopback address used by this entry only.
        inner: Port for other entries.
        folder: Directory for the settings file and the log.
    """

    def __init__(self, name: str, host: str, inner: int, folder: pathlib.Path):
        self.name = name
        self.host = host
        self.inner = inner
        self.front, self.ready, self.control = [
            port
            for port in free_ports.find_ports(5)
            if port not in (inner, inner + 1)
        ][:3]
        self.module = "fuchsiabarrow"
        self.environment: dict[str, str] = {}
        self.log_path = folder / f"{name}.log"
        self.settings_path = folder / f"{name}.conf"
        self._process: subprocess.Popen | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Writes the settings file."""
        text = entry_harness.SETTINGS.format(
            front=self.front,
            ready=self.ready,
            control=self.control,
            inner=self.inner,
            store="STORE",
            grace_s=GRACE_S,
        )
        text = text.replace("node_name=entry-1", f"node_name={self.name}")
        text = text.replace(
            f"internal_ports={self.inner},{self.inner}",
            f"internal_ports={self.inner},{self.inner + 1}",
        )
        text = text.replace("127.0.0.1", self.host).replace("STORE", store)
        lines = [x for x in text.splitlines() if not x.startswith("seeds=")]
        seed_addresses = ",".join(f"{seed}:{self.control}" for seed in seeds)
        self.settings_path.write_text(
            "\n".join([*lines, f"seeds={seed_addresses}\n"])
        )

    @property
    def pid(self) -> int:
        """Process id of the child."""
        return self._process.pid

    def start(self) -> None:
        """Starts the process."""
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", self.module, "route"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    **self.environment,
                    "FUCHSIABARROW_SETTINGS": str(self.settings_path),
                },
                preexec_fn=_end_with_parent,
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_exit(self, limit_s: float) -> int | None:
        """Waits for the exit status; returns None after the time limit."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                while self._process.poll() is None:
                    await asyncio.sleep(0.02)
        return self._process.poll()

    async def wait_ready(self, session: aiohttp.ClientSession) -> bool:
        """Waits for readiness; False if the process exits or time runs out."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self.is_ready(session):
                    if self._process.poll() is not None:
                        return False
                    await asyncio.sleep(0.05)
        except TimeoutError:
            return False
        return True

    def get_exit_status(self) -> int | None:
        """Returns the exit status, None while the process is running."""
        return self._process.poll()

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Returns whether the readiness check of the entry succeeds."""
        url = f"http://{self.host}:{self.ready}/ready"
        limit = aiohttp.ClientTimeout(total=0.5)
        try:
            async with session.get(url, timeout=limit) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def close(self) -> None:
        """Kills the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


def _end_with_parent() -> None:
    """Ends this process when the one that started it is killed.

    It would go on using its addresses beside the next run.
    """
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
