import dataclasses

import pytest

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.utils.tests import virtual_time

ONCE = documents.RequestKind.ONCE
IDEMPOTENT = documents.RequestKind.IDEMPOTENT
STREAM = documents.RequestKind.STREAM
NEAR = fleets.make_instance(
    "near", "a", "", service=fakes.PLAIN_SERVICE, address="10.0.0.1:80"
)
FAR = fleets.make_instance(
    "far", "b", "", service=fakes.PLAIN_SERVICE, address="10.0.0.2:80"
)


def serve(near_scripts, kind=IDEMPOTENT, far_script=None, **options):
    """Serves one request; returns the response writer and the harness."""

    async def run():
        harness = fakes.Harness(NEAR, FAR, **options)
        harness.script(NEAR.address, *near_scripts)
        harness.script(FAR.address, far_script or fakes.answer(b"far"))
        request = fakes.make_request(fakes.make_route(kind))
        return await harness.serve(request), harness

    return virtual_time.run(run())


@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT])
def test_answer_is_forwarded_unchanged(kind):
    writer, harness = serve([fakes.answer(b"body", status=201)], kind)
    assert writer.head.status == 201
    assert writer.body == b"body"
    assert harness.sent_addresses == [NEAR.address]


@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT])
@pytest.mark.parametrize(
    "script", [fakes.Unreachable, fakes.answer(status=503, is_not_run=True)]
)
def test_request_that_did_not_run_goes_to_another_upstream(kind, script):
    writer, harness = serve([script], kind)
    assert writer.body == b"far"
    assert harness.sent_addresses[-1] == FAR.address


def test_lost_answer_of_a_request_that_may_run_once_is_not_retried():
    writer, harness = serve([[fakes.ConnectionLost]], ONCE)
    assert harness.sent_addresses == [NEAR.address]
    assert not writer.refusal.is_not_run


def test_lost_answer_of_an_idempotent_request_is_retried():
    writer, harness = serve([[fakes.ConnectionLost]], IDEMPOTENT)
    assert writer.body == b"far"
    assert harness.sent_addresses == [NEAR.address, FAR.address]


def test_truncated_answer_is_not_forwarded():
    writer, _ = serve(
        [[fakes.Head(), b"half", fakes.ConnectionLost]], IDEMPOTENT
    )
    assert writer.body == b"far"


# The upstream began with the first event again, so that callers of streams
# whose route had moved to a plain service received events twice.
@pytest.mark.parametrize(
    ("service", "generation"),
    [
        (fakes.PLAIN_SERVICE, messages.GenerationParameters(800, 200)),
        (fakes.PLAIN_SERVICE, None),
        (fleets.SERVICE, None),
    ],
)
@pytest.mark.parametrize(
    "near_script", [fakes.Unreachable, [fakes.ConnectionLost]]
)
def test_upstream_is_told_the_event_after_which_a_stream_resumes(
    service, generation, near_script
):
    async def run():
        near, far = (
            dataclasses.replace(instance, service=service)
            for instance in (NEAR, FAR)
        )
        harness = fakes.Harness(near, far)
        harness.script(near.address, near_script)
        harness.script(far.address, fakes.answer())
        route = fakes.make_route(STREAM, service, is_resumable=True)
        await harness.serve(
            fakes.make_request(route, last_event_id="34", generation=generation)
        )
        return harness.pool.sent

    sent = virtual_time.run(run())
    assert sent[-1][0] == FAR.address
    assert {last_event_id for *_, last_event_id in sent} == {"34"}


def test_answer_to_another_request_is_not_forwarded():
    writer, _ = serve([fakes.answer(request_id="other")], IDEMPOTENT)
    assert writer.body == b"far"


@pytest.mark.parametrize("head", [{"has_seal": False}, {"request_id": ""}])
def test_success_without_seal_or_request_id_is_not_forwarded(head):
    writer, _ = serve([fakes.answer(**head)], IDEMPOTENT)
    assert writer.body == b"far"


def test_answer_to_another_request_may_have_run():
    writer, harness = serve([fakes.answer(request_id="other")], ONCE)
    assert harness.sent_addresses == [NEAR.address]
    assert not writer.refusal.is_not_run


