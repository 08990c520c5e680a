import asyncio
import socket

import logbook
import pytest

from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import slow_callers
from fuchsiabarrow.utils import listeners
from fuchsiabarrow.utils import loops

GENERATION = (
    f"{wire_names.TOKEN_COUNTS}: 800,60",
    f"{wire_names.LENGTH_HINT}: 60",
)
# Longer than the time limit of the plain routes.
LATE_S = 1.0
SEND_BUFFER_BYTES = 65_536


def run(test, make_loop=asyncio.new_event_loop, grace_s=8.0):
    async def main():
        async with entry_harness.EntryHarness(grace_s) as harness:
            async with slow_callers.connect(harness) as caller:
                return await test(harness, caller)

    with asyncio.Runner(loop_factory=make_loop) as runner:
        return runner.run(main())


def run_logged(test, **options) -> list[str]:
    """Runs a test; returns the logged ends of requests."""
    with logbook.TestHandler() as handler:
        run(test, **options)
    ends = ("connection_closed", "caller_left", "stream_aborted", "refused")
    lines = [record.message for record in handler.records]
    return [x for x in lines if x.removeprefix("event=").startswith(ends)]


def count_incomplete(harness, cause: str) -> float:
    metrics = harness.entry.kernel.get("metrics")
    return metrics.incomplete_answers.labels(cause)._value.get()


def make_desks_answer(harness, status: int, padding: int) -> None:
    for name in ("desk-1", "desk-2"):
        harness.upstreams[name].status = status
        harness.upstreams[name].padding = padding


def shrink_send_buffer(harness) -> None:
    """Has less than a whole stream fit into the buffers of the sockets."""
    (connection,) = harness.entry.kernel.get("frontend").busy_connections
    connection.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
    )


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


# Guards against callers that hold an answer's memory and socket for ever, and
# against cuts without a line.
@pytest.mark.parametrize("make_loop", [asyncio.new_event_loop, loops.make_loop])
@pytest.mark.parametrize("target", ["/open/x", "/draft/x"])
def test_caller_that_stops_reading_is_cut_off_and_logged(
    target, make_loop, monkeypatch
):
    monkeypatch.setattr(listeners, "STALLED_WRITE_S", 0.5)

    async def test(harness, caller):
        make_desks_answer(harness, 200, slow_callers.LARGE_BYTES)
        left = harness.upstreams["left"]
        left.event_count, left.gap_s, left.padding = 1000, 0.001, 16_000
        caller.send("r1", target, *GENERATION)
        forwarding = harness.entry.kernel.get("forwarding")
        await harness.wait(lambda: forwarding.running == 1)
        shrink_send_buffer(harness)
        await harness.wait(lambda: forwarding.running == 0)
        assert count_incomplete(harness, "slow_caller") == 1
        with pytest.raises((EOFError, ConnectionError)):
            await caller.read_response()

    (line,) = run_logged(test, make_loop=make_loop)
    assert line.startswith("event=connection_closed request_id=r1 ")
    assert "cause=slow_caller" in line
    assert "is_started=True" in line


# Guards against a shutdown that cuts off a slow caller twice or without a line.
def test_answer_to_a_slow_caller_is_cut_off_once_by_a_shutdown():
    async def test(harness, caller):
        make_desks_answer(harness, 200, slow_callers.LARGE_BYTES)
        caller.send("r1", "/open/x")
        forwarding = harness.entry.kernel.get("forwarding")
        await harness.wait(lambda: forwarding.running == 1)
        await asyncio.sleep(LATE_S)
        await harness.entry.drain()
        await harness.entry.__aexit__(None, None, None)
        counter = forwarding.metrics.incomplete_answers.labels("shutdown_limit")
        assert counter._value.get() == 1

    (line,) = run_logged(test, grace_s=1.0)
    assert line.startswith("event=connection_closed request_id=r1 ")
    assert "cause=shutdown_limit" in line


# Guards against the loss of the rest of an answer that waits in the process for
# its caller when the process exits.
@pytest.mark.parametrize("make_loop", [asyncio.new_event_loop, loops.make_loop])
def test_shutdown_waits_until_the_caller_has_taken_its_answers(make_loop):
    async def test(harness, caller):
        listener = harness.entry.kernel.get("frontend_listener")
        make_desks_answer(harness, 200, 20_000)
        caller.send("r0", "/open/x")
        await caller.read_response()
        (connection,) = listener._server.connections
        transport = connection.transport
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        count = 0
        while not transport.get_write_buffer_size():
            count += 1
            caller.send(f"r{count}", "/open/x")
            await asyncio.sleep(0.05)
            assert connection.is_waiting
        unsent_bytes = []

        async def drain():
            await harness.entry.drain()
            unsent_bytes.append(transport.get_write_buffer_size())

        drain_task = asyncio.create_task(drain())
        await asyncio.sleep(forwarding_entry.DEREGISTRATION_DELAY_S + LATE_S)
        for _ in range(count):
            assert (await caller.read_response()).status == 200
        await drain_task
        assert unsent_bytes == [0]

    run(test, make_loop)
