"""Group commit of journal operations to the object store.

Operations on a journal that arrive during a write, or within the minimum
interval after one, are combined into the next write. To combine the operations
of all entries, they are forwarded to one entry, the journal's owner, chosen by
a hash of the journal's name. Ownership is only an optimisation and not a lock:
if the owner does not answer, an entry writes the journal itself. Of concurrent
writes all but one fail with a version conflict, and their operations are
applied again to the current version.
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
# Maximum number of journals whose last written version is cached.
MAX_CACHED_JOURNALS = 32

ForwardOperation = Callable[
    [str, journals.Operation], Awaitable[journals.Record | None]
]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the journal writer.

    Attributes:
        retry_base_s: Base of the exponential backoff after a version conflict
            or a lost response.
        retry_limit_s: Maximum of this backoff.
        size_limit_bytes: Size of a journal above which it accepts no new
            claims.
        interval_s: Minimum time between two writes of a journal. The maximum
            write rate of all entries is the number of journals in use (see
            ``keys.Settings.shards``) divided by it.
        forward_timeout_s: Timeout for the response of a journal's owner, after
            which an entry writes the journal itself.
    """

    retry_base_s: float = 0.005
    retry_limit_s: float = 0.5
    size_limit_bytes: int = 900_000
    interval_s: float = 0.05
    forward_timeout_s: float = 0.5


@dataclasses.dataclass(eq=False, slots=True)
class _PendingOperation:
    operation: journals.Operation
    future: asyncio.Future


@dataclasses.dataclass(frozen=True, slots=True)
class _JournalVersion:
    """A journal as last read or written, with its version in the store."""

    journal: journals.Journal
    version: int


@dataclasses.dataclass(slots=True)
class _JournalQueue:
    pending: list[_PendingOperation] = dataclasses.field(default_factory=list)
    task: asyncio.Task | None = None
    next_write_s: float = 0.0


