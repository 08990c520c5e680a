"""Background work goes on after an error."""

import asyncio

import pytest

from fuchsiabarrow.utils import tasks
from fuchsiabarrow.utils.tests import virtual_time


@pytest.mark.parametrize("pauses_first", [False, True])
def test_work_that_raises_is_done_again(pauses_first):
    times = []

    async def work():
        times.append(asyncio.get_running_loop().time())
        if len(times) < 3:
            raise RuntimeError("unexpected")

    async def check():
        task = asyncio.create_task(
            tasks.repeat("test", work, lambda: 2.0, pauses_first)
        )
        await asyncio.sleep(9)
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    virtual_time.run(check())
    first_s = 2.0 if pauses_first else 0.0
    assert times[:4] == [first_s + 2.0 * n for n in range(4)]
