"""Fair shares of organisations in the context memory of services. Free of I/O.

Each entry knows the use of its own callers exactly and that of other entries
from load reports, and computes the shares itself. See docs/design/shares.md.
"""

import collections
from collections.abc import Hashable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
from typing import TypeVar

import xxhash

__all__ = [
    "Demand",
    "ServiceUse",
    "ShareTable",
    "Standing",
    "Use",
    "compute_shares",
    "hash_name",
    "merge_uses",
    "select_largest",
    "subtract_uses",
]

Key = TypeVar("Key", bound=Hashable)

# Less than this is left over by rounding.
MIN_TOKENS = 0.5
# Limits of a load report. Organisations beyond the first are summed.
MAX_ROWS = 32
MAX_SERVICES = 32
DEFAULT_WEIGHT = 1.0
# Time for which a refused request counts as wanted.
REFUSED_S = 2.0
# Refusals within this time share one record, which bounds the records of an
# organisation to REFUSED_S / REFUSAL_STEP_S + 1.
REFUSAL_STEP_S = 0.1
# Reports count in full up to the first age, half up to the second.
FULL_AGE_S = 3.0
MAX_AGE_S = 6.0
AGED_FRACTION = 0.5
# A new process has reports of only some entries for this long.
DISCOVERY_S = 1.0
# Time constant with which the estimate of a service's capacity falls to what is
# used. Without it, limiting an organisation lowers the shares of all.
ROOM_DECAY_S = 20.0
# Use beyond the share, as a fraction of it, at which the excess begins, and
# over which it then grows to 1.0. A range of 0.5 left 9% of the capacity free
# 4 to 6 s after the organisations of test_shares became active, 1.5 left 4.5%.
TOLERANCE = 0.1
EXCESS_RANGE = 1.5
# Time after which entries draw anew which of them may hold a request of an
# organisation whose share is less than one request per entry. It exceeds the
# time for which most requests hold context: drawing as often as that, with 1 s
# for 1.5 s, let the largest of 24 organisations use 1.2 times its share.
PHASE_PERIOD_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Claim of an organisation on a capacity.

    Attributes:
        weight: Its weight, above 0.
        amount: What it would use if it could.
    """

    weight: float
    amount: float


@dataclasses.dataclass(frozen=True, slots=True)
class Use:
    """Context tokens of one organisation, or of several together.

    Attributes:
        used: Tokens reserved by running streams.
        wanted: Tokens of requests that wait, or that were refused for lack of
            capacity a short time ago.
    """

    used: float = 0.0
    wanted: float = 0.0

    @property
    def total(self) -> float:
        """The organisation's demand."""
        return self.used + self.wanted

    def add(self, other: "Use", factor: float = 1.0) -> "Use":
        """Returns the sum with a multiple of another use, at least 0."""
        return Use(
            max(0.0, self.used + factor * other.used),
            max(0.0, self.wanted + factor * other.wanted),
        )


NO_USE = Use()


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUse:
    """Use of one service by organisation.

    Attributes:
        organisations: Use by the hash of the organisation's name.
        rest: Sum over the organisations that are not listed.
        rest_count: Least number of organisations in the sum.
    """

    organisations: Mapping[int, Use] = dataclasses.field(default_factory=dict)
    rest: Use = NO_USE
    rest_count: int = 0


