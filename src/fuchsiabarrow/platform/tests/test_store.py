import asyncio
import contextlib
import random
import time

import aiohttp
import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import lists
from fuchsiabarrow.fleet import watchers
from fuchsiabarrow.platform import store as store_module
from fuchsiabarrow.platform import wire
from fuchsiabarrow.platform.tests import objects_for_tests as made
from fuchsiabarrow.platform.tests import stores


@contextlib.asynccontextmanager
async def open_client():
    async with stores.Store() as store, aiohttp.ClientSession() as session:
        yield store, store_module.StoreClient(session, store.address, 0.3)


def test_long_list_comes_whole():
    async def run():
        async with open_client() as (store, client):
            for number in range(45):
                await store.put("servers", f"i-{number:02}", {"n": number})
            snapshot = await client.list("servers")
            return snapshot, store.revision

    snapshot, revision = asyncio.run(run())
    assert len(snapshot.objects) == 45
    assert snapshot.revision == revision


def test_watch_tells_changes_and_removals():
    async def run():
        async with open_client() as (store, client):
            await store.put("servers", "x", {"n": 1})
            snapshot = await client.list("servers")
            watching = asyncio.create_task(
                client.watch("servers", snapshot.revision, 2.0)
            )
            await asyncio.sleep(0.05)
            await store.remove("servers", "x")
            return await watching

    changes = asyncio.run(run())
    assert [c.is_removed for c in changes.changes] == [True]


def test_watch_without_changes_ends_after_its_wait():
    async def run():
        async with open_client() as (store, client):
            return await client.watch("servers", store.revision, 0.1)

    assert asyncio.run(run()).changes == ()


def test_forgotten_history_asks_for_a_list():
    async def run():
        async with open_client() as (store, client):
            store.forgets_history = True
            await client.watch("servers", 1, 0.1)

    with pytest.raises(exceptions.StoreHistoryError):
        asyncio.run(run())


@pytest.mark.parametrize("status", [429, 503])
def test_refused_call_had_no_effect(status):
    async def run():
        async with open_client() as (store, client):
            store.status = status
            await client.create("entries", "x", {})

    with pytest.raises(exceptions.StoreUnavailableError):
        asyncio.run(run())


def test_unanswered_write_may_have_had_an_effect():
    async def run():
        async with open_client() as (store, client):
            store.is_silent = True
            await client.create("entries", "x", {})

    with pytest.raises(exceptions.StoreUncertainError):
        asyncio.run(run())


def test_create_tells_whether_the_object_existed():
    async def run():
        async with open_client() as (_, client):
            first = await client.create("entries", "x", {})
            second = await client.create("entries", "x", {})
            return first, second

    assert asyncio.run(run()) == (True, False)


class Knowledge:
    """What followers of both collections know."""

    def __init__(self, client):
        self.directory = directory_module.Directory(time.monotonic)
        self.keeper = catalog_service.CurrentCatalog(
            wire.decode_catalog, "main", time.monotonic
        )
        listing = lists.UpstreamListUpdater(
            self.directory, wire.decode_upstream
        )
        source = random.Random(1)
        self.watchers = [
            watchers.CollectionWatcher(
                client,
                "servers",
                listing.make_sink(),
                source,
                lists.OUTAGE_SETTLE_S,
                watchers.CONFIRMED_WATCH_WAIT_S,
            ),
            watchers.CollectionWatcher(
                client, "config", self.keeper.make_sink(), source, 0.5
            ),
        ]
        self.watchers[1].share_revisions_with(self.watchers[0])

    async def wait(self, condition, limit_s: float = 5.0) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def follow():
    async with open_client() as (store, client):
        knowledge = Knowledge(client)
        async with contextlib.AsyncExitStack() as stack:
            for watcher in knowledge.watchers:
                await stack.enter_async_context(watcher)
            yield store, knowledge


def get_names(knowledge) -> set[str]:
    return {u.instance_id for u in knowledge.directory.get_all()}


def test_changes_are_known_at_once():
    async def run():
        async with follow() as (store, knowledge):
            await store.put("config", "main", made.make_config(3))
            await store.put("servers", "x", made.make_server())
            await knowledge.wait(lambda: knowledge.keeper.catalog is not None)
            await knowledge.wait(lambda: get_names(knowledge) == {"x"})
            await store.put("config", "main", made.make_config(9))
            await knowledge.wait(lambda: knowledge.keeper.catalog.version == 9)
            await store.put("servers", "x", made.make_server(state="draining"))
            await knowledge.wait(
                lambda: knowledge.directory.get("x").is_leaving
            )
            await store.remove("servers", "x")
            await knowledge.wait(lambda: get_names(knowledge) == set())

    asyncio.run(run())


