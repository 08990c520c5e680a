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
from fuchsiabarrow.platform.tests import fake_stores
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.platform.tests import simulated_network

STORE_IP, CLIENT_IP = "10.9.9.9", "10.0.0.1"


@contextlib.asynccontextmanager
async def open_client():
    async with (
        fake_stores.FakeStore() as store,
        aiohttp.ClientSession() as session,
    ):
        yield store, store_module.StoreClient(session, store.address, 0.3)


def test_list_of_several_pages_is_complete():
    async def run():
        async with open_client() as (store, client):
            for number in range(45):
                await store.put("servers", f"i-{number:02}", {"n": number})
            snapshot = await client.list("servers")
            return snapshot, store.revision

    snapshot, revision = asyncio.run(run())
    assert len(snapshot.objects) == 45
    assert snapshot.revision == revision


def test_watch_reports_removal():
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


def test_watch_without_changes_ends_after_wait_time():
    async def run():
        async with open_client() as (store, client):
            return await client.watch("servers", store.revision, 0.1)

    assert asyncio.run(run()).changes == ()


def test_watch_from_lost_revision_raises_history_error():
    async def run():
        async with open_client() as (store, client):
            store.has_lost_history = True
            await client.watch("servers", 1, 0.1)

    with pytest.raises(exceptions.StoreHistoryExpiredError):
        asyncio.run(run())


@pytest.mark.parametrize("status", [429, 503])
def test_refused_call_raises_unavailable_error(status):
    async def run():
        async with open_client() as (store, client):
            store.status = status
            await client.create("entries", "x", {})

    with pytest.raises(exceptions.StoreUnavailableError):
        asyncio.run(run())


def call_over_slow_link(
    call, silent_after_s: float | None = None, delay_s: float = 0.0
):
    """Returns the result and the duration of a call over 1 Mbit/s.

    The object of the store takes 1.6 s to transfer.

    Args:
        call: Coroutine function that uses a client.
        silent_after_s: Time after which the connection is silent, None for
            never.
        delay_s: Time until the store begins to answer.
    """

    async def main(network):
        loop = asyncio.get_running_loop()
        store_host = network.add_host(STORE_IP, "store")
        client_host = network.add_host(CLIENT_IP, "a")
        client_host.link_mbps = 1.0
        store = fake_stores.FakeStore(f"{STORE_IP}:80", 5.0)
        await store_host.start(store.__aenter__())
        await store.put("config", "main", {"text": "x" * 200_000})
        store.delay_s = delay_s

        async def run_client():
            async with aiohttp.ClientSession() as session:
                client = store_module.StoreClient(session, store.address, 1.0)
                began_s = loop.time()
                try:
                    return await call(client), loop.time() - began_s
                except exceptions.StoreUnavailableError as error:
                    return error, loop.time() - began_s

        if silent_after_s is not None:
            loop.call_later(
                silent_after_s,
                network.silence_connections,
                {STORE_IP},
                {CLIENT_IP},
            )
        result = await client_host.start(run_client())
        await store_host.start(store.__aexit__(None, None, None))
        return result

    return simulated_network.run(main)


# Guards against the incident CONFIG: over a slow link the answers that transfer
# a large configuration ran into a limit on the whole answer, each time.
@pytest.mark.parametrize(
    "call",
    [
        lambda client: client.list("config"),
        lambda client: client.watch("config", 1, 0.0),
    ],
    ids=["list", "watch"],
)
def test_large_answer_over_a_slow_link_is_received(call):
    result, took_s = call_over_slow_link(call)
    assert not isinstance(result, Exception)
    assert took_s > 1.5


# Each call to a store or over a link that took longer than the limit of a list
# failed in the same way, also after other calls had succeeded.
def test_list_of_a_slow_store_succeeds_after_failures():
    async def call(client):
        for _ in range(3):
            try:
                return await client.list("config")
            except exceptions.StoreUnavailableError:
                continue
        raise AssertionError("all lists failed")

    result, _ = call_over_slow_link(call, delay_s=1.5)
    assert result.objects


def test_answer_that_falls_silent_in_its_middle_is_given_up_soon():
    result, took_s = call_over_slow_link(
        lambda client: client.list("config"), silent_after_s=0.5
    )
    assert isinstance(result, exceptions.StoreUnavailableError)
    assert took_s < 1.5


def test_unanswered_write_raises_uncertain_error():
    async def run():
        async with open_client() as (store, client):
            store.is_silent = True
            await client.create("entries", "x", {})

    with pytest.raises(exceptions.StoreOutcomeUnknownError):
        asyncio.run(run())


