"""Probes that check whether a failed instance responds again."""

import asyncio

import aiohttp
import msgspec

from fuchsiabarrow.adapters import engines
from fuchsiabarrow.ports import instances

__all__ = ["make_probe"]


def make_probe(session: aiohttp.ClientSession, timeout_s: float):
    """Returns a function that checks whether an instance responds.

    An engine has to answer a probe on a new connection. A plain service only
    has to accept a connection, as a call could have side effects.

    Args:
        session: HTTP session, owned by the caller.
        timeout_s: Timeout of a probe in seconds.
    """

    async def probe_engine(address: str) -> None:
        url = f"http://{address}{engines.STEPS_PATH}"
        timeout = aiohttp.ClientWSTimeout(ws_close=engines.CLOSE_TIMEOUT_S)
        async with session.ws_connect(url, timeout=timeout) as socket:
            await socket.send_bytes(msgspec.msgpack.encode([engines.PROBE]))
            await socket.receive_bytes()

    async def probe_service(address: str) -> None:
        host, _, port = address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.close()

    async def probe(instance: instances.Instance) -> bool:
        is_engine = instance.kind == "engine"
        send_probe = probe_engine if is_engine else probe_service
        try:
            async with asyncio.timeout(timeout_s):
                await send_probe(instance.address)
        except (aiohttp.ClientError, TypeError, OSError):
            # `receive_bytes` raises TypeError if the WebSocket was closed.
            return False
        return True

    return probe
