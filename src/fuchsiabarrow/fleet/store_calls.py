"""Counts the calls of this entry to the store by kind, call and result.

Calls are the largest price of large deployments. The counts are logged from
time to time, so that the lines of all entries show which calls a disturbance
causes and which entries send them.
"""

import collections
from collections.abc import Awaitable

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import collections as collections_port
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import clocks

__all__ = ["CountedStore"]

# Least time between two lines. They are written when a call ends.
LOG_PERIOD_S = 5.0

_log = logbook.Logger(__name__)


class CountedStore:
    """Implements `fuchsiabarrow.ports.collections.Collections`.

    Args:
        store: The store.
        read_time_s: Monotonic clock.
    """

    def __init__(
        self, store: collections_port.Collections, read_time_s: clocks.Clock
    ):
        self._store = store
        self._read_time_s = read_time_s
        self._counts: collections.Counter[str] = collections.Counter()
        self._logged_at_s = read_time_s()

    async def list(
        self, kind: str, allow_stale: bool = False
    ) -> collections_port.Snapshot:
        """Implements `fuchsiabarrow.ports.collections.Collections.list`."""
        snapshot = await self._count(
            f"{kind}.list", self._store.list(kind, allow_stale)
        )
        self._record(f"{kind}.list.answered")
        return snapshot

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> collections_port.Changes:
        """Implements `fuchsiabarrow.ports.collections.Collections.watch`."""
        changes = await self._count(
            f"{kind}.watch", self._store.watch(kind, revision, wait_s)
        )
        result = "changed" if changes.changes else "unchanged"
        self._record(f"{kind}.watch.{result}")
        return changes

    async def _count(self, call: str, answer: Awaitable):
        """Awaits an answer and counts the call if there is none."""
        try:
            return await answer
        except exceptions.StoreHistoryExpiredError:
            self._record(f"{call}.history_gone")
            raise
        except exceptions.StoreError:
            self._record(f"{call}.failed")
            raise
        except BaseException:
            # Cancelled to ask again at once.
            self._record(f"{call}.cancelled")
            raise

    def _record(self, name: str) -> None:
        self._counts[name] += 1
        now_s = self._read_time_s()
        if now_s - self._logged_at_s < LOG_PERIOD_S:
            return
        self._logged_at_s = now_s
        fields = dict(sorted(self._counts.items()))
        self._counts.clear()
        _log.info(logs.format_event("store_calls", **fields))
