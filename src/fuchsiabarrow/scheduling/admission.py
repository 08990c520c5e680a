"""Lets requests of one service start in order, within bounded waits."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import Generic
from typing import TypeVar

from fuchsiabarrow.scheduling import room
from fuchsiabarrow.scheduling import waiting

__all__ = ["Admission", "Turn"]

# Longest time between two attempts to start waiting requests. The memory of
# instances is released by other entries too, which report it later.
POLL_S = 0.02
# Maximum number of searches in a row that find no path, as each one looks at
# all instances of the service.
MAX_FAILED_SEARCHES = 3

PathType = TypeVar("PathType")


@dataclasses.dataclass(frozen=True, slots=True)
class Turn(Generic[PathType]):
    """Result of a request for a turn.

    Attributes:
        path: What `try_start` returned; None if the request is refused.
        decision: START or REFUSE, with its estimate and Retry-After.
        waited_s: Time spent in the queue.
        queue_position: Number of requests that were ahead when it was added to
            the queue, or refused; 0 for an immediate start.
    """

    path: PathType | None
    decision: room.Decision
    waited_s: float = 0.0
    queue_position: int = 0


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A caller of `wait_for_turn` that waits.

    Attributes:
        entry: Its entry in the queue.
        try_start: Reserves a path and returns it.
        future: Gets the path or the refusal.
        position: Its position when it was added.
        added_s: Loop time at which it was added.
        estimate_s: Expected wait at that time.
    """

    entry: waiting.Entry
    try_start: Callable[[float], object | None]
    future: asyncio.Future
    position: int
    added_s: float
    estimate_s: float


