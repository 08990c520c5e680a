"""Applies the list of upstreams in the store to the directory.

The list is the collection in which the running upstreams are registered.
"""

import asyncio
from collections.abc import Callable
import dataclasses

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.fleet import watchers
from fuchsiabarrow.ports import collections
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs

__all__ = ["OUTAGE_EFFECT_S", "UpstreamListUpdater"]

# Upstreams whose registration expired during an outage of the store register
# again within about two seconds of its end, as the platform guarantees.
REMOVAL_DELAY_S = 2.2
# Removals received this soon after an outage may be such expired registrations;
# later ones are of upstreams that leave at that time.
OUTAGE_EFFECT_S = 0.5
MAX_REMOVED_KEYS = 4096

_log = logbook.Logger(__name__)


class UpstreamListUpdater:
    """Applies the list; delays removals right after an outage of the store.

    Args:
        directory: Directory to update.
        decode: Decodes a listed upstream; raises ``InvalidObjectError``.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        decode: Callable[[objects.VersionedObject], upstreams.Upstream],
    ):
        self._directory = directory
        self._decode = decode
        self._delayed_removals: dict[str, upstreams.Upstream] = {}
        self._stored: dict[str, objects.VersionedObject] = {}
        # Keys of upstreams that left the list while the store was available,
        # oldest first.
        self._removed_keys: dict[tuple[str, int], None] = {}
        self._logged_misfits: set[str] = set()
        directory.add_listener(self._log_misfits)

    def make_sink(self) -> watchers.Sink:
        """Returns the sink for a watcher of the list."""
        return watchers.Sink(
            self.apply_snapshot, self.apply_change, self._directory.confirm
        )

    def get_objects(self) -> list[objects.VersionedObject]:
        """Returns the stored objects of the list."""
        return list(self._stored.values())

    def apply_snapshot(
        self, snapshot: collections.Snapshot, is_after_outage: bool
    ) -> None:
        """Replaces the list by a snapshot.

        A known object that is newer than in the snapshot is kept. Removals are
        delayed after an outage of the store and after it was restored, as
        upstreams register again then. Upstreams that were removed before may be
        in a restored store again; they are used only if they register again.
        """
        newest = [
            known
            if (known := self._stored.get(stored.name)) is not None
            and known.version > stored.version
            else stored
            for stored in snapshot.objects
        ]
        if snapshot.is_restored:
            newest = [
                stored
                for stored in newest
                if (upstream := self._try_decode(stored)) is None
                or upstream.key not in self._removed_keys
            ]
        decoded = [self._try_decode(stored) for stored in newest]
        listed = [upstream for upstream in decoded if upstream is not None]
        names = {upstream.instance_id for upstream in listed}
        removed = [
            upstream
            for upstream in self._directory.get_all()
            if upstream.instance_id not in names
        ]
        for upstream in listed:
            self._delayed_removals.pop(upstream.instance_id, None)
            self._removed_keys.pop(upstream.key, None)
        if is_after_outage or snapshot.is_restored:
            self._delay_removal(removed)
        kept = [u for u in removed if u.instance_id in self._delayed_removals]
        listed.extend(kept)
        kept_stored = {
            u.instance_id: self._stored[u.instance_id]
            for u in kept
            if u.instance_id in self._stored
        }
        self._stored = {stored.name: stored for stored in newest} | kept_stored
        for upstream in removed:
            if upstream not in kept:
                self._remember_removed(upstream)
        self._directory.replace(listed)
        _log.info(
            logs.format_event(
                "upstreams_listed",
                count=len(listed),
                lapsed=len(removed),
                revision=snapshot.revision,
                after_outage=is_after_outage,
            )
        )

    def apply_change(
        self, change: collections.Change, is_after_outage: bool
    ) -> None:
        """Applies one change; delays a removal right after an outage."""
        name = change.stored.name
        known = self._directory.get(name)
        before = self._stored.get(name)
        if before is not None and before.version > change.stored.version:
            # Another entry has already sent a newer version.
            return
        if not change.is_removed:
            self._put(change.stored, known)
        elif known is not None and is_after_outage and not known.is_leaving:
            self._delay_removal([known])
        else:
            self._stored.pop(name, None)
            if known is not None:
                _log_removed(known, "removed from the list")
                self._remember_removed(known)
                self._directory.remove(name)

    def _log_misfits(self) -> None:
        """Logs upstreams that are not used because of their layers."""
        misfits = self._directory.get_misfits()
        for name in misfits - self._logged_misfits:
            layers = self._directory.get(name).layers
            _log.warning(
                logs.format_event(
                    "upstream_invalid",
                    why=(
                        f"{name}: its model does not have the layers"
                        f" {layers.first} to {layers.end - 1}"
                    ),
                )
            )
        self._logged_misfits = set(misfits)

    def _remember_removed(self, upstream: upstreams.Upstream) -> None:
        self._removed_keys[upstream.key] = None
        while len(self._removed_keys) > MAX_REMOVED_KEYS:
            del self._removed_keys[next(iter(self._removed_keys))]

    def _put(
        self, stored: objects.VersionedObject, known: upstreams.Upstream | None
    ) -> None:
        upstream = self._try_decode(stored)
        if upstream is None:
            if known is not None:
                # Another writer has replaced the entry, which names no
                # upstream any more. A snapshot leaves it out as well.
                _log_removed(known, "its entry became invalid")
                self._delayed_removals.pop(stored.name, None)
                self._directory.remove(stored.name)
            self._stored[stored.name] = stored
            return
        self._delayed_removals.pop(stored.name, None)
        self._removed_keys.pop(upstream.key, None)
        self._stored[stored.name] = stored
        if known is None or known != upstream:
            _log_changed(upstream, stored.version)
        self._directory.put(upstream)

    def _try_decode(
        self, stored: objects.VersionedObject
    ) -> upstreams.Upstream | None:
        try:
            upstream = self._decode(stored)
        except exceptions.InvalidObjectError as error:
            _log.warning(logs.format_event("upstream_invalid", why=error))
            return None
        known = self._directory.get(upstream.instance_id)
        if known is not None and known.key == upstream.key and known.is_leaving:
            # One that leaves does not return; the store may have been restored
            # from a copy in which it was not leaving yet.
            return dataclasses.replace(upstream, is_leaving=True)
        return upstream

    def _delay_removal(self, removed: list[upstreams.Upstream]) -> None:
        """Removes upstreams later, unless they are listed again by then."""
        new = [
            u for u in removed if u.instance_id not in self._delayed_removals
        ]
        if not new:
            return
        self._delayed_removals.update({u.instance_id: u for u in new})
        loop = asyncio.get_running_loop()
        loop.call_later(REMOVAL_DELAY_S, self._remove_delayed, tuple(new))

    def _remove_delayed(self, removed: tuple[upstreams.Upstream, ...]) -> None:
        for upstream in removed:
            name = upstream.instance_id
            if self._delayed_removals.get(name) is upstream:
                del self._delayed_removals[name]
                _log_removed(
                    upstream, "not listed again after an outage of the store"
                )
                self._stored.pop(name, None)
                self._directory.remove(name)


def _log_removed(upstream: upstreams.Upstream, why: str) -> None:
    _log.info(
        logs.format_event(
            "upstream_removed",
            instance=upstream.instance_id,
            address=upstream.address,
            why=why,
        )
    )


def _log_changed(upstream: upstreams.Upstream, version: int) -> None:
    layers = upstream.layers
    _log.info(
        logs.format_event(
            "upstream_listed",
            instance=upstream.instance_id,
            incarnation=upstream.incarnation,
            service=upstream.service,
            address=upstream.address,
            kind=upstream.kind,
            is_leaving=upstream.is_leaving,
            layers=("" if layers is None else f"{layers.first}-{layers.end}"),
            version=version,
        )
    )
