"""Signals that end a process."""

import asyncio
import signal

__all__ = ["wait_for_stop"]


async def wait_for_stop() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
