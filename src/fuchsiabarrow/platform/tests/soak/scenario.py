"""Load and overlapping faults, drawn at random from a seed."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Collection
import contextlib
import dataclasses
import functools
import os
import pathlib
import random
import signal

import aiohttp

from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import fake_stores
from fuchsiabarrow.platform.tests import fake_upstreams
from fuchsiabarrow.platform.tests import processes
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.platform.tests.soak import callers
from fuchsiabarrow.platform.tests.soak import endings
from fuchsiabarrow.platform.tests.soak import invariants
from fuchsiabarrow.platform.tests.soak import proxies
from fuchsiabarrow.platform.tests.soak import redirected_entry
from fuchsiabarrow.platform.tests.soak import versions
from fuchsiabarrow.utils.tests import free_ports

__all__ = ["SoakRun", "run_seed"]

# Second octet of the loopback addresses of the entries, their proxies, and the
# connections that these open. Soaks that run beside each other use others, so
# that an entry cannot take a port of another soak, or hear its entries.
HOST_OCTET = 10 + 3 * (os.getpid() % 80)
# Their last octet for the first entry.
FIRST_HOST_OCTET = 11
ENTRY_HOSTS = f"127.{HOST_OCTET}.0"
PROXY_HOSTS = f"127.{HOST_OCTET + 1}.0"
SOURCE_HOSTS = f"127.{HOST_OCTET + 2}.0"
DEFAULT_CALLERS = 8
REQUEST_TIMEOUT_S = 5.0
# Time limit of a share of the streams, beyond the grace period of an entry.
LONG_TIMEOUT_S = 10.0
LONG_SHARE = 0.3
# A caller closes its connection if nothing ends the request for this long after
# its time limit.
GIVE_UP_S = 1.0
# Shares of requests whose answer is large, that are followed at once by another
# one on the connection, and whose caller pauses before it reads.
LARGE_SHARE = 0.02
PIPELINED_SHARE = 0.1
SLOW_SHARE = 0.1
PAUSE_RANGE_S = (0.1, 2.0)
LARGE_PATH = "read/large"
# Streams of a plain service, in place of one in this many of a model.
NOTES_PATH = "notes/x"
NOTES_PERIOD = 3
EVENTS = 12
KINDS = ("read", "book", "draft")
# Time limits of their routes that are less than that of the callers.
LIMITS_S = {
    route["path_prefix"].strip("/"): route["timeout_ms"] / 1000
    for route in entry_harness.ROUTES
    if route["timeout_ms"] / 1000 < REQUEST_TIMEOUT_S
}
NOTES_ROUTE = sample_objects.make_route(
    name="notes", path_prefix="/notes/", service="desk"
)
# Upstream of a service to which only routes are moved; it has no faults.
ANNEX = "annex-1"
SERVICES = ("desk", "annex")
# Paths of the routes that are added, moved and dropped, and the time between
# two such changes.
CHANGING_PATHS = ("/moved/", "/added/")
ROUTE_CHANGE_INTERVAL_S = (0.2, 1.5)
# Time limits between which such routes change, shorter and longer than the work
# for a part of their requests.
ROUTE_LIMITS_S = (0.3, 0.6, 2.0)
# Share of pauses between changes that are long, so that requests beside changes
# can be compared with others, and their length.
CALM_SHARE = 0.1
CALM_RANGE_S = (4.0, 6.0)
SLOW_PATH = "slow"
SLOW_WORK_S = 0.8
SLOW_WORK_SHARE = 0.2
# Service, accelerator kind and layers by name.
UPSTREAMS = {
    "desk-1": ("desk", None, None),
    "desk-2": ("desk", None, None),
    "desk-3": ("desk", None, None),
    "first-a": ("model", "a100", (0, 40)),
    "first-b": ("model", "a100", (0, 40)),
    "last-a": ("model", "a100", (40, 80)),
    "last-b": ("model", "a100", (40, 80)),
    ANNEX: ("annex", None, None),
}
# Duration of a fault, and the pause before the next fault is injected.
FAULT_DURATION_RANGE_S = (0.1, 2.5)
FAULT_INTERVAL_RANGE_S = (0.2, 1.0)
SILENCE_DURATION_RANGE_S = (0.5, 2.5)
# Beyond the time after which callers at entries that are cut off from upstreams
# must be served like others.
CUT_DURATION_RANGE_S = (0.5, 8.0)
# A planned shutdown may cut off responses if another fault overlaps it or ended
# less than this before it. Store faults count as present for this long after
# their end.
FAULT_MARGIN_S = 4.0
# Number of stops in a series, and the time between two.
MAX_STOPS = 8
STOP_INTERVAL_S = (0.2, 1.5)
# Faults beside which a stop must lose no request.
PLANNED_FAULTS = ("entry_reload", "entry_stop", "entry_stop_series", "keys")
RECOVERY_TIMEOUT_S = 15.0
LOG_DELAY_S = 0.3
# The store runs in this process. While its event loop is held up for longer
# than this, the store is slow for all entries.
LOOP_CHECK_PERIOD_S = 0.05
MAX_LOOP_DELAY_S = 0.1
# Callers of the routes that change, and their pause between two requests.
VERSION_CALLERS = 3
VERSION_CALL_PAUSE_S = (0.05, 0.25)


class SoakUpstream(fake_upstreams.FakeUpstream):
    """Records runs as they start; its stream events have the request's id.

    Attributes:
        proxies: Proxies through which entries reach it, one for each entry.
        port: Port of its proxies, and of the address that entries know.
    """

    def __init__(self, history: invariants.History, name: str, *service):
        super().__init__(name, *service)
        self.proxies: list[proxies.Proxy] = []
        self.port = 0
        self._history = history
        self.delay_s = 0.01

    async def _run(self, request: aiohttp.web.Request):
        if request.headers.get(wire_names.EXPECT_INSTANCE) == self.name:
            now_s = asyncio.get_running_loop().time()
            request_id = request.headers[wire_names.ATTEMPT_ID]
            self._history.record_run(
                request_id, self.name, now_s, request.remote
            )
            if request.path.endswith(f"/{SLOW_PATH}"):
                await asyncio.sleep(SLOW_WORK_S)
        response = await super()._run(request)
        if request.path == f"/{LARGE_PATH}":
            response.body = invariants.PADDING + response.body
        return response

    def _is_stream(self, request) -> bool:
        return super()._is_stream(request) or request.path == f"/{NOTES_PATH}"

    async def _stream(self, request, headers):
        headers["Content-Type"] = "text/event-stream"
        response = aiohttp.web.StreamResponse(headers=headers)
        await response.prepare(request)
        request_id = headers[wire_names.ATTEMPT_ID]
        first = int(request.headers.get(wire_names.LAST_EVENT_ID) or 0) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(0.03)
            end = "event: end\n" if number == EVENTS else ""
            event = f"id: {number}\ndata: {request_id}\n{end}\n"
            await response.write(event.encode())
        await response.write_eof()
        return response


class SoakRun:
    """Entry processes that reach a fake store and upstreams through proxies.

    Attributes:
        history: Requests and violations of invariants seen so far.
        faults: Name, start and end of each fault, as loop times.
        versions: Versions of the configuration, and checks against them.
        endings: How the requests ended, counted at the end.
        max_loop_delay_s: Longest time for which this process was held up.

    Args:
        seed: Seed for the choice of requests and faults.
        entry_count: Number of entries.
        folder: Directory for settings files and logs.
        fault_names: Faults to draw from; all if empty.
        caller_count: Number of callers.
    """

    def __init__(
        self,
        seed: int,
        entry_count: int,
        folder: pathlib.Path,
        fault_names: Collection[str] = (),
        caller_count: int = DEFAULT_CALLERS,
    ):
        self._caller_count = caller_count
        self._fault_names = fault_names
        self.history = invariants.History()
        self._source = random.Random(seed)
        inner = free_ports.find_ports(1)[0]
        self._entries = [
            processes.EntryProcess(
                f"entry-{n}",
                f"{ENTRY_HOSTS}.{FIRST_HOST_OCTET + n}",
                inner,
                folder,
            )
            for n in range(entry_count)
        ]
        for entry in self._entries:
            proxy_host = entry.host.replace(ENTRY_HOSTS, PROXY_HOSTS)
            entry.module = redirected_entry.__name__
            entry.environment[redirected_entry.PROXY_HOST_VARIABLE] = proxy_host
            source_host = entry.host.replace(ENTRY_HOSTS, SOURCE_HOSTS)
            self.history.entries[source_host] = entry.name
        self._upstreams: list[SoakUpstream] = []
        self._annex: SoakUpstream | None = None
        self._route_source = random.Random(seed)
        # Gives a seed the same faults in each run, as one task alone draws from
        # it: callers draw in the order of their answers.
        self._fault_source = random.Random(seed)
        self._caller_source = random.Random(seed)
        self._routes = {
            path: versions.Route("desk", 0.6) for path in CHANGING_PATHS
        }
        self.max_loop_delay_s = 0.0
        self.versions = versions.Versions(
            self.history.violations.append,
            self.history.was_disturbed,
            self.history.was_held_up,
        )
        self.endings = endings.Endings(
            self.history, self.versions.was_changing, self._get_least_limit_s
        )
        self._store_proxies: list[proxies.Proxy] = []
        self._store = fake_stores.FakeStore()
        self._version = 7
        self._keys = ["key-1", "key-2"]
        self._reserved: set[object] = set()
        self._cut_numbers: set[int] = set()
        self.faults: list[list] = []
        self._count = 0
        self._stack = contextlib.AsyncExitStack()
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "SoakRun":
        enter = self._stack.enter_async_context
        await enter(self._store)
        self._session = await enter(aiohttp.ClientSession())
        await self._write_configuration()
        proxy_hosts = [
            source_host.replace(SOURCE_HOSTS, PROXY_HOSTS)
            for source_host in self.history.entries
        ]
        ports = free_ports.find_ports(len(UPSTREAMS), proxy_hosts[0])
        for port, (name, (service, kind, layers)) in zip(
            ports, UPSTREAMS.items(), strict=True
        ):
            upstream = SoakUpstream(self.history, name, service, kind)
            await enter(upstream)
            if name == ANNEX:
                self._annex = upstream
            else:
                self._upstreams.append(upstream)
            upstream.layers = layers
            upstream.port = port
            for host, source_host in zip(
                proxy_hosts, self.history.entries, strict=True
            ):
                proxy = proxies.Proxy(
                    upstream.address, f"{host}:{port}", source_host
                )
                upstream.proxies.append(await enter(proxy))
            await self._register(upstream)
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

    async def _register(self, upstream: SoakUpstream, **changes) -> None:
        entry = upstream.make_entry(**changes)
        entry["address"] = f"{redirected_entry.UPSTREAM_HOST}:{upstream.port}"
        await self._store.put("servers", upstream.name, entry)

    async def _write_configuration(self) -> None:
        self._version += 1
        tenants = [{"name": "org", "api_keys": self._keys, "priority": 1}]
        changing = [
            sample_objects.make_route(
                name=f"route{path}",
                path_prefix=path,
                kind="idempotent",
                service=route.service,
                timeout_ms=int(route.limit_s * 1000),
                resumable=False,
            )
            for path, route in self._routes.items()
        ]
        config = sample_objects.make_config(
            self._version,
            routes=[*entry_harness.ROUTES, NOTES_ROUTE, *changing],
            tenants=tenants,
        )
        config["services"].append({**config["services"][-1], "name": "annex"})
        # The store has the version before any entry learns of it.
        self.versions.commit(self._routes, self._read_time_s())
        await self._store.put("config", "main", config)

    async def _watch_loop(self) -> None:
        """Records when the store was slow because this process was held up."""
        while True:
            due_s = self._read_time_s() + LOOP_CHECK_PERIOD_S
            await asyncio.sleep(LOOP_CHECK_PERIOD_S)
            delay_s = self._read_time_s() - due_s
            self.max_loop_delay_s = max(self.max_loop_delay_s, delay_s)
            if delay_s > MAX_LOOP_DELAY_S:
                names = frozenset(entry.name for entry in self._entries)
                self.history.store_faults.append(
                    invariants.Cut(
                        names,
                        due_s,
                        due_s + delay_s,
                        invariants.SOAK_HELD_UP,
                    )
                )

    async def _change_routes(self) -> None:
        """Adds, moves and drops routes, and changes their time limits."""
        draw = self._route_source
        while True:
            is_calm = draw.random() < CALM_SHARE
            await asyncio.sleep(
                draw.uniform(
                    *(CALM_RANGE_S if is_calm else ROUTE_CHANGE_INTERVAL_S)
                )
            )
            path = self._route_source.choice(CHANGING_PATHS)
            route = self._routes.get(path)
            if route is None:
                route = versions.Route(SERVICES[0], ROUTE_LIMITS_S[1])
            elif self._route_source.random() < 0.5:
                limits_s = set(ROUTE_LIMITS_S) - {route.limit_s}
                limit_s = self._route_source.choice(sorted(limits_s))
                route = dataclasses.replace(route, limit_s=limit_s)
            elif path == "/added/":
                route = None
            else:
                service = SERVICES[route.service == SERVICES[0]]
                route = dataclasses.replace(route, service=service)
            self._routes[path] = route
            if route is None:
                del self._routes[path]
            await self._write_configuration()

    async def _send_to_changing_routes(self) -> None:
        async with self._keep_connections() as connections:
            while True:
                await asyncio.sleep(
                    self._route_source.uniform(*VERSION_CALL_PAUSE_S)
                )
                entry = self._route_source.choice(self._entries)
                path = self._route_source.choice(CHANGING_PATHS)
                is_slow = self._route_source.random() < SLOW_WORK_SHARE
                name = SLOW_PATH if is_slow else "x"
                [attempt] = await self._send(
                    connections, entry, [f"{path.strip('/')}/{name}"], "key-1"
                )
                if not attempt.is_complete:
                    continue
                service = None
                if attempt.status == 200:
                    name = attempt.body.partition(b":")[0].decode()
                    service = UPSTREAMS[name][0]
                elif attempt.status == 404:
                    service = ""
                self.versions.check(
                    versions.Outcome(
                        entry.name,
                        path,
                        attempt.sent_s,
                        attempt.ended_s,
                        attempt.status,
                        service,
                    )
                )

    # Requests of callers.

    async def run(self, duration_s: float) -> list[str]:
        """Applies load and faults; returns the violated invariants."""
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._send_requests())
                for _ in range(self._caller_count)
            ]
            tasks += [
                group.create_task(self._send_to_changing_routes())
                for _ in range(VERSION_CALLERS)
            ]
            tasks.append(group.create_task(self._watch_loop()))
            tasks.append(group.create_task(self._change_routes()))
            await self._draw_faults(duration_s)
            async with self._keep_connections() as connections:
                await self._check_recovery(connections)
            for task in tasks:
                task.cancel()
        # Time to log the requests whose connections were closed just now.
        await asyncio.sleep(LOG_DELAY_S)
        self.endings.check(
            {
                entry.name: endings.read_told_requests(entry.log_path)
                for entry in self._entries
            }
        )
        self._check_stops()
        self.history.check_cuts()
        return self.history.violations

    def _get_least_limit_s(self, attempt: invariants.Attempt) -> float:
        """Returns the least time limit that may hold for a request."""
        if f"/{attempt.kind}/" in CHANGING_PATHS:
            return self.versions.get_limits(
                attempt.entry,
                f"/{attempt.kind}/",
                attempt.sent_s,
                attempt.ended_s,
            )[0]
        return LIMITS_S.get(attempt.kind, attempt.limit_s)

    def _keep_connections(self) -> callers.Connections:
        return callers.Connections(self.history.violations.append)

    async def _send_requests(self) -> None:
        async with self._keep_connections() as connections:
            while True:
                await asyncio.sleep(self._source.uniform(0.0, 0.1))
                entry = self._source.choice(self._entries)
                path = f"{self._source.choice(KINDS)}/x"
                key = self._source.choice(["key-1", *self._keys])
                draw = self._caller_source.random
                if draw() < LARGE_SHARE:
                    path = LARGE_PATH
                paths = [path]
                if draw() < PIPELINED_SHARE:
                    paths.append("read/x")
                pause_s = 0.0
                if draw() < SLOW_SHARE or path == LARGE_PATH and draw() < 0.5:
                    pause_s = self._caller_source.uniform(*PAUSE_RANGE_S)
                limit_s = REQUEST_TIMEOUT_S
                if path.startswith("draft/") and draw() < LONG_SHARE:
                    limit_s = LONG_TIMEOUT_S
                if path == "draft/x" and self._count % NOTES_PERIOD == 0:
                    paths[0] = NOTES_PATH
                await self._send(
                    connections, entry, paths, key, pause_s, limit_s
                )

    async def _call(
        self,
        connections: callers.Connections,
        entry: processes.EntryProcess,
        kind: str,
        key: str,
    ) -> invariants.Attempt:
        """Sends one request and returns it when it has ended."""
        return (await self._send(connections, entry, [f"{kind}/x"], key))[0]

    async def _send(
        self,
        connections: callers.Connections,
        entry: processes.EntryProcess,
        paths: list[str],
        key: str,
        pause_s: float = 0.0,
        limit_s: float = REQUEST_TIMEOUT_S,
    ) -> list[invariants.Attempt]:
        """Sends requests at once on a connection; returns the ended ones."""
        attempts, requests = [], []
        for path in paths:
            self._count += 1
            request_id = f"r{self._count}"
            headers = {
                "Host": entry_harness.HOST,
                wire_names.ATTEMPT_ID: request_id,
                wire_names.AUTHORIZATION: f"Token {key}",
                wire_names.DEADLINE_MS: str(int(limit_s * 1000)),
                wire_names.TOKEN_COUNTS: "800,60",
            }
            request = callers.make_request(
                f"/{path}", headers, request_id.encode()
            )
            requests.append((request_id, request))
            attempt = invariants.Attempt(
                request_id,
                path.partition("/")[0],
                key,
                entry.name,
                self._read_time_s(),
                is_large=path == LARGE_PATH,
                pause_s=pause_s,
                limit_s=limit_s,
            )
            self.history.attempts[request_id] = attempt
            attempts.append(attempt)
        answers = self._exchange(connections, entry, requests, pause_s, limit_s)
        turn_s = attempts[0].sent_s
        async with contextlib.aclosing(answers):
            for attempt in attempts:
                attempt.turn_s = turn_s
                attempt.end(await anext(answers))
                turn_s = attempt.ended_s
                self.history.check_answer(attempt)
        return attempts

    async def _exchange(
        self,
        connections: callers.Connections,
        entry: processes.EntryProcess,
        requests: list[tuple[str, bytes]],
        pause_s: float,
        limit_s: float,
    ) -> AsyncIterator[callers.Answer]:
        """Yields how each request ended."""
        try:
            connection = await connections.open(
                entry.name, f"{entry.host}:{entry.front}"
            )
        except OSError:
            for _ in requests:
                yield callers.Answer(
                    callers.Ending.NO_CONNECTION, at_s=self._read_time_s()
                )
            return
        for future in await connection.fetch(requests, pause_s):
            await asyncio.wait([future], timeout=limit_s + GIVE_UP_S)
            if not future.done():
                connection.close()
            yield future.result()

    # Fault injection.

    async def _draw_faults(self, duration_s: float) -> None:
        until_s = self._read_time_s() + duration_s
        kinds = self._list_faults()
        names = sorted(self._fault_names or kinds)
        draw = self._fault_source
        async with asyncio.TaskGroup() as group:
            while self._read_time_s() < until_s:
                name = draw.choice(names)
                group.create_task(self._run_fault(name, kinds[name]))
                await asyncio.sleep(draw.uniform(*FAULT_INTERVAL_RANGE_S))

    async def _run_fault(self, name: str, fault: Callable) -> None:
        entry = [name, self._read_time_s(), float("inf")]
        self.faults.append(entry)
        await fault()
        entry[2] = self._read_time_s()

    def _list_faults(self) -> dict[str, Callable]:
        # "runner" stands for an upstream. Faults are drawn from the sorted
        # names: renaming one changes which faults a seed draws.
        return {
            "entry_kill": self._kill_entry,
            "entry_pause": self._pause_entry,
            "entry_stop": self._stop_entry,
            "entry_stop_series": self._stop_entries,
            "entry_reload": self._reload_entry,
            **{
                f"entry_cut_{shape.value}": functools.partial(
                    self._cut_entries, shape
                )
                for shape in proxies.CutShape
            },
            "store_down": lambda: self._disturb_store(status=503),
            "store_limited": lambda: self._disturb_store(status=429),
            "store_silent": lambda: self._disturb_store(is_silent=True),
            "store_history_gone": lambda: self._disturb_store(
                has_lost_history=True
            ),
            "store_reset": lambda: self._disturb_link("reset"),
            "store_cut": lambda: self._disturb_link("drops_requests"),
            "store_cut_back": lambda: self._disturb_link("drops_responses"),
            "store_slow": lambda: self._disturb_link("delay_s"),
            "runner_reset": lambda: self._disturb_upstream("reset"),
            "runner_slow": lambda: self._disturb_upstream("delay_s"),
            "runner_cut": lambda: self._disturb_upstream("drops_requests"),
            "runner_cut_back": lambda: self._disturb_upstream(
                "drops_responses"
            ),
            "runner_silent": self._silence_upstream,
            "runner_restart": self._restart_upstream,
            "runner_leave": self._drain_upstream,
            "keys": self._change_keys,
        }

    def _draw_duration_s(self) -> float:
        return self._source.uniform(*FAULT_DURATION_RANGE_S)

    @contextlib.contextmanager
    def _reserve(self, items: list):
        """Draws an item not used by another fault, None if there is none."""
        free = [one for one in items if id(one) not in self._reserved]
        reserved_item = self._source.choice(free) if free else None
        self._reserved.add(id(reserved_item))
        try:
            yield reserved_item
        finally:
            self._reserved.discard(id(reserved_item))

    def _record_upstream_fault(self):
        return self.history.record_upstream_fault(self._read_time_s)

    def _reserve_upstream(self):
        return self._reserve(self._upstreams)

    @contextlib.contextmanager
    def _disturb_entry(self, cause: str):
        """Draws an entry like `_reserve` and records that it is disturbed."""
        with self._reserve(self._entries) as entry:
            if entry is None:
                yield None
                return
            with self.history.record_disturbance(
                entry.name, self._read_time_s, cause
            ):
                yield entry

    async def _kill_entry(self) -> None:
        with self._disturb_entry(invariants.KILLED) as entry:
            if entry is not None:
                entry.send(signal.SIGKILL)
                await entry.wait_exit(5.0)
                self.versions.forget_entry(entry.name)
                await self._start_entry(entry)

    async def _pause_entry(self) -> None:
        with self._disturb_entry(invariants.PAUSED) as entry:
            if entry is not None:
                entry.send(signal.SIGSTOP)
                await asyncio.sleep(self._draw_duration_s())
                entry.send(signal.SIGCONT)

    async def _stop_entry(self) -> None:
        with self._disturb_entry(invariants.STOPPED) as entry:
            if entry is None:
                return
            entry.send(signal.SIGTERM)
            status = await entry.wait_exit(processes.GRACE_S)
            if status != 0:
                self.history.violations.append(
                    f"{entry.name} exited with status {status} after SIGTERM"
                    f" and {processes.GRACE_S} s"
                )
                # Its stack goes to its log.
                entry.send(signal.SIGUSR1)
                await asyncio.sleep(LOG_DELAY_S)
                entry.close()
            self.versions.forget_entry(entry.name)
            await self._start_entry(entry)

    async def _stop_entries(self) -> None:
        """Stops entries one after another, the next before the last is back."""
        async with asyncio.TaskGroup() as group:
            for _ in self._entries[:MAX_STOPS]:
                group.create_task(self._stop_entry())
                await asyncio.sleep(self._source.uniform(*STOP_INTERVAL_S))

    async def _start_entry(self, entry: processes.EntryProcess) -> None:
        entry.start()
        if not await entry.wait_ready(self._session):
            self.history.violations.append(
                f"{entry.name} did not become ready after start, exit status"
                f" {entry.get_exit_status()}"
            )
            entry.close()
            entry.start()
            await entry.wait_ready(self._session)

    async def _reload_entry(self) -> None:
        self._source.choice(self._entries).send(signal.SIGHUP)

    async def _cut_entries(self, shape: proxies.CutShape) -> None:
        """Cuts one, half or all of the entries off from all upstreams."""
        count = len(self._entries)
        free = sorted(set(range(count)) - self._cut_numbers)
        wanted = self._source.choice([1, (count + 1) // 2, count])
        numbers = self._source.sample(free, min(wanted, len(free)))
        links = [
            u.proxies[n]
            for u in [*self._upstreams, self._annex]
            for n in numbers
        ]
        duration_s = self._source.uniform(*CUT_DURATION_RANGE_S)
        self._cut_numbers.update(numbers)
        names = frozenset(self._entries[n].name for n in numbers)
        with self.history.record_cut(names, self._read_time_s):
            for link in links:
                link.cut(shape)
            await asyncio.sleep(duration_s)
            for link in links:
                await link.end_cut()
        self._cut_numbers.difference_update(numbers)

    async def _silence_upstream(self) -> None:
        with self._reserve_upstream() as upstream:
            if upstream is None:
                return
            for proxy in upstream.proxies:
                proxy.is_silent = True
            await asyncio.sleep(self._source.uniform(*SILENCE_DURATION_RANGE_S))
            for proxy in upstream.proxies:
                proxy.is_silent = False

    async def _disturb_store(self, **changes) -> None:
        with self._reserve([self._store]) as store:
            if store is None:
                return
            span = [self._read_time_s(), float("inf")]
            self.history.disturbed_store_s.append(span)
            before = {name: getattr(store, name) for name in changes}
            everyone = [entry.name for entry in self._entries]
            with self.history.record_store_fault(everyone, self._read_time_s):
                for name, value in changes.items():
                    setattr(store, name, value)
                await asyncio.sleep(self._draw_duration_s())
                for name, value in before.items():
                    setattr(store, name, value)
            span[1] = self._read_time_s() + FAULT_MARGIN_S

    async def _disturb_link(self, how: str) -> None:
        """Disturbs the connections of one entry to the store."""
        with self._reserve(self._store_proxies) as proxy:
            if proxy is not None:
                span = [self._read_time_s(), float("inf")]
                self.history.disturbed_store_s.append(span)
                number = self._store_proxies.index(proxy)
                with self.history.record_store_fault(
                    [self._entries[number].name], self._read_time_s
                ):
                    await self._disturb_proxies([proxy], how)
                span[1] = self._read_time_s() + FAULT_MARGIN_S

    async def _disturb_upstream(self, how: str) -> None:
        with self._reserve_upstream() as upstream:
            if upstream is None:
                return
            with contextlib.ExitStack() as stack:
                if how != "delay_s":
                    stack.enter_context(self._record_upstream_fault())
                await self._disturb_proxies(upstream.proxies, how)

    async def _disturb_proxies(
        self, disturbed_proxies: list[proxies.Proxy], how: str
    ) -> None:
        delay_s = self._source.uniform(0.01, 0.3)
        for proxy in disturbed_proxies:
            if how == "reset":
                proxy.reset()
            elif how == "delay_s":
                proxy.delay_s = delay_s
            else:
                setattr(proxy, how, True)
        await asyncio.sleep(self._draw_duration_s())
        for proxy in disturbed_proxies:
            proxy.clear_faults()
            if how.startswith("drops"):
                # After lost data, requests and responses on the open
                # connections no longer match.
                proxy.reset()

    async def _restart_upstream(self) -> None:
        with self._reserve_upstream() as upstream:
            if upstream is None:
                return
            with self._record_upstream_fault():
                for proxy in upstream.proxies:
                    proxy.refuses = True
                    proxy.reset()
                await asyncio.sleep(self._draw_duration_s())
                for proxy in upstream.proxies:
                    proxy.clear_faults()
            upstream.born += 1000
            await self._register(upstream)

    async def _drain_upstream(self) -> None:
        with self._reserve_upstream() as upstream:
            if upstream is None:
                return
            await self._register(upstream, state="draining")
            self.history.leaving_s[upstream.name] = self._read_time_s()
            await asyncio.sleep(invariants.DRAIN_S + self._draw_duration_s())
            del self.history.leaving_s[upstream.name]
            upstream.born += 1000
            await self._register(upstream)

    async def _change_keys(self) -> None:
        removed, added = self._keys[1], f"key-{self._version + 1}"
        self._keys = ["key-1", added]
        await self._write_configuration()
        self.history.revoked_s[removed] = self._read_time_s()

    # Final checks.

    async def _check_recovery(self, connections: callers.Connections) -> None:
        """Checks that all entries serve with the last configuration again."""
        for entry in self._entries:
            await entry.wait_ready(self._session)
        began_s = self._read_time_s()
        wanted = [
            (entry, kind, key)
            for entry in self._entries
            for kind in KINDS
            for key in self._keys
        ]
        while wanted and self._read_time_s() - began_s < RECOVERY_TIMEOUT_S:
            left = []
            for entry, kind, key in wanted:
                attempt = await self._call(connections, entry, kind, key)
                if attempt.status != 200 or not attempt.is_complete:
                    left.append((entry, kind, key))
            wanted = left
        for entry, kind, key in wanted:
            self.history.violations.append(
                f"{entry.name} still does not serve {kind} with {key} after"
                " the faults"
            )
        for entry in self._entries:
            for key in self.history.revoked_s:
                attempt = await self._call(connections, entry, "read", key)
                until_s = self._read_time_s() + RECOVERY_TIMEOUT_S
                # Refused as not run: the configuration was not confirmed in
                # time, as the store in this process was held up.
                while attempt.status == 503 and self._read_time_s() < until_s:
                    attempt = await self._call(connections, entry, "read", key)
                if attempt.status != 401:
                    self.history.violations.append(
                        f"{entry.name} answered {attempt.status} to revoked key"
                        f" {key}"
                    )

    def _check_stops(self) -> None:
        """Checks that shutdowns without nearby faults lose no request."""
        for name, began_s, ended_s in self.faults:
            others = [
                f
                for f in self.faults
                if f[0] not in PLANNED_FAULTS
                and f[1] < ended_s
                and f[2] + FAULT_MARGIN_S > began_s
            ]
            if not name.startswith("entry_stop") or others:
                continue
            for attempt in self.history.attempts.values():
                is_cut = attempt.ending in endings.CUT_ENDINGS
                if not is_cut or not began_s < attempt.ended_s < ended_s:
                    continue
                cause = self.endings.find_cause(attempt)
                if cause == invariants.STOPPED:
                    self.history.violations.append(
                        f"{attempt.request_id} was cut off by a planned"
                        f" shutdown: {attempt.ending.value}"
                    )


async def run_seed(
    seed: int,
    duration_s: float,
    entry_count: int,
    folder: pathlib.Path,
    fault_names: Collection[str] = (),
    caller_count: int = DEFAULT_CALLERS,
) -> tuple[list[str], SoakRun]:
    """Runs one seed; returns the violated invariants and the run.

    Args:
        seed: Seed for the choice of requests and faults.
        duration_s: Time during which faults are injected.
        entry_count: Number of entries.
        folder: Directory for settings files and logs.
        fault_names: Faults to draw from; all if empty.
        caller_count: Number of callers.
    """
    async with SoakRun(
        seed, entry_count, folder, fault_names, caller_count
    ) as soak:
        violations = await soak.run(duration_s)
    return violations, soak
