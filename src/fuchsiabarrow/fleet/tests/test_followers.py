"""Followers of a collection that changes all the time, on virtual time."""

import asyncio
import itertools
import random

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import followers
from fuchsiabarrow.ports import collections
from fuchsiabarrow.ports import objects
from fuchsiabarrow.utils.tests import virtual_time

CHANGE_PERIOD_S = 0.05


class BusyStore:
    """One object that changes twenty times a second."""

    def __init__(self):
        self.calls = 0

    def get_revision(self) -> int:
        return int(asyncio.get_running_loop().time() / CHANGE_PERIOD_S)

    async def list(self, kind):
        self.calls += 1
        return collections.Snapshot((), self.get_revision())

    async def watch(self, kind, revision, wait_s):
        self.calls += 1
        while (found := self.get_revision()) <= revision:
            await asyncio.sleep(0.01)
        change = collections.Change(objects.Stored("one", found, b""), False)
        return collections.Changes((change,), found)


class DownStore(BusyStore):
    async def list(self, kind):
        self.calls += 1
        raise exceptions.StoreUnavailableError("down")


def follow(entry_count: int, duration_s: float, store: BusyStore):
    async def run():
        loop = asyncio.get_running_loop()
        taken_s = []

        def take_change(change, is_settling):
            taken_s.append(loop.time())

        sink = followers.Sink(lambda *_: None, take_change, lambda _: None)
        async with followers.Follower(
            store,
            "list",
            sink,
            random.Random(1),
            1.0,
            count_entries=lambda: entry_count,
        ):
            await asyncio.sleep(duration_s)
        return store.calls, taken_s

    return virtual_time.run(run())


@pytest.mark.parametrize("entry_count", [1, 9, 70, 400])
def test_all_entries_together_ask_a_busy_store_a_bounded_number_of_times(
    entry_count,
):
    calls, _ = follow(entry_count, 20.0, BusyStore())
    most = followers.GATHERED_CALLS_PER_S
    if entry_count / most > followers.LONGEST_GATHER_S:
        most = entry_count / followers.LONGEST_GATHER_S
    assert calls / 20.0 * entry_count <= most * 1.1


@pytest.mark.parametrize(("entry_count", "most_s"), [(9, 0.3), (400, 1.2)])
def test_changes_are_known_soon_however_many_entries_ask(entry_count, most_s):
    _, taken_s = follow(entry_count, 20.0, BusyStore())
    assert len(taken_s) > 10
    assert max(b - a for a, b in itertools.pairwise(taken_s)) <= most_s


@pytest.mark.parametrize(("entry_count", "most"), [(9, 60.0), (70, 130.0)])
def test_store_that_is_down_is_asked_a_bounded_number_of_times(
    entry_count, most
):
    calls, _ = follow(entry_count, 20.0, DownStore())
    assert calls / 20.0 * entry_count <= most
