"""Acquires, renews and gives up leases."""

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
# Renewals within a term.
RENEWALS = 4

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the leases; the same on all entries.

    Attributes:
        term_s: Time that a lease lasts after a renewal.
    """

    term_s: float = 4.0


class LeasesService:
    """The leases that this entry holds or waits for.

    Args:
        owner: Name of the entry.
        store: Object API.
        settings: Term.
        source: Random source for periods.
        read_boot_time_s: Clock that counts suspension.
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
        self._holdings: dict[str, rules.Holding] = {}
        self._observations: dict[str, rules.Observation] = {}

    async def __aenter__(self) -> "LeasesService":
        return self

    async def __aexit__(self, *details) -> None:
        self._holdings.clear()

    def get_fence(self, name: str) -> int | None:
        """Returns the fencing number of a lease held now, else None.

        To be called right before each act that the lease allows.
        """
        holding = self._holdings.get(name)
        now_s = self._read_boot_time_s()
        if holding is None or not holding.is_valid(now_s, self._term_s):
            return None
        return holding.record.fence

    def get_period_s(self) -> float:
        """Returns a time to wait between two calls of `pursue`."""
        period_s = self._term_s / RENEWALS / (1 + jitter.PERIOD_SPREAD)
        return jitter.spread_period_s(period_s, self._source)

    async def pursue(self, name: str, is_wanted: bool) -> None:
        """Renews a lease that is held, or takes over one that is free.

        Args:
            name: Name of the lease.
            is_wanted: Whether this entry is to take it over when it is free.
        """
        try:
            if name in self._holdings:
                await self._renew(name)
            elif is_wanted:
                await self._observe(name)
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("lease", name=name, error=error))

    async def give_up(self, name: str) -> None:
        """Gives up a lease, so that another entry need not wait."""
        holding = self._holdings.pop(name, None)
        if holding is None:
            return
        record = msgspec.structs.replace(holding.record, holder="")
        try:
            await self._write(name, record, holding.version)
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("lease", name=name, error=error))

    def get_held(self) -> list[str]:
        """Returns the names of the leases that are kept, valid or not."""
        return list(self._holdings)

    async def _renew(self, name: str) -> None:
        holding = self._holdings[name]
        record = msgspec.structs.replace(
            holding.record, count=holding.record.count + 1
        )
        started_s = self._read_boot_time_s()
        try:
            version = await self._write(name, record, holding.version)
        except exceptions.StoreConflictError:
            await self._read_back(name, started_s)
            return
        self._holdings[name] = rules.Holding(record, version, started_s)

    async def _read_back(self, name: str, started_s: float) -> None:
        """Finds out whether a conflict is with an own write or another's."""
        stored = await self._store.get(LEASE_KIND, name)
        record = self._decode(stored)
        if record is None or record.nonce != self._nonce:
            self._holdings.pop(name, None)
            _log.warning(logs.format_event("lease_lost", name=name))
            return
        # An earlier renewal whose answer was lost: it is as old as the last
        # one that is known, so the term is not counted from it.
        known = self._holdings[name]
        self._holdings[name] = rules.Holding(
            record, stored.version, known.started_s
        )

    async def _observe(self, name: str) -> None:
        stored = await self._store.get(LEASE_KIND, name)
        now_s = self._read_boot_time_s()
        record = self._decode(stored)
        if record is None:
            await self._acquire(name, 0, objects.ABSENT_VERSION)
            return
        seen = self._observations.get(name)
        if seen is None or seen.version != stored.version:
            seen = rules.Observation(record, stored.version, now_s)
            self._observations[name] = seen
        if rules.may_take_over(seen, now_s, self._term_s):
            await self._acquire(name, record.fence, stored.version)

    async def _acquire(self, name: str, fence: int, version: int) -> None:
        record = rules.LeaseRecord(self._owner, self._nonce, fence + 1)
        started_s = self._read_boot_time_s()
        try:
            written = await self._write(name, record, version)
        except exceptions.StoreConflictError:
            return
        self._observations.pop(name, None)
        self._holdings[name] = rules.Holding(record, written, started_s)
        _log.info(
            logs.format_event("lease_held", name=name, fence=record.fence)
        )

    async def _write(
        self, name: str, record: rules.LeaseRecord, version: int
    ) -> int:
        value = msgspec.json.encode(record)
        return await self._store.put(LEASE_KIND, name, value, version)

    def _decode(
        self, stored: objects.Stored | None
    ) -> rules.LeaseRecord | None:
        if stored is None:
            return None
        return msgspec.json.decode(stored.value, type=rules.LeaseRecord)
