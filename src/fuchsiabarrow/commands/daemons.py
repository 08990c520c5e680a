"""Runs a service until it is told to stop."""

import asyncio
import signal

import logbook

from fuchsiabarrow.entry import composition
from fuchsiabarrow.entry import settings as settings_module
from fuchsiabarrow.telemetry import logs

__all__ = ["run_entry", "wait_for_stop"]

_log = logbook.Logger(__name__)


async def wait_for_stop() -> None:
    """Waits for SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


async def run_entry(settings: settings_module.Settings) -> None:
    """Runs one entry until a signal, then stops it gracefully."""
    logs.set_up_logs(settings.logs)
    async with composition.Entry(settings) as entry:
        await wait_for_stop()
        await entry.drain()
