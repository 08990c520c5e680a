"""Entries that may be cut off from upstreams, on a simulated network.

The entries are composed as in production, with their connections, codecs and
load reports; only the store, and the data that entries take from it, are
replaced. Upstreams are HTTP servers: engines stream events, plain upstreams
answer after a fixed time. They stop working on a request when its connection
is closed.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import contextlib
import dataclasses
import json
import random
import types
from unittest import mock

import multidict

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform import requests
from fuchsiabarrow.platform import settings as settings_module
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import simulated_network

DOMAINS = ("a", "b", "c")
MODEL = fleets.make_model(layer_mb=200.0)
LAYER_HALVES = ((0, 40), (40, 80))
PLAIN_SERVICE = "plain"
UPSTREAM_PORT = 80
PREFILL_S = 0.1
EVENT_GAP_S = 0.1
EVENTS = 7
WORK_S = 0.06
# Time for which work waits for an upstream that is gone, and time after which
# reports name that upstream.
STALL_S = 3.0
REPORT_LAG_S = 0.2
# Time until a dead upstream is removed from the list: three heartbeats.
EXPIRY_S = 3.6
# The entries know each other, and share retries, from this time on.
WARM_UP_S = 5.0
KEY = "key"
SETTINGS = """\
node_name={name}
ip={ip}
zone={domain}
listen.front={ip}:1
listen.ready={ip}:2
internal_ports=9000,9015
seeds={seeds}
limits.memory_mb=300
limits.max_fds=4100
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=202
bounds.stall_ms=3000
provider.address=10.9.9.9:1
"""


def _make_route(
    name: str,
    kind: documents.RequestKind,
    timeout_s: float,
    objective_s: float,
    max_attempts: int,
    is_resumable: bool = False,
) -> documents.Route:
    is_stream = kind is documents.RequestKind.STREAM
    return documents.Route(
        name,
        "host",
        f"/{name}/",
        kind,
        timeout_s,
        objective_s,
        0.2 if is_stream else None,
        1,
        ((fleets.SERVICE if is_stream else PLAIN_SERVICE, 1.0),),
        max_attempts,
        False,
        is_resumable,
    )


_STREAM = documents.RequestKind.STREAM
_IDEMPOTENT = documents.RequestKind.IDEMPOTENT
_ONCE = documents.RequestKind.ONCE
ROUTES = {
    route.name: route
    for route in (
        _make_route("draft", _STREAM, 20.0, 0.5, 2, True),
        _make_route("letter", _STREAM, 20.0, 0.5, 1),
        _make_route("status", _IDEMPOTENT, 1.5, 0.3, 2),
        _make_route("lookup", _IDEMPOTENT, 0.6, 0.1, 2),
        _make_route("booking", _ONCE, 1.5, 0.3, 1),
        _make_route("payment", _ONCE, 0.6, 0.1, 1),
    )
}
# Share of each route in the traffic.
WEIGHTS = {
    "draft": 0.4,
    "letter": 0.2,
    "status": 0.1,
    "lookup": 0.1,
    "booking": 0.1,
    "payment": 0.1,
}


@dataclasses.dataclass
class Run:
    """A request that reached an upstream.

    Attributes:
        at_s: Loop time of its arrival.
        upstream: Address of the upstream, ``ip:port``.
        source: Address of the host that it came from.
        request_id: Id of the request.
        last_event_id: Event after which it goes on, 0 at the beginning.
        is_run: Whether the upstream began to work on it.
        ended_s: Loop time at which the upstream stopped working, or None.
        is_complete: Whether the upstream sent its whole answer.
        path: Addresses of the upstreams that it passes through.
    """

    at_s: float
    upstream: str
    source: str
    request_id: str
    last_event_id: int = 0
    is_run: bool = True
    ended_s: float | None = None
    is_complete: bool = False
    path: tuple[str, ...] = ()


class _StalledError(Exception):
    """An upstream of the path was gone for too long."""


@dataclasses.dataclass(frozen=True)
class _HttpRequest:
    method: str
    target: str
    headers: multidict.CIMultiDict
    body: bytes


class _HttpServer(asyncio.Protocol):
    """Reads one request after another and has an upstream serve each."""

    def __init__(self, upstream: "Upstream"):
        self.transport: asyncio.Transport | None = None
        self._upstream = upstream
        self._buffer = b""
        self._task: asyncio.Task | None = None

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        self._serve_next()

    def connection_lost(self, error: Exception | None) -> None:
        if self._task is not None:
            self._task.cancel()

    def get_source(self) -> str:
        return self.transport.get_extra_info("peername")[0]

    def _serve_next(self) -> None:
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if self._task is not None or not separator:
            return
        first_line, *lines = head.decode().split("\r\n")
        headers = multidict.CIMultiDict(
            tuple(line.split(": ", 1)) for line in lines
        )
        length = int(headers.get("Content-Length", 0))
        if len(rest) < length:
            return
        method, target, _ = first_line.split(" ")
        request = _HttpRequest(method, target, headers, rest[:length])
        self._buffer = rest[length:]
        self._task = asyncio.get_running_loop().create_task(
            self._serve(request)
        )

    async def _serve(self, request: _HttpRequest) -> None:
        await self._upstream.serve(request, self)
        self._task = None
        self._serve_next()

    def answer(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends a whole response."""
        headers = {**headers, "Content-Length": str(len(body))}
        self.transport.write(_format_head(status, headers) + body)


