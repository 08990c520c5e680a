"""Tests of upstreams that send bytes without end which are no answer."""

import asyncio
import contextlib
import time
from unittest import mock

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.forwarding import events
from fuchsiabarrow.forwarding import stream_states
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.utils import loops
from fuchsiabarrow.utils.tests import virtual_time

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes that an upstream may send before it is given up; includes what the
# buffers of both sockets hold.
MAX_SENT_BYTES = 24 * 1_048_576
MAX_TIME_S = 5.0
BODY_LIMIT_BYTES = 1_048_576

ENDLESS_HEADS = {
    "no line end": (b"", b"x" * 1000),
    "status line": (b"HTTP/1.1 200 ", b"O" * 1000),
    "header field": (OK + b"A: ", b"a" * 1000),
    "header fields": (OK, b"A: a\r\n" * 100),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 10),
    "interim header fields": (b"HTTP/1.1 103 Early\r\n", b"A: a\r\n" * 100),
    "blank lines": (b"", b"\r\n" * 500),
}
ENDLESS_BODIES = {
    "unframed": (OK + b"\r\n", b"x" * 1000),
    "long": (OK + b"Content-Length: 99999999999\r\n\r\n", b"x" * 1000),
    "chunks": (CHUNKED, b"5\r\nxxxxx\r\n" * 100),
    "chunk size": (CHUNKED, b"0" * 1000),
    "malformed chunk size": (CHUNKED, b"zz\r\n" * 100),
    "chunk extension": (CHUNKED + b"5;", b"x" * 1000),
    "trailer field": (CHUNKED + b"0\r\nA: ", b"a" * 1000),
    "trailer fields": (CHUNKED + b"0\r\n", b"A: a\r\n" * 100),
}


class EndlessUpstream:
    """Answers with a beginning, then repeats bytes until it is closed."""

    def __init__(self, begin: bytes, repeated: bytes):
        self.begin = begin
        self.repeated = repeated
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.begin)
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()
                await asyncio.sleep(0)
        self.closed.set()


def exchange(begin: bytes, repeated: bytes) -> tuple[int, float]:
    """Returns the bytes sent and the time until the upstream was given up."""

    async def run():
        upstream = EndlessUpstream(begin, repeated)
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        started_s = time.monotonic()
        async with connection_pools.ConnectionPool(1.0) as pool:
            async with asyncio.timeout(MAX_TIME_S):
                connection = await pool.open(f"{host}:{port}")
                with pytest.raises(exceptions.UpstreamResponseLostError):
                    async with connection:
                        connection.send(REQUEST)
                        await connection.read_head()
                        await connection.read_body(BODY_LIMIT_BYTES)
                await upstream.closed.wait()
        server.close()
        return upstream.sent_bytes, time.monotonic() - started_s

    return loops.run(run())


def test_idle_connection_with_endless_bytes_is_closed():
    async def run():
        upstream = EndlessUpstream(OK + b"Content-Length: 4\r\n\r\nbody", b"")
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with connection_pools.ConnectionPool(1.0) as pool:
            async with asyncio.timeout(MAX_TIME_S):
                connection = await pool.open(f"{host}:{port}")
                async with connection:
                    connection.send(REQUEST)
                    await connection.read_head()
                    await connection.read_body(BODY_LIMIT_BYTES)
                upstream.repeated = b"HTTP/1.1 200 OK\r\n\r\n"
                await upstream.closed.wait()
        server.close()
        return upstream.sent_bytes

    assert loops.run(run()) <= MAX_SENT_BYTES


@pytest.mark.parametrize("kind", ENDLESS_HEADS)
def test_endless_head_is_given_up(kind):
    sent_bytes, _ = exchange(*ENDLESS_HEADS[kind])
    assert sent_bytes <= MAX_SENT_BYTES


@pytest.mark.parametrize("kind", ENDLESS_BODIES)
def test_endless_body_is_given_up(kind):
    sent_bytes, _ = exchange(*ENDLESS_BODIES[kind])
    assert sent_bytes <= MAX_SENT_BYTES


@pytest.mark.parametrize(
    "repeated",
    [b"x" * 65_536, b"\n" * 65_536, (b": " + b"x" * 60 + b"\n\n") * 1_024],
)
def test_stream_of_endless_bytes_is_aborted(repeated):
    first = fleets.make_instance(
        "i", "a", "fast", (0, 80), address="10.0.0.1:80"
    )
    read_bytes = 0

    class EndlessScript(list):
        """Repeats its last step without end."""

        def pop(self, index):
            nonlocal read_bytes
            if len(self) > 1:
                return super().pop(index)
            read_bytes += len(repeated)
            return self[0]

    async def run():
        harness = fakes.Harness(first)
        script = [*fakes.stream(1, 3), repeated]
        harness.script(first.address, script)
        request = fakes.make_stream_request()
        with mock.patch.object(fakes, "list", EndlessScript, create=True):
            return await harness.serve(request)

    writer = virtual_time.run(run())
    assert writer.is_aborted
    assert not writer.is_finished
    assert read_bytes <= MAX_SENT_BYTES * stream_states.MAX_SENDS


def test_events_in_single_bytes_are_parsed_in_linear_time():
    parser = events.EventParser()
    started_s = time.process_time()
    for _ in range(events.MAX_EVENT_BYTES):
        parser.feed(b"x")
    assert time.process_time() - started_s < MAX_TIME_S
