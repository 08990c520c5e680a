"""Many entries with simulated engines, on virtual time and without network.

The entries are composed as in production, with their codecs, path selection and
load reports; only connections and datagrams are simulated, the latter with a
delay. An engine begins each answer after a fixed time. It crashes when it
begins one on a prompt with a given part: all its connections are lost, and it
returns after some seconds under a new id.

Engines may also fall silent and go on later, or die. The streams that pass
through such an engine stall; their first engine reports which one they wait
for, and can be told to use another one.
"""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import math
import random
import re
import types
from unittest import mock

import multidict

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import access
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.platform import frontend as frontend_module
from fuchsiabarrow.platform import requests
from fuchsiabarrow.platform import settings as settings_module
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.ports import pipelines
from fuchsiabarrow.utils.tests import virtual_time

DOMAINS = ("a", "b", "c")
MODEL = fleets.make_model(layer_mb=200.0)
LAYER_HALVES = ((0, 40), (40, 80))
PREFILL_S = 0.1
EVENT_GAP_S = 0.1
EVENTS = 10
# Time that a plain upstream takes to answer.
SERVICE_S = 0.05
RETURN_S = 3.0
# Time until all entries know of a crashed or returned engine.
LIST_DELAY_S = 0.3
# Time until an engine that died is removed from the list of upstreams.
LIST_EXPIRY_S = 3.0
# Reports of engines show their state as of this long ago.
REPORT_LAG_S = 0.3
# A stream that waits this long for another engine is cut by its first one.
STALL_S = 3.0
CONNECT_TIMEOUT_S = 0.4
# Shorter times count as over: sums of floating-point times are not exact.
TIME_STEP_S = 1e-6
PLAIN_SERVICE = "plain"
# Number of events of an answer; an end-to-end header of simulated requests.
EVENT_COUNT = "Event-Count"
# The entries know each other, and share retries, from this time on.
WARM_UP_S = 5.0
SETTINGS = """\
node_name={name}
ip={ip}
zone={domain}
listen.front={ip}:1
listen.ready={ip}:2
internal_ports=9000,9001
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


class _Loop(virtual_time.VirtualLoop):
    """Delivers datagrams between the entries of one simulation."""

    def __init__(self, delay_s: float):
        super().__init__()
        self._delay_s = delay_s
        self._endpoints: dict[tuple, asyncio.DatagramProtocol] = {}

    def call_later(self, delay, callback, *args, context=None):
        # A shorter delay may not advance the simulated time at all, so that a
        # timer which is set again until a time has come never ends.
        if 0.0 < delay < TIME_STEP_S:
            delay = TIME_STEP_S
        return super().call_later(delay, callback, *args, context=context)

    async def create_datagram_endpoint(
        self, protocol_factory, local_addr=None, **options
    ):
        protocol = protocol_factory()
        self._endpoints[local_addr] = protocol

        def send(data: bytes, address: tuple) -> None:
            self.call_later(self._delay_s, deliver, data, address)

        def deliver(data: bytes, address: tuple) -> None:
            receiver = self._endpoints.get(address)
            if receiver is not None:
                receiver.datagram_received(data, local_addr)

        def close() -> None:
            if self._endpoints.get(local_addr) is protocol:
                del self._endpoints[local_addr]

        transport = types.SimpleNamespace(
            sendto=send, close=close, is_closing=lambda: False
        )
        protocol.connection_made(transport)
        return transport, protocol


def run(main, delay_s: float = 0.002):
    """Runs a coroutine function on virtual time and returns its result.

    Args:
        main: The coroutine function; has no arguments.
        delay_s: Delay of each datagram.
    """
    loop = _Loop(delay_s)
    try:
        return loop.run_until_complete(main())
    finally:
        loop.close()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached an engine.

    Attributes:
        at_s: Loop time of its arrival.
        engine: Instance id of the engine.
        entry: Name of the entry that sent it.
        parts: Parts of its prompt.
        attempt: Id of the attempt of its caller.
    """

    at_s: float
    engine: str
    entry: str
    parts: tuple[str, ...]
    attempt: str = ""


@dataclasses.dataclass(frozen=True)
class _Silence:
    """A time without a sign of life of an engine.

    Attributes:
        begin_s: Loop time of its begin.
        end_s: Loop time of its end.
        is_accepting: Whether connections are accepted all the same.
    """

    begin_s: float = -math.inf
    end_s: float = -math.inf
    is_accepting: bool = True


