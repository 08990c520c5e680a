"""Finds prompt parts under which upstreams crash, over all entries; no I/O.

Requests share parts of their prompts, and one such part may crash each upstream
that begins an answer on it, whatever else the request holds. No two of these
requests need to be alike, so that counts by request (`limits.crash_counts`) do
not find them.

A crash is evidence against all parts of the requests that had not begun there.
An answer that begins acquits the parts of its prompt, for some time before and
after. As a part may be in use at other entries, evidence counts only once these
had time to object. Until then, requests with the part wait; after that, one at
a time is sent. A part is blocked when its requests crashed different upstreams
at different times, while other requests rarely did. Upstreams that crash
together count once: their cause is probably elsewhere.

Crashes under the requests of one organisation block only the requests of that
organisation, so that nobody can have the parts of others blocked. If those of
a second one crash an upstream as well, the part is blocked for all.

All data that is exchanged can be merged repeatedly and in any order. Changes
are sent at once, as the delay of load reports grows with the number of entries.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import math
import random

import xxhash

__all__ = [
    "CrashKey",
    "CrashReport",
    "Judgement",
    "PartCrashes",
    "Verdict",
    "compute_hash",
    "merge_begins",
    "merge_crashes",
]

# A part is acquitted of crashes until this long after an answer began on it.
ACQUITTAL_S = 30.0
# Crashes closer together than this count once.
MIN_SPACING_S = 0.5
# Number of separate crashes that blocks a part: the lower bound applies while
# other requests hardly ever crash upstreams, the upper bound if they often do
# or too few of them began for a comparison.
MIN_CRASHES, MAX_CRASHES = 2, 5
MIN_OTHER_BEGINS = 3
# Probability with which a sound part may be blocked by crashes that have
# another cause and are independent of each other.
ERROR_PROBABILITY = 1e-3
# Least number of outcomes from which the crash rate of others is estimated.
MIN_OUTCOMES = 31
OUTCOME_WINDOW_S = 30.0
MAX_OUTCOMES = 512
# Time that a part is blocked after its last crash, until a request tests it. It
# is multiplied by the factor for each crash beyond a number of them.
BLOCK_S = 120.0
BLOCK_FACTOR = 4.0
UNEXTENDED_CRASHES = 4
MAX_BLOCK_S = 86_400.0
# Evidence that blocks nothing expires after this time.
EXPIRY_S = 120.0
# Time after a crash that other entries have to report that answers began on a
# part. Only then is it tested.
OBJECTION_S = 0.8
# The entry that saw the crash tests the part first, with the request that was
# lost. Others wait for a random multiple of the time, so that they learn the
# result and do not test the part together.
MIN_OTHER_ROUNDS, MAX_OTHER_ROUNDS = 2.0, 4.0
# An entry reports an acquittal for this long after it saw evidence against it.
OBJECTING_S = 5.0
MAX_SUSPECTS = 512
MAX_CRASHES_PER_PART = 64
MAX_BEGINS = 8192

# Hashes of a part, an organisation and an upstream.
CrashKey = tuple[int, int, int]


def compute_hash(text: str) -> int:
    """Returns a hash that is the same on every entry."""
    return xxhash.xxh3_64_intdigest(text.encode())


@dataclasses.dataclass(frozen=True, slots=True)
class CrashReport:
    """An upstream that crashed when it began requests with a part.

    Attributes:
        at_s: Loop time of the crash.
        is_blocking: Whether an entry has blocked the part because of it.
    """

    at_s: float
    is_blocking: bool = False

    def merge(self, other: "CrashReport") -> "CrashReport":
        """Returns what two reports of the same crash say together.

        Reports get later on their way, so that the earliest time is the best.
        """
        return CrashReport(
            min(self.at_s, other.at_s), self.is_blocking or other.is_blocking
        )


def merge_crashes(
    parts: Iterable[Mapping[CrashKey, CrashReport]],
) -> dict[CrashKey, CrashReport]:
    """Returns the union of several sets of crashes."""
    merged: dict[CrashKey, CrashReport] = {}
    for part in parts:
        for key, report in part.items():
            known = merged.get(key, report)
            merged[key] = known.merge(report)
    return merged


def merge_begins(parts: Iterable[Mapping[int, float]]) -> dict[int, float]:
    """Returns the latest of several sets of times by part."""
    merged: dict[int, float] = {}
    for part in parts:
        for part_hash, at_s in part.items():
            merged[part_hash] = max(at_s, merged.get(part_hash, at_s))
    return merged


class Verdict(enum.Enum):
    """What may be done with a request, by its parts.

    Attributes:
        CLEAR: It may be sent.
        UNDECIDED: It has to wait until other entries had time to object.
        SUSPECT: It may be sent if no other request tests one of its parts.
        BLOCKED: It must not be sent.
    """

    CLEAR = 0
    UNDECIDED = 1
    SUSPECT = 2
    BLOCKED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """Verdict on a request.

    Attributes:
        verdict: The strictest verdict on one of its parts.
        remaining_s: Time until the block ends; 0 if it is not blocked.
        suspects: Hashes of the parts that are not clear.
    """

    verdict: Verdict
    remaining_s: float = 0.0
    suspects: frozenset[int] = frozenset()


@dataclasses.dataclass(slots=True)
class _Suspect:
    """Evidence against one part.

    Attributes:
        known_s: Loop time at which this entry first knew of a crash.
        rounds: Multiple of `OBJECTION_S` after each crash for which this entry
            does not test the part.
        crashes: Crashes by organisation and upstream.
    """

    known_s: float
    rounds: float
    crashes: dict[tuple[int, int], CrashReport] = dataclasses.field(
        default_factory=dict
    )

    def get_last_s(self) -> float:
        return max(report.at_s for report in self.crashes.values())

    def count_separate(self, organisation: int | None = None) -> int:
        """Counts the crashes at different times, of one organisation or all."""
        count, last_s = 0, float("-inf")
        for at_s in sorted(
            report.at_s
            for (owner, _), report in self.crashes.items()
            if organisation in (None, owner)
        ):
            if at_s - last_s >= MIN_SPACING_S:
                count, last_s = count + 1, at_s
        return count

    def is_blocking(self, organisation: int) -> bool:
        """Returns whether an entry has blocked the part for an organisation."""
        blocked = {
            owner
            for (owner, _), report in self.crashes.items()
            if report.is_blocking
        }
        owners = {owner for owner, _ in self.crashes}
        return organisation in blocked or (bool(blocked) and len(owners) > 1)

    def compute_block_s(self) -> float:
        extensions = max(0, self.count_separate() - UNEXTENDED_CRASHES)
        return min(MAX_BLOCK_S, BLOCK_S * BLOCK_FACTOR**extensions)

    def is_expired(self, now_s: float) -> bool:
        is_blocking = any(r.is_blocking for r in self.crashes.values())
        # A block is remembered for as long again, as the base of a longer one.
        kept_s = 2 * self.compute_block_s() if is_blocking else EXPIRY_S
        return now_s - self.get_last_s() > kept_s


class PartCrashes:
    """Evidence for and against prompt parts, of this and other entries.

    Args:
        read_time_s: Monotonic clock.
        random_source: Random number generator.
    """

    def __init__(
        self, read_time_s: Callable[[], float], random_source: random.Random
    ):
        self._read_time_s = read_time_s
        self._random_source = random_source
        self._listeners: list[Callable[[], None]] = []
        # When an answer last began on a part, here and at other entries.
        self._own_begins: dict[int, float] = {}
        self._reported_begins: dict[int, float] = {}
        self._suspects: dict[int, _Suspect] = {}
        # Parts that this entry acquits to others, and until when.
        self._objections: dict[int, float] = {}
        # Recent requests: time, the upstream if it crashed, and parts.
        self._outcomes: collections.deque[
            tuple[float, int | None, frozenset[int]]
        ] = collections.deque(maxlen=MAX_OUTCOMES)
        self._tested: set[int] = set()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a callback for changes that other entries should know."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    # Evidence.

    def record_begin(self, parts: Iterable[int]) -> None:
        """Records that an answer began on a prompt with these parts."""
        now_s = self._read_time_s()
        parts = frozenset(parts)
        self._outcomes.append((now_s, None, parts))
        is_acquittal = False
        for part in parts:
            self._own_begins.pop(part, None)
            self._own_begins[part] = now_s
            if self._suspects.pop(part, None) is not None:
                self._objections[part] = now_s + OBJECTING_S
                is_acquittal = True
        _trim(self._own_begins, MAX_BEGINS)
        if is_acquittal:
            self._notify()

    def record_crash(
        self, organisation: int, parts: Iterable[int], upstream: int
    ) -> None:
        """Records that an upstream crashed before it began an answer.

        Args:
            organisation: Hash of the organisation that sent the request.
            parts: Hashes of the parts of its prompt.
            upstream: Hash of the upstream.
        """
        now_s = self._read_time_s()
        parts = frozenset(parts)
        self._outcomes.append((now_s, upstream, parts))
        is_changed = False
        for part in parts:
            report = CrashReport(now_s)
            if not self._is_acquitted(part, report):
                is_changed |= self._add((part, organisation, upstream), report)
                self._suspects[part].rounds = 1.0
                self._block_if_sufficient(part, organisation)
        if is_changed:
            self._notify()

    def _is_acquitted(self, part: int, report: CrashReport) -> bool:
        begun_s = max(
            self._own_begins.get(part, float("-inf")),
            self._reported_begins.get(part, float("-inf")),
        )
        return report.at_s < begun_s + ACQUITTAL_S

    def _add(self, key: CrashKey, report: CrashReport) -> bool:
        """Adds a crash; returns whether that is news for other entries."""
        part, organisation, upstream = key
        suspect = self._suspects.get(part)
        if suspect is None:
            rounds = self._random_source.uniform(
                MIN_OTHER_ROUNDS, MAX_OTHER_ROUNDS
            )
            suspect = _Suspect(self._read_time_s(), rounds)
            if len(self._suspects) >= MAX_SUSPECTS:
                del self._suspects[self._rank_suspects()[-1]]
            self._suspects[part] = suspect
        known = suspect.crashes.get((organisation, upstream))
        merged = report if known is None else known.merge(report)
        suspect.crashes[organisation, upstream] = merged
        _trim(suspect.crashes, MAX_CRASHES_PER_PART)
        return known is None or merged.is_blocking != known.is_blocking

    def _block_if_sufficient(self, part: int, organisation: int) -> None:
        """Blocks a part whose separate crashes are sufficient evidence."""
        suspect = self._suspects[part]
        count = suspect.count_separate(organisation)
        is_early = self._read_time_s() < suspect.known_s + OBJECTION_S
        if is_early or count < self._count_required(part):
            return
        for key, report in suspect.crashes.items():
            if key[0] == organisation:
                suspect.crashes[key] = CrashReport(report.at_s, True)

    def _count_required(self, part: int) -> int:
        """Returns how many separate crashes block a part.

        That is the number that requests without the part would reach by chance
        with `ERROR_PROBABILITY`, at the rate at which they crash upstreams. If
        they crashed together with the part, that is not held against them.
        """
        oldest_s = self._read_time_s() - OUTCOME_WINDOW_S
        explained = {key[1] for key in self._suspects[part].crashes}
        others = [
            upstream
            for at_s, upstream, parts in self._outcomes
            if at_s > oldest_s
            and part not in parts
            and upstream not in explained
        ]
        crashes = sum(upstream is not None for upstream in others)
        if len(others) - crashes < MIN_OTHER_BEGINS:
            return MAX_CRASHES
        rate = (crashes + 0.5) / (max(MIN_OUTCOMES, len(others)) + 1)
        required = math.ceil(math.log(ERROR_PROBABILITY) / math.log(rate))
        return min(MAX_CRASHES, max(MIN_CRASHES, required))

    # Verdicts.

    def judge(self, organisation: int, parts: Iterable[int]) -> Judgement:
        """Returns what may be done with a request."""
        now_s = self._read_time_s()
        verdicts = {}
        remaining_s = 0.0
        for part in parts:
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            if suspect.is_expired(now_s):
                del self._suspects[part]
                continue
            verdicts[part] = self._judge_part(suspect, organisation, now_s)
            if verdicts[part] is Verdict.BLOCKED:
                until_s = suspect.get_last_s() + suspect.compute_block_s()
                remaining_s = max(remaining_s, until_s - now_s)
        if not verdicts:
            return Judgement(Verdict.CLEAR)
        strictest = max(verdicts.values(), key=lambda verdict: verdict.value)
        return Judgement(strictest, remaining_s, frozenset(verdicts))

    def _judge_part(
        self, suspect: _Suspect, organisation: int, now_s: float
    ) -> Verdict:
        if suspect.is_blocking(organisation):
            block_end_s = suspect.get_last_s() + suspect.compute_block_s()
            return Verdict.BLOCKED if now_s < block_end_s else Verdict.SUSPECT
        last_s = max(suspect.known_s, suspect.get_last_s())
        decided_s = last_s + suspect.rounds * OBJECTION_S
        return Verdict.UNDECIDED if now_s < decided_s else Verdict.SUSPECT

    def try_start_test(self, parts: frozenset[int]) -> bool:
        """Reserves suspected parts for one request; False if one is tested."""
        if not self.may_test(parts):
            return False
        self._tested |= parts
        return True

    def may_test(self, parts: frozenset[int]) -> bool:
        """Returns whether no request tests one of the parts."""
        return self._tested.isdisjoint(parts)

    def end_test(self, parts: frozenset[int]) -> None:
        """Ends a test that `try_start_test` began."""
        self._tested -= parts

    # Exchange with other entries.

    def get_crashes(self, limit: int) -> dict[CrashKey, CrashReport]:
        """Returns the known crashes, those of blocked parts first."""
        now_s = self._read_time_s()
        for part in [
            p for p, s in self._suspects.items() if s.is_expired(now_s)
        ]:
            del self._suspects[part]
        found: dict[CrashKey, CrashReport] = {}
        for part in self._rank_suspects():
            crashes = self._suspects[part].crashes
            for (organisation, upstream), report in crashes.items():
                if len(found) == limit:
                    return found
                found[part, organisation, upstream] = report
        return found

    def _rank_suspects(self) -> list[int]:
        """Returns the suspected parts, those with the most evidence first."""

        def compute_weight(part: int) -> tuple:
            suspect = self._suspects[part]
            reports = suspect.crashes.values()
            is_blocked = any(report.is_blocking for report in reports)
            return (is_blocked, len(reports), suspect.known_s)

        return sorted(self._suspects, key=compute_weight, reverse=True)

    def get_acquittals(self, limit: int) -> dict[int, float]:
        """Returns when answers began on parts that an entry suspects."""
        now_s = self._read_time_s()
        self._objections = {
            part: until_s
            for part, until_s in self._objections.items()
            if until_s > now_s and part in self._own_begins
        }
        latest = list(self._objections)[-limit:]
        return {part: self._own_begins[part] for part in latest}

    def merge_report(
        self,
        crashes: Mapping[CrashKey, CrashReport],
        begins: Mapping[int, float],
    ) -> None:
        """Merges what other entries report."""
        now_s = self._read_time_s()
        is_changed = False
        for part, at_s in begins.items():
            at_s = max(at_s, self._reported_begins.pop(part, at_s))
            self._reported_begins[part] = at_s
            suspect = self._suspects.get(part)
            if (
                suspect is not None
                and suspect.get_last_s() < at_s + ACQUITTAL_S
            ):
                del self._suspects[part]
                is_changed = True
        _trim(self._reported_begins, MAX_BEGINS)
        for key, report in crashes.items():
            part = key[0]
            if not self._is_acquitted(part, report):
                is_changed |= self._add(key, report)
            elif part in self._own_begins:
                is_changed |= part not in self._objections
                self._objections[part] = now_s + OBJECTING_S
        _trim(self._objections, MAX_SUSPECTS)
        if is_changed:
            self._notify()


def _trim(items: dict, limit: int) -> None:
    """Removes the oldest items beyond a limit."""
    while len(items) > limit:
        del items[next(iter(items))]
