"""Tests of waiting requests under single failures, on virtual time."""

import asyncio
import random

import pytest

from fuchsiabarrow.scheduling import admission
from fuchsiabarrow.scheduling import room
from fuchsiabarrow.scheduling import waiting
from fuchsiabarrow.scheduling.tests import test_room
from fuchsiabarrow.utils.tests import virtual_time

BOUND_S = 0.125
SLACK_S = 1e-6


class Memory:
    """Memory of a service, and the requests that wait for it."""

    def __init__(self, free=0.0, used=10_000.0):
        self.free = free
        self.used = used
        self.is_broken = False
        self.admission = admission.Admission(
            self.read_capacity, random.Random(1)
        )
        self.started: list[str] = []
        self.undone: list[str] = []
        self.searches = 0
        self.positions: list[float] = []

    def read_capacity(self) -> room.Capacity:
        if self.is_broken:
            raise RuntimeError("no estimate")
        return room.Capacity(self.free, self.used)

    def release(self, tokens: float) -> None:
        self.free += tokens
        self.used -= tokens
        self.admission.notify_released()

    def request(self, name: str, size=100.0, **changes) -> asyncio.Task:
        now_s = asyncio.get_running_loop().time()
        ticket = test_room.make_ticket(
            request_id=name, size_tokens=size, arrived_s=now_s, **changes
        )

        def try_start(position: float) -> str | None:
            self.searches += 1
            self.positions.append(position)
            if self.free < size:
                return None
            self.free -= size
            self.used += size
            self.started.append(name)
            return name

        def undo(path: str) -> None:
            self.free += size
            self.used -= size
            self.undone.append(path)

        return asyncio.create_task(
            self.admission.wait_for_turn(ticket, try_start, undo)
        )


def get_time_s() -> float:
    return asyncio.get_running_loop().time()


def test_nobody_waits_while_there_is_memory():
    """With sufficient capacity a request must cost one search."""

    async def main():
        memory = Memory(free=1000.0)
        turn = await memory.request("a")
        assert turn.path == "a"
        assert turn.waited_s == 0.0
        assert memory.searches == 1
        assert get_time_s() == 0.0

    virtual_time.run(main())


def test_released_memory_goes_to_the_strongest_claim():
    """Those that returned come before new ones, urgent ones before both."""

    async def main():
        memory = Memory()
        tasks = [
            memory.request("new", rank=1, objective_s=1.0),
            memory.request("returned", rank=1, objective_s=1.0, elapsed_s=0.4),
            memory.request("urgent", rank=0),
        ]
        await asyncio.sleep(0.05)
        for _ in tasks:
            memory.release(100.0)
            await asyncio.sleep(0.001)
        turns = [await task for task in tasks]
        assert memory.started == ["urgent", "returned", "new"]
        assert {turn.decision.outcome for turn in turns} == {room.Outcome.START}
        assert all(0.05 <= turn.waited_s < 0.06 for turn in turns)

    virtual_time.run(main())


def test_new_requests_do_not_pass_a_stronger_claim():
    """Memory that has just become free belongs to the one that waits."""

    async def main():
        memory = Memory()
        waits = memory.request("waits", rank=0)
        await asyncio.sleep(0.01)
        memory.free = 100.0
        late = memory.request("late", rank=1)
        assert (await waits).path == "waits"
        assert (await late).path is None

    virtual_time.run(main())


def test_memory_that_nobody_announces_is_found():
    """Memory released through other entries must be found within 20 ms."""

    async def main():
        memory = Memory()
        task = memory.request("a")
        await asyncio.sleep(0.03)
        memory.free = 100.0
        turn = await task
        assert turn.path == "a"
        assert turn.waited_s <= 0.05 + SLACK_S

    virtual_time.run(main())


def test_wait_ends_at_its_bound():
    """No request may be held beyond a quarter of its objective."""

    async def main():
        memory = Memory()
        turn = await memory.request("a")
        assert turn.path is None
        assert turn.decision.outcome is room.Outcome.REFUSE
        assert 0.3 <= turn.decision.retry_after_s <= 5.0
        assert get_time_s() == pytest.approx(BOUND_S)
        assert not memory.admission.get_waiting()

    virtual_time.run(main())


