"""Counts, over all entries, the upstream crashes of each request; without I/O.

A request that crashes every upstream that runs it is sent again by its caller,
possibly through another entry. Other requests that ran on a crashed upstream
are counted too, but they make progress elsewhere, which clears their count.

This is for requests handled by the package `forwarding`; the module
`limits.suspects` is for those handled by the package `streams`.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import msgspec
import xxhash

__all__ = ["CrashCounts", "compute_request_fingerprint"]

# Number of crashes after which a request is blocked.
CRASH_LIMIT = 3
# A count expires this long after the last crash or report of it.
EXPIRY_S = 120.0
# Maximum number of counted requests, own and for each reporter.
MAX_COUNTED = 1024


def compute_request_fingerprint(
    organisation: str, method: str, target: str, body: bytes
) -> int:
    """Returns a hash of a request that is the same on every entry."""
    content = msgspec.msgpack.encode((organisation, method, target, body))
    return xxhash.xxh3_64_intdigest(content)


@dataclasses.dataclass(frozen=True, slots=True)
class _Count:
    crashes: int
    until_s: float


class CrashCounts:
    """Crash counts by request fingerprint, of this and other entries.

    Args:
        read_time_s: Monotonic clock.
    """

    def __init__(self, read_time_s: Callable[[], float]):
        self._read_time_s = read_time_s
        self._own: dict[int, _Count] = {}
        self._reported: dict[str, dict[int, _Count]] = {}

    def count(self, fingerprint: int) -> int:
        """Returns the number of crashes of upstreams that ran a request."""
        now_s = self._read_time_s()
        sources = [self._own, *self._reported.values()]
        return sum(
            count.crashes
            for counts in sources
            if (count := counts.get(fingerprint)) is not None
            and count.until_s > now_s
        )

    def is_blocked(self, fingerprint: int) -> bool:
        """Returns whether a request has reached the crash limit."""
        return self.count(fingerprint) >= CRASH_LIMIT

    def add(self, fingerprint: int) -> int:
        """Counts a crash seen by this entry; returns the total count."""
        now_s = self._read_time_s()
        previous = self._own.pop(fingerprint, None)
        crashes = 1
        if previous is not None and previous.until_s > now_s:
            crashes += previous.crashes
        self._own[fingerprint] = _Count(crashes, now_s + EXPIRY_S)
        while len(self._own) > MAX_COUNTED:
            del self._own[next(iter(self._own))]
        return self.count(fingerprint)

    def clear(self, fingerprint: int) -> None:
        """Removes this entry's count of a request that has made progress."""
        self._own.pop(fingerprint, None)

    def get_own(self, limit: int) -> list[tuple[int, int]]:
        """Returns this entry's latest counts, to be reported to others."""
        now_s = self._read_time_s()
        recent = [
            (fingerprint, count.crashes)
            for fingerprint, count in self._own.items()
            if count.until_s > now_s
        ]
        return recent[-limit:]

    def merge_report(
        self, reporter: str, counts: Iterable[tuple[int, int]]
    ) -> None:
        """Merges the counts that another entry reports.

        A count that is missing from the report, or lower than before, is kept
        until it expires, as the entry that counted may have restarted.
        """
        until_s = self._read_time_s() + EXPIRY_S
        known = self._reported.setdefault(reporter, {})
        now_s = self._read_time_s()
        for fingerprint, crashes in counts:
            previous = known.get(fingerprint)
            if previous is not None and previous.until_s > now_s:
                crashes = max(crashes, previous.crashes)
            known[fingerprint] = _Count(crashes, until_s)
        for fingerprint in [f for f, c in known.items() if c.until_s <= now_s]:
            del known[fingerprint]
        while len(known) > MAX_COUNTED:
            del known[next(iter(known))]
