"""Runs an entry in the foreground until SIGTERM or SIGINT."""

import logbook

from fuchsiabarrow.entry import composition
from fuchsiabarrow.entry import settings as settings_module
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import signals

__all__ = ["run_entry"]

_log = logbook.Logger(__name__)


async def run_entry(settings: settings_module.Settings) -> None:
    """Runs one entry until SIGTERM or SIGINT, then stops it gracefully."""
    logs.set_up_logs(settings.logs)
    async with composition.Entry(settings) as entry:
        await signals.wait_for_stop()
        await entry.drain()
