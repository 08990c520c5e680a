"""Admission control with weighted fair sharing; without I/O.

A request holds one of the concurrent streams of an entry while it runs. While a
stream is free, any organisation can take it. Otherwise requests wait in one
queue for each organisation, and a freed stream goes to the organisation that
uses the fewest streams in proportion to its weight. A request is rejected
immediately if the maximum number of requests is already waiting or if the
expected wait is longer than the maximum wait.
"""

import collections
import dataclasses

from fuchsiabarrow import exceptions

__all__ = ["Admission", "Ticket"]

# Weight of a new sample in the moving average of the time that a request holds
# a stream.
HOLD_TIME_WEIGHT = 0.1
INITIAL_HOLD_TIME_S = 1.0
MIN_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A request that holds a stream or waits for one.

    Attributes:
        organisation: Organisation of the request.
        weight: Weight of the organisation's share.
        is_admitted: True while the request holds a stream.
        admitted_at_s: Time at which it got the stream.
    """

    organisation: str
    weight: float
    is_admitted: bool = False
    admitted_at_s: float = 0.0


class Admission:
    """The concurrent streams of one entry and the queues for them.

    Args:
        max_streams: Maximum number of concurrent streams.
        max_waiting: Maximum number of waiting requests.
        max_wait_s: Maximum wait in seconds.
    """

    def __init__(self, max_streams: int, max_waiting: int, max_wait_s: float):
        self._max_streams = max_streams
        self._max_waiting = max_waiting
        self._max_wait_s = max_wait_s
        self._in_use: dict[str, int] = {}
        self._used = 0
        self._queued = 0
        self._queues: dict[str, collections.deque[Ticket]] = {}
        self._mean_hold_s = INITIAL_HOLD_TIME_S

    def set_limits(
        self,
        max_streams: int,
        max_waiting: int,
        max_wait_s: float,
        now_s: float,
    ) -> list[Ticket]:
        """Changes the limits; returns the tickets that this admits."""
        self._max_streams = max_streams
        self._max_waiting = max_waiting
        self._max_wait_s = max_wait_s
        return self._admit_waiting(now_s)

    def get_used(self) -> int:
        """Returns the number of streams in use."""
        return self._used

    def request(self, organisation: str, weight: float, now_s: float) -> Ticket:
        """Returns a ticket that is admitted or waits in a queue.

        Raises:
            OverloadedError: The request was rejected; no state changed.
        """
        ticket = Ticket(organisation, weight)
        if self._used < self._max_streams:
            self._admit(ticket, now_s)
            return ticket
        expected_s = self._estimate_wait_s(organisation)
        if self._queued >= self._max_waiting or expected_s > self._max_wait_s:
            raise exceptions.OverloadedError(
                "all streams are in use; retry after the given delay",
                max(MIN_RETRY_AFTER_S, expected_s),
            )
        self._queues.setdefault(organisation, collections.deque()).append(
            ticket
        )
        self._queued += 1
        return ticket

    def release(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Releases a stream, or the place of a ticket in its queue.

        Returns:
            Tickets that are admitted instead.
        """
        if not ticket.is_admitted:
            self._remove_waiting(ticket)
            return []
        ticket.is_admitted = False
        self._used -= 1
        self._in_use[ticket.organisation] -= 1
        if self._in_use[ticket.organisation] == 0:
            del self._in_use[ticket.organisation]
        held_s = now_s - ticket.admitted_at_s
        self._mean_hold_s += HOLD_TIME_WEIGHT * (held_s - self._mean_hold_s)
        return self._admit_waiting(now_s)

    def _admit(self, ticket: Ticket, now_s: float) -> None:
        ticket.is_admitted = True
        ticket.admitted_at_s = now_s
        self._used += 1
        in_use = self._in_use.get(ticket.organisation, 0)
        self._in_use[ticket.organisation] = in_use + 1

    def _admit_waiting(self, now_s: float) -> list[Ticket]:
        admitted = []
        while self._queued and self._used < self._max_streams:
            ticket = self._pop_next()
            self._admit(ticket, now_s)
            admitted.append(ticket)
        return admitted

    def _pop_next(self) -> Ticket:
        def compute_weighted_use(organisation: str) -> float:
            weight = self._queues[organisation][0].weight
            return self._in_use.get(organisation, 0) / weight

        organisation = min(self._queues, key=compute_weighted_use)
        queue = self._queues[organisation]
        ticket = queue.popleft()
        self._queued -= 1
        if not queue:
            del self._queues[organisation]
        return ticket

    def _remove_waiting(self, ticket: Ticket) -> None:
        queue = self._queues.get(ticket.organisation)
        if queue is None or ticket not in queue:
            return
        queue.remove(ticket)
        self._queued -= 1
        if not queue:
            del self._queues[ticket.organisation]

    def _estimate_wait_s(self, organisation: str) -> float:
        """Returns the expected wait at the end of an organisation's queue."""
        ahead = len(self._queues.get(organisation, ())) + 1
        sharing = len(set(self._queues) | {organisation})
        return ahead * sharing * self._mean_hold_s / self._max_streams