def _format_head(status: int, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Upstream:
    """A simulated upstream, over all its starts.

    Attributes:
        address: Its address, ``ip:port``.
        ip: IP address of its host.
        listed: What the list of upstreams says of it.
        host: Its current host, None while it is dead.
        announces_leaving: Whether its answers say that it is leaving.
        paused_until_s: Loop time until which it refuses requests and asks for a
            pause.
        refusals: Loop time, source and id of the requests that it refused so.
    """

    def __init__(self, cluster: "Cluster", base: upstreams.Upstream):
        self.address = base.address
        self.ip = base.address.partition(":")[0]
        self.listed = base
        self.announces_leaving = False
        self.paused_until_s = float("-inf")
        self.refusals: list[tuple[float, str, str]] = []
        self.host: simulated_network.Host | None = None
        self._cluster = cluster

    async def start(self) -> None:
        network = self._cluster.network
        self.host = network.add_host(self.ip, self.listed.failure_domain)
        await self.host.start(self._listen())

    async def _listen(self) -> None:
        await asyncio.get_running_loop().create_server(
            lambda: _HttpServer(self), self.ip, UPSTREAM_PORT
        )

    def kill(self, is_dark: bool = False) -> None:
        """Ends the upstream; it is removed from the list some time later.

        Args:
            is_dark: Whether packets to it are lost from now on; else its
                connections are reset and new ones refused.
        """
        network = self._cluster.network
        if is_dark:
            others = set(network.hosts) - {self.ip}
            network.begin_fault(simulated_network.Shape.HANG, {self.ip}, others)
        network.kill(self.host)
        self.host = None
        loop = asyncio.get_running_loop()
        loop.call_later(EXPIRY_S, self._cluster.publish_upstreams)

    async def serve(self, request: _HttpRequest, server: _HttpServer) -> None:
        headers = request.headers
        expected = headers.get(wire_names.EXPECT_INSTANCE)
        if request.target == wire_names.REPORT_PATH:
            server.answer(200, {}, json.dumps(self.make_report()).encode())
        elif request.target == wire_names.ORDER_PATH:
            is_done = self.change_path(json.loads(request.body))
            server.answer(200 if is_done else 404, {}, b"{}")
        elif expected != self.listed.instance_id:
            server.answer(421, {wire_names.NOT_RUN: "1"})
        elif (now_s := asyncio.get_running_loop().time()) < self.paused_until_s:
            request_id = headers[wire_names.ATTEMPT_ID]
            self.refusals.append((now_s, server.get_source(), request_id))
            pause_s = f"{self.paused_until_s - now_s:.3f}"
            server.answer(
                503, {wire_names.NOT_RUN: "1", wire_names.RETRY_AFTER: pause_s}
            )
        else:
            await self._run(request, server)

    async def _run(self, request: _HttpRequest, server: _HttpServer) -> None:
        loop = asyncio.get_running_loop()
        run = Run(
            loop.time(),
            self.address,
            server.get_source(),
            request.headers[wire_names.ATTEMPT_ID],
            int(request.headers.get(wire_names.LAST_EVENT_ID) or 0),
            path=_parse_path(request.headers.get(wire_names.PATH, "")),
        )
        self._cluster.add_run(run)
        try:
            await self.work(run, server)
            run.is_complete = run.is_run
        except _StalledError:
            server.transport.abort()
        finally:
            run.ended_s = loop.time()

    def make_report(self) -> dict:
        return {"pace": 1.0, "busy": False, "sequence": 0, "stalled": []}

    def change_path(self, order: dict) -> bool:
        return False

    async def work(self, run: Run, server: _HttpServer) -> None:
        """Answers one request after a fixed time."""
        await asyncio.sleep(WORK_S)
        server.answer(
            200, self.make_headers(run), f"done {run.request_id}".encode()
        )

    def make_headers(self, run: Run) -> dict[str, str]:
        """Returns the headers of the answer to a request."""
        headers = {
            wire_names.ATTEMPT_ID: run.request_id,
            wire_names.SEAL: "seal",
        }
        if self.announces_leaving:
            headers[wire_names.SERVER_LEAVING] = "1"
        return headers


def _parse_path(text: str) -> tuple[str, ...]:
    return tuple(part.partition("=")[0] for part in text.split(",") if part)


class Engine(Upstream):
    """A simulated engine, which holds some layers of the model."""

    def __init__(self, cluster: "Cluster", base: upstreams.Upstream):
        super().__init__(cluster, base)
        self._running: dict[str, Run] = {}
        # Request, upstream that it waits for, and since when.
        self._stalled: dict[str, tuple[str, float]] = {}

    def make_report(self) -> dict:
        now_s = asyncio.get_running_loop().time()
        stalled = [
            {"id": request_id, "address": address}
            for request_id, (address, since_s) in self._stalled.items()
            if now_s - since_s >= REPORT_LAG_S
        ]
        return {**super().make_report(), "stalled": stalled}

    def change_path(self, order: dict) -> bool:
        run = self._running.get(order.get("id"))
        if run is None:
            return False
        run.path = _parse_path(order["path"])
        return True

    async def work(self, run: Run, server: _HttpServer) -> None:
        """Streams the events of an answer."""
        self._running[run.request_id] = run
        try:
            await self._wait(run, PREFILL_S)
            headers = {
                **self.make_headers(run),
                "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked",
            }
            server.transport.write(_format_head(200, headers))
            for number in range(run.last_event_id + 1, EVENTS + 1):
                event = f"id: {number}\ndata: {run.request_id}\n\n".encode()
                server.transport.write(b"%x\r\n%b\r\n" % (len(event), event))
                await self._wait(run, EVENT_GAP_S)
            server.transport.write(b"0\r\n\r\n")
        finally:
            del self._running[run.request_id]
            self._stalled.pop(run.request_id, None)

    async def _wait(self, run: Run, seconds: float) -> None:
        """Works for a time; stalls while an upstream of the path is dead."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(seconds)
        since_s = loop.time()
        while (dead := self._cluster.find_dead(run.path)) is not None:
            self._stalled[run.request_id] = (dead, since_s)
            if loop.time() - since_s > STALL_S:
                raise _StalledError
            await asyncio.sleep(0.01)
        self._stalled.pop(run.request_id, None)


class Answer:
    """What the caller of one attempt received.

    Attributes:
        at_s: Loop time at which the caller sent the request.
        entry: Name of the entry that it was sent to.
        request: The request.
        event_times: Loop times of its events.
        body: All bytes of the body.
        refusal: How the entry refused it, or None.
        ended_s: Loop time of the end of the answer or refusal, or None.
        is_complete: Whether the whole answer of an upstream arrived.
        is_aborted: Whether the entry broke it off.
        has_left: Whether the caller left before its end.
        error: Exception that ended the request in the entry, or None.
        was_killed: Whether the entry was killed meanwhile.
    """

    def __init__(self, at_s: float, entry: str, request: messages.Request):
        self.at_s = at_s
        self.entry = entry
        self.request = request
        self.event_times: list[float] = []
        self.body = b""
        self.refusal: messages.Refusal | None = None
        self.ended_s: float | None = None
        self.is_complete = False
        self.is_aborted = False
        self.has_left = False
        self.was_killed = False
        self.error: BaseException | None = None
        self._has_begun = False

    @property
    def is_started(self) -> bool:
        return self._has_begun

    @property
    def is_served(self) -> bool:
        """Whether the answer was complete before the caller's deadline."""
        return self.is_complete and self.ended_s <= self.request.deadline_s

    @property
    def is_waiting(self) -> bool:
        """Whether the caller gets an answer or still waits for one."""
        return not (self.has_left or self.was_killed or self.error)

    def get_event_ids(self) -> list[int]:
        """Returns the ids of the events in their order."""
        return [
            int(line.partition(b": ")[2])
            for line in self.body.split(b"\n")
            if line.startswith(b"id: ")
        ]

    async def start(self, head) -> None:
        self._has_begun = True

    async def write(self, data: bytes) -> None:
        self.body += data
        self.event_times.append(asyncio.get_running_loop().time())

    async def finish(self) -> None:
        self.is_complete = True
        self._end()

    async def answer(self, head, body) -> None:
        self._has_begun = True
        self.body = body
        self.is_complete = head.status < 300
        self._end()

    async def refuse(self, refusal) -> None:
        self.refusal = refusal
        self._end()

    def abort(self) -> None:
        self.is_aborted = True
        self._end()

    def _end(self) -> None:
        self.ended_s = asyncio.get_running_loop().time()


class Cluster:
    """Entries and upstreams; a context manager that stops the entries.

    Attributes:
        network: The network that connects them.
        random: Random number generator of the simulation.
        upstreams: Upstreams by address, ``ip:port``.
        entries: Running entries by name.
        hosts: Hosts of the running entries by name.
        disturbed: Names of entries that get no new requests from callers.
        runs: Requests that reached upstreams, in order.
        runs_by_request: The same by request id.
        answers: What callers received, by request id.

    Args:
        network: The network.
        entries: Number of entries.
        engines: Number of engines.
        plain: Number of upstreams of the service without a model.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        network: simulated_network.Network,
        entries: int = 9,
        engines: int = 24,
        plain: int = 3,
        seed: int = 1,
    ):
        self.network = network
        self.random = random.Random(seed)
        self.upstreams: dict[str, Upstream] = {}
        self.entries: dict[str, forwarding_entry.ForwardingEntry] = {}
        self.hosts: dict[str, simulated_network.Host] = {}
        self.runs: list[Run] = []
        self.runs_by_request: dict[str, list[Run]] = {}
        self.answers: dict[str, Answer] = {}
        self._count = entries
        self._catalog = documents.make_catalog(
            1,
            list(ROUTES.values()),
            [
                documents.Service(fleets.SERVICE, "/", 1000, MODEL),
                documents.Service(PLAIN_SERVICE, "/", 1000, None),
            ],
            None,
            documents.RequestLimits(),
        )
        self.disturbed: set[str] = set()
        self._tasks: dict[asyncio.Task, Answer] = {}
        self._confirm_timer: asyncio.TimerHandle | None = None
        for index in range(engines):
            self._add(
                Engine,
                f"10.1.{index // 250}.{index % 250}:{UPSTREAM_PORT}",
                DOMAINS[index % len(DOMAINS)],
                fleets.SERVICE,
                LAYER_HALVES[index // len(DOMAINS) % len(LAYER_HALVES)],
            )
        for index in range(plain):
            self._add(
                Upstream,
                f"10.2.0.{index}:{UPSTREAM_PORT}",
                DOMAINS[index % len(DOMAINS)],
                PLAIN_SERVICE,
                None,
            )

    def _add(self, kind, address, domain, service, layers) -> None:
        base = fleets.make_instance(
            f"i-{address}",
            domain,
            "fast",
            layers,
            service=service,
            address=address,
        )
        self.upstreams[address] = kind(self, base)

    async def __aenter__(self) -> "Cluster":
        for upstream in self.upstreams.values():
            await upstream.start()
        for index in range(self._count):
            await self.start_entry(index)
        self._confirm_list()
        return self

    async def __aexit__(self, *details) -> None:
        self._confirm_timer.cancel()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for name in list(self.entries):
            await self.kill_entry(name)

    # Entries.

    async def start_entry(self, index: int) -> str:
        """Starts an entry, as a new process; returns its name."""
        name = f"entry-{index:03}"
        domain = DOMAINS[index % len(DOMAINS)]
        ip = f"10.0.{index // 250}.{index % 250}"
        seeds = ",".join(f"10.0.0.{seed}:1" for seed in range(3))
        settings = settings_module.parse(
            SETTINGS.format(name=name, ip=ip, domain=domain, seeds=seeds)
        )
        host = self.network.add_host(ip, domain)
        entry = forwarding_entry.ForwardingEntry(
            settings, self.random.randrange(2**32)
        )
        await host.start(self._enter(entry))
        self.entries[name] = entry
        self.hosts[name] = host
        return name

    async def _enter(self, entry: forwarding_entry.ForwardingEntry) -> None:
        """Starts an entry without the store and the placement of layers."""

        async def add_replicated_state(_) -> None:
            loop = asyncio.get_running_loop()
            directory = directory_module.Directory(loop.time)
            directory.replace(self._list_upstreams())
            directory.confirm(loop.time())
            catalog = catalog_service.CurrentCatalog(None, "", loop.time)
            catalog.get = lambda: self._catalog
            for name, service in (
                ("directory", directory),
                ("current_catalog", catalog),
            ):
                await entry.kernel.add(name, contextlib.nullcontext(service))

        async def add_nothing(*details) -> None:
            pass

        entry_class = forwarding_entry.ForwardingEntry
        with (
            mock.patch.object(
                entry_class, "_add_replicated_state", add_replicated_state
            ),
            mock.patch.object(entry_class, "_add_relay", add_nothing),
            mock.patch.object(entry_class, "_add_placement", add_nothing),
        ):
            await entry.__aenter__()

    async def kill_entry(self, name: str) -> None:
        """Ends an entry without a farewell."""
        entry, host = self.entries.pop(name), self.hosts.pop(name)
        self.disturbed.discard(name)
        self.network.kill(host)
        tasks = [t for t, a in self._tasks.items() if a.entry == name]
        for task in tasks:
            self._tasks[task].was_killed = True
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await host.start(entry.__aexit__(None, None, None))

    async def stop_entry(self, name: str) -> None:
        """Ends an entry as SIGTERM does: it drains, then its process ends.

        It gets no new requests from callers from the beginning.
        """
        self.disturbed.add(name)
        entry, host = self.entries[name], self.hosts[name]
        await host.start(entry.drain())
        if self.entries.get(name) is entry:
            await self.kill_entry(name)

    async def freeze_entry(self, name: str, for_s: float) -> None:
        """Freezes an entry for a time."""
        host = self.hosts[name]
        self.disturbed.add(name)
        self.network.freeze(host)
        await asyncio.sleep(for_s)
        self.network.thaw(host)
        self.disturbed.discard(name)

    def get_calm(self) -> list[str]:
        """Returns the names of the entries that callers may use."""
        return sorted(set(self.entries) - self.disturbed)

    def get_ips(self, names: Collection[str] | None = None) -> set[str]:
        """Returns the addresses of entries, of all running ones if None."""
        names = self.hosts if names is None else names
        return {self.hosts[name].address for name in names}

    def get_service(self, name: str, service: str):
        """Returns a service of an entry's kernel."""
        return self.entries[name].kernel.get(service)

    # Upstreams.

    def get_upstream_ips(
        self, is_chosen: Callable[[int, Upstream], bool] = lambda *_: True
    ) -> set[str]:
        """Returns the addresses of the chosen upstreams, by number."""
        return {
            upstream.ip
            for index, upstream in enumerate(self.upstreams.values())
            if is_chosen(index, upstream)
        }

    def add_run(self, run: Run) -> None:
        """Records a request that reached an upstream."""
        self.runs.append(run)
        self.runs_by_request.setdefault(run.request_id, []).append(run)

    def find_dead(self, addresses: Collection[str]) -> str | None:
        """Returns the first of some upstreams that is dead, or None."""
        return next((a for a in addresses if not self.upstreams[a].host), None)

    def _list_upstreams(self) -> list[upstreams.Upstream]:
        return [u.listed for u in self.upstreams.values() if u.host]

    def publish_upstreams(self) -> None:
        """Updates the list of upstreams of all entries."""
        listed = self._list_upstreams()
        for name in self.entries:
            self.get_service(name, "directory").replace(listed)

    def _confirm_list(self) -> None:
        loop = asyncio.get_running_loop()
        for name in self.entries:
            self.get_service(name, "directory").confirm(loop.time())
        self._confirm_timer = loop.call_later(0.5, self._confirm_list)

    # Callers.

    def send(self, route_name: str, entry: str) -> Answer:
        """Sends a request to an entry."""
        loop = asyncio.get_running_loop()
        route = ROUTES[route_name]
        request_id = f"r{len(self.answers) + 1}"
        is_stream = route.kind is documents.RequestKind.STREAM
        is_safe = route.kind is documents.RequestKind.IDEMPOTENT
        headers = multidict.CIMultiDict(
            {
                wire_names.ATTEMPT_ID: request_id,
                wire_names.DEADLINE_MS: str(round(route.timeout_s * 1000)),
            }
        )
        if is_stream:
            headers[wire_names.TOKEN_COUNTS] = "800,30"
            headers[wire_names.PROMPT_PARTS] = f"shared:40,own{request_id}:40"
        http_request = types.SimpleNamespace(
            method="GET" if is_safe else "POST",
            raw_path=f"{route.path_prefix}{request_id}",
            headers=headers,
        )
        request = requests.decode_request(
            http_request,
            route,
            documents.Organisation("org", (KEY,), None),
            loop.time(),
            b"" if is_safe else b"body of " + request_id.encode(),
            1,
        )
        answer = Answer(loop.time(), entry, request)
        self.answers[request_id] = answer
        task = self.hosts[entry].start(self._serve(answer))
        self._tasks[task] = answer
        task.add_done_callback(self._tasks.pop)
        return answer

    async def _serve(self, answer: Answer) -> None:
        frontend = self.get_service(answer.entry, "frontend")
        forwarding = self.get_service(answer.entry, "forwarding")
        # A request in progress keeps a stopping entry from ending.
        frontend.busy_connections.add(answer)
        try:
            await forwarding.serve(answer.request, answer)
        except Exception as error:
            answer.error = error
        finally:
            frontend.busy_connections.discard(answer)

    def leave(self, answer: Answer) -> None:
        """Closes the connection of a caller."""
        for task, other in self._tasks.items():
            if other is answer:
                answer.has_left = True
                task.cancel()

    async def send_at_rate(
        self,
        per_s: float,
        for_s: float,
        choose_entries: Callable[[], list[str]] | None = None,
        weights: dict[str, float] | None = None,
    ) -> list[Answer]:
        """Sends requests at random times; returns what became of them.

        Args:
            per_s: Mean number of requests per second.
            for_s: How long.
            choose_entries: Returns the entries that may get the next request;
                None for all that run and are not disturbed.
            weights: Share of each route; None for `WEIGHTS`.
        """
        answers = []
        weights = weights or WEIGHTS
        loop = asyncio.get_running_loop()
        end_s = loop.time() + for_s
        while True:
            pause_s = self.random.expovariate(per_s)
            if loop.time() + pause_s >= end_s:
                await asyncio.sleep(end_s - loop.time())
                return answers
            await asyncio.sleep(pause_s)
            names = choose_entries() if choose_entries else self.get_calm()
            name = self.random.choice(names)
            route = self.random.choices(list(weights), weights.values())[0]
            answers.append(self.send(route, name))

    async def wait_for_answers(self) -> None:
        """Waits until no caller waits any more."""
        while any(
            a.ended_s is None for a in self.answers.values() if a.is_waiting
        ):
            await asyncio.sleep(0.1)

    def get_runs(self, answer: Answer) -> list[Run]:
        """Returns the runs of a request."""
        runs = self.runs_by_request.get(answer.request.request_id, [])
        return [run for run in runs if run.is_run]
