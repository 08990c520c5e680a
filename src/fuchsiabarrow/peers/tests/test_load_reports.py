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
from fuchsiabarrow.peers import report_codec
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.utils.tests import free_ports

UPSTREAM = fleets.make_instance("i-1")


class Entry:
    """One entry that reports its load, on loopback."""

    def __init__(
        self, name: str, port: int, seeds: list[int], period_s: float = 0.03
    ):
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
        self.address = f"127.0.0.1:{port}"
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
                self.address,
                tuple(f"127.0.0.1:{seed}" for seed in seeds),
                period_s=period_s,
                idle_period_s=period_s,
                liveness_timeout_s=0.4,
                expiry_timeout_s=1.0,
                seed_retry_period_s=0.1,
            ),
            random.Random(port),
            lambda: self.helper,
            lambda: self.may_lead,
        )


@contextlib.asynccontextmanager
async def run_entries(count: int, period_s: float = 0.03):
    """Runs entries whose only seed is the first one."""
    ports = free_ports.find_ports(count)
    entries = []
    try:
        for index, port in enumerate(ports):
            entries.append(Entry(f"entry-{index}", port, ports[:1], period_s))
            await entries[-1].reports.__aenter__()
        yield entries
    finally:
        for entry in entries:
            await entry.reports.__aexit__(None, None, None)


async def restart(entries: list[Entry], index: int, period_s: float) -> Entry:
    """Replaces an entry by a new process that knows another one."""
    old = entries[index]
    await old.reports.__aexit__(None, None, None)
    # A new process has a later start time, in milliseconds.
    await asyncio.sleep(0.002)
    ports = [int(e.address.rpartition(":")[2]) for e in entries]
    seeds = [port for port in ports if port != ports[index]][:1]
    entries[index] = Entry(f"entry-{index}", ports[index], seeds, period_s)
    await entries[index].reports.__aenter__()
    return entries[index]


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


# Only the entry that had counted crashes reported them. After its restart, its
# callers' request crashed three upstreams more, and so after each restart.
def test_entries_that_restart_in_turn_know_which_requests_are_blocked():
    async def run():
        async with run_entries(3) as entries:
            await wait_until(
                lambda: all(e.reports.count_live() == 3 for e in entries)
            )
            for _ in range(3):
                entries[0].crashes.add(42)
            for index in (0, 1, 2, 0, 1, 2):
                await wait_until(
                    lambda: all(e.crashes.is_blocked(42) for e in entries)
                )
                await restart(entries, index, 0.03)
            await wait_until(
                lambda: all(e.crashes.is_blocked(42) for e in entries)
            )

    asyncio.run(run())


def test_new_process_learns_of_crashes_before_the_next_regular_report():
    async def run():
        async with run_entries(2, period_s=60.0) as entries:
            await wait_until(lambda: entries[0].reports.count_live() == 2)
            entries[0].crashes.add(42)
            for _ in range(3):
                entries[0].crashes.add(43)
            restarted = await restart(entries, 1, 60.0)
            await wait_until(lambda: restarted.crashes.is_blocked(43), 2.0)
            assert restarted.crashes.count(42) == 1

    asyncio.run(run())


def test_crashes_counted_just_before_the_exit_are_reported():
    async def run():
        async with run_entries(2, period_s=60.0) as entries:
            await wait_until(lambda: entries[0].reports.count_live() == 2)
            for _ in range(3):
                entries[0].crashes.add(42)
            await entries[0].reports.__aexit__(None, None, None)
            await wait_until(lambda: entries[1].crashes.is_blocked(42), 2.0)

    asyncio.run(run())


def test_progress_of_a_request_is_reported():
    async def run():
        async with run_entries(3) as entries:
            for _ in range(3):
                entries[0].crashes.add(42)
            await wait_until(
                lambda: all(e.crashes.is_blocked(42) for e in entries)
            )
            entries[1].crashes.clear(42)
            await wait_until(
                lambda: all(e.crashes.count(42) == 0 for e in entries)
            )
            await asyncio.sleep(0.2)
            assert all(e.crashes.count(42) == 0 for e in entries)

    asyncio.run(run())


def test_numbers_of_crashes_are_exchanged_with_earlier_versions():
    async def run():
        async with run_entries(1) as entries:
            reports, crashes = entries[0].reports, entries[0].crashes
            for sequence in (1, 2):
                report = report_codec.Report(
                    "old",
                    "a",
                    1,
                    sequence,
                    report_codec.Scope.ENTRY,
                    summaries.Summary(1, crashes={42: 2}),
                )
                now_s = asyncio.get_running_loop().time()
                reports.datagram_received(
                    report_codec.encode(report, now_s), ("127.0.0.1", 9)
                )
            assert crashes.count(42) == 2
            assert crashes.add(42) == 3
            sent = reports._summarise_own(now_s)
            assert sent.crashes == {42: 1}

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
