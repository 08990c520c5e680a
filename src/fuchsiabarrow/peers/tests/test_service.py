"""Tests of membership and gossip over real connections."""

import asyncio
import contextlib
import random

import pytest

from fuchsiabarrow.actions.tests import fakes
from fuchsiabarrow.adapters import sessions
from fuchsiabarrow.peers import members
from fuchsiabarrow.peers import service
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import loops

ENTRY_COUNT = 6
TIMEOUT_S = 20
FAST_SETTINGS = {
    "probe_period_s": 0.05,
    "suspicion_s": 0.2,
    "rejoin_period_s": 0.2,
}


class Store(fakes.FakeStore):
    """A store that also lists and deletes objects."""

    async def list(self, kind):
        if self.is_down:
            raise fakes.exceptions.StoreUnavailableError("down; retry")
        return [v for (k, _), v in self.objects.items() if k == kind]

    async def delete(self, kind, name):
        self.objects.pop((kind, name), None)


class Cluster:
    """The entries of one test, which share a store."""

    def __init__(self, stack):
        self.stack = stack
        self.store = Store(random.Random(1))
        self.services: list[service.PeersService] = []
        self.started = 0

    async def start(self, **options) -> service.PeersService:
        session = await self.stack.enter_async_context(sessions.make_session())
        number = self.started
        self.started += 1
        peers = service.PeersService(
            session,
            members.Member(f"e{number}", ""),
            self.store,
            service.Settings(**{**FAST_SETTINGS, **options}),
            random.Random(number),
        )

        async def answer(body):
            return b"answer to " + body

        peers.add_question_handler("test", answer)
        await self.stack.enter_async_context(peers)
        await peers.join("10.0.0.1:1")
        self.services.append(peers)
        return peers


async def wait_for_live(services, count):
    async with asyncio.timeout(TIMEOUT_S):
        while any(len(p.members.get_live()) != count for p in services):
            await asyncio.sleep(0.02)


def run(check, count=ENTRY_COUNT):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            cluster = Cluster(stack)
            for _ in range(count):
                await cluster.start()
            await wait_for_live(cluster.services, count)
            await check(cluster)

    loops.run(main())


def test_published_item_reaches_all_entries():
    async def check(cluster):
        received = []
        for peers in cluster.services:
            peers.add_listener("k", lambda item: received.append(item.value))
        cluster.services[0].publish("k/a", 1, b"news", 60.0)
        async with asyncio.timeout(TIMEOUT_S):
            while len(received) < ENTRY_COUNT:
                await asyncio.sleep(0.01)
        assert received == [b"news"] * ENTRY_COUNT

    run(check)


@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.005, 0.02])
def test_entries_that_start_together_discover_each_other_without_rejoin(
    delay_s,
):
    # Guards against entries that read the addresses in the store before the
    # others have written theirs, and so miss each other until they rejoin.
    async def check(cluster):
        cluster.store.delay_s = 0.01

        async def start_later(number):
            await asyncio.sleep(number * delay_s)
            return await cluster.start(rejoin_period_s=3600.0)

        services = await asyncio.gather(*(start_later(n) for n in range(4)))
        await wait_for_live(services, 4)

    run(check, count=0)


def test_all_entries_notice_one_that_died_and_one_that_left():
    async def check(cluster):
        await cluster.services[5].__aexit__(None, None, None)
        await wait_for_live(cluster.services[:5], 5)
        await cluster.services[4].leave()
        await cluster.services[4].__aexit__(None, None, None)
        await wait_for_live(cluster.services[:4], 4)

    run(check)


def test_members_split_in_a_partition_and_merge_after_it():
    async def check(cluster):
        sides = cluster.services[:3], cluster.services[3:]
        calls = [peers.client._call for peers in cluster.services]
        address_sides = {
            peers.members.own.address: number
            for number, side in enumerate(sides)
            for peers in side
        }
        for peers, call in zip(cluster.services, calls, strict=True):
            own = address_sides[peers.members.own.address]

            async def call_own_side(
                address, path, message, limit=None, call=call, own=own
            ):
                if address_sides[address] != own:
                    raise fakes.exceptions.PeerError("cut; probed again")
                return await call(address, path, message, limit)

            peers.client._call = call_own_side
        await wait_for_live(cluster.services, 3)
        for peers, call in zip(cluster.services, calls, strict=True):
            peers.client._call = call
        await wait_for_live(cluster.services, ENTRY_COUNT)
        async with asyncio.timeout(TIMEOUT_S):
            while len({p.get_table_digest() for p in cluster.services}) > 1:
                await asyncio.sleep(0.02)

    run(check)


def test_new_entry_joins_through_a_seed_while_the_store_is_down():
    async def check(cluster):
        cluster.services[0].publish("k/a", 1, b"news", 60.0)
        cluster.store.is_down = True
        seed = cluster.services[0].members.own.address
        joiner = await cluster.start(seeds=[seed])
        await wait_for_live(cluster.services, 3)
        assert joiner.get_item("k/a").value == b"news"
        assert await joiner.ask_any("test", b"x") == b"answer to x"
        assert await joiner.ask_any("unknown", b"x") is None

    run(check, count=2)


@pytest.mark.parametrize("key", ["", "wrong"])
def test_entry_with_another_key_is_rejected(key):
    async def check(cluster):
        inside = await cluster.start(key="right")
        outside = await cluster.start(key=key)
        outside.publish("k/a", 1, b"forged", 60.0)
        await asyncio.sleep(0.3)
        assert inside.get_item("k/a") is None
        assert len(inside.members.get_live()) == 1

    run(check, count=0)


def test_all_entries_agree_on_owners_and_each_owns_some_names():
    async def check(cluster):
        owners = {}
        for number in range(60):
            name = f"journal-{number}"
            found = {
                (p.find_remote_owner(name) or p.members.own).name
                for p in cluster.services
            }
            assert len(found) == 1
            owners.setdefault(found.pop(), []).append(name)
        assert len(owners) == ENTRY_COUNT

    run(check)


def test_live_entries_do_not_expire_and_dead_ones_do():
    # Guards against live entries that expire from the table after an hour, so
    # that entries which join later do not learn of them.
    async def check(cluster):
        first, second, third = cluster.services
        await third.__aexit__(None, None, None)
        await wait_for_live([first, second], 2)
        first._expire(clocks.read_wall_time_s() + 7200.0)
        assert [m.name for m in first.members.get_all()] == ["e0", "e1"]
        assert first.get_item("member/e1") is not None
        assert first.get_item("member/e2") is None

    run(check, count=3)
