"""Plays one seed: load, and faults that come in series and overlap."""

import asyncio
from collections.abc import Callable
import contextlib
import pathlib
import random
import signal

import aiohttp

from fuchsiabarrow.platform import names
from fuchsiabarrow.platform.tests import objects_for_tests as made
from fuchsiabarrow.platform.tests import processes
from fuchsiabarrow.platform.tests import runners
from fuchsiabarrow.platform.tests import stores
from fuchsiabarrow.platform.tests import worlds
from fuchsiabarrow.platform.tests.soak import promises
from fuchsiabarrow.platform.tests.soak import proxies
from fuchsiabarrow.utils.tests import ports

__all__ = ["Soak", "play"]

HOST_NUMBER = 11
CALLERS = 8
DEADLINE_S = 5.0
EVENTS = 12
KINDS = ("read", "book", "draft")
PLACES = {
    "desk-1": ("desk", None, None),
    "desk-2": ("desk", None, None),
    "desk-3": ("desk", None, None),
    "first-a": ("model", "a100", (0, 40)),
    "first-b": ("model", "a100", (0, 40)),
    "last-a": ("model", "a100", (40, 80)),
    "last-b": ("model", "a100", (40, 80)),
}
# How long a fault lasts, and the pause before the next one is drawn.
FAULT_S = (0.1, 2.5)
PAUSE_S = (0.2, 1.0)
# Faults nearer than this to a planned stop excuse what it cuts.
CALM_S = 4.0
RECOVER_S = 15.0


