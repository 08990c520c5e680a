"""Streams that leave a suspected instance, and those that should stay."""

import asyncio
import dataclasses

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.forwarding.tests import path_instances
from fuchsiabarrow.utils.tests import virtual_time

# Somewhat more than the context of each request, in tokens.
REQUEST_TOKENS = 1100


def move_together(spares, count, prepare):
    """Moves streams off a silent instance; returns the harness."""

    async def run():
        harness = fakes.Harness(
            path_instances.FIRST, path_instances.LAST, budget_extra=1000.0
        )
        prepare(harness)
        await asyncio.sleep(10.0)
        harness.script(
            path_instances.FIRST.address,
            [*fakes.stream(1, 5), fakes.Wait(path_instances.SILENCE_S)],
        )
        tasks = [path_instances.start(harness) for _ in range(count)]
        await asyncio.sleep(0.1)
        assert path_instances.count_by_first(harness) == {
            path_instances.FIRST.address: count
        }
        harness.directory.replace(
            [path_instances.FIRST, path_instances.LAST, *spares]
        )
        for spare in spares:
            harness.script(
                spare.address, [fakes.Wait(5.0), *fakes.stream(5, 11)]
            )
        harness.control.silent.add(path_instances.FIRST.address)
        await asyncio.sleep(0.6)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        return harness

    return virtual_time.run(run())


def test_streams_that_move_together_fit_into_memory():
    # All chose their paths before the first of them was counted as load there.
    spares = (path_instances.SPARE_FIRST, path_instances.SECOND_SPARE_FIRST)
    room = 4

    def prepare(harness):
        tokens = fakes.MODEL.count_context_tokens("fast", 40)
        used_tokens = paths.CONTEXT_FRACTION * tokens - room * REQUEST_TOKENS
        used = fakes.loads.Load(0, 0, used_tokens * 40, 0)
        harness.load_table.set_report("other", [(s.key, used) for s in spares])

    harness = move_together(spares, 20, prepare)
    counts = path_instances.count_by_first(harness)
    for spare in spares:
        assert 0 < counts[spare.address] <= room, counts


def test_streams_that_move_together_respect_an_announced_limit():
    # All took their permits after the last of them had chosen its path.
    def prepare(harness):
        harness.forwarding.upstream_limits.record(
            path_instances.SPARE_FIRST.key, 4.0
        )
        assert not harness.forwarding.upstream_limits.has_permit(
            path_instances.SPARE_FIRST.key
        )

    harness = move_together((path_instances.SPARE_FIRST,), 20, prepare)
    arrived = path_instances.count_by_first(harness)[
        path_instances.SPARE_FIRST.address
    ]
    assert 0 < arrived <= 4


def test_stream_that_gets_events_outlives_a_refused_connection():
    # A connection that another request could not open ended streams whose own
    # connections lived on.
    async def run():
        harness = fakes.Harness(
            path_instances.FIRST,
            path_instances.LAST,
            path_instances.SPARE_FIRST,
        )
        harness.script(path_instances.FIRST.address, fakes.stream(1, 11, 0.05))
        harness.script(
            path_instances.SPARE_FIRST.address, fakes.stream(1, 11, 0.05)
        )
        task = path_instances.start(harness)
        await asyncio.sleep(0.22)
        (used,) = harness.sent_addresses
        first = (
            path_instances.FIRST
            if used == path_instances.FIRST.address
            else path_instances.SPARE_FIRST
        )
        harness.forwarding.record_failure(first, "connect: refused")
        return await task, harness

    writer, harness = virtual_time.run(run())
    assert len(harness.pool.sent) == 1
    assert writer.body == path_instances.ALL_EVENTS


def test_stream_waits_if_the_other_instance_accepts_no_connection():
    # Its connection was ended before another one was open.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [fakes.Head(), fakes.Wait(path_instances.SILENCE_S)]
        harness.script(
            path_instances.FIRST.address, [*script, *fakes.stream(1, 11)[1:]]
        )
        task = path_instances.start(harness)
        await asyncio.sleep(0.1)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        harness.script(path_instances.SPARE_FIRST.address, fakes.Unreachable)
        harness.control.silent.add(path_instances.FIRST.address)
        return await task

    writer = virtual_time.run(run())
    assert writer.refusal is None, writer.refusal
    assert writer.body == path_instances.ALL_EVENTS


def test_begun_stream_waits_if_the_other_instance_accepts_no_connection():
    # Its caller had no event until its instance was not avoided any more.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [*fakes.stream(1, 5), fakes.Wait(path_instances.SILENCE_S)]
        script += fakes.stream(5, 11)[1:]
        harness.script(
            path_instances.FIRST.address, script, fakes.stream(5, 11)
        )
        task = path_instances.start(harness)
        await asyncio.sleep(0.1)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        harness.script(path_instances.SPARE_FIRST.address, fakes.Unreachable)
        harness.control.silent.add(path_instances.FIRST.address)
        writer = await task
        return writer, asyncio.get_running_loop().time()

    writer, took_s = virtual_time.run(run())
    assert writer.body == path_instances.ALL_EVENTS
    assert took_s < path_instances.SILENCE_S + 0.5


