"""Many entries that start, stop and lose each other, on virtual time."""

import random

import pytest

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.peers import groups
from fuchsiabarrow.peers import report_codec
from fuchsiabarrow.peers import summaries

PERIOD_S = 0.4
ALIVE_S = 1.6
FORGET_S = 6.0
MARK = 7


class Entry:
    def __init__(self, net: "Net", index: int, domain: str):
        self.name = f"{domain}-{index:03}"
        self.address = f"10.0.{index // 250}.{index % 250}:1"
        self.domain = domain
        self.groups = groups.Groups(
            report_codec.Contact(self.name, domain, self.address),
            ALIVE_S,
            FORGET_S,
            lambda contact, is_new: None,
        )
        self.net = net
        self.sequence = 0
        self.incarnation = 1
        self.requests = 1
        self.is_up = True
        self.called_s = float("-inf")

    def summarise(self) -> summaries.Summary:
        now_s = self.net.now_s
        informed = (summaries.Informed(now_s, self.address),)
        return summaries.Summary(
            1,
            self.name,
            {MARK: loads.Load(self.requests, 1, 10.0 * self.requests, 0.0)},
            {},
            {},
            informed,
            informed,
        )

    def send(self, message: groups.Message, own: summaries.Summary) -> None:
        now_s = self.net.now_s
        report = report_codec.Report(
            self.name,
            self.domain,
            self.incarnation,
            self.sequence,
            message.scope,
            self.groups.sum_up(message.scope, own, now_s),
            self.groups.select_contacts(
                message.scope, self.net.source.sample, now_s
            ),
        )
        for address in message.addresses:
            self.net.deliver(self, address, report)

    def tick(self) -> None:
        now_s = self.net.now_s
        self.groups.expire(now_s)
        own = self.summarise()
        self.sequence += 1
        self.groups.note_sent(self.sequence, own)
        for message in self.groups.plan(now_s):
            self.send(message, own)
        known = self.groups.get_addresses()
        silent = tuple(
            seed
            for seed in self.net.seeds
            if seed not in known and seed != self.address
        )
        if silent and now_s - self.called_s > 2.0:
            self.called_s = now_s
            self.send(groups.Message(groups.Scope.ENTRY, silent), own)

    def count_requests(self) -> int:
        """Returns the requests of all others, as this entry knows them."""
        return sum(
            summary.loads[MARK].requests
            for summary in self.groups.get_sources(self.net.now_s).values()
            if MARK in summary.loads
        )


class Net:
    """Entries that tell each other at their periods; the first are seeds."""

    def __init__(self, count: int, domain_count: int):
        self.now_s = 100.0
        self.source = random.Random(5)
        self.sent: dict[str, int] = {}
        self.received: dict[str, int] = {}
        self.cut: set[tuple[str, str]] = set()
        self.entries = [
            Entry(self, i, "abcdefghi"[i % domain_count]) for i in range(count)
        ]
        self.by_address = {e.address: e for e in self.entries}
        self.seeds = [e.address for e in self.entries[:3]]

    def deliver(self, sender: Entry, address: str, report) -> None:
        self.sent[sender.name] = self.sent.get(sender.name, 0) + 1
        receiver = self.by_address[address]
        if not receiver.is_up or (sender.name, receiver.name) in self.cut:
            return
        self.received[receiver.name] = self.received.get(receiver.name, 0) + 1
        answer = receiver.groups.take(report, sender.address, self.now_s)
        if answer is not None:
            receiver.send(answer, summaries.Summary(0))

    def run(self, duration_s: float) -> None:
        step_s = PERIOD_S / len(self.entries)
        for _ in range(round(duration_s / PERIOD_S)):
            # Each entry once a period, in an order that stays the same.
            for entry in self.entries:
                self.now_s += step_s
                if entry.is_up:
                    entry.tick()

    @property
    def up(self) -> list[Entry]:
        return [entry for entry in self.entries if entry.is_up]

    def get_first(self) -> list[str]:
        """Returns the entries that take the common duties upon themselves."""
        return [
            entry.name
            for entry in self.up
            if all(
                not s.first or s.first >= entry.name
                for s in entry.groups.get_sources(self.now_s).values()
            )
        ]

    def check_knowledge(self) -> None:
        count = len(self.up)
        counts = {e.groups.count_live(self.now_s) for e in self.up}
        assert counts == {count}
        assert {e.count_requests() for e in self.up} == {count - 1}
        assert self.get_first() == [min(e.name for e in self.up)]


