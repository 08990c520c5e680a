"""Scripted upstreams without network, for tests on virtual time.

A script is a list of steps that a fake connection returns in order: a `Head`,
bytes of the body, a `Wait`, or `ConnectionLost`.
"""

import asyncio
import dataclasses
import random

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import service as service_module
from fuchsiabarrow.ports import pipelines
from fuchsiabarrow.scheduling import shares
from fuchsiabarrow.telemetry import metrics

MODEL = fleets.make_model(layer_mb=200.0)
PLAIN_SERVICE = "desk"


def make_event(number: int) -> bytes:
    return b"id: %d\ndata: token\n\n" % number


@dataclasses.dataclass(frozen=True)
class Head:
    status: int = 200
    is_not_run: bool = False
    request_id: str = "r1"
    has_seal: bool = True
    at_fault: str = ""
    ends_with_connection: bool = False
    has_events: bool = False


@dataclasses.dataclass(frozen=True)
class Wait:
    seconds: float


class ConnectionLost:
    """Script step: the connection fails."""


class Unreachable:
    """In place of a script: the connection cannot be opened."""


def answer(body: bytes = b"done", **head) -> list:
    return [Head(**head), body]


def stream(first: int, end: int, gap_s: float = 0.01) -> list:
    script = [Head()]
    for number in range(first, end):
        script += [Wait(gap_s), make_event(number)]
    return script


class FakeConnection:
    def __init__(self, script: list, sent: list, address: str):
        self.is_reused = False
        self._script = list(script)
        self._sent = sent
        self._address = address
        self._broken = asyncio.get_running_loop().create_future()
        self.is_closed = False

    async def __aenter__(self):
        return self

    async def __aexit__(self, *details):
        self.is_closed = True

    def close(self) -> None:
        self.is_closed = True

    def send(self, data) -> None:
        self._sent.append((self._address, *data))

    def disconnect(self, why: str) -> bool:
        was_open = not self._broken.done()
        if was_open:
            self._broken.set_result(why)
        return was_open

    async def _next(self):
        while self._script:
            step = self._script.pop(0)
            if isinstance(step, Wait):
                await asyncio.wait({self._broken}, timeout=step.seconds)
                if self._broken.done():
                    raise exceptions.UpstreamResponseLostError(
                        self._broken.result()
                    )
            elif step is ConnectionLost:
                raise exceptions.UpstreamResponseLostError("reset")
            else:
                return step
        return b""

    async def read_head(self):
        return await self._next()

    async def read_chunk(self) -> bytes:
        return await self._next()

    def is_received(self) -> bool:
        return not self._script

    async def read_body(self, limit_bytes: int) -> bytes:
        chunks = []
        while data := await self.read_chunk():
            chunks.append(data)
        return b"".join(chunks)


class FakePool:
    """Uses the scripts of an address in turn and then repeats the last one."""

    def __init__(self):
        self.scripts: dict[str, list[list]] = {}
        self.sent: list[tuple] = []
        self.connections: list[FakeConnection] = []
        self.connection_type = FakeConnection
        # Upstreams that others were reported not to reach.
        self.reported: list[str] = []

    def record_reported(self, address: str) -> None:
        self.reported.append(address)

    def is_reported(self, address: str) -> bool:
        return address in self.reported

    def is_isolated(self) -> bool:
        return False

    def is_way_lost(self, connection) -> bool:
        return False

    async def open(self, address, may_reuse=True, timeout_s=None):
        scripts = self.scripts[address]
        script = scripts.pop(0) if len(scripts) > 1 else scripts[0]
        if script is Unreachable:
            raise exceptions.UpstreamUnreachableError(f"{address}: refused")
        connection = self.connection_type(script, self.sent, address)
        self.connections.append(connection)
        return connection


class FakeCodec:
    def encode_request(self, request, target, remaining_s, last_event_id):
        return (target, round(remaining_s, 3), last_event_id)

    def decode_head(self, head: Head) -> messages.ResponseHead:
        return messages.ResponseHead(
            head.status,
            "",
            (),
            head.request_id,
            head.is_not_run,
            head.at_fault,
            head.has_seal,
            None,
            head.ends_with_connection,
            has_events=head.has_events,
        )


class FakeControl:
    """Answers probes; those to addresses in ``silent`` time out.

    Those in ``refusing`` accept no connection.
    """

    def __init__(self):
        self.silent: set[str] = set()
        self.refusing: set[str] = set()
        self.stalled: dict[str, tuple] = {}
        self.accepts_paths = True
        self.path_changes: list[tuple] = []
        self.probes: list[tuple[str, float]] = []

    async def read_report(self, upstream, timeout_s):
        now_s = asyncio.get_running_loop().time()
        self.probes.append((upstream.address, now_s))
        if upstream.address in self.refusing:
            raise exceptions.UpstreamUnreachableError(
                "cannot connect"
            ) from ConnectionRefusedError()
        if upstream.address in self.silent:
            await asyncio.sleep(timeout_s)
            raise exceptions.UpstreamResponseLostError("no answer")
        return pipelines.EngineReport(
            1.0, self.stalled.get(upstream.address, ()), False, 0
        )

    async def change_path(self, upstream, request_id, segments, timeout_s):
        self.path_changes.append((request_id, segments))
        return pipelines.PathChangeOutcome(self.accepts_paths, "", "")


