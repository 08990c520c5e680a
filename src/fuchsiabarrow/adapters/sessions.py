"""The HTTP client session that the adapters of a process share."""

import aiohttp

__all__ = ["make_session"]

# Engines, services and store together; one connection to each engine.
MAX_CONNECTIONS = 2000


def make_session() -> aiohttp.ClientSession:
    """Returns a session that follows no proxy and keeps no cookies."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
    )
