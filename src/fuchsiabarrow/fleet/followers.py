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

__all__ = ["Follower", "Sink"]

# A watch waits this long for a change; a lost connection is noticed after it.
WATCH_WAIT_S = 2.2
FIRST_RETRY_S = 0.1
LONGEST_RETRY_S = 0.6
# Failures in a row after which the store counts as out of reach.
OUTAGE_FAILURES = 2

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
    """

    def __init__(
        self,
        store: collections.Collections,
        kind: str,
        sink: Sink,
        source: random.Random,
        settle_s: float,
    ):
        self._store = store
        self._kind = kind
        self._sink = sink
        self._source = source
        self._settle_s = settle_s
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
        changes = await self._store.watch(
            self._kind, self._revision, WATCH_WAIT_S
        )
        self._note_answer()
        is_settling = self._is_settling()
        for change in changes.changes:
            self._sink.take_change(change, is_settling)
        self._revision = changes.revision
        # Without changes the answer shows the end of the wait.
        current_s = sent_s if changes.changes else sent_s + WATCH_WAIT_S
        self._sink.confirm(min(current_s, loop.time()))

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
        # Whoever was cut off may have missed changes without knowing.
        pause_s = jitter.compute_backoff_s(
            self._failures, FIRST_RETRY_S, LONGEST_RETRY_S, self._source
        )
        await asyncio.sleep(pause_s)

    def _log(self, event: str, **fields: object) -> None:
        _log.info(
            logs.format_event(
                event, kind=self._kind, revision=self._revision, **fields
            )
        )
