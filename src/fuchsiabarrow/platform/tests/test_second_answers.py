import asyncio
import dataclasses

import logbook
import pytest

from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform import requests
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import slow_callers

HEAD = messages.ResponseHead(200, "OK", (), "r1", False, "", True, None)
FAILED = messages.ResponseHead(500, "Error", (), "r1", False, "", True, None)
REFUSAL = messages.Refusal(messages.RefusalReason.TIMEOUT, False)
DATA = b"data: token\n\n"


async def begin_stream(writer):
    await writer.start(HEAD)
    await writer.write(DATA)


async def finish_stream(writer):
    await begin_stream(writer)
    await writer.finish()


async def answer(writer):
    await writer.answer(HEAD, DATA)


async def cancel_answer(writer):
    """Hands over a whole answer, but does not wait until it is taken."""
    try:
        async with asyncio.timeout(0.1):
            await writer.answer(HEAD, b"x" * slow_callers.LARGE_BYTES)
    except TimeoutError:
        return
    raise AssertionError("the caller has read the answer")


async def refuse(writer):
    await writer.refuse(REFUSAL)


async def answer_failure(writer):
    await writer.answer(FAILED, b"failed")


async def reject(_):
    raise requests.BadRequestError(400, "not a request")


async def fail(_):
    raise ValueError("not expected")


async def start(writer):
    await writer.start(FAILED)


def run(first, second, method="GET"):
    """Serves a request with two answers in turn.

    Returns:
        The bytes that the caller received, and the lines that were logged.
    """

    async def main():
        has_begun = asyncio.Event()
        async with entry_harness.EntryHarness() as harness:

            async def serve(request, writer):
                await first(writer)
                has_begun.set()
                await second(writer)

            harness.entry.kernel.get("forwarding").serve = serve
            async with slow_callers.connect(harness) as caller:
                caller.send("r1", "/open/x", method=method)
                await has_begun.wait()
                return await caller.read_rest()

    with logbook.TestHandler() as handler:
        received = asyncio.run(main())
    return received, [record.message for record in handler.records]


# Guards against an error after a part of an answer: it was taken for the rest
# of the answer, or for the answer to the next request.
@pytest.mark.parametrize(
    "second", [refuse, answer_failure, reject, fail, start]
)
def test_second_answer_cuts_off_one_that_has_begun(second):
    received, lines = run(begin_stream, second)
    assert received.count(b"HTTP/1.1") == 1
    assert received.endswith(DATA + b"\r\n")
    event = "request_error" if second is fail else "second_answer"
    (line,) = [x for x in lines if x.startswith(f"event={event} ")]
    assert "request_id=r1" in line
    assert not [x for x in lines if "event=refused" in x or "=denied" in x]


# Guards against an answer that follows a whole one.
@pytest.mark.parametrize("first", [answer, finish_stream, cancel_answer])
@pytest.mark.parametrize("second", [refuse, answer_failure])
def test_second_answer_does_not_follow_a_whole_one(first, second):
    received, lines = run(first, second)
    assert received.count(b"HTTP/1.1") == 1
    if first is cancel_answer:
        assert received.endswith(b"x" * slow_callers.LARGE_BYTES)
    else:
        assert DATA in received
    (line,) = [x for x in lines if x.startswith("event=second_answer ")]
    assert f"is_complete={first is not cancel_answer}" in line


# Guards against the end of a body after the answer was cut off.
def test_answer_that_was_cut_off_is_not_finished():
    async def cut_and_finish(writer):
        writer.abort()
        await writer.finish()

    received, _ = run(begin_stream, cut_and_finish)
    assert received.endswith(DATA + b"\r\n")


# Guards against a body after an answer that has none by its method or status:
# the caller takes it for the answer to its next request.
@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
def test_no_body_follows_an_answer_that_must_not_have_one(method, status):
    async def begin(writer):
        await writer.start(dataclasses.replace(HEAD, status=status))

    async def write_body(writer):
        await writer.write(DATA)
        await writer.finish()

    received, _ = run(begin, write_body, method)
    assert received.startswith(b"HTTP/1.1 %d" % status)
    assert received.endswith(b"\r\n\r\n")
    assert received.count(b"\r\n\r\n") == 1
