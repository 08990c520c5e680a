"""Estimates when memory becomes free, and what follows for a request.

Without I/O and without clock reads. Amounts are context tokens that a request
reserves on its path. The state of waiting requests is in
`fuchsiabarrow.scheduling.waiting`.
"""

import collections
import dataclasses
import enum
import math
import random

__all__ = [
    "Capacity",
    "Decision",
    "Outcome",
    "RoomEstimator",
    "RouteLimits",
    "Ticket",
    "WaitTerms",
    "compute_wait_end_s",
    "decide",
    "draw_retry_after_s",
    "estimate_elapsed_s",
    "has_returned",
    "keeps_gaps",
    "make_refusal",
]

# Part of the objective within which a request is served or refused.
MAX_WAIT_FRACTION = 0.25

# Assumed holding time before any request has ended. It weighs as much as
# PRIOR_TOKENS of context, so that a few real ones replace it.
INITIAL_HELD_S = 1.0
PRIOR_TOKENS = 1000.0
# Part of the earlier history that remains after each released request: the mean
# covers about the last 50.
HISTORY_DECAY = 0.98

MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 5.0
RETRY_AFTER_SPREAD = 0.5
# The least urgent requests return after this multiple of the estimate, plus 1.
POSITION_DELAY = 0.5
# A caller that returns is up to this much early by clocks and rounding.
RETURN_TOLERANCE_S = 0.02

# Time for which the limits of a route's requests are remembered, in parts.
LIMIT_PERIOD_S = 60.0
LIMIT_PARTS = 6

# Part of the gap objective that is left unused: the expected gap is a mean, and
# prompts that are read later lengthen single gaps.
GAP_RESERVE_FRACTION = 0.2


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """Memory of a service, as far as an entry knows.

    Attributes:
        free_tokens: Context that further requests may reserve.
        used_tokens: Context that is reserved.
        others_wanted_tokens: Context that requests at other entries wait for.
    """

    free_tokens: float
    used_tokens: float
    others_wanted_tokens: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """What a request is judged by; it does not change while it waits.

    Attributes:
        request_id: Id of the request, for the log.
        organisation: Name of its organisation; empty for anonymous requests.
        rank: Its rank, 0 for the most urgent.
        position: Position of the rank among those of the service, 0.0 to 1.0.
        size_tokens: Context that it needs.
        arrived_s: Loop time at which it arrived.
        objective_s: Latency objective of its route.
        elapsed_s: Time since the caller's first attempt at its arrival.
        first_event_s: Expected time from its start to its first event.
        share_excess: By how much its organisation exceeds its share, 0.0 to
            1.0.
        memory_fraction: Fraction of the memory that the request may fill.
    """

    request_id: str
    organisation: str
    rank: int
    position: float
    size_tokens: float
    arrived_s: float
    objective_s: float
    elapsed_s: float = 0.0
    first_event_s: float = 0.0
    share_excess: float = 0.0
    memory_fraction: float = 1.0


class Outcome(enum.Enum):
    """What is done with a request."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, slots=True)
class WaitTerms:
    """What a decision depends on, besides the request itself.

    Attributes:
        now_s: Loop time.
        has_path: Whether capacity was reserved on a path.
        is_next: Whether no request with a stronger claim waits.
        has_place: Whether the queue can take the request.
        wait_s: Expected time until there is room for it if it waits.
        return_s: Expected time until there is room for it if it returns later.
    """

    now_s: float
    has_path: bool
    is_next: bool
    has_place: bool
    wait_s: float
    return_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Outcome for one request.

    Attributes:
        outcome: What is done with it.
        until_s: Loop time until which it waits; for WAIT only.
        retry_after_s: Time after which the caller may retry; for REFUSE only.
        estimate_s: Expected time until there is room, at the decision.
        reason: Why it is refused, for the log.
    """

    outcome: Outcome
    until_s: float = 0.0
    retry_after_s: float = 0.0
    estimate_s: float = 0.0
    reason: str = ""


def has_returned(ticket: Ticket) -> bool:
    """Returns whether the caller has waited as long as it was told to.

    One that repeats a request at once has not: it is not preferred.
    """
    return ticket.elapsed_s >= MIN_RETRY_AFTER_S - RETURN_TOLERANCE_S


def compute_wait_end_s(ticket: Ticket) -> float:
    """Returns the loop time until which a request may wait at most.

    One that cannot meet its objective any more does not wait: it would delay
    others past theirs. Callers that have returned start if there is a path.
    """
    left_s = ticket.objective_s - ticket.elapsed_s - ticket.first_event_s
    longest_s = min(MAX_WAIT_FRACTION * ticket.objective_s, max(0.0, left_s))
    return ticket.arrived_s + longest_s


def decide(
    ticket: Ticket, terms: WaitTerms, random_source: random.Random
) -> Decision:
    """Decides whether a request starts, waits or is refused.

    Args:
        ticket: The request.
        terms: State of the service for it.
        random_source: Spreads the delays after which callers return.
    """
    if terms.has_path and terms.is_next:
        return Decision(Outcome.START)
    until_s = compute_wait_end_s(ticket)
    if until_s <= terms.now_s:
        reason = "its objective leaves no time to wait"
    elif terms.now_s + terms.wait_s > until_s:
        reason = "memory is expected to become free too late"
    elif not terms.has_place:
        reason = "too many requests with stronger claims wait"
    else:
        return Decision(Outcome.WAIT, until_s=until_s, estimate_s=terms.wait_s)
    return make_refusal(ticket, terms.return_s, reason, random_source)


