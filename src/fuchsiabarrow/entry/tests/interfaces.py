"""Requests to the interfaces of entries in this process."""

import aiohttp
import msgspec
import uuid6

from fuchsiabarrow.streams.tests import worlds
from fuchsiabarrow.utils import loops

CHAT = "/v1/chat/completions"
DEPOSIT = "/v1/actions/confirm-deposit"
KEY = str(uuid6.uuid7())
OLD_KEY = "0189d3a0-0000-7000-8000-000000000000"
MESSAGE = {"role": "user", "content": "a shelf"}
VALID = {"model": "quotes", "messages": [MESSAGE], "max_tokens": 4}


def run(check, **options):
    async def main():
        async with worlds.start(**options) as (world, entries, caller):
            async with aiohttp.ClientSession() as session:
                await check(world, entries, session, caller)

    loops.run(main())


async def send(session, entry, method, path, key=None, **arguments):
    """Returns the status, headers and decoded body of an answer."""
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
