"""Tests that at most one entry at a time acts under a lease."""

import asyncio
import random

import pytest

from fuchsiabarrow.actions.tests import fakes
from fuchsiabarrow.leases import service
from fuchsiabarrow.utils.tests import virtual_time

SEEDS = 300
ENTRIES = 3
DURATION_S = 120.0
LEASE_NAME = "duty"


class Schedule:
    """Entries competing for a lease, with pauses, outages and lost answers."""

    def __init__(self, seed):
        self.source = random.Random(seed)
        self.acts: list[tuple[float, str, int]] = []

    async def run(self):
        store = fakes.FakeStore(self.source)
        store.lose_answer_rate = self.source.choice([0, 0.2])
        store.late_write_rate = self.source.choice([0, 0.1])
        gates = [fakes.Gate() for _ in range(ENTRIES)]
        entry_tasks = [
            asyncio.create_task(self.run_entry(f"e{n}", store, gate))
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
        for entry_task in entry_tasks:
            entry_task.cancel()
        await asyncio.gather(*entry_tasks, return_exceptions=True)

    async def run_entry(self, name, store, gate):
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
            await leases.renew_or_acquire(LEASE_NAME, may_acquire=True)
            for _ in range(4):
                await asyncio.sleep(leases.get_renewal_period_s() / 4)
                await gate.wait()
                fence = leases.get_fence(LEASE_NAME)
                if fence is not None:
                    self.acts.append((loop.time(), name, fence))


@pytest.mark.parametrize("start", range(0, SEEDS, 100))
def test_fences_never_decrease_and_each_has_one_holder(start):
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


def test_released_lease_is_acquired_without_waiting_for_its_term():
    async def check():
        loop = asyncio.get_running_loop()
        store = fakes.FakeStore(random.Random(1))
        first, second = (
            service.LeasesService(
                name, store, service.Settings(), random.Random(1), loop.time
            )
            for name in ("first", "second")
        )
        await first.renew_or_acquire(LEASE_NAME, may_acquire=True)
        await second.renew_or_acquire(LEASE_NAME, may_acquire=True)
        assert (first.get_fence(LEASE_NAME), second.get_fence(LEASE_NAME)) == (
            1,
            None,
        )
        await first.release(LEASE_NAME)
        await second.renew_or_acquire(LEASE_NAME, may_acquire=True)
        assert (first.get_fence(LEASE_NAME), second.get_fence(LEASE_NAME)) == (
            None,
            2,
        )

    virtual_time.run(check())


def test_holder_that_cannot_renew_stops_before_another_may_acquire():
    async def check():
        loop = asyncio.get_running_loop()
        store = fakes.FakeStore(random.Random(1))
        leases = service.LeasesService(
            "first", store, service.Settings(), random.Random(1), loop.time
        )
        await leases.renew_or_acquire(LEASE_NAME, may_acquire=True)
        store.is_down = True
        while leases.get_fence(LEASE_NAME) is not None:
            await leases.renew_or_acquire(LEASE_NAME, may_acquire=True)
            await asyncio.sleep(0.05)
        assert loop.time() < service.Settings().term_s

    virtual_time.run(check())
