"""Requests that wait for memory of one service, in order; without I/O.

The order is that of rank, callers that have returned, excess over the share,
and arrival. Order alone would starve some: less urgent ones while more urgent
ones ask for all memory, and large ones while smaller ones take what becomes
free. So a request whose kind is served far less often than all requests is
moved to the front, one at a time, and what becomes free is kept for the front.
"""

import bisect
import collections
import dataclasses
import math

from fuchsiabarrow.scheduling import room

__all__ = ["Entry", "KindHistory", "WaitingRoom"]

# Bounds the work of sorting and of expiry. At usual rates of release the
# estimate refuses long before: waits end after a quarter of the objective.
MAX_WAITING = 64

# Requests behind the front may start while this multiple of what it needs stays
# free: then it lacks no memory but instances on which it lies together.
SCATTER_FACTOR = 2.0

# A request is moved to the front if its kind is served less often than this
# multiple of all requests. The requirements are 0.25, and 0.5 for the largest
# tenth and the fifth below it; the difference covers the time until counts
# show the effect.
KIND_FLOOR = 0.4
LARGE_FLOOR = 0.7
# Time over which requests are counted, and number from which a kind is judged.
COUNT_PERIOD_S = 10.0
MIN_COUNT = 3.0
# Bounds the memory for organisations, of which there may be thousands.
MAX_KINDS = 256

# Number of sizes of a rank from which the largest tenth is determined.
SIZE_SAMPLES = 128
MIN_SIZE_SAMPLES = 10
LARGEST_FRACTION = 0.1
LARGE_FRACTION = 0.3

