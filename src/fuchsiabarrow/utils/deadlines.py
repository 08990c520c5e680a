"""Timeouts that allow for pauses of this process.

When a process resumes after it was stopped, suspended or starved of CPU, its
timers have expired while the answers that it waits for are still unread in its
sockets. A timeout that expired during such a pause says nothing about the peer.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["StallDetector", "wait_for"]

# A timer that fires more than this after its due time indicates that the
# process was paused.
STALL_THRESHOLD_S = 0.1
# Extra time after a pause to read the data that arrived during it.
RESUME_GRACE_S = 0.25


async def wait_for(work: Coroutine[Any, Any, Any], timeout_s: float) -> Any:
    """Awaits a coroutine with a timeout that allows for process pauses.

    If the process was paused when the timeout expired, the coroutine gets a
    short extension.

    Args:
        work: Coroutine to await; cancelled on timeout.
        timeout_s: Timeout in seconds.

    Raises:
        TimeoutError: The timeout expired.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(work)
    try:
        for _ in range(2):
            deadline_s = loop.time() + timeout_s
            done, _ = await asyncio.wait({task}, timeout=timeout_s)
            was_stalled = loop.time() - deadline_s > STALL_THRESHOLD_S
            if done or not was_stalled:
                break
            timeout_s = RESUME_GRACE_S
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


class StallDetector:
    """Detects pauses of this process between periodic checks.

    Args:
        period_s: Expected time between checks in seconds.
    """

    def __init__(self, period_s: float):
        self._period_s = period_s
        self._last_s = asyncio.get_running_loop().time()

    def was_stalled(self) -> bool:
        """Returns whether this check runs much later than expected."""
        now_s = asyncio.get_running_loop().time()
        late_s = now_s - self._last_s - self._period_s
        self._last_s = now_s
        return late_s > STALL_THRESHOLD_S