@pytest.mark.parametrize(
    ("count", "domain_count"),
    [(2, 1), (9, 4), (16, 4), (17, 4), (30, 3), (70, 4), (76, 3), (400, 9)],
)
def test_each_entry_learns_of_the_work_of_all_others_once(count, domain_count):
    net = Net(count, domain_count)
    net.run(8.0)
    net.check_knowledge()


def test_datagrams_of_an_entry_do_not_grow_with_the_number_of_entries():
    most = {}
    for count in (70, 280):
        net = Net(count, 4)
        net.run(8.0)
        net.sent.clear()
        net.received.clear()
        net.run(8.0)
        periods = 8.0 / PERIOD_S
        counts = sorted(
            net.sent.get(e.name, 0) + net.received.get(e.name, 0)
            for e in net.entries
        )
        most[count] = counts[len(counts) // 2] / periods
    assert most[280] <= most[70] * 1.05
    # Two reports to the speakers, two sums from them.
    assert most[70] <= 4.2


def test_datagrams_between_domains_do_not_grow_with_their_entries():
    def count_far(count):
        net = Net(count, 4)
        net.run(8.0)
        far = []
        deliver = net.deliver

        def note(sender, address, report):
            if net.by_address[address].domain != sender.domain:
                far.append(address)
            deliver(sender, address, report)

        net.deliver = note
        net.run(4.0)
        return len(far)

    assert count_far(140) == count_far(70)


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_lost_speakers_are_replaced(lost):
    net = Net(70, 4)
    net.run(8.0)
    for entry in sorted(net.entries, key=lambda e: e.name)[:lost]:
        entry.is_up = False
    net.run(4 * ALIVE_S)
    net.check_knowledge()


def test_speakers_lost_in_turn_are_replaced_and_come_back():
    net = Net(70, 4)
    net.run(8.0)
    first = [e for e in sorted(net.entries, key=lambda e: e.name)][:4]
    for _ in range(2):
        for pair in (first[:2], first[2:]):
            for entry in pair:
                entry.is_up = False
            net.run(3 * ALIVE_S)
            net.check_knowledge()
            for entry in pair:
                entry.is_up = True
            net.run(3 * ALIVE_S)
            net.check_knowledge()


def test_entries_that_all_stop_and_start_find_each_other_again():
    net = Net(70, 4)
    net.run(8.0)
    fresh = Net(70, 4)
    fresh.now_s = net.now_s
    for entry in fresh.entries:
        entry.incarnation = 2
    fresh.run(8.0)
    fresh.check_knowledge()


def test_lost_domain_is_no_longer_counted():
    net = Net(70, 4)
    net.run(8.0)
    for entry in net.entries:
        entry.is_up = entry.domain != "c"
    net.run(3 * ALIVE_S)
    net.check_knowledge()


def test_domain_that_is_cut_off_and_back_is_counted_again():
    net = Net(70, 4)
    net.run(8.0)
    inside = [e.name for e in net.entries if e.domain == "b"]
    outside = [e.name for e in net.entries if e.domain != "b"]
    net.cut = {(i, o) for i in inside for o in outside}
    net.cut |= {(o, i) for i, o in net.cut}
    net.run(3 * ALIVE_S)
    counts = {e.domain: e.groups.count_live(net.now_s) for e in net.entries}
    assert counts["b"] == len(inside)
    assert counts["a"] == len(outside)
    net.cut = set()
    net.run(6.0)
    net.check_knowledge()


def test_entry_that_hears_nobody_does_not_spoil_the_sums_of_others():
    net = Net(70, 4)
    net.run(8.0)
    deaf = next(
        e
        for e in net.entries
        if e.name == max(o.name for o in net.entries if o.domain == "b")
    )
    net.cut = {(e.name, deaf.name) for e in net.entries}
    net.run(3 * ALIVE_S)
    for _ in range(10):
        net.run(PERIOD_S)
        least = min(
            e.groups.count_live(net.now_s) for e in net.up if e is not deaf
        )
        assert least >= 69


def test_own_work_is_not_part_of_what_others_are_said_to_have():
    net = Net(70, 4)
    net.run(8.0)
    member = max(net.entries, key=lambda e: e.name)
    for requests in (50, 3, 80, 0):
        member.requests = requests
        for _ in range(6):
            net.run(PERIOD_S)
            assert member.count_requests() == 69


def test_newcomer_among_many_is_counted_soon():
    net = Net(70, 4)
    newcomer = net.entries[-1]
    newcomer.is_up = False
    net.run(8.0)
    assert net.up[0].groups.count_live(net.now_s) == 69
    newcomer.is_up = True
    net.run(5 * PERIOD_S)
    net.check_knowledge()
