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
from fuchsiabarrow.utils import settings_files
from fuchsiabarrow.utils import tasks

__all__ = ["run_entry", "run_router", "wait_for_stop"]

# Time between two looks at the settings file, which may change silently.
LOOK_PERIOD_S = 2.0

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


async def run_router(path: str) -> None:
    """Runs one entry on the platform until a signal, then stops it.

    Args:
        path: Settings file; read again at SIGHUP and when it changes.
    """
    logs.set_up_logs(logs.Settings(), sys.stdout)
    watched = settings_files.SettingsFile(path, platform_settings.read_file)
    async with router_module.Router(watched.read()) as router:
        loop = asyncio.get_running_loop()

        def reload() -> None:
            found = watched.read_again()
            if found is not None:
                router.reload(found)

        async def look() -> None:
            if watched.has_changed():
                reload()

        loop.add_signal_handler(signal.SIGHUP, reload)
        watching = asyncio.create_task(
            tasks.repeat("settings_file", look, lambda: LOOK_PERIOD_S, True)
        )
        try:
            await wait_for_stop()
        finally:
            watching.cancel()
        await router.drain()
