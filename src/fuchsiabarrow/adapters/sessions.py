"""HTTP client session that the adapters of a process share."""

import aiohttp

__all__ = ["make_session"]

# Shared by engines (one connection each), services and stores.
MAX_CONNECTIONS = 2000


def make_session() -> aiohttp.ClientSession:
    """Returns a session that ignores proxy settings and stores no cookies."""
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
        cookie_jar=aiohttp.DummyCookieJar(),
        trust_env=False,
    )
