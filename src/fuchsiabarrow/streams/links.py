"""Shared connections to engine instances."""

import asyncio
from collections.abc import Callable
from typing import Any

from fuchsiabarrow.ports import engines
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import evidence as evidence_module

__all__ = ["LinkDirectory", "StageSet"]

# Creates a connection, an async context manager, to (instance id, address).
MakeLink = Callable[[str, str], Any]


class LinkDirectory:
    """Owns one connection to each engine in use.

    Args:
        make_link: Creates a connection.
        evidence: States of the instances, in which streams are counted.
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

    def open_stages(self, chain: tuple[chains.Hop, ...]) -> "StageSet":
        """Returns the stages of a chain as an async context manager."""
        return StageSet(self, self._evidence, chain)

    async def close_unlisted(self) -> None:
        """Closes connections to instances that are no longer listed.

        Streams that still use one continue on other instances.
        """
        for key in list(self._links):
            instance_id, address = key
            state = self._evidence.find(instance_id)
            if state is not None and state.instance.address == address:
                continue
            link = self._links.pop(key)
            await link.__aexit__(None, None, None)

    async def connect(self, hop: chains.Hop) -> engines.Engine:
        """Returns the connection to the instance of a hop; opens it if new."""
        key = (hop.instance_id, hop.address)
        link = self._links.get(key)
        if link is None:
            link = self._make_link(hop.instance_id, hop.address)
            self._links[key] = link
            await link.__aenter__()
        return link


class StageSet:
    """Stages that a stream uses; counts it as in flight on their instances.

    Attributes:
        hops: Hops in order.
        engines: Connections, in the order of `hops`.

    Args:
        directory: Connections to engines.
        evidence: States of the instances, in which streams are counted.
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
        self._counted_states: list[evidence_module.InstanceState | None] = []

    async def __aenter__(self) -> "StageSet":
        self.engines = [await self._directory.connect(hop) for hop in self.hops]
        self._counted_states = [
            self._increment_in_flight(hop) for hop in self.hops
        ]
        return self

    async def __aexit__(self, *details) -> None:
        for state in self._counted_states:
            _decrement_in_flight(state)

    async def replace_stage(self, index: int, hop: chains.Hop) -> None:
        """Replaces the instance of one stage; `hop` has the same layers."""
        engine = await self._directory.connect(hop)
        _decrement_in_flight(self._counted_states[index])
        self.hops[index] = hop
        self.engines[index] = engine
        self._counted_states[index] = self._increment_in_flight(hop)

    async def connect_engine(self, hop: chains.Hop) -> engines.Engine:
        """Returns a connection to the instance of a prospective stage."""
        return await self._directory.connect(hop)

    def _increment_in_flight(
        self, hop: chains.Hop
    ) -> evidence_module.InstanceState | None:
        state = self._evidence.find(hop.instance_id)
        if state is not None:
            state.in_flight += 1
        return state


def _decrement_in_flight(state: evidence_module.InstanceState | None) -> None:
    if state is not None:
        state.in_flight -= 1
