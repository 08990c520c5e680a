"""Configuration in force: routes, services, organisations and limits."""

import bisect
from collections.abc import Mapping
import dataclasses
import enum

from fuchsiabarrow.catalogs import engines

__all__ = [
    "Catalog",
    "Organisation",
    "RankOrder",
    "RequestKind",
    "RequestLimits",
    "Route",
    "Service",
    "get_rank",
    "get_rank_key",
    "make_catalog",
]


# Rank of a request (see `get_rank`), then the priority of its route.
RankKey = tuple[int, int]


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
class RankOrder:
    """The distinct ranks of the requests that a service may receive.

    Attributes:
        ranks: The ranks, as `get_rank_key` returns them, the most urgent
            (lowest) one first. A single one if the routes to the service have
            the same priority.
    """

    ranks: tuple[RankKey, ...] = ()

    @property
    def is_mixed(self) -> bool:
        """Whether requests of different ranks share the service."""
        return len(self.ranks) > 1

    def get_index(self, rank: RankKey) -> int:
        """Returns how many of the ranks are more urgent than a rank."""
        return bisect.bisect_left(self.ranks, rank)

    def get_position(self, rank: RankKey) -> float:
        """Returns 0.0 for the most urgent rank to 1.0 for the least urgent one.

        The position is always 0.0 if the ranks are not mixed. A rank that is
        not among them, as that of a request that arrived before the
        configuration changed, has the position of the next less urgent one.

        Args:
            rank: Rank of a request.
        """
        if not self.is_mixed:
            return 0.0
        return min(1.0, self.get_index(rank) / (len(self.ranks) - 1))


# Order of a service that no route leads to.
NO_RANKS = RankOrder()


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
        rank_orders: Ranks of the requests of each service that a route leads
            to, by its name.
    """

    version: int
    services: dict[str, Service]
    limits: RequestLimits
    requires_keys: bool
    routes_by_host: dict[str, tuple[Route, ...]]
    organisations_by_key: dict[str, Organisation]
    rank_orders: dict[str, RankOrder]

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix that matches the path."""
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Returns the organisation that holds a key, or None."""
        return self.organisations_by_key.get(key)

    def get_layer_counts(self) -> dict[str, int | None]:
        """Returns the layers of each service's model; None without a model."""
        return {
            service.name: service.engine.layers if service.engine else None
            for service in self.services.values()
        }

    def get_rank_order(self, service: str) -> RankOrder:
        """Returns the ranks of the requests that a service may receive."""
        return self.rank_orders.get(service, NO_RANKS)


def get_rank_key(route: Route, organisation: Organisation | None) -> RankKey:
    """Returns the rank of a request for comparison with others.

    The priority of the organisation goes before that of the route: only
    requests of organisations with the same priority are ordered by the route's.

    Args:
        route: Route of the request.
        organisation: Holder of its API key; None for anonymous requests.
    """
    return get_rank(route, organisation), route.priority


def get_rank(route: Route, organisation: Organisation | None) -> int:
    """Returns the rank of a request; 0 is the most urgent.

    Args:
        route: Route of the request.
        organisation: Holder of its API key; None for anonymous requests.
    """
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return route.priority


def make_catalog(
    version: int,
    routes: list[Route],
    services: list[Service],
    organisations: list[Organisation] | None,
    limits: RequestLimits,
) -> Catalog:
    """Indexes one version of the configuration.

    Args:
        version: Version number.
        routes: All routes.
        services: All services.
        organisations: Holders of API keys; None if no keys are used. With an
            empty list no key is valid.
        limits: Limits on requests of callers.
    """
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    requires_keys = organisations is not None
    routes_by_host = {
        host: tuple(sorted(group, key=lambda r: -len(r.path_prefix)))
        for host, group in by_host.items()
    }
    organisations_by_key = {
        key: organisation
        for organisation in organisations or ()
        for key in organisation.keys
    }
    return Catalog(
        version,
        {service.name: service for service in services},
        limits,
        requires_keys,
        routes_by_host,
        organisations_by_key,
        _find_rank_orders(routes_by_host, requires_keys, organisations_by_key),
    )


def _find_rank_orders(
    routes_by_host: Mapping[str, tuple[Route, ...]],
    requires_keys: bool,
    organisations_by_key: Mapping[str, Organisation],
) -> dict[str, RankOrder]:
    """Returns the ranks of the requests of each service that a route leads to.

    Ranks count as mixed only where routes of unlike priority share a service:
    an operator asks for an order of the requests by that. Priorities of
    organisations alone do not.

    Args:
        routes_by_host: Routes of each host, in the order of their look-up.
        requires_keys: Whether routes that are not anonymous need an API key.
        organisations_by_key: Organisations by API key. Those without a key
            send no requests.
    """
    # One organisation for each distinct priority: there may be thousands of
    # organisations and hundreds of routes.
    holders = {o.priority: o for o in organisations_by_key.values()}
    found: dict[str, set[RankKey]] = {}
    for routes in routes_by_host.values():
        prefixes = set()
        for route in routes:
            # The first of several routes with the same prefix gets the
            # requests.
            if route.path_prefix in prefixes:
                continue
            prefixes.add(route.path_prefix)
            if route.is_anonymous or not requires_keys:
                ranks = {get_rank_key(route, None)}
            else:
                ranks = {get_rank_key(route, o) for o in holders.values()}
            for service in _list_receiving_services(route):
                found.setdefault(service, set()).update(ranks)
    orders = {}
    for service, ranks in found.items():
        ordered = tuple(sorted(ranks))
        is_mixed = len({priority for _, priority in ordered}) > 1
        orders[service] = RankOrder(ordered if is_mixed else ordered[:1])
    return orders


def _list_receiving_services(route: Route) -> list[str]:
    """Returns the services to which requests of a route are sent.

    The weight of a single service has no effect.
    """
    if len(route.services) == 1:
        return [route.services[0][0]]
    return [service for service, weight in route.services if weight > 0]
