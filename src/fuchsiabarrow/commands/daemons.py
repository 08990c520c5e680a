"""Runs a service until it is told to stop."""

import asyncio
import signal
import sys

import logbook

from fuchsiabarrow.entry import composition
from fuchsiabarrow.entry import router as router_module
from fuchsiabarrow.entry import settings as settings_module
from fuchsiabarrow.platform import settings as platform_settings
from fuchsiabarrow.telemetry import logs

__all__ = ["run_entry", "run_router", "wait_for_stop"]

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


async def run_router(settings: platform_settings.PlatformSettings) -> None:
    """Runs one entry on the platform until a signal, then stops it."""
    logs.set_up_logs(logs.Settings(), sys.stdout)
    async with router_module.Router(settings) as router:
        await wait_for_stop()
        await router.drain()