def test_create_returns_false_for_existing_object():
    async def run():
        async with open_client() as (_, client):
            first = await client.create("entries", "x", {})
            second = await client.create("entries", "x", {})
            return first, second

    assert asyncio.run(run()) == (True, False)


class StoreMirror:
    """Watchers of both collections and the local copies that they update."""

    def __init__(self, client):
        self.directory = directory_module.Directory(time.monotonic)
        self.current_catalog = catalog_service.CurrentCatalog(
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
                lists.OUTAGE_EFFECT_S,
                watchers.CONFIRMED_WATCH_WAIT_S,
            ),
            watchers.CollectionWatcher(
                client, "config", self.current_catalog.make_sink(), source, 0.5
            ),
        ]
        self.watchers[1].share_revisions_with(self.watchers[0])

    async def wait(self, condition, limit_s: float = 5.0) -> None:
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def run_watchers():
    async with open_client() as (store, client):
        mirror = StoreMirror(client)
        async with contextlib.AsyncExitStack() as stack:
            for watcher in mirror.watchers:
                await stack.enter_async_context(watcher)
            yield store, mirror


def get_names(mirror) -> set[str]:
    return {u.instance_id for u in mirror.directory.get_all()}


def test_watchers_apply_changes():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("config", "main", sample_objects.make_config(3))
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(
                lambda: mirror.current_catalog.catalog is not None
            )
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            await store.put("config", "main", sample_objects.make_config(9))
            await mirror.wait(
                lambda: mirror.current_catalog.catalog.version == 9
            )
            await store.put(
                "servers", "x", sample_objects.make_server(state="draining")
            )
            await mirror.wait(lambda: mirror.directory.get("x").is_leaving)
            await store.remove("servers", "x")
            await mirror.wait(lambda: get_names(mirror) == set())

    asyncio.run(run())


def test_invalid_object_does_not_affect_others():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("servers", "odd", {"service": 3})
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})

    asyncio.run(run())


# A snapshot left it out, but a watch kept the last good entry in use.
def test_upstream_whose_entry_becomes_invalid_is_not_used():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            await store.put("servers", "x", {"service": 3})
            await mirror.wait(lambda: get_names(mirror) == set())
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            await store.put("servers", "x", {"service": 3})
            await store.remove("servers", "x")
            await store.put("servers", "y", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"y"})

    asyncio.run(run())


def test_older_configuration_is_ignored():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("config", "main", sample_objects.make_config(9))
            await mirror.wait(
                lambda: mirror.current_catalog.catalog is not None
            )
            await store.put("config", "main", sample_objects.make_config(3))
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            await asyncio.sleep(0.1)
            assert mirror.current_catalog.catalog.version == 9

    asyncio.run(run())


def test_configuration_age_grows_while_store_refuses_calls():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("config", "main", sample_objects.make_config(9))
            await mirror.wait(lambda: mirror.current_catalog.get_age_s() < 0.5)
            store.status = 503
            await mirror.wait(lambda: mirror.current_catalog.get_age_s() > 2.5)
            assert mirror.current_catalog.catalog.version == 9
            store.status = 0
            await mirror.wait(lambda: mirror.current_catalog.get_age_s() < 0.5)

    asyncio.run(run())


def test_one_watch_confirms_the_other_as_current():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            await asyncio.sleep(1.0)
            store.calls.clear()
            ages_s = []
            for _ in range(60):
                await asyncio.sleep(0.1)
                ages_s.append(mirror.directory.get_age_s())
            assert max(ages_s) < watchers.WATCH_WAIT_S + 0.5
            assert store.calls.count(("GET", "servers")) <= 1

    asyncio.run(run())


def test_silent_watch_is_detected_by_the_other():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("config", "main", sample_objects.make_config(3))
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            await mirror.wait(
                lambda: mirror.current_catalog.catalog is not None
            )
            await asyncio.sleep(0.5)
            store.stop_watches("servers")
            await store.remove("servers", "x")
            limit_s = watchers.WATCH_WAIT_S + 0.5
            await mirror.wait(lambda: not get_names(mirror), limit_s)

    asyncio.run(run())


def test_lost_history_leads_to_new_list():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            store.has_lost_history = True
            await store.remove("servers", "x")
            await store.put("servers", "y", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"y"})
            store.has_lost_history = False

    asyncio.run(run())


