"""Background work that goes on after an error."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import logbook

from fuchsiabarrow.telemetry import logs

__all__ = ["repeat"]

_log = logbook.Logger(__name__)


async def repeat(
    name: str,
    work: Callable[[], Awaitable[None]],
    get_pause_s: Callable[[], float],
    pauses_first: bool = False,
) -> None:
    """Does some work again and again, whatever it raises.

    An unexpected error is logged; it must not end work that the process needs
    as long as it lives.

    Args:
        name: Name of the work in the log.
        work: Does it once.
        get_pause_s: Returns the time until the next turn in seconds.
        pauses_first: Whether to begin with a pause.
    """
    if pauses_first:
        await asyncio.sleep(get_pause_s())
    while True:
        try:
            await work()
        except Exception as error:
            _log.exception(
                logs.format_event("task_error", name=name, error=error)
            )
        await asyncio.sleep(get_pause_s())
