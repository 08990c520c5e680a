"""Adapter to the platform's instance list over HTTP."""

import aiohttp
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import instances

__all__ = ["HttpInstanceList"]

HTTP_OK = 200


class HttpInstanceList:
    """Client of the platform's instance list.

    Args:
        session: HTTP session, owned by the caller.
        address: ``ip:port`` of the server of the list.
        timeout_s: Timeout of a read in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ):
        self._session = session
        self._url = f"http://{address}/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def read(self) -> list[instances.Instance]:
        """Implements `fuchsiabarrow.ports.instances.InstanceList.read`."""
        try:
            async with self._session.get(
                self._url, timeout=self._timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_unavailable(error) from error
        if response.status != HTTP_OK:
            raise _make_unavailable(f"status {response.status}")
        try:
            return msgspec.json.decode(body, type=list[instances.Instance])
        except msgspec.MsgspecError as error:
            raise _make_unavailable(error) from error


def _make_unavailable(cause: object) -> exceptions.StoreUnavailableError:
    return exceptions.StoreUnavailableError(
        f"cannot read the instance list ({cause!r}); keeping the previous list"
    )
