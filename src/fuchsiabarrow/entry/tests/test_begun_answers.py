"""Failures after a part of an answer was sent, on one connection."""

import asyncio

import aiohttp.web
import pytest

from fuchsiabarrow.entry import problems
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
