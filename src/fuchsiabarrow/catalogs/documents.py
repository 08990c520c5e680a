"""Routes, services, organisations and limits in force, and their look-up."""

import dataclasses
import enum

from fuchsiabarrow.catalogs import engines

__all__ = [
    "Catalog",
    "Limits",
    "Organisation",
    "RequestKind",
    "Route",
    "Service",
    "make_catalog",
]


class RequestKind(enum.Enum):
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests under a host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Host that it serves, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a request may wait.
        objective_s: Time within which an answer has its full worth.
        gap_objective_s: Longest pause between two events of a stream, or None.
        priority: Rank, 0 first.
        services: Services and their weights.
        max_attempts: Most upstreams that may run one request.
        is_anonymous: Whether no key is needed.
        is_resumable: Whether a stream may go on elsewhere.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    objective_s: float
    gap_objective_s: float | None
    priority: int
    services: tuple[tuple[str, float], ...]
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request may run again after it may have run."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams.

    Attributes:
        name: Name that upstreams register under.
        health_path: Path of the health check.
        max_connections: Connections that one upstream takes from all callers.
        engine: Constants of its engines, None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: engines.EngineModel | None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """A holder of keys.

    Attributes:
        name: Name that upstreams are shown.
        keys: Keys of its callers.
        priority: Rank that goes before the route's, or None.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send and how long it may take.

    Attributes:
        max_header_bytes: Size of the header section.
        max_body_bytes: Size of a body.
        header_timeout_s: Time to send the header section.
        idle_timeout_s: Time that a kept connection may stay idle.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration, indexed.

    Attributes:
        version: Number of the version; grows.
        services: Services by name.
        limits: Limits on callers.
        requires_keys: Whether routes that are not anonymous need a key.
        routes_by_host: Routes of a host, longest prefix first.
        organisations_by_key: Organisations by key.
    """

    version: int
    services: dict[str, Service]
    limits: Limits
    requires_keys: bool
    routes_by_host: dict[str, tuple[Route, ...]]
    organisations_by_key: dict[str, Organisation]

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Returns who holds a key."""
        return self.organisations_by_key.get(key)


def make_catalog(
    version: int,
    routes: list[Route],
    services: list[Service],
    organisations: list[Organisation],
    limits: Limits,
) -> Catalog:
    """Indexes one version of the configuration."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return Catalog(
        version,
        {service.name: service for service in services},
        limits,
        bool(organisations),
        {
            host: tuple(sorted(found, key=lambda r: -len(r.path_prefix)))
            for host, found in by_host.items()
        },
        {key: owner for owner in organisations for key in owner.keys},
    )
