"""Port for load orders to model engines.

An order assigns a model and a range of its layers to an engine.
"""

from typing import Protocol

import msgspec

__all__ = ["EngineOrders", "EngineState", "LoadOrder"]


class LoadOrder(msgspec.Struct, frozen=True):
    """The model and layers that an engine is to hold.

    Attributes:
        model: Model to hold.
        first_layer: First layer to hold.
        end_layer: One past the last layer to hold.
        fence: Fencing token of the lease under which the order is sent; an
            engine refuses one older than the newest that it has seen.
    """

    model: str
    first_layer: int
    end_layer: int
    fence: int


class EngineState(msgspec.Struct, frozen=True):
    """Model and layers that an engine reports.

    Attributes:
        model: Model held or being loaded; empty for none.
        first_layer: First layer held or being loaded.
        end_layer: One past the last layer held or being loaded.
        is_loading: Whether the weights of these layers are being loaded.
    """

    model: str
    first_layer: int
    end_layer: int
    is_loading: bool


class EngineOrders(Protocol):
    """Sends orders to engines and reads their state."""

    async def read_state(self, address: str) -> EngineState:
        """Returns the state; raises ``InstanceError`` on failure."""

    async def order_load(self, address: str, order: LoadOrder) -> None:
        """Sends an order.

        Raises:
            InstanceRefusedError: The fencing token is outdated.
            InstanceError: No answer or an unexpected status; the order may
                have been accepted.
        """
