"""At most one entry may act under a lease, whatever is paused or lost."""

import asyncio
import random

import pytest

from fuchsiabarrow.actions.tests import fakes
from fuchsiabarrow.leases import service
from fuchsiabarrow.utils.tests import virtual_time

SEEDS = 300
ENTRIES = 3
DURATION_S = 120.0
NAME = "duty"


class Schedule:
    """Entries that pursue one lease through pauses, outages and losses."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.acts: list[tuple[float, str, int]] = []

    async def run(self):
        store = fakes.FakeStore(self.source)
        store.lose_answer_rate = self.source.choice([0, 0.2])
        store.late_write_rate = self.source.choice([0, 0.1])
        gates = [fakes.Gate() for _ in range(ENTRIES)]
        works = [
            asyncio.create_task(self.live(f"e{n}", store, gate))
            for n, gate in enumerate(gates)
        ]
        loop = asyncio.get_running_loop()
        while loop.time() < DURATION_S:
            await asyncio.sleep(self.source.uniform(0.5, 5))
            if self.source.random() < 0.3:
                store.is_down = True
                await asyncio.sleep(self.source.uniform(0.5, 12))
                store.is_down = False
                continue
            gate = self.source.choice(gates)
            gate.pause()
            await asyncio.sleep(self.source.uniform(0.1, 15))
            gate.resume()
        for work in works:
            work.cancel()
        await asyncio.gather(*works, return_exceptions=True)

    async def live(self, name, store, gate):
        loop = asyncio.get_running_loop()
        leases = service.LeasesService(
            name,
            fakes.GatedStore(store, gate),
            service.Settings(),
            self.source,
            loop.time,
        )
        while True:
            await gate.wait()
            await leases.pursue(NAME, is_wanted=True)
            for _ in range(4):
                await asyncio.sleep(leases.get_period_s() / 4)
                await gate.wait()
                fence = leases.get_fence(NAME)
                if fence is not None:
                    self.acts.append((loop.time(), name, fence))


@pytest.mark.parametrize("start", range(0, SEEDS, 100))
def test_fences_of_acts_never_fall_and_each_has_one_holder(start):
    changes = 0
    for seed in range(start, start + 100):
        schedule = Schedule(seed)
        virtual_time.run(schedule.run())
        fences = [fence for _, _, fence in schedule.acts]
        assert fences == sorted(fences), seed
        holders = {(fence, name) for _, name, fence in schedule.acts}
        assert len(holders) == len(set(fences)), seed
        changes += len(set(fences)) - 1
    assert changes > 100


def test_lease_that_is_given_up_is_taken_without_waiting_for_its_term():
    async def check():
        loop = asyncio.get_running_loop()
        store = fakes.FakeStore(random.Random(1))
        first, second = (
            service.LeasesService(
                name, store, service.Settings(), random.Random(1), loop.time
            )
            for name in ("first", "second")
        )
        await first.pursue(NAME, is_wanted=True)
        await second.pursue(NAME, is_wanted=True)
        assert (first.get_fence(NAME), second.get_fence(NAME)) == (1, None)
        await first.give_up(NAME)
        await second.pursue(NAME, is_wanted=True)
        assert (first.get_fence(NAME), second.get_fence(NAME)) == (None, 2)

    virtual_time.run(check())


def test_holder_that_cannot_renew_stops_acting_before_another_may_start():
    async def check():
        loop = asyncio.get_running_loop()
        store = fakes.FakeStore(random.Random(1))
        leases = service.LeasesService(
            "first", store, service.Settings(), random.Random(1), loop.time
        )
        await leases.pursue(NAME, is_wanted=True)
        store.is_down = True
        while leases.get_fence(NAME) is not None:
            await leases.pursue(NAME, is_wanted=True)
            await asyncio.sleep(0.05)
        assert loop.time() < service.Settings().term_s

    virtual_time.run(check())
