"""Failures that an entry held against upstreams while it was isolated."""

import asyncio
import random

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import isolation
from fuchsiabarrow.forwarding import links
from fuchsiabarrow.utils.tests import virtual_time

UPSTREAMS = [
    fleets.make_instance(f"x{number}", address=f"10.0.0.{number}:80")
    for number in range(links.MIN_ISOLATED_LINKS + 1)
]
FAILED, OTHER = UPSTREAMS[:-1], UPSTREAMS[-1]


class UnreachablePool:
    """Reaches no upstream, and knows no other entry."""

    async def open(self, address, may_reuse):
        raise exceptions.NoHelperError(address)

    async def check_link(self, address):
        return None


def end_isolation(end):
    """Isolates an entry, has `end` change its links, and checks them again.

    Returns:
        The directory after that.
    """

    async def run():
        loop = asyncio.get_running_loop()
        table = links.LinkTable(loop.time, random.Random(1))
        directory = directory_module.Directory(loop.time)
        directory.replace(UPSTREAMS)
        monitor = isolation.IsolationMonitor(
            table, directory, UnreachablePool(), random.Random(1)
        )
        for upstream in FAILED:
            table.record_unreachable(upstream.address)
            directory.record_failure(upstream)
        await asyncio.sleep(links.MIN_ISOLATION_S)
        await monitor.run_once()
        assert table.is_cut_off()
        assert directory.count_avoided() == len(FAILED)
        await asyncio.sleep(0.1)
        end(table)
        assert not table.is_cut_off()
        await monitor.run_once()
        return directory

    return virtual_time.run(run())


def test_failures_are_forgotten_once_the_entry_reaches_an_upstream():
    directory = end_isolation(lambda table: table.record_reached(OTHER.address))
    assert directory.count_avoided() == 0


# The end of the isolation was taken for a fault of links, and each dead
# upstream was used once more.
def test_dead_upstreams_stay_avoided_if_other_entries_confirm_their_deaths():
    def confirm(table):
        for upstream in FAILED:
            table.record_dead(upstream.address)

    directory = end_isolation(confirm)
    assert all(directory.is_avoided(upstream) for upstream in FAILED)
