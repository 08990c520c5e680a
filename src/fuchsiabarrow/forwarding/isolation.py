"""Finds out which upstreams are dead, and which links of an entry are cut."""

import asyncio
import random

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.forwarding import links
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["IsolationMonitor"]

PERIOD_S = 0.5
# Number of upstreams that other entries are asked about in one period.
MAX_CHECKS = 4

_log = logbook.Logger(__name__)


class IsolationMonitor:
    """Checks upstreams that are avoided although they may be sound.

    No request would try them. While this entry doubts its links, it asks others
    whether they reach an upstream that did not accept connections. While it is
    isolated, it also tries one upstream each period; all failures are forgotten
    once one is reached, by a connection of this entry or through another one.

    Args:
        link_table: Which upstreams this entry reaches by itself.
        directory: Upstreams and their failures.
        pool: Connections to upstreams.
        random_source: Random number generator.
    """

    def __init__(
        self,
        link_table: links.LinkTable,
        directory: directory_module.Directory,
        pool: connection_pools.ConnectionPool,
        random_source: random.Random,
    ):
        self._links = link_table
        self._directory = directory
        self._pool = pool
        self._random_source = random_source
        self._isolated_at_s: float | None = None
        self._has_way = False
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "IsolationMonitor":
        self._task = asyncio.create_task(
            tasks.run_periodically(
                "isolation",
                self.run_once,
                lambda: jitter.spread_period_s(PERIOD_S, self._random_source),
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def run_once(self) -> None:
        """Checks doubtful links; tries an upstream while isolated."""
        listed = [u for u in self._directory.get_all() if not u.is_leaving]
        self._links.retain({upstream.address for upstream in listed})
        await self._check_links()
        now_s = asyncio.get_running_loop().time()
        if not self._links.is_cut_off():
            if self._isolated_at_s is not None:
                self._log_event("isolation_ended")
                # Otherwise other entries have said that the upstreams are
                # dead, or the failures are too old.
                if self._links.reached_at_s >= self._isolated_at_s:
                    self._forget_failures()
                self._isolated_at_s = None
            return
        if self._isolated_at_s is None:
            self._isolated_at_s = now_s
            self._has_way = False
            _log.warning(
                logs.format_event(
                    "isolated", avoided=self._directory.count_avoided()
                )
            )
        if not listed:
            return
        upstream = self._random_source.choice(listed)
        try:
            connection = await self._pool.open(upstream.address, False)
        except exceptions.UpstreamUnreachableError:
            return
        connection.close()
        if not self._has_way:
            self._log_event("isolation_bypassed")
            self._forget_failures()

    async def _check_links(self) -> None:
        """Asks others about upstreams that did not accept connections."""
        addresses = self._links.get_unexplained()[:MAX_CHECKS]
        if not addresses:
            return
        # The death of one upstream is no reason to ask about all the others.
        for address in addresses:
            if not await self._pool.check_link(address):
                return
            upstream = self._directory.find_by_address(address)
            if upstream is not None:
                self._directory.record_success(upstream)

    def _log_event(self, event: str) -> None:
        now_s = asyncio.get_running_loop().time()
        _log.info(
            logs.format_event(
                event,
                after_s=round(now_s - self._isolated_at_s, 3),
                avoided=self._directory.count_avoided(),
            )
        )

    def _forget_failures(self) -> None:
        """Uses all upstreams again, once in an isolation."""
        if not self._has_way:
            self._directory.clear_failures()
        self._has_way = True
