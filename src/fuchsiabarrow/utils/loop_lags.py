"""Detects when the event loop runs its timers late."""

import asyncio
import math

__all__ = ["LoopLagMeter"]

# Lateness from which the loop counts as late.
MAX_LAG_S = 0.05
# Interval of the timer that is watched: a blockage shorter than both together
# may be missed. An idle loop spends 0.15 % of a core on it, 0.37 % at
# 0.02 s.
CHECK_INTERVAL_S = 0.05


class LoopLagMeter:
    """Records when the event loop was late, while anyone uses the meter.

    A context manager that may be entered several times; the timer runs until
    the last user leaves.

    Attributes:
        late_s: Loop time at which a timer was last found to run more than
            `MAX_LAG_S` late.
    """

    def __init__(self):
        self.late_s = -math.inf
        self._users = 0
        self._due_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def __enter__(self) -> "LoopLagMeter":
        self._users += 1
        if self._timer is None:
            self._set_timer(asyncio.get_running_loop())
        return self

    def __exit__(self, *details) -> None:
        self._users -= 1
        if not self._users and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        self._due_s = loop.time() + CHECK_INTERVAL_S
        self._timer = loop.call_at(self._due_s, self._check, loop)

    def _check(self, loop: asyncio.AbstractEventLoop) -> None:
        now_s = loop.time()
        if now_s - self._due_s > MAX_LAG_S:
            self.late_s = now_s
        self._set_timer(loop)
