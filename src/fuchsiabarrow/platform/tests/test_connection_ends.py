"""Each request that was read has one final answer, and nothing follows it."""

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
}


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