def test_large_request_gets_what_becomes_free():
    """Smaller ones must not take each bit that becomes free before it."""

    async def main():
        memory = Memory()
        large = memory.request("large", size=500.0)
        await asyncio.sleep(0)
        small = [memory.request(f"small {i}", size=50.0) for i in range(8)]
        for _ in range(10):
            memory.release(50.0)
            await asyncio.sleep(0.01)
        assert (await large).path == "large"
        assert memory.started[0] == "large"
        for task in small:
            await task
        assert get_time_s() <= BOUND_S + SLACK_S

    virtual_time.run(main())


def test_starved_rank_gets_its_turn():
    """Urgent requests for all memory must not starve less urgent ones."""

    async def main():
        memory = Memory()
        tasks = {0: [], 2: []}
        for i in range(2000):
            await asyncio.sleep(0.005)
            tasks[0].append(memory.request(f"u{i}", rank=0))
            if i % 4 == 0:
                tasks[2].append(memory.request(f"l{i}", rank=2, position=1.0))
            if i % 2 == 0:
                memory.release(100.0)
        served = {
            rank: [(await task).path is not None for task in tasks[rank]]
            for rank in tasks
        }
        # Memory for 1000 of 2500 requests.
        assert sum(served[0] + served[2]) >= 990
        urgent = sum(served[0]) / 2000
        assert sum(served[2]) / 500 >= 0.25 * 1000 / 2500
        assert sum(served[2]) / 500 <= urgent
        # The limit on the memory of its rank does not apply to it then.
        assert 0.0 in memory.positions

    virtual_time.run(main())


@pytest.mark.parametrize("is_search_due", [False, True])
def test_caller_leaves_while_its_request_waits(is_search_due):
    """A request that is gone must leave the queue and take no memory.

    If a search is due, it runs before the cancelled task.
    """

    async def main():
        memory = Memory()
        gone, stays = memory.request("gone"), memory.request("stays")
        await asyncio.sleep(0.01)
        if is_search_due:
            memory.release(100.0)
            gone.cancel()
        else:
            gone.cancel()
            memory.release(100.0)
        assert (await stays).path == "stays"
        assert memory.started == ["stays"]
        assert gone.cancelled()

    virtual_time.run(main())


def test_caller_leaves_just_after_memory_was_reserved():
    """The reservation of a caller that leaves meanwhile must not leak."""

    async def main():
        memory = Memory()
        task = memory.request("gone")
        await asyncio.sleep(0.01)
        memory.release(100.0)
        # The search runs first, then this; the waiting task has not run yet.
        asyncio.get_running_loop().call_soon(task.cancel)
        with pytest.raises(asyncio.CancelledError):
            await task
        assert memory.started == memory.undone == ["gone"]
        assert memory.free == 100.0

    virtual_time.run(main())


def test_entry_stops_while_requests_wait():
    """All that wait must be refused at once, and none may wait afterwards."""

    async def main():
        memory = Memory()
        tasks = [memory.request(str(i)) for i in range(5)]
        await asyncio.sleep(0.01)
        memory.admission.stop()
        for task in tasks:
            assert (await task).path is None
        assert (await memory.request("late")).path is None
        assert get_time_s() == pytest.approx(0.01)
        memory.free = 100.0
        assert (await memory.request("room")).path == "room"

    virtual_time.run(main())


def test_configuration_changes_ranks_while_requests_wait():
    """A waiting request keeps its rank; its bound holds all the same."""

    async def main():
        memory = Memory()
        old = memory.request("old", rank=0, organisation="removed")
        await asyncio.sleep(0.01)
        # In the new version, the organisation's requests have rank 3.
        new = memory.request("new", rank=3, organisation="removed")
        other = memory.request("other", rank=1)
        memory.release(100.0)
        assert (await old).path == "old"
        assert (await new).path is None
        assert (await other).path is None
        assert get_time_s() <= 0.01 + BOUND_S + SLACK_S

    virtual_time.run(main())