class JournalWriter:
    """Applies operations to journals, batched by journal.

    Attributes:
        writes: Number of journal writes that succeeded.
        conflicts: Number of journal writes refused because of another version.
        operations: Number of operations passed to ``commit``.

    Args:
        store: Object store.
        settings: Delays and limits.
        source: Random number generator for delays.
        forward: Sends an operation to the journal's owner and returns a tuple
            with the resulting record, or None if this entry is the owner.
            Raises ``PeerError`` if it is not known whether the owner applied
            the operation.
        read_wall_time_s: Clock for the expiry of claims.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        settings: Settings,
        source: random.Random,
        forward: ForwardOperation | None = None,
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
        self._uncertain_nonces: set[str] = set()
        self._cache: collections.OrderedDict[str, _JournalVersion] = (
            collections.OrderedDict()
        )
        self._queues: dict[str, _JournalQueue] = {}
        self._decoder = msgspec.msgpack.Decoder(journals.Journal)

    async def __aenter__(self) -> "JournalWriter":
        return self

    async def __aexit__(self, *details) -> None:
        tasks = [q.task for q in self._queues.values() if q.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def read(self, journal: str, digest: str) -> journals.Record | None:
        """Returns a record as it is now in the store.

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
        """Applies an operation and returns the resulting record.

        The operation is retried until the store has answered. If the caller
        cancels it, the operation may still be applied: by a write in flight,
        until another write of the journal has succeeded, or by the journal's
        owner if it was forwarded.

        Raises:
            StoreUnavailableError: The journal has reached its size limit.
        """
        try:
            if self._forward is not None:
                applied = await self._forward(journal, operation)
                if applied is not None:
                    return applied[0]
                return await self.commit(journal, operation)
        except (exceptions.PeerError, asyncio.CancelledError) as error:
            if isinstance(operation, journals.Claim):
                self._uncertain_nonces.add(operation.claimant.nonce)
            if isinstance(error, asyncio.CancelledError):
                raise
        return await self.commit(journal, operation, is_owner=False)

    def pop_uncertain(self, nonce: str) -> bool:
        """Returns whether an earlier attempt may still apply a claim.

        That is the case if the claim was forwarded or cancelled and it is not
        known whether it was applied. A second call returns False.
        """
        is_uncertain = nonce in self._uncertain_nonces
        self._uncertain_nonces.discard(nonce)
        return is_uncertain

    async def commit(
        self,
        journal: str,
        operation: journals.Operation,
        is_owner: bool = True,
    ) -> journals.Record | None:
        """Applies an operation and writes the journal from this entry.

        Args:
            journal: Name of the journal.
            operation: Operation to apply.
            is_owner: Whether this entry owns the journal; otherwise the cached
                version is dropped, as it is probably outdated.
        """
        future = asyncio.get_running_loop().create_future()
        queue = self._queues.setdefault(journal, _JournalQueue())
        queue.pending.append(_PendingOperation(operation, future))
        if not is_owner:
            self._cache.pop(journal, None)
        self.operations += 1
        if queue.task is None:
            queue.task = asyncio.create_task(
                self._commit_pending(journal, queue)
            )
        return await future

    async def _commit_pending(self, journal: str, queue: _JournalQueue) -> None:
        """Commits pending operations of a journal until none is left."""
        failures = 0
        loop = asyncio.get_running_loop()
        while queue.pending:
            await asyncio.sleep(max(0.0, queue.next_write_s - loop.time()))
            batch = [p for p in queue.pending if not p.future.done()]
            queue.pending = []
            if not batch:
                break
            try:
                queue.next_write_s = loop.time() + self._settings.interval_s
                results = await self._commit_batch(journal, batch)
            except exceptions.StoreError:
                queue.pending = batch + queue.pending
                failures += 1
                await asyncio.sleep(self._compute_delay_s(failures))
                continue
            failures = 0
            for pending, result in zip(batch, results, strict=True):
                if not pending.future.done():
                    pending.future.set_result(result)
        await asyncio.sleep(max(0.0, queue.next_write_s - loop.time()))
        if queue.pending:
            queue.task = asyncio.create_task(
                self._commit_pending(journal, queue)
            )
        else:
            del self._queues[journal]

    async def _commit_batch(self, journal: str, batch: list[_PendingOperation]):
        """Applies a batch to the journal once.

        The last written version is cached, so that most commits need no read. A
        batch that does not change the cached version is applied again to the
        version in the store, because only a successful conditional write proves
        that the cached version was current.

        Raises:
            StoreError: The batch must be tried again. If it was applied
                already, the operations detect this by their nonces.
        """
        base = self._cache.pop(journal, None)
        if base is not None:
            is_written, results = await self._write_batch(journal, base, batch)
            if is_written:
                return results
        base = await self._read_journal(journal)
        _, results = await self._write_batch(journal, base, batch)
        return results

    async def _read_journal(self, journal: str) -> _JournalVersion:
        stored = await self._store.get(JOURNAL_KIND, journal)
        if stored is None:
            return _JournalVersion(journals.Journal(), objects.ABSENT_VERSION)
        return _JournalVersion(
            self._decoder.decode(stored.value), stored.version
        )

    def _apply_batch(
        self, base: _JournalVersion, batch: list[_PendingOperation]
    ):
        operations = [pending.operation for pending in batch]
        return journals.apply_operations(
            base.journal, operations, self._read_wall_time_s()
        )

    async def _write_batch(
        self,
        journal: str,
        base: _JournalVersion,
        batch: list[_PendingOperation],
    ) -> tuple[bool, list[journals.Record | None]]:
        """Applies a batch to a journal and writes the journal if it changed.

        Returns:
            Whether the journal was written, and the record after each
            operation.
        """
        changed, results = self._apply_batch(base, batch)
        if changed is base.journal:
            return False, results
        value = msgspec.msgpack.encode(changed)
        if len(value) > self._settings.size_limit_bytes:
            _reject_claims(journal, batch)
        try:
            version = await self._store.put(
                JOURNAL_KIND, journal, value, base.version
            )
        except exceptions.StoreConflictError:
            self.conflicts += 1
            raise
        self.writes += 1
        self._cache[journal] = _JournalVersion(changed, version)
        while len(self._cache) > MAX_CACHED_JOURNALS:
            self._cache.popitem(last=False)
        return True, results

    def _compute_delay_s(self, failures: int) -> float:
        return jitter.compute_backoff_s(
            failures,
            self._settings.retry_base_s,
            self._settings.retry_limit_s,
            self._source,
        )


def _reject_claims(journal: str, batch: list[_PendingOperation]) -> None:
    """Fails the claims of a batch; outcomes are still written.

    Raises:
        StoreUnavailableError: The batch contained claims; the other operations
            must be committed again.
    """
    error = exceptions.StoreUnavailableError(
        f"journal {journal} has reached its size limit; increase"
        " actions.keys.shards on all entries"
    )
    claims = [p for p in batch if isinstance(p.operation, journals.Claim)]
    for pending in claims:
        if not pending.future.done():
            pending.future.set_exception(error)
    if claims:
        raise error
