"""Commands of operators, which call the operator API of an entry."""

import asyncio
import pathlib
import secrets
import sys
import time

import aiohttp
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import documents

__all__ = [
    "apply_patch",
    "print_configuration",
    "print_new_key",
    "print_status",
]

KEY_BYTES = 32
POLL_PERIOD_S = 0.1
TIMEOUT_S = 15.0
HTTP_OK = 200


def print_new_key() -> None:
    """Prints a new bearer key and the digest to put into a configuration."""
    key = secrets.token_urlsafe(KEY_BYTES)
    print(f"key {key}\nkey_sha256 {documents.hash_key(key)}")


def _make_session(key_file: str) -> aiohttp.ClientSession:
    try:
        key = pathlib.Path(key_file).read_text().strip()
    except OSError as error:
        raise exceptions.SettingsError(
            f"{key_file}: cannot be read ({error.strerror}); name the file"
            " with the operator's key"
        ) from None
    return aiohttp.ClientSession(
        headers={"Authorization": f"Bearer {key}"},
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
    )


async def _request(session, method: str, url: str, **arguments):
    """Sends a request; returns the decoded body and headers of the response.

    Raises:
        FuchsiabarrowError: The entry refused the request or did not respond.
    """
    try:
        async with session.request(method, url, **arguments) as response:
            body = await response.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise exceptions.FuchsiabarrowError(
            f"{url}: no response ({type(error).__name__}); try another entry"
        ) from None
    decoded = msgspec.json.decode(body)
    if response.status != HTTP_OK:
        raise exceptions.FuchsiabarrowError(
            f"{url}: status {response.status}: {decoded.get('detail', decoded)}"
        )
    return decoded, response.headers


async def print_configuration(operator: str, key_file: str) -> None:
    """Prints the configuration in force and its number."""
    url = f"http://{operator}/v1/configuration"
    async with _make_session(key_file) as session:
        document, headers = await _request(session, "GET", url)
    number = headers["ETag"].strip('"')
    print(f"number {number}", file=sys.stderr)
    print(msgspec.json.format(msgspec.json.encode(document)).decode())


async def apply_patch(
    file: str,
    operator: str,
    key_file: str,
    against: int,
    wait: list[str],
    wait_all: bool,
    wait_s: float,
) -> None:
    """Applies a patch and waits until it is in force.

    Args:
        file: File with the JSON merge patch.
        operator: Operator address of the entry that the patch is sent to.
        key_file: File with the operator's bearer key.
        against: Number of the configuration that the patch is based on.
        wait: Operator addresses of the entries to wait for.
        wait_all: Wait for all live entries instead of those in ``wait``.
        wait_s: Timeout of the wait.
    """
    try:
        content = pathlib.Path(file).read_bytes()
    except OSError as error:
        raise exceptions.SettingsError(
            f"{file}: cannot be read ({error.strerror}); name a readable file"
        ) from None
    url = f"http://{operator}/v1/configuration"
    headers = {"If-Match": f'"{against}"'}
    async with _make_session(key_file) as session:
        accepted, _ = await _request(
            session, "PATCH", url, data=content, headers=headers
        )
        print(f"accepted {accepted['number']}")
        if wait_all:
            wait = await _list_live_entries(session, operator)
        await _wait_until_in_force(session, wait, accepted["number"], wait_s)


async def _list_live_entries(session, operator: str) -> list[str]:
    """Returns the operator addresses of all entries that are alive."""
    status, _ = await _request(session, "GET", f"http://{operator}/v1/status")
    return [
        member["operator_address"]
        for member in status["members"]
        if member["status"] == "alive"
    ]


async def _wait_until_in_force(
    session, wait, number: int, wait_s: float
) -> None:
    deadline_s = time.monotonic() + wait_s
    pending = list(wait)
    while pending:
        for address in list(pending):
            url = f"http://{address}/v1/status"
            try:
                status, _ = await _request(session, "GET", url)
            except exceptions.FuchsiabarrowError:
                continue
            if status["configuration"] >= number:
                pending.remove(address)
                print(f"in force at {address}")
        if pending and time.monotonic() > deadline_s:
            raise exceptions.FuchsiabarrowError(
                f"configuration {number} was accepted but was not reported in"
                f" force within {wait_s} s by {', '.join(pending)}; check their"
                " status"
            )
        await asyncio.sleep(POLL_PERIOD_S if pending else 0)


async def print_status(operators: list[str], key_file: str) -> None:
    """Prints the status of entries."""
    async with _make_session(key_file) as session:
        for address in operators:
            url = f"http://{address}/v1/status"
            status, _ = await _request(session, "GET", url)
            print(msgspec.json.format(msgspec.json.encode(status)).decode())