class FakeResponseWriter:
    def __init__(self):
        self.head = None
        self.body = b""
        self.refusal = None
        self.is_finished = False
        self.is_aborted = False

    @property
    def is_started(self) -> bool:
        return self.head is not None

    async def start(self, head) -> None:
        assert self.head is None
        self.head = head

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.is_finished = True

    async def answer(self, head, body: bytes) -> None:
        assert self.head is None
        self.head, self.body, self.is_finished = head, body, True

    async def refuse(self, refusal) -> None:
        assert self.head is None
        self.refusal = refusal

    def abort(self) -> None:
        self.is_aborted = True


class Harness:
    """A forwarding service with scripted upstreams.

    Requests to the model compete if `ranks`, those of its routes, differ.
    """

    def __init__(
        self,
        *instances,
        budget_extra: float = 100.0,
        ranks: tuple[int, ...] = (),
        share_table: shares.ShareTable | None = None,
    ):
        loop = asyncio.get_running_loop()
        self.pool = FakePool()
        self.control = FakeControl()
        self.directory = directory_module.Directory(loop.time)
        self.directory.replace(list(instances))
        self.load_table = loads.LoadTable()
        self.metrics = metrics.ForwardingMetrics()
        self.catalog = documents.make_catalog(
            1,
            [make_ranked_route(rank) for rank in ranks],
            [
                documents.Service(PLAIN_SERVICE, "/", 10, None),
                documents.Service(fleets.SERVICE, "/", 10, MODEL),
            ],
            None,
            documents.RequestLimits(),
        )
        self.forwarding = service_module.ForwardingService(
            self.directory,
            self.load_table,
            FakeCodec(),
            self.pool,
            self.control,
            lambda: self.catalog,
            lambda: 1,
            lambda: 0.0,
            service_module.Settings("a", budget_extra=budget_extra),
            random.Random(1),
            self.metrics,
            share_table,
        )

    def script(self, address: str, *scripts) -> None:
        self.pool.scripts[address] = list(scripts)

    async def serve(self, request) -> FakeResponseWriter:
        writer = FakeResponseWriter()
        await self.forwarding.serve(request, writer)
        return writer

    @property
    def sent_addresses(self) -> list[str]:
        """Addresses that the request was sent to, in order."""
        return [sent[0] for sent in self.pool.sent]


def make_route(
    kind=documents.RequestKind.IDEMPOTENT,
    service: str = PLAIN_SERVICE,
    timeout_s: float = 1.0,
    max_attempts: int = 2,
    is_resumable: bool = False,
) -> documents.Route:
    return documents.Route(
        "route",
        "host",
        "/",
        kind,
        timeout_s,
        0.1,
        0.2,
        1,
        ((service, 1.0),),
        max_attempts,
        False,
        is_resumable,
    )


def make_ranked_route(
    rank: int, objective_s: float = 0.5, **changes
) -> documents.Route:
    """Returns a route of streams of a rank; its path prefix differs by rank."""
    return dataclasses.replace(
        make_route(
            documents.RequestKind.STREAM,
            fleets.SERVICE,
            20.0,
            is_resumable=True,
        ),
        name=f"route-{rank}",
        path_prefix=f"/{rank}/",
        latency_objective_s=objective_s,
        event_gap_objective_s=0.25,
        priority=rank,
        **changes,
    )


def make_request(route, **changes) -> messages.Request:
    now_s = asyncio.get_running_loop().time()
    fields = {
        "request_id": "r1",
        "method": "GET",
        "target": "/x",
        "headers": (),
        "body": b"",
        "route": route,
        "organisation": None,
        "arrived_s": now_s,
        "deadline_s": now_s + 20.0,
    }
    fields.update(changes)
    return messages.Request(**fields)


def make_stream_request(
    is_resumable: bool = True, shared_parts: tuple[str, ...] = (), **changes
):
    route = make_route(
        documents.RequestKind.STREAM,
        fleets.SERVICE,
        20.0,
        is_resumable=is_resumable,
    )
    generation = messages.GenerationParameters(
        800, 200, shared_parts=shared_parts
    )
    return make_request(route, **{"generation": generation, **changes})


def make_ranked_request(rank: int, objective_s: float = 0.5, **changes):
    return make_request(
        make_ranked_route(rank, objective_s),
        **{"generation": messages.GenerationParameters(800, 200), **changes},
    )
