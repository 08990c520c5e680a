"""Which entries send placement orders, on a simulated network."""

import asyncio
import collections

import pytest

from fuchsiabarrow.platform.tests import configuration_days

SAMPLE_S = 0.02


class _Day(configuration_days.Deployment):
    """A deployment that records which entries act at the same time.

    Attributes:
        acting: Names of the entries that had the duty at the same time, as sets
            by loop time.
    """

    def __init__(self, network, entries, stagger_s=0.0, **options):
        super().__init__(network, entries, **options)
        self.acting: dict[float, frozenset[str]] = {}
        self._stagger_s = stagger_s

    async def start_entry(self, index: int) -> None:
        """Starts an entry some time after the one before."""
        if not self.entries:
            self._start(self._sample())
        await asyncio.sleep(self._stagger_s)
        await super().start_entry(index)

    async def _sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            self.acting[self._now()] = frozenset(
                name
                for name, entry in self.entries.items()
                if not self.hosts[name].is_frozen
                and entry.kernel.get("load_reports").has_duty()
            )

    def find_pairs(self) -> collections.Counter:
        """Counts the samples in which several entries acted."""
        return collections.Counter(
            tuple(sorted(names))
            for names in self.acting.values()
            if len(names) > 1
        )

    def find_longest_gap_s(self) -> float:
        """Returns the longest time after the first action without one."""
        times_s = [s for s, names in self.acting.items() if names]
        times_s.append(self._now())
        return max(b - a for a, b in zip(times_s, times_s[1:], strict=False))


def play(script, entries, **options):
    """Plays a day; returns the pairs, the gap and the time to the first act."""

    async def main(network):
        async with _Day(network, entries, **options) as deployment:
            await script(deployment)
            acted = [s for s, names in deployment.acting.items() if names]
            return (
                deployment.find_pairs(),
                deployment.find_longest_gap_s(),
                acted[0] - deployment.traces[0].started_s,
            )

    return configuration_days.simulated_network.run(main)


async def _rest(deployment):
    await asyncio.sleep(3.0)


# Entries that had just started and knew no others each sent a whole plan: 29 of
# 61 orders were refused at the start of a day.
@pytest.mark.parametrize("entries", [3, 9, 24, 76])
def test_entries_that_start_together_send_one_plan(entries):
    pairs, _, first_s = play(_rest, entries, stagger_s=3.0 / entries)
    assert not pairs
    assert first_s <= 8.0


# Around a hand-over both acted for a moment, and orders went out twice.
def test_leaders_that_are_restarted_in_series_act_one_at_a_time():
    async def script(deployment):
        for name in sorted(deployment.entries)[:5]:
            await deployment.kill_entry(name)
            await asyncio.sleep(0.5)
            await deployment.start_entry(int(name.rpartition("-")[2]))
            await asyncio.sleep(2.0)

    pairs, gap_s, _ = play(script, 20)
    assert not pairs
    assert gap_s <= 6.0


def test_entries_that_are_killed_together_send_one_plan_after_their_start():
    async def script(deployment):
        names = sorted(deployment.entries)
        for name in names:
            await deployment.kill_entry(name)
        await asyncio.sleep(0.5)
        for name in reversed(names):
            await deployment.start_entry(int(name.rpartition("-")[2]))
        await asyncio.sleep(4.0)

    pairs, gap_s, _ = play(script, 20)
    assert not pairs
    assert gap_s <= 5.0


# A leader that was frozen believed that it still was one when it woke up.
def test_leader_that_wakes_up_does_not_act_beside_the_next_one():
    async def script(deployment):
        leader = sorted(deployment.entries)[0]
        host = deployment.hosts[leader]
        deployment.network.freeze(host)
        await asyncio.sleep(5.0)
        deployment.network.thaw(host)
        await asyncio.sleep(4.0)

    pairs, gap_s, _ = play(script, 9)
    assert not pairs
    assert gap_s <= 5.0