# Callers told to return are counted as ahead for this long after their time.
RETURN_GRACE_S = 0.5
# Part of their context that counts, as many find room elsewhere, give up or are
# refused again. With 0.15, 72 to 92 of 100 estimates, by rank, were within a
# factor of two of the time at which room came; with 1.0, 42 to 68 of 100.
RETURN_WEIGHT = 0.15
MAX_TOLD = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A request in the queue.

    Attributes:
        key: Its place in the order; the least one comes first.
        ticket: The request.
        until_s: Loop time at which its wait ends.
        is_owed: Whether it was moved to the front.
    """

    key: tuple[bool, int, bool, float, float, int]
    ticket: room.Ticket
    until_s: float
    is_owed: bool

    @property
    def position(self) -> float:
        """Position of its rank; that of the most urgent if it was moved."""
        return 0.0 if self.is_owed else self.ticket.position


class WaitingRoom:
    """A bounded queue of requests that wait for memory of one service."""

    def __init__(self):
        self._entries: list[Entry] = []
        self._sequence = 0
        self._owed = 0
        # Rank, context and time of return of callers that were refused.
        self._told: collections.deque[tuple[int, float, float]] = (
            collections.deque(maxlen=MAX_TOLD)
        )

    def __len__(self) -> int:
        return len(self._entries)

    def make_entry(self, ticket: room.Ticket, is_owed: bool) -> Entry:
        """Returns the entry of a request, without adding it.

        Args:
            ticket: The request.
            is_owed: Whether its kind is served too seldom. It is moved to the
                front unless another one is already there for that reason.
        """
        is_owed = is_owed and not self._owed
        self._sequence += 1
        key = (
            not is_owed,
            ticket.rank,
            not room.has_returned(ticket),
            ticket.share_excess,
            ticket.arrived_s,
            self._sequence,
        )
        return Entry(key, ticket, room.compute_wait_end_s(ticket), is_owed)

    def is_next(self, entry: Entry) -> bool:
        """Returns whether no request in the queue has a stronger claim."""
        return not self._entries or entry.key <= self._entries[0].key

    def has_place(self, entry: Entry) -> bool:
        """Returns whether an entry would be added; see `add`."""
        return (
            len(self._entries) < MAX_WAITING
            or entry.key < self._entries[-1].key
        )

    def add(self, entry: Entry) -> Entry | None:
        """Adds an entry; returns the weakest one if it had to leave for it."""
        bisect.insort(self._entries, entry, key=lambda other: other.key)
        self._owed += entry.is_owed
        if len(self._entries) <= MAX_WAITING:
            return None
        weakest = self._entries[-1]
        self.remove(weakest)
        return weakest

    def remove(self, entry: Entry) -> bool:
        """Removes an entry; returns whether it was in the queue."""
        index = self.get_position(entry)
        if index >= len(self._entries) or self._entries[index] is not entry:
            return False
        del self._entries[index]
        self._owed -= entry.is_owed
        return True

    def get_position(self, entry: Entry) -> int:
        """Returns the number of entries with stronger claims."""
        return bisect.bisect_left(
            self._entries, entry.key, key=lambda other: other.key
        )

    def get_ahead_tokens(self, entry: Entry) -> float:
        """Returns the context that waiting requests before an entry need."""
        index = self.get_position(entry)
        return sum(e.ticket.size_tokens for e in self._entries[:index])

    def get_told_tokens(self, ticket: room.Ticket, now_s: float) -> float:
        """Returns the expected context of callers that were told to return.

        They come before new callers of their rank, so that a caller refused
        now has them ahead of it when it returns. They do not wait at present.
        Larger ones do not count: they need more memory in one place, and
        smaller ones are served meanwhile.
        """
        return RETURN_WEIGHT * sum(
            tokens
            for rank, tokens, returns_s in self._told
            if rank <= ticket.rank
            and tokens <= ticket.size_tokens
            and returns_s > now_s - RETURN_GRACE_S
        )

    def record_told(self, ticket: room.Ticket, returns_s: float) -> None:
        """Records that a caller was refused and told to return at a time."""
        self._told.append((ticket.rank, ticket.size_tokens, returns_s))

    def pop_expired(self, now_s: float) -> list[Entry]:
        """Removes the entries whose wait has ended and returns them."""
        expired = [entry for entry in self._entries if entry.until_s <= now_s]
        for entry in expired:
            self.remove(entry)
        return expired

    def pick_next(
        self, free_tokens: float, tried: tuple[Entry, ...] = ()
    ) -> Entry | None:
        """Returns the entry that may be started next.

        Args:
            free_tokens: Free context of the service.
            tried: Entries for which no path was found with it. Others may pass
                them only if memory for those stays free.
        """
        kept = SCATTER_FACTOR * sum(e.ticket.size_tokens for e in tried)
        for entry in self._entries:
            if entry in tried:
                continue
            if not tried or free_tokens >= kept + entry.ticket.size_tokens:
                return entry
        return None

    def get_entries(self) -> list[Entry]:
        """Returns the entries in order."""
        return list(self._entries)

    def get_next_end_s(self) -> float:
        """Returns the loop time at which the next wait ends."""
        return min((entry.until_s for entry in self._entries), default=math.inf)


@dataclasses.dataclass(slots=True)
class _Count:
    """Requests of a kind that arrived and started, decayed as of a time."""

    arrived: float = 0.0
    started: float = 0.0
    at_s: float = 0.0

    def decay(self, now_s: float) -> None:
        """Lets the counts fall with the time that has passed."""
        factor = math.exp(min(0.0, self.at_s - now_s) / COUNT_PERIOD_S)
        self.arrived *= factor
        self.started *= factor
        self.at_s = max(self.at_s, now_s)


class KindHistory:
    """How often requests of each kind were served at once lately.

    Kinds are ranks, organisations, and the largest sizes of each rank. Only
    first attempts count: most callers that return have missed their objective.
    """

    def __init__(self):
        self._counts: collections.OrderedDict[tuple, _Count] = (
            collections.OrderedDict()
        )
        self._total = _Count()
        self._sizes: dict[int, collections.deque[float]] = {}
        # Rank to the sizes from which the largest three and one tenth begin.
        self._thresholds: dict[int, tuple[float, float]] = {}
        self._samples = 0

    def record_arrived(self, ticket: room.Ticket, now_s: float) -> None:
        """Counts a request; not one whose caller has returned."""
        if room.has_returned(ticket):
            return
        self._record_size(ticket)
        self._total.decay(now_s)
        self._total.arrived += 1
        for kind, _ in self._list_kinds(ticket):
            self._get_count(kind, now_s).arrived += 1

    def record_started(self, ticket: room.Ticket, now_s: float) -> None:
        """Counts a request that was started at its first attempt."""
        if room.has_returned(ticket):
            return
        self._total.decay(now_s)
        self._total.started += 1
        for kind, _ in self._list_kinds(ticket):
            self._get_count(kind, now_s).started += 1

    def is_owed(self, ticket: room.Ticket, now_s: float) -> bool:
        """Returns whether a kind of the request is served too seldom.

        An organisation above its share is not owed anything.
        """
        total = self._total
        if total.arrived < MIN_COUNT:
            return False
        usual = total.started / total.arrived
        for kind, floor in self._list_kinds(ticket):
            count = self._counts.get(kind)
            if count is None or count.arrived < MIN_COUNT:
                continue
            if kind[0] == "organisation" and ticket.share_excess > 0:
                continue
            if count.started < floor * usual * count.arrived:
                return True
        return False

    def _list_kinds(self, ticket: room.Ticket) -> list[tuple[tuple, float]]:
        kinds: list[tuple[tuple, float]] = [
            (("rank", ticket.rank), KIND_FLOOR),
            (("organisation", ticket.organisation), KIND_FLOOR),
        ]
        large, largest = self._thresholds.get(ticket.rank, (math.inf, math.inf))
        if ticket.size_tokens >= largest:
            kinds.append((("largest", ticket.rank), LARGE_FLOOR))
        elif ticket.size_tokens >= large:
            kinds.append((("large", ticket.rank), LARGE_FLOOR))
        return kinds

    def _get_count(self, kind: tuple, now_s: float) -> _Count:
        count = self._counts.setdefault(kind, _Count(at_s=now_s))
        self._counts.move_to_end(kind)
        if len(self._counts) > MAX_KINDS:
            self._counts.popitem(last=False)
        count.decay(now_s)
        return count

    def _record_size(self, ticket: room.Ticket) -> None:
        sizes = self._sizes.setdefault(
            ticket.rank, collections.deque(maxlen=SIZE_SAMPLES)
        )
        sizes.append(ticket.size_tokens)
        self._samples += 1
        # Sorting for each request would cost more than the rest of it.
        if len(sizes) >= MIN_SIZE_SAMPLES and self._samples % 8 == 0:
            self._set_thresholds(ticket.rank, sorted(sizes))

    def _set_thresholds(self, rank: int, ordered: list[float]) -> None:
        def get_quantile(part: float) -> float:
            return ordered[min(len(ordered) - 1, int(part * len(ordered)))]

        large = get_quantile(1 - LARGE_FRACTION)
        largest = get_quantile(1 - LARGEST_FRACTION)
        # Sizes that most requests have are not large.
        median = get_quantile(0.5)
        self._thresholds[rank] = (
            large if large > median else math.inf,
            largest if largest > median else math.inf,
        )
