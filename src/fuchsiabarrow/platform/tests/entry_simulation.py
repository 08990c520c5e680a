"""Many entries with simulated engines, on virtual time and without network.

The entries are composed as in production, with their codecs, path selection and
load reports; only connections and datagrams are simulated, the latter with a
delay. An engine begins each answer after a fixed time. It crashes when it
begins one on a prompt with a given part: all its connections are lost, and it
returns after some seconds under a new id.
"""

import asyncio
import collections
import dataclasses
import random
import types
from unittest import mock

import multidict

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet.tests import fleets
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
RETURN_S = 3.0
# Time until all entries know of a crashed or returned engine.
LIST_DELAY_S = 0.3
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
    """

    at_s: float
    engine: str
    entry: str
    parts: tuple[str, ...]


class Engine:
    """A simulated engine, over all its starts."""

    def __init__(self, cluster, index: int, domain: str, layers):
        self.cluster = cluster
        self.address = f"10.1.{index // 250}.{index % 250}:80"
        self._base = fleets.make_instance(
            "", domain, "fast", layers, address=self.address
        )
        self.starts = 0
        self.connections: set[_Connection] = set()
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


class _Connection:
    """One request to a simulated engine."""

    is_reused = False

    def __init__(self, engine: Engine, entry: str):
        self._engine = engine
        self._incarnation = engine.upstream
        self._entry = entry
        self._headers = multidict.CIMultiDict()
        self._lost = asyncio.get_running_loop().create_future()
        self._events = 0

    async def __aenter__(self):
        self._engine.connections.add(self)
        return self

    async def __aexit__(self, *details):
        self.close()

    def close(self) -> None:
        self._engine.connections.discard(self)

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
        cluster.arrivals.append(
            Arrival(
                asyncio.get_running_loop().time(),
                self._incarnation.instance_id,
                self._entry,
                tuple(
                    part.partition(":")[0]
                    for part in self._get(wire_names.PROMPT_PARTS).split(",")
                ),
            )
        )

    def _get(self, name: str) -> str:
        return self._headers.get(name, "")

    async def _wait(self, seconds: float) -> None:
        await asyncio.wait({self._lost}, timeout=seconds)
        if self._lost.done():
            raise exceptions.UpstreamResponseLostError(self._lost.result())

    async def read_head(self):
        await self._wait(PREFILL_S / 2)
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
        if self._events == EVENTS:
            return b""
        await self._wait(EVENT_GAP_S if self._events else PREFILL_S / 2)
        cluster = self._engine.cluster
        parts = self._get(wire_names.PROMPT_PARTS).split(",")
        ids = {part.partition(":")[0] for part in parts}
        if cluster.crashing_part in ids:
            cluster.crashes.append(
                (asyncio.get_running_loop().time(), self._incarnation)
            )
            self._engine.crash()
            await self._wait(0.0)
        self._events += 1
        return b"id: %d\ndata: x\n\n" % self._events

    async def read_body(self, limit_bytes: int) -> bytes:
        return b""


class _Pool:
    """Implements the part of `connections.ConnectionPool` that entries use."""

    def __init__(self, cluster, entry: str):
        self._cluster = cluster
        self._entry = entry

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        pass

    async def open(self, address, may_reuse=True, timeout_s=None):
        engine = self._cluster.engines[address]
        if engine.upstream is None:
            raise exceptions.UpstreamUnreachableError(f"{address}: refused")
        return _Connection(engine, self._entry)


class _Control:
    """Implements `fuchsiabarrow.ports.pipelines.EngineControl`."""

    def __init__(self, cluster):
        self._cluster = cluster

    async def read_report(self, upstream, timeout_s):
        await asyncio.sleep(0.002)
        running = self._cluster.engines[upstream.address].upstream
        if running is None or running.key != upstream.key:
            raise exceptions.UpstreamResponseLostError("other instance")
        return pipelines.EngineReport(1.0, (), False, 0)

    async def change_path(self, upstream, request_id, segments, timeout_s):
        return pipelines.PathChangeOutcome(True, "", "")


class Answer:
    """What the caller of one attempt received."""

    def __init__(self, at_s: float, entry: str):
        self.at_s = at_s
        self.entry = entry
        self.has_begun = False
        self.is_complete = False
        self.refusal = None

    @property
    def is_started(self) -> bool:
        return self.has_begun

    async def start(self, head) -> None:
        self.has_begun = True

    async def write(self, data: bytes) -> None:
        pass

    async def finish(self) -> None:
        self.is_complete = True

    async def answer(self, head, body) -> None:
        self.has_begun = self.is_complete = True

    async def refuse(self, refusal) -> None:
        self.refusal = refusal

    def abort(self) -> None:
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

    Args:
        entries: Number of entries.
        engines: Number of engines.
        seed: Seed of all random numbers.
    """

    def __init__(self, entries: int, engines: int, seed: int = 1):
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
            [],
            documents.RequestLimits(),
        )

    async def __aenter__(self) -> "Cluster":
        for index in range(self._count):
            await self.start_entry(index)
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for name in list(self.entries):
            await self.stop_entry(name)

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
        catalog.get = lambda: self.catalog
        for service_name, service in (
            ("directory", directory),
            ("current_catalog", catalog),
        ):
            await kernel.add(service_name, _Unmanaged(service))
        with (
            mock.patch.object(
                forwarding_entry.connections,
                "ConnectionPool",
                lambda timeout_s: _Pool(self, name),
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
        task = loop.create_task(forwarding.serve(request, answer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
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
