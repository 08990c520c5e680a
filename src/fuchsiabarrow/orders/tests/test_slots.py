"""Tests the fleet-wide limit on concurrent loads."""

import asyncio
import random

from fuchsiabarrow.actions.tests import fakes
from fuchsiabarrow.leases import service
from fuchsiabarrow.orders import slots
from fuchsiabarrow.utils.tests import virtual_time

COUNT = 2


def make_pool(name, store):
    loop = asyncio.get_running_loop()
    leases = service.LeasesService(
        name, store, service.Settings(), random.Random(1), loop.time
    )
    return slots.SlotPool(leases, COUNT)


def test_entries_share_slots_and_released_slots_are_available_at_once():
    async def check():
        store = fakes.FakeStore(random.Random(1))
        first, second = make_pool("first", store), make_pool("second", store)
        assert await first.take("a")
        assert await second.take("b")
        assert not await first.take("c")
        assert await first.take("a")
        await first.release_idle(loading=set(), polled={"b", "c"})
        assert not await second.take("c")
        await first.release_idle(loading={"a"}, polled={"a"})
        assert not await second.take("c")
        await first.release_idle(loading=set(), polled={"a"})
        assert await second.take("c")

    virtual_time.run(check())


def test_slots_of_a_dead_entry_are_free_after_the_lease_term():
    async def check():
        store = fakes.FakeStore(random.Random(1))
        first, second = make_pool("first", store), make_pool("second", store)
        assert await first.take("a")
        assert await first.take("b")
        taken = []
        for _ in range(100):
            taken.append(await second.take("c"))
            await second.renew()
            await asyncio.sleep(0.1)
        term_s = service.Settings().term_s
        assert 1.0 * term_s < 0.1 * taken.index(True) < 2.0 * term_s

    virtual_time.run(check())


def test_slots_in_use_are_held_while_they_are_renewed():
    async def check():
        store = fakes.FakeStore(random.Random(1))
        first, second = make_pool("first", store), make_pool("second", store)
        assert await first.take("a")
        assert await first.take("b")
        for _ in range(100):
            await first.renew()
            assert not await second.take("c")
            await asyncio.sleep(0.5)

    virtual_time.run(check())
