"""Retries of streams that try to leave a silent instance."""

import asyncio
import dataclasses

from fuchsiabarrow import exceptions
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.forwarding.tests import path_instances
from fuchsiabarrow.utils.tests import virtual_time

BUDGET_EXTRA = 20.0
WINDOW_S = 10.0
STREAMS = 60
SILENCES = 4
LIMIT_S = 200.0


def make_silent_stream() -> list:
    """Returns a script with several silences and the instance's death."""
    script, number = [fakes.Head()], 1
    for _ in range(SILENCES + 1):
        for _ in range(24):
            script += [fakes.Wait(0.5), fakes.make_event(number)]
            number += 1
        script.append(fakes.Wait(2.0))
    return [*script[:-1], fakes.ConnectionLost]


def test_retries_that_moves_did_not_use_are_not_kept_for_a_later_window():
    # Streams that could not leave a silent instance kept the retries that they
    # had taken, and used them together when it died: more than a window allows.
    async def run():
        harness = fakes.Harness(
            path_instances.FIRST,
            path_instances.LAST,
            budget_extra=BUDGET_EXTRA,
        )
        loop = asyncio.get_running_loop()
        open_connection, is_reachable = harness.pool.open, False

        async def open_slowly(address, *options):
            if address == path_instances.SPARE_FIRST.address:
                await asyncio.sleep(0.1)
                if not is_reachable:
                    raise exceptions.UpstreamUnreachableError("refused")
            return await open_connection(address, *options)

        harness.pool.open = open_slowly
        harness.script(path_instances.FIRST.address, make_silent_stream())
        harness.script(path_instances.SPARE_FIRST.address, [fakes.Wait(60.0)])
        await asyncio.sleep(WINDOW_S)
        harness.control.silent.add(path_instances.FIRST.address)
        request = fakes.make_stream_request(deadline_s=loop.time() + LIMIT_S)
        request = dataclasses.replace(
            request, route=dataclasses.replace(request.route, timeout_s=LIMIT_S)
        )
        tasks = [
            asyncio.create_task(harness.serve(request)) for _ in range(STREAMS)
        ]
        await asyncio.sleep(1.0)
        assert path_instances.count_by_first(harness) == {
            path_instances.FIRST.address: STREAMS
        }
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        await asyncio.sleep(SILENCES * 14.0 + 8.0)
        assert len(harness.pool.sent) == STREAMS
        is_reachable = True
        await asyncio.sleep(6.0)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        return path_instances.count_by_first(harness)

    counts = virtual_time.run(run())
    assert 0 < counts[path_instances.SPARE_FIRST.address] <= BUDGET_EXTRA


def move_with_one_retry(script, spare_script, connection_type):
    """Serves a stream that tries to leave a silent instance.

    Args:
        script: Script of that instance.
        spare_script: Script of the other instance.
        connection_type: Type of the connections.

    Returns:
        The response writer and the harness.
    """

    async def run():
        harness = fakes.Harness(
            path_instances.FIRST, path_instances.LAST, budget_extra=0.0
        )
        harness.forwarding.set_retry_budget(5.0, 0.0)
        harness.pool.connection_type = connection_type
        harness.script(path_instances.FIRST.address, script)
        harness.script(path_instances.SPARE_FIRST.address, spare_script)
        task = path_instances.start(harness)
        await asyncio.sleep(0.01)
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
    assert harness.sent_addresses == [
        path_instances.FIRST.address,
        path_instances.SPARE_FIRST.address,
    ]
    assert not harness.load_table.get_own()
    assert all(c.is_closed for c in harness.pool.connections)
    return writer, harness


def make_silent_script(silence_s: float = path_instances.SILENCE_S) -> list:
    """Returns a script with a silence after the second event."""
    script = fakes.stream(1, 11)
    script.insert(5, fakes.Wait(silence_s))
    return script


def test_stream_whose_move_is_refused_stays_with_its_instance():
    # The entry ended the connection to an instance that was silent for a
    # second, the next one refused the request, no retry was left, and the
    # answer was cut.
    writer, _ = move_with_one_retry(
        make_silent_script(),
        [
            fakes.Head(
                status=503,
                is_not_run=True,
                at_fault=path_instances.SPARE_FIRST.address,
            )
        ],
        fakes.FakeConnection,
    )
    assert writer.body == path_instances.ALL_EVENTS
    assert writer.is_finished


def test_stream_whose_move_is_refused_tries_another_path_at_once():
    # Its caller would wait until the next report of silence.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        harness.script(path_instances.FIRST.address, make_silent_script(60.0))
        spares = (path_instances.SPARE_FIRST, path_instances.SECOND_SPARE_FIRST)
        refusal = [fakes.Head(status=503, is_not_run=True)]
        for spare in spares:
            harness.script(spare.address, refusal)
        task = path_instances.start(harness)
        await asyncio.sleep(0.01)
        harness.directory.replace(
            [path_instances.FIRST, path_instances.LAST, *spares]
        )
        harness.control.silent.add(path_instances.FIRST.address)
        loop, sent_at_s = asyncio.get_running_loop(), []
        while len(sent_at_s) < 3:
            await asyncio.sleep(0.01)
            missing = len(harness.pool.sent) - len(sent_at_s)
            sent_at_s += [loop.time()] * missing
        task.cancel()
        await asyncio.wait({task})
        return sent_at_s

    _, second_s, third_s = virtual_time.run(run())
    assert third_s - second_s < 0.05


def test_stream_that_goes_on_before_its_move_is_accepted_stays():
    # Events of both attempts would be joined, or the answer cut for want of
    # another retry.
    spare_script = [fakes.Wait(60.0), *fakes.stream(3, 11)]
    writer, _ = move_with_one_retry(
        make_silent_script(0.75), spare_script, fakes.FakeConnection
    )
    assert writer.body == path_instances.ALL_EVENTS
    assert writer.is_finished


class _LateConnection(fakes.FakeConnection):
    """Still returns an event that was received when it was disconnected."""

    async def _next(self):
        if self._broken.done() or not self._script:
            return await super()._next()
        step = self._script[0]
        if isinstance(step, fakes.Wait) and step.seconds > 1.0:
            await self._broken
            return fakes.make_event(3)
        return await super()._next()


def test_event_received_while_a_stream_moves_is_not_sent_twice():
    # The other instance goes on after the events that were received before the
    # request was sent to it.
    writer, _ = move_with_one_retry(
        make_silent_script(60.0), fakes.stream(3, 11), _LateConnection
    )
    assert writer.body == path_instances.ALL_EVENTS
    assert writer.is_finished
