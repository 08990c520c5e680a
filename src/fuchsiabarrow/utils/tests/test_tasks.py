"""Tests that periodic tasks continue after an error."""

import asyncio

import pytest

from fuchsiabarrow.utils import tasks
from fuchsiabarrow.utils.tests import virtual_time


@pytest.mark.parametrize("delay_first", [False, True])
def test_task_that_raises_is_called_again(delay_first):
    call_times_s = []

    async def work():
        call_times_s.append(asyncio.get_running_loop().time())
        if len(call_times_s) < 3:
            raise RuntimeError("unexpected")

    async def check():
        task = asyncio.create_task(
            tasks.run_periodically("test", work, lambda: 2.0, delay_first)
        )
        await asyncio.sleep(9)
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    virtual_time.run(check())
    first_s = 2.0 if delay_first else 0.0
    assert call_times_s[:4] == [first_s + 2.0 * n for n in range(4)]
