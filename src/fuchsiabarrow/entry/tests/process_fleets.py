"""Runs entries and stand-ins as child processes for the length of a test."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time

import aiohttp
import msgspec

from fuchsiabarrow.configuration import documents
from fuchsiabarrow.ports import instances
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines

START_TIMEOUT_S = 30.0
POLL_S = 0.02


class Process:
    """A child process, with its output in files named after ``path``.

    Attributes:
        path: Path of the output files without their suffix: ``.out`` for
            standard output, ``.err`` for standard error.
        address: ``ip:port`` that the process serves, empty until known.
        operator_address: ``ip:port`` for operators, empty until known.
        child: Handle of the process.
    """

    def __init__(self, path: pathlib.Path, *arguments: str):
        self.path = path
        self.address = ""
        self.operator_address = ""
        self._out = open(f"{path}.out", "wb")
        self._err = open(f"{path}.err", "wb")
        self.child = subprocess.Popen(
            [sys.executable, "-m", "fuchsiabarrow", *arguments],
            stdout=self._out,
            stderr=self._err,
        )

    def read_log(self) -> str:
        return pathlib.Path(f"{self.path}.err").read_text()

    def wait_for(self, suffix: str, text: str) -> str:
        """Waits until the process writes a line that contains a text.

        Args:
            suffix: Output file to read: ``out`` or ``err``.
            text: Text in the line.

        Returns:
            The line, without surrounding whitespace.
        """
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            output = pathlib.Path(f"{self.path}.{suffix}").read_text()
            for line in output.splitlines(keepends=True):
                if text in line and line.endswith("\n"):
                    return line.strip()
            assert self.child.poll() is None, self.read_log()
            time.sleep(POLL_S)
        raise AssertionError(
            f"{self.path}.{suffix}: no line with {text!r} within"
            f" {START_TIMEOUT_S} s: {self.read_log()}"
        )

    def send(self, signal_number: signal.Signals) -> None:
        self.child.send_signal(signal_number)

    def wait_exit(self, timeout_s: float) -> int:
        return self.child.wait(timeout_s)

    def kill(self) -> None:
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()
        self._out.close()
        self._err.close()


class Fleet:
    """Starts the stand-ins and entries of a test, each in its own process.

    Leaving the context kills all processes.
    """

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.processes: dict[str, Process] = {}

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *details) -> None:
        for process in self.processes.values():
            process.kill()

    def start_standin(self, name: str, kind: str, *arguments: str) -> Process:
        process = Process(self.folder / name, f"standin-{kind}", *arguments)
        self.processes[name] = process
        return process

    def start_platform(self) -> None:
        for name in ("objects", "instances", "service"):
            self.start_standin(name, name)
        for name in ("objects", "instances", "service"):
            process = self.processes[name]
            process.address = process.wait_for("out", ":")

    def start_engines(
        self, profiles: tuple[engines.EngineProfile, ...]
    ) -> None:
        for profile in profiles:
            options = []
            for field in (
                "instance_id",
                "model",
                "first_layer",
                "end_layer",
                "batch_s",
                "position_s",
                "link_s",
            ):
                flag = "--" + field.replace("_", "-")
                options += [flag, str(getattr(profile, field))]
            self.start_standin(profile.instance_id, "engine", *options)
        for profile in profiles:
            process = self.processes[profile.instance_id]
            process.address = process.wait_for("out", ":")

    def start_entries(self, *names: str, extra_settings: str = "") -> None:
        for name in names:
            path = self.folder / f"{name}.toml"
            path.write_text(self._make_settings(name) + extra_settings)
            process = Process(
                self.folder / name, "entry", "--settings", str(path)
            )
            self.processes[name] = process
        for name in names:
            process = self.processes[name]
            line = process.wait_for("err", "event=started")
            fields = dict(p.split("=", 1) for p in line.split(" ") if "=" in p)
            process.address = fields["callers"]
            process.operator_address = fields["operators"]

    def _make_settings(self, name: str) -> str:
        return f"""
[entry]
name = "{name}"
caller_address = "127.0.0.1:0"
operator_address = "127.0.0.1:0"
region = "tt-north"
stop_limit_s = 5.0

[platform]
objects_address = "{self.processes["objects"].address}"
instances_address = "{self.processes["instances"].address}"

[operators]
bootstrap_key_sha256 = "{documents.hash_key(clusters.OPERATOR_KEY)}"
"""

    def get_addresses(self, *names: str) -> list[str]:
        return [self.processes[name].address for name in names]


async def register_instances(
    session: aiohttp.ClientSession,
    fleet: Fleet,
    profiles: tuple[engines.EngineProfile, ...],
) -> None:
    """Adds the engines and the plain service to the instance list."""
    descriptions = [
        clusters.make_engine_instance(p, fleet.processes[p.instance_id].address)
        for p in profiles
    ]
    service = fleet.processes["service"].address
    descriptions.append(
        instances.Instance("w-1", service, "service", clusters.SERVICE)
    )
    for instance in descriptions:
        await put_instance(session, fleet, instance)


async def put_instance(session, fleet, instance) -> None:
    url = f"http://{fleet.processes['instances'].address}/instances"
    async with session.put(url, data=msgspec.json.encode(instance)) as answer:
        assert answer.status == 204


async def set_faults(session, process: Process, **faults) -> None:
    url = f"http://{process.address}/faults"
    async with session.post(url, json=faults) as answer:
        assert answer.status == 200


async def read_json(session, process: Process, path: str):
    async with session.get(f"http://{process.address}{path}") as answer:
        return msgspec.json.decode(await answer.read())


async def patch(session, process: Process, number: int, document: dict):
    async with session.patch(
        f"http://{process.operator_address}/v1/configuration",
        json=document,
        headers={
            "Authorization": f"Bearer {clusters.OPERATOR_KEY}",
            "If-Match": f'"{number}"',
        },
    ) as answer:
        return answer.status, msgspec.json.decode(await answer.read())


async def wait_ready(session, fleet: Fleet, *names: str) -> None:
    """Waits until entries are ready, that is, have a configuration."""
    async with asyncio.timeout(START_TIMEOUT_S):
        for name in names:
            url = f"http://{fleet.processes[name].address}/readyz"
            while True:
                async with session.get(url) as answer:
                    if answer.status == 200:
                        break
                await asyncio.sleep(POLL_S)


async def start_fleet(
    session: aiohttp.ClientSession,
    fleet: Fleet,
    profiles: tuple[engines.EngineProfile, ...],
    entries: tuple[str, ...],
    guard: str = "none",
    extra_settings: str = "",
) -> None:
    """Starts the stand-ins and entries and stores the first configuration."""
    fleet.start_platform()
    fleet.start_engines(profiles)
    await register_instances(session, fleet, profiles)
    fleet.start_entries(*entries, extra_settings=extra_settings)
    first = fleet.processes[entries[0]]
    status, _ = await patch(
        session, first, 0, clusters.make_configuration(guard)
    )
    assert status == 200
    await wait_ready(session, fleet, *entries)


def read_descriptors(pid: int) -> list[str]:
    """Returns the targets of a process's open file descriptors.

    Descriptors that are closed during the read are left out.
    """
    links = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            links.append(os.readlink(f"/proc/{pid}/fd/{name}"))
        except FileNotFoundError:
            continue
    return links
