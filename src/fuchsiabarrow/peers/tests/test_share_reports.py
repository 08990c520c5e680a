"""Tests of shares in load reports, on virtual time without a network."""

import asyncio
import pathlib
import random
import re

import capnp
import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import upstream_limits
from fuchsiabarrow.peers import load_reports
from fuchsiabarrow.peers import report_codec
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.scheduling import shares
from fuchsiabarrow.utils import addresses as addresses_module
from fuchsiabarrow.utils.tests import virtual_time

SERVICE = "chat"
SCHEMA = pathlib.Path(report_codec.__file__).with_name("load_report.capnp")


class Transport:
    """Delivers datagrams of one entry at once."""

    def __init__(self, network: "Network", address: str):
        self._network = network
        self._address = address

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = self._network.entries.get(f"{address[0]}:{address[1]}")
        self._network.sent.append(data)
        if (
            receiver is not None
            and receiver.is_up
            and self._address not in self._network.cut_off
            and receiver.address not in self._network.cut_off
        ):
            receiver.reports.datagram_received(
                data, addresses_module.parse_address(self._address)
            )

    def is_closing(self) -> bool:
        return False


class Entry:
    """An entry whose reports are sent by the test."""

    def __init__(self, network: "Network", index: int, has_shares: bool):
        loop = asyncio.get_running_loop()
        self.name = f"entry-{index:02}"
        self.address = f"10.0.0.{index}:7000"
        self.is_up = True
        self.table = shares.ShareTable(self.name, loop.time())
        directory = directory_module.Directory(loop.time)
        directory.confirm(loop.time())
        self.reports = load_reports.LoadReports(
            directory,
            loads.LoadTable(),
            crash_counts.CrashCounts(loop.time),
            crashing_parts.PartCrashes(loop.time, random.Random(1)),
            upstream_limits.UpstreamLimits(
                loop.time, lambda: 1, random.Random(1)
            ),
            lambda upstream, sender: None,
            lambda: 0.1,
            load_reports.Settings(
                self.name, "abc"[index % 3], self.address, ("10.0.0.0:7000",)
            ),
            random.Random(index),
            share_table=self.table if has_shares else None,
        )
        self.reports.connection_made(Transport(network, self.address))

    def get_used(self, organisation: str) -> float:
        return self.table.get_standing(
            SERVICE, organisation, asyncio.get_running_loop().time()
        ).used


class Network:
    """Entries in three failure domains that send reports in turn."""

    PERIOD_S = 0.4

    def __init__(self, count: int, older: tuple[int, ...] = ()):
        self.entries: dict[str, Entry] = {}
        self.cut_off: set[str] = set()
        self.sent: list[bytes] = []
        for index in range(count):
            self.start(index, index not in older)

    def start(self, index: int, has_shares: bool = True) -> Entry:
        entry = Entry(self, index, has_shares)
        self.entries[entry.address] = entry
        return entry

    async def run(self, duration_s: float) -> None:
        step_s = self.PERIOD_S / len(self.entries)
        for _ in range(round(duration_s / self.PERIOD_S)):
            for entry in list(self.entries.values()):
                await asyncio.sleep(step_s)
                if entry.is_up:
                    await entry.reports.send_now()


def run_network(test, count: int, **options) -> None:
    """Runs a test with a network on virtual time."""

    async def run():
        # The incarnation of a process is its start in wall time.
        network = Network(count, **options)
        entries = list(network.entries.values())
        await network.run(6.0)
        await test(network, entries)

    virtual_time.run(run())


@pytest.mark.parametrize("count", [2, 9, 30])
def test_use_at_each_entry_is_counted_once(count):
    """Guards against own use that comes back in totals."""

    async def test(network, entries):
        for index, entry in enumerate(entries):
            entry.table.hold(SERVICE, "a", 100 + index)
            entry.table.hold(SERVICE, f"o{index}", 10)
        await network.run(4.0)
        total = sum(100 + n for n in range(count))
        assert {entry.get_used("a") for entry in entries} == {total}
        for index, entry in enumerate(entries):
            entry.table.release(SERVICE, "a", 100 + index)
        await network.run(4.0)
        assert {entry.get_used("a") for entry in entries} == {0}

    run_network(test, count)