class Engine:
    """A simulated engine or plain upstream, over all its starts.

    Attributes:
        silence: Its current or last silence.
        is_refusing: Whether it died and its host refuses connections.
    """

    def __init__(
        self,
        cluster,
        index: int,
        domain: str,
        layers,
        service: str = fleets.SERVICE,
    ):
        self.cluster = cluster
        self.address = f"10.1.{index // 250}.{index % 250}:80"
        self._base = fleets.make_instance(
            "",
            domain,
            "fast" if layers else "",
            layers,
            service=service,
            address=self.address,
        )
        self.silence = _Silence()
        self.is_refusing = False
        self.starts = 0
        # Ordered, so that a seed gives the same run each time.
        self.connections: dict[_Connection, None] = {}
        self.limit_per_s: float | None = None
        self.upstream = None
        self.start()

    def start(self) -> None:
        self.starts += 1
        self.upstream = dataclasses.replace(
            self._base,
            instance_id=f"i-{self.address}-{self.starts}",
            incarnation=self.starts,
        )

    def crash(self) -> None:
        """Ends the engine; it starts again after `RETURN_S`."""
        if self.upstream is None:
            return
        self.upstream = None
        for connection in list(self.connections):
            connection.fail()
        loop = asyncio.get_running_loop()
        loop.call_later(LIST_DELAY_S, self.cluster.publish_upstreams)
        loop.call_later(RETURN_S, self.start)
        loop.call_later(RETURN_S + LIST_DELAY_S, self.cluster.publish_upstreams)

    @property
    def is_first(self) -> bool:
        """Whether paths begin at the engine."""
        layers = self._base.layers
        return layers is not None and layers.first == 0

    @property
    def is_plain(self) -> bool:
        """Whether it is an upstream of the service without a model."""
        return self._base.layers is None

    @property
    def failure_domain(self) -> str:
        """Its failure domain."""
        return self._base.failure_domain

    def move(self, service: str) -> None:
        """Lets the engine belong to another service; before the entries start.

        Args:
            service: Name of the service.
        """
        self._base = dataclasses.replace(self._base, service=service)
        self.start()

    def fall_silent(self, for_s: float, is_accepting: bool) -> None:
        """Sends nothing for some time, and then goes on where it was.

        Args:
            for_s: Length of the silence.
            is_accepting: Whether new connections are accepted.
        """
        now_s = asyncio.get_running_loop().time()
        self.silence = _Silence(now_s, now_s + for_s, is_accepting)

    def die(self, is_dark: bool) -> None:
        """Ends the engine for good.

        Args:
            is_dark: Whether its connections stay open without a sign of life;
                otherwise they are closed and new ones are refused.
        """
        self.fall_silent(math.inf, False)
        if not is_dark:
            self.is_refusing = True
            for connection in list(self.connections):
                connection.fail()
        asyncio.get_running_loop().call_later(LIST_EXPIRY_S, self._expire)

    def _expire(self) -> None:
        self.upstream = None
        self.cluster.publish_upstreams()

    def was_silent(self, at_s: float) -> bool:
        """Returns whether it was silent at a loop time."""
        silence = self.silence
        return silence.begin_s <= at_s < silence.end_s - TIME_STEP_S


