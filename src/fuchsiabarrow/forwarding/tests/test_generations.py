import asyncio

import pytest

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import service
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.utils.tests import virtual_time

FIRST = fleets.make_instance(
    "first", "a", "fast", (0, 40), address="10.0.0.1:80"
)
LAST = fleets.make_instance(
    "last", "a", "fast", (40, 80), address="10.0.0.2:80"
)
SPARE_FIRST = fleets.make_instance(
    "spare-first", "b", "fast", (0, 40), address="10.0.0.3:80"
)
SPARE_LAST = fleets.make_instance(
    "spare-last", "b", "fast", (40, 80), address="10.0.0.4:80"
)
WHOLE = b"".join(fakes.make_event(n) for n in range(1, 11))


def serve(prepare, *instances, **changes):
    """Serves one stream; returns the caller and the world."""

    async def run():
        world = fakes.World(*instances)
        prepare(world)
        request = fakes.make_stream_request(**changes)
        return await world.serve(request), world

    return virtual_time.run(run())


def get_path(sent) -> list[str]:
    return [part.upstream.instance_id for part in sent[1].parts]


def test_stream_reaches_its_caller_whole():
    def prepare(world):
        world.script(FIRST.address, fakes.stream(1, 11))

    caller, world = serve(prepare, FIRST, LAST)
    assert caller.body == WHOLE
    assert caller.is_finished
    assert get_path(world.pool.sent[0]) == ["first", "last"]
    assert world.ledger.get(FIRST.key) == loads.IDLE


def test_broken_stream_goes_on_after_its_last_whole_event():
    def prepare(world):
        broken = [*fakes.stream(1, 5), b"id: 5\nda", fakes.Lost]
        world.script(FIRST.address, broken, fakes.stream(5, 11))

    caller, world = serve(prepare, FIRST, LAST)
    assert caller.body == WHOLE
    assert caller.is_finished
    assert world.pool.sent[1][3] == "4"


def test_stream_that_ends_inside_an_event_goes_on():
    def prepare(world):
        world.script(
            FIRST.address,
            [*fakes.stream(1, 5), b"id: 5\nda"],
            fakes.stream(5, 11),
        )

    caller, _ = serve(prepare, FIRST, LAST)
    assert caller.body == WHOLE


def test_stream_that_may_not_be_resumed_is_cut_and_not_sent_again():
    def prepare(world):
        world.script(FIRST.address, [*fakes.stream(1, 5), fakes.Lost])

    caller, world = serve(prepare, FIRST, LAST, is_resumable=False)
    assert caller.is_aborted
    assert not caller.is_finished
    assert len(world.pool.sent) == 1


def test_unanswered_request_that_may_run_once_is_not_called_not_run():
    def prepare(world):
        world.script(FIRST.address, [fakes.Lost])

    caller, world = serve(prepare, FIRST, LAST, is_resumable=False)
    assert len(world.pool.sent) == 1
    assert not caller.refusal.is_not_run


def test_silent_instance_is_replaced_on_the_running_stream():
    def prepare(world):
        script = [*fakes.stream(1, 5), fakes.Wait(1.0), fakes.make_event(5)]
        for number in range(6, 11):
            script.append(fakes.make_event(number))
        world.script(FIRST.address, script)
        world.control.silent.add(LAST.address)

    caller, world = serve(prepare, FIRST, LAST, SPARE_LAST)
    ((request_id, parts),) = world.control.paths
    assert request_id == "r1"
    assert [p.upstream.instance_id for p in parts] == ["first", "spare-last"]
    assert caller.body == WHOLE
    assert len(world.pool.sent) == 1


def test_instance_that_the_first_one_waits_for_is_replaced():
    def prepare(world):
        script = [*fakes.stream(1, 5), fakes.Wait(1.0), fakes.make_event(5)]
        world.script(FIRST.address, script)
        world.control.stalled[FIRST.address] = (("r1", LAST.address),)

    _, world = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert len(world.control.paths) == 1
    assert [u for u, _ in world.directory.get_avoided()] == [LAST]


def test_stream_is_sent_again_where_the_path_cannot_change():
    def prepare(world):
        world.control.accepts_paths = False
        world.control.silent.add(LAST.address)
        world.script(
            FIRST.address,
            [*fakes.stream(1, 5), fakes.Wait(30.0)],
            fakes.stream(5, 11),
        )

    caller, world = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert caller.body == WHOLE
    assert get_path(world.pool.sent[1]) == ["first", "spare-last"]


def test_silent_first_instance_is_left_for_another():
    def prepare(world):
        world.control.silent.add(FIRST.address)
        world.script(FIRST.address, [*fakes.stream(1, 5), fakes.Wait(30.0)])
        world.script(SPARE_FIRST.address, fakes.stream(5, 11))

    caller, world = serve(prepare, FIRST, LAST, SPARE_FIRST)
    assert caller.body == WHOLE
    assert world.targets == [FIRST.address, SPARE_FIRST.address]