def test_error_status_of_an_idempotent_request_is_retried():
    writer, _ = serve([fakes.answer(b"bad", status=500)], IDEMPOTENT)
    assert writer.body == b"far"


def test_last_error_response_is_forwarded_if_all_upstreams_fail():
    writer, harness = serve(
        [fakes.answer(b"bad", status=500)],
        IDEMPOTENT,
        fakes.answer(b"worse", status=500),
    )
    assert writer.head.status == 500
    assert writer.body == b"worse"
    assert len(harness.sent_addresses) == 2


def test_error_response_to_a_request_that_may_run_once_is_forwarded():
    writer, harness = serve([fakes.answer(b"bad", status=500)], ONCE)
    assert (writer.head.status, writer.body) == (500, b"bad")
    assert len(harness.sent_addresses) == 1


def test_request_without_answer_is_refused_at_the_route_timeout():
    writer, _ = serve([[fakes.Wait(30.0)]], ONCE)
    assert writer.refusal.reason is messages.RefusalReason.TIMEOUT
    assert not writer.refusal.is_not_run
    assert "last upstream tried: near" in writer.refusal.detail


def test_request_without_upstream_is_refused_as_not_run():
    async def run():
        harness = fakes.Harness()
        request = fakes.make_request(fakes.make_route(ONCE))
        return await harness.serve(request)

    writer = virtual_time.run(run())
    assert writer.refusal.is_not_run
    assert writer.refusal.retry_after_s > 0


def test_retries_stop_when_the_budget_is_exhausted():
    async def run():
        harness = fakes.Harness(NEAR, FAR, budget_extra=40.0)
        harness.script(NEAR.address, [fakes.ConnectionLost])
        harness.script(FAR.address, [fakes.ConnectionLost])
        for _ in range(40):
            await harness.serve(fakes.make_request(fakes.make_route()))
        return harness

    retries = len(virtual_time.run(run()).sent_addresses) - 40
    assert 0 < retries <= 40 * 0.2 + 40


def test_request_is_sent_to_at_most_max_attempts_upstreams():
    async def run():
        third = fleets.make_instance(
            "third", "c", "", service=fakes.PLAIN_SERVICE, address="10.0.0.3:80"
        )
        harness = fakes.Harness(NEAR, FAR, third)
        for address in (NEAR.address, FAR.address, third.address):
            harness.script(address, [fakes.ConnectionLost])
        await harness.serve(fakes.make_request(fakes.make_route(IDEMPOTENT)))
        return harness

    assert len(virtual_time.run(run()).sent_addresses) == 2


def test_upstream_is_told_the_time_left_to_the_deadline():
    _, harness = serve([fakes.answer()])
    assert harness.pool.sent[0][2] == 20.0


def test_leaving_upstream_gets_no_requests():
    async def run():
        leaving = fleets.make_instance(
            "near",
            "a",
            "",
            service=fakes.PLAIN_SERVICE,
            address=NEAR.address,
            is_leaving=True,
        )
        harness = fakes.Harness(leaving, FAR)
        harness.script(FAR.address, fakes.answer())
        for _ in range(20):
            await harness.serve(fakes.make_request(fakes.make_route(ONCE)))
        return harness

    assert set(virtual_time.run(run()).sent_addresses) == {FAR.address}


def serve_in_turn(count: int, far_status: int):
    """Serves requests in sequence; NEAR always answers with status 500."""

    async def run():
        harness = fakes.Harness(NEAR, FAR)
        harness.script(NEAR.address, fakes.answer(b"failed", status=500))
        harness.script(FAR.address, fakes.answer(b"far", status=far_status))
        for _ in range(count):
            await harness.serve(
                fakes.make_request(fakes.make_route(IDEMPOTENT))
            )
        return harness

    return virtual_time.run(run())


def test_upstream_that_fails_requests_which_others_serve_is_avoided():
    harness = serve_in_turn(6, 200)
    assert [u for u in (NEAR, FAR) if harness.directory.is_avoided(u)] == [NEAR]
    assert (
        harness.sent_addresses[-1] == harness.sent_addresses[-2] == FAR.address
    )


def test_requests_that_fail_on_all_upstreams_avoid_none():
    harness = serve_in_turn(10, 500)
    assert not any(harness.directory.is_avoided(u) for u in (NEAR, FAR))