def test_upstream_removed_soon_after_outage_is_dropped_at_once():
    # The upstream was never listed as draining: its object is removed while it
    # still serves.
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            store.status = 503
            await asyncio.sleep(1.0)
            store.status = 0
            await mirror.wait(lambda: mirror.directory.get_age_s() < 0.5)
            await asyncio.sleep(lists.OUTAGE_EFFECT_S + 0.3)
            await store.remove("servers", "x")
            await mirror.wait(lambda: not get_names(mirror), 0.5)

    asyncio.run(run())


def test_upstreams_lapsed_during_outage_may_register_again():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("servers", "back", sample_objects.make_server())
            await store.put("servers", "gone", sample_objects.make_server())
            both = {"back", "gone"}
            await mirror.wait(lambda: get_names(mirror) == both)
            store.status = 503
            store.has_lost_history = True
            await asyncio.sleep(3.0)
            await store.remove("servers", "back")
            await store.remove("servers", "gone")
            store.status = 0
            await asyncio.sleep(1.0)
            store.has_lost_history = False
            assert get_names(mirror) == both
            await store.put("servers", "back", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"back"})

    asyncio.run(run())


def test_changes_after_a_restore_are_not_taken_for_old():
    # The store gives out the revisions again that the watchers have seen.
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("config", "main", sample_objects.make_config(3))
            await store.put("servers", "x", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x"})
            copied = store.copy()
            await store.put("servers", "lost", sample_objects.make_server())
            await mirror.wait(lambda: get_names(mirror) == {"x", "lost"})
            store.restore(copied)
            await store.put("servers", "new", sample_objects.make_server())
            await mirror.wait(lambda: "new" in get_names(mirror))
            # What has not been written again by then is gone.
            await mirror.wait(lambda: get_names(mirror) == {"x", "new"})

    asyncio.run(run())


def test_configuration_does_not_revert_when_the_store_is_restored():
    async def run():
        async with run_watchers() as (store, mirror):
            await store.put("config", "main", sample_objects.make_config(3))
            await mirror.wait(
                lambda: mirror.current_catalog.catalog is not None
            )
            copied = store.copy()
            await store.put("config", "main", sample_objects.make_config(9))
            await mirror.wait(
                lambda: mirror.current_catalog.catalog.version == 9
            )
            store.restore(copied)
            versions = set()
            mirror.current_catalog.add_listener(
                lambda catalog: versions.add(catalog.version)
            )
            await asyncio.sleep(3.0)
            assert mirror.current_catalog.catalog.version == 9
            await store.put("config", "main", sample_objects.make_config(9))
            await store.put("config", "main", sample_objects.make_config(12))
            await mirror.wait(
                lambda: mirror.current_catalog.catalog.version == 12
            )
            assert versions == {12}

    asyncio.run(run())


def test_restored_store_does_not_bring_back_leaving_or_removed_upstreams():
    async def run():
        async with run_watchers() as (store, mirror):
            server = sample_objects.make_server()
            for name in ("leaving", "removed", "stays"):
                await store.put("servers", name, server)
            await mirror.wait(lambda: len(get_names(mirror)) == 3)
            copied = store.copy()
            await store.put(
                "servers",
                "leaving",
                sample_objects.make_server(state="draining"),
            )
            await store.remove("servers", "removed")
            await mirror.wait(
                lambda: (
                    get_names(mirror) == {"leaving", "stays"}
                    and mirror.directory.get("leaving").is_leaving
                )
            )
            store.restore(copied)
            await store.put("servers", "other", server)
            await mirror.wait(lambda: "other" in get_names(mirror))
            assert mirror.directory.get("leaving").is_leaving
            assert "removed" not in get_names(mirror)
            # It has not gone, but had been removed by mistake.
            await store.put("servers", "removed", server)
            await mirror.wait(lambda: "removed" in get_names(mirror))
            # Having returned, it is in the list of a store restored later.
            store.restore(store.copy())
            await store.put("servers", "later", server)
            await mirror.wait(lambda: "later" in get_names(mirror))
            assert "removed" in get_names(mirror)

    asyncio.run(run())


def test_revision_of_an_earlier_era_cannot_be_watched():
    async def run():
        async with open_client() as (store, client):
            snapshot = await client.list("servers")
            store.restore(store.copy())
            with pytest.raises(exceptions.StoreRestoredError):
                await client.watch("servers", snapshot.revision, 0.1)
            assert (await client.list("servers")).is_restored
            assert not (await client.list("servers")).is_restored

    asyncio.run(run())
