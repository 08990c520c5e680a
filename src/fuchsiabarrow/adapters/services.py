"""Adapter to plain services over HTTP."""

import aiohttp

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import services
from fuchsiabarrow.utils import deadlines
from fuchsiabarrow.utils import http_statuses

__all__ = ["HttpPlainService"]

HTTP_OK = 200
HTTP_NO_CONTENT = 204
MAX_ANSWER_BYTES = 256 * 1024
# The timeout of a whole call is enforced by `deadlines.wait_for`, which allows
# for pauses of this process, and not by aiohttp.
CONNECT_TIMEOUT = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
# Errors that aiohttp raises before the first byte of a call is sent.
NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class HttpPlainService:
    """Client of all plain services.

    A call closes its connection instead of leaving it for reuse: if a reused
    connection is reset, the client cannot know whether the service had already
    read the call.

    Args:
        session: HTTP session, owned by the caller.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session

    async def call(self, call: services.Call) -> services.CallAnswer:
        """Implements `fuchsiabarrow.ports.services.PlainService.call`."""
        try:
            return await deadlines.wait_for(self._post(call), call.timeout_s)
        except NOT_CONNECTED as error:
            raise exceptions.ServiceNotSentError(
                f"no connection to {call.address}; try another instance"
            ) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.ServiceOutcomeUnknownError(
                f"no answer from {call.address} ({type(error).__name__});"
                " the call may have run; query the outcome by its key"
            ) from error

    async def _post(self, call: services.Call) -> services.CallAnswer:
        headers = {
            "Idempotency-Key": call.key,
            "Fencing-Token": str(call.fence),
            "Content-Type": "application/json",
            "Connection": "close",
        }
        async with self._session.post(
            f"http://{call.address}{call.path}",
            data=call.body,
            headers=headers,
            timeout=CONNECT_TIMEOUT,
        ) as response:
            body = await _read_body(response)
        if not http_statuses.is_final(response.status):
            raise exceptions.ServiceOutcomeUnknownError(
                f"broken answer from {call.address} (status {response.status});"
                " the call may have run; query the outcome by its key"
            )
        did_not_run = response.headers.get("Did-Not-Run") == "true"
        return services.CallAnswer(response.status, body, did_not_run)

    async def query_outcome(
        self, call: services.Call
    ) -> services.CallAnswer | None:
        """Implements `services.PlainService.query_outcome`."""
        url = f"http://{call.address}{call.path}/{call.key}"
        headers = {"Fencing-Token": str(call.fence)}
        timeout = aiohttp.ClientTimeout(total=call.timeout_s)
        try:
            async with self._session.get(
                url, headers=headers, timeout=timeout
            ) as response:
                body = await _read_body(response)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.ServiceError(
                f"{call.address} did not answer an outcome query; retry it"
            ) from error
        if response.status == HTTP_NO_CONTENT:
            return None
        if response.status != HTTP_OK:
            raise exceptions.ServiceError(
                f"{call.address} refused an outcome query with status"
                f" {response.status}; set the guard of its actions to none"
            )
        return services.CallAnswer(response.status, body, False)


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Returns the complete body.

    Raises:
        ClientPayloadError: The body was truncated or is too large.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise aiohttp.ClientPayloadError(
                f"the response body exceeds {MAX_ANSWER_BYTES} bytes"
            )
    return bytes(body)