@pytest.mark.parametrize("count", [2, 30])
def test_use_at_an_entry_that_ends_disappears(count):
    """Guards against capacity held by streams that ended with their entry."""

    async def test(network, entries):
        for entry in entries:
            entry.table.hold(SERVICE, "a", 100)
        await network.run(4.0)
        ended = entries[-1]
        ended.is_up = False
        # Liveness is checked at each hop: member, domain and total.
        await network.run(6.0)
        assert {e.get_used("a") for e in entries[:-1]} == {100 * (count - 1)}

    run_network(test, count)


@pytest.mark.parametrize("count", [2, 30])
def test_an_entry_that_restarts_counts_anew(count, monkeypatch):
    """Guards against use of the former process at itself and at others."""

    async def test(network, entries):
        for entry in entries:
            entry.table.hold(SERVICE, "a", 100)
        await network.run(4.0)
        monkeypatch.setattr(
            load_reports.clocks, "read_wall_time_s", lambda: 4e9
        )
        restarted = network.start(count - 1)
        restarted.table.hold(SERVICE, "a", 7)
        assert restarted.get_used("a") == 7
        await network.run(4.0)
        total = 100 * (count - 1) + 7
        assert {e.get_used("a") for e in entries[:-1]} == {total}
        assert restarted.get_used("a") == total

    run_network(test, count)


@pytest.mark.parametrize("count", [2, 30])
def test_an_entry_that_is_cut_off_decides_by_its_own_callers(count):
    """Guards against limits by others that can no longer be heard."""

    async def test(network, entries):
        for entry in entries:
            entry.table.hold(SERVICE, "a", 100)
        await network.run(4.0)
        cut = entries[-1]
        network.cut_off.add(cut.address)
        await network.run(shares.MAX_AGE_S + 2.0)
        assert cut.get_used("a") == 100
        assert entries[0].get_used("a") == 100 * (count - 1)
        network.cut_off.clear()
        await network.run(6.0)
        assert {e.get_used("a") for e in entries} == {100 * count}

    run_network(test, count)


def test_a_lost_total_counts_half_and_then_not():
    """Guards against shares that change with each lost datagram."""

    async def test(network, entries):
        for entry in entries:
            entry.table.hold(SERVICE, "a", 100)
        await network.run(4.0)
        cut = entries[-1]
        network.cut_off.add(cut.address)
        await network.run(2.4)
        assert cut.get_used("a") == 3000
        await network.run(2.0)
        assert cut.get_used("a") == 100 + 2900 / 2

    run_network(test, 30)


def test_entries_without_shares_count_as_reporting_nothing():
    """Guards against entries of the earlier version beside newer ones."""

    async def test(network, entries):
        for entry in entries:
            entry.table.hold(SERVICE, "a", 100)
        await network.run(4.0)
        assert entries[0].reports.count_live() == 6
        # The tables of the older two are in no report.
        assert entries[0].get_used("a") == 400
        assert entries[1].get_used("a") == 100

    run_network(test, 6, older=(1, 4))


def make_report(**summary) -> report_codec.Report:
    return report_codec.Report(
        "entry-1",
        "a",
        17,
        3,
        report_codec.Scope.ENTRY,
        summaries.Summary(
            1,
            "entry-1",
            {5: loads.Load(3, 1, 9000.0, 10.0)},
            request_progress={9: 99.0},
            **summary,
        ),
        (report_codec.Contact("entry-2", "b", "10.0.0.2:7000", 8),),
    )


def make_shares(
    services: int = 2, organisations: int = 3
) -> dict[int, shares.ServiceUse]:
    return {
        service: shares.ServiceUse(
            {
                100 * service + n: shares.Use(1000.0 + n, 10.0 * n)
                for n in range(organisations)
            },
            shares.Use(50.0, 5.0),
            7,
        )
        for service in range(services)
    }