def test_entry_of_another_writer_leaves_the_others_in_use():
    async def run():
        async with follow() as (store, knowledge):
            await store.put("servers", "odd", {"service": 3})
            await store.put("servers", "x", made.make_server())
            await knowledge.wait(lambda: get_names(knowledge) == {"x"})

    asyncio.run(run())


def test_older_configuration_never_comes_back():
    async def run():
        async with follow() as (store, knowledge):
            await store.put("config", "main", made.make_config(9))
            await knowledge.wait(lambda: knowledge.keeper.catalog is not None)
            await store.put("config", "main", made.make_config(3))
            await store.put("servers", "x", made.make_server())
            await knowledge.wait(lambda: get_names(knowledge) == {"x"})
            await asyncio.sleep(0.1)
            assert knowledge.keeper.catalog.version == 9

    asyncio.run(run())


def test_what_is_known_grows_old_while_the_store_refuses():
    async def run():
        async with follow() as (store, knowledge):
            await store.put("config", "main", made.make_config(9))
            await knowledge.wait(lambda: knowledge.keeper.get_age_s() < 0.5)
            store.status = 503
            await knowledge.wait(lambda: knowledge.keeper.get_age_s() > 2.5)
            assert knowledge.keeper.catalog.version == 9
            store.status = 0
            await knowledge.wait(lambda: knowledge.keeper.get_age_s() < 0.5)

    asyncio.run(run())


def test_one_watch_vouches_for_the_other():
    async def run():
        async with follow() as (store, knowledge):
            await store.put("servers", "x", made.make_server())
            await knowledge.wait(lambda: get_names(knowledge) == {"x"})
            await asyncio.sleep(1.0)
            store.calls.clear()
            ages_s = []
            for _ in range(60):
                await asyncio.sleep(0.1)
                ages_s.append(knowledge.directory.get_age_s())
            assert max(ages_s) < watchers.WATCH_WAIT_S + 0.5
            assert store.calls.count(("GET", "servers")) <= 1

    asyncio.run(run())


def test_silent_watch_is_found_by_the_other():
    async def run():
        async with follow() as (store, knowledge):
            await store.put("config", "main", made.make_config(3))
            await store.put("servers", "x", made.make_server())
            await knowledge.wait(lambda: get_names(knowledge) == {"x"})
            await knowledge.wait(lambda: knowledge.keeper.catalog is not None)
            await asyncio.sleep(0.5)
            store.mute("servers")
            await store.remove("servers", "x")
            limit_s = watchers.WATCH_WAIT_S + 0.5
            await knowledge.wait(lambda: not get_names(knowledge), limit_s)

    asyncio.run(run())


def test_history_gone_leads_to_a_new_list():
    async def run():
        async with follow() as (store, knowledge):
            await store.put("servers", "x", made.make_server())
            await knowledge.wait(lambda: get_names(knowledge) == {"x"})
            store.forgets_history = True
            await store.remove("servers", "x")
            await store.put("servers", "y", made.make_server())
            await knowledge.wait(lambda: get_names(knowledge) == {"y"})
            store.forgets_history = False

    asyncio.run(run())


def test_upstream_that_leaves_soon_after_an_outage_is_gone_at_once():
    # Without a word of leaving: its entry is removed while it still serves.
    async def run():
        async with follow() as (store, knowledge):
            await store.put("servers", "x", made.make_server())
            await knowledge.wait(lambda: get_names(knowledge) == {"x"})
            store.status = 503
            await asyncio.sleep(1.0)
            store.status = 0
            await knowledge.wait(lambda: knowledge.directory.get_age_s() < 0.5)
            await asyncio.sleep(lists.OUTAGE_SETTLE_S + 0.3)
            await store.remove("servers", "x")
            await knowledge.wait(lambda: not get_names(knowledge), 0.5)

    asyncio.run(run())


def test_upstreams_that_lapsed_in_an_outage_have_time_to_come_back():
    async def run():
        async with follow() as (store, knowledge):
            await store.put("servers", "back", made.make_server())
            await store.put("servers", "gone", made.make_server())
            both = {"back", "gone"}
            await knowledge.wait(lambda: get_names(knowledge) == both)
            store.status = 503
            store.forgets_history = True
            await asyncio.sleep(3.0)
            await store.remove("servers", "back")
            await store.remove("servers", "gone")
            store.status = 0
            await asyncio.sleep(1.0)
            store.forgets_history = False
            assert get_names(knowledge) == both
            await store.put("servers", "back", made.make_server())
            await knowledge.wait(lambda: get_names(knowledge) == {"back"})

    asyncio.run(run())
