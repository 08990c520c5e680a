"""Deadlines do not blame the other side for a pause of this process."""

import asyncio
import time

import pytest

from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import deadlines


def test_answer_that_came_during_a_pause_is_taken():
    async def check():
        loop = asyncio.get_running_loop()
        answer = loop.create_future()

        async def wait_for_answer():
            return await answer

        work = asyncio.create_task(deadlines.wait_for(wait_for_answer(), 0.1))
        await asyncio.sleep(0.01)
        time.sleep(0.3)
        # What was in the sockets is read after the timers.
        loop.call_later(0.02, answer.set_result, "whole")
        assert await work == "whole"

    asyncio.run(check())


def test_deadline_ends_and_cancels_work_that_makes_no_progress():
    async def check():
        ended = asyncio.Event()

        async def hang():
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()

        with pytest.raises(TimeoutError):
            await deadlines.wait_for(hang(), 0.02)
        assert ended.is_set()

    asyncio.run(check())


def test_cancelling_the_waiter_cancels_the_work():
    async def check():
        ended = asyncio.Event()

        async def hang():
            try:
                await asyncio.Event().wait()
            finally:
                ended.set()

        work = asyncio.create_task(deadlines.wait_for(hang(), 10))
        await asyncio.sleep(0.01)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        assert ended.is_set()

    asyncio.run(check())


def test_boot_time_is_not_behind_the_monotonic_clock():
    assert clocks.read_boot_time_s() >= time.monotonic() - 1e-3
