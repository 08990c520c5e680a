"""Keeps the rate limits that upstreams announce, over all entries; no I/O.

An upstream in need announces how many requests a second it takes from all
entries together. Each entry takes an equal share of that. A share is often far
below one request a second, so that it cannot be used at an even pace: an entry
gets a permit each time its share adds up to one request. The entries begin at
random levels and lose a permit that they do not use soon; otherwise those that
had no use for the upstream for a while would all send at once.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import random

__all__ = ["Announcement", "UpstreamLimits", "merge_announcements"]

# Part of an announced limit that is used: permits of different entries may
# coincide.
USED_FRACTION = 0.85
# A permit that is not used within this time is lost.
PERMIT_LIFETIME_S = 1.0
# A limit ends if no entry was told it for this long, as the upstream may have
# recovered while nobody sent it requests.
EXPIRY_S = 20.0
# Number of entries that is assumed at least while this one, which has just
# started, may not know all of them.
MIN_ASSUMED_ENTRIES = 16
# Entries that are no longer heard may still send requests; they keep their
# shares for this long.
ENTRY_MEMORY_S = 10.0
MAX_WAIT_S = 60.0

# Instance id and incarnation.
UpstreamKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What an upstream said about its limit in its latest answer.

    Attributes:
        at_s: Loop time of the answer.
        limit_per_s: Requests per second from all entries; None for no limit.
    """

    at_s: float
    limit_per_s: float | None


def merge_announcements(
    parts: Iterable[Mapping[int, Announcement]],
) -> dict[int, Announcement]:
    """Returns the latest announcement of each upstream, by its hash."""
    merged: dict[int, Announcement] = {}
    for part in parts:
        for upstream_hash, announcement in part.items():
            known = merged.get(upstream_hash)
            if known is None or known.at_s < announcement.at_s:
                merged[upstream_hash] = announcement
    return merged


@dataclasses.dataclass(slots=True)
class _Permits:
    """Permits of this entry for one upstream.

    Attributes:
        level: Number of permits, with the fraction of the next one.
        updated_s: Loop time of the level.
    """

    level: float
    updated_s: float


class UpstreamLimits:
    """Announced limits, and the permits of this entry to send requests.

    Args:
        read_time_s: Monotonic clock.
        count_entries: Returns how many entries share a limit; None while that
            is unknown.
        random_source: Random number generator.
    """

    def __init__(
        self,
        read_time_s: Callable[[], float],
        count_entries: Callable[[], int | None],
        random_source: random.Random,
    ):
        self._read_time_s = read_time_s
        self._count_entries = count_entries
        self._random_source = random_source
        # Latest announcements, those of answers to this entry and all.
        self._own: dict[UpstreamKey, Announcement] = {}
        self._known: dict[UpstreamKey, Announcement] = {}
        self._permits: dict[UpstreamKey, _Permits] = {}
        self._most_entries = 1
        self._most_entries_s = float("-inf")

    def record(self, key: UpstreamKey, limit_per_s: float | None) -> None:
        """Records the limit in an answer; None if it announces no limit."""
        if limit_per_s is None and key not in self._known:
            return
        announcement = Announcement(self._read_time_s(), limit_per_s)
        self._own[key] = announcement
        self._apply(key, announcement)

    def merge_report(
        self, announcements: Mapping[UpstreamKey, Announcement]
    ) -> None:
        """Merges what upstreams announced to other entries."""
        for key, announcement in announcements.items():
            known = self._known.get(key)
            if known is None or known.at_s < announcement.at_s:
                self._apply(key, announcement)

    def _apply(self, key: UpstreamKey, announcement: Announcement) -> None:
        self._known[key] = announcement
        if announcement.limit_per_s is None:
            self._permits.pop(key, None)

    def get_reported(self) -> dict[UpstreamKey, Announcement]:
        """Returns what was announced to this entry, for the others."""
        self._expire()
        return self._own

    def _expire(self) -> None:
        oldest_s = self._read_time_s() - EXPIRY_S
        for announcements in (self._own, self._known):
            for key in [
                k for k, a in announcements.items() if a.at_s < oldest_s
            ]:
                del announcements[key]
        for key in [k for k in self._permits if k not in self._known]:
            del self._permits[key]

    def is_limited(self, key: UpstreamKey) -> bool:
        """Returns whether an upstream has announced a limit."""
        return self._get_limit_per_s(key) is not None

    def _get_limit_per_s(self, key: UpstreamKey) -> float | None:
        known = self._known.get(key)
        if known is None or self._read_time_s() - known.at_s > EXPIRY_S:
            return None
        return known.limit_per_s

    def has_permit(self, key: UpstreamKey) -> bool:
        """Returns whether a request may be sent to an upstream now."""
        limit_per_s = self._get_limit_per_s(key)
        if limit_per_s is None:
            return True
        return self._update(key, limit_per_s).level >= 1.0

    def take(self, key: UpstreamKey) -> None:
        """Uses a permit for a request that is sent to an upstream."""
        limit_per_s = self._get_limit_per_s(key)
        if limit_per_s is not None:
            self._update(key, limit_per_s).level -= 1.0

    def get_wait_s(self, key: UpstreamKey) -> float:
        """Returns the time until there is a permit for an upstream."""
        limit_per_s = self._get_limit_per_s(key)
        if limit_per_s is None:
            return 0.0
        missing = max(0.0, 1.0 - self._update(key, limit_per_s).level)
        share_per_s = self._compute_share_per_s(limit_per_s)
        if missing > share_per_s * MAX_WAIT_S:
            return MAX_WAIT_S
        return missing / share_per_s if missing else 0.0

    def _compute_share_per_s(self, limit_per_s: float) -> float:
        return limit_per_s * USED_FRACTION / self._count_shares()

    def _count_shares(self) -> int:
        """Returns the number of entries that may send requests."""
        now_s = self._read_time_s()
        count = self._count_entries()
        if count is None:
            return max(MIN_ASSUMED_ENTRIES, self._most_entries)
        if (
            count >= self._most_entries
            or now_s - self._most_entries_s > ENTRY_MEMORY_S
        ):
            self._most_entries, self._most_entries_s = count, now_s
        return self._most_entries

    def _update(self, key: UpstreamKey, limit_per_s: float) -> _Permits:
        now_s = self._read_time_s()
        permits = self._permits.get(key)
        if permits is None:
            permits = _Permits(self._random_source.random(), now_s)
            self._permits[key] = permits
            return permits
        share_per_s = self._compute_share_per_s(limit_per_s)
        permits.level += share_per_s * (now_s - permits.updated_s)
        permits.updated_s = now_s
        kept = share_per_s * PERMIT_LIFETIME_S
        if kept >= 1.0:
            permits.level = min(permits.level, kept)
        elif permits.level > 1.0 + kept:
            permits.level = math.fmod(permits.level, 1.0)
        return permits
