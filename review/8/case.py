"""A runner of a plain service is killed in the middle of an event.

Two entries serve a streaming route of a service without an engine, with two
runners that are processes of their own. Their answers have no length and end
with their channel. The runner that is at work is killed with SIGKILL when it
has sent the first half of event 8 of 20.
"""

import asyncio
import json
import pathlib
import re
import sys
import time

import aiohttp
import standins_2 as standins

KEY = "key-1"
ZONES = ("tt-north-a", "tt-north-b")
EVENTS = 20
KILLED_AT = 8
ROUNDS = 3


class RunnerProcess:
    """A runner in a child process."""

    def __init__(self, record: standins.Record, name: str, zone: str):
        self.record, self.name, self.zone = record, name, zone
        self.address = ""
        self.is_to_be_killed = False
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task | None = None
        self._listens = asyncio.Event()
        self.was_killed = asyncio.Event()

    async def start(self, host: str, port: int) -> None:
        self.address = f"{host}:{port}"
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(pathlib.Path(standins.__file__).with_name("stream_runner_2.py")),
            self.name,
            host,
            str(port),
            stdout=asyncio.subprocess.PIPE,
            preexec_fn=standins.end_with_parent,
        )
        standins.record_start(self.record, self.name, self._process.pid)
        self._reading = asyncio.create_task(self._read())
        async with asyncio.timeout(10.0):
            await self._listens.wait()

    async def _read(self) -> None:
        while line := (await self._process.stdout.readline()).decode().strip():
            if line == "listens":
                self._listens.set()
            elif not line.startswith("half"):
                self.record.write(f"{self.name} {line}")
            elif self.is_to_be_killed and line == f"half {KILLED_AT}":
                self._process.kill()
                self.record.write(
                    f"{self.name} is killed after {line} of {EVENTS}"
                )
                self.was_killed.set()

    async def stop(self) -> None:
        if self._process is not None:
            if self._process.returncode is None:
                try:
                    self._process.kill()
                except ProcessLookupError:
                    pass
            await self._process.wait()
            await self._reading

    def make_entry(self) -> bytes:
        return json.dumps(
            {
                "service": "notes",
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 6,
                "state": "ready",
                "cold_left_ms": 0,
                "sequence": 1,
                "born": int(time.time() * 1000),
            }
        ).encode()


def make_config() -> bytes:
    config = json.loads(
        standins.make_config(11, [{"name": "org-1", "api_keys": [KEY]}])
    )
    route = standins.make_route("draft", "/draft/", "streaming", "notes")
    route |= {
        "timeout_ms": 20000,
        "slo_ms": 500,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 200,
        "max_attempts": 2,
    }
    config["routes"] = [route]
    config["services"] = [
        {"name": "notes", "health_path": "/healthz", "max_conns": 110}
    ]
    return json.dumps(config).encode()


async def read_stream(record, session, entry, request_id: str) -> tuple:
    """Returns status, whether the answer looks complete, and the body."""
    body = b""
    try:
        async with session.post(
            f"http://{entry.ip}:{entry.front}/draft/1",
            data=b"quote",
            headers={
                "Host": standins.HOST,
                "Attempt-Id": request_id,
                "Deadline-Ms": "10000",
                "Authorization": f"Token {KEY}",
                "Model": "m0",
                "Token-Count": "100,20",
                "Prompt-Prefix": f"5c1e07a2:40,{request_id}:60",
            },
            timeout=aiohttp.ClientTimeout(total=10.0),
        ) as response:
            status, is_complete = response.status, True
            try:
                async for data in response.content.iter_any():
                    body += data
            except aiohttp.ClientError:
                is_complete = False
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        record.write(f"{request_id} no answer: {type(error).__name__}")
        return 0, False, body
    record.write(
        f"{request_id} by {entry.name}: {status},"
        f" {'complete' if is_complete else 'broken off'}, ends {body[-40:]!r}"
    )
    return status, is_complete, body


async def run(record: standins.Record, has_trouble: bool, folder) -> int:
    network = standins.Network()
    store = standins.Store(record)
    runners: dict[str, RunnerProcess] = {}
    entries: list[standins.Entry] = []
    broken = 0
    async with aiohttp.ClientSession() as session:
        try:
            await store.start(network.take_host(), network.store)
            runner_hosts = [network.take_host() for _ in ZONES]

            async def add_runner(index: int, number: int) -> None:
                name = f"i-{number}{index}"
                runner = RunnerProcess(record, name, ZONES[index])
                runners[name] = runner
                await runner.start(runner_hosts[index], network.server + number)
                store.put("servers", name, runner.make_entry())

            for index in range(len(ZONES)):
                await add_runner(index, 0)
            store.put("config", "main", make_config())
            hosts = [network.take_host() for _ in ZONES]
            entries = [
                standins.Entry(
                    record,
                    folder,
                    f"front-{zone}-1",
                    zone,
                    host,
                    network,
                    hosts,
                    store.address,
                )
                for zone, host in zip(ZONES, hosts)
            ]
            for entry in entries:
                entry.start()
            for entry in entries:
                if not await entry.wait_ready(session):
                    record.write("could not run: an entry did not get ready")
                    return 2
            await asyncio.sleep(1.0)
            for number in range(1, ROUNDS + 1):
                live = [r for r in runners.values() if not r.was_killed.is_set()]
                for runner in live:
                    runner.is_to_be_killed = has_trouble
                reading = asyncio.create_task(
                    read_stream(
                        record,
                        session,
                        entries[number % 2],
                        f"{number:016x}",
                    )
                )
                if has_trouble:
                    # Only the one that works on the first attempt is killed.
                    killed = [
                        asyncio.create_task(r.was_killed.wait()) for r in live
                    ]
                    await asyncio.wait(
                        {reading, *killed},
                        return_when=asyncio.FIRST_COMPLETED,
                    )
                    for task in killed:
                        task.cancel()
                    for runner in live:
                        runner.is_to_be_killed = False
                status, is_complete, body = await reading
                ids = [int(i) for i in re.findall(rb"^id: (\d+)$", body, re.M)]
                whole = re.findall(rb"^data: token (\d+)\n\n", body, re.M)
                if not has_trouble and len(whole) != EVENTS:
                    record.write("could not run: a calm stream is not whole")
                    return 2
                if status == 200 and is_complete and len(whole) < EVENTS:
                    broken += 1
                    record.write(
                        f"BROKEN: the answer looks complete with {len(ids)} of"
                        f" {EVENTS} events, {len(whole)} of them whole"
                    )
                # The platform starts another runner in place of the dead one.
                for name, runner in list(runners.items()):
                    if runner.was_killed.is_set() and runner in live:
                        store.remove("servers", name)
                        await add_runner(int(name[-1]), number)
                await asyncio.sleep(3.0)
        finally:
            for entry in entries:
                entry.kill()
            for runner in runners.values():
                await runner.stop()
            await store.stop()
    record.write(f"{broken} of {ROUNDS} streams ended as complete too early")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(run))