def make_refusal(
    ticket: Ticket,
    return_s: float,
    reason: str,
    random_source: random.Random,
) -> Decision:
    """Returns a refusal.

    Args:
        ticket: The request.
        return_s: Expected time until there is room for it if it returns.
        reason: Why it is refused.
        random_source: Spreads the delays after which callers return.
    """
    return Decision(
        Outcome.REFUSE,
        retry_after_s=draw_retry_after_s(
            return_s, ticket.position, random_source
        ),
        estimate_s=return_s,
        reason=reason,
    )


def draw_retry_after_s(
    estimate_s: float, position: float, random_source: random.Random
) -> float:
    """Returns a time after which a caller may retry.

    Callers return after the expected time, spread by up to half of it. The
    spread is kept at the longest delay too, or all would return at once.

    Args:
        estimate_s: Expected time until there is room; may be infinite.
        position: Position of the request's rank.
        random_source: Random number generator.
    """
    widest = 1 + RETRY_AFTER_SPREAD
    delay_s = max(0.0, estimate_s) * (1 + POSITION_DELAY * position)
    delay_s = max(MIN_RETRY_AFTER_S, min(delay_s, MAX_RETRY_AFTER_S / widest))
    return delay_s * random_source.uniform(1, widest)


def keeps_gaps(
    expected_event_gap_s: float, gap_objective_s: float | None
) -> bool:
    """Returns whether a path would send events often enough.

    Args:
        expected_event_gap_s: Expected time between events with the request, at
            the present load and slowdown of the path.
        gap_objective_s: Objective of the route; None if it has none.
    """
    if gap_objective_s is None:
        return True
    return expected_event_gap_s <= (1 - GAP_RESERVE_FRACTION) * gap_objective_s


class RoomEstimator:
    """Estimates the time until memory of one service becomes free.

    By Little's law, context is released at the rate of that in use divided by
    the mean time for which it is held. More urgent requests that arrive
    meanwhile are not foreseen: to subtract what they took lately made the
    estimates of less urgent ones worse (docs/design/room.md).
    """

    def __init__(self):
        self._tokens = PRIOR_TOKENS
        self._token_seconds = PRIOR_TOKENS * INITIAL_HELD_S

    def record_released(self, context_tokens: float, held_s: float) -> None:
        """Records that a request has released the context that it held."""
        self._tokens = HISTORY_DECAY * self._tokens + context_tokens
        self._token_seconds = HISTORY_DECAY * self._token_seconds + (
            context_tokens * max(0.0, held_s)
        )

    def get_release_rate(self, used_tokens: float) -> float:
        """Returns the expected tokens per second that become free."""
        if self._token_seconds <= 0:
            return math.inf if used_tokens > 0 else 0.0
        return used_tokens * self._tokens / self._token_seconds

    def estimate_wait_s(
        self,
        size_tokens: float,
        ahead_tokens: float,
        free_tokens: float,
        used_tokens: float,
    ) -> float:
        """Returns the expected time until a request can be placed.

        Args:
            size_tokens: Context that it needs.
            ahead_tokens: Context needed by those with stronger claims.
            free_tokens: Free context.
            used_tokens: Context in use.

        Returns:
            The time in seconds; infinite if nothing will be released.
        """
        missing = size_tokens + ahead_tokens - free_tokens
        if missing <= 0:
            return 0.0
        rate = self.get_release_rate(used_tokens)
        if rate <= 0:
            return math.inf
        if math.isinf(rate):
            return 0.0
        return missing / rate


def estimate_elapsed_s(left_s: float, longest_left_s: float) -> float:
    """Returns the estimated time since the caller's first attempt.

    Args:
        left_s: Time that the caller has left, as it states.
        longest_left_s: Longest such time seen on the route lately.
    """
    return max(0.0, longest_left_s - left_s)


class RouteLimits:
    """Longest time that callers of each route had left within a minute."""

    def __init__(self):
        # Route to maxima by the part of the minute, the latest one last.
        self._maxima: dict[str, collections.deque[tuple[int, float]]] = {}

    def record(self, route: str, left_s: float, now_s: float) -> float:
        """Records the time that a caller has left; returns the longest."""
        part = int(now_s * LIMIT_PARTS / LIMIT_PERIOD_S)
        maxima = self._maxima.setdefault(route, collections.deque())
        while maxima and maxima[0][0] <= part - LIMIT_PARTS:
            maxima.popleft()
        if maxima and maxima[-1][0] == part:
            maxima[-1] = (part, max(left_s, maxima[-1][1]))
        else:
            maxima.append((part, left_s))
        return max(left for _, left in maxima)

    def retain(self, routes: set[str]) -> None:
        """Forgets routes that the configuration no longer contains."""
        for route in self._maxima.keys() - routes:
            del self._maxima[route]