def test_stream_waits_while_a_part_of_its_prompt_is_suspected():
    # Its connection was ended, and then it was held back.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [fakes.Head(), fakes.Wait(path_instances.SILENCE_S)]
        harness.script(
            path_instances.FIRST.address, [*script, *fakes.stream(1, 11)[1:]]
        )
        task = path_instances.start(harness, shared_parts=("p", "own"))
        await asyncio.sleep(0.1)
        path_instances.record_part_crash(harness, "p")
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        harness.script(path_instances.SPARE_FIRST.address, fakes.stream(1, 11))
        harness.control.silent.add(path_instances.FIRST.address)
        writer = await task
        return writer, asyncio.get_running_loop().time(), harness

    writer, took_s, harness = virtual_time.run(run())
    assert writer.body == path_instances.ALL_EVENTS
    assert harness.sent_addresses == [path_instances.FIRST.address]
    assert took_s < path_instances.SILENCE_S + 0.3


def test_moved_stream_is_not_sent_to_an_instance_that_is_leaving():
    # Its path was chosen before it was held back for a part of its prompt.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        harness.script(
            path_instances.FIRST.address, [fakes.Head(), fakes.Wait(60.0)]
        )
        task = path_instances.start(harness, shared_parts=("p", "own"))
        await asyncio.sleep(0.1)
        path_instances.record_part_crash(harness, "p")
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        harness.script(path_instances.SPARE_FIRST.address, fakes.stream(1, 11))
        harness.control.silent.add(path_instances.FIRST.address)
        await asyncio.sleep(0.6)
        leaving = dataclasses.replace(
            path_instances.SPARE_FIRST, is_leaving=True
        )
        harness.directory.put(leaving)
        await asyncio.sleep(4.0)
        task.cancel()
        await asyncio.wait({task})
        return harness

    harness = virtual_time.run(run())
    assert path_instances.SPARE_FIRST.address not in harness.sent_addresses


class _BufferedConnection(fakes.FakeConnection):
    """Drops what it has received if it is disconnected while it is open."""

    async def _next(self):
        if self._broken.done():
            raise exceptions.UpstreamResponseLostError(self._broken.result())
        return await super()._next()


class _SlowWriter(fakes.FakeResponseWriter):
    async def write(self, data: bytes) -> None:
        await super().write(data)
        if data == fakes.make_event(5):
            await asyncio.sleep(1.0)


def test_answer_that_was_received_is_not_cut_if_its_instance_is_replaced():
    # The instance had sent the whole answer and stopped without closing the
    # connection, while the caller still read it.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = fakes.stream(1, 11, 0.0)
        opened = []

        async def open_connection(address, *options):
            return _BufferedConnection(script, opened, address)

        harness.pool.open = open_connection
        writer = _SlowWriter()
        request = fakes.make_stream_request(is_resumable=False)
        task = asyncio.create_task(harness.forwarding.serve(request, writer))
        await asyncio.sleep(0.5)
        assert writer.body.endswith(fakes.make_event(5))
        reborn = dataclasses.replace(
            path_instances.FIRST, instance_id="reborn", incarnation=2
        )
        harness.directory.put(reborn)
        harness.forwarding.record_failure(
            path_instances.FIRST, "silent; probe failed: status 421"
        )
        await task
        return writer

    writer = virtual_time.run(run())
    assert writer.body == path_instances.ALL_EVENTS
    assert writer.is_finished


def test_second_move_does_not_discard_the_attempt_that_the_first_prepared():
    # Both the first and the last instance were suspected. The connection was
    # ended for one move, and its prepared attempt was discarded by the other.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        harness.control.accepts_paths = False
        harness.script(
            path_instances.FIRST.address,
            [*fakes.stream(1, 5), fakes.Wait(60.0)],
        )
        task = path_instances.start(harness)
        await asyncio.sleep(0.5)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
                path_instances.SPARE_LAST,
            ]
        )
        script = fakes.stream(5, 11)
        harness.script(
            path_instances.SPARE_FIRST.address,
            script,
            script,
            fakes.Unreachable,
        )
        open_connection = harness.pool.open

        async def open_slowly(*options):
            await asyncio.sleep(0.1)
            return await open_connection(*options)

        harness.pool.open = open_slowly
        for suspect in (path_instances.LAST, path_instances.FIRST):
            harness.forwarding.record_failure(suspect, "probe failed")
            await asyncio.sleep(0)
        return await task, harness

    writer, harness = virtual_time.run(run())
    assert writer.body == path_instances.ALL_EVENTS
    assert writer.is_finished
    assert all(c.is_closed for c in harness.pool.connections)


def make_leaving(harness):
    harness.directory.put(
        dataclasses.replace(path_instances.SPARE_FIRST, is_leaving=True)
    )


def suspect_part(harness):
    path_instances.record_part_crash(harness, "p")


@pytest.mark.parametrize("change", [make_leaving, suspect_part])
def test_stream_stays_if_its_next_attempt_is_ruled_out_while_it_connects(
    change,
):
    # The other instance or the request was ruled out while the connection to
    # the other instance was being opened, and the present one was ended.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [fakes.Head(), fakes.Wait(path_instances.SILENCE_S)]
        harness.script(
            path_instances.FIRST.address, [*script, *fakes.stream(1, 11)[1:]]
        )
        harness.script(path_instances.SPARE_FIRST.address, fakes.stream(1, 11))
        open_connection = harness.pool.open

        async def open_slowly(address, *options):
            await asyncio.sleep(0.1)
            if address == path_instances.SPARE_FIRST.address:
                change(harness)
            return await open_connection(address, *options)

        harness.pool.open = open_slowly
        task = path_instances.start(harness, shared_parts=("p", "own"))
        await asyncio.sleep(0.15)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        harness.control.silent.add(path_instances.FIRST.address)
        return await task, harness

    writer, harness = virtual_time.run(run())
    assert writer.body == path_instances.ALL_EVENTS, writer.refusal
    assert harness.sent_addresses == [path_instances.FIRST.address]
    assert all(c.is_closed for c in harness.pool.connections)
