"""No more loads are ordered at once than the weight store takes."""

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


def test_entries_share_the_slots_and_free_ones_are_taken_at_once():
    async def check():
        store = fakes.FakeStore(random.Random(1))
        first, second = make_pool("first", store), make_pool("second", store)
        assert await first.take("a")
        assert await second.take("b")
        assert not await first.take("c")
        assert await first.take("a")
        await first.release_ended(loading=set(), known={"b", "c"})
        assert not await second.take("c")
        await first.release_ended(loading={"a"}, known={"a"})
        assert not await second.take("c")
        await first.release_ended(loading=set(), known={"a"})
        assert await second.take("c")

    virtual_time.run(check())


def test_slots_of_an_entry_that_died_are_free_after_their_term():
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


def test_slots_in_use_stay_held_while_they_are_renewed():
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