IDLE = ServiceUse()


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What an organisation uses of a service, against its fair share.

    Attributes:
        used: Context tokens that it uses at all entries, as far as known.
        due: Its fair share in context tokens; what it uses while nobody
            else wants more.
        excess: 0.0 if it is within its share or nobody else wants more, up to
            1.0.
    """

    used: float
    due: float
    excess: float


def hash_name(name: str) -> int:
    """Returns the hash that stands for a name in load reports."""
    return xxhash.xxh3_64_intdigest(name.encode())


def compute_shares(
    demands: Mapping[Key, Demand], capacity: float
) -> dict[Key, float]:
    """Divides a capacity max-min fairly in proportion to weights.

    Nobody gets more than its demand. What it leaves goes to the others, so that
    capacity is only left over once all demands are met.

    Args:
        demands: Claims on the capacity.
        capacity: What there is to divide.

    Returns:
        Share of each claim.
    """
    remaining = max(0.0, capacity)
    weight = sum(demand.weight for demand in demands.values())
    shares = {}
    for key, demand in sorted(
        demands.items(), key=lambda item: item[1].amount / item[1].weight
    ):
        # Differences of weights may be too small by rounding.
        fraction = demand.weight / max(weight, demand.weight)
        shares[key] = min(demand.amount, remaining * fraction)
        remaining -= shares[key]
        weight -= demand.weight
    return shares


def merge_uses(
    parts: Iterable[Mapping[int, ServiceUse]],
) -> dict[int, ServiceUse]:
    """Returns the sum over several reports, by the hash of the service.

    Reports do not say which organisations are in a rest. Its count is the
    largest of the parts: each organisation may be in the rest of every part,
    and a count too high would understate the demand of each.
    """
    return _sum_uses((part, 1.0) for part in parts)


def _sum_uses(
    parts: Iterable[tuple[Mapping[int, ServiceUse], float]],
) -> dict[int, ServiceUse]:
    """Returns the sum over reports, each with the factor by which it counts."""
    # Sums of used and wanted by organisation; None stands for the rest.
    sums: dict[int, dict[int | None, list[float]]] = {}
    counts: dict[int, int] = {}
    for part, factor in parts:
        for service, use in part.items():
            rows = sums.setdefault(service, {})
            counts[service] = max(counts.get(service, 0), use.rest_count)
            for organisation, row in (
                *use.organisations.items(),
                (None, use.rest),
            ):
                total = rows.get(organisation)
                if total is None:
                    total = rows[organisation] = [0.0, 0.0]
                total[0] += factor * row.used
                total[1] += factor * row.wanted
    return {
        service: ServiceUse(
            rest=Use(*rows.pop(None)),
            organisations={o: Use(*total) for o, total in rows.items()},
            rest_count=counts[service],
        )
        for service, rows in sums.items()
    }


def subtract_uses(
    total: Mapping[int, ServiceUse], part: Mapping[int, ServiceUse]
) -> dict[int, ServiceUse]:
    """Returns a sum of reports less one of them.

    Organisations that the part names and the total does not are in the rest of
    the total.
    """
    remaining = dict(total)
    for service, use in part.items():
        known = remaining.get(service)
        if known is None:
            continue
        organisations = dict(known.organisations)
        rest = known.rest.add(use.rest, -1.0)
        for organisation, removed in use.organisations.items():
            if organisation not in organisations:
                rest = rest.add(removed, -1.0)
                continue
            difference = organisations[organisation].add(removed, -1.0)
            if difference.total > MIN_TOKENS:
                organisations[organisation] = difference
            else:
                del organisations[organisation]
        if organisations or rest.total > MIN_TOKENS:
            remaining[service] = ServiceUse(
                organisations,
                rest,
                known.rest_count if rest.total > MIN_TOKENS else 0,
            )
        else:
            del remaining[service]
    return remaining


def select_largest(
    uses: Mapping[int, ServiceUse],
    max_rows: int = MAX_ROWS,
    max_services: int = MAX_SERVICES,
) -> dict[int, ServiceUse]:
    """Returns the same use with a limited number of rows.

    Args:
        uses: Use by the hash of the service.
        max_rows: Maximum number of organisations over all services. The
            largest are kept, the others are added to the rest.
        max_services: Maximum number of services; the others are left out.
    """
    if len(uses) > max_services:
        largest = sorted(uses, key=lambda s: -_sum_use(uses[s]).total)
        uses = {service: uses[service] for service in largest[:max_services]}
    rows = [
        (service, organisation, use)
        for service, service_use in uses.items()
        for organisation, use in service_use.organisations.items()
    ]
    if len(rows) <= max_rows:
        return dict(uses)
    # Hashes break ties, so that all entries select alike.
    rows.sort(key=lambda row: (-row[2].total, row[0], row[1]))
    kept: dict[int, dict[int, Use]] = {service: {} for service in uses}
    rests = {s: [u.rest.used, u.rest.wanted] for s, u in uses.items()}
    counts = {service: use.rest_count for service, use in uses.items()}
    for index, (service, organisation, use) in enumerate(rows):
        if index < max_rows:
            kept[service][organisation] = use
        else:
            rest = rests[service]
            rest[0] += use.used
            rest[1] += use.wanted
            counts[service] += 1
    return {
        service: ServiceUse(
            kept[service], Use(*rests[service]), counts[service]
        )
        for service in uses
    }


def _sum_use(use: ServiceUse) -> Use:
    return Use(
        use.rest.used + sum(u.used for u in use.organisations.values()),
        use.rest.wanted + sum(u.wanted for u in use.organisations.values()),
    )


class _OwnUse:
    """Use of one service by one organisation's requests at this entry."""

    __slots__ = ("_refusals", "used", "waiting")

    def __init__(self):
        self.used = 0.0
        self.waiting = 0.0
        # Loop times until which refused tokens count, and the tokens.
        self._refusals: collections.deque[list[float]] | None = None

    def refuse(self, tokens: float, now_s: float) -> None:
        until_s = now_s + REFUSED_S
        if self._refusals is None:
            self._refusals = collections.deque()
        refusals = self._refusals
        if refusals and until_s - refusals[-1][0] < REFUSAL_STEP_S:
            refusals[-1][1] += tokens
        else:
            refusals.append([until_s, tokens])

    def get(self, now_s: float) -> Use:
        refusals = self._refusals
        if refusals is None:
            return Use(self.used, self.waiting)
        while refusals and refusals[0][0] <= now_s:
            refusals.popleft()
        if not refusals:
            self._refusals = None
        return Use(self.used, self.waiting + sum(r[1] for r in refusals))


