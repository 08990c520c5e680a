"""Decoding of objects of the platform's store into the package's types."""

from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
from typing import Annotated
from typing import Any

import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import addresses
from fuchsiabarrow.utils import json_slices

__all__ = [
    "Event",
    "Listing",
    "Metadata",
    "StoredObject",
    "WatchAnswer",
    "convert_object",
    "decode_catalog",
    "decode_listing",
    "decode_upstream",
    "decode_watch_answer",
    "join_revision",
    "split_revision",
]

MS_PER_S = 1000.0
# Bits of a joined revision that hold the store's own revision.
ERA_SHIFT = 44
KINDS = {
    "idempotent": documents.RequestKind.IDEMPOTENT,
    "non_idempotent": documents.RequestKind.ONCE,
    "streaming": documents.RequestKind.STREAM,
}
STATES = ("ready", "draining")
# Raised for a text that is not JSON, not Unicode, or nested too deeply.
DECODING_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

_log = logbook.Logger(__name__)


class Metadata(msgspec.Struct, frozen=True):
    """Name and revision of an object.

    Attributes:
        name: Name within its kind.
        revision: Revision of the store at the object's last change; 0 if the
            store did not send it.
    """

    name: str = ""
    revision: int = 0


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the store sends it, with `spec` not yet decoded."""

    metadata: Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class Listing(msgspec.Struct, frozen=True):
    """A page of a listing of the objects of one kind.

    Attributes:
        entries: The objects.
        more: Whether another page follows.
        store_revision: Revision of the store at which the page was read;
            watches start from it.
    """

    entries: list[StoredObject]
    store_revision: int
    more: bool = False


class Event(msgspec.Struct, frozen=True):
    """A change of an object; `tombstone` is set if it was removed."""

    object: StoredObject
    tombstone: bool = False


class WatchAnswer(msgspec.Struct, frozen=True):
    """Changes since the revision that a watch started from."""

    events: list[Event]
    store_revision: int


def decode_listing(body: bytes) -> Listing:
    """Decodes a page of a listing.

    An object whose `spec` cannot be read does not affect the others.

    Raises:
        InvalidObjectError: It is not a page of a listing.
    """
    try:
        return msgspec.json.decode(body, type=Listing)
    except DECODING_ERRORS as error:
        with _as_invalid("listing", error):
            page = json_slices.split_object(body)
            return Listing(
                _decode_objects(json_slices.split_array(page[b"entries"])),
                msgspec.json.decode(page[b"store_revision"], type=int),
                msgspec.json.decode(page.get(b"more", b"false"), type=bool),
            )


def decode_watch_answer(body: bytes) -> WatchAnswer:
    """Decodes the changes that a watch returns, like `decode_listing`.

    Raises:
        InvalidObjectError: It is not the answer to a watch.
    """
    try:
        return msgspec.json.decode(body, type=WatchAnswer)
    except DECODING_ERRORS as error:
        with _as_invalid("answer to a watch", error):
            answer = json_slices.split_object(body)
            events = [
                json_slices.split_object(event)
                for event in json_slices.split_array(answer[b"events"])
            ]
            return WatchAnswer(
                [
                    Event(
                        stored,
                        msgspec.json.decode(
                            event.get(b"tombstone", b"false"), type=bool
                        ),
                    )
                    for event in events
                    for stored in _decode_objects([event[b"object"]])
                ],
                msgspec.json.decode(answer[b"store_revision"], type=int),
            )


@contextlib.contextmanager
def _as_invalid(what: str, cause: Exception) -> Iterator[None]:
    """Raises errors as `InvalidObjectError` with the first one's text."""
    try:
        yield
    except (*DECODING_ERRORS, ValueError, KeyError) as error:
        raise exceptions.InvalidObjectError(
            f"malformed {what} ({cause})"
        ) from error


def _decode_objects(texts: Iterable[bytes]) -> list[StoredObject]:
    """Decodes objects one by one, with each `spec` as it is.

    Objects without a readable name are left out.
    """
    found = []
    for text in texts:
        try:
            members = json_slices.split_object(text)
            metadata = msgspec.json.decode(members[b"metadata"], type=Metadata)
        except (*DECODING_ERRORS, ValueError, KeyError) as error:
            _log.warning(logs.format_event("object_invalid", why=error))
            continue
        spec = msgspec.Raw(members.get(b"spec", b"null"))
        found.append(StoredObject(metadata, spec))
    return found


def convert_object(
    stored: StoredObject, era: int = 0
) -> objects.VersionedObject:
    """Converts an object of the store into the type of the port."""
    metadata = stored.metadata
    return objects.VersionedObject(
        metadata.name,
        bytes(stored.spec),
        join_revision(era, metadata.revision),
    )


def join_revision(era: int, revision: int) -> int:
    """Returns a revision that grows when the store returns to an older state.

    The store gives out revisions again then, with other contents.
    """
    return era << ERA_SHIFT | revision


def split_revision(joined: int) -> tuple[int, int]:
    """Returns the era and the store's own revision of a joined one."""
    return joined >> ERA_SHIFT, joined & ((1 << ERA_SHIFT) - 1)


# An entry may come from another writer. Numbers are bounded by the types that
# hold them elsewhere.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_UnixTimeMs = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _LayerRange(msgspec.Struct, frozen=True):
    # "start_key" is the first layer, "to" is one past the last.
    start_key: _Count
    to: _Count


class _Server(msgspec.Struct, frozen=True):
    # Fields without a default are in all entries of upstreams: one that lacks
    # any is of another writer.
    service: str
    address: str
    zone: str
    version: str
    slots: _Count
    state: str
    cold_left_ms: float
    sequence: _Count
    # Unix time in ms at which the instance started; differs after a restart.
    born: _UnixTimeMs = 0
    kind: str | None = None
    layers: _LayerRange | None = None


