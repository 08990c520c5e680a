import asyncio

import pytest

from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import slow_callers

# Longer than the time limit of the plain routes.
LATE_S = 1.0


def run(test, **options):
    async def main():
        async with entry_harness.EntryHarness(**options) as harness:
            async with slow_callers.connect(harness) as caller:
                return await test(harness, caller)

    return asyncio.run(main())


def make_desks_answer(harness, status: int, padding: int) -> None:
    for name in ("desk-1", "desk-2"):
        harness.upstreams[name].status = status
        harness.upstreams[name].padding = padding


# Guards against an error of the entry after a whole answer, on the same
# connection: the caller took it for the answer to its next request.
@pytest.mark.parametrize("status", [200, 404, 500])
def test_large_answer_to_a_slow_caller_is_the_only_one(status):
    async def test(harness, caller):
        make_desks_answer(harness, status, slow_callers.LARGE_BYTES)
        caller.send("r1", "/open/x")
        await asyncio.sleep(LATE_S)
        first = await caller.read_response()
        assert (first.status, first.request_id) == (status, "r1")
        assert len(first.body) > slow_callers.LARGE_BYTES
        assert await caller.read_rest() == b""
        make_desks_answer(harness, 200, 0)
        caller.send("r2", "/open/x")
        second = await caller.read_response()
        assert (second.status, second.request_id) == (200, "r2")

    run(test)


# Guards against answers that are given to the wrong one of several requests.
def test_pipelined_requests_of_a_slow_caller_get_their_own_answers():
    async def test(harness, caller):
        make_desks_answer(harness, 200, slow_callers.LARGE_BYTES)
        for number in range(3):
            caller.send(f"r{number}", "/open/x")
        await asyncio.sleep(LATE_S)
        for number in range(3):
            answer = await caller.read_response()
            assert (answer.status, answer.request_id) == (200, f"r{number}")
        assert await caller.read_rest() == b""

    run(test)


# Guards against upstreams that seem busy because of the callers.
def test_upstream_is_free_while_a_slow_caller_is_written_to():
    async def test(harness, caller):
        make_desks_answer(harness, 200, slow_callers.LARGE_BYTES)
        caller.send("r1", "/open/x")
        await harness.wait(
            lambda: any(u.runs for u in harness.upstreams.values())
        )
        await asyncio.sleep(LATE_S / 4)
        forwarding = harness.entry.kernel.get("forwarding")
        assert forwarding.running == 1
        loads = [
            forwarding.load_table.get(upstream.key).requests
            for upstream in forwarding.directory.get_upstreams("desk")
        ]
        assert loads == [0, 0]

    run(test)
