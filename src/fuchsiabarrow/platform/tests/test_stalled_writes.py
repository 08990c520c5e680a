import asyncio

import aiohttp.web
import pytest

from fuchsiabarrow.platform.tests import simulated_network
from fuchsiabarrow.utils import listeners

CALLER, ENTRY, PORT = "10.0.0.1", "10.0.0.2", 80
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
ANSWER_BYTES = 2 * 1_048_576


class Reader(asyncio.Protocol):
    """Reads one segment, pauses, and so on until a number of bytes."""

    def __init__(self, pause_s: float, limit_bytes: int):
        self._pause_s = pause_s
        self._limit_bytes = limit_bytes
        self._transport = None
        self.received_bytes = 0

    def connection_made(self, transport):
        self._transport = transport
        transport.write(REQUEST)

    def data_received(self, data):
        self.received_bytes += len(data)
        self._transport.pause_reading()
        if self.received_bytes < self._limit_bytes:
            asyncio.get_running_loop().call_later(
                self._pause_s, self._transport.resume_reading
            )


async def answer_slow_reader(network, pause_s: float, limit_bytes: int):
    """Returns the cause of a cut, the bytes read and the seconds taken."""
    loop = asyncio.get_running_loop()
    caller = network.add_host(CALLER, "a")
    entry = network.add_host(ENTRY, "a")
    ended = loop.create_future()

    async def handle(request):
        response = aiohttp.web.Response(body=b"x" * ANSWER_BYTES)
        response.force_close()
        try:
            await response.prepare(request)
            await response.write_eof()
        finally:
            ended.set_result((request.protocol.close_cause, loop.time()))
        return response

    def make_reader():
        return Reader(pause_s, limit_bytes)

    server = listeners.Server(
        handle,
        lambda: listeners.TimeLimits(idle_s=15.0, head_s=3.0),
        handler_cancellation=True,
        access_log=None,
    )
    await entry.start(loop.create_server(server, ENTRY, PORT))
    began_s = loop.time()
    _, reader = await caller.start(
        loop.create_connection(make_reader, ENTRY, PORT)
    )
    async with asyncio.timeout(1000.0):
        cause, ended_s = await ended
    await asyncio.sleep(pause_s * 100)
    return cause, reader.received_bytes, ended_s - began_s


# Guards against callers that hold an answer's memory and socket for ever.
@pytest.mark.parametrize("limit_bytes", [1, 1_048_576])
def test_caller_that_stops_reading_is_cut_off(limit_bytes):
    async def main(network):
        return await answer_slow_reader(network, 0.01, limit_bytes)

    cause, _, took_s = simulated_network.run(main)
    assert cause is listeners.CloseCause.SLOW_CALLER
    limit_s = listeners.STALLED_WRITE_S
    assert limit_s <= took_s <= 2 * limit_s + 1.0


# Guards against a limit on slow callers that are still reading.
def test_caller_that_reads_slowly_gets_the_whole_answer():
    async def main(network):
        return await answer_slow_reader(network, 1.0, 2 * ANSWER_BYTES)

    cause, received_bytes, took_s = simulated_network.run(main)
    assert cause is None
    assert received_bytes > ANSWER_BYTES
    assert took_s > 2 * listeners.STALLED_WRITE_S
