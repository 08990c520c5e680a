"""The configuration in force, how old it may be, and its changes."""

from collections.abc import Callable

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import followers
from fuchsiabarrow.ports import collections
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs

__all__ = ["CatalogKeeper"]

_log = logbook.Logger(__name__)


class CatalogKeeper:
    """Keeps the newest configuration; a version never gives way to an older.

    Attributes:
        catalog: Configuration in force, None before the first.
        confirmed_at_s: When it was last known to be the newest.

    Args:
        decode: Decodes a configuration; raises ``InvalidObjectError``.
        name: Name of its object.
        read_time_s: Monotonic clock.
    """

    def __init__(
        self,
        decode: Callable[[objects.Stored], documents.Catalog],
        name: str,
        read_time_s: Callable[[], float],
    ):
        self.catalog: documents.Catalog | None = None
        self.confirmed_at_s = float("-inf")
        self._decode = decode
        self._name = name
        self._read_time_s = read_time_s
        self._stored: objects.Stored | None = None
        self._listeners: list[Callable[[documents.Catalog], None]] = []

    def add_listener(
        self, listener: Callable[[documents.Catalog], None]
    ) -> None:
        """Calls a listener with each configuration that comes into force."""
        self._listeners.append(listener)

    def get(self) -> documents.Catalog | None:
        """Returns the configuration in force."""
        return self.catalog

    def get_age_s(self) -> float:
        """Returns how long ago it was last known to be the newest."""
        return self._read_time_s() - self.confirmed_at_s

    def get_objects(self) -> list[objects.Stored]:
        """Returns the configuration in force as it is stored."""
        return [] if self._stored is None else [self._stored]

    def make_sink(self) -> followers.Sink:
        """Returns a sink for the follower of the configuration."""

        def take_snapshot(snapshot: collections.Snapshot, _: bool) -> None:
            for stored in snapshot.objects:
                self._take(stored)

        def take_change(change: collections.Change, _: bool) -> None:
            if not change.is_removed:
                self._take(change.stored)

        def confirm(at_s: float) -> None:
            self.confirmed_at_s = max(self.confirmed_at_s, at_s)

        return followers.Sink(take_snapshot, take_change, confirm)

    def _take(self, stored: objects.Stored) -> None:
        if stored.name != self._name:
            return
        try:
            found = self._decode(stored)
        except exceptions.InvalidObjectError as error:
            _log.error(logs.format_event("configuration_invalid", why=error))
            return
        known = self.catalog
        if known is not None and found.version <= known.version:
            if found.version < known.version:
                _log.warning(
                    logs.format_event(
                        "configuration_older",
                        version=found.version,
                        in_force=known.version,
                    )
                )
            return
        self.catalog = found
        self._stored = stored
        _log.info(
            logs.format_event(
                "configuration",
                version=found.version,
                before=known.version if known else "",
                routes=sum(len(r) for r in found.routes_by_host.values()),
                organisations=len(
                    {o.name for o in found.organisations_by_key.values()}
                ),
                revision=stored.version,
            )
        )
        for listener in self._listeners:
            listener(found)
