"""Which upstreams this entry reaches by itself; without I/O.

An upstream that does not accept connections may be dead, or only the link
between it and this entry may be. A connection through another entry tells them
apart. It is tried while this entry has reason to doubt its own links, so that
the death of an upstream usually costs nothing. While several upstreams are out
of reach and none is in reach, the fault is taken to be that of this entry, also
for upstreams not tried since.
"""

from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import enum
import random

__all__ = ["LinkState", "LinkTable"]

# An entry that fails to reach this many upstreams, and reaches none, is taken
# to be cut off from all of them.
MIN_ISOLATED_LINKS = 3
# Isolation must last this long before other entries are asked without waiting
# for a direct connection: the upstreams of a failure domain may have died
# together.
MIN_ISOLATION_S = 0.25
# A failure that is older is forgotten, also that of a link known to be cut.
FAILURE_EXPIRY_S = 8.0
# This entry doubts its links if it has reached no upstream for this long, if
# the given number of upstreams did not accept connections within the window, or
# if one of them did not after the last success.
IDLE_DOUBT_S = 1.0
DOUBT_LINKS = 3
DOUBT_WINDOW_S = 3.0
# Time in which another entry usually tells whether an upstream is dead.
VERDICT_S = 1.0
# A fault that may be over once other entries have told counts as lasting after
# this time.
LASTING_FAULT_S = 1.5
# Range of the time without doubt after another entry has confirmed that an
# upstream is dead; doubled each time that happens in a row.
MIN_TRUST_S = 1.0
MAX_TRUST_S = 4.0
# Range of the time after which a link that is cut is tried again.
RETRY_S = (0.5, 1.0)
# Least time between two trials of links, over all of them, while this entry is
# isolated: the first one that succeeds ends the isolation.
MIN_TRIAL_INTERVAL_S = 0.25


class LinkState(enum.Enum):
    """How an upstream is to be reached.

    Attributes:
        DIRECT: By a connection of this entry.
        DOUBTFUL: By one of this entry, or through another entry if that fails.
        UNCERTAIN: Probably not by one of this entry, which is isolated.
        CUT: Not by one of this entry, but through another entry.
    """

    DIRECT = enum.auto()
    DOUBTFUL = enum.auto()
    UNCERTAIN = enum.auto()
    CUT = enum.auto()


@dataclasses.dataclass(slots=True)
class _Link:
    """A link without a successful connection since its last failure."""

    failed_at_s: float
    is_cut: bool = False
    is_dead: bool = False
    retry_at_s: float = 0.0


