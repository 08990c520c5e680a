"""Reads collections of the store through another entry that reads it itself.

With many entries, the store would get as many calls as there are entries for
each change and each confirmation. Instead the entries of a failure domain
follow one of a few sources among them (`updates`), which read the store. An
entry reads the store itself as soon as its sources are late, behind or gone.

An entry that follows another one is no source, so that entries cannot follow
each other in a circle.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import pathlib
import random
import zlib

import aiohttp
import capnp
import logbook
import xxhash

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import collections
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import bodies
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter

__all__ = ["SharedStore"]

MS_PER_S = 1000.0
HTTP_OK = 200
# A source answers at least this often, also without news, so that one that is
# frozen or cut off is noticed in time.
HEARTBEAT_S = 1.0
# Time beyond the wait within which the answer of a source must begin.
RESPONSE_SLACK_S = 0.4
# A source that failed is not asked for this long, twice as long after each
# further failure, up to the maximum.
MIN_REJECTION_S = 3.0
MAX_REJECTION_S = 24.0
# While neither the sources nor the store answer, an entry waits at a source for
# the end of the outage, and asks the store itself after these times.
OWN_CALL_PERIODS_S = (2.0, 8.0)
# This long after the last such call that failed, a source gets some time to
# bring its copy up to date before it is given up: all of them learn of the end
# of an outage at about the same time.
OUTAGE_MEMORY_S = 5.0
RECOVERY_WAIT_S = 0.5
MAX_CONTENT_BYTES = 64 * 2**20
# Version of a removal that was received from a source, so that it applies to
# any version of the object.
REMOVAL_VERSION = 2**64 - 1

_schema = capnp.load(str(pathlib.Path(__file__).with_name("collection.capnp")))
_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _Position:
    """Up to where a collection was received from a source.

    Attributes:
        address: ``ip:port`` of the source.
        epoch: Number of its process.
        sequence: Number of the last change.
        tick: Number of changes and confirmations.
    """

    address: str
    epoch: int = 0
    sequence: int = 0
    tick: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Update:
    """Answer of a source; the attributes are those of the schema."""

    position: _Position
    revision: int
    confirmed_s: float
    is_current: bool
    is_whole: bool
    objects: tuple[objects.VersionedObject, ...]
    removed: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Rejection:
    until_s: float
    failures: int


class SharedStore:
    """Implements `fuchsiabarrow.ports.collections.Collections`.

    Args:
        store: The store itself.
        session: HTTP session for the sources, owned by the caller.
        find_sources: Returns the addresses of the entries that this entry may
            follow; none if it is to read the store itself.
        own_name: Name of this entry, by which entries spread over sources.
        max_age_s: Age from which the copy of a source does not count as
            current, in seconds.
        confirming_kind: Kind whose watches also confirm the other collections.
        random_source: Random source, to spread calls during an outage.
        read_time_s: Clock of the confirmations.
    """

    def __init__(
        self,
        store: collections.Collections,
        session: aiohttp.ClientSession,
        find_sources: Callable[[], list[str]],
        own_name: str,
        max_age_s: float,
        confirming_kind: str,
        random_source: random.Random,
        read_time_s: clocks.Clock,
    ):
        self._store = store
        self._session = session
        self._find_sources = find_sources
        self._own_name = own_name
        self._max_age_s = max_age_s
        self._confirming_kind = confirming_kind
        self._random_source = random_source
        self._read_time_s = read_time_s
        # Where each collection was last received from; None for the store.
        self._positions: dict[str, _Position | None] = {}
        self._revisions: dict[str, int] = {}
        # When the copy of each collection that a source sent was current.
        self._confirmed_s: dict[str, float] = {}
        self._rejections: dict[str, _Rejection] = {}
        self._requests: dict[str, set[asyncio.Task]] = {}
        # Calls to the store by this entry, although it has sources, that failed
        # in a row, and when the next one may be sent.
        self._failed_own_calls = 0
        self._next_own_call_s = float("-inf")
        self._failed_own_call_at_s = float("-inf")
        self._own_list_lock = asyncio.Lock()

    def is_following(self, kind: str) -> bool:
        """Returns whether a collection is read through another entry."""
        return self._positions.get(kind) is not None

    def has_only_store(self) -> bool:
        """Returns whether this entry is to follow others, but cannot."""
        return bool(self._find_sources()) and not self._find_usable_sources()

    async def list(
        self, kind: str, allow_stale: bool = False
    ) -> collections.Snapshot:
        """Implements `fuchsiabarrow.ports.collections.Collections.list`."""
        for address, wait_s in self._plan_lists(kind):
            update = await self._try_list(kind, address, wait_s)
            if update is not None:
                self._failed_own_calls = 0
                self._record(kind, update)
                self._revisions[kind] = update.revision
                return collections.Snapshot(
                    update.objects,
                    update.revision,
                    confirmed_s=update.confirmed_s,
                )
        self._set_position(kind, None)
        # One collection at a time: a failure holds for the others as well.
        async with self._own_list_lock:
            snapshot = await self._call_store(
                lambda: self._store.list(kind, allow_stale)
            )
        self._revisions[kind] = snapshot.revision
        return snapshot

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> collections.Changes:
        """Implements `fuchsiabarrow.ports.collections.Collections.watch`.

        Raises:
            StoreWayChangedError: The collection has to be listed, as it is read
                from another source than before, or from the store.
        """
        position = self._positions.get(kind)
        usable = self._find_usable_sources()
        if position is None and not usable:
            changes = await self._call_store(
                lambda: self._store.watch(kind, revision, wait_s)
            )
            self._revisions[kind] = changes.revision
            return changes
        if position is None or position.address not in usable:
            raise _make_way_changed_error(kind, "other sources are available")
        is_confirming = kind == self._confirming_kind
        if is_confirming:
            wait_s = min(wait_s, HEARTBEAT_S)
        else:
            position = dataclasses.replace(position, tick=0)
        try:
            update = await self._request(kind, position, wait_s)
        except exceptions.PeerError as error:
            self._reject(position.address, error)
            raise _make_way_changed_error(kind, error) from error
        if update.is_whole or not update.is_current:
            why = "it was restarted" if update.is_whole else "it is behind"
            self._reject(position.address, why)
            raise _make_way_changed_error(kind, why)
        self._rejections.pop(position.address, None)
        self._record(kind, update)
        self._revisions[kind] = max(revision, update.revision)
        changes = [collections.Change(o, False) for o in update.objects]
        changes += [
            collections.Change(
                objects.VersionedObject(name, b"", REMOVAL_VERSION), True
            )
            for name in update.removed
        ]
        return collections.Changes(
            tuple(changes), self._revisions[kind], update.confirmed_s
        )

    # Ways.

    def _find_usable_sources(self) -> Sequence[str]:
        """Returns the sources that did not fail lately, best first."""
        now_s = self._read_time_s()
        usable = [
            address
            for address in self._find_sources()
            if (rejection := self._rejections.get(address)) is None
            or rejection.until_s <= now_s
        ]
        return sorted(usable, key=self._rank)

    def _rank(self, address: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._own_name}/{address}".encode())

    def _plan_lists(self, kind: str) -> Sequence[tuple[str, float]]:
        """Returns the sources to ask for a list, and how long each may wait.

        A source with a current copy answers at once. The last one may wait for
        one while that of this entry is not old yet, so that an outage of the
        store does not let all entries call it at the same time. During an
        outage one source is asked to answer as soon as it is over.
        """
        now_s = self._read_time_s()
        if self._failed_own_calls:
            sources = sorted(self._find_sources(), key=self._rank)
            left_s = max(0.0, self._next_own_call_s - now_s)
            index = self._failed_own_calls
            return [(sources[index % len(sources)], left_s)] if sources else []
        sources = self._find_usable_sources()
        if now_s - self._failed_own_call_at_s < OUTAGE_MEMORY_S:
            return [(address, RECOVERY_WAIT_S) for address in sources]
        confirmed_s = self._confirmed_s.get(kind, float("-inf"))
        due_s = confirmed_s + self._max_age_s - RESPONSE_SLACK_S
        last_wait_s = self._random_source.random() * max(0.0, due_s - now_s)
        waits_s = [0.0] * (len(sources) - 1) + [last_wait_s]
        return tuple(zip(sources, waits_s, strict=False))

    async def _try_list(
        self, kind: str, address: str, wait_s: float
    ) -> _Update | None:
        """Returns the whole collection of a source, None without a current one.

        One that is older than what was received before is of no use either.
        """
        try:
            update = await self._request(kind, _Position(address), wait_s)
        except exceptions.PeerError as error:
            self._reject(address, error)
            return None
        if not update.is_current:
            self._reject(address, "it is behind")
            return None
        if update.revision < self._revisions.get(kind, 0):
            self._reject(address, f"older than {self._revisions[kind]}")
            return None
        self._rejections.pop(address, None)
        return update

    async def _call_store(self, call):
        """Calls the store itself; during an outage at a limited rate.

        The limit holds for an entry that has sources, as all entries that do
        would call at the same time.

        Raises:
            StoreError: The call failed, or it is too early for another one.
        """
        if not self._find_sources():
            self._failed_own_calls = 0
            return await call()
        left_s = self._next_own_call_s - self._read_time_s()
        if self._failed_own_calls and left_s > 0:
            raise exceptions.StoreUnavailableError(
                "neither the store nor an entry that reads it has answered;"
                f" the next call is sent in {left_s:.1f} s"
            )
        try:
            result = await call()
        except exceptions.StoreUnavailableError:
            index = min(self._failed_own_calls, len(OWN_CALL_PERIODS_S) - 1)
            period_s = OWN_CALL_PERIODS_S[index]
            self._failed_own_calls += 1
            self._failed_own_call_at_s = self._read_time_s()
            self._next_own_call_s = (
                self._read_time_s()
                + period_s * self._random_source.uniform(0.7, 1.3)
            )
            raise
        self._failed_own_calls = 0
        return result

    def _record(self, kind: str, update: _Update) -> None:
        self._set_position(kind, update.position)
        self._confirmed_s[kind] = update.confirmed_s

    def _set_position(self, kind: str, position: _Position | None) -> None:
        before = self._positions.get(kind)
        self._positions[kind] = position
        address = position.address if position is not None else ""
        if address != (before.address if before is not None else ""):
            _log.info(
                logs.format_event(
                    "store_followed" if address else "store_read",
                    kind=kind,
                    through=address,
                )
            )

    def _reject(self, address: str, why: object) -> None:
        """Records that a source is of no use, and ends requests to it."""
        now_s = self._read_time_s()
        rejection = self._rejections.get(address)
        if rejection is not None and now_s < rejection.until_s:
            return
        failures = rejection.failures if rejection is not None else 0
        for_s = jitter.compute_ceiling_s(
            failures, MIN_REJECTION_S, MAX_REJECTION_S
        )
        self._rejections[address] = _Rejection(now_s + for_s, failures + 1)
        _log.info(
            logs.format_event(
                "source_rejected", address=address, for_s=for_s, why=why
            )
        )
        for request in self._requests.get(address, ()):
            request.cancel()

    # Requests.

    async def _request(
        self, kind: str, position: _Position, wait_s: float
    ) -> _Update:
        """Sends a request to a source; another one's failure also ends it.

        Raises:
            PeerError: It did not answer in time, or not properly.
        """
        address = position.address
        request = asyncio.create_task(self._fetch(kind, position, wait_s))
        pending = self._requests.setdefault(address, set())
        pending.add(request)
        try:
            return await request
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                request.cancel()
                raise
            raise exceptions.PeerError(
                f"{address} was given up as a source; use another one"
            ) from None
        finally:
            pending.discard(request)
            if not pending:
                self._requests.pop(address, None)

    async def _fetch(
        self, kind: str, position: _Position, wait_s: float
    ) -> _Update:
        address = position.address
        sent_s = self._read_time_s()
        query = {
            "epoch": str(position.epoch),
            "sequence": str(position.sequence),
            "tick": str(position.tick),
            "wait_ms": str(int(wait_s * MS_PER_S)),
        }
        try:
            async with asyncio.timeout(wait_s + RESPONSE_SLACK_S) as limit:
                async with self._session.get(
                    f"http://{address}/updates/{kind}",
                    params=query,
                    timeout=aiohttp.ClientTimeout(total=None),
                ) as response:
                    body = await bodies.read_body(response, limit)
                    status = response.status
            if status != HTTP_OK:
                raise exceptions.PeerError(
                    f"{address} answered with status {status};"
                    " use another source"
                )
            return _decode(body, address, sent_s)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            capnp.KjException,
            zlib.error,
            ValueError,
        ) as error:
            raise exceptions.PeerError(
                f"{address} did not answer properly"
                f" ({type(error).__name__} {error}); use another source"
            ) from error


def _decode(body: bytes, address: str, sent_s: float) -> _Update:
    message = _schema.Update.from_bytes_packed(body)
    stored_objects: tuple[objects.VersionedObject, ...] = ()
    removed: tuple[str, ...] = ()
    if message.content:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(
            bytes(message.content), MAX_CONTENT_BYTES
        )
        content = _schema.Content.from_bytes_packed(data)
        stored_objects = tuple(
            objects.VersionedObject(o.name, bytes(o.value), o.version)
            for o in content.objects
        )
        removed = tuple(content.removed)
    return _Update(
        _Position(address, message.epoch, message.sequence, message.tick),
        message.revision,
        sent_s + message.confirmedOffsetMs / MS_PER_S,
        message.isCurrent,
        message.isWhole,
        stored_objects,
        removed,
    )


def _make_way_changed_error(
    kind: str, why: object
) -> exceptions.StoreWayChangedError:
    return exceptions.StoreWayChangedError(
        f"{kind}: read in another way from now on ({why}); list again"
    )
