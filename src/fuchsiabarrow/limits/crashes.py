"""Counts how often a request's upstreams crashed, over all entries.

Free of I/O. A request that crashes each upstream which runs it comes again from
its caller, through any entry. Others that the same upstream ran are innocent;
they make progress elsewhere, which clears their count.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

import msgspec
import xxhash

__all__ = ["CrashCounts", "compute_fingerprint"]

# Crashes after which a request is not run any more.
CRASH_LIMIT = 3
# A request that did not come again for this long is forgotten.
FORGET_S = 120.0
MAX_COUNTED = 1024


def compute_fingerprint(
    organisation: str, method: str, target: str, body: bytes
) -> int:
    """Returns what identifies a request, whichever entry gets it."""
    content = msgspec.msgpack.encode((organisation, method, target, body))
    return xxhash.xxh3_64_intdigest(content)


@dataclasses.dataclass(frozen=True, slots=True)
class _Count:
    crashes: int
    until_s: float


class CrashCounts:
    """Crashes by fingerprint: own, and those that other entries tell.

    Args:
        read_time_s: Monotonic clock.
    """

    def __init__(self, read_time_s: Callable[[], float]):
        self._read_time_s = read_time_s
        self._own: dict[int, _Count] = {}
        self._told: dict[str, dict[int, _Count]] = {}

    def count(self, fingerprint: int) -> int:
        """Returns the crashes that a request was part of."""
        now_s = self._read_time_s()
        counts = [self._own, *self._told.values()]
        return sum(
            found.crashes
            for known in counts
            if (found := known.get(fingerprint)) is not None
            and found.until_s > now_s
        )

    def is_blocked(self, fingerprint: int) -> bool:
        """Returns whether a request must not run any more."""
        return self.count(fingerprint) >= CRASH_LIMIT

    def add(self, fingerprint: int) -> int:
        """Notes a crash; returns how many there were."""
        now_s = self._read_time_s()
        known = self._own.pop(fingerprint, None)
        crashes = 1
        if known is not None and known.until_s > now_s:
            crashes += known.crashes
        self._own[fingerprint] = _Count(crashes, now_s + FORGET_S)
        while len(self._own) > MAX_COUNTED:
            del self._own[next(iter(self._own))]
        return self.count(fingerprint)

    def clear(self, fingerprint: int) -> None:
        """Forgets the own count of a request that came further."""
        self._own.pop(fingerprint, None)

    def get_own(self, most: int) -> list[tuple[int, int]]:
        """Returns the latest own counts, to tell other entries."""
        now_s = self._read_time_s()
        recent = [
            (fingerprint, count.crashes)
            for fingerprint, count in self._own.items()
            if count.until_s > now_s
        ]
        return recent[-most:]

    def take_report(
        self, reporter: str, counts: Iterable[tuple[int, int]]
    ) -> None:
        """Takes over the counts of others.

        What is no longer told, or told as less, is kept until it lapses: an
        entry may have restarted.
        """
        until_s = self._read_time_s() + FORGET_S
        known = self._told.setdefault(reporter, {})
        now_s = self._read_time_s()
        for fingerprint, crashes in counts:
            before = known.get(fingerprint)
            if before is not None and before.until_s > now_s:
                crashes = max(crashes, before.crashes)
            known[fingerprint] = _Count(crashes, until_s)
        for fingerprint in [f for f, c in known.items() if c.until_s <= now_s]:
            del known[fingerprint]
        while len(known) > MAX_COUNTED:
            del known[next(iter(known))]