def test_instance_that_refuses_its_part_is_left_out():
    def prepare(world):
        world.script(
            FIRST.address,
            [
                fakes.Head(421, is_not_run=True, at_fault=LAST.address),
            ],
            fakes.stream(1, 11),
        )

    caller, world = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert caller.body == WHOLE
    assert get_path(world.pool.sent[1]) == ["first", "spare-last"]


def test_dead_instance_that_a_refusal_names_is_asked_and_avoided():
    def prepare(world):
        world.script(
            FIRST.address,
            [fakes.Head(503, is_not_run=True, at_fault=LAST.address)],
            fakes.stream(1, 11, gap_s=0.05),
        )
        world.control.silent.add(LAST.address)

    _, world = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert world.directory.is_avoided(LAST)


def test_refusal_by_the_successor_at_an_address_leaves_the_old_one_out():
    def prepare(world):
        successor = fleets.make_instance(
            "successor", "a", "fast", None, address=LAST.address
        )
        world.directory.put(successor)
        world.script(
            FIRST.address,
            [fakes.Head(421, is_not_run=True, at_fault=LAST.address)],
            fakes.stream(1, 11),
        )

    caller, world = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert caller.body == WHOLE
    assert get_path(world.pool.sent[-1]) == ["first", "spare-last"]


def test_request_that_crashes_its_instances_is_given_up():
    # Each instance that begins to run it is gone afterwards.
    others = [
        fleets.make_instance(
            f"other-{n}", "a", "fast", (0, 80), address=f"10.0.1.{n}:80"
        )
        for n in range(8)
    ]

    async def run():
        world = fakes.World(*others)
        for instance in others:
            world.script(instance.address, [fakes.Wait(0.05), fakes.Lost])
            world.control.silent.add(instance.address)
        for _ in range(4):
            request = fakes.make_stream_request(body=b"poison")
            caller = await world.serve(request)
            await asyncio.sleep(10.0)
        return caller, world

    caller, world = virtual_time.run(run())
    assert len(world.targets) <= 3
    assert caller.refusal.reason is messages.RefusalReason.CRASHES_UPSTREAMS
    assert caller.refusal.is_not_run


def test_neighbour_of_a_crash_goes_on():
    def prepare(world):
        world.script(FIRST.address, [*fakes.stream(1, 5), fakes.Lost])
        world.script(SPARE_FIRST.address, fakes.stream(5, 11))
        world.control.silent.add(FIRST.address)

    caller, _ = serve(prepare, FIRST, LAST, SPARE_FIRST)
    assert caller.body == WHOLE


def test_no_path_is_refused_at_once_with_when_to_come_back():
    caller, world = serve(lambda world: None, FIRST)
    assert caller.refusal.is_not_run
    assert caller.refusal.reason is messages.RefusalReason.OVERLOADED
    assert caller.refusal.retry_after_s > 0
    assert world.pool.sent == []


def test_request_is_sent_to_no_more_instances_than_its_route_allows():
    others = [
        fleets.make_instance(
            f"other-{n}", "b", "fast", (0, 40), address=f"10.0.1.{n}:80"
        )
        for n in range(4)
    ]

    def prepare(world):
        for instance in (FIRST, *others):
            world.script(instance.address, [fakes.Head(500), b"bad"])

    _, world = serve(prepare, FIRST, LAST, *others)
    assert len(set(world.targets)) == 2


def test_failure_of_a_running_stream_never_looks_complete():
    def prepare(world):
        world.script(FIRST.address, [*fakes.stream(1, 5), fakes.Lost])

    caller, _ = serve(prepare, FIRST, LAST, last_event_id="")
    assert caller.is_aborted
    assert not caller.is_finished


@pytest.mark.parametrize("last_event_id", ["", "3"])
def test_resume_of_a_caller_is_handed_on(last_event_id):
    def prepare(world):
        world.script(FIRST.address, fakes.stream(4, 11))

    _, world = serve(prepare, FIRST, LAST, last_event_id=last_event_id)
    assert world.pool.sent[0][3] == last_event_id


THIRD = fleets.make_instance(
    "third", "a", "fast", (60, 80), address="10.0.0.5:80"
)
MIDDLE = fleets.make_instance(
    "middle", "a", "fast", (40, 60), address="10.0.0.6:80"
)


def slow_down_path_changes(world, delay_s: float) -> None:
    change_path = world.control.change_path

    async def change_late(*arguments):
        await asyncio.sleep(delay_s)
        return await change_path(*arguments)

    world.control.change_path = change_late


