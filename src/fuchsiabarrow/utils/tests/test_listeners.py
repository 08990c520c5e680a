import asyncio
import time

import aiohttp.web
import pytest

from fuchsiabarrow.utils import listeners
from fuchsiabarrow.utils.tests import free_ports

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
