"""Keeps the configuration in force and when it was last confirmed."""

from collections.abc import Callable

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import watchers
from fuchsiabarrow.ports import collections
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs

__all__ = ["CurrentCatalog"]

# Logged as the age of a configuration that was never confirmed.
MAX_LOGGED_AGE_S = 1e6

_log = logbook.Logger(__name__)


class CurrentCatalog:
    """Keeps the newest configuration; never replaces it by an older version.

    Attributes:
        catalog: Configuration in force, None until one was received.
        confirmed_at_s: Time at which it was last confirmed to be the newest.

    Args:
        decode: Decodes a stored configuration; raises
            ``InvalidObjectError``.
        name: Name of the stored object that holds the configuration.
        read_time_s: Monotonic clock.
    """

    def __init__(
        self,
        decode: Callable[[objects.VersionedObject], documents.Catalog],
        name: str,
        read_time_s: Callable[[], float],
    ):
        self.catalog: documents.Catalog | None = None
        self.confirmed_at_s = float("-inf")
        self._decode = decode
        self._name = name
        self._read_time_s = read_time_s
        self._stored: objects.VersionedObject | None = None
        self._listeners: list[Callable[[documents.Catalog], None]] = []

    def add_listener(
        self, listener: Callable[[documents.Catalog], None]
    ) -> None:
        """Registers a callback for each new configuration in force."""
        self._listeners.append(listener)

    def get(self) -> documents.Catalog | None:
        """Returns the configuration in force, or None."""
        return self.catalog

    def get_age_s(self) -> float:
        """Returns the time since it was last confirmed to be the newest."""
        return self._read_time_s() - self.confirmed_at_s

    def get_objects(self) -> list[objects.VersionedObject]:
        """Returns the stored object of the configuration in force, if any."""
        return [] if self._stored is None else [self._stored]

    def make_sink(self) -> watchers.Sink:
        """Returns the sink for a watcher of the configuration."""

        def apply_snapshot(snapshot: collections.Snapshot, _: bool) -> None:
            for stored in snapshot.objects:
                self._update(stored)

        def apply_change(change: collections.Change, _: bool) -> None:
            if not change.is_removed:
                self._update(change.stored)

        def confirm(at_s: float) -> None:
            self.confirmed_at_s = max(self.confirmed_at_s, at_s)

        return watchers.Sink(apply_snapshot, apply_change, confirm)

    def _update(self, stored: objects.VersionedObject) -> None:
        if stored.name != self._name:
            return
        if self._stored is not None and stored.version == self._stored.version:
            return
        try:
            decoded = self._decode(stored)
        except exceptions.InvalidObjectError as error:
            _log.error(logs.format_event("configuration_invalid", why=error))
            return
        current = self.catalog
        if current is not None and decoded.version <= current.version:
            if decoded.version < current.version:
                _log.warning(
                    logs.format_event(
                        "configuration_older",
                        version=decoded.version,
                        in_force=current.version,
                    )
                )
            return
        self.catalog = decoded
        self._stored = stored
        _log.info(
            logs.format_event(
                "configuration",
                version=decoded.version,
                before=current.version if current else "",
                routes=sum(len(r) for r in decoded.routes_by_host.values()),
                organisations=len(
                    {o.name for o in decoded.organisations_by_key.values()}
                ),
                requires_keys=decoded.requires_keys,
                revision=stored.version,
                bytes=len(stored.value),
                age_s=round(min(self.get_age_s(), MAX_LOGGED_AGE_S), 3),
            )
        )
        for listener in self._listeners:
            listener(decoded)
