"""Deadlines that allow for a process that was paused.

A process that is stopped, suspended or starved finds its timers run out and the
answers that it waited for in its sockets, both at once. A deadline that passed
while nothing ran says nothing about the other side.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["StallGuard", "wait_for"]

# A timer that fires this late shows that the process did not run.
STALL_S = 0.1
# Time to read what arrived while the process did not run.
GRACE_S = 0.25


async def wait_for(work: Coroutine[Any, Any, Any], timeout_s: float) -> Any:
    """Awaits `work`, and a little longer if the process was paused.

    Args:
        work: What to wait for; cancelled at the deadline.
        timeout_s: Time to wait in seconds.

    Raises:
        TimeoutError: The deadline passed.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(work)
    try:
        for _ in range(2):
            deadline_s = loop.time() + timeout_s
            done, _ = await asyncio.wait({task}, timeout=timeout_s)
            was_stalled = loop.time() - deadline_s > STALL_S
            if done or not was_stalled:
                break
            timeout_s = GRACE_S
    except asyncio.CancelledError:
        await _cancel(task)
        raise
    if task.done():
        return task.result()
    await _cancel(task)
    raise TimeoutError


async def _cancel(task: asyncio.Task) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class StallGuard:
    """Tells whether the process ran between regular checks.

    Args:
        period_s: Time between checks in seconds.
    """

    def __init__(self, period_s: float):
        self._period_s = period_s
        self._last_s = asyncio.get_running_loop().time()

    def was_stalled(self) -> bool:
        """Returns whether this check comes much later than it should."""
        now_s = asyncio.get_running_loop().time()
        late_s = now_s - self._last_s - self._period_s
        self._last_s = now_s
        return late_s > STALL_S
