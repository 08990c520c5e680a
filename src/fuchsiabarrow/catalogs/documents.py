"""Configuration in force: routes, services, organisations and limits."""

import dataclasses
import enum

from fuchsiabarrow.catalogs import engines

__all__ = [
    "Catalog",
    "Organisation",
    "RequestKind",
    "RequestLimits",
    "Route",
    "Service",
    "make_catalog",
]


class RequestKind(enum.Enum):
    """How requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Rules for the requests under one host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host that it serves, in lower case.
        path_prefix: Path prefix; begins and ends with a slash.
        kind: How its requests may be retried.
        timeout_s: Request timeout.
        latency_objective_s: Latency objective of an answer.
        event_gap_objective_s: Objective for the longest time between two
            events of a stream, or None.
        priority: Priority of its requests; 0 is the highest.
        services: Names of the services and their traffic weights.
        max_attempts: Maximum number of upstreams that may run one request.
        is_anonymous: Whether requests need no API key.
        is_resumable: Whether a stream may continue on another upstream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    latency_objective_s: float
    event_gap_objective_s: float | None
    priority: int
    services: tuple[tuple[str, float], ...]
    max_attempts: int
    is_anonymous: bool
    is_resumable: bool

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be retried if it may have run already."""
        if self.kind is RequestKind.STREAM:
            return self.is_resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams.

    Attributes:
        name: Service name that upstreams register with.
        health_path: Path of the health check.
        max_connections: Maximum number of connections that one upstream
            accepts, over all clients.
        engine: Performance model of its engines, None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: engines.EnginePerformance | None


@dataclasses.dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation that holds API keys.

    Attributes:
        name: Name that is sent to upstreams.
        keys: API keys of its callers.
        priority: Priority that overrides the route's, or None.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size and time limits for requests of callers.

    Attributes:
        max_header_bytes: Maximum size of the header section.
        max_body_bytes: Maximum size of a body.
        header_timeout_s: Timeout for receiving the header section.
        idle_timeout_s: Idle timeout of a persistent connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Catalog:
    """One version of the configuration, indexed for look-up.

    Attributes:
        version: Version number; increases with each version.
        services: Services by name.
        limits: Limits on requests of callers.
        requires_keys: Whether routes that are not anonymous need an API key.
        routes_by_host: Routes of each host, longest path prefix first.
        organisations_by_key: Organisations by API key.
    """

    version: int
    services: dict[str, Service]
    limits: RequestLimits
    requires_keys: bool
    routes_by_host: dict[str, tuple[Route, ...]]
    organisations_by_key: dict[str, Organisation]

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches the path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Returns the organisation that holds a key, or None."""
        return self.organisations_by_key.get(key)


def make_catalog(
    version: int,
    routes: list[Route],
    services: list[Service],
    organisations: list[Organisation],
    limits: RequestLimits,
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
            host: tuple(sorted(group, key=lambda r: -len(r.path_prefix)))
            for host, group in by_host.items()
        },
        {
            key: organisation
            for organisation in organisations
            for key in organisation.keys
        },
    )
