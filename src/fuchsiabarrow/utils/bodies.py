"""Bodies of HTTP responses whose size is not known beforehand."""

import asyncio

import aiohttp

__all__ = ["PROGRESS_TIMEOUT_S", "read_body"]

# Maximum time between two parts of a body. On a link that counts as sound,
# packets wait for up to half a second.
PROGRESS_TIMEOUT_S = 0.6
# Maximum time for a whole body. None is that large; it ends a transfer that
# makes hardly any progress.
BODY_TIMEOUT_S = 10.0


async def read_body(
    response: aiohttp.ClientResponse, limit: asyncio.Timeout
) -> bytes:
    """Reads a body for as long as it makes progress.

    A limit on the whole body would end the transfer of a large one over a slow
    link, and each further attempt in the same way.

    Args:
        response: Response whose head was received.
        limit: Time limit of the call; it is moved on with each part.

    Returns:
        The whole body.
    """
    loop = asyncio.get_running_loop()
    latest_s = loop.time() + BODY_TIMEOUT_S
    parts = []
    while True:
        limit.reschedule(min(latest_s, loop.time() + PROGRESS_TIMEOUT_S))
        part = await response.content.readany()
        if not part:
            return b"".join(parts)
        parts.append(part)
