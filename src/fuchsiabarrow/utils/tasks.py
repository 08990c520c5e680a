"""Periodic background tasks that continue after an error."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import logbook

from fuchsiabarrow.telemetry import logs

__all__ = ["run_periodically"]

_log = logbook.Logger(__name__)


async def run_periodically(
    name: str,
    work: Callable[[], Awaitable[None]],
    get_delay_s: Callable[[], float],
    delay_first: bool = False,
) -> None:
    """Calls a function repeatedly, even if it raises.

    Exceptions are logged. They must not end a task that the process needs for
    its whole lifetime.

    Args:
        name: Name of the task in the log.
        work: Function to call.
        get_delay_s: Returns the delay before the next call in seconds.
        delay_first: Whether to wait before the first call as well.
    """
    if delay_first:
        await asyncio.sleep(get_delay_s())
    while True:
        try:
            await work()
        except Exception as error:
            _log.exception(
                logs.format_event("task_error", name=name, error=error)
            )
        await asyncio.sleep(get_delay_s())