@pytest.mark.parametrize("end_s", [0.05, 0.15, 0.3])
def test_two_suspects_at_once_leave_no_room_booked(end_s):
    async def run():
        world = fakes.World(FIRST, MIDDLE, THIRD, SPARE_LAST)
        slow_down_path_changes(world, 0.1)
        gap_s = 0.02
        world.script(
            FIRST.address,
            [
                *fakes.stream(1, 3, gap_s),
                fakes.Wait(end_s),
                fakes.make_event(3),
            ],
        )
        task = asyncio.create_task(world.serve(fakes.make_stream_request()))
        await asyncio.sleep(2.5 * gap_s)
        used = [part.upstream for part in world.pool.sent[0][1].parts]
        for upstream in used[1:]:
            world.forwarding.note_failure(upstream, "test")
        await task
        await asyncio.sleep(1.0)
        return world, used

    world, used = virtual_time.run(run())
    assert len(used) > 1
    for instance in (FIRST, MIDDLE, THIRD, SPARE_LAST):
        assert world.ledger.get(instance.key) == loads.IDLE


def test_suspect_found_during_a_change_of_path_is_left_as_well():
    async def run():
        world = fakes.World(FIRST, LAST, SPARE_LAST, MIDDLE, THIRD)
        slow_down_path_changes(world, 0.1)
        world.script(
            FIRST.address,
            [*fakes.stream(1, 3), fakes.Wait(2.0), fakes.make_event(3)],
        )
        task = asyncio.create_task(world.serve(fakes.make_stream_request()))
        await asyncio.sleep(0.05)
        tried = {part.upstream.key for part in world.pool.sent[0][1].parts[1:]}
        gone = [
            u
            for u in (LAST, MIDDLE, THIRD, SPARE_LAST)
            if u.key in tried or u in (LAST, SPARE_LAST)
        ]
        for upstream in gone:
            world.forwarding.note_failure(upstream, "test")
            await asyncio.sleep(0.02)
        await task
        return world, gone

    world, gone = virtual_time.run(run())
    _, parts = world.control.paths[-1]
    used = {part.upstream.instance_id for part in parts}
    assert not used & {upstream.instance_id for upstream in gone}


def test_refusal_does_not_hide_an_earlier_try_at_the_same_instance():
    third_first = fleets.make_instance(
        "third-first", "c", "fast", (0, 40), address="10.0.0.7:80"
    )

    def prepare(world):
        world.script(
            FIRST.address,
            [*fakes.stream(1, 3), fakes.Lost],
            fakes.answer(status=503, is_not_run=True),
            fakes.stream(4, 11),
        )
        for instance in (SPARE_FIRST, third_first):
            world.script(
                instance.address,
                [*fakes.stream(3, 4), fakes.Lost],
                fakes.Unreachable,
            )

    caller, world = serve(prepare, FIRST, LAST, SPARE_FIRST, third_first)
    assert caller.body == WHOLE
    assert len(set(world.targets)) == 2


def test_overloaded_upstreams_that_keep_answering_are_asked_ever_less():
    """Many streams wait for busy upstreams that are well."""

    async def run():
        world = fakes.World(FIRST, LAST)
        world.script(
            FIRST.address, [fakes.Head(), fakes.Wait(8.0), fakes.make_event(1)]
        )
        await asyncio.gather(
            *(
                world.serve(fakes.make_stream_request(request_id=f"r{n}"))
                for n in range(40)
            )
        )
        return world

    world = virtual_time.run(run())
    asked = [at_s for address, at_s in world.control.asked]
    # Two upstreams, once in the longest rest each, and a few at first.
    assert len(asked) <= 2 * (8.0 / service.LONGEST_REST_S + 3)
    assert not world.directory.get_avoided()


def test_upstream_that_was_often_asked_and_dies_is_left_soon():
    async def run():
        world = fakes.World(FIRST, LAST, SPARE_FIRST)
        world.script(
            FIRST.address, [fakes.Head(), fakes.Wait(30.0), fakes.make_event(1)]
        )
        world.script(SPARE_FIRST.address, fakes.stream(1, 11))
        task = asyncio.create_task(world.serve(fakes.make_stream_request()))
        await asyncio.sleep(5.0)
        world.control.silent.add(FIRST.address)
        began_s = asyncio.get_running_loop().time()
        caller = await task
        return caller, asyncio.get_running_loop().time() - began_s

    caller, took_s = virtual_time.run(run())
    assert caller.body == WHOLE
    assert took_s < 2.2


def test_stream_that_never_begins_ends_at_its_routes_timeout_and_says_where():
    def prepare(world):
        world.script(FIRST.address, [fakes.Wait(60.0)])

    caller, _ = serve(prepare, FIRST, LAST)
    assert caller.refusal.reason is messages.RefusalReason.TIMEOUT
    assert "first=0-40,last=40-80" in caller.refusal.detail
