"""Adapter to the platform's object API over HTTP."""

import base64

import aiohttp
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import objects
from fuchsiabarrow.utils import http_statuses

__all__ = ["HttpObjectStore"]

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412


class _Listing(msgspec.Struct, frozen=True):
    items: list[tuple[str, str, int]]


class HttpObjectStore:
    """Client of the object API.

    Args:
        session: HTTP session, owned by the caller.
        address: ``ip:port`` of the object API.
        timeout_s: Timeout of a call in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ):
        self._session = session
        self._base = f"http://{address}/objects"
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def get(self, kind: str, name: str) -> objects.VersionedObject | None:
        """Implements `fuchsiabarrow.ports.objects.ObjectStore.get`."""
        status, body, headers = await self._read(f"{self._base}/{kind}/{name}")
        if status == HTTP_NOT_FOUND:
            return None
        return objects.VersionedObject(name, body, int(headers["ETag"]))

    async def list(self, kind: str) -> list[objects.VersionedObject]:
        """Implements `fuchsiabarrow.ports.objects.ObjectStore.list`."""
        status, body, _ = await self._read(f"{self._base}/{kind}")
        if status == HTTP_NOT_FOUND:
            raise _make_unavailable(f"status {status}")
        listing = msgspec.json.decode(body, type=_Listing)
        return [
            objects.VersionedObject(name, base64.b64decode(value), version)
            for name, value, version in listing.items
        ]

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        """Implements `fuchsiabarrow.ports.objects.ObjectStore.put`."""
        url = f"{self._base}/{kind}/{name}"
        headers = {"If-Match": str(expected_version)}
        try:
            async with self._session.put(
                url, data=value, headers=headers, timeout=self._timeout
            ) as response:
                await response.read()
        except aiohttp.ClientConnectorError as error:
            raise _make_unavailable(error) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.StoreOutcomeUnknownError(
                f"no answer to a write of {kind}/{name}"
                f" ({type(error).__name__}); read it to see if it was written"
            ) from error
        if response.status == HTTP_PRECONDITION_FAILED:
            raise exceptions.StoreConflictError(
                f"{kind}/{name} is not at version {expected_version};"
                " read it and repeat the change"
            )
        _check_write(response.status, f"{kind}/{name}")
        return int(response.headers["ETag"])

    async def delete(self, kind: str, name: str) -> None:
        """Implements `fuchsiabarrow.ports.objects.ObjectStore.delete`."""
        url = f"{self._base}/{kind}/{name}"
        try:
            async with self._session.delete(
                url, timeout=self._timeout
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_unavailable(error) from error
        if response.status != HTTP_NOT_FOUND:
            _check_write(response.status, f"{kind}/{name}")

    async def _read(self, url: str):
        try:
            async with self._session.get(
                url, timeout=self._timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise _make_unavailable(error) from error
        if response.status not in (HTTP_OK, HTTP_NOT_FOUND):
            raise _make_unavailable(f"status {response.status}")
        return response.status, body, response.headers


def _check_write(status: int, name: str) -> None:
    """Checks the status of the answer to a write.

    Raises:
        StoreOutcomeUnknownError: HTTP does not define the status.
        StoreUnavailableError: The object API refused the write.
    """
    if not http_statuses.is_final(status):
        raise exceptions.StoreOutcomeUnknownError(
            f"broken answer (status {status}) to a write of {name}; read it to"
            " see if it was written"
        )
    if not 200 <= status < 300:
        raise _make_unavailable(f"status {status}")


def _make_unavailable(cause: object) -> exceptions.StoreUnavailableError:
    return exceptions.StoreUnavailableError(
        f"call to the object API failed ({cause!r}); retry after a delay"
    )