@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT])
def test_upstream_at_its_announced_limit_gets_no_request(kind):
    async def run():
        harness = fakes.Harness(NEAR, FAR)
        harness.script(NEAR.address, fakes.answer(b"near"))
        harness.script(FAR.address, fakes.answer(b"far"))
        limits = harness.forwarding.upstream_limits
        limits.record(NEAR.key, 0.0)
        request = fakes.make_request(fakes.make_route(kind))
        first = await harness.serve(request)
        limits.record(FAR.key, 0.0)
        return first, await harness.serve(request), harness

    first, second, harness = virtual_time.run(run())
    assert first.body == b"far"
    assert second.refusal.is_not_run
    assert second.refusal.retry_after_s > 1.0
    assert harness.sent_addresses == [FAR.address]


def test_lost_answer_counts_as_one_crash_at_most():
    # It counted once more with each other upstream that accepted no connection,
    # so that one lost answer could block its request.
    async def run():
        other = fleets.make_instance(
            "other", "b", "", service=fakes.PLAIN_SERVICE, address="10.0.0.3:80"
        )
        harness = fakes.Harness(NEAR, FAR, other)
        harness.script(NEAR.address, [fakes.ConnectionLost], fakes.Unreachable)
        harness.script(FAR.address, fakes.Unreachable)
        harness.script(other.address, fakes.Unreachable)
        request = fakes.make_request(fakes.make_route(IDEMPOTENT))
        writer = await harness.serve(request)
        return writer, harness.forwarding.crash_counts.get_own(10)

    writer, counts = virtual_time.run(run())
    assert [count for _, count in counts] == [1]
    assert writer.refusal.reason is messages.RefusalReason.UPSTREAM_FAILED


# All entries drop the crashes of a request that has made progress.
@pytest.mark.parametrize(
    ("status", "crashes"), [(200, 0), (404, 0), (500, 1), (503, 1)]
)
def test_failure_is_no_progress_of_a_request_that_crashed_an_upstream(
    status, crashes
):
    async def run():
        harness = fakes.Harness(NEAR, FAR)
        harness.script(NEAR.address, [fakes.ConnectionLost], fakes.Unreachable)
        harness.script(FAR.address, fakes.answer(status=status))
        request = fakes.make_request(fakes.make_route(ONCE))
        await harness.serve(request)
        counted = harness.forwarding.crash_counts.get_own(10)
        writer = await harness.serve(request)
        return counted, writer, harness.forwarding.crash_counts.get_own(10)

    counted, writer, left = virtual_time.run(run())
    assert [count for _, count in counted] == [1]
    assert writer.head.status == status
    assert [count for _, count in left] == [1] * crashes


# The next request was sent to the dead upstream as well, up to seconds later.
@pytest.mark.parametrize("kind", [ONCE, IDEMPOTENT])
def test_upstream_that_lost_an_answer_and_is_unreachable_is_avoided(kind):
    _, harness = serve([[fakes.ConnectionLost], fakes.Unreachable], kind)
    assert harness.forwarding.directory.is_avoided(NEAR)


def test_retry_is_kept_if_no_connection_could_be_opened():
    # A retry was taken for each upstream that accepted no connection, so that
    # requests failed for lack of retries that no upstream had seen.
    async def run():
        others = [
            dataclasses.replace(
                FAR, instance_id=f"far-{n}", address=f"10.0.1.{n}:80"
            )
            for n in range(3)
        ]
        harness = fakes.Harness(NEAR, *others, budget_extra=0.0)
        harness.forwarding.set_retry_budget(5.0, 0.0)
        harness.script(NEAR.address, [fakes.ConnectionLost])
        for other in others:
            harness.script(other.address, fakes.Unreachable)
        harness.script(others[-1].address, fakes.answer(b"last"))
        # Upstreams with less load are tried first.
        harness.load_table.set_report(
            "other",
            [(o.key, loads.Load(n + 1, 1)) for n, o in enumerate(others)],
        )
        request = fakes.make_request(fakes.make_route(IDEMPOTENT))
        return await harness.serve(request), harness, others

    writer, harness, others = virtual_time.run(run())
    assert writer.body == b"last", writer.refusal
    assert harness.sent_addresses == [NEAR.address, others[-1].address]