class _Connection:
    """One request to a simulated engine."""

    is_reused = False

    def __init__(self, engine: Engine, entry: str):
        self._engine = engine
        self._incarnation = engine.upstream
        self._entry = entry
        self._headers = multidict.CIMultiDict()
        self._lost = asyncio.get_running_loop().create_future()
        self._path_changed = asyncio.get_running_loop().create_future()
        self._events = 0
        self._event_count = EVENTS
        self._has_sent = False
        # Engines that run the request after the first one.
        self.later_engines: tuple[Engine, ...] = ()

    @property
    def attempt(self) -> str:
        """Id of the attempt of the caller."""
        return self._get(wire_names.ATTEMPT_ID)

    async def __aenter__(self):
        self._engine.connections[self] = None
        return self

    async def __aexit__(self, *details):
        self.close()

    def close(self) -> None:
        self._engine.connections.pop(self, None)

    def fail(self) -> None:
        if not self._lost.done():
            self._lost.set_result("connection closed by the engine")

    def disconnect(self, why: str) -> bool:
        was_open = not self._lost.done()
        if was_open:
            self._lost.set_result(why)
        return was_open

    def send(self, data: bytes) -> None:
        for line in data.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]:
            name, _, value = line.decode().partition(": ")
            self._headers.add(name, value)
        cluster = self._engine.cluster
        addresses = [
            hop.partition("=")[0]
            for hop in self._get(wire_names.PATH).split(",")
            if hop
        ]
        self.later_engines = tuple(cluster.engines[a] for a in addresses[1:])
        self._event_count = int(self._get(EVENT_COUNT) or EVENTS)
        if cluster.is_resuming:
            self._events = int(self._get(wire_names.LAST_EVENT_ID) or 0)
        cluster.arrivals.append(
            Arrival(
                asyncio.get_running_loop().time(),
                self._incarnation.instance_id,
                self._entry,
                tuple(
                    part.partition(":")[0]
                    for part in self._get(wire_names.PROMPT_PARTS).split(",")
                ),
                self.attempt,
            )
        )

    def _get(self, name: str) -> str:
        return self._headers.get(name, "")

    async def _wait(self, seconds: float) -> None:
        await asyncio.wait({self._lost}, timeout=seconds)
        if self._lost.done():
            raise exceptions.UpstreamResponseLostError(self._lost.result())

    async def _wait_while_silent(self, is_whole_path: bool) -> None:
        """Waits until no engine is silent that the request needs.

        Args:
            is_whole_path: Whether it needs all engines of its path; otherwise
                only the first one.
        """
        loop = asyncio.get_running_loop()
        stalled_s = math.inf
        while True:
            now_s = loop.time()
            stalling = [
                engine
                for engine in self.later_engines
                if is_whole_path and engine.was_silent(now_s)
            ]
            silent = [e for e in (self._engine,) if e.was_silent(now_s)]
            if not stalling and not silent:
                return
            until_s = max(e.silence.end_s for e in stalling + silent)
            if stalling and not silent:
                stalled_s = min(stalled_s, now_s)
                if now_s - stalled_s >= STALL_S - TIME_STEP_S:
                    self.fail()
                until_s = min(until_s, stalled_s + STALL_S)
            await asyncio.wait(
                {self._lost, self._path_changed},
                timeout=None if until_s == math.inf else until_s - now_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if self._lost.done():
                raise exceptions.UpstreamResponseLostError(self._lost.result())
            if self._path_changed.done():
                self._path_changed = loop.create_future()
                stalled_s = math.inf

    def change_path(self, later_engines: "tuple[Engine, ...]") -> None:
        """Continues over other engines after the first one."""
        self.later_engines = later_engines
        if not self._path_changed.done():
            self._path_changed.set_result(None)

    async def read_head(self):
        if self._engine.is_plain:
            await self._wait(SERVICE_S)
        else:
            await self._wait(PREFILL_S / 2)
        await self._wait_while_silent(False)
        headers = multidict.CIMultiDict(
            {
                wire_names.ATTEMPT_ID: self._get(wire_names.ATTEMPT_ID),
                wire_names.SEAL: "seal",
            }
        )
        limit_per_s = self._engine.limit_per_s
        if limit_per_s is not None:
            headers[wire_names.RATE_LIMIT] = f"{limit_per_s:.1f}"
            name = self._incarnation.instance_id
            cluster = self._engine.cluster
            cluster.limits[name] = limit_per_s
            cluster.announced[name].setdefault(
                self._entry, asyncio.get_running_loop().time()
            )
        return types.SimpleNamespace(
            code=200, reason="OK", headers=headers, chunked=True
        )

    async def read_chunk(self) -> bytes:
        if self._events == self._event_count:
            return b""
        cluster = self._engine.cluster
        await self._wait(
            cluster.event_gap_s if self._has_sent else PREFILL_S / 2
        )
        parts = self._get(wire_names.PROMPT_PARTS).split(",")
        ids = {part.partition(":")[0] for part in parts}
        if cluster.crashing_part in ids:
            cluster.crashes.append(
                (asyncio.get_running_loop().time(), self._incarnation)
            )
            self._engine.crash()
            await self._wait(0.0)
        await self._wait_while_silent(True)
        self._events += 1
        self._has_sent = True
        return b"id: %d\ndata: x\n\n" % self._events

    def is_received(self) -> bool:
        return self._events == self._event_count

    async def read_body(self, limit_bytes: int) -> bytes:
        return b"answer" if self._engine.is_plain else b""


class _Pool:
    """Implements what entries use of `connection_pools.ConnectionPool`."""

    def __init__(self, cluster, entry: str):
        self._cluster = cluster
        self._entry = entry

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        pass

    def record_reported(self, address: str) -> None:
        pass

    def is_reported(self, address: str) -> bool:
        return False

    def is_isolated(self) -> bool:
        return False

    def is_way_lost(self, connection) -> bool:
        return False

    async def open(self, address, may_reuse=True, timeout_s=None):
        engine = self._cluster.engines[address]
        if engine.upstream is None or engine.is_refusing:
            raise exceptions.UpstreamUnreachableError(f"{address}: refused")
        loop = asyncio.get_running_loop()
        if engine.was_silent(loop.time()) and not engine.silence.is_accepting:
            limit_s = min(CONNECT_TIMEOUT_S, timeout_s or math.inf)
            wait_s = engine.silence.end_s - loop.time()
            await asyncio.sleep(min(limit_s, wait_s))
            if wait_s > limit_s:
                raise exceptions.UpstreamUnreachableError(
                    f"{address}: cannot connect (TimeoutError)"
                )
        return _Connection(engine, self._entry)


class _Control:
    """Implements `fuchsiabarrow.ports.pipelines.EngineControl`."""

    def __init__(self, cluster):
        self._cluster = cluster

    async def read_report(self, upstream, timeout_s):
        await asyncio.sleep(0.002)
        engine = self._cluster.engines[upstream.address]
        if engine.is_refusing:
            raise exceptions.UpstreamUnreachableError("refused")
        running = engine.upstream
        if running is None or running.key != upstream.key:
            raise exceptions.UpstreamResponseLostError("other instance")
        await self._wait_while_silent(engine, timeout_s)
        at_s = asyncio.get_running_loop().time() - REPORT_LAG_S
        stalled = tuple(
            (connection.attempt, later.address)
            for connection in engine.connections
            for later in connection.later_engines
            if later.was_silent(at_s)
        )
        return pipelines.EngineReport(1.0, stalled, False, 0)

    async def change_path(self, upstream, request_id, segments, timeout_s):
        engines = self._cluster.engines
        engine = engines[upstream.address]
        try:
            if engine.is_refusing:
                raise exceptions.UpstreamUnreachableError("refused")
            await self._wait_while_silent(engine, timeout_s)
        except exceptions.UpstreamError as error:
            return pipelines.PathChangeOutcome(False, "", str(error))
        later = tuple(engines[s.upstream.address] for s in segments[1:])
        for refusing in (e for e in later if e.is_refusing):
            return pipelines.PathChangeOutcome(
                False, refusing.address, "status 409"
            )
        for connection in engine.connections:
            if connection.attempt == request_id:
                connection.change_path(later)
        return pipelines.PathChangeOutcome(True, "", "")

    async def _wait_while_silent(self, engine: Engine, timeout_s: float):
        wait_s = engine.silence.end_s - asyncio.get_running_loop().time()
        if wait_s <= 0:
            return
        await asyncio.sleep(min(wait_s, timeout_s))
        if wait_s > timeout_s:
            raise exceptions.UpstreamResponseLostError(
                f"no response within {timeout_s} s"
            )


class Answer:
    """What the caller of one attempt received.

    Attributes:
        at_s: Loop time of the request.
        entry: Name of the entry that received it.
        number: Number of the request; attempts of the same request share it.
        event_count: Number of events of a complete answer.
        attempt: Id of the attempt.
        route: Name of its route.
        has_begun: Whether the head of an answer was received.
        is_complete: Whether the answer was complete.
        is_aborted: Whether the answer was cut off.
        has_left: Whether the caller gave up.
        is_ended: Whether the entry is done with the request.
        denied_status: Status of a client error; None if there was none.
        refusal: The refusal, if any.
        ended_s: Loop time at which the entry was done with the request.
        event_times_s: Loop times of the events of a stream.
        event_ids: Ids of the events of a stream.
    """

    def __init__(
        self, at_s: float, entry: str, attempt: str = "", route: str = ""
    ):
        self.at_s = at_s
        self.entry = entry
        self.number = 0
        self.event_count = EVENTS
        self.attempt = attempt
        self.route = route
        self.has_begun = False
        self.is_complete = False
        self.is_aborted = False
        self.has_left = False
        self.is_ended = False
        self.denied_status = None
        self.refusal = None
        self.ended_s = math.inf
        self.event_times_s: list[float] = []
        self.event_ids: list[int] = []
        # Used by the frontend.
        self.request = self.response = None
        self.outcome = ""

    @property
    def is_started(self) -> bool:
        return self.has_begun

    @property
    def last_progress_s(self) -> float:
        """Loop time of the last event, or of the request."""
        return self.event_times_s[-1] if self.event_times_s else self.at_s

    @property
    def is_unanswered(self) -> bool:
        """Whether its connection was closed without any answer or refusal."""
        return (
            self.is_ended
            and not self.has_left
            and not self.has_begun
            and self.refusal is None
            and self.denied_status is None
        )

    @property
    def is_cut(self) -> bool:
        """Whether its connection was closed in the middle of the answer."""
        return (
            self.is_ended
            and not self.has_left
            and self.has_begun
            and not self.is_complete
        )

    @property
    def is_failed(self) -> bool:
        """Whether it ended in a refusal that does not say "not run"."""
        return self.refusal is not None and not self.refusal.is_not_run

    @property
    def is_not_run(self) -> bool:
        """Whether it ended in a refusal that says "not run"."""
        return self.refusal is not None and self.refusal.is_not_run

    @property
    def longest_gap_s(self) -> float:
        """Longest time without an event, also before the first one."""
        times_s = [self.at_s, *self.event_times_s]
        return max((b - a for a, b in itertools.pairwise(times_s)), default=0.0)

    async def start(self, head) -> None:
        self.has_begun = True

    async def write(self, data: bytes) -> None:
        now_s = asyncio.get_running_loop().time()
        for found in re.finditer(rb"^id: (\d+)$", data, re.MULTILINE):
            self.event_ids.append(int(found[1]))
            self.event_times_s.append(now_s)

    async def finish(self) -> None:
        self.is_complete = True

    async def answer(self, head, body) -> None:
        self.has_begun = self.is_complete = True

    async def refuse(self, refusal) -> None:
        self.refusal = refusal

    async def deny(self, status: int, message: str) -> None:
        self.denied_status = status

    def abort(self) -> None:
        self.is_aborted = True

    def log_disconnect(self, arrived_s: float) -> None:
        pass


class Cluster:
    """Entries and engines; a context manager that stops the entries.

    Attributes:
        engines: Engines by address.
        arrivals: Requests that reached engines, in order.
        crashes: Loop times and upstreams of the crashes by `crashing_part`.
        crashing_part: Part of a prompt under which engines crash.
        limits: Limits that engines announced, in requests per second.
        announced: When entries first knew of them, by engine and entry.
        event_gap_s: Time between two events of a stream.
        is_resuming: Whether engines begin a resumed stream after the last
            event that its caller has; otherwise with the first one.
        catalog: Newest configuration.

    Args:
        entries: Number of entries.
        engines: Number of engines.
        seed: Seed of all random numbers.
        plain_upstreams: Number of upstreams of the service without a model.
    """

    def __init__(
        self,
        entries: int,
        engines: int,
        seed: int = 1,
        plain_upstreams: int = 0,
    ):
        self.event_gap_s = EVENT_GAP_S
        self.is_resuming = False
        self.random = random.Random(seed)
        self.arrivals: list[Arrival] = []
        self.crashes: list[tuple] = []
        self.crashing_part = ""
        self.limits: dict[str, float] = {}
        self.announced: dict[str, dict[str, float]] = collections.defaultdict(
            dict
        )
        self.engines: dict[str, Engine] = {}
        for index in range(engines):
            engine = Engine(
                self,
                index,
                DOMAINS[index % len(DOMAINS)],
                LAYER_HALVES[index // len(DOMAINS) % len(LAYER_HALVES)],
            )
            self.engines[engine.address] = engine
        for index in range(engines, engines + plain_upstreams):
            engine = Engine(
                self, index, DOMAINS[index % len(DOMAINS)], None, PLAIN_SERVICE
            )
            self.engines[engine.address] = engine
        self._frontends: dict[str, frontend_module.Frontend] = {}
        self._patches = contextlib.ExitStack()
        self.entries: dict[str, forwarding_entry.ForwardingEntry] = {}
        self._count = entries
        self._request_number = 0
        self._tasks: set[asyncio.Task] = set()
        route = documents.Route(
            "draft",
            "host",
            "/",
            documents.RequestKind.STREAM,
            20.0,
            0.5,
            0.2,
            1,
            ((fleets.SERVICE, 1.0),),
            2,
            False,
            True,
        )
        self._route = route
        self.catalog = documents.make_catalog(
            1,
            [route],
            [documents.Service(fleets.SERVICE, "/", 10, MODEL)],
            None,
            documents.RequestLimits(),
        )

    async def __aenter__(self) -> "Cluster":
        self._patches.enter_context(
            mock.patch.object(
                frontend_module.response_writers,
                "HttpResponseWriter",
                lambda http_request, *_: http_request.answer,
            )
        )
        for index in range(self._count):
            await self.start_entry(index)
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for name in list(self.entries):
            await self.stop_entry(name)
        self._patches.close()

    async def start_entry(self, index: int) -> str:
        """Starts an entry, as a new process; returns its name."""
        name = f"entry-{index:03}"
        ip = f"10.0.{index // 250}.{index % 250}"
        seeds = ",".join(f"10.0.0.{seed}:1" for seed in range(3))
        settings = settings_module.parse(
            SETTINGS.format(
                name=name,
                ip=ip,
                domain=DOMAINS[index % len(DOMAINS)],
                seeds=seeds,
            )
        )
        entry = forwarding_entry.ForwardingEntry(
            settings, self.random.randrange(2**32)
        )
        kernel = entry.kernel
        await entry._stack.enter_async_context(kernel)
        loop = asyncio.get_running_loop()
        directory = directory_module.Directory(loop.time)
        directory.replace(self._list_upstreams())
        directory.confirm(loop.time())
        catalog = catalog_service.CurrentCatalog(None, "", loop.time)
        catalog.catalog = self.catalog
        catalog.get_age_s = lambda: 0.0
        for service_name, service in (
            ("directory", directory),
            ("current_catalog", catalog),
        ):
            await kernel.add(service_name, _Unmanaged(service))
        with (
            mock.patch.object(
                forwarding_entry.connection_pools,
                "ConnectionPool",
                lambda *options: _Pool(self, name),
            ),
            mock.patch.object(
                forwarding_entry.upstream_control,
                "UpstreamControl",
                lambda pool: _Control(self),
            ),
            mock.patch.object(
                forwarding_entry.ForwardingEntry, "_add_relay", _add_no_relay
            ),
        ):
            await entry._add_forwarding()
            await entry._add_load_reports()
        self.entries[name] = entry
        self._frontends[name] = frontend_module.Frontend(
            catalog,
            kernel.get("forwarding"),
            access.Limits(settings.apply_s, settings.revoke_s),
            lambda: True,
            random.Random(index),
        )
        return name

    async def stop_entry(self, name: str) -> None:
        """Ends an entry without a farewell."""
        await self.entries.pop(name)._stack.aclose()

    def _list_upstreams(self) -> list:
        return [
            engine.upstream
            for engine in self.engines.values()
            if engine.upstream is not None
        ]

    def publish_upstreams(self) -> None:
        """Updates the list of upstreams of all entries."""
        listed = self._list_upstreams()
        for entry in self.entries.values():
            entry.kernel.get("directory").replace(listed)

    def publish_catalog(
        self, catalog: documents.Catalog, max_delay_s: float = 0.5
    ) -> None:
        """Puts a configuration in force, at each entry after some time."""
        self.catalog = catalog
        loop = asyncio.get_running_loop()
        for entry in self.entries.values():
            current = entry.kernel.get("current_catalog")
            loop.call_later(
                self.random.uniform(0.0, max_delay_s),
                _put_in_force,
                current,
                catalog,
            )

    def call(
        self,
        route: documents.Route,
        patience_s: float = math.inf,
        event_count: int = EVENTS,
        entry: str | None = None,
        number: int | None = None,
        parts: tuple[str, ...] = (),
    ) -> Answer:
        """Sends a request through the frontend of an entry.

        Args:
            route: Its route; the entry looks it up in its own configuration.
            patience_s: Time without an event after which the caller leaves.
            event_count: Number of events of a complete answer.
            entry: Name of the entry; None to draw one.
            number: Number of the request that this attempt repeats.
            parts: Parts of its prompt that others may have as well.
        """
        name = entry or self.random.choice(sorted(self.entries))
        loop = asyncio.get_running_loop()
        self._request_number += 1
        attempt = f"r{self._request_number}"
        number = number or self._request_number
        headers = {
            "Host": route.host,
            wire_names.ATTEMPT_ID: attempt,
            wire_names.DEADLINE_MS: str(round(route.timeout_s * 1000)),
        }
        if route.kind is documents.RequestKind.STREAM or route.is_resumable:
            headers[wire_names.TOKEN_COUNTS] = "800,30"
            headers[EVENT_COUNT] = str(event_count)
            headers[wire_names.PROMPT_PARTS] = ",".join(
                f"{part}:40" for part in [*parts, f"own{number}"]
            )
        answer = Answer(loop.time(), name, attempt, route.name)
        answer.number = number
        answer.event_count = event_count
        http_request = types.SimpleNamespace(
            method="POST",
            raw_path=f"{route.path_prefix}{number}",
            headers=multidict.CIMultiDict(headers),
            raw_headers=(),
            content_length=None,
            body_exists=False,
            protocol=_CallerConnection(),
            answer=answer,
        )
        self._add_task(self._serve(http_request, answer, patience_s))
        return answer

    async def _serve(self, http_request, answer: Answer, patience_s: float):
        """Handles a request until the entry is done or the caller leaves."""
        loop = asyncio.get_running_loop()
        frontend = self._frontends[answer.entry]
        handling = loop.create_task(frontend.handle(http_request))
        try:
            while not handling.done():
                left_s = answer.last_progress_s + patience_s - loop.time()
                if left_s <= TIME_STEP_S:
                    answer.has_left = True
                    handling.cancel()
                    left_s = math.inf
                await asyncio.wait(
                    {handling}, timeout=None if left_s == math.inf else left_s
                )
        finally:
            handling.cancel()
        answer.ended_s = loop.time()
        answer.is_ended = True

    def _add_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def send(
        self,
        parts: tuple[str, ...],
        organisation: str = "org",
        entry: str | None = None,
    ) -> Answer:
        """Sends a request with these parts and one of its own."""
        name = entry or self.random.choice(sorted(self.entries))
        loop = asyncio.get_running_loop()
        self._request_number += 1
        prompt = [*parts, f"own{self._request_number}"]
        http_request = types.SimpleNamespace(
            method="POST",
            raw_path=f"/draft/{self._request_number}",
            headers=multidict.CIMultiDict(
                {
                    wire_names.ATTEMPT_ID: f"r{self._request_number}",
                    wire_names.TOKEN_COUNTS: "800,30",
                    wire_names.DEADLINE_MS: "20000",
                    wire_names.PROMPT_PARTS: ",".join(
                        f"{part}:40" for part in prompt
                    ),
                }
            ),
        )
        request = requests.decode_request(
            http_request,
            self._route,
            documents.Organisation(organisation, ("key",), None),
            loop.time(),
            b"body%d" % self._request_number,
            1,
        )
        answer = Answer(loop.time(), name)
        forwarding = self.entries[name].kernel.get("forwarding")
        self._add_task(forwarding.serve(request, answer))
        return answer

    async def send_at_rate(
        self, per_s: float, for_s: float, draw_parts, weights=None
    ) -> list[Answer]:
        """Sends requests at random times; returns what became of them.

        Args:
            per_s: Mean number of requests per second.
            for_s: How long.
            draw_parts: Returns the parts of the next prompt.
            weights: Relative numbers of requests of the entries; None if equal.
        """
        answers = []
        end_s = asyncio.get_running_loop().time() + for_s
        while True:
            await asyncio.sleep(self.random.expovariate(per_s))
            if asyncio.get_running_loop().time() >= end_s:
                return answers
            entry = None
            if weights is not None:
                names = sorted(self.entries)
                entry = self.random.choices(names, weights)[0]
            answers.append(self.send(draw_parts(), entry=entry))

    def count_arrivals(self) -> collections.Counter:
        """Returns the number of arrivals at each engine."""
        return collections.Counter(a.engine for a in self.arrivals)


def _put_in_force(current, catalog: documents.Catalog) -> None:
    if catalog.version > current.catalog.version:
        current.catalog = catalog


class _CallerConnection:
    """Connection of a caller that sends one request.

    Attributes:
        request_id: Id of its last request.
        has_next_request: Whether a request was read behind that one.
    """

    def __init__(self):
        self.request_id = ""
        self.has_next_request = False


class _Unmanaged:
    """Lets an object without a context be a service of a kernel."""

    def __init__(self, service):
        self._service = service

    async def __aenter__(self):
        return self._service

    async def __aexit__(self, *details):
        pass


async def _add_no_relay(entry, reports) -> None:
    del entry, reports
