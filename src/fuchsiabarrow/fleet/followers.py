"""Follows a collection of the store: a list first, then its changes.

A watch that hears nothing is answered after its wait, so that silence beyond it
shows a connection that was lost without a word; until the next answer nobody
takes what is known for current.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import collections
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import jitter

__all__ = ["Follower", "Sink", "compute_gather_s"]

# A watch waits this long for a change; a lost connection is noticed after it.
WATCH_WAIT_S = 2.2
# The same for a watch that another one vouches for.
VOUCHED_WAIT_S = 15.0
# Changes that come in quick succession are taken together.
GATHER_S = 0.15
# Among many entries for longer, so that all of them ask the store so often for
# changes a second, but no longer than what a leaving upstream may wait for
# (letter 2's sites: 3 s, of which the watch and the answer take a part).
GATHERED_CALLS_PER_S = 70.0
LONGEST_GATHER_S = 1.0
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.6
# The same among many entries, as a multiple of the time to gather changes:
# calls that are refused count as well.
RETRY_GATHERS = 1.5
# Failures in a row after which the store counts as out of reach.
OUTAGE_FAILURES = 2
# An answer may have been on its way for this long; with slower ones the time
# of the question counts.
ANSWER_DELAY_S = 0.3

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Sink:
    """What becomes of what a follower learns.

    Attributes:
        take_snapshot: Given the whole collection, and whether the store was
            out of reach shortly before.
        take_change: Given one change, and whether the store was out of reach
            shortly before.
        confirm: Given the loop time at which what is known was current.
    """

    take_snapshot: Callable[[collections.Snapshot, bool], None]
    take_change: Callable[[collections.Change, bool], None]
    confirm: Callable[[float], None]


class Follower:
    """Keeps one collection current.

    Args:
        store: Where it is.
        kind: Kind of the objects.
        sink: What becomes of it.
        source: Random source.
        settle_s: How long after an outage its effects may still show.
        wait_s: How long a watch waits for a change.
        count_entries: Returns how many entries follow the same store.
    """

    def __init__(
        self,
        store: collections.Collections,
        kind: str,
        sink: Sink,
        source: random.Random,
        settle_s: float,
        wait_s: float = WATCH_WAIT_S,
        count_entries: Callable[[], int] = lambda: 1,
    ):
        self._store = store
        self._kind = kind
        self._sink = sink
        self._source = source
        self._settle_s = settle_s
        self._wait_s = wait_s
        self._count_entries = count_entries
        self._vouched: list[Follower] = []
        self._watching: asyncio.Task | None = None
        self._is_poked = False
        self._revision: int | None = None
        self._failures = 0
        self._is_out = False
        self._back_at_s = float("-inf")
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "Follower":
        self._task = asyncio.create_task(self._follow())
        return self

    async def __aexit__(self, *details) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def vouch_for(self, other: "Follower") -> None:
        """Tells another follower what the answers here say of the store.

        The revision in an answer is that of the whole store: where it is not
        above the other's, nothing of the other's kind has changed either.
        """
        self._vouched.append(other)

    def note_revision(self, revision: int, at_s: float) -> None:
        """Notes the store's revision at a time, as another follower saw it."""
        if self._revision is None:
            return
        if revision <= self._revision:
            self._sink.confirm(at_s)
        elif self._watching is not None:
            # Something changed: of this kind, or the watch has gone silent.
            self._is_poked = True
            self._watching.cancel()

    async def _watch(self) -> collections.Changes | None:
        """Waits for changes; returns None if it was told to look at once."""
        wait_s = self._wait_s
        if self._is_poked:
            self._is_poked = False
            wait_s = 0.0
        self._watching = asyncio.create_task(
            self._store.watch(self._kind, self._revision, wait_s)
        )
        try:
            return await self._watching
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                self._watching.cancel()
                raise
            return None
        finally:
            self._watching = None

    async def _follow(self) -> None:
        while True:
            try:
                await self._step()
            except exceptions.StoreHistoryError as error:
                self._log("history_gone", why=error)
                self._revision = None
            except exceptions.StoreError as error:
                await self._note_failure(error)
            except Exception as error:
                _log.exception(
                    logs.format_event("follow_error", kind=self._kind)
                )
                await self._note_failure(error)

    async def _step(self) -> None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        if self._revision is None:
            snapshot = await self._store.list(self._kind)
            self._note_answer()
            self._sink.take_snapshot(snapshot, self._is_settling())
            self._revision = snapshot.revision
            self._sink.confirm(sent_s)
            return
        changes = await self._watch()
        if changes is None:
            return
        self._note_answer()
        is_settling = self._is_settling()
        for change in changes.changes:
            self._sink.take_change(change, is_settling)
        self._revision = changes.revision
        # Without changes the answer shows the end of the wait.
        current_s = loop.time() - ANSWER_DELAY_S
        if changes.changes or current_s < sent_s:
            current_s = sent_s
        self._sink.confirm(current_s)
        for other in self._vouched:
            other.note_revision(changes.revision, current_s)
        if changes.changes:
            await asyncio.sleep(compute_gather_s(self._count_entries()))

    def _note_answer(self) -> None:
        """Notes that the store answered."""
        self._failures = 0
        if self._is_out:
            self._is_out = False
            self._back_at_s = asyncio.get_running_loop().time()
            self._log("store_regained")

    def _is_settling(self) -> bool:
        """Returns whether the store was out of reach shortly before."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self._back_at_s < self._settle_s

    async def _note_failure(self, error: Exception) -> None:
        self._failures += 1
        if self._failures >= OUTAGE_FAILURES and not self._is_out:
            self._is_out = True
            self._log("store_lost", why=error)
        # The next answer shows that the store is back; it is to come at once.
        self._is_poked = True
        gather_s = compute_gather_s(self._count_entries())
        pause_s = jitter.compute_backoff_s(
            self._failures,
            FIRST_RETRY_S,
            max(LONGEST_RETRY_S, RETRY_GATHERS * gather_s),
            self._source,
        )
        await asyncio.sleep(pause_s)

    def _log(self, event: str, **fields: object) -> None:
        _log.info(
            logs.format_event(
                event, kind=self._kind, revision=self._revision, **fields
            )
        )


def compute_gather_s(entry_count: int) -> float:
    """Returns for how long changes are gathered by each of some entries."""
    shared_s = entry_count / GATHERED_CALLS_PER_S
    return min(LONGEST_GATHER_S, max(GATHER_S, shared_s))
