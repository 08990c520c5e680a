"""Follows a collection of the store: lists it once, then watches it.

The store answers a watch without changes when its wait ends. A missing answer
therefore shows that the connection was lost without being closed, and what is
known is not confirmed as current until the next answer.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import collections
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter

__all__ = [
    "CollectionWatcher",
    "Sink",
    "compute_batch_s",
    "compute_wait_s",
]

# Longest time that a watch waits for a change; a lost connection is detected
# after it.
WATCH_WAIT_S = 2.2
MIN_WATCH_WAIT_S = 0.5
# Time from the end of the wait of a watch whose connection was lost until a
# change made meanwhile is in force: 0.4 s until the response is overdue, a
# pause of up to 0.2 s, and 0.4 s for a new connection and the transfer.
RECOVERY_S = 1.0
# The same for a watch whose collection is also confirmed by another watcher.
CONFIRMED_WATCH_WAIT_S = 15.0
# Pause after changes, so that those in quick succession come in one answer.
BATCH_S = 0.15
# With many entries the pause is longer, so that all of them together ask the
# store for changes at most this often. It is bounded because a leaving upstream
# may wait for only 3 s until entries know of it, and the watch and its answer
# take a part of that.
BATCHED_CALLS_PER_S = 70.0
MAX_BATCH_S = 1.0
MIN_RETRY_S = 0.1
MAX_RETRY_S = 0.6
# Maximum retry delay with many entries, as a multiple of the pause after
# changes: failed calls are load for the store as well.
RETRY_BATCHES = 1.5
# The same for a collection that another watcher confirms, which tells of the
# end of an outage.
CONFIRMED_RETRY_S = 4.0
# Number of consecutive failures after which the store counts as unreachable.
OUTAGE_FAILURES = 2

# Time by which the store may answer a watch before the end of its wait.
TIMER_TOLERANCE_S = 0.05

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Sink:
    """Callbacks that receive the updates of a watcher.

    Attributes:
        apply_snapshot: Called with the whole collection and whether the store
            was unreachable shortly before.
        apply_change: Called with one change and whether the store was
            unreachable shortly before.
        confirm: Called with the time, of the watcher's clock, at which the
            received state was current.
        report_outage: Called when the store has become unreachable.
    """

    apply_snapshot: Callable[[collections.Snapshot, bool], None]
    apply_change: Callable[[collections.Change, bool], None]
    confirm: Callable[[float], None]
    report_outage: Callable[[], None] = lambda: None


class CollectionWatcher:
    """Passes one collection and its changes to a sink.

    Args:
        store: Store that holds the collection.
        kind: Kind of the objects in the collection.
        sink: Callbacks that receive the updates.
        source: Random source for the retry delays.
        outage_effect_s: Time after an outage of the store within which updates
            may still be caused by it, in seconds.
        wait_s: Time that a watch waits for a change, in seconds.
        count_entries: Returns the number of entries that watch this store.
        has_one_object: Whether the collection consists of a single object. It
            is listed after a change: that transfers one version, whereas a
            watch transfers all since the last answer.
        read_time_s: Clock of the times passed to the sink, None for that of
            the event loop.
    """

    def __init__(
        self,
        store: collections.Collections,
        kind: str,
        sink: Sink,
        source: random.Random,
        outage_effect_s: float,
        wait_s: float = WATCH_WAIT_S,
        count_entries: Callable[[], int] = lambda: 1,
        has_one_object: bool = False,
        read_time_s: clocks.Clock | None = None,
    ):
        self._store = store
        self._kind = kind
        self._sink = sink
        self._source = source
        self._outage_effect_s = outage_effect_s
        self._wait_s = wait_s
        self._count_entries = count_entries
        self._has_one_object = has_one_object
        self._read_time_s = read_time_s or asyncio.get_running_loop().time
        # Whether to list the collection instead of watching it.
        self._must_list = False
        self._confirmed_watchers: list[CollectionWatcher] = []
        self._is_confirmed_by_other = False
        # Set when another watcher, which confirms this one, got an answer.
        self._other_answered = asyncio.Event()
        self._watch_task: asyncio.Task | None = None
        self._must_ask_now = False
        # Revision from which to watch, None to list the collection.
        self._revision: int | None = None
        # Highest revision received so far; that of a restored store is higher.
        self._newest_revision = 0
        self._failures = 0
        # Consecutive watches whose history the store no longer had.
        self._lost_histories = 0
        self._is_unreachable = False
        self._recovered_at_s = float("-inf")
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "CollectionWatcher":
        self._task = asyncio.create_task(self._follow())
        return self

    async def __aexit__(self, *details) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    @property
    def revision(self) -> int | None:
        """Revision up to which changes were received; None for no state."""
        return self._revision

    @property
    def is_unreachable(self) -> bool:
        """Whether several calls in a row failed."""
        return self._is_unreachable

    def share_revisions_with(self, other: "CollectionWatcher") -> None:
        """Passes the store revision of each answer on to another watcher.

        The revision in an answer is that of the whole store: if it is not
        higher than the other watcher's, its collection has not changed
        either and is confirmed as current.
        """
        self._confirmed_watchers.append(other)
        other._is_confirmed_by_other = True

    def observe_revision(self, revision: int, at_s: float) -> None:
        """Handles a revision of the store that another watcher received.

        Args:
            revision: Revision of the whole store.
            at_s: Time at which the store had this revision.
        """
        self._other_answered.set()
        if self._revision is None:
            return
        if revision <= self._revision:
            self._sink.confirm(at_s)
        elif self._watch_task is not None:
            # The store has changed. The pending watch does not tell whether
            # this collection has: its connection may be lost. Ask again.
            self._must_ask_now = True
            self._watch_task.cancel()

    async def _watch(self, wait_s: float) -> collections.Changes | None:
        """Waits for changes; returns None if cancelled to ask again at once."""
        self._watch_task = asyncio.create_task(
            self._store.watch(self._kind, self._revision, wait_s)
        )
        try:
            return await self._watch_task
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                self._watch_task.cancel()
                raise
            return None
        finally:
            self._watch_task = None

    async def _follow(self) -> None:
        while True:
            try:
                await self._step()
            except exceptions.StoreWayChangedError:
                self._revision = None
            except exceptions.StoreHistoryExpiredError as error:
                self._log("history_gone", why=error)
                self._revision = None
                await self._pause_after_lost_history()
            except exceptions.StoreError as error:
                await self._handle_failure(error)
            except Exception as error:
                _log.exception(
                    logs.format_event("follow_error", kind=self._kind)
                )
                await self._handle_failure(error)

    async def _step(self) -> None:
        sent_s = self._read_time_s()
        if self._revision is None or self._must_list:
            await self._list(sent_s)
            return
        wait_s = self._wait_s
        if self._must_ask_now:
            self._must_ask_now = False
            wait_s = 0.0
        changes = await self._watch(wait_s)
        if changes is None:
            return
        self._lost_histories = 0
        self._handle_answer()
        # Another entry has already delayed what it removed after an outage.
        is_relayed = changes.confirmed_s is not None
        is_after_outage = not is_relayed and self._is_after_outage()
        for change in changes.changes:
            self._sink.apply_change(change, is_after_outage)
        self._revision = changes.revision
        if is_relayed:
            self._confirm(changes.revision, changes.confirmed_s)
            if changes.changes:
                await asyncio.sleep(compute_batch_s(self._count_entries()))
            return
        # The store sends an answer without changes at the end of the wait. When
        # it is handled says nothing: this process or its link may have been
        # held up since.
        now_s = self._read_time_s()
        waited_s = min(now_s - sent_s, wait_s) - TIMER_TOLERANCE_S
        if changes.changes or waited_s < wait_s - 2 * TIMER_TOLERANCE_S:
            waited_s = 0.0
        current_s = sent_s + max(0.0, waited_s)
        self._confirm(changes.revision, current_s)
        if now_s - current_s > self._wait_s + TIMER_TOLERANCE_S:
            # This instance was suspended, or the answer was held up.
            self._must_ask_now = not self._is_confirmed_by_other
        if changes.changes:
            self._must_list = self._has_one_object
            await asyncio.sleep(compute_batch_s(self._count_entries()))
            # An answer with changes confirms the state only as of its request,
            # which may be old. The next watch does not wait, as the time of the
            # pause and of another wait would be added to that.
            self._must_ask_now |= not self._is_confirmed_by_other

    async def _list(self, sent_s: float) -> None:
        """Lists the collection, and again while it keeps changing."""
        snapshot = await self._store.list(self._kind)
        if snapshot.revision < self._newest_revision:
            raise exceptions.StoreUnavailableError(
                f"{self._kind}: listed as of revision {snapshot.revision}, but"
                f" {self._newest_revision} was received before; list again"
            )
        self._handle_answer()
        is_relayed = snapshot.confirmed_s is not None
        is_after_outage = not is_relayed and self._is_after_outage()
        self._sink.apply_snapshot(snapshot, is_after_outage)
        known_revision, self._revision = self._revision, snapshot.revision
        self._must_ask_now = False
        if is_relayed:
            self._must_list = False
            self._confirm(snapshot.revision, snapshot.confirmed_s)
            return
        self._confirm(snapshot.revision, sent_s)
        self._must_list = (
            self._must_list
            and known_revision is not None
            and any(o.version > known_revision for o in snapshot.objects)
        )
        if self._must_list:
            await asyncio.sleep(compute_batch_s(self._count_entries()))

    def _confirm(self, revision: int, at_s: float) -> None:
        """Confirms this collection, and those of the watchers told of it."""
        self._newest_revision = max(self._newest_revision, revision)
        self._sink.confirm(at_s)
        for other in self._confirmed_watchers:
            other.observe_revision(revision, at_s)

    def _handle_answer(self) -> None:
        """Resets the failures; ends an outage of the store."""
        self._failures = 0
        if self._is_unreachable:
            self._is_unreachable = False
            self._recovered_at_s = self._read_time_s()
            self._log("store_regained")

    def _is_after_outage(self) -> bool:
        """Returns whether the store was unreachable shortly before."""
        after_s = self._read_time_s() - self._recovered_at_s
        return after_s < self._outage_effect_s

    async def _pause_after_lost_history(self) -> None:
        """Pauses, except if a watch was answered since the last lost history.

        A store that keeps no history at all would be asked without a pause.
        """
        self._lost_histories += 1
        if self._lost_histories > 1:
            await asyncio.sleep(compute_batch_s(self._count_entries()))

    async def _handle_failure(self, error: Exception) -> None:
        self._failures += 1
        self._log("store_call_failed", failures=self._failures, why=error)
        if self._failures >= OUTAGE_FAILURES and not self._is_unreachable:
            self._is_unreachable = True
            self._log("store_lost", why=error)
            self._sink.report_outage()
        # The next watch does not wait, so that its answer shows at once that
        # the store is reachable again.
        self._must_ask_now = True
        self._must_list = self._has_one_object
        batch_s = compute_batch_s(self._count_entries())
        pause_s = jitter.compute_backoff_s(
            self._failures,
            MIN_RETRY_S,
            max(MAX_RETRY_S, RETRY_BATCHES * batch_s),
            self._source,
        )
        if self._is_unreachable and self._is_confirmed_by_other:
            await self._wait_for_other(pause_s)
        else:
            await asyncio.sleep(pause_s)

    async def _wait_for_other(self, pause_s: float) -> None:
        """Waits until the other watcher gets an answer, for some time at most.

        Two watchers that both find out about the end of an outage would double
        the calls to a store that is overloaded. One that still fails after an
        answer to the other one pauses as any other does.
        """
        self._other_answered.clear()
        await asyncio.sleep(pause_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONFIRMED_RETRY_S):
                await self._other_answered.wait()

    def _log(self, event: str, **fields: object) -> None:
        _log.info(
            logs.format_event(
                event, kind=self._kind, revision=self._revision, **fields
            )
        )


def compute_wait_s(apply_s: float) -> float:
    """Returns how long a watch waits for changes.

    Args:
        apply_s: Time within which a change must be in force, in seconds, also
            if the connection of the watch was lost without being closed.
    """
    return min(WATCH_WAIT_S, max(MIN_WATCH_WAIT_S, apply_s - RECOVERY_S))


def compute_batch_s(entry_count: int) -> float:
    """Returns how long each of `entry_count` entries pauses after changes."""
    shared_s = entry_count / BATCHED_CALLS_PER_S
    return min(MAX_BATCH_S, max(BATCH_S, shared_s))
