"""An accepted configuration reaches all entries and never reverts."""

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
    """Runs a check on started services in virtual time."""

    async def main():
        store, services = fakes.make_services(count)
        async with contextlib.AsyncExitStack() as stack:
            for entry in services:
                await stack.enter_async_context(entry)
            await check(store, services)

    virtual_time.run(main())


async def wait_for(services, number):
    async with asyncio.timeout(LIMIT_S):
        while any(entry.head.number != number for entry in services):
            await asyncio.sleep(0.01)


def test_accepted_patch_is_in_force_on_all_entries():
    async def check(store, services):
        assert await services[0].patch(FIRST, 0, "operator") == 1
        await wait_for(services, 1)
        assert all(s.configuration.models["m"].layers == 4 for s in services)

    run(check)


def test_patch_reaches_entries_that_cannot_reach_the_store():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "operator")
        store.is_down = True
        await wait_for(services, 1)

    run(check)


def test_patch_against_another_version_is_refused_with_the_current_one():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "operator")
        with pytest.raises(exceptions.VersionMismatchError) as caught:
            await services[1].patch(SECOND, 0, "operator")
        assert caught.value.in_force == 1

    run(check)


@pytest.mark.parametrize("loses_answers", [0, 1])
def test_at_most_one_of_several_concurrent_patches_is_accepted(loses_answers):
    async def check(store, services):
        store.lose_answer_rate = 0.4 * loses_answers
        results = await asyncio.gather(
            *(
                entry.patch({"models": {f"m{n}": {"layers": 1}}}, 0, "operator")
                for n, entry in enumerate(services)
            ),
            return_exceptions=True,
        )
        store.clear_faults()
        accepted = [n for n, r in enumerate(results) if r == 1]
        refused = [r for r in results if not isinstance(r, int)]
        assert len(accepted) <= 1
        assert all(
            isinstance(r, exceptions.FuchsiabarrowError) for r in refused
        )
        if not loses_answers:
            assert len(accepted) == 1
        if accepted:
            await wait_for(services, 1)
            for entry in services:
                models = entry.configuration.models
                assert set(models) == {f"m{accepted[0]}"}

    run(check)


def test_writer_recognises_its_patch_after_lost_answer_and_later_patch():
    async def check(store, services):
        first, second, _ = services
        put = store.put

        async def lose_first_answer(kind, name, value, expected):
            await put(kind, name, value, expected)
            if kind == service.HEAD_KIND and expected == 0:
                # Another operator patches before the writer reads the head.
                await second.patch(SECOND, 1, "other-operator")
                raise exceptions.StoreOutcomeUnknownError(
                    "response lost; read the object"
                )

        store.put = lose_first_answer
        assert await first.patch(FIRST, 0, "operator") == 1
        assert first.head.number == 2

    run(check)


def test_stale_read_does_not_change_the_configuration():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "operator")
        old = store.objects[HEAD]
        await services[0].patch(SECOND, 1, "operator")
        await wait_for(services, 2)
        get = store.get

        async def get_stale(kind, name):
            stored = await get(kind, name)
            return old if (kind, name) == HEAD else stored

        store.get = get_stale
        await asyncio.sleep(5)
        assert all(entry.head.number == 2 for entry in services)
        assert services[0].alarms["reverted"] > 0

    run(check)


@pytest.mark.parametrize("is_empty", [False, True])
def test_head_in_force_is_written_back_to_a_store_restored_from_backup(
    is_empty,
):
    async def check(store, services):
        await services[0].patch(FIRST, 0, "operator")
        backup = {} if is_empty else dict(store.objects)
        await services[0].patch(SECOND, 1, "operator")
        await wait_for(services, 2)
        store.objects = backup
        await asyncio.sleep(5)
        assert all(entry.head.number == 2 for entry in services)
        assert sum(entry.alarms.get("reverted", 0) for entry in services) > 0
        _, fresh = fakes.make_services(1)
        fresh[0]._store = store
        await fresh[0].refresh()
        assert fresh[0].configuration.models["m"].layers == 8
        assert await services[1].patch(FIRST, 2, "operator") == 3

    run(check)


def test_new_entry_gets_configuration_from_peers_while_store_is_down():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "operator")
        store.is_down = True
        _, (fresh,) = fakes.make_services(1)
        fresh._store = store
        fresh._peers.connected = [services[0]._peers]
        fresh._peers.accept(services[0]._peers.get_item(service.ITEM_KEY))
        async with fresh:
            await wait_for([fresh], 1)
        assert fresh.configuration.models["m"].layers == 4

    run(check, count=1)


def test_patch_during_an_outage_is_refused_and_changes_nothing():
    async def check(store, services):
        await services[0].patch(FIRST, 0, "operator")
        store.is_down = True
        with pytest.raises(exceptions.StoreUnavailableError):
            await services[0].patch(SECOND, 1, "operator")
        store.is_down = False
        await asyncio.sleep(2)
        assert all(entry.head.number == 1 for entry in services)

    run(check)
