"""Sends HTTP requests to entries that run in the test process."""

import aiohttp
import msgspec
import uuid6

from fuchsiabarrow.streams.tests import entries as entries_module
from fuchsiabarrow.utils import loops

CHAT_PATH = "/v1/chat/completions"
DEPOSIT_PATH = "/v1/actions/confirm-deposit"
IDEMPOTENCY_KEY = str(uuid6.uuid7())
EXPIRED_IDEMPOTENCY_KEY = "0189d3a0-0000-7000-8000-000000000000"
MESSAGE = {"role": "user", "content": "a shelf"}
VALID_CHAT = {"model": "quotes", "messages": [MESSAGE], "max_tokens": 4}


def run(check, **options):
    """Runs a check against entries and stand-ins in this process.

    Args:
        check: Coroutine function that takes the cluster of stand-ins, the
            entries, an HTTP session and a caller.
        **options: Arguments of `entries_module.start`.
    """

    async def main():
        async with entries_module.start(**options) as (
            cluster,
            entries,
            caller,
        ):
            async with aiohttp.ClientSession() as session:
                await check(cluster, entries, session, caller)

    loops.run(main())


async def send(session, entry, method, path, key=None, **arguments):
    """Sends a request; returns status, headers and decoded body.

    Args:
        session: HTTP session.
        entry: Entry to send to.
        method: HTTP method.
        path: Path on the callers' interface.
        key: Bearer key, None to send no Authorization header.
        **arguments: Further arguments of the HTTP client.
    """
    headers = arguments.pop("headers", {})
    if key is not None:
        headers = {"Authorization": f"Bearer {key}", **headers}
    async with session.request(
        method,
        f"http://{entry.caller_address}{path}",
        headers=headers,
        **arguments,
    ) as answer:
        body = await answer.read()
        return answer.status, answer.headers, msgspec.json.decode(body)
