import pytest

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.utils.tests import virtual_time

ONCE = documents.RequestKind.ONCE
IDEMPOTENT = documents.RequestKind.IDEMPOTENT
NEAR = fleets.make_instance(
    "near", "a", "", service=fakes.PLAIN, address="10.0.0.1:80"
)
FAR = fleets.make_instance(
    "far", "b", "", service=fakes.PLAIN, address="10.0.0.2:80"
)


def serve(near_scripts, kind=IDEMPOTENT, far_script=None, **options):
    """Serves one request; returns the caller and the world."""

    async def run():
        world = fakes.World(NEAR, FAR, **options)
        world.script(NEAR.address, *near_scripts)
        world.script(FAR.address, far_script or fakes.answer(b"far"))
        request = fakes.make_request(fakes.make_route(kind))
        return await world.serve(request), world

    return virtual_time.run(run())


@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT])
def test_answer_passes_unchanged(kind):
    caller, world = serve([fakes.answer(b"body", status=201)], kind)
    assert caller.head.status == 201
    assert caller.body == b"body"
    assert world.targets == [NEAR.address]


@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT])
@pytest.mark.parametrize(
    "script", [fakes.Unreachable, fakes.answer(status=503, is_not_run=True)]
)
def test_request_that_did_not_run_goes_to_another_upstream(kind, script):
    caller, world = serve([script], kind)
    assert caller.body == b"far"
    assert world.targets[-1] == FAR.address


def test_lost_answer_of_a_request_that_may_run_once_is_not_retried():
    caller, world = serve([[fakes.Lost]], ONCE)
    assert world.targets == [NEAR.address]
    assert not caller.refusal.is_not_run


def test_lost_answer_of_an_idempotent_request_is_retried():
    caller, world = serve([[fakes.Lost]], IDEMPOTENT)
    assert caller.body == b"far"
    assert world.targets == [NEAR.address, FAR.address]


def test_answer_cut_short_is_not_passed_on():
    caller, _ = serve([[fakes.Head(), b"half", fakes.Lost]], IDEMPOTENT)
    assert caller.body == b"far"


def test_answer_to_another_request_is_not_passed_on():
    caller, _ = serve([fakes.answer(request_id="other")], IDEMPOTENT)
    assert caller.body == b"far"


@pytest.mark.parametrize("head", [{"is_proven": False}, {"request_id": ""}])
def test_success_without_proof_of_origin_is_not_passed_on(head):
    caller, _ = serve([fakes.answer(**head)], IDEMPOTENT)
    assert caller.body == b"far"


def test_crossed_answer_leaves_the_outcome_unknown():
    caller, world = serve([fakes.answer(request_id="other")], ONCE)
    assert world.targets == [NEAR.address]
    assert not caller.refusal.is_not_run


def test_failure_of_an_upstream_is_retried_elsewhere_if_allowed():
    caller, _ = serve([fakes.answer(b"bad", status=500)], IDEMPOTENT)
    assert caller.body == b"far"


def test_failure_of_all_upstreams_is_passed_on_as_the_upstream_gave_it():
    caller, world = serve(
        [fakes.answer(b"bad", status=500)],
        IDEMPOTENT,
        fakes.answer(b"worse", status=500),
    )
    assert caller.head.status == 500
    assert caller.body == b"worse"
    assert len(world.targets) == 2


def test_failure_of_a_request_that_may_run_once_is_passed_on():
    caller, world = serve([fakes.answer(b"bad", status=500)], ONCE)
    assert (caller.head.status, caller.body) == (500, b"bad")
    assert len(world.targets) == 1


def test_request_without_answer_ends_at_its_routes_timeout():
    caller, _ = serve([[fakes.Wait(30.0)]], ONCE)
    assert caller.refusal.reason is messages.RefusalReason.TIMEOUT
    assert not caller.refusal.is_not_run
    assert "last sent to near" in caller.refusal.detail


def test_no_upstream_is_refused_at_once_as_not_run():
    async def run():
        world = fakes.World()
        request = fakes.make_request(fakes.make_route(ONCE))
        return await world.serve(request)

    caller = virtual_time.run(run())
    assert caller.refusal.is_not_run
    assert caller.refusal.retry_after_s > 0


def test_repeats_stop_when_the_budget_is_spent():
    async def run():
        world = fakes.World(NEAR, FAR, budget_extra=40.0)
        world.script(NEAR.address, [fakes.Lost])
        world.script(FAR.address, [fakes.Lost])
        for _ in range(40):
            await world.serve(fakes.make_request(fakes.make_route()))
        return world

    repeats = len(virtual_time.run(run()).targets) - 40
    assert 0 < repeats <= 40 * 0.2 + 40


def test_request_runs_on_no_more_upstreams_than_its_route_allows():
    async def run():
        third = fleets.make_instance(
            "third", "c", "", service=fakes.PLAIN, address="10.0.0.3:80"
        )
        world = fakes.World(NEAR, FAR, third)
        for address in (NEAR.address, FAR.address, third.address):
            world.script(address, [fakes.Lost])
        await world.serve(fakes.make_request(fakes.make_route(IDEMPOTENT)))
        return world

    assert len(virtual_time.run(run()).targets) == 2


def test_time_handed_on_is_what_the_caller_has_left():
    _, world = serve([fakes.answer()])
    assert world.pool.sent[0][2] == 20.0


def test_leaving_upstream_gets_nothing():
    async def run():
        leaving = fleets.make_instance(
            "near",
            "a",
            "",
            service=fakes.PLAIN,
            address=NEAR.address,
            is_leaving=True,
        )
        world = fakes.World(leaving, FAR)
        world.script(FAR.address, fakes.answer())
        for _ in range(20):
            await world.serve(fakes.make_request(fakes.make_route(ONCE)))
        return world

    assert set(virtual_time.run(run()).targets) == {FAR.address}


def serve_in_turn(count: int, far_status: int):
    """Serves requests one after the other while NEAR fails all of them."""

    async def run():
        world = fakes.World(NEAR, FAR)
        world.script(NEAR.address, fakes.answer(b"failed", status=500))
        world.script(FAR.address, fakes.answer(b"far", status=far_status))
        for _ in range(count):
            await world.serve(fakes.make_request(fakes.make_route(IDEMPOTENT)))
        return world

    return virtual_time.run(run())


def test_upstream_that_fails_what_others_serve_is_avoided():
    world = serve_in_turn(6, 200)
    assert [u for u in (NEAR, FAR) if world.directory.is_avoided(u)] == [NEAR]
    assert world.targets[-1] == world.targets[-2] == FAR.address


def test_requests_that_fail_everywhere_speak_against_no_upstream():
    world = serve_in_turn(10, 500)
    assert not any(world.directory.is_avoided(u) for u in (NEAR, FAR))
