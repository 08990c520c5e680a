"""Runs a forwarding entry, with the settings file that the platform writes.

Imports only the modules that a forwarding entry needs: a short start-up reduces
the outage after all entries stopped at once, and when many entries start, the
imports are a large part of their CPU time.
"""

import asyncio
import gc
import os
import signal
import sys

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.platform import settings as platform_settings
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import loops
from fuchsiabarrow.utils import settings_files
from fuchsiabarrow.utils import signals
from fuchsiabarrow.utils import tasks

__all__ = ["freeze_modules", "main", "run_forwarding_entry"]

EXIT_INVALID = 2
# The settings file is polled because it may change without a SIGHUP.
POLL_PERIOD_S = 2.0

_log = logbook.Logger(__name__)


def main(path: str = "") -> None:
    """Runs one forwarding entry until SIGTERM or SIGINT.

    Args:
        path: Settings file; if empty, `platform.settings.find_path` finds it.
    """
    freeze_modules()
    try:
        with asyncio.Runner(loop_factory=loops.make_loop) as runner:
            runner.run(
                run_forwarding_entry(path or platform_settings.find_path())
            )
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
    # The interpreter would search all objects for garbage before it exits.
    gc.freeze()


def freeze_modules() -> None:
    """Leaves the objects of the imported modules out of garbage collections.

    They live as long as the process. Full collections would scan them, which
    takes 20 ms of CPU time, and all streams wait meanwhile.
    """
    gc.freeze()
    gc.enable()


async def run_forwarding_entry(path: str) -> None:
    """Runs one forwarding entry until SIGTERM or SIGINT, then stops it.

    Args:
        path: Settings file; reloaded on SIGHUP and when it changes.
    """
    logs.set_up_logs(logs.Settings(), sys.stdout)
    settings_file = settings_files.SettingsFile(
        path, platform_settings.read_file
    )
    async with forwarding_entry.ForwardingEntry(settings_file.read()) as entry:
        loop = asyncio.get_running_loop()

        def reload() -> None:
            settings = settings_file.reload()
            if settings is not None:
                entry.reload(settings)

        async def reload_if_changed() -> None:
            if settings_file.has_changed():
                reload()

        loop.add_signal_handler(signal.SIGHUP, reload)
        polling = asyncio.create_task(
            tasks.run_periodically(
                "settings_file",
                reload_if_changed,
                lambda: POLL_PERIOD_S,
                True,
            )
        )
        try:
            await signals.wait_for_stop()
        finally:
            polling.cancel()
        loop.call_at(await entry.drain(), _exit_now)
        # Closing the loop would bring back their default actions, which end the
        # process while it exits.
        for number in (signal.SIGHUP, signal.SIGTERM):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


def _exit_now() -> None:
    """Exits although something has not ended: SIGKILL would come next.

    All requests have ended by then. Runs as long as the event loop does, which
    is until all services are closed and all tasks have ended.
    """
    waiting = sorted(t.get_coro().__qualname__ for t in asyncio.all_tasks())
    _log.error(logs.format_event("exit_forced", waiting=",".join(waiting)))
    sys.stdout.flush()
    os._exit(0)
