"""Adapter to plain services over HTTP."""

import aiohttp

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import services

__all__ = ["HttpPlainService"]

HTTP_OK = 200
HTTP_NO_CONTENT = 204
MAX_ANSWER_BYTES = 256 * 1024


class HttpPlainService:
    """Client of all plain services.

    Every call uses a connection of its own: a reset of a kept connection
    cannot be told from a reset after the call was read.

    Args:
        session: HTTP session, owned by the caller.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def call(self, call: services.Call) -> services.CallAnswer:
        """Implements `fuchsiabarrow.ports.services.PlainService.call`."""
        url = f"http://{call.address}{call.path}"
        headers = {
            "Idempotency-Key": call.key,
            "Fencing-Token": str(call.fence),
            "Content-Type": "application/json",
            "Connection": "close",
        }
        timeout = aiohttp.ClientTimeout(total=call.timeout_s)
        try:
            async with self._session.post(
                url, data=call.body, headers=headers, timeout=timeout
            ) as response:
                body = await response.content.read(MAX_ANSWER_BYTES)
        except aiohttp.ClientConnectorError as error:
            raise exceptions.ServiceNotSentError(
                f"no connection to {call.address}; try another instance"
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.ServiceUncertainError(
                f"the answer of {call.address} was lost"
                f" ({type(error).__name__}); ask for the outcome by its key"
            ) from error
        did_not_run = response.headers.get("Did-Not-Run") == "true"
        return services.CallAnswer(response.status, body, did_not_run)

    async def ask(self, call: services.Call) -> services.CallAnswer | None:
        """Implements `fuchsiabarrow.ports.services.PlainService.ask`."""
        url = f"http://{call.address}{call.path}/{call.key}"
        headers = {"Fencing-Token": str(call.fence)}
        timeout = aiohttp.ClientTimeout(total=call.timeout_s)
        try:
            async with self._session.get(
                url, headers=headers, timeout=timeout
            ) as response:
                body = await response.content.read(MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.ServiceError(
                f"{call.address} did not answer a question; ask again"
            ) from error
        if response.status == HTTP_NO_CONTENT:
            return None
        if response.status != HTTP_OK:
            raise exceptions.ServiceError(
                f"{call.address} refused a question with status"
                f" {response.status}; mark its guard as none"
            )
        return services.CallAnswer(response.status, body, False)