class LinkTable:
    """State of the links between this entry and upstreams, by address.

    Args:
        read_time_s: Monotonic clock.
        random_source: Random number generator, to spread trials.
    """

    def __init__(
        self, read_time_s: Callable[[], float], random_source: random.Random
    ):
        self._read_time_s = read_time_s
        self._random_source = random_source
        self._failed: dict[str, _Link] = {}
        # When another upstream or entry last found an upstream out of reach.
        self._reported_at_s: dict[str, float] = {}
        # Since when checks have found a fault.
        self._fault_since_s: float | None = None
        self._reached_at_s = float("-inf")
        self._tried_at_s = float("-inf")
        # When the first failure after the last success was recorded.
        self._failing_since_s = float("-inf")
        self._trust_s = 0.0
        self._trusted_until_s = float("-inf")

    @property
    def reached_at_s(self) -> float:
        """When this entry last connected to an upstream by itself."""
        return self._reached_at_s

    def record_reached(self, address: str) -> bool:
        """Records a connection of this entry to an upstream.

        Returns:
            Whether the link was cut before.
        """
        now_s = self._read_time_s()
        if self.is_isolated():
            # Links that were not tried again yet are tried one by one, as soon
            # as they are used.
            for link in self._failed.values():
                link.retry_at_s = now_s + self._random_source.uniform(
                    0, RETRY_S[1]
                )
        link = self._failed.pop(address, None)
        self._reached_at_s = now_s
        return link is not None and link.is_cut

    def record_unreachable(self, address: str) -> None:
        """Records that a connection of this entry to an upstream failed."""
        self._expire()
        now_s = self._read_time_s()
        if self._failing_since_s <= self._reached_at_s:
            self._failing_since_s = now_s
        link = self._failed.setdefault(address, _Link(now_s))
        link.failed_at_s = now_s
        link.retry_at_s = now_s + self._random_source.uniform(*RETRY_S)

    def record_cut(self, address: str) -> bool:
        """Records that another entry reached an upstream that this one cannot.

        Has no effect if no connection of this entry has failed.

        Returns:
            Whether this was not known.
        """
        link = self._failed.get(address)
        if link is None or link.is_cut:
            return False
        link.is_cut, link.is_dead = True, False
        self._trust_s = 0.0
        self._trusted_until_s = float("-inf")
        return True

    def record_dead(self, address: str) -> None:
        """Records that another entry cannot reach an upstream either."""
        link = self._failed.get(address)
        if link is not None:
            link.is_cut, link.is_dead = False, True
        self._trust_s = min(MAX_TRUST_S, max(MIN_TRUST_S, 2 * self._trust_s))
        self._trusted_until_s = self._read_time_s() + self._trust_s

    def record_reported(self, address: str) -> None:
        """Records that another upstream or entry cannot reach an upstream.

        Then it is not only the link of this entry that is at fault.
        """
        self._reported_at_s[address] = self._read_time_s()

    def is_reported(self, address: str) -> bool:
        """Returns whether an upstream seems dead, and not only to this entry.

        Others were reported not to reach it, and the links of this entry have
        no fault.
        """
        return not self.has_fault() and self._is_reported(
            address, self._read_time_s()
        )

    def retain(self, addresses: Collection[str]) -> None:
        """Forgets all links but those to the given upstreams."""
        for by_address in (self._failed, self._reported_at_s):
            for address in [a for a in by_address if a not in addresses]:
                del by_address[address]

    def get_state(self, address: str) -> LinkState:
        """Returns how an upstream is to be reached."""
        self._expire()
        link = self._failed.get(address)
        if link is not None and link.is_cut:
            return LinkState.CUT
        if self.is_cut_off():
            return LinkState.UNCERTAIN
        return LinkState.DOUBTFUL if self._has_doubt() else LinkState.DIRECT

    def has_cuts(self) -> bool:
        """Returns whether links are known to be cut."""
        return any(link.is_cut for link in self._failed.values())

    def is_sound(self) -> bool:
        """Returns whether this entry has no reason to doubt its links.

        An upstream that does not accept its connections is dead then.
        """
        return not (self.is_isolated() or self._has_doubt())

    def has_fault(self) -> bool:
        """Returns whether upstreams may seem dead because of cut links."""
        now_s = self._read_time_s()
        unexplained = [
            link.failed_at_s
            for address, link in self._failed.items()
            if not link.is_dead and not self._is_reported(address, now_s)
        ]
        expired_s = now_s - FAILURE_EXPIRY_S
        isolating = sum(
            failed_at_s > max(self._reached_at_s, expired_s)
            for failed_at_s in unexplained
        )
        pending = sum(
            failed_at_s > now_s - VERDICT_S for failed_at_s in unexplained
        )
        return (
            self.has_cuts()
            or isolating >= MIN_ISOLATED_LINKS
            or pending >= DOUBT_LINKS
        )

    def has_lasting_fault(self) -> bool:
        """Returns whether links are cut, or a fault was found for some time.

        To be called at least a few times a second.
        """
        now_s = self._read_time_s()
        if not self.has_fault():
            self._fault_since_s = None
            return False
        if self._fault_since_s is None:
            self._fault_since_s = now_s
        return self.has_cuts() or now_s - self._fault_since_s >= LASTING_FAULT_S

    def _is_reported(self, address: str, now_s: float) -> bool:
        reported_at_s = self._reported_at_s.get(address, float("-inf"))
        return now_s - reported_at_s < DOUBT_WINDOW_S

    def _has_doubt(self) -> bool:
        """Returns whether the links of this entry may be at fault."""
        now_s = self._read_time_s()
        if self.has_cuts():
            return True
        if now_s < self._trusted_until_s:
            return False
        failures = self._get_unexplained(now_s)
        return (
            now_s - self._reached_at_s > IDLE_DOUBT_S
            or len(failures) >= DOUBT_LINKS
            or any(
                link.failed_at_s > self._reached_at_s
                for link in failures.values()
            )
        )

    def _get_unexplained(self, now_s: float) -> dict[str, _Link]:
        return {
            address: link
            for address, link in self._failed.items()
            if not link.is_cut
            and not link.is_dead
            and link.failed_at_s > now_s - DOUBT_WINDOW_S
        }

    def get_unexplained(self) -> list[str]:
        """Returns upstreams that may be dead or may have cut links.

        Returns:
            Addresses of those that did not accept connections lately, without
            a known reason; none unless this entry doubts its links.
        """
        if self.is_sound():
            return []
        return list(self._get_unexplained(self._read_time_s()))

    def try_start_trial(self, address: str) -> bool:
        """Returns whether a link that may be cut is to be tried directly now.

        The caller does so then.
        """
        now_s = self._read_time_s()
        if (
            self.is_isolated()
            and now_s - self._tried_at_s < MIN_TRIAL_INTERVAL_S
        ):
            return False
        link = self._failed.get(address)
        if link is not None:
            if now_s < link.retry_at_s:
                return False
            link.retry_at_s = now_s + self._random_source.uniform(*RETRY_S)
        self._tried_at_s = now_s
        return True

    def is_cut_off(self) -> bool:
        """Returns whether this entry has been isolated for some time."""
        failing_s = self._read_time_s() - self._failing_since_s
        return failing_s >= MIN_ISOLATION_S and self.is_isolated()

    def is_isolated(self) -> bool:
        """Returns whether this entry seems to reach no upstream by itself.

        It may only seem so for a moment, between two connections.
        """
        now_s = self._read_time_s()
        oldest_s = max(self._reached_at_s, now_s - FAILURE_EXPIRY_S)
        failed = sum(
            link.failed_at_s > oldest_s and not link.is_dead
            for link in self._failed.values()
        )
        return failed >= MIN_ISOLATED_LINKS

    def _expire(self) -> None:
        oldest_s = self._read_time_s() - FAILURE_EXPIRY_S
        expired = [
            address
            for address, link in self._failed.items()
            if link.failed_at_s < oldest_s
        ]
        for address in expired:
            del self._failed[address]
