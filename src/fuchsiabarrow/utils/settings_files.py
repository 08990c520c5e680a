"""Settings file that is read again when it changes."""

from collections.abc import Callable
import os
from typing import Any

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.telemetry import logs

__all__ = ["SettingsFile"]

_log = logbook.Logger(__name__)


class SettingsFile:
    """A settings file that may change while the process runs.

    Args:
        path: Path of the file.
        read: Reads and validates the file; raises ``SettingsError``.
    """

    def __init__(self, path: str, read: Callable[[str], Any]):
        self._path = path
        self._read = read
        self._last_stat: tuple[int, int] | None = None

    def read(self) -> Any:
        """Returns the settings.

        Raises:
            SettingsError: The file is invalid.
        """
        self._last_stat = self._stat_file()
        return self._read(self._path)

    def reload(self) -> Any | None:
        """Returns the changed settings.

        Returns:
            The settings; None if they are invalid, which is logged.
        """
        try:
            return self.read()
        except exceptions.SettingsError as error:
            _log.error(
                logs.format_event("settings_kept", path=self._path, why=error)
            )
            return None

    def has_changed(self) -> bool:
        """Returns whether the file has changed since it was last read."""
        return self._stat_file() != self._last_stat

    def _stat_file(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
