"""Directory of the connections to engine instances."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
from typing import Any

from fuchsiabarrow.ports import engines
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import evidence as evidence_module

__all__ = ["LinkDirectory"]

# Makes a connection, an async context manager, to (instance id, address).
MakeLink = Callable[[str, str], Any]


class LinkDirectory:
    """Owns a connection to each engine in use.

    Args:
        make_link: Makes a connection.
        evidence: Streams in flight are counted there.
    """

    def __init__(self, make_link: MakeLink, evidence: evidence_module.Evidence):
        self._make_link = make_link
        self._evidence = evidence
        self._links: dict[tuple[str, str], Any] = {}

    async def __aenter__(self) -> "LinkDirectory":
        return self

    async def __aexit__(self, *details) -> None:
        links = list(self._links.values())
        self._links.clear()
        await asyncio.gather(*(link.__aexit__(*details) for link in links))

    @contextlib.asynccontextmanager
    async def use(
        self, chain: tuple[chains.Hop, ...]
    ) -> AsyncIterator[list[engines.Engine]]:
        """Gives the connections of a chain and counts the stream on it."""
        found = [await self._find(hop) for hop in chain]
        states = [self._evidence.find(hop.instance_id) for hop in chain]
        counted = [state for state in states if state is not None]
        for state in counted:
            state.in_flight += 1
        try:
            yield found
        finally:
            for state in counted:
                state.in_flight -= 1

    async def close_unlisted(self) -> None:
        """Closes connections to instances that left the list."""
        for key in list(self._links):
            instance_id, address = key
            state = self._evidence.find(instance_id)
            if state is not None and state.instance.address == address:
                continue
            link = self._links.pop(key)
            await link.__aexit__(None, None, None)

    async def _find(self, hop: chains.Hop) -> engines.Engine:
        key = (hop.instance_id, hop.address)
        link = self._links.get(key)
        if link is None:
            link = self._make_link(hop.instance_id, hop.address)
            self._links[key] = link
            await link.__aenter__()
        return link
