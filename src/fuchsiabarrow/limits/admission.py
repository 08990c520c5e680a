"""Admission of requests by weighted shares; free of I/O.

While a stream is free, any organisation takes it. Otherwise requests wait in a
queue for each organisation, and a freed stream goes to the one that uses the
least of its weighted share. A request is refused at once when the queue is
full or when the expected wait is longer than it may wait.
"""

import collections
import dataclasses

from fuchsiabarrow import exceptions

__all__ = ["Admission", "Ticket"]

# Weight of a new measurement in the average holding time of a stream.
HOLDING_WEIGHT = 0.1
PRIOR_HOLDING_S = 1.0
MIN_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class Ticket:
    """A request's place.

    Attributes:
        organisation: Its organisation.
        weight: Share of the organisation.
        is_admitted: True while it holds a stream.
        admitted_at_s: When it got the stream.
    """

    organisation: str
    weight: float
    is_admitted: bool = False
    admitted_at_s: float = 0.0


class Admission:
    """The streams of one entry and the requests that wait for them.

    Args:
        streams: Streams at once.
        waiting: Requests that may wait.
        wait_s: Longest wait in seconds.
    """

    def __init__(self, streams: int, waiting: int, wait_s: float):
        self._streams = streams
        self._waiting = waiting
        self._wait_s = wait_s
        self._in_use: dict[str, int] = {}
        self._used = 0
        self._queued = 0
        self._queues: dict[str, collections.deque[Ticket]] = {}
        self._holding_s = PRIOR_HOLDING_S

    def change(
        self, streams: int, waiting: int, wait_s: float, now_s: float
    ) -> list[Ticket]:
        """Takes over other bounds; returns the tickets admitted thereby."""
        self._streams = streams
        self._waiting = waiting
        self._wait_s = wait_s
        return self._admit_waiting(now_s)

    def get_used(self) -> int:
        """Returns how many streams are in use."""
        return self._used

    def request(self, organisation: str, weight: float, now_s: float) -> Ticket:
        """Returns a ticket, admitted already or waiting.

        Raises:
            OverloadedError: The request was refused; nothing was done.
        """
        ticket = Ticket(organisation, weight)
        if self._used < self._streams:
            self._admit(ticket, now_s)
            return ticket
        expected_s = self._estimate_wait_s(organisation)
        if self._queued >= self._waiting or expected_s > self._wait_s:
            raise exceptions.OverloadedError(
                "all streams are taken; retry after the given delay",
                max(MIN_RETRY_AFTER_S, expected_s),
            )
        self._queues.setdefault(organisation, collections.deque()).append(
            ticket
        )
        self._queued += 1
        return ticket

    def release(self, ticket: Ticket, now_s: float) -> list[Ticket]:
        """Ends a ticket; returns the tickets admitted in its place."""
        if not ticket.is_admitted:
            self._remove_waiting(ticket)
            return []
        ticket.is_admitted = False
        self._used -= 1
        self._in_use[ticket.organisation] -= 1
        if self._in_use[ticket.organisation] == 0:
            del self._in_use[ticket.organisation]
        held_s = now_s - ticket.admitted_at_s
        self._holding_s += HOLDING_WEIGHT * (held_s - self._holding_s)
        return self._admit_waiting(now_s)

    def _admit(self, ticket: Ticket, now_s: float) -> None:
        ticket.is_admitted = True
        ticket.admitted_at_s = now_s
        self._used += 1
        in_use = self._in_use.get(ticket.organisation, 0)
        self._in_use[ticket.organisation] = in_use + 1

    def _admit_waiting(self, now_s: float) -> list[Ticket]:
        admitted = []
        while self._queued and self._used < self._streams:
            ticket = self._take_next()
            self._admit(ticket, now_s)
            admitted.append(ticket)
        return admitted

    def _take_next(self) -> Ticket:
        def compute_use(organisation: str) -> float:
            weight = self._queues[organisation][0].weight
            return self._in_use.get(organisation, 0) / weight

        organisation = min(self._queues, key=compute_use)
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
        """Returns the expected wait behind the organisation's own queue."""
        ahead = len(self._queues.get(organisation, ())) + 1
        sharing = len(set(self._queues) | {organisation})
        return ahead * sharing * self._holding_s / self._streams
