"""Port to the platform's list of instances, which lags behind changes."""

from typing import Protocol

import msgspec

__all__ = ["Instance", "InstanceList"]


class Instance(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """An upstream instance as the platform lists it.

    Attributes:
        instance_id: Unique name.
        address: ``ip:port``.
        kind: ``engine`` or ``service``.
        serves: Name of the model (engines) or of the service (services).
        first_layer: First layer held (engines).
        end_layer: One past the last layer held (engines).
        region: Region of the instance.
        failure_domain: Failure domain of the instance.
        accelerator: Kind of accelerator.
        leaving: Whether the platform has asked the instance to shut down.
    """

    instance_id: str
    address: str
    kind: str
    serves: str
    first_layer: int = 0
    end_layer: int = 0
    region: str = ""
    failure_domain: str = ""
    accelerator: str = ""
    leaving: bool = False


class InstanceList(Protocol):
    """The platform's list of running and leaving instances."""

    async def read(self) -> list[Instance]:
        """Returns the list; raises ``StoreUnavailableError`` on failure."""
