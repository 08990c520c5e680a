"""Failures after a part of an answer was sent, on one connection."""

import asyncio
import types

import aiohttp
import aiohttp.web
import pytest

from fuchsiabarrow.entry import problems
from fuchsiabarrow.entry import sse
from fuchsiabarrow.telemetry import metrics
from fuchsiabarrow.utils import listeners

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
DATA = b"data: token\n\n"


async def receive(handle) -> bytes:
    """Returns all bytes that the answer of a handler consists of."""
    app = aiohttp.web.Application(middlewares=[problems.make_middleware()])
    app.router.add_get("/", handle)
    async with listeners.Listener(app, "127.0.0.1:0") as listener:
        host, port = listener.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(REQUEST)
        received = b""
        try:
            async with asyncio.timeout(2.0):
                while data := await reader.read(65_536):
                    received += data
        except TimeoutError:
            received += b"(still open)"
        writer.close()
    return received


# Guards against a problem document in the middle of an answer.
@pytest.mark.parametrize(
    "error",
    [
        ValueError("not expected"),
        aiohttp.web.HTTPRequestEntityTooLarge(1, 2),
        aiohttp.web.HTTPNotFound(),
        aiohttp.web.RequestPayloadError("malformed"),
    ],
)
def test_error_after_a_part_of_an_answer_cuts_it_off(error):
    async def handle(request):
        response = aiohttp.web.StreamResponse()
        await response.prepare(request)
        await response.write(DATA)
        raise error

    received = asyncio.run(receive(handle))
    assert received.count(b"HTTP/1.1") == 1
    assert received.endswith(DATA + b"\r\n")


# Guards against a stream that looks complete, as an error of another connection
# was taken for one of the caller's.
@pytest.mark.parametrize(
    "error", [aiohttp.ClientError("engine"), ConnectionResetError("engine")]
)
def test_stream_that_fails_on_another_connection_is_cut_off(error):
    async def read(start):
        yield 0, 7
        raise error

    stream = types.SimpleNamespace(
        request=types.SimpleNamespace(request_id="r1", pipeline="quotes"),
        digests=[1],
        read=read,
    )

    async def handle(request):
        writer = sse.EventWriter(
            request, stream, None, metrics.PipelineMetrics(), None
        )
        await writer.write_all(0.0)
        return writer.response

    received = asyncio.run(receive(handle))
    assert received.count(b"id: ") == 1
    assert not received.endswith(b"0\r\n\r\n")
    assert not received.endswith(b"(still open)")