def decode_upstream(stored: objects.VersionedObject) -> upstreams.Upstream:
    """Decodes an object of the list of upstreams.

    Raises:
        InvalidObjectError: A field is missing or invalid.
    """
    name = stored.name
    try:
        server = msgspec.json.decode(stored.value, type=_Server)
    except DECODING_ERRORS as error:
        raise exceptions.InvalidObjectError(
            f"servers/{name}: {error}"
        ) from error
    if server.state not in STATES:
        raise exceptions.InvalidObjectError(
            f"servers/{name}: invalid state {server.state!r}"
        )
    try:
        addresses.parse_address(server.address)
    except ValueError as error:
        raise exceptions.InvalidObjectError(
            f"servers/{name}: invalid address ({error})"
        ) from error
    layers = None
    if server.layers is not None and server.layers.to > server.layers.start_key:
        layers = upstreams.LayerRange(server.layers.start_key, server.layers.to)
    return upstreams.Upstream(
        instance_id=name,
        incarnation=server.born,
        service=server.service,
        address=server.address,
        failure_domain=server.zone,
        slots=server.slots,
        is_leaving=server.state == "draining",
        kind=server.kind or "",
        layers=layers,
    )


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float


class _Route(msgspec.Struct, frozen=True):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: float = 0.0
    priority: int = 0
    service: str = ""
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class _ModelWeights(msgspec.Struct, frozen=True):
    name: str
    load_s: float = 0.0


class _Delay(msgspec.Struct, frozen=True):
    # "start_key" and "to" are two failure domains here.
    start_key: str
    to: str
    delay_ms: float


class _TypicalLengths(msgspec.Struct, frozen=True):
    prompt: float = 0.0
    answer: float = 0.0


class _AcceleratorKind(msgspec.Struct, frozen=True):
    name: str
    mb: float
    # Factor on the time of a decoding step; in a status report "pace" is the
    # factor of one upstream.
    pace: float
    # Factor on the time to prefill prompts.
    read_x: float


class _Engine(msgspec.Struct, frozen=True):
    slots: int = 1
    kv_token_bytes: float = 0.0
    stride: int = 1
    models: list[_ModelWeights] = []
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 1.0
    delays: list[_Delay] = []
    usual: _TypicalLengths = _TypicalLengths()
    layers: int = 0
    layer_mb: float = 0.0
    act_bytes: float = 0.0
    pipe_mbps: float = 0.0
    kinds: list[_AcceleratorKind] = []


class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = "/"
    max_conns: int = 1
    engine: _Engine | None = None


class _Tenant(msgspec.Struct, frozen=True):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    # Without the field, callers need no keys; with an empty list none is valid.
    tenants: list[_Tenant] | msgspec.UnsetType = msgspec.UNSET
    limits: _Limits = _Limits()


def decode_catalog(stored: objects.VersionedObject) -> documents.Catalog:
    """Decodes the configuration that the operator writes.

    Raises:
        InvalidObjectError: A field is missing or invalid.
    """
    try:
        config = msgspec.json.decode(stored.value, type=_Config)
    except DECODING_ERRORS as error:
        raise exceptions.InvalidObjectError(f"config/main: {error}") from error
    limits = config.limits
    return documents.make_catalog(
        config.version,
        [_make_route(route) for route in config.routes],
        [_make_service(service) for service in config.services],
        None
        if config.tenants is msgspec.UNSET
        else [
            documents.Organisation(t.name, tuple(t.api_keys), t.priority)
            for t in config.tenants
        ],
        documents.RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / MS_PER_S,
            limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _make_route(route: _Route) -> documents.Route:
    services: Any = tuple((s.service, s.weight) for s in route.traffic_split)
    if route.service and not services:
        services = ((route.service, 1.0),)
    if route.kind not in KINDS:
        raise exceptions.InvalidObjectError(
            f"config/main: route {route.name} has unknown kind {route.kind!r}"
        )
    gap_ms = route.gap_aim_ms
    return documents.Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=KINDS[route.kind],
        timeout_s=route.timeout_ms / MS_PER_S,
        latency_objective_s=route.slo_ms / MS_PER_S,
        event_gap_objective_s=None if gap_ms is None else gap_ms / MS_PER_S,
        priority=route.priority,
        services=services,
        max_attempts=route.max_attempts,
        is_anonymous=route.anonymous,
        is_resumable=route.resumable,
    )


def _make_service(service: _Service) -> documents.Service:
    engine = service.engine
    model = None
    if engine is not None and engine.layers > 0:
        model = engines.EnginePerformance(
            layers=engine.layers,
            layer_mb=engine.layer_mb,
            slots=engine.slots,
            kv_bytes_per_token=engine.kv_token_bytes,
            step_ms=engine.step_ms,
            step_per_request_ms=engine.per_seq_ms,
            step_per_k_context_ms=engine.context_per_k,
            prefill_tokens_per_s=engine.read_per_s,
            tokens_per_event=engine.stride,
            load_s=max((m.load_s for m in engine.models), default=0.0),
            mean_prompt_tokens=engine.usual.prompt,
            mean_answer_tokens=engine.usual.answer,
            activation_bytes_per_token=engine.act_bytes,
            link_mbps=engine.pipe_mbps,
            domain_delay_ms=max((d.delay_ms for d in engine.delays), default=0),
            kinds={
                k.name: engines.AcceleratorKind(k.name, k.mb, k.pace, k.read_x)
                for k in engine.kinds
            },
        )
    return documents.Service(
        service.name, service.health_path, service.max_conns, model
    )
