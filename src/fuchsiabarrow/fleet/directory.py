"""The upstreams that are believed to serve, from the list and from evidence.

Free of I/O. The list names who registered; what requests met on the way says
who does not answer. Evidence lapses, so that an upstream which recovers is
tried again.
"""

from collections.abc import Callable
import dataclasses

from fuchsiabarrow.fleet import upstreams

__all__ = ["Directory"]

# A failure is held against an upstream this long, twice as long each time.
FIRST_AVOID_S = 2.0
LONGEST_AVOID_S = 6.0
# Quiet time after which earlier failures no longer lengthen the next one.
FORGET_FAILURES_S = 10.0
# Lost answers in a row after which an upstream is avoided.
MAX_LOSSES = 3
# An upstream that refused work for want of room gets none for this long.
FULL_S = 0.25
# A report of slowness says nothing after this time.
PACE_LIFETIME_S = 3.0


@dataclasses.dataclass(slots=True)
class _Evidence:
    failures: int = 0
    failed_at_s: float = 0.0
    avoid_until_s: float = 0.0
    is_told: bool = False
    losses: int = 0
    full_until_s: float = 0.0


class Directory:
    """Upstreams by id.

    Attributes:
        updated_at_s: When the list was last known to be current.

    Args:
        read_time_s: Monotonic clock.
    """

    def __init__(self, read_time_s: Callable[[], float]):
        self.updated_at_s = float("-inf")
        self._read_time_s = read_time_s
        self._upstreams: dict[str, upstreams.Upstream] = {}
        # The incarnation that started last at each address.
        self._newest: dict[str, int] = {}
        self._evidence: dict[tuple[str, int], _Evidence] = {}
        self._pace_factors: dict[tuple[str, int], tuple[float, float]] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls a listener after each change of the list."""
        self._listeners.append(listener)

    def replace(self, found: list[upstreams.Upstream]) -> None:
        """Takes over a whole list."""
        self._upstreams = {u.instance_id: u for u in found}
        keys = {u.key for u in found}
        for known in (self._evidence, self._pace_factors):
            for key in [k for k in known if k not in keys]:
                del known[key]
        self._notify()

    def put(self, upstream: upstreams.Upstream) -> None:
        """Takes over one entry of the list."""
        self._upstreams[upstream.instance_id] = upstream
        self._notify()

    def remove(self, instance_id: str) -> None:
        """Drops an upstream that left the list."""
        if self._upstreams.pop(instance_id, None) is not None:
            self._notify()

    def confirm(self, at_s: float) -> None:
        """Notes that the list was current at a time."""
        self.updated_at_s = max(self.updated_at_s, at_s)

    def get_age_s(self) -> float:
        """Returns how long ago the list was last known to be current."""
        return self._read_time_s() - self.updated_at_s

    def get(self, instance_id: str) -> upstreams.Upstream | None:
        """Returns the upstream of an id."""
        return self._upstreams.get(instance_id)

    def find_address(self, address: str) -> upstreams.Upstream | None:
        """Returns the upstream that registered an address last."""
        found = [u for u in self._upstreams.values() if u.address == address]
        return max(found, key=lambda u: u.incarnation, default=None)

    def get_all(self) -> list[upstreams.Upstream]:
        """Returns all upstreams in the list."""
        return list(self._upstreams.values())

    def get_service(self, service: str) -> list[upstreams.Upstream]:
        """Returns the upstreams of a service, leaving ones included."""
        return [
            u
            for u in self._upstreams.values()
            if u.service == service and u.incarnation == self._newest[u.address]
        ]

    def get_usable(self, service: str) -> list[upstreams.Upstream]:
        """Returns the upstreams of a service that may get new work.

        One whose address another one took over since is gone, though the list
        may name it for a while.
        """
        return [
            u
            for u in self._upstreams.values()
            if u.service == service
            and not u.is_leaving
            and u.incarnation == self._newest[u.address]
            and not self.is_avoided(u)
        ]

    def note_failure(
        self, upstream: upstreams.Upstream, is_told: bool = False
    ) -> float:
        """Avoids an upstream that did not answer.

        Args:
            upstream: The upstream.
            is_told: Whether other entries are to be told. Only what another
                upstream says is: an entry that is cut off itself would accuse
                all of them.

        Returns:
            How long it is avoided, in seconds.
        """
        now_s = self._read_time_s()
        evidence = self._evidence.setdefault(upstream.key, _Evidence())
        if now_s - evidence.failed_at_s > FORGET_FAILURES_S:
            evidence.failures = 0
        if now_s >= evidence.avoid_until_s:
            evidence.failures += 1
        evidence.failed_at_s = now_s
        evidence.is_told = is_told
        avoid_s = min(
            LONGEST_AVOID_S, FIRST_AVOID_S * 2 ** (evidence.failures - 1)
        )
        evidence.avoid_until_s = now_s + avoid_s
        return avoid_s

    def note_full(self, upstream: upstreams.Upstream) -> None:
        """Notes that an upstream refused work for want of room."""
        evidence = self._evidence.setdefault(upstream.key, _Evidence())
        evidence.full_until_s = self._read_time_s() + FULL_S

    def is_full(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream refused work a moment ago."""
        evidence = self._evidence.get(upstream.key)
        return (
            evidence is not None and self._read_time_s() < evidence.full_until_s
        )

    def note_loss(self, upstream: upstreams.Upstream) -> None:
        """Notes that an answer was lost; some in a row are a failure."""
        evidence = self._evidence.setdefault(upstream.key, _Evidence())
        evidence.losses += 1
        if evidence.losses >= MAX_LOSSES:
            evidence.losses = 0
            self.note_failure(upstream)

    def note_success(self, upstream: upstreams.Upstream) -> None:
        """Forgets failures of an upstream that answered."""
        self._evidence.pop(upstream.key, None)

    def is_avoided(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether recent failures speak against an upstream."""
        evidence = self._evidence.get(upstream.key)
        return (
            evidence is not None
            and self._read_time_s() < evidence.avoid_until_s
        )

    def get_avoided(self) -> list[tuple[upstreams.Upstream, float]]:
        """Returns the upstreams to warn of, and for how many seconds."""
        now_s = self._read_time_s()
        return [
            (upstream, evidence.avoid_until_s - now_s)
            for upstream in self._upstreams.values()
            if (evidence := self._evidence.get(upstream.key)) is not None
            and evidence.is_told
            and evidence.avoid_until_s > now_s
        ]

    def set_pace_factor(
        self, upstream: upstreams.Upstream, factor: float
    ) -> None:
        """Notes how many times slower than its kind an upstream works."""
        until_s = self._read_time_s() + PACE_LIFETIME_S
        self._pace_factors[upstream.key] = (max(1.0, factor), until_s)

    def get_pace_factor(self, upstream: upstreams.Upstream) -> float:
        """Returns how many times slower than its kind an upstream works."""
        factor, until_s = self._pace_factors.get(upstream.key, (1.0, 0.0))
        return factor if self._read_time_s() < until_s else 1.0

    def _notify(self) -> None:
        newest: dict[str, int] = {}
        for upstream in self._upstreams.values():
            known = newest.get(upstream.address, upstream.incarnation)
            newest[upstream.address] = max(known, upstream.incarnation)
        self._newest = newest
        for listener in self._listeners:
            listener()
