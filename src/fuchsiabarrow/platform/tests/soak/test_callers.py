"""Tests of the connections on which callers account for every byte."""

import asyncio
import contextlib

import pytest

from fuchsiabarrow.platform.tests.soak import callers

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LAST_ANSWER = ANSWER.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n")
CHUNKED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
)
REFUSAL = b"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"
Ending = callers.Ending


async def exchange(
    parts: list[bytes], count: int, closes: bool, pause_s: float = 0.0
) -> tuple[list[callers.Answer], list[str]]:
    """Sends requests to a server that writes parts one after another.

    Returns:
        What the caller received for each request, and the violations.
    """
    violations: list[str] = []

    async def serve(reader, writer):
        await reader.readuntil(b"last")
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.005)
        if not closes:
            with contextlib.suppress(ConnectionError):
                await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    requests = [
        (f"r{n}", callers.make_request("/x", {}, b"last" * (n == count)))
        for n in range(1, count + 1)
    ]
    async with callers.Connections(violations.append) as connections:
        connection = await connections.open("e", f"127.0.0.1:{port}")
        futures = await connection.fetch(requests, pause_s)
        await asyncio.wait(futures, timeout=0.3)
        # Time for bytes that no request asked for.
        await asyncio.sleep(0.1)
    server.close()
    await server.wait_closed()
    await asyncio.sleep(0.01)
    return [future.result() for future in futures], violations


# Guards against answers that are taken apart where they arrive in pieces.
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
@pytest.mark.parametrize("answer", [ANSWER, CHUNKED_ANSWER])
def test_each_pipelined_request_gets_its_answer(answer, pause_s):
    data = answer + ANSWER
    parts = [data[n : n + 5] for n in range(0, len(data), 5)]
    answers, violations = asyncio.run(exchange(parts, 2, False, pause_s))
    assert [(a.ending, a.status, a.body) for a in answers] == [
        (Ending.ANSWERED, 200, b"ok")
    ] * 2
    assert violations == []


# Guards against a second answer that is not noticed.
@pytest.mark.parametrize(
    ("parts", "extra"),
    [
        ([ANSWER + REFUSAL], REFUSAL),
        ([ANSWER, REFUSAL], REFUSAL),
        ([LAST_ANSWER, REFUSAL], REFUSAL),
        ([ANSWER + b"\0"], b"\0"),
    ],
)
def test_bytes_after_an_answer_are_detected(parts, extra):
    answers, violations = asyncio.run(exchange(parts, 1, False))
    assert answers[0].ending is Ending.ANSWERED
    assert len(violations) == 1
    assert "to e, after r1" in violations[0]
    assert repr(extra) in violations[0]


# Guards against a second answer that is taken for that of the next request.
def test_second_answer_before_that_of_the_next_request_is_detected():
    answers, violations = asyncio.run(
        exchange([ANSWER + REFUSAL + ANSWER], 2, False)
    )
    assert [a.status for a in answers] == [200, 504]
    assert violations


# Guards against bytes that are no answer and are waited for.
def test_bytes_that_are_no_answer_are_detected():
    answers, violations = asyncio.run(exchange([b"ok\r\n\r\n"], 1, False))
    assert answers[0].ending is Ending.GIVEN_UP
    assert "invalid answer" in violations[0]


# Guards against a cut that counts as an answer, or for the wrong request.
@pytest.mark.parametrize(
    ("data", "closes", "endings"),
    [
        (b"", True, [Ending.NO_HEAD, Ending.BEHIND_LAST]),
        (ANSWER[:-1], True, [Ending.IN_ANSWER, Ending.BEHIND_LAST]),
        (
            CHUNKED_ANSWER[:-5],
            True,
            [Ending.IN_ANSWER, Ending.BEHIND_LAST],
        ),
        (ANSWER, True, [Ending.ANSWERED, Ending.NO_HEAD]),
        (LAST_ANSWER, True, [Ending.ANSWERED, Ending.BEHIND_LAST]),
        (ANSWER[:-1], False, [Ending.GIVEN_UP, Ending.GIVEN_UP]),
    ],
)
def test_end_of_the_connection_ends_each_request(data, closes, endings):
    answers, violations = asyncio.run(exchange([data], 2, closes))
    assert [a.ending for a in answers] == endings
    assert violations == []


# Guards against a refused connection that ends the soak.
def test_connection_that_is_not_accepted_is_an_error():
    async def run():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        async with callers.Connections(print) as connections:
            with pytest.raises(ConnectionRefusedError):
                await connections.open("e", f"127.0.0.1:{port}")

    asyncio.run(run())
