"""Tests of load reports among entries over UDP on loopback."""

import asyncio
import contextlib
import random

import pytest

from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import upstream_limits
from fuchsiabarrow.peers import load_reports
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.utils.tests import free_ports

UPSTREAM = fleets.make_instance("i-1")


class Entry:
    """One entry that reports its load, on loopback."""

    def __init__(self, name: str, port: int, seeds: list[int]):
        loop = asyncio.get_running_loop()
        self.directory = directory_module.Directory(loop.time)
        self.directory.replace([UPSTREAM])
        self.directory.confirm(loop.time())
        self.load_table = loads.LoadTable()
        self.crashes = crash_counts.CrashCounts(loop.time)
        self.limits = upstream_limits.UpstreamLimits(
            loop.time, lambda: 1, random.Random(1)
        )
        self.part_crashes = crashing_parts.PartCrashes(
            loop.time, random.Random(1)
        )
        self.suspects = []
        self.helper = None
        self.may_lead = True
        self.reports = load_reports.LoadReports(
            self.directory,
            self.load_table,
            self.crashes,
            self.part_crashes,
            self.limits,
            lambda upstream, sender: self.suspects.append((upstream, sender)),
            lambda: 0.1,
            load_reports.Settings(
                name,
                "a",
                f"127.0.0.1:{port}",
                tuple(f"127.0.0.1:{seed}" for seed in seeds),
                period_s=0.03,
                idle_period_s=0.03,
                liveness_timeout_s=0.4,
                expiry_timeout_s=1.0,
                seed_retry_period_s=0.1,
            ),
            random.Random(port),
            lambda: self.helper,
            lambda: self.may_lead,
        )


@contextlib.asynccontextmanager
async def run_entries(count: int):
    """Runs entries whose only seed is the first one."""
    ports = free_ports.find_ports(count)
    async with contextlib.AsyncExitStack() as stack:
        entries = []
        for index, port in enumerate(ports):
            entry = Entry(f"entry-{index}", port, ports[:1])
            await stack.enter_async_context(entry.reports)
            entries.append(entry)
        yield entries


async def wait_until(condition, limit_s: float = 5.0) -> None:
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def test_entries_discover_each_other_from_one_seed():
    async def run():
        async with run_entries(5) as entries:
            await wait_until(
                lambda: all(e.reports.count_live() == 5 for e in entries)
            )

    asyncio.run(run())


def test_load_in_flight_is_reported():
    async def run():
        async with run_entries(3) as entries:
            load = loads.Load(3, 1, 4000.0, 500.0)
            with loads.Reservation(entries[0].load_table, {UPSTREAM.key: load}):
                await wait_until(
                    lambda: all(
                        e.load_table.get(UPSTREAM.key) == load for e in entries
                    )
                )
            await wait_until(
                lambda: all(
                    e.load_table.get(UPSTREAM.key).requests == 0
                    for e in entries
                )
            )

    asyncio.run(run())


def test_leadership_passes_from_an_entry_with_faulty_links():
    # It took sound upstreams for dead, and had others load their layers.
    async def run():
        async with run_entries(2) as entries:
            await wait_until(
                lambda: all(e.reports.count_live() == 2 for e in entries)
            )
            assert entries[0].reports.is_leader()
            entries[0].may_lead = False
            assert not entries[0].reports.is_leader()
            await wait_until(lambda: entries[1].reports.is_leader())

    asyncio.run(run())


def test_helpers_are_known_to_the_other_entries():
    async def run():
        async with run_entries(3) as entries:
            helper = summaries.Helper(0.0, "10.0.0.1:9001", "a", 2**63 + 7)
            entries[0].helper = helper
            await wait_until(
                lambda: all(e.reports.find_helpers() for e in entries[1:])
            )
            (found,) = entries[1].reports.find_helpers()
            assert (found.address, found.domain) == ("10.0.0.1:9001", "a")
            assert found.token == helper.token
            entries[0].helper = None
            await wait_until(
                lambda: not any(e.reports.find_helpers() for e in entries)
            )

    asyncio.run(run())


def test_leadership_passes_from_a_stopped_entry_to_the_next():
    async def run():
        async with run_entries(3) as entries:
            await wait_until(
                lambda: all(e.reports.count_live() == 3 for e in entries)
            )
            is_leader = [e.reports.is_leader() for e in entries]
            assert is_leader == [True, False, False]
            await entries[0].reports.__aexit__(None, None, None)
            await wait_until(lambda: entries[1].reports.is_leader())
            assert not entries[2].reports.is_leader()

    asyncio.run(run())


def test_load_of_a_stopped_entry_is_dropped():
    async def run():
        async with run_entries(3) as entries:
            load = loads.Load(3, 1, 4000.0, 500.0)
            entries[0].load_table.add_own({UPSTREAM.key: load}, 1)
            entries[1].load_table.add_own({UPSTREAM.key: load}, 1)
            load_table = entries[2].load_table
            await wait_until(lambda: load_table.get(UPSTREAM.key).requests == 6)
            await entries[0].reports.__aexit__(None, None, None)
            await wait_until(
                lambda: load_table.get(UPSTREAM.key).requests == 3, 1.0
            )

    asyncio.run(run())


def test_next_entry_leads_if_the_first_has_an_old_upstream_list():
    async def run():
        async with run_entries(2) as entries:
            await wait_until(
                lambda: all(e.reports.count_live() == 2 for e in entries)
            )
            entries[0].directory.updated_at_s = float("-inf")
            await wait_until(lambda: entries[1].reports.is_leader())

    asyncio.run(run())


def test_stopping_entry_gives_up_leadership_at_once():
    async def run():
        async with run_entries(2) as entries:
            await wait_until(
                lambda: all(e.reports.count_live() == 2 for e in entries)
            )
            entries[0].reports.is_stopping = True
            await entries[0].reports.send_now()
            assert not entries[0].reports.is_leader()
            await wait_until(lambda: entries[1].reports.is_leader(), 1.0)

    asyncio.run(run())


def test_only_shared_failures_are_reported():
    async def run():
        async with run_entries(2) as entries:
            await wait_until(
                lambda: all(e.reports.count_live() == 2 for e in entries)
            )
            entries[0].directory.record_failure(UPSTREAM)
            await asyncio.sleep(0.2)
            assert entries[1].suspects == []
            entries[0].directory.record_failure(UPSTREAM, is_shared=True)
            await wait_until(lambda: entries[1].suspects)
            assert entries[1].suspects[0] == (UPSTREAM, "entry-0")

    asyncio.run(run())


def test_crashes_are_reported():
    async def run():
        async with run_entries(2) as entries:
            for _ in range(3):
                entries[0].crashes.add(42)
            await wait_until(lambda: entries[1].crashes.is_blocked(42))

    asyncio.run(run())


@pytest.mark.parametrize("data", [b"", b"\xff" * 40, b"\x00" * 2000])
def test_invalid_datagrams_are_ignored(data):
    async def run():
        async with run_entries(2) as entries:
            entries[0].reports.datagram_received(data, ("127.0.0.1", 9))
            await wait_until(
                lambda: all(e.reports.count_live() == 2 for e in entries)
            )

    asyncio.run(run())


def test_new_process_assumes_many_entries_until_discovery_is_over():
    async def run():
        async with run_entries(1) as entries:
            reports = entries[0].reports
            assert reports.count_quota_shares() is None
            await asyncio.sleep(load_reports.DISCOVERY_S)
            assert reports.count_quota_shares() == 1

    asyncio.run(run())
