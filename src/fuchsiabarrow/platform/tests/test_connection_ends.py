"""Each request that was read has one final answer, and nothing follows it."""

import asyncio

import logbook
import pytest

from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import caller_connections
from fuchsiabarrow.platform.tests import sample_objects

ATTEMPT_ID = wire_names.ATTEMPT_ID.lower()
ROUTES = {
    "read": sample_objects.make_route(
        name="read",
        path_prefix="/read/",
        kind="idempotent",
        service="desk",
        timeout_ms=2000,
    ),
    "draft": sample_objects.make_route(name="draft", path_prefix="/draft/"),
}
GENERATION = caller_connections.GENERATION


def run(test):
    return caller_connections.run(test, ROUTES)


# Guards against pipelined requests that were read and end without an answer, as
# the first answer of a shutdown closes their connection.
def test_pipelined_requests_are_all_answered_during_a_shutdown():
    async def test(deployment):
        caller = await deployment.connect()
        deployment.entry.kernel.get("frontend").stop()
        caller.writer.write(
            b"".join(
                caller_connections.make_request("/read/x", request_id=f"r{n}")
                for n in range(3)
            )
        )
        answers = [await caller.read_answer() for _ in range(3)]
        assert not await caller.is_open_after(1.0)
        return answers

    answers = run(test)
    assert [answer.status for answer in answers] == [200, 200, 200]
    assert [a.headers[ATTEMPT_ID] for a in answers] == ["r0", "r1", "r2"]
    assert [a.headers.get("connection") for a in answers] == [
        None,
        None,
        "close",
    ]


def call_beside(name, entry, path="/draft/x", **headers):
    """Sends requests while the list of upstreams has another object."""

    async def test(deployment):
        await deployment.store.put("servers", name, entry(deployment))
        await asyncio.sleep(caller_connections.ADOPTION_S)
        caller = await deployment.connect()
        return [
            (await caller.exchange(path, "POST", b"p", **headers)).status
            for _ in range(6)
        ]

    return run(test)


# Guards against requests that an address nobody can connect to ends with 500.
@pytest.mark.parametrize("address", ["10.2.9.9:99999", "host:80", "10.2.9:80"])
def test_upstream_with_an_unusable_address_is_ignored(address):
    def make(_):
        return sample_objects.make_server(
            service="desk", address=address, kind=None, layers=None
        )

    assert call_beside("other", make, "/read/x") == [200] * 6


# Guards against requests that end with 500 while layers, as registered or after
# a change of the configuration, fill the memory of some instance.
def test_instance_without_memory_for_requests_is_not_used():
    def make(_):
        return sample_objects.make_server(
            address="10.2.9.9:80",
            kind="a100",
            layers={"start_key": 0, "to": 80, "version": 1},
        )

    assert call_beside("other", make, **GENERATION) == [200] * 6


# Guards against a 500 in place of a refusal while an instance holds layers that
# the model of the configuration does not have.
def test_request_without_a_path_is_refused_beside_unknown_layers():
    def make(deployment):
        left = deployment.upstreams["left"]
        left.layers = (70, 90)
        return left.make_entry()

    assert call_beside("left", make, **GENERATION) == [503] * 6


# Guards against a 500 for numbers that no floating-point number can hold.
@pytest.mark.parametrize("digits", [13, 400, 5000])
def test_token_counts_that_are_too_long_are_rejected(digits):
    def make(deployment):
        return deployment.upstreams["left"].make_entry()

    headers = {wire_names.TOKEN_COUNTS: "9" * digits + ",1"}
    assert call_beside("left", make, **headers) == [400] * 6


# Guards against a stream that waits until its time limit, and is cut then, as
# the capacity that it still holds on the path that it lost is missing for the
# next one.
def test_stream_that_fills_over_half_of_an_instance_can_be_resumed():
    async def test(deployment):
        await asyncio.sleep(caller_connections.WARM_UP_S)
        left = deployment.upstreams["left"]
        left.event_count, left.gap_s = 8, 0.2
        caller = await deployment.connect()
        exchange = asyncio.create_task(
            caller.exchange(
                "/draft/x", "POST", b"p", **{wire_names.TOKEN_COUNTS: "1200,60"}
            )
        )
        await asyncio.sleep(0.7)
        deployment.kill_upstream("left")
        await asyncio.sleep(1.0)
        again = await deployment.add_upstream("left-again", "model", (0, 40))
        again.event_count = 8
        return await exchange

    answer = run(test)
    assert answer.is_complete
    assert answer.body.count(b"id: ") == 8
    assert answer.took_s < 3.0


