"""Probes of instances that failed."""

import asyncio

import aiohttp
import msgspec

from fuchsiabarrow.adapters import engines
from fuchsiabarrow.ports import instances

__all__ = ["make_probe"]


def make_probe(session: aiohttp.ClientSession, timeout_s: float):
    """Returns a function that tells whether an instance answers.

    An engine must answer a probe on a new connection; a plain service, which is
    not to be sent a call, must take a connection.

    Args:
        session: HTTP session, owned by the caller.
        timeout_s: Bound on a probe.
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
        work = probe_engine if is_engine else probe_service
        try:
            async with asyncio.timeout(timeout_s):
                await work(instance.address)
        except (aiohttp.ClientError, TypeError, OSError):
            return False  # A closed socket gives a message of another type.
        return True

    return probe
