"""Port for orders to model engines."""

from typing import Protocol

import msgspec

__all__ = ["EngineOrders", "EngineState", "LoadOrder"]


class LoadOrder(msgspec.Struct, frozen=True):
    """The wanted state of an engine.

    Attributes:
        model: Model to hold.
        first_layer: First layer to hold.
        end_layer: One past the last layer to hold.
        fence: Fencing number of the lease that the order is given under.
    """

    model: str
    first_layer: int
    end_layer: int
    fence: int


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports.

    Attributes:
        model: Model held; empty for none.
        first_layer: First layer held.
        end_layer: One past the last layer held.
        is_loading: Whether weights are being fetched for these layers.
    """

    model: str
    first_layer: int
    end_layer: int
    is_loading: bool


class EngineOrders(Protocol):
    """Gives orders to engines and reads their state."""

    async def read_state(self, address: str) -> EngineState:
        """Returns the state; raises ``InstanceError`` without an answer."""

    async def order_load(self, address: str, order: LoadOrder) -> None:
        """Gives an order.

        Raises:
            InstanceRefusedError: The fencing number is old.
            InstanceError: No answer; the order may have been taken.
        """