# Guards against a refusal for lack of capacity that the request itself holds,
# on a path whose first instance it did not reach.
def test_request_that_does_not_reach_its_first_instance_gets_another_path():
    async def test(deployment):
        for name in ("left-2", "left-3", "left-4"):
            await deployment.add_upstream(name, "model", (0, 40))
        await asyncio.sleep(caller_connections.WARM_UP_S)
        for name in ("left", "left-2", "left-3"):
            deployment.kill_upstream(name)
        caller = await deployment.connect()
        headers = {wire_names.TOKEN_COUNTS: "1200,60"}
        return await caller.exchange("/draft/x", "POST", b"p", **headers)

    answer = run(test)
    assert (answer.status, answer.body.count(b"id: ")) == (200, 5)


def test_body_is_judged_by_the_limits_at_its_head():
    async def test(deployment):
        answers = []
        for limit_bytes, size in ((100, 1000), (10_000, 200)):
            caller = await deployment.connect()
            request = caller_connections.make_request(
                "/read/x", "POST", b"x" * size
            )
            caller.writer.write(request[:-size])
            await asyncio.sleep(0.1)
            await deployment.change_limits(max_body_bytes=limit_bytes)
            caller.writer.write(request[-size:])
            answers.append((await caller.read_answer()).status)
        return answers

    assert run(test) == [200, 413]


# Guards against bytes of an answer that its caller did not wait for.
def test_body_is_sent_after_the_interim_answer_and_answered_once():
    async def test(deployment):
        caller = await deployment.connect()
        request = caller_connections.make_request(
            "/read/x", "POST", b"body", Expect="100-continue"
        )
        caller.writer.write(request[:-4])
        interim = await caller.reader.readuntil(b"\r\n\r\n")
        caller.writer.write(request[-4:])
        answer = await caller.read_answer()
        next_answer = await caller.exchange("/read/x")
        assert await caller.is_open_after(1.0)
        return interim, answer.status, answer.body[-8:], next_answer.status

    assert run(test) == (
        b"HTTP/1.1 100 Continue\r\n\r\n",
        200,
        b":b'body'",
        200,
    )


@pytest.mark.parametrize(
    "rest", [b"GET / HTTP/9\r\n\r\n", b"\x00\x01\r\n\r\n", b"a b c d\r\n\r\n"]
)
def test_malformed_head_behind_a_request_leaves_its_answer_whole(rest):
    async def test(deployment):
        deployment.upstreams["desk-1"].delay_s = 0.5
        deployment.upstreams["desk-2"].delay_s = 0.5
        caller = await deployment.connect()
        caller.writer.write(caller_connections.make_request("/read/x"))
        # The library drops requests that it reads together with the error.
        await asyncio.sleep(0.1)
        caller.writer.write(rest)
        answers = [await caller.read_answer() for _ in range(2)]
        assert not await caller.is_open_after(1.0)
        return [(answer.status, answer.is_complete) for answer in answers]

    assert run(test) == [(200, True), (400, True)]


# More than the HTTP library reads ahead.
def test_many_pipelined_requests_are_answered_in_order():
    async def test(deployment):
        caller = await deployment.connect()
        for number in range(100):
            caller.writer.write(
                caller_connections.make_request(
                    "/read/x", request_id=f"r{number}"
                )
            )
        answers = [await caller.read_answer() for _ in range(100)]
        assert await caller.is_open_after(1.0)
        return [(a.status, a.headers[ATTEMPT_ID]) for a in answers]

    assert run(test) == [(200, f"r{number}") for number in range(100)]


# A caller that closes one direction cannot be told from one that left.
def test_caller_that_closes_its_direction_is_taken_for_one_that_left():
    async def test(deployment):
        for upstream in deployment.upstreams.values():
            upstream.delay_s = 1.0
        caller = await deployment.connect()
        caller.writer.write(caller_connections.make_request("/read/x"))
        await asyncio.sleep(0.2)
        caller.writer.write_eof()
        answer = await caller.read_answer()
        return answer.status, answer.took_s

    with logbook.TestHandler() as handler:
        assert run(test)[0] is None
    events = [record.message.split()[0] for record in handler.records]
    assert events.count("event=caller_left") == 1


# Guards against a shutdown that ends between the arrival of a request and the
# start of its handler: the request had neither an answer nor a refusal.
def test_request_read_as_the_shutdown_ends_is_refused():
    async def test(deployment):
        caller = await deployment.connect()
        await asyncio.sleep(1.0)
        (connection,) = deployment.get_server_connections()
        listener = deployment.entry.kernel.get("frontend_listener")
        close_idle = listener.close_idle

        def receive_first(busy):
            if connection.is_waiting:
                connection.data_received(
                    caller_connections.make_request("/read/x")
                )
            close_idle(busy)

        listener.close_idle = receive_first
        await deployment.entry.drain()
        return await caller.read_answer()

    assert run(test).status == 503
