"""Runs an entry on the platform; imports nothing that this does not need.

A process that starts sooner serves sooner after a stop of all of them, and the
starts of many are a good part of their processor time.
"""

import asyncio
import signal
import sys

from fuchsiabarrow import exceptions
from fuchsiabarrow.entry import router as router_module
from fuchsiabarrow.platform import settings as platform_settings
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import loops
from fuchsiabarrow.utils import settings_files
from fuchsiabarrow.utils import signals
from fuchsiabarrow.utils import tasks

__all__ = ["main", "run_router"]

EXIT_INVALID = 2
# Time between two looks at the settings file, which may change silently.
LOOK_PERIOD_S = 2.0


def main(path: str = "") -> None:
    """Runs one entry until SIGTERM.

    Args:
        path: Settings file; the environment names it if empty.
    """
    try:
        with asyncio.Runner(loop_factory=loops.make_loop) as runner:
            runner.run(run_router(path or platform_settings.find_path()))
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)


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
            await signals.wait_for_stop()
        finally:
            watching.cancel()
        await router.drain()
