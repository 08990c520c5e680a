"""Group commit of journal operations through the object API.

Operations on the same journal that arrive while a write is under way, or sooner
after one than the fleet's write rate allows, share the next write. So that they
meet, the entries send them to one of them, found by a hash of the journal's
name. That is only a hint: if it does not answer, an entry writes by itself. No
right to a journal is needed: a write that was overtaken conflicts, and its
operations are applied again to what is there now.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import random

import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import journals
from fuchsiabarrow.ports import objects
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter

__all__ = ["JournalWriter", "Settings"]

JOURNAL_KIND = "action-journal"
# Journals whose last written content is kept.
MAX_COPIES = 32

Forward = Callable[[str, journals.Operation], Awaitable[journals.Record | None]]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the journal writer.

    Attributes:
        retry_base_s: Delay scale after a conflict or a lost answer.
        retry_limit_s: Largest such delay.
        size_limit_bytes: A journal takes no new claim from this size on.
        interval_s: Least time between two writes of a journal; the number of
            shards divided by it is the fleet's largest rate of writes.
        forward_timeout_s: Time for the entry that a journal falls to; after
            it an entry writes by itself.
    """

    retry_base_s: float = 0.005
    retry_limit_s: float = 0.5
    size_limit_bytes: int = 900_000
    interval_s: float = 0.05
    forward_timeout_s: float = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class _Request:
    operation: journals.Operation
    future: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class _Copy:
    """A journal as last read or written, and its version."""

    journal: journals.Journal
    version: int


@dataclasses.dataclass(slots=True)
class _Shard:
    queue: list[_Request] = dataclasses.field(default_factory=list)
    task: asyncio.Task | None = None
    next_write_s: float = 0.0


