"""An entry of another writer makes the entries of the system run out of memory.

Three entries serve a language model whose layers lie on two sound runners, in
two zones. Another writer puts one entry into the list that has no `version`,
`slots`, `cold_left_ms`, `sequence` and `born`, and a number of its own in
`layers`. The platform kills a process that exceeds `memory_mb` and starts it
again, as DEPLOY.md says.
"""

import asyncio
import json
import os
import sys

import aiohttp
import aiohttp.web
import standins_2 as standins

KEY = "key-1"
ZONES = ("tt-north-a", "tt-north-b", "tt-north-c")
MEMORY_MB = 300
PRESS_S = 20.0
# A tenth of the machines, two at least, three times.
MIN_MACHINES, MIN_ENDS = 2, 3
FOREIGN_LAYERS = int(os.environ.get("LAYERS", "10000000"))
ENGINE = {
    "slots": 96,
    "kv_capacity": 50000,
    "kv_token_bytes": 1836000,
    "link_mbps": 400000.0,
    "stride": 3,
    "models": [{"name": "m0", "pace": 1.0, "load_s": 14.0, "warm_s": 1.0}],
    "step_ms": 1.02,
    "per_seq_ms": 0.01428,
    "context_per_k": 0.01912,
    "read_per_s": 105000.0,
    "pairs_per_m": 0.309,
    "chunk": 512,
    "report_lag_ms": 200.0,
    "loads_at_once": 5,
    "delays": [
        {"start_key": "tt-north-a", "to": "tt-north-b", "delay_ms": 0.75}
    ],
    "usual": {"prompt": 774, "answer": 200},
    "layers": 80,
    "layer_mb": 1750.0,
    "act_bytes": 91800,
    "pipe_mbps": 26000.0,
    "kinds": [{"name": "a100", "mb": 72000.0, "pace": 2.4, "read_x": 3.2}],
}


def make_config() -> bytes:
    route = standins.make_route("draft", "/draft/", "streaming", "model")
    route |= {
        "timeout_ms": 20000,
        "slo_ms": 500,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 200,
        "max_attempts": 2,
    }
    config = json.loads(
        standins.make_config(11, [{"name": "org-1", "api_keys": [KEY]}])
    )
    config["routes"] = [route]
    config["services"] = [
        {
            "name": "model",
            "health_path": "/healthz",
            "max_conns": 988,
            "engine": ENGINE,
        }
    ]
    return json.dumps(config).encode()


class ModelRunner(standins.Runner):
    """A runner that holds a range of layers and streams six events."""

    def __init__(self, record, name, zone, first: int, end: int):
        super().__init__(record, name, "model", zone)
        self.first, self.end = first, end

    def make_entry(self) -> bytes:
        fields = json.loads(super().make_entry())
        fields |= {
            "slots": 96,
            "kind": "a100",
            "stage": "both",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "layers": {"start_key": self.first, "to": self.end, "version": 1},
        }
        return json.dumps(fields).encode()

    async def _run(self, request):
        if request.path == "/report":
            return aiohttp.web.json_response(
                {"pace": 1.0, "busy": False, "sequence": 1, "stalled": []}
            )
        if request.path == "/order":
            return aiohttp.web.json_response({}, status=409)
        if request.headers.get("Expect-Instance", self.name) != self.name:
            return aiohttp.web.Response(
                status=421, headers={"Instance-Id": self.name}
            )
        request_id = request.headers.get("Attempt-Id", "")
        self.runs.append((request_id, self.record.now_s(), ""))
        self.record.write(
            f"{self.name} runs {request_id} over"
            f" {request.headers.get('Hop-Count')}"
        )
        response = aiohttp.web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Attempt-Id": request_id,
                "Response-Seal": f"3e1b.{self.name}.{len(self.runs)}",
            }
        )
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, 7):
            await asyncio.sleep(0.02)
            await response.write(b"id: %d\ndata: token\n\n" % number)
        await response.write_eof()
        return response


