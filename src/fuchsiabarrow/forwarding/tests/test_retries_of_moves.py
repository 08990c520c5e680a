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
