import asyncio
import time

import aiohttp.web
import pytest

from fuchsiabarrow.utils import listeners
from fuchsiabarrow.utils import loops
from fuchsiabarrow.utils.tests import free_ports

# More than the buffers of both sockets hold together.
UNREAD_BYTES = 14 * 1_048_576
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


# Guards against a connection that ends at the idle limit without a line.
@pytest.mark.parametrize(
    ("sent", "expected"),
    [
        (b"", []),
        (REQUEST[:20], [listeners.CloseCause.IDLE_LIMIT]),
        (REQUEST, []),
        (REQUEST[:20] + b"|" + REQUEST[20:], []),
    ],
)
def test_part_of_a_request_closed_at_the_idle_limit_is_reported(sent, expected):
    async def handle(_):
        return aiohttp.web.Response()

    async def run():
        causes = []
        server = listeners.Server(
            handle,
            lambda: listeners.TimeLimits(idle_s=0.3, head_s=0.2),
            on_cut=lambda connection: causes.append(connection.close_cause),
            access_log=None,
        )
        (port,) = free_ports.find_ports(1)
        async with listeners.ServerListener(server, f"127.0.0.1:{port}"):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for part in sent.split(b"|"):
                writer.write(part)
                await asyncio.sleep(0.05)
            async with asyncio.timeout(5.0):
                await reader.read()
            writer.close()
        return causes

    assert asyncio.run(run()) == expected


def test_part_of_a_request_whose_caller_leaves_is_not_reported():
    async def run():
        causes = []
        server = listeners.Server(
            None,
            lambda: listeners.TimeLimits(idle_s=15.0, head_s=3.0),
            on_cut=lambda c: causes.append(c.close_cause),
        )
        (port,) = free_ports.find_ports(1)
        async with listeners.ServerListener(server, f"127.0.0.1:{port}"):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST[:20])
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
        return causes

    assert asyncio.run(run()) == []


# Guards against seconds of waiting for handlers that do not end by themselves.
def test_listener_with_hanging_requests_is_left_at_once():
    async def run():
        causes = []

        async def handle(request):
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                if isinstance(request.protocol, listeners.Connection):
                    causes.append(request.protocol.close_cause)
                raise

        app = aiohttp.web.Application()
        app.router.add_get("/", handle)
        loop = asyncio.get_running_loop()
        (port,) = free_ports.find_ports(1)
        server = listeners.Server(
            handle,
            lambda: listeners.TimeLimits(idle_s=15.0, head_s=3.0),
            handler_cancellation=True,
        )
        other = listeners.Listener(app, "127.0.0.1:0", 0.01)
        async with (
            listeners.ServerListener(server, f"127.0.0.1:{port}"),
            other,
        ):
            readers = []
            for address in [f"127.0.0.1:{port}", other.address] * 3:
                reader, writer = await asyncio.open_connection(
                    *address.split(":")
                )
                writer.write(REQUEST)
                readers.append((reader, writer))
            await asyncio.sleep(0.1)
            left_at_s = loop.time()
        took_s = loop.time() - left_at_s
        for reader, writer in readers:
            assert await reader.read() == b""
            writer.close()
        return took_s, causes

    took_s, causes = asyncio.run(run())
    assert took_s < 0.5
    assert causes.count(listeners.CloseCause.SHUTDOWN_LIMIT) == 3


# Guards against a shutdown that closes a connection whose request was read, but
# had not reached its handler, as the event loop was held up.
def test_connection_with_an_unhandled_request_is_not_closed_as_idle():
    async def handle(_):
        return aiohttp.web.Response(text="answer")

    async def run():
        server = listeners.Server(
            handle,
            lambda: listeners.TimeLimits(idle_s=15.0, head_s=3.0),
            access_log=None,
        )
        (port,) = free_ports.find_ports(1)
        listener = listeners.ServerListener(server, f"127.0.0.1:{port}")
        async with listener:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await asyncio.sleep(0.05)
            (connection,) = server.connections
            connection.data_received(REQUEST)
            time.sleep(2 * listeners.IDLE_AFTER_S)
            listener.close_idle(())
            async with asyncio.timeout(5.0):
                answer = await reader.readuntil(b"answer")
            writer.close()
        return answer

    assert asyncio.run(run()).startswith(b"HTTP/1.1 200")


# Guards against sockets of callers that read nothing and stay open for ever
# after their connections were closed, and against the loss of the rest of an
# answer without a line.
@pytest.mark.parametrize("is_cut", [True, False])
@pytest.mark.parametrize("make_loop", [asyncio.new_event_loop, loops.make_loop])
def test_closed_connection_ends_although_its_caller_reads_nothing(
    is_cut, make_loop, monkeypatch
):
    monkeypatch.setattr(listeners, "STALLED_WRITE_S", 0.3)

    async def handle(request):
        # Nothing waits for these bytes, as after the end of a small answer.
        request.transport.set_write_buffer_limits(high=UNREAD_BYTES * 2)
        response = aiohttp.web.Response(body=b"x" * UNREAD_BYTES)
        response.force_close()
        await response.prepare(request)
        await response.write_eof()
        if is_cut:
            raise asyncio.CancelledError
        return response

    causes = []

    async def run():
        server = listeners.Server(
            handle,
            lambda: listeners.TimeLimits(idle_s=15.0, head_s=3.0),
            on_cut=lambda connection: causes.append(connection.close_cause),
            access_log=None,
        )
        (port,) = free_ports.find_ports(1)
        async with listeners.ServerListener(server, f"127.0.0.1:{port}"):
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            await asyncio.sleep(0.2)
            was_open = len(server.connections)
            async with asyncio.timeout(5.0):
                while server.connections:
                    await asyncio.sleep(0.05)
            writer.transport.abort()
        return was_open

    with asyncio.Runner(loop_factory=make_loop) as runner:
        assert runner.run(run()) == 1
    # A handler that cuts its answer has a line of its own.
    assert causes == ([] if is_cut else [listeners.CloseCause.SLOW_CALLER])
