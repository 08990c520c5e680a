"""Signals that stop a process."""

import asyncio
import signal

__all__ = ["wait_for_stop"]


async def wait_for_stop() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    await stop_requested.wait()
