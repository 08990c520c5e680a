"""Adapter for load orders to model engines over HTTP."""

import aiohttp
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import orders

__all__ = ["HttpEngineOrders"]

HTTP_CONFLICT = 409
HTTP_OK = 200


class HttpEngineOrders:
    """Client of the engines' HTTP interface for load orders.

    Args:
        session: HTTP session, owned by the caller.
        timeout_s: Timeout of a call in seconds.
    """

    def __init__(self, session: aiohttp.ClientSession, timeout_s: float):
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def read_state(self, address: str) -> orders.EngineState:
        """Implements `fuchsiabarrow.ports.orders.EngineOrders.read_state`."""
        body = await self._call("GET", address, b"")
        return msgspec.json.decode(body, type=orders.EngineState)

    async def order_load(self, address: str, order: orders.LoadOrder) -> None:
        """Implements `fuchsiabarrow.ports.orders.EngineOrders.order_load`."""
        await self._call("PUT", address, msgspec.json.encode(order))

    async def _call(self, method: str, address: str, body: bytes) -> bytes:
        url = f"http://{address}/v1/assignment"
        try:
            async with self._session.request(
                method, url, data=body, timeout=self._timeout
            ) as response:
                answer = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.InstanceUnreachableError(
                address,
                "no answer to a load order or state query"
                f" ({type(error).__name__})",
            ) from error
        if response.status == HTTP_CONFLICT:
            raise exceptions.InstanceRefusedError(
                address, "outdated fencing token"
            )
        if response.status != HTTP_OK:
            raise exceptions.InstanceUnreachableError(
                address, f"answered with unexpected status {response.status}"
            )
        return answer
