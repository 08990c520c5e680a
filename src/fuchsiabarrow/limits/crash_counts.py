"""Counts, over all entries, the upstream crashes of each request; without I/O.

A request that crashes every upstream that runs it is sent again by its caller,
possibly through another entry. Other requests that ran on a crashed upstream
are counted too, but they make progress elsewhere, which clears their count.

Each crash has an id, so that reports of it can be merged repeatedly and in any
order. An entry reports the crashes that it saw itself, and all crashes of
requests with several, whichever entry saw them: the count of a request outlives
the process that counted.

This is for requests handled by the package `forwarding`; the module
`limits.suspects` is for those handled by the package `streams`.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import heapq
import secrets

import msgspec
import xxhash

__all__ = [
    "CrashCounts",
    "CrashKey",
    "compute_request_fingerprint",
    "merge_crashes",
    "select_crashes",
]

# Number of crashes after which a request is blocked.
CRASH_LIMIT = 3
# A count expires this long after the last crash.
EXPIRY_S = 120.0
# Maximum number of counted requests.
MAX_COUNTED = 1024
# Number of crashes of a request from which every entry reports them.
MIN_SHARED_CRASHES = 2
CRASH_ID_BITS = 32

# Fingerprint of the request, and id of the crash.
CrashKey = tuple[int, int]


def compute_request_fingerprint(
    organisation: str, method: str, target: str, body: bytes
) -> int:
    """Returns a hash of a request that is the same on every entry."""
    content = msgspec.msgpack.encode((organisation, method, target, body))
    return xxhash.xxh3_64_intdigest(content)


def merge_crashes(
    reports: Iterable[Mapping[CrashKey, float]],
) -> dict[CrashKey, float]:
    """Returns the union of several sets of crashes with their loop times.

    Reports get later on their way, so that the earliest time is the best.
    """
    merged: dict[CrashKey, float] = {}
    for crashes in reports:
        for key, at_s in crashes.items():
            merged[key] = min(at_s, merged.get(key, at_s))
    return merged


def select_crashes(
    crashes: Mapping[CrashKey, float], limit: int
) -> dict[CrashKey, float]:
    """Returns a limited number of crashes.

    Those of the requests with the most crashes are preferred, then those of the
    requests with the latest one.
    """
    if len(crashes) <= limit:
        return dict(crashes)
    counts = collections.Counter(fingerprint for fingerprint, _ in crashes)
    last_s: dict[int, float] = {}
    for (fingerprint, _), at_s in crashes.items():
        last_s[fingerprint] = max(at_s, last_s.get(fingerprint, at_s))
    ranked = sorted(
        crashes,
        key=lambda key: (counts[key[0]], last_s[key[0]], key),
        reverse=True,
    )
    return {key: crashes[key] for key in ranked[:limit]}


@dataclasses.dataclass(frozen=True, slots=True)
class _Crash:
    """A crash of an upstream under a request.

    Attributes:
        at_s: Loop time of the crash.
        is_own: Whether this entry saw it.
    """

    at_s: float
    is_own: bool


class CrashCounts:
    """Crash counts by request fingerprint, of this and other entries.

    Args:
        read_time_s: Monotonic clock.
    """

    def __init__(self, read_time_s: Callable[[], float]):
        self._read_time_s = read_time_s
        self._listeners: list[Callable[[], None]] = []
        # The latest crashes of each request, up to the limit, by their ids.
        self._crashes: dict[int, dict[int, _Crash]] = {}
        # When counted requests last made progress, here and at any entry.
        self._own_progress: dict[int, float] = {}
        self._progress: dict[int, float] = {}

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback for crashes that other entries should know."""
        self._listeners.append(listener)

    def count(self, fingerprint: int) -> int:
        """Returns the number of crashes of upstreams that ran a request.

        It does not rise above `CRASH_LIMIT`.
        """
        self._expire([fingerprint])
        return len(self._crashes.get(fingerprint, ()))

    def is_blocked(self, fingerprint: int) -> bool:
        """Returns whether a request has reached the crash limit."""
        return self.count(fingerprint) >= CRASH_LIMIT

    def add(self, fingerprint: int) -> int:
        """Counts a crash seen by this entry; returns the total count."""
        self._expire([fingerprint])
        crash = _Crash(self._read_time_s(), True)
        self._add(fingerprint, secrets.randbits(CRASH_ID_BITS), crash)
        # The requests that crashed last are at the end.
        self._crashes[fingerprint] = self._crashes.pop(fingerprint)
        self._trim()
        for listener in self._listeners:
            listener()
        return self.count(fingerprint)

    def _add(self, fingerprint: int, crash_id: int, crash: _Crash) -> None:
        crashes = self._crashes.setdefault(fingerprint, {})
        crashes[crash_id] = crash
        if len(crashes) > CRASH_LIMIT:
            del crashes[min(crashes, key=lambda i: (crashes[i].at_s, i))]

    def clear(self, fingerprint: int) -> None:
        """Removes the crashes of a request that has made progress.

        Other entries remove those that they know as well.
        """
        if self._crashes.pop(fingerprint, None) is not None:
            now_s = self._read_time_s()
            _put_last(self._own_progress, fingerprint, now_s)
            _put_last(self._progress, fingerprint, now_s)

    def _expire(self, fingerprints: Iterable[int]) -> None:
        oldest_s = self._read_time_s() - EXPIRY_S
        for fingerprint in list(fingerprints):
            if self._get_last_s(fingerprint) <= oldest_s:
                self._crashes.pop(fingerprint, None)

    def _get_last_s(self, fingerprint: int) -> float:
        last_s = float("-inf")
        for crash in self._crashes.get(fingerprint, {}).values():
            last_s = max(last_s, crash.at_s)
        return last_s

    def _trim(self) -> None:
        while len(self._crashes) > MAX_COUNTED:
            del self._crashes[min(self._crashes, key=self._compute_weight)]

    def _compute_weight(self, fingerprint: int) -> tuple:
        """Returns by how much a count is to be preferred to others."""
        crashes = self._crashes[fingerprint]
        return (len(crashes), _has_own(crashes), self._get_last_s(fingerprint))

    # Exchange with other entries.

    def get_own(self, limit: int) -> list[tuple[int, int]]:
        """Returns how many crashes this entry saw, by request.

        Entries of versions that did not report single crashes add these up.
        """
        self._expire(self._crashes)
        own = [
            fingerprint
            for fingerprint, crashes in self._crashes.items()
            if _has_own(crashes)
        ]
        return [
            (f, sum(crash.is_own for crash in self._crashes[f].values()))
            for f in own[-limit:]
        ]

    def get_reported(self, limit: int) -> dict[CrashKey, float]:
        """Returns the crashes to report to others regularly, with their times.

        A crash that is the only one of its request is left to the entry that
        saw it, as most are not caused by a request.
        """
        return self._select(limit, MIN_SHARED_CRASHES)

    def get_all(self, limit: int) -> dict[CrashKey, float]:
        """Returns all known crashes, for an entry that has just started."""
        return self._select(limit, 1)

    def _select(self, limit: int, min_crashes: int) -> dict[CrashKey, float]:
        self._expire(self._crashes)
        shared = [
            fingerprint
            for fingerprint, crashes in self._crashes.items()
            if len(crashes) >= min_crashes or _has_own(crashes)
        ]
        found = {
            (fingerprint, crash_id): crash.at_s
            for fingerprint in heapq.nlargest(
                limit, shared, key=self._compute_weight
            )
            for crash_id, crash in self._crashes[fingerprint].items()
        }
        return select_crashes(found, limit)

    def get_progress(self, limit: int) -> dict[int, float]:
        """Returns when counted requests made progress at this entry."""
        oldest_s = self._read_time_s() - EXPIRY_S
        recent = [
            (fingerprint, at_s)
            for fingerprint, at_s in self._own_progress.items()
            if at_s > oldest_s
        ]
        return dict(recent[-limit:])

    def merge_report(
        self, crashes: Mapping[CrashKey, float], progress: Mapping[int, float]
    ) -> set[int]:
        """Merges what other entries report.

        Args:
            crashes: Crashes and their loop times.
            progress: When requests last made progress, by fingerprint.

        Returns:
            Fingerprints of the requests with several crashes of which some were
            not known.
        """
        for fingerprint, at_s in progress.items():
            at_s = max(at_s, self._progress.get(fingerprint, at_s))
            _put_last(self._progress, fingerprint, at_s)
            known = self._crashes.get(fingerprint, {})
            for crash_id in [i for i, c in known.items() if c.at_s <= at_s]:
                del known[crash_id]
        known_ids = {f: set(self._crashes.get(f, ())) for f, _ in crashes}
        for (fingerprint, crash_id), at_s in crashes.items():
            if at_s <= self._progress.get(fingerprint, float("-inf")):
                continue
            known = self._crashes.get(fingerprint, {}).get(crash_id)
            if known is None:
                known = _Crash(at_s, False)
            crash = _Crash(min(at_s, known.at_s), known.is_own)
            self._add(fingerprint, crash_id, crash)
        self._expire({*known_ids, *progress})
        self._trim()
        return {
            fingerprint
            for fingerprint, ids in known_ids.items()
            if len(crash_ids := self._crashes.get(fingerprint, ()))
            >= MIN_SHARED_CRASHES
            and not ids.issuperset(crash_ids)
        }


def _has_own(crashes: Mapping[int, _Crash]) -> bool:
    for crash in crashes.values():
        if crash.is_own:
            return True
    return False


def _put_last(times: dict[int, float], fingerprint: int, at_s: float) -> None:
    """Stores a time at the end; removes the first ones beyond the maximum."""
    times.pop(fingerprint, None)
    times[fingerprint] = at_s
    while len(times) > MAX_COUNTED:
        del times[next(iter(times))]