@dataclasses.dataclass(frozen=True, slots=True)
class _Received:
    """What a source reported, and when it arrived."""

    uses: Mapping[int, ServiceUse]
    received_s: float


class ShareTable:
    """Use of services by organisation, at this entry and at others.

    Args:
        name: Name of this entry.
        started_s: Loop time at which the process started.
    """

    def __init__(self, name: str, started_s: float):
        self._name = name
        self._started_s = started_s
        self._own: dict[int, dict[int, _OwnUse]] = {}
        self._reports: dict[str, _Received] = {}
        # Sum of the reports as they count now, and until when it is valid.
        self._others: dict[int, ServiceUse] = {}
        self._others_valid_until_s = float("-inf")
        self._weights: dict[int, float] = {}
        # The most that was used of each service, and when that was computed.
        self._room: dict[int, tuple[float, float]] = {}

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replaces the weights by organisation; others have weight 1.0."""
        self._weights = {hash_name(name): w for name, w in weights.items()}

    # Requests at this entry.

    def hold(self, service: str, organisation: str, tokens: float) -> None:
        """Counts context reserved for a running stream."""
        self._get_own(service, organisation).used += tokens

    def release(self, service: str, organisation: str, tokens: float) -> None:
        """Stops counting context that `hold` counted."""
        own = self._get_own(service, organisation)
        own.used = max(0.0, own.used - tokens)

    def start_waiting(
        self, service: str, organisation: str, tokens: float
    ) -> None:
        """Counts the context of a request that waits for capacity."""
        self._get_own(service, organisation).waiting += tokens

    def stop_waiting(
        self, service: str, organisation: str, tokens: float
    ) -> None:
        """Stops counting context that `start_waiting` counted."""
        own = self._get_own(service, organisation)
        own.waiting = max(0.0, own.waiting - tokens)

    def refuse(
        self, service: str, organisation: str, tokens: float, now_s: float
    ) -> None:
        """Counts a request that was refused for lack of capacity."""
        self._get_own(service, organisation).refuse(tokens, now_s)

    def _get_own(self, service: str, organisation: str) -> _OwnUse:
        by_organisation = self._own.setdefault(hash_name(service), {})
        key = hash_name(organisation)
        own = by_organisation.get(key)
        if own is None:
            own = by_organisation[key] = _OwnUse()
        return own

    def _read_own(self, service: int, now_s: float) -> dict[int, Use]:
        """Returns the own use of a service, and forgets what has ended."""
        by_organisation = self._own.get(service)
        if by_organisation is None:
            return {}
        uses = {}
        for organisation, own in list(by_organisation.items()):
            use = own.get(now_s)
            if use.total > MIN_TOKENS:
                uses[organisation] = use
            else:
                del by_organisation[organisation]
        if not by_organisation:
            del self._own[service]
        return uses

    def summarise(self, now_s: float) -> dict[int, ServiceUse]:
        """Returns the use at this entry, with as many rows as a report has.

        Args:
            now_s: Loop time.

        Returns:
            Use by the hash of the service; empty if there is none.
        """
        uses = {
            service: ServiceUse(organisations)
            for service in list(self._own)
            if (organisations := self._read_own(service, now_s))
        }
        return select_largest(uses)

    # Reports of other entries.

    def set_report(
        self, source: str, uses: Mapping[int, ServiceUse], now_s: float
    ) -> None:
        """Replaces what a source reports.

        Args:
            source: Another entry, or several whose reports were summed. The
                sources must not overlap, nor include this entry.
            uses: Use by the hash of the service.
            now_s: Loop time.
        """
        self._forget_others()
        if not uses:
            self._reports.pop(source, None)
            return
        self._reports[source] = _Received(uses, now_s)

    def drop_report(self, source: str) -> None:
        """Forgets what a source reported."""
        self._forget_others()
        self._reports.pop(source, None)

    def _forget_others(self) -> None:
        self._others_valid_until_s = float("-inf")

    def _get_others(self, now_s: float) -> dict[int, ServiceUse]:
        """Returns the sum of the reports, each as far as it still counts."""
        if now_s < self._others_valid_until_s:
            return self._others
        if now_s - self._started_s < DISCOVERY_S:
            return {}
        self._reports = {
            source: report
            for source, report in self._reports.items()
            if now_s - report.received_s < MAX_AGE_S
        }
        parts = []
        self._others_valid_until_s = float("inf")
        for report in self._reports.values():
            is_aged = now_s - report.received_s >= FULL_AGE_S
            parts.append((report.uses, AGED_FRACTION if is_aged else 1.0))
            self._others_valid_until_s = min(
                self._others_valid_until_s,
                report.received_s + (MAX_AGE_S if is_aged else FULL_AGE_S),
            )
        self._others = _sum_uses(parts)
        return self._others

    # Decisions.

    def get_others_wanted(self, service: str, now_s: float) -> float:
        """Returns the context tokens wanted at other entries."""
        others = self._get_others(now_s).get(hash_name(service), IDLE)
        return others.rest.wanted + sum(
            use.wanted for use in others.organisations.values()
        )

    def get_standing(
        self,
        service: str,
        organisation: str,
        now_s: float,
        tokens: float = 0.0,
        capacity: float = float("inf"),
    ) -> Standing:
        """Returns what an organisation uses, against its fair share.

        While somebody wants more than there is, what all used together lately
        is the capacity that the service really has: memory that is free but
        that no path can use does not raise the shares.

        Reports are about a second old, in which all entries together could
        start many times the share of an organisation. Hence the excess is that
        of the part which this entry has in the share by the part of the demand
        that arrives here, against the use here, which is known exactly.

        Args:
            service: Name of the service.
            organisation: Name of the organisation.
            now_s: Loop time.
            tokens: Context tokens of the request that asks, 0.0 if it is
                counted as waiting.
            capacity: Context tokens that the service has, if known. It only
                lowers the shares, as after a failure of instances.
        """
        service_hash, key = hash_name(service), hash_name(organisation)
        own_uses = self._read_own(service_hash, now_s)
        others = self._get_others(now_s).get(service_hash, IDLE)
        uses = dict(others.organisations)
        for other, use in own_uses.items():
            uses[other] = uses[other].add(use) if other in uses else use
        room = self._estimate_room(
            service_hash,
            others.rest.used + sum(use.used for use in uses.values()),
            now_s,
        )
        asking = uses.get(key, NO_USE)
        if others.rest.wanted <= 0.0 and not any(
            use.wanted > 0.0 for other, use in uses.items() if other != key
        ):
            return Standing(asking.used, asking.used, 0.0)
        uses[key] = asking.add(Use(0.0, tokens))
        demands: dict[int | None, Demand] = {
            other: Demand(self._weights.get(other, DEFAULT_WEIGHT), use.total)
            for other, use in uses.items()
        }
        # None stands for the organisations that reports do not name.
        demands[None] = Demand(
            DEFAULT_WEIGHT * max(1, others.rest_count), others.rest.total
        )
        due = compute_shares(demands, min(capacity, room))[key]
        own = own_uses.get(key, NO_USE)
        demand = uses[key].total
        own_due = due * (own.total + tokens) / demand if demand > 0.0 else 0.0
        if asking.used > due:
            # The excess of all together is shared as well, with the delay of
            # the reports.
            own_due *= due / asking.used
        own_used = own.used + tokens * self._get_phase(key, now_s)
        return Standing(asking.used, due, _get_excess(own_used, own_due))

    def _estimate_room(self, service: int, used: float, now_s: float) -> float:
        """Returns the most that all used together recently.

        Args:
            service: Hash of the service.
            used: What they use now.
            now_s: Loop time.
        """
        room, since_s = self._room.get(service, (0.0, now_s))
        room = max(used, room * math.exp((since_s - now_s) / ROOM_DECAY_S))
        self._room[service] = (room, now_s)
        return room

    def _get_phase(self, organisation: int, now_s: float) -> float:
        """Returns a number from 0.0 to 1.0 for rounding to whole requests.

        It is uniform over entries, organisations and periods, so that the
        requests that all entries hold add up to the share on average.
        """
        period = int(now_s / PHASE_PERIOD_S)
        digest = xxhash.xxh3_64_intdigest(
            f"{self._name}/{organisation}/{period}".encode()
        )
        return digest / 2**64


def _get_excess(used: float, due: float) -> float:
    over = used - due * (1.0 + TOLERANCE)
    if over <= 0.0:
        return 0.0
    return min(1.0, over / (EXCESS_RANGE * due)) if due > 0.0 else 1.0
