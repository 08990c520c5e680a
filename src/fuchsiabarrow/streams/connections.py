"""Shared connections to engine instances."""

import asyncio
from collections.abc import Callable
from typing import Any

from fuchsiabarrow.ports import engines
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import health as health_module

__all__ = ["EngineConnections", "StageSet"]

# Creates a connection, an async context manager, from instance id and address.
ConnectionFactory = Callable[[str, str], Any]


class EngineConnections:
    """Owns one connection to each engine in use.

    Args:
        make_connection: Creates a connection.
        health: States of the instances, in which streams are counted.
    """

    def __init__(
        self,
        make_connection: ConnectionFactory,
        health: health_module.HealthTracker,
    ):
        self._make_connection = make_connection
        self._health = health
        self._connections: dict[tuple[str, str], Any] = {}

    async def __aenter__(self) -> "EngineConnections":
        return self

    async def __aexit__(self, *details) -> None:
        connections = list(self._connections.values())
        self._connections.clear()
        await asyncio.gather(
            *(connection.__aexit__(*details) for connection in connections)
        )

    def open_stages(self, chain: tuple[chains.Hop, ...]) -> "StageSet":
        """Returns the stages of a chain as an async context manager."""
        return StageSet(self, self._health, chain)

    async def close_unlisted(self) -> None:
        """Closes connections to instances that are no longer listed.

        Streams that still use one continue on other instances.
        """
        for key in list(self._connections):
            instance_id, address = key
            state = self._health.find(instance_id)
            if state is not None and state.instance.address == address:
                continue
            connection = self._connections.pop(key)
            await connection.__aexit__(None, None, None)

    async def connect(self, hop: chains.Hop) -> engines.Engine:
        """Returns the connection to the instance of a hop; opens it if new."""
        key = (hop.instance_id, hop.address)
        connection = self._connections.get(key)
        if connection is None:
            connection = self._make_connection(hop.instance_id, hop.address)
            self._connections[key] = connection
            await connection.__aenter__()
        return connection


class StageSet:
    """Stages that a stream uses; counts it as in flight on their instances.

    Attributes:
        hops: Hops in order.
        engines: Connections, in the order of `hops`.

    Args:
        engine_connections: Connections to engines.
        health: States of the instances, in which streams are counted.
        chain: Hops in order.
    """

    def __init__(
        self,
        engine_connections: EngineConnections,
        health: health_module.HealthTracker,
        chain: tuple[chains.Hop, ...],
    ):
        self.hops = list(chain)
        self.engines: list[engines.Engine] = []
        self._engine_connections = engine_connections
        self._health = health
        self._counted_states: list[health_module.InstanceState | None] = []

    async def __aenter__(self) -> "StageSet":
        self.engines = [
            await self._engine_connections.connect(hop) for hop in self.hops
        ]
        self._counted_states = [
            self._increment_in_flight(hop) for hop in self.hops
        ]
        return self

    async def __aexit__(self, *details) -> None:
        for state in self._counted_states:
            _decrement_in_flight(state)

    async def replace_stage(self, index: int, hop: chains.Hop) -> None:
        """Replaces the instance of one stage; `hop` has the same layers."""
        engine = await self._engine_connections.connect(hop)
        _decrement_in_flight(self._counted_states[index])
        self.hops[index] = hop
        self.engines[index] = engine
        self._counted_states[index] = self._increment_in_flight(hop)

    async def connect_engine(self, hop: chains.Hop) -> engines.Engine:
        """Returns a connection to the instance of a prospective stage."""
        return await self._engine_connections.connect(hop)

    def _increment_in_flight(
        self, hop: chains.Hop
    ) -> health_module.InstanceState | None:
        state = self._health.find(hop.instance_id)
        if state is not None:
            state.in_flight += 1
        return state


def _decrement_in_flight(state: health_module.InstanceState | None) -> None:
    if state is not None:
        state.in_flight -= 1
