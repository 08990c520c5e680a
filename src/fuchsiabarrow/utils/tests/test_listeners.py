import asyncio

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
