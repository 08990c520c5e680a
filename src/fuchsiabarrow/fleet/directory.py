"""Directory of upstreams, with passive health checks; without I/O.

The list says which upstreams are registered; the outcomes of requests say which
of them do not answer. Recorded failures expire, so that an upstream that has
recovered is used again.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.utils import jitter

__all__ = ["Directory"]

# An upstream is avoided this long after a failure, twice as long after each
# further one, up to the maximum. A failure while it is avoided already does not
# double the time but starts it again.
MIN_AVOID_S = 2.0
MAX_AVOID_S = 6.0
# Time without failures after which the avoidance starts from its minimum again.
FAILURE_RESET_S = 10.0
# Number of consecutive requests without a successful answer that counts as a
# failure.
MAX_UNSUCCESSFUL_REQUESTS = 3
# An upstream that rejected work for lack of capacity gets none for this long.
FULL_EXPIRY_S = 0.25
# A reported slowdown expires after this time.
SLOWDOWN_EXPIRY_S = 3.0


@dataclasses.dataclass(slots=True)
class _Health:
    failures: int = 0
    failed_at_s: float = 0.0
    avoid_until_s: float = 0.0
    is_shared: bool = False
    unsuccessful_requests: int = 0
    full_until_s: float = 0.0


class Directory:
    """Upstreams by instance id, and their recent failures.

    Attributes:
        updated_at_s: Time at which the list was last confirmed to be current.

    Args:
        read_time_s: Monotonic clock.
    """

    def __init__(self, read_time_s: Callable[[], float]):
        self.updated_at_s = float("-inf")
        self._read_time_s = read_time_s
        self._upstreams: dict[str, upstreams.Upstream] = {}
        # Newest incarnation at each address.
        self._newest: dict[str, int] = {}
        # Layers of the model of each configured service, None without one.
        self._services: Mapping[str, int | None] = {}
        # Listed upstreams with layers that the model of their service lacks.
        self._misfits: set[str] = set()
        self._health: dict[tuple[str, int], _Health] = {}
        self._slowdowns: dict[tuple[str, int], tuple[float, float]] = {}
        self._paused_until_s: dict[tuple[str, int], float] = {}
        self._listeners: list[Callable[[], None]] = []
        self._failure_listeners: list[Callable[[], None]] = []

    def add_failure_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback for failures that other entries are to learn."""
        self._failure_listeners.append(listener)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback for changes of the list."""
        self._listeners.append(listener)

    def set_services(self, layer_counts: Mapping[str, int | None]) -> None:
        """Sets the services that are configured.

        Upstreams with layers that the model of their service does not have are
        listed but not used, and those of other services do not take the place
        of any: their entries were not written by instances of these services.

        Args:
            layer_counts: Number of layers of the model of each service; None
                for a service without one.
        """
        if layer_counts != self._services:
            self._services = dict(layer_counts)
            self._notify()

    def replace(self, listed: list[upstreams.Upstream]) -> None:
        """Replaces all upstreams."""
        self._upstreams = {u.instance_id: u for u in listed}
        keys = {u.key for u in listed}
        for by_key in (self._health, self._slowdowns, self._paused_until_s):
            for key in [k for k in by_key if k not in keys]:
                del by_key[key]
        self._notify()

    def put(self, upstream: upstreams.Upstream) -> None:
        """Adds or updates one upstream."""
        self._upstreams[upstream.instance_id] = upstream
        self._notify()

    def remove(self, instance_id: str) -> None:
        """Removes an upstream that is no longer listed."""
        if self._upstreams.pop(instance_id, None) is not None:
            self._notify()

    def get_misfits(self) -> set[str]:
        """Returns the ids of those with layers that their model lacks."""
        return self._misfits

    def confirm(self, at_s: float) -> None:
        """Records that the list was current at a time."""
        self.updated_at_s = max(self.updated_at_s, at_s)

    def get_age_s(self) -> float:
        """Returns the time since the list was last confirmed to be current."""
        return self._read_time_s() - self.updated_at_s

    def get(self, instance_id: str) -> upstreams.Upstream | None:
        """Returns the upstream with an instance id, or None."""
        return self._upstreams.get(instance_id)

    def find_by_address(self, address: str) -> upstreams.Upstream | None:
        """Returns the newest upstream with an address, or None.

        Those of services that are not configured are left out.
        """
        matching = [
            u
            for u in self._upstreams.values()
            if u.address == address and self._is_configured(u)
        ]
        return max(matching, key=lambda u: u.incarnation, default=None)

    def is_replaced(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether a newer instance runs in the place of an instance.

        It has the same id or the same address, so that the older one has ended.
        """
        return any(
            known is not None and known.incarnation > upstream.incarnation
            for known in (
                self._upstreams.get(upstream.instance_id),
                self.find_by_address(upstream.address),
            )
        )

    def get_all(self) -> list[upstreams.Upstream]:
        """Returns all upstreams in the list."""
        return list(self._upstreams.values())

    def get_upstreams(self, service: str) -> list[upstreams.Upstream]:
        """Returns a service's upstreams, including leaving and avoided ones.

        An upstream whose address was taken over by a newer one is left out: it
        has stopped, although it may stay in the list for some time. So is one
        with layers that the model of the service does not have.
        """
        return [
            u
            for u in self._upstreams.values()
            if u.service == service
            and u.incarnation == self._newest.get(u.address)
            and u.instance_id not in self._misfits
        ]

    def get_usable_upstreams(self, service: str) -> list[upstreams.Upstream]:
        """Returns those of `get_upstreams` that may get new work."""
        return [
            u
            for u in self._upstreams.values()
            if u.service == service
            and not u.is_leaving
            and u.incarnation == self._newest.get(u.address)
            and u.instance_id not in self._misfits
            and not self.is_avoided(u)
            and not self.is_paused(u)
        ]

    def record_leaving(self, upstream: upstreams.Upstream) -> bool:
        """Records that an upstream has announced that it is leaving.

        Returns:
            Whether that is new. One that is not listed any more gets no work
            anyway, and a newer instance of its id is not leaving.
        """
        known = self._upstreams.get(upstream.instance_id)
        if known is None or known.key != upstream.key or known.is_leaving:
            return False
        self.put(dataclasses.replace(known, is_leaving=True))
        return True

    def record_pause(self, upstream: upstreams.Upstream, for_s: float) -> None:
        """Records that an upstream asks for no requests for some seconds.

        The later end of several pauses holds.
        """
        until_s = self._read_time_s() + for_s
        known_s = self._paused_until_s.get(upstream.key, until_s)
        self._paused_until_s[upstream.key] = max(known_s, until_s)

    def get_pause_s(self, upstream: upstreams.Upstream) -> float:
        """Returns the time left of the pause of an upstream, 0 without one."""
        until_s = self._paused_until_s.get(upstream.key, 0.0)
        return max(0.0, until_s - self._read_time_s())

    def is_paused(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream has asked for no requests at present."""
        return self.get_pause_s(upstream) > 0.0

    def record_failure(
        self, upstream: upstreams.Upstream, is_shared: bool = False
    ) -> float:
        """Records a failure of an upstream, which is then avoided for a while.

        Args:
            upstream: The upstream.
            is_shared: Whether the failure is reported to other entries. Only a
                failure that another upstream observed should be: an entry that
                is itself disconnected would report all upstreams as failed.

        Returns:
            Time for which the upstream is avoided, in seconds.
        """
        now_s = self._read_time_s()
        health = self._health.setdefault(upstream.key, _Health())
        if now_s - health.failed_at_s > FAILURE_RESET_S:
            health.failures = 0
        if now_s >= health.avoid_until_s:
            health.failures += 1
        health.failed_at_s = now_s
        is_news = is_shared and not (
            health.is_shared and now_s < health.avoid_until_s
        )
        health.is_shared = is_shared
        avoid_s = jitter.compute_ceiling_s(
            health.failures - 1, MIN_AVOID_S, MAX_AVOID_S
        )
        health.avoid_until_s = now_s + avoid_s
        if is_news:
            for listener in self._failure_listeners:
                listener()
        return avoid_s

    def record_full(self, upstream: upstreams.Upstream) -> None:
        """Records that an upstream rejected work for lack of capacity."""
        health = self._health.setdefault(upstream.key, _Health())
        health.full_until_s = self._read_time_s() + FULL_EXPIRY_S

    def is_full(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream has just rejected work as full."""
        health = self._health.get(upstream.key)
        return health is not None and self._read_time_s() < health.full_until_s

    def record_unsuccessful_request(self, upstream: upstreams.Upstream) -> None:
        """Records a request that was sent but not answered successfully.

        The answer was lost or reported a server error. Several such requests
        in a row count as a failure of the upstream.
        """
        health = self._health.setdefault(upstream.key, _Health())
        health.unsuccessful_requests += 1
        if health.unsuccessful_requests >= MAX_UNSUCCESSFUL_REQUESTS:
            health.unsuccessful_requests = 0
            self.record_failure(upstream)

    def record_success(self, upstream: upstreams.Upstream) -> None:
        """Clears the failures of an upstream that answered successfully."""
        self._health.pop(upstream.key, None)

    def count_avoided(self) -> int:
        """Returns the number of upstreams that are avoided at present."""
        return sum(map(self.is_avoided, self._upstreams.values()))

    def clear_failures(self) -> None:
        """Forgets all failures: they were those of this entry's own links."""
        self._health.clear()

    def is_avoided(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream is avoided after a recent failure."""
        health = self._health.get(upstream.key)
        return health is not None and self._read_time_s() < health.avoid_until_s

    def get_shared_failures(self) -> list[tuple[upstreams.Upstream, float]]:
        """Returns the avoided upstreams to report, with the seconds left.

        Contains only failures recorded with `is_shared`.
        """
        now_s = self._read_time_s()
        return [
            (upstream, health.avoid_until_s - now_s)
            for upstream in self._upstreams.values()
            if (health := self._health.get(upstream.key)) is not None
            and health.is_shared
            and health.avoid_until_s > now_s
        ]

    def set_slowdown(self, upstream: upstreams.Upstream, factor: float) -> None:
        """Sets how many times slower than its kind an upstream runs."""
        until_s = self._read_time_s() + SLOWDOWN_EXPIRY_S
        self._slowdowns[upstream.key] = (max(1.0, factor), until_s)

    def get_slowdown(self, upstream: upstreams.Upstream) -> float:
        """Returns how many times slower than its kind an upstream runs."""
        factor, until_s = self._slowdowns.get(upstream.key, (1.0, 0.0))
        return factor if self._read_time_s() < until_s else 1.0

    def _is_configured(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether its service is configured, as far as is known."""
        return not self._services or upstream.service in self._services

    def _find_misfits(self) -> set[str]:
        return {
            upstream.instance_id
            for upstream in self._upstreams.values()
            if upstream.layers is not None
            and (count := self._services.get(upstream.service)) is not None
            and not upstream.layers.is_within(count)
        }

    def _notify(self) -> None:
        newest: dict[str, int] = {}
        for upstream in filter(self._is_configured, self._upstreams.values()):
            previous = newest.get(upstream.address, upstream.incarnation)
            newest[upstream.address] = max(previous, upstream.incarnation)
        self._newest = newest
        self._misfits = self._find_misfits()
        for listener in self._listeners:
            listener()
