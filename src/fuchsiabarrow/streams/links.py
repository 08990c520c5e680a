"""Directory of the connections to engine instances."""

import asyncio
from collections.abc import Callable
from typing import Any

from fuchsiabarrow.ports import engines
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import evidence as evidence_module

__all__ = ["LinkDirectory", "StageSet"]

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

    def use(self, chain: tuple[chains.Hop, ...]) -> "StageSet":
        """Returns the stages of a chain, to be entered and left."""
        return StageSet(self, self._evidence, chain)

    async def close_unlisted(self) -> None:
        """Closes connections to instances that left the list.

        Streams that still use one go on elsewhere.
        """
        for key in list(self._links):
            instance_id, address = key
            state = self._evidence.find(instance_id)
            if state is not None and state.instance.address == address:
                continue
            link = self._links.pop(key)
            await link.__aexit__(None, None, None)

    async def find(self, hop: chains.Hop) -> engines.Engine:
        """Returns the connection to the instance of a hop."""
        key = (hop.instance_id, hop.address)
        link = self._links.get(key)
        if link is None:
            link = self._make_link(hop.instance_id, hop.address)
            self._links[key] = link
            await link.__aenter__()
        return link


class StageSet:
    """The stages that a stream uses; counts the stream on their instances.

    Attributes:
        hops: Hops in order.
        engines: Connections, by hop.

    Args:
        directory: Connections to engines.
        evidence: Streams in flight are counted there.
        chain: Hops in order.
    """

    def __init__(
        self,
        directory: LinkDirectory,
        evidence: evidence_module.Evidence,
        chain: tuple[chains.Hop, ...],
    ):
        self.hops = list(chain)
        self.engines: list[engines.Engine] = []
        self._directory = directory
        self._evidence = evidence
        self._counted: list[evidence_module.InstanceState | None] = []

    async def __aenter__(self) -> "StageSet":
        self.engines = [await self._directory.find(hop) for hop in self.hops]
        self._counted = [self._count(hop) for hop in self.hops]
        return self

    async def __aexit__(self, *details) -> None:
        for state in self._counted:
            _uncount(state)

    async def exchange(self, index: int, hop: chains.Hop) -> None:
        """Replaces one stage by another instance with the same layers."""
        engine = await self._directory.find(hop)
        _uncount(self._counted[index])
        self.hops[index] = hop
        self.engines[index] = engine
        self._counted[index] = self._count(hop)

    async def find_engine(self, hop: chains.Hop) -> engines.Engine:
        """Returns a connection to an instance that may become a stage."""
        return await self._directory.find(hop)

    def _count(self, hop: chains.Hop) -> evidence_module.InstanceState | None:
        state = self._evidence.find(hop.instance_id)
        if state is not None:
            state.in_flight += 1
        return state


def _uncount(state: evidence_module.InstanceState | None) -> None:
    if state is not None:
        state.in_flight -= 1