class Admission:
    """Lets requests of one service start in order.

    Used on one event loop. `stop` ends all waits.

    Attributes:
        estimator: Estimates when memory becomes free.

    Args:
        read_capacity: Returns the present memory of the service.
        random_source: Random number generator.
    """

    def __init__(
        self,
        read_capacity: Callable[[], room.Capacity],
        random_source: random.Random,
    ):
        self.estimator = room.RoomEstimator()
        self._read_capacity = read_capacity
        self._random_source = random_source
        self._room = waiting.WaitingRoom()
        self._history = waiting.KindHistory()
        self._waiters: dict[int, _Waiter] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._pass: asyncio.Handle | None = None
        self._is_stopped = False

    def __enter__(self) -> "Admission":
        return self

    def __exit__(self, *details) -> None:
        self.stop()

    def get_waiting(self) -> int:
        """Returns the number of requests that wait."""
        return len(self._room)

    def get_wanted_tokens(self) -> float:
        """Returns the context that waiting requests need."""
        return sum(w.entry.ticket.size_tokens for w in self._waiters.values())

    async def wait_for_turn(
        self,
        ticket: room.Ticket,
        try_start: Callable[[float], PathType | None],
        undo: Callable[[PathType], None],
    ) -> Turn[PathType]:
        """Waits until a request may start, at most until its bound.

        Args:
            ticket: The request.
            try_start: Reserves capacity on a path and returns it, or None if
                there is none. It must not wait: others are tried after it. Its
                argument is the position by which to limit the memory that the
                request may fill: 0.0 for one that was moved to the front, or
                the limit would undo that.
            undo: Releases such a path. It is called if the caller is cancelled
                after the path was reserved.
        """
        now_s = asyncio.get_running_loop().time()
        self._history.record_arrived(ticket, now_s)
        # Nobody else can be passed over: the usual case.
        path = None if self._waiters else try_start(ticket.position)
        if path is not None:
            return self._make_start(ticket, path, now_s)
        entry = self._room.make_entry(
            ticket, self._history.is_owed(ticket, now_s)
        )
        is_next = self._room.is_next(entry)
        # Before a path is reserved, which a failure here would not release.
        wait_s = self._estimate_s(entry, now_s)
        return_s = self._estimate_s(entry, now_s, is_return=True)
        if is_next and (self._waiters or entry.position < ticket.position):
            path = try_start(entry.position)
        position = self._room.get_position(entry)
        terms = room.WaitTerms(
            now_s,
            path is not None,
            is_next,
            self._room.has_place(entry) and not self._is_stopped,
            wait_s,
            return_s,
        )
        decision = room.decide(ticket, terms, self._random_source)
        if decision.outcome is room.Outcome.START:
            return self._make_start(ticket, path, now_s)
        if decision.outcome is room.Outcome.REFUSE:
            self._record_told(ticket, decision, now_s)
            return Turn(None, decision, 0.0, position)
        return await self._wait(
            _Waiter(
                entry,
                try_start,
                asyncio.get_running_loop().create_future(),
                position,
                now_s,
                decision.estimate_s,
            ),
            undo,
        )

    async def _wait(
        self, waiter: _Waiter, undo: Callable[[PathType], None]
    ) -> Turn[PathType]:
        """Waits in the queue."""
        displaced = self._room.add(waiter.entry)
        self._waiters[id(waiter.entry)] = waiter
        if displaced is not None:
            self._refuse(displaced, "requests with stronger claims arrived")
        # Others may pass those ahead while enough memory stays free for them.
        self._schedule_pass()
        self._set_timer()
        try:
            return await waiter.future
        except asyncio.CancelledError:
            future = waiter.future
            if future.done() and not future.cancelled():
                if future.exception() is None:
                    turn = future.result()
                    if turn.path is not None:
                        undo(turn.path)
            raise
        finally:
            self._remove(waiter.entry)

    def notify_released(self) -> None:
        """Tries to start waiting requests: memory may have become free."""
        if self._waiters:
            self._schedule_pass()

    def record_released(self, context_tokens: float, held_s: float) -> None:
        """Records a request that has ended, and does as `notify_released`."""
        self.estimator.record_released(context_tokens, held_s)
        self.notify_released()

    def stop(self) -> None:
        """Refuses all that wait; from now on, nothing waits."""
        self._is_stopped = True
        try:
            for entry in self._room.get_entries():
                self._refuse(entry, "the entry is stopping")
        except Exception as error:
            self._fail_all(error)
        self._cancel_timers()

    def _schedule_pass(self) -> None:
        if self._pass is None:
            loop = asyncio.get_running_loop()
            self._pass = loop.call_soon(self._serve)

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._waiters:
            loop = asyncio.get_running_loop()
            when_s = min(loop.time() + POLL_S, self._room.get_next_end_s())
            self._timer = loop.call_at(when_s, self._serve)

    def _cancel_timers(self) -> None:
        for handle in (self._timer, self._pass):
            if handle is not None:
                handle.cancel()
        self._timer = self._pass = None

    def _serve(self) -> None:
        """Ends waits that are over and starts requests for which room is."""
        self._cancel_timers()
        now_s = asyncio.get_running_loop().time()
        try:
            for entry in self._room.pop_expired(now_s):
                self._refuse(entry, "no memory became free in time")
            if self._waiters:
                self._start_waiting(now_s)
        except Exception as error:
            # Without an estimate nobody can be served, and without the timer
            # they would wait beyond their bounds.
            self._fail_all(error)
        self._set_timer()

    def _fail_all(self, error: Exception) -> None:
        """Ends all waits with an error."""
        for waiter in list(self._waiters.values()):
            self._remove(waiter.entry)
            if not waiter.future.done():
                waiter.future.set_exception(error)

    def _start_waiting(self, now_s: float) -> None:
        capacity = self._read_capacity()
        free = capacity.free_tokens
        if capacity.used_tokens <= 0 and free <= 0:
            for entry in self._room.get_entries():
                self._refuse(entry, "the service has lost its memory")
            return
        tried: tuple[waiting.Entry, ...] = ()
        while len(tried) < MAX_FAILED_SEARCHES:
            entry = self._room.pick_next(free, tried)
            if entry is None:
                return
            waiter = self._waiters[id(entry)]
            if waiter.future.done():
                # Its caller was cancelled and has not run since.
                self._remove(entry)
                continue
            try:
                path = waiter.try_start(entry.position)
            except Exception as error:
                # It belongs to that caller; the others are still served.
                self._remove(entry)
                waiter.future.set_exception(error)
                continue
            if path is None:
                tried += (entry,)
                continue
            free -= entry.ticket.size_tokens
            self._remove(entry)
            self._resolve(
                waiter, self._make_start(entry.ticket, path, now_s), now_s
            )

    def _estimate_s(
        self, entry: waiting.Entry, now_s: float, is_return: bool = False
    ) -> float:
        """Returns the expected time until there is room for a request.

        Args:
            entry: Its entry.
            now_s: Loop time.
            is_return: Whether it is to return later instead of waiting.
        """
        capacity, ticket = self._read_capacity(), entry.ticket
        ahead = capacity.others_wanted_tokens
        ahead += self._room.get_ahead_tokens(entry)
        if is_return:
            ahead += self._room.get_told_tokens(ticket, now_s)
        fraction = 1.0 if entry.is_owed else ticket.memory_fraction
        memory = capacity.free_tokens + capacity.used_tokens
        # As in the choice of paths: a part of what it does not need itself.
        left_free = (1.0 - fraction) * max(0.0, memory - ticket.size_tokens)
        return self.estimator.estimate_wait_s(
            ticket.size_tokens,
            ahead,
            capacity.free_tokens - left_free,
            capacity.used_tokens,
        )

    def _make_start(
        self, ticket: room.Ticket, path: PathType, now_s: float
    ) -> Turn[PathType]:
        self._history.record_started(ticket, now_s)
        return Turn(path, room.Decision(room.Outcome.START))

    def _record_told(
        self, ticket: room.Ticket, decision: room.Decision, now_s: float
    ) -> None:
        self._room.record_told(ticket, now_s + decision.retry_after_s)

    def _refuse(self, entry: waiting.Entry, reason: str) -> None:
        """Refuses a request that waits, or that has just left the queue."""
        waiter = self._waiters.get(id(entry))
        if waiter is None:
            return
        now_s = asyncio.get_running_loop().time()
        decision = room.make_refusal(
            entry.ticket,
            self._estimate_s(entry, now_s, is_return=True),
            reason,
            self._random_source,
        )
        self._remove(entry)
        self._record_told(entry.ticket, decision, now_s)
        self._resolve(waiter, Turn(None, decision), now_s)

    def _resolve(self, waiter: _Waiter, turn: Turn, now_s: float) -> None:
        if waiter.future.done():
            return
        decision = turn.decision
        if decision.outcome is room.Outcome.START:
            decision = dataclasses.replace(
                decision, estimate_s=waiter.estimate_s
            )
        waiter.future.set_result(
            Turn(turn.path, decision, now_s - waiter.added_s, waiter.position)
        )

    def _remove(self, entry: waiting.Entry) -> _Waiter | None:
        self._room.remove(entry)
        return self._waiters.pop(id(entry), None)
