"""A settings file that may change while the process runs."""

from collections.abc import Callable
import os
from typing import Any

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.telemetry import logs

__all__ = ["SettingsFile"]

_log = logbook.Logger(__name__)


class SettingsFile:
    """Reads a settings file again when it changes.

    Args:
        path: The file.
        read: Reads and checks it; raises ``SettingsError``.
    """

    def __init__(self, path: str, read: Callable[[str], Any]):
        self._path = path
        self._read = read
        self._seen: tuple[int, int] | None = None

    def read(self) -> Any:
        """Returns the settings.

        Raises:
            SettingsError: The file is invalid.
        """
        self._seen = self._look()
        return self._read(self._path)

    def read_again(self) -> Any | None:
        """Returns the changed settings; None, with a log line, if invalid."""
        try:
            return self.read()
        except exceptions.SettingsError as error:
            _log.error(
                logs.format_event("settings_kept", path=self._path, why=error)
            )
            return None

    def has_changed(self) -> bool:
        """Returns whether the file is another than the one read last."""
        return self._look() != self._seen

    def _look(self) -> tuple[int, int] | None:
        try:
            status = os.stat(self._path)
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size