@pytest.fixture(scope="module")
def older_schema(tmp_path_factory):
    """The schema without the fields for shares.

    It is loaded once, as ids of schemas are unique in a process.
    """
    text = SCHEMA.read_text()
    text, count = re.subn(
        r"\n  # Use of services by org[^}]*shares @35 :Shares;\n", "", text
    )
    assert count == 1
    path = tmp_path_factory.mktemp("schema") / "older_report.capnp"
    path.write_text(text.replace("@0xb1c6a4d0e35f7182", "@0xb1c6a4d0e35f7183"))
    return capnp.load(str(path))


def test_an_older_entry_skips_the_fields(older_schema):
    """Guards against reports that entries of the earlier version drop."""
    data = report_codec.encode(make_report(shares=make_shares()), 100.0)
    message = older_schema.LoadReport.from_bytes_packed(data)
    assert message.sender == "entry-1"
    assert list(message.upstreams) == [5]
    assert list(message.progressAgeMs) == [1000]
    assert message.contacts[0].address == "10.0.0.2:7000"


def test_a_report_of_an_older_entry_has_no_shares(older_schema):
    """Guards against reports of the earlier version that newer ones drop."""
    message = older_schema.LoadReport.new_message(
        sender="entry-1", upstreams=[5], requests=[3], entered=[1]
    )
    message.context, message.reading = [9000], [10]
    report = report_codec.decode(message.to_bytes_packed(), 100.0)
    assert report.summary.loads == make_report().summary.loads
    assert report.summary.shares == {}


def test_reports_without_shares_have_the_content_of_the_earlier_version(
    older_schema,
):
    """Guards against cost for deployments without competing callers."""
    data = report_codec.encode(make_report(), 100.0)
    reader = older_schema.LoadReport.from_bytes_packed(data)
    older = older_schema.LoadReport.new_message(**reader.to_dict())
    # A null pointer to the shares, packed.
    assert len(data) - len(older.to_bytes_packed()) <= 2
    assert report_codec.encode(make_report(shares={}), 100.0) == data


def test_shares_arrive_as_they_were_sent():
    """Guards against columns that are mixed up."""
    sent = make_shares()
    data = report_codec.encode(make_report(shares=sent), 100.0)
    assert report_codec.decode(data, 100.0).summary.shares == sent


def test_reports_are_bounded_and_amounts_are_clipped():
    """Guards against datagrams that do not fit, and numbers that do not."""
    sent = make_shares(services=300, organisations=40)
    sent[299] = shares.ServiceUse({1: shares.Use(1e12, -5.0)})
    data = report_codec.encode(make_report(shares=sent), 100.0)
    assert len(data) < 1400
    found = report_codec.decode(data, 100.0).summary.shares
    assert len(found) == shares.MAX_SERVICES
    rows = [row for use in found.values() for row in use.organisations.values()]
    assert len(rows) == shares.MAX_ROWS
    assert found[299].organisations[1] == shares.Use(2**32 - 1, 0)


@pytest.mark.parametrize(
    "change",
    [
        {"rowServices": [0, 9]},
        {"organisations": [1]},
        {"wanted": [1, 2, 3]},
        {"restUsed": []},
    ],
)
def test_invalid_shares_are_a_peer_error(change):
    """Guards against an invalid datagram that ends the reception of all."""
    columns = {
        "services": [7],
        **{name: [1] for name in ("restCounts", "restUsed", "restWanted")},
        "rowServices": [0, 0],
        **{name: [1, 2] for name in ("organisations", "used", "wanted")},
    }
    schema = capnp.load(str(SCHEMA))
    valid = schema.LoadReport.new_message(sender="entry-1", shares=columns)
    found = report_codec.decode(valid.to_bytes_packed(), 100.0).summary.shares
    assert found[7].organisations[2] == shares.Use(2, 2)
    message = schema.LoadReport.new_message(
        sender="entry-1", shares=columns | change
    )
    with pytest.raises(exceptions.PeerError, match="cannot be decoded"):
        report_codec.decode(message.to_bytes_packed(), 100.0)
