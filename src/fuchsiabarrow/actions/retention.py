"""Deletes the journals that contain only expired keys.

Journal names are computed from the time, so that the store need not list them.
Each entry deletes the journals that it owns, and retries failed deletions.
"""

import asyncio
from collections.abc import Callable
import random

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import keys
from fuchsiabarrow.actions import writers
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["JournalSweeper"]

# Number of earlier time buckets whose journals an entry also deletes when it
# starts, for those that expired while an entry was being replaced.
BACKLOG_BUCKETS = 20

_log = logbook.Logger(__name__)


class JournalSweeper:
    """Deletes expired journals in the background.

    Args:
        store: Object store.
        is_own: Returns whether this entry owns the journal with a name.
        settings: Retention and division into journals.
        source: Random number generator for periods.
        read_wall_time_s: Clock.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        is_own: Callable[[str], bool],
        settings: keys.Settings,
        source: random.Random,
        read_wall_time_s: clocks.Clock = clocks.read_wall_time_s,
    ):
        self._store = store
        self._is_own = is_own
        self._settings = settings
        self._source = source
        self._read_wall_time_s = read_wall_time_s
        self._next_bucket: int | None = None
        self._pending: list[str] = []
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "JournalSweeper":
        self._task = asyncio.create_task(
            tasks.run_periodically(
                "journal_sweep",
                self.sweep,
                lambda: jitter.spread_period_s(
                    self._settings.bucket_s, self._source
                ),
                delay_first=True,
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def sweep(self) -> None:
        """Deletes the journals that expired since the last call."""
        now_s = self._read_wall_time_s()
        expired = keys.find_expired_bucket(now_s, self._settings)
        if self._next_bucket is None:
            self._next_bucket = expired - BACKLOG_BUCKETS
        for bucket in range(self._next_bucket, expired + 1):
            for shard in range(self._settings.shards):
                name = keys.name_journal(bucket, shard)
                if self._is_own(name):
                    self._pending.append(name)
        self._next_bucket = max(self._next_bucket, expired + 1)
        while self._pending:
            try:
                await self._store.delete(
                    writers.JOURNAL_KIND, self._pending[-1]
                )
            except exceptions.StoreError as error:
                _log.warning(logs.format_event("sweep_delayed", error=error))
                return
            self._pending.pop()