def test_search_of_a_removed_service_fails():
    """An error in one search must reach its caller, and nobody else."""

    async def main():
        memory = Memory()
        ticket = test_room.make_ticket(arrived_s=0.0)
        calls = []

        def try_start(position):
            calls.append(position)
            if len(calls) > 1:
                raise KeyError("service")

        failing = asyncio.create_task(
            memory.admission.wait_for_turn(ticket, try_start, lambda _: None)
        )
        await asyncio.sleep(0)
        sound = memory.request("sound")
        memory.release(100.0)
        with pytest.raises(KeyError):
            await failing
        assert (await sound).path == "sound"

    virtual_time.run(main())


def test_instances_crash_while_requests_wait():
    """Nothing will be released any more: waiting on would be of no use."""

    async def main():
        memory = Memory()
        tasks = [memory.request(str(i)) for i in range(5)]
        await asyncio.sleep(0.03)
        memory.used = 0.0
        turns = [await task for task in tasks]
        assert get_time_s() <= 0.03 + admission.POLL_S + SLACK_S
        assert all(turn.path is None for turn in turns)
        assert all(turn.decision.retry_after_s > 3.0 for turn in turns)
        # New ones are refused at once, until there is memory again.
        before_s = get_time_s()
        assert (await memory.request("late")).path is None
        assert get_time_s() == before_s
        memory.free = 100.0
        assert (await memory.request("recovered")).path == "recovered"

    virtual_time.run(main())


def test_queue_that_is_full():
    """The weakest of too many is refused at once, not held."""

    async def main():
        memory = Memory(used=1e9)
        tasks = [
            memory.request(str(i), rank=1) for i in range(waiting.MAX_WAITING)
        ]
        await asyncio.sleep(0.01)
        urgent = memory.request("urgent", rank=0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert [t.done() for t in tasks].count(True) == 1
        assert memory.admission.get_waiting() == waiting.MAX_WAITING
        memory.release(100.0)
        assert (await urgent).path == "urgent"
        assert memory.admission.get_wanted_tokens() == 6300.0
        for task in tasks:
            await task
        assert get_time_s() == pytest.approx(BOUND_S)

    virtual_time.run(main())


@pytest.mark.parametrize("is_stopped", [False, True])
def test_estimate_that_fails_ends_the_waits(is_stopped):
    """Requests waited on, beyond their bounds, as no timer was set any more."""

    async def main():
        memory = Memory()
        tasks = [memory.request(f"r{n}") for n in range(3)]
        await asyncio.sleep(0)
        memory.is_broken = True
        if is_stopped:
            memory.admission.stop()
        await asyncio.wait(tasks)
        assert get_time_s() <= BOUND_S + SLACK_S
        for task in tasks:
            assert isinstance(task.exception(), RuntimeError)
        assert not memory.admission.get_waiting()
        assert not memory.admission.get_wanted_tokens()

    virtual_time.run(main())


def test_estimate_that_fails_leaves_no_path_reserved():
    """The path of a more urgent request than those that wait was lost."""

    async def main():
        memory = Memory()
        waiting_task = memory.request("waiting", rank=2, position=1.0)
        await asyncio.sleep(0.005)
        memory.free = 100.0
        memory.is_broken = True
        urgent = memory.request("urgent")
        await asyncio.wait({waiting_task, urgent})
        assert urgent.exception() is not None
        assert memory.free == 100.0

    virtual_time.run(main())


class _StillLoop(virtual_time.VirtualLoop):
    """Event loop whose clock stands still, so that no timer ends."""

    def time(self) -> float:
        return 5.0


def test_clock_stands_still_while_requests_wait():
    """Released memory and a stop must end waits without the clock."""

    async def main():
        memory = Memory()
        served, refused = memory.request("served"), memory.request("refused")
        for _ in range(20):
            await asyncio.sleep(0)
        searches = memory.searches
        for _ in range(100):
            await asyncio.sleep(0)
        # Timers that never end must not turn into a busy loop.
        assert memory.searches == searches
        memory.release(100.0)
        assert (await served).path == "served"
        memory.admission.stop()
        assert (await refused).path is None

    loop = _StillLoop()
    try:
        loop.run_until_complete(main())
    finally:
        loop.close()
