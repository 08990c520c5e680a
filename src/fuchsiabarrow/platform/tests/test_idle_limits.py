"""How long the entry keeps connections of callers that are idle."""

import asyncio

import pytest

from fuchsiabarrow.platform.tests import caller_connections
from fuchsiabarrow.platform.tests import sample_objects

ROUTES = {
    "read": sample_objects.make_route(
        name="read", path_prefix="/read/", kind="idempotent", service="desk"
    )
}


def run(test, **limits):
    return caller_connections.run(test, ROUTES, limits=limits)


# Guards against connections closed at a limit that is not the configured one:
# callers reuse those that have been idle for up to four fifths of it.
@pytest.mark.parametrize("limit_s", [2.0, 15.0, 60.0])
def test_idle_connection_is_kept_for_the_configured_limit(limit_s):
    async def test(deployment):
        caller = await deployment.connect()
        for _ in range(3):
            answer = await caller.exchange("/read/x")
            assert answer.status == 200
            assert await caller.is_open_after(0.95 * limit_s)
        return await caller.is_open_after(0.1 * limit_s + 0.1)

    assert not run(test, idle_timeout_ms=limit_s * 1000)


def test_raised_limit_holds_for_connections_that_are_open():
    async def test(deployment):
        caller = await deployment.connect()
        await caller.exchange("/read/x")
        await asyncio.sleep(5.0)
        await deployment.change_limits(idle_timeout_ms=40_000)
        assert await caller.is_open_after(30.0)
        return (await caller.exchange("/read/x")).status

    assert run(test, idle_timeout_ms=10_000) == 200


# Callers may not know yet of the lower limit.
def test_lowered_limit_holds_only_from_the_next_request_on():
    async def test(deployment):
        caller = await deployment.connect()
        await caller.exchange("/read/x")
        await deployment.change_limits(idle_timeout_ms=2_000)
        assert await caller.is_open_after(9.0)
        assert (await caller.exchange("/read/x")).status == 200
        # The timer of the older limit may still run.
        return await caller.is_open_after(10.0)

    assert not run(test, idle_timeout_ms=10_000)


def test_request_longer_than_the_idle_limit_is_answered():
    async def test(deployment):
        for name in ("desk-1", "desk-2"):
            deployment.upstreams[name].delay_s = 5.0
        caller = await deployment.connect()
        return (await caller.exchange("/read/x")).status

    assert run(test, idle_timeout_ms=1_000) == 200


# Guards against a connection closed in the middle of a head that began in time.
def test_head_that_begins_before_the_limit_may_be_completed():
    async def test(deployment):
        caller = await deployment.connect()
        request = caller_connections.make_request("/read/x")
        await asyncio.sleep(1.9)
        caller.writer.write(request[:40])
        await asyncio.sleep(1.0)
        caller.writer.write(request[40:])
        return (await caller.read_answer()).status

    assert run(test, idle_timeout_ms=2_000, header_timeout_ms=3_000) == 200


def test_request_that_is_read_as_the_limit_ends_is_answered():
    async def test(deployment):
        caller = await deployment.connect()
        connection = next(iter(deployment.get_server_connections()))

        # The order of timers of the same time is not defined. The request is
        # read first, in the same iteration of the loop.
        def read_and_expire() -> None:
            connection.data_received(caller_connections.make_request("/read/x"))
            connection._process_keepalive()

        connection._keepalive_handle.cancel()
        asyncio.get_running_loop().call_at(
            connection._idle_since_s + 2.0, read_and_expire
        )
        await asyncio.sleep(1.0)
        return (await caller.read_answer()).status

    assert run(test, idle_timeout_ms=2_000) == 200
