"""Tests that timeouts are not attributed to the peer after a process pause."""

import asyncio
import time

import pytest

from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import deadlines


def test_answer_that_arrives_during_a_process_pause_is_returned():
    async def check():
        loop = asyncio.get_running_loop()
        answer = loop.create_future()

        async def wait_for_answer():
            return await answer

        work = asyncio.create_task(deadlines.wait_for(wait_for_answer(), 0.1))
        await asyncio.sleep(0.01)
        time.sleep(0.3)
        # After a pause, the loop runs expired timers before it reads sockets.
        loop.call_later(0.02, answer.set_result, "received")
        assert await work == "received"

    asyncio.run(check())


def test_timeout_cancels_work_that_makes_no_progress():
    async def check():
        was_cancelled = asyncio.Event()

        async def hang():
            try:
                await asyncio.Event().wait()
            finally:
                was_cancelled.set()

        with pytest.raises(TimeoutError):
            await deadlines.wait_for(hang(), 0.02)
        assert was_cancelled.is_set()

    asyncio.run(check())


def test_cancelling_the_waiter_cancels_the_work():
    async def check():
        was_cancelled = asyncio.Event()

        async def hang():
            try:
                await asyncio.Event().wait()
            finally:
                was_cancelled.set()

        work = asyncio.create_task(deadlines.wait_for(hang(), 10))
        await asyncio.sleep(0.01)
        work.cancel()
        await asyncio.gather(work, return_exceptions=True)
        assert was_cancelled.is_set()

    asyncio.run(check())


def test_boot_time_is_not_behind_the_monotonic_clock():
    assert clocks.read_boot_time_s() >= time.monotonic() - 1e-3
