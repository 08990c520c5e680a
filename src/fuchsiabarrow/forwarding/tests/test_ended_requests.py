import asyncio

import pytest

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.utils.tests import virtual_time

DESK = fleets.make_instance(
    "desk", "a", "", service=fakes.PLAIN_SERVICE, address="10.0.0.1:80"
)
MODEL = fleets.make_instance(
    "model", "a", "fast", (0, 80), address="10.0.0.2:80"
)
SILENT = [fakes.Wait(30.0)]


def make_request(kind):
    if kind is documents.RequestKind.STREAM:
        return fakes.make_stream_request()
    return fakes.make_request(fakes.make_route(kind, timeout_s=20.0))


def end(kind, script, after_s=0.5, is_connecting=False):
    """Ends a request; returns its writer, the harness and the time taken."""

    async def run():
        loop = asyncio.get_running_loop()
        harness = fakes.Harness(DESK, MODEL)
        harness.script(DESK.address, script)
        harness.script(MODEL.address, script)
        if is_connecting:

            async def hang(*_args, **_options):
                await asyncio.sleep(30.0)

            harness.pool.open = hang
        serving = asyncio.create_task(harness.serve(make_request(kind)))
        await asyncio.sleep(after_s)
        count = harness.forwarding.end_requests()
        writer = await serving
        assert loop.time() == pytest.approx(after_s)
        assert all(c.is_closed for c in harness.pool.connections)
        return writer, harness, count

    return virtual_time.run(run())


# Guards against a request that an upstream may have run but is told as not run.
@pytest.mark.parametrize("kind", documents.RequestKind)
def test_sent_request_is_refused_as_one_that_may_have_run(kind):
    writer, _, count = end(kind, SILENT)
    assert writer.refusal.reason is messages.RefusalReason.STOPPING
    assert not writer.refusal.is_not_run
    assert count == 1


@pytest.mark.parametrize("kind", documents.RequestKind)
def test_request_that_was_not_sent_is_refused_as_not_run(kind):
    writer, harness, count = end(kind, SILENT, is_connecting=True)
    assert writer.refusal.reason is messages.RefusalReason.STOPPING
    assert writer.refusal.is_not_run
    assert writer.refusal.retry_after_s < 0.1
    assert not harness.pool.sent
    assert count == 1


# Guards against a reused connection, on which a request is sent without a wait.
@pytest.mark.parametrize("kind", documents.RequestKind)
def test_later_request_is_refused_and_not_sent(kind):
    async def run():
        harness = fakes.Harness(DESK, MODEL)
        harness.script(DESK.address, fakes.answer())
        harness.script(MODEL.address, fakes.stream(1, 11))
        assert harness.forwarding.end_requests() == 0
        return await harness.serve(make_request(kind)), harness

    writer, harness = virtual_time.run(run())
    assert writer.refusal.reason is messages.RefusalReason.STOPPING
    assert writer.refusal.is_not_run
    assert not harness.pool.sent


# Guards against a second answer after one that has begun.
def test_answer_that_has_begun_goes_on():
    async def run():
        harness = fakes.Harness(MODEL)
        harness.script(MODEL.address, fakes.stream(1, 11, gap_s=0.1))
        request = make_request(documents.RequestKind.STREAM)
        serving = asyncio.create_task(harness.serve(request))
        await asyncio.sleep(0.5)
        assert harness.forwarding.end_requests() == 0
        return await serving

    writer = virtual_time.run(run())
    assert writer.is_finished
    assert writer.refusal is None