class Platform:
    """Kills processes over the memory limit and starts ended ones again."""

    def __init__(self, record: standins.Record, entries: list):
        self.record, self.entries = record, entries
        self.ends = {entry.name: 0 for entry in entries}
        self.peaks_mb = {entry.name: 0 for entry in entries}

    async def watch(self, stop: asyncio.Event) -> None:
        while not stop.is_set():
            for entry in self.entries:
                await self._check(entry)
            await asyncio.sleep(0.02)

    async def _check(self, entry: standins.Entry) -> None:
        memory_mb = entry.read_memory_mb()
        self.peaks_mb[entry.name] = max(self.peaks_mb[entry.name], memory_mb)
        if not entry.has_exited() and memory_mb <= MEMORY_MB:
            return
        self.ends[entry.name] += 1
        self.record.write(
            f"{entry.name} holds {memory_mb} MB, over {MEMORY_MB} MB"
            if memory_mb > MEMORY_MB
            else f"{entry.name} has ended by itself"
        )
        entry.kill()
        await asyncio.sleep(standins.RESTART_DELAY_S)
        entry.start()


async def call(record, session, entry, count: int) -> int:
    request_id = f"{count:016x}"
    try:
        async with session.post(
            f"http://{entry.ip}:{entry.front}/draft/1",
            data=b"quote",
            headers={
                "Host": standins.HOST,
                "Attempt-Id": request_id,
                "Deadline-Ms": "4000",
                "Authorization": f"Token {KEY}",
                "Model": "m0",
                "Token-Count": "100,20",
                "Prompt-Prefix": f"5c1e07a2:40,{request_id}:60",
                "Connection": "close",
            },
            timeout=aiohttp.ClientTimeout(total=4.0),
        ) as response:
            await response.read()
            status = response.status
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        status = 0
        record.write(f"{request_id} no answer: {type(error).__name__}")
    record.write(f"{request_id} sent to {entry.name}: {status}")
    return status


async def run(record: standins.Record, has_trouble: bool, folder) -> int:
    network = standins.Network()
    store = standins.Store(record)
    runners = [
        ModelRunner(record, "i-left", ZONES[0], 0, 40),
        ModelRunner(record, "i-right", ZONES[1], 40, 80),
    ]
    entries: list[standins.Entry] = []
    stop = asyncio.Event()
    async with aiohttp.ClientSession() as session:
        try:
            await store.start(network.take_host(), network.store)
            for runner in runners:
                await runner.start(network.take_host(), network.server)
                store.put("servers", runner.name, runner.make_entry())
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
            await asyncio.sleep(2.0)
            for count, entry in enumerate(entries):
                if await call(record, session, entry, count) != 200:
                    record.write("could not run: no answer before the trouble")
                    return 2
            if has_trouble:
                fields = {
                    "service": "model",
                    "address": "127.0.0.1:9",
                    "zone": ZONES[0],
                    "state": "ready",
                    "kind": "a100",
                    "layers": {"start_key": 0, "to": FOREIGN_LAYERS},
                }
                store.put("servers", "note-1", json.dumps(fields).encode())
                record.write(f"another writer adds the entry note-1: {fields}")
            platform = Platform(record, entries)
            watching = asyncio.create_task(platform.watch(stop))
            statuses: list[int] = []
            until_s = record.now_s() + PRESS_S
            count = 100

            async def press(entry) -> None:
                nonlocal count
                while record.now_s() < until_s:
                    count += 1
                    statuses.append(await call(record, session, entry, count))
                    await asyncio.sleep(0.2)

            await asyncio.gather(*map(press, entries))
            stop.set()
            await watching
        finally:
            stop.set()
            for entry in entries:
                entry.kill()
            for runner in runners:
                await runner.stop()
            await store.stop()
    counts = {s: statuses.count(s) for s in sorted(set(statuses))}
    record.write(f"answers by status, 0 for none: {counts}")
    record.write(f"ends over the memory limit or by itself: {platform.ends}")
    record.write(f"peaks in MB: {platform.peaks_mb}")
    ended = sum(ends >= MIN_ENDS for ends in platform.ends.values())
    is_broken = ended >= MIN_MACHINES
    record.write("BROKEN" if is_broken else "held")
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(run))