class JournalWriter:
    """Applies operations to journals, batched by journal.

    Args:
        store: The object API.
        settings: Delays and bounds.
        source: Random source for delays.
        forward: Lets another entry apply an operation and returns the record;
            raises ``PeerError`` if it is not known to have done it, and
            returns None if this entry is to do it.
        read_wall_time_s: Clock for the validity of claims.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        settings: Settings,
        source: random.Random,
        forward: Forward | None = None,
        read_wall_time_s: clocks.Clock = clocks.read_wall_time_s,
    ):
        self.writes = 0
        self.conflicts = 0
        self.operations = 0
        self._store = store
        self._settings = settings
        self._source = source
        self._forward = forward
        self._read_wall_time_s = read_wall_time_s
        self._doubtful: set[str] = set()
        self._copies: collections.OrderedDict[str, _Copy] = (
            collections.OrderedDict()
        )
        self._shards: dict[str, _Shard] = {}
        self._decoder = msgspec.msgpack.Decoder(journals.Journal)

    async def __aenter__(self) -> "JournalWriter":
        return self

    async def __aexit__(self, *details) -> None:
        tasks = [s.task for s in self._shards.values() if s.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def read(self, journal: str, digest: str) -> journals.Record | None:
        """Returns a record as the store has it now.

        Raises:
            StoreError: The store did not answer.
        """
        stored = await self._store.get(JOURNAL_KIND, journal)
        if stored is None:
            return None
        return self._decoder.decode(stored.value).records.get(digest)

    async def apply(
        self, journal: str, operation: journals.Operation
    ) -> journals.Record | None:
        """Applies an operation and returns the record that it led to.

        It is tried until the store has answered. A caller that stops waiting
        (by cancelling) must take the operation for one that may yet be
        applied, until another operation on the same journal went through.

        Raises:
            StoreUnavailableError: The journal is full.
        """
        try:
            if self._forward is not None:
                applied = await self._forward(journal, operation)
                if applied is not None:
                    return applied[0]
                return await self.commit(journal, operation)
        except (exceptions.PeerError, asyncio.CancelledError) as error:
            if isinstance(operation, journals.Claim):
                self._doubtful.add(operation.claimant.nonce)
            if isinstance(error, asyncio.CancelledError):
                raise
        return await self.commit(journal, operation, is_owner=False)

    def take_doubt(self, nonce: str) -> bool:
        """Tells, once, whether another entry may yet apply a claim."""
        is_doubtful = nonce in self._doubtful
        self._doubtful.discard(nonce)
        return is_doubtful

    async def commit(
        self,
        journal: str,
        operation: journals.Operation,
        is_owner: bool = True,
    ) -> journals.Record | None:
        """Applies an operation by a write of this entry's own.

        Args:
            journal: Name of the journal.
            operation: What to apply.
            is_owner: Whether the journal falls to this entry; only then is the
                last written copy likely to be current.
        """
        future = asyncio.get_running_loop().create_future()
        shard = self._shards.setdefault(journal, _Shard())
        shard.queue.append(_Request(operation, future))
        if not is_owner:
            self._copies.pop(journal, None)
        self.operations += 1
        if shard.task is None:
            shard.task = asyncio.create_task(self._commit(journal, shard))
        return await future

    async def _commit(self, journal: str, shard: _Shard) -> None:
        """Writes the queued operations until none is left."""
        failures = 0
        loop = asyncio.get_running_loop()
        while shard.queue:
            await asyncio.sleep(max(0.0, shard.next_write_s - loop.time()))
            batch = [r for r in shard.queue if not r.future.done()]
            shard.queue = []
            if not batch:
                break
            try:
                shard.next_write_s = loop.time() + self._settings.interval_s
                results = await self._try_commit(journal, batch)
            except exceptions.StoreError:
                shard.queue = batch + shard.queue
                failures += 1
                await asyncio.sleep(self._compute_delay_s(failures))
                continue
            failures = 0
            for request, result in zip(batch, results, strict=True):
                if not request.future.done():
                    request.future.set_result(result)
        await asyncio.sleep(max(0.0, shard.next_write_s - loop.time()))
        if shard.queue:
            shard.task = asyncio.create_task(self._commit(journal, shard))
        else:
            del self._shards[journal]

    async def _try_commit(self, journal: str, batch: list[_Request]):
        """Applies a batch to the journal once.

        What was written last is kept, so that most commits read nothing. A
        batch that changes nothing there is applied to a fresh copy: only a
        write proves by its version that the copy was current.

        Raises:
            StoreError: It must be tried again; it may have been applied, which
                the operations recognise by their nonces.
        """
        copy = self._copies.pop(journal, None)
        if copy is not None:
            is_written, results = await self._write_batch(journal, copy, batch)
            if is_written:
                return results
        copy = await self._read_copy(journal)
        _, results = await self._write_batch(journal, copy, batch)
        return results

    async def _read_copy(self, journal: str) -> _Copy:
        stored = await self._store.get(JOURNAL_KIND, journal)
        if stored is None:
            return _Copy(journals.Journal(), objects.ABSENT_VERSION)
        return _Copy(self._decoder.decode(stored.value), stored.version)

    def _apply(self, copy: _Copy, batch: list[_Request]):
        operations = [request.operation for request in batch]
        return journals.apply_operations(
            copy.journal, operations, self._read_wall_time_s()
        )

    async def _write_batch(
        self, journal: str, copy: _Copy, batch: list[_Request]
    ) -> tuple[bool, list[journals.Record | None]]:
        """Applies a batch to a copy and writes it if that changed it.

        Returns:
            Whether it was written, and the record after each operation.
        """
        after, results = self._apply(copy, batch)
        if after is copy.journal:
            return False, results
        value = msgspec.msgpack.encode(after)
        if len(value) > self._settings.size_limit_bytes:
            _refuse_claims(journal, batch)
        try:
            version = await self._store.put(
                JOURNAL_KIND, journal, value, copy.version
            )
        except exceptions.StoreConflictError:
            self.conflicts += 1
            raise
        self.writes += 1
        self._copies[journal] = _Copy(after, version)
        while len(self._copies) > MAX_COPIES:
            self._copies.popitem(last=False)
        return True, results

    def _compute_delay_s(self, failures: int) -> float:
        return jitter.compute_backoff_s(
            failures,
            self._settings.retry_base_s,
            self._settings.retry_limit_s,
            self._source,
        )


def _refuse_claims(journal: str, batch: list[_Request]) -> None:
    """Fails the claims of a batch; outcomes are still written.

    Raises:
        StoreUnavailableError: There were claims; commit the rest anew.
    """
    error = exceptions.StoreUnavailableError(
        f"journal {journal} is full; raise actions.keys.shards on all entries"
    )
    claims = [r for r in batch if isinstance(r.operation, journals.Claim)]
    for request in claims:
        if not request.future.done():
            request.future.set_exception(error)
    if claims:
        raise error