class SoakRunner(runners.Runner):
    """Notes runs as they begin and marks what it answers as the request's.

    Attributes:
        proxy: What entries reach it through.
    """

    def __init__(self, record: promises.Record, name: str, *place):
        super().__init__(name, *place)
        self.proxy: proxies.Proxy | None = None
        self._record = record
        self.delay_s = 0.01

    async def _run(self, request):
        if request.headers.get(names.EXPECT_INSTANCE) == self.name:
            now_s = asyncio.get_running_loop().time()
            request_id = request.headers[names.ATTEMPT_ID]
            self._record.note_run(request_id, self.name, now_s)
        return await super()._run(request)

    async def _stream(self, request, headers):
        headers["Content-Type"] = "text/event-stream"
        response = aiohttp.web.StreamResponse(headers=headers)
        await response.prepare(request)
        request_id = headers[names.ATTEMPT_ID]
        first = int(request.headers.get(names.LAST_EVENT_ID) or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(0.03)
            end = "event: end\n" if number == EVENTS else ""
            event = f"id: {number}\ndata: {request_id}\n{end}\n"
            await response.write(event.encode())
        await response.write_eof()
        return response


class Soak:
    """Entries as processes before stand-ins, with proxies between.

    Attributes:
        record: What was seen.
        faults: Kind, begin and end of each fault, on the loop's clock.

    Args:
        seed: Draws requests and faults.
        entry_count: Entries.
        folder: Folder for settings and logs.
    """

    def __init__(self, seed: int, entry_count: int, folder: pathlib.Path):
        self.record = promises.Record()
        self._source = random.Random(seed)
        inner = ports.find_ports(1)[0]
        self._entries = [
            processes.EntryProcess(
                f"entry-{n}", f"127.0.0.{HOST_NUMBER + n}", inner, folder
            )
            for n in range(entry_count)
        ]
        self._runners: list[SoakRunner] = []
        self._store_proxies: list[proxies.Proxy] = []
        self._store = stores.Store()
        self._version = 7
        self._keys = ["key-1", "key-2"]
        self._busy: set[object] = set()
        self.faults: list[list] = []
        self._count = 0
        self._stack = contextlib.AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Soak":
        enter = self._stack.enter_async_context
        await enter(self._store)
        self._session = await enter(aiohttp.ClientSession())
        await self._write_configuration()
        for name, (service, kind, layers) in PLACES.items():
            runner = SoakRunner(self.record, name, service, kind)
            self._runners.append(await enter(runner))
            runner.layers = layers
            runner.proxy = await enter(proxies.Proxy(runner.address))
            await self._register(runner)
        hosts = [entry.host for entry in self._entries]
        for entry in self._entries:
            proxy = await enter(proxies.Proxy(self._store.address))
            self._store_proxies.append(proxy)
            entry.write_settings(proxy.address, hosts[:2])
            self._stack.callback(entry.close)
            entry.start()
        for entry in self._entries:
            await entry.wait_ready(self._session)
        return self

    async def __aexit__(self, *details) -> None:
        await self._stack.aclose()

    def _read_time_s(self) -> float:
        return asyncio.get_running_loop().time()

    async def _register(self, runner: SoakRunner, **changes) -> None:
        entry = runner.make_entry(**changes)
        entry["address"] = runner.proxy.address
        await self._store.put("servers", runner.name, entry)

    async def _write_configuration(self) -> None:
        self._version += 1
        tenants = [{"name": "org", "api_keys": self._keys, "priority": 1}]
        config = made.make_config(
            self._version, routes=worlds.ROUTES, tenants=tenants
        )
        await self._store.put("config", "main", config)

    # Callers.

    async def run(self, duration_s: float) -> list[str]:
        """Plays load and faults; returns the promises that were broken."""
        async with asyncio.TaskGroup() as group:
            callers = [
                group.create_task(self._call_repeatedly())
                for _ in range(CALLERS)
            ]
            await self._draw_faults(duration_s)
            await self._check_recovery()
            for caller in callers:
                caller.cancel()
        self._check_stops()
        return self.record.broken

    async def _call_repeatedly(self) -> None:
        # Kept connections are used until the process is gone.
        async with aiohttp.ClientSession() as session:
            while True:
                await asyncio.sleep(self._source.uniform(0.0, 0.1))
                entry = self._source.choice(self._entries)
                kind = self._source.choice(KINDS)
                key = self._source.choice(["key-1", *self._keys])
                await self._call(session, entry, kind, key)

    async def _call(
        self,
        session: aiohttp.ClientSession,
        entry: processes.EntryProcess,
        kind: str,
        key: str,
    ) -> promises.Attempt:
        self._count += 1
        request_id = f"r{self._count}"
        attempt = promises.Attempt(
            request_id, kind, key, entry.name, self._read_time_s()
        )
        self.record.attempts[request_id] = attempt
        headers = {
            "Host": worlds.HOST,
            names.ATTEMPT_ID: request_id,
            names.AUTHORIZATION: f"Token {key}",
            names.DEADLINE_MS: str(int(DEADLINE_S * 1000)),
            names.TOKEN_COUNTS: "800,60",
        }
        try:
            async with session.post(
                f"http://{entry.host}:{entry.front}/{kind}/x",
                headers=headers,
                data=request_id,
                timeout=aiohttp.ClientTimeout(total=DEADLINE_S),
            ) as response:
                attempt.status = response.status
                attempt.body = await response.read()
                attempt.is_whole = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        attempt.ended_s = self._read_time_s()
        self.record.check_answer(attempt)
        return attempt

    # Faults.

    async def _draw_faults(self, duration_s: float) -> None:
        until_s = self._read_time_s() + duration_s
        kinds = self._list_faults()
        async with asyncio.TaskGroup() as group:
            while self._read_time_s() < until_s:
                name = self._source.choice(sorted(kinds))
                group.create_task(self._play_fault(name, kinds[name]))
                await asyncio.sleep(self._source.uniform(*PAUSE_S))

    async def _play_fault(self, name: str, fault: Callable) -> None:
        entry = [name, self._read_time_s(), float("inf")]
        self.faults.append(entry)
        await fault()
        entry[2] = self._read_time_s()

    def _list_faults(self) -> dict[str, Callable]:
        return {
            "entry_kill": self._kill_entry,
            "entry_pause": self._pause_entry,
            "entry_stop": self._stop_entry,
            "entry_reload": self._reload_entry,
            "store_down": lambda: self._disturb_store(status=503),
            "store_limited": lambda: self._disturb_store(status=429),
            "store_silent": lambda: self._disturb_store(is_silent=True),
            "store_history_gone": lambda: self._disturb_store(
                forgets_history=True
            ),
            "store_reset": lambda: self._disturb_link("reset"),
            "store_cut": lambda: self._disturb_link("cuts_requests"),
            "store_cut_back": lambda: self._disturb_link("cuts_answers"),
            "store_slow": lambda: self._disturb_link("delay_s"),
            "runner_reset": lambda: self._disturb_runner("reset"),
            "runner_slow": lambda: self._disturb_runner("delay_s"),
            "runner_cut": lambda: self._disturb_runner("cuts_requests"),
            "runner_cut_back": lambda: self._disturb_runner("cuts_answers"),
            "runner_restart": self._restart_runner,
            "runner_leave": self._drain_runner,
            "keys": self._change_keys,
        }

    def _draw_s(self) -> float:
        return self._source.uniform(*FAULT_S)

    @contextlib.contextmanager
    def _hold(self, found: list):
        """Draws one that no other fault holds, None if there is none."""
        free = [one for one in found if id(one) not in self._busy]
        drawn = self._source.choice(free) if free else None
        self._busy.add(id(drawn))
        try:
            yield drawn
        finally:
            self._busy.discard(id(drawn))

    def _hold_runner(self):
        return self._hold(self._runners)

    async def _kill_entry(self) -> None:
        with self._hold(self._entries) as entry:
            if entry is not None:
                entry.send(signal.SIGKILL)
                await entry.wait_exit(5.0)
                await self._start_entry(entry)

    async def _pause_entry(self) -> None:
        with self._hold(self._entries) as entry:
            if entry is not None:
                entry.send(signal.SIGSTOP)
                await asyncio.sleep(self._draw_s())
                entry.send(signal.SIGCONT)

    async def _stop_entry(self) -> None:
        with self._hold(self._entries) as entry:
            if entry is None:
                return
            entry.send(signal.SIGTERM)
            status = await entry.wait_exit(processes.GRACE_S + 1.0)
            if status != 0:
                self.record.broken.append(
                    f"{entry.name} ended with {status} after SIGTERM"
                )
                entry.close()
            await self._start_entry(entry)

    async def _start_entry(self, entry: processes.EntryProcess) -> None:
        entry.start()
        if not await entry.wait_ready(self._session):
            self.record.broken.append(
                f"{entry.name} is not ready after its start, exit status"
                f" {entry.get_status()}"
            )
            entry.close()
            entry.start()
            await entry.wait_ready(self._session)

    async def _reload_entry(self) -> None:
        self._source.choice(self._entries).send(signal.SIGHUP)

    async def _disturb_store(self, **changes) -> None:
        with self._hold([self._store]) as store:
            if store is None:
                return
            span = [self._read_time_s(), float("inf")]
            self.record.disturbed_store_s.append(span)
            before = {name: getattr(store, name) for name in changes}
            for name, value in changes.items():
                setattr(store, name, value)
            await asyncio.sleep(self._draw_s())
            for name, value in before.items():
                setattr(store, name, value)
            span[1] = self._read_time_s() + CALM_S

    async def _disturb_link(self, how: str) -> None:
        """Disturbs the way of one entry to the store."""
        with self._hold(self._store_proxies) as proxy:
            if proxy is not None:
                span = [self._read_time_s(), float("inf")]
                self.record.disturbed_store_s.append(span)
                await self._disturb_proxy(proxy, how)
                span[1] = self._read_time_s() + CALM_S

    async def _disturb_runner(self, how: str) -> None:
        with self._hold_runner() as runner:
            if runner is not None:
                await self._disturb_proxy(runner.proxy, how)

    async def _disturb_proxy(self, proxy: proxies.Proxy, how: str) -> None:
        if how == "reset":
            proxy.reset()
        elif how == "delay_s":
            proxy.delay_s = self._source.uniform(0.01, 0.3)
        else:
            setattr(proxy, how, True)
        await asyncio.sleep(self._draw_s())
        proxy.heal()
        if how.startswith("cuts"):
            # What was swallowed leaves the connections out of step.
            proxy.reset()

    async def _restart_runner(self) -> None:
        with self._hold_runner() as runner:
            if runner is None:
                return
            runner.proxy.refuses = True
            runner.proxy.reset()
            await asyncio.sleep(self._draw_s())
            runner.proxy.heal()
            runner.born += 1000
            await self._register(runner)

    async def _drain_runner(self) -> None:
        with self._hold_runner() as runner:
            if runner is None:
                return
            await self._register(runner, state="draining")
            self.record.leaving_s[runner.name] = self._read_time_s()
            await asyncio.sleep(promises.DRAIN_S + self._draw_s())
            del self.record.leaving_s[runner.name]
            runner.born += 1000
            await self._register(runner)

    async def _change_keys(self) -> None:
        removed, added = self._keys[1], f"key-{self._version + 1}"
        self._keys = ["key-1", added]
        await self._write_configuration()
        self.record.revoked_s[removed] = self._read_time_s()

    # The end.

    async def _check_recovery(self) -> None:
        """Checks that all entries serve again, with the last configuration."""
        for entry in self._entries:
            await entry.wait_ready(self._session)
        began_s = self._read_time_s()
        wanted = [
            (entry, kind, key)
            for entry in self._entries
            for kind in KINDS
            for key in self._keys
        ]
        while wanted and self._read_time_s() - began_s < RECOVER_S:
            left = []
            for entry, kind, key in wanted:
                attempt = await self._call(self._session, entry, kind, key)
                if attempt.status != 200 or not attempt.is_whole:
                    left.append((entry, kind, key))
            wanted = left
        for entry, kind, key in wanted:
            self.record.broken.append(
                f"{entry.name} does not serve {kind} with {key} again"
            )
        for entry in self._entries:
            for key in self.record.revoked_s:
                attempt = await self._call(self._session, entry, "read", key)
                if attempt.status != 401:
                    self.record.broken.append(
                        f"{entry.name} answers {attempt.status} to {key}, which"
                        " was taken away"
                    )

    def _check_stops(self) -> None:
        """Checks that stops with no other fault near them cut nothing."""
        for name, began_s, ended_s in self.faults:
            others = [
                f
                for f in self.faults
                if f[1] != began_s
                and f[1] < ended_s
                and f[2] + CALM_S > began_s
                and f[0] != "keys"
            ]
            if name != "entry_stop" or others:
                continue
            for attempt in self.record.attempts.values():
                is_cut = attempt.status is not None and not attempt.is_whole
                if is_cut and began_s < attempt.ended_s < ended_s:
                    self.record.broken.append(
                        f"{attempt.request_id} was cut by a planned stop"
                    )


async def play(
    seed: int, duration_s: float, entry_count: int, folder: pathlib.Path
) -> tuple[list[str], Soak]:
    """Plays one seed; returns the promises that were broken."""
    async with Soak(seed, entry_count, folder) as soak:
        broken = await soak.run(duration_s)
    return broken, soak
