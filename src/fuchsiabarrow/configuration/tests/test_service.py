"""An accepted configuration is in force everywhere and never reverts."""

import asyncio
import contextlib

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import service
from fuchsiabarrow.configuration.tests import fakes
from fuchsiabarrow.utils.tests import virtual_time

FIRST = {"models": {"m": {"layers": 4}}}
SECOND = {"models": {"m": {"layers": 8}}}
HEAD = (service.HEAD_KIND, service.HEAD_NAME)
LIMIT_S = 10.0


def run(check, count=3):
    """Runs a check on started services, on virtual time."""

    async def main():
        store, services = fakes.make_services(count)
        async with contextlib.AsyncExitStack() as stack:
            for found in services:
                await stack.enter_async_context(found)
            await check(store, services)

    virtual_time.run(main())


async def wait_for(services, number):
    async with asyncio.timeout(LIMIT_S):
        while any(found.head.number != number for found in services):
            await asyncio.sleep(0.01)


def test_accepted_patch_is_in_force_on_all_entries():
    async def check(store, services):
        assert await services[0].patch(FIRST, 0, "desk") == 1
        await wait_for(services, 1)
        assert all(s.configuration.models["m"].layers == 4 for s in services)

    run(check)


def test_patch_reaches_entries_that_cannot_reach_the_store():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "desk")
        store.is_down = True
        await wait_for(services, 1)

    run(check)


def test_patch_against_another_number_is_refused_with_the_one_in_force():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "desk")
        with pytest.raises(exceptions.VersionMismatchError) as caught:
            await services[1].patch(SECOND, 0, "desk")
        assert caught.value.in_force == 1

    run(check)


@pytest.mark.parametrize("lost", [0, 1])
def test_of_racing_patches_exactly_one_is_accepted(lost):
    async def check(store, services):
        store.lose_answer_rate = 0.4 * lost
        results = await asyncio.gather(
            *(
                found.patch({"models": {f"m{n}": {"layers": 1}}}, 0, "desk")
                for n, found in enumerate(services)
            ),
            return_exceptions=True,
        )
        store.heal()
        accepted = [n for n, r in enumerate(results) if r == 1]
        refused = [r for r in results if not isinstance(r, int)]
        assert len(accepted) <= 1
        assert all(
            isinstance(r, exceptions.FuchsiabarrowError) for r in refused
        )
        if not lost:
            assert len(accepted) == 1
        if accepted:
            await wait_for(services, 1)
            for found in services:
                models = found.configuration.models
                assert set(models) == {f"m{accepted[0]}"}

    run(check)


def test_writer_whose_answer_was_lost_finds_its_patch_below_a_later_one():
    async def check(store, services):
        first, second, _ = services
        put = store.put

        async def lose_first_answer(kind, name, value, expected):
            await put(kind, name, value, expected)
            if kind == service.HEAD_KIND and expected == 0:
                # Another operator patches before the writer reads back.
                await second.patch(SECOND, 1, "other")
                raise exceptions.StoreUncertainError("answer lost; read back")

        store.put = lose_first_answer
        assert await first.patch(FIRST, 0, "desk") == 1
        assert first.head.number == 2

    run(check)


def test_stale_read_changes_nothing():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "desk")
        old = store.objects[HEAD]
        await services[0].patch(SECOND, 1, "desk")
        await wait_for(services, 2)
        get = store.get

        async def read_stale(kind, name):
            found = await get(kind, name)
            return old if (kind, name) == HEAD else found

        store.get = read_stale
        await asyncio.sleep(5)
        assert all(found.head.number == 2 for found in services)
        assert services[0].alarms["reverted"] > 0

    run(check)


@pytest.mark.parametrize("is_empty", [False, True])
def test_store_restored_from_a_copy_gets_the_head_in_force_back(is_empty):
    async def check(store, services):
        await services[0].patch(FIRST, 0, "desk")
        copy = {} if is_empty else dict(store.objects)
        await services[0].patch(SECOND, 1, "desk")
        await wait_for(services, 2)
        store.objects = copy
        await asyncio.sleep(5)
        assert all(found.head.number == 2 for found in services)
        assert sum(found.alarms.get("reverted", 0) for found in services) > 0
        _, fresh = fakes.make_services(1)
        fresh[0]._store = store
        await fresh[0].refresh()
        assert fresh[0].configuration.models["m"].layers == 8
        assert await services[1].patch(FIRST, 2, "desk") == 3

    run(check)


def test_new_entry_starts_from_its_peers_while_the_store_is_down():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "desk")
        store.is_down = True
        _, (fresh,) = fakes.make_services(1)
        fresh._store = store
        fresh._peers.linked = [services[0]._peers]
        fresh._peers.accept(services[0]._peers.get_item(service.ITEM_KEY))
        async with fresh:
            await wait_for([fresh], 1)
        assert fresh.configuration.models["m"].layers == 4

    run(check, count=1)


def test_patch_during_an_outage_is_refused_and_changes_nothing():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "desk")
        store.is_down = True
        with pytest.raises(exceptions.StoreUnavailableError):
            await services[0].patch(SECOND, 1, "desk")
        store.is_down = False
        await asyncio.sleep(2)
        assert all(found.head.number == 1 for found in services)

    run(check)
