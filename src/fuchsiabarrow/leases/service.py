"""Acquires, renews and releases the leases of an entry (router process)."""

import random
import uuid

import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.leases import rules
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter

__all__ = ["LeasesService", "Settings"]

LEASE_KIND = "lease"
RENEWALS_PER_TERM = 4

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the leases; the same on all entries.

    Attributes:
        term_s: Time for which a lease is held after each renewal.
    """

    term_s: float = 4.0


class LeasesService:
    """Leases that this entry holds or waits for.

    Args:
        owner: Name of the entry.
        store: Object store that keeps the leases.
        settings: Term of the leases.
        source: Random number generator that varies the renewal period.
        read_boot_time_s: Clock that advances while the machine is suspended.
    """

    def __init__(
        self,
        owner: str,
        store: objects.ObjectStore,
        settings: Settings,
        source: random.Random,
        read_boot_time_s: clocks.Clock = clocks.read_boot_time_s,
    ):
        self._owner = owner
        self._nonce = uuid.uuid4().hex
        self._store = store
        self._term_s = settings.term_s
        self._source = source
        self._read_boot_time_s = read_boot_time_s
        self._held_leases: dict[str, rules.HeldLease] = {}
        self._observed_leases: dict[str, rules.ObservedLease] = {}

    async def __aenter__(self) -> "LeasesService":
        return self

    async def __aexit__(self, *details) -> None:
        self._held_leases.clear()

    def get_fence(self, name: str) -> int | None:
        """Returns the fencing token of a lease, None if it is not held.

        Call this right before each action that requires the lease.
        """
        held = self._held_leases.get(name)
        now_s = self._read_boot_time_s()
        if held is None or not held.is_valid(now_s, self._term_s):
            return None
        return held.record.fence

    def get_renewal_period_s(self) -> float:
        """Returns the time to wait between calls of `renew_or_acquire`."""
        period_s = self._term_s / RENEWALS_PER_TERM / (1 + jitter.PERIOD_SPREAD)
        return jitter.spread_period_s(period_s, self._source)

    async def renew_or_acquire(self, name: str, may_acquire: bool) -> None:
        """Renews a lease that is held, or acquires one that is free.

        Args:
            name: Name of the lease.
            may_acquire: Whether this entry may acquire it if it is free.
        """
        try:
            if name in self._held_leases:
                await self._renew(name)
            elif may_acquire:
                await self._observe_and_acquire(name)
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("lease", name=name, error=error))

    async def release(self, name: str) -> None:
        """Releases a lease, so that another entry need not await its expiry."""
        held = self._held_leases.pop(name, None)
        if held is None:
            return
        record = msgspec.structs.replace(held.record, holder="")
        try:
            await self._write(name, record, held.version)
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("lease", name=name, error=error))

    def get_held_names(self) -> list[str]:
        """Returns the names of the leases to renew, including expired ones."""
        return list(self._held_leases)

    async def _renew(self, name: str) -> None:
        held = self._held_leases[name]
        record = msgspec.structs.replace(
            held.record, count=held.record.count + 1
        )
        started_s = self._read_boot_time_s()
        try:
            version = await self._write(name, record, held.version)
        except exceptions.StoreConflictError:
            await self._resolve_conflict(name, started_s)
            return
        self._held_leases[name] = rules.HeldLease(record, version, started_s)

    async def _resolve_conflict(self, name: str, started_s: float) -> None:
        """Checks whether a conflicting write came from this entry itself."""
        stored = await self._store.get(LEASE_KIND, name)
        record = self._decode(stored)
        if record is None or record.nonce != self._nonce:
            self._held_leases.pop(name, None)
            _log.warning(logs.format_event("lease_lost", name=name))
            return
        # An earlier renewal of this entry took effect, but its answer was lost.
        # When it was sent is not known, so the term still counts from the last
        # confirmed renewal.
        known = self._held_leases[name]
        self._held_leases[name] = rules.HeldLease(
            record, stored.version, known.started_s
        )

    async def _observe_and_acquire(self, name: str) -> None:
        stored = await self._store.get(LEASE_KIND, name)
        now_s = self._read_boot_time_s()
        record = self._decode(stored)
        if record is None:
            await self._acquire(name, 0, objects.ABSENT_VERSION)
            return
        seen = self._observed_leases.get(name)
        if seen is None or seen.version != stored.version:
            seen = rules.ObservedLease(record, stored.version, now_s)
            self._observed_leases[name] = seen
        if rules.can_take_over(seen, now_s, self._term_s):
            await self._acquire(name, record.fence, stored.version)

    async def _acquire(self, name: str, fence: int, version: int) -> None:
        record = rules.LeaseRecord(self._owner, self._nonce, fence + 1)
        started_s = self._read_boot_time_s()
        try:
            written = await self._write(name, record, version)
        except exceptions.StoreConflictError:
            return
        self._observed_leases.pop(name, None)
        self._held_leases[name] = rules.HeldLease(record, written, started_s)
        _log.info(
            logs.format_event("lease_held", name=name, fence=record.fence)
        )

    async def _write(
        self, name: str, record: rules.LeaseRecord, version: int
    ) -> int:
        value = msgspec.json.encode(record)
        return await self._store.put(LEASE_KIND, name, value, version)

    def _decode(
        self, stored: objects.VersionedObject | None
    ) -> rules.LeaseRecord | None:
        if stored is None:
            return None
        return msgspec.json.decode(stored.value, type=rules.LeaseRecord)
