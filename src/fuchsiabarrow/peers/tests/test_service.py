"""Entries keep each other's membership and news over real connections."""

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

COUNT = 6
LIMIT_S = 20
FAST = {"probe_period_s": 0.05, "suspicion_s": 0.2, "rejoin_period_s": 0.2}


class Store(fakes.FakeStore):
    """A store that lists the entries."""

    async def list(self, kind):
        if self.is_down:
            raise fakes.exceptions.StoreUnavailableError("down; retry")
        return [v for (k, _), v in self.objects.items() if k == kind]

    async def delete(self, kind, name):
        self.objects.pop((kind, name), None)


class Group:
    """Entries of a test."""

    def __init__(self, stack):
        self.stack = stack
        self.store = Store(random.Random(1))
        self.found: list[service.PeersService] = []
        self.started = 0

    async def start(self, **options) -> service.PeersService:
        session = await self.stack.enter_async_context(sessions.make_session())
        number = self.started
        self.started += 1
        peers = service.PeersService(
            session,
            members.Member(f"e{number}", ""),
            self.store,
            service.Settings(**{**FAST, **options}),
            random.Random(number),
        )

        async def answer(body):
            return b"answer to " + body

        peers.add_answer("test", answer)
        await self.stack.enter_async_context(peers)
        await peers.join("10.0.0.1:1")
        self.found.append(peers)
        return peers


async def wait_for_live(found, count):
    async with asyncio.timeout(LIMIT_S):
        while any(len(p.members.get_live()) != count for p in found):
            await asyncio.sleep(0.02)


def run(check, count=COUNT):
    async def main():
        async with contextlib.AsyncExitStack() as stack:
            group = Group(stack)
            for _ in range(count):
                await group.start()
            await wait_for_live(group.found, count)
            await check(group)

    loops.run(main())


def test_news_reach_all_entries():
    async def check(group):
        heard = []
        for peers in group.found:
            peers.add_listener("k", lambda item: heard.append(item.value))
        group.found[0].publish("k/a", 1, b"news", 60.0)
        async with asyncio.timeout(LIMIT_S):
            while len(heard) < COUNT:
                await asyncio.sleep(0.01)
        assert heard == [b"news"] * COUNT

    run(check)


@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.005, 0.02])
def test_entries_that_start_at_once_know_each_other_at_once(delay_s):
    # Guards against entries that read the store before the others had written.
    async def check(group):
        group.store.delay_s = 0.01

        async def start_later(number):
            await asyncio.sleep(number * delay_s)
            return await group.start(rejoin_period_s=3600.0)

        found = await asyncio.gather(*(start_later(n) for n in range(4)))
        await wait_for_live(found, 4)

    run(check, count=0)


def test_entry_that_died_is_known_to_all_and_one_that_left_at_once():
    async def check(group):
        await group.found[5].__aexit__(None, None, None)
        await wait_for_live(group.found[:5], 5)
        await group.found[4].leave()
        await group.found[4].__aexit__(None, None, None)
        await wait_for_live(group.found[:4], 4)

    run(check)


def test_partition_leaves_each_side_its_own_members_and_heals():
    async def check(group):
        sides = group.found[:3], group.found[3:]
        calls = [peers.client._call for peers in group.found]
        address_sides = {
            peers.members.own.address: number
            for number, side in enumerate(sides)
            for peers in side
        }
        for peers, call in zip(group.found, calls, strict=True):
            own = address_sides[peers.members.own.address]

            async def cut(
                address, path, message, limit=None, call=call, own=own
            ):
                if address_sides[address] != own:
                    raise fakes.exceptions.PeerError("cut; probed again")
                return await call(address, path, message, limit)

            peers.client._call = cut
        await wait_for_live(group.found, 3)
        for peers, call in zip(group.found, calls, strict=True):
            peers.client._call = call
        await wait_for_live(group.found, COUNT)
        async with asyncio.timeout(LIMIT_S):
            while len({p.get_table_digest() for p in group.found}) > 1:
                await asyncio.sleep(0.02)

    run(check)


def test_new_entry_joins_by_a_seed_while_the_store_is_down():
    async def check(group):
        group.found[0].publish("k/a", 1, b"news", 60.0)
        group.store.is_down = True
        seed = group.found[0].members.own.address
        fresh = await group.start(seeds=[seed])
        await wait_for_live(group.found, 3)
        assert fresh.get_item("k/a").value == b"news"
        assert await fresh.ask_some("test", b"x") == b"answer to x"
        assert await fresh.ask_some("unknown", b"x") is None

    run(check, count=2)


@pytest.mark.parametrize("key", ["", "wrong"])
def test_entry_with_another_key_is_not_let_in(key):
    async def check(group):
        inside = await group.start(key="right")
        outside = await group.start(key=key)
        outside.publish("k/a", 1, b"forged", 60.0)
        await asyncio.sleep(0.3)
        assert inside.get_item("k/a") is None
        assert len(inside.members.get_live()) == 1

    run(check, count=0)


def test_all_entries_find_the_same_owner_and_names_are_spread():
    async def check(group):
        owners = {}
        for number in range(60):
            name = f"journal-{number}"
            found = {
                (p.find_owner(name) or p.members.own).name for p in group.found
            }
            assert len(found) == 1
            owners.setdefault(found.pop(), []).append(name)
        assert len(owners) == COUNT

    run(check)


def test_live_entries_are_remembered_for_ever_and_dead_ones_for_a_while():
    # Guards against live entries being unknown to those that join an hour on.
    async def check(group):
        first, second, third = group.found
        await third.__aexit__(None, None, None)
        await wait_for_live([first, second], 2)
        first._expire(clocks.read_wall_time_s() + 7200.0)
        assert [m.name for m in first.members.get_all()] == ["e0", "e1"]
        assert first.get_item("member/e1") is not None
        assert first.get_item("member/e2") is None

    run(check, count=3)
