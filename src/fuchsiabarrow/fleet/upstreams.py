"""Upstreams as registered in the store."""

import dataclasses

__all__ = ["LayerRange", "Upstream"]


@dataclasses.dataclass(frozen=True, slots=True)
class LayerRange:
    """Consecutive layers of a model.

    Attributes:
        first: First layer.
        end: One past the last layer.
    """

    first: int
    end: int

    def __len__(self) -> int:
        return self.end - self.first

    def covers(self, first: int, end: int) -> bool:
        """Returns whether the range contains the layers first to end - 1."""
        return self.first <= first and end <= self.end

    def is_within(self, layers: int) -> bool:
        """Returns whether a model with a number of layers has all of these."""
        return 0 <= self.first < self.end <= layers


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream, from its start to its stop.

    Attributes:
        instance_id: Name that it is registered under.
        incarnation: Number that identifies its start; higher for later starts.
        service: Service that it belongs to.
        address: Its address as ``ip:port``.
        failure_domain: Failure domain that it runs in.
        slots: Maximum number of concurrent requests.
        is_leaving: Whether it accepts no new work.
        kind: Kind of accelerator; empty for a plain service.
        layers: Layers that it holds, or None.
    """

    instance_id: str
    incarnation: int
    service: str
    address: str
    failure_domain: str
    slots: int
    is_leaving: bool
    kind: str = ""
    layers: LayerRange | None = None

    @property
    def key(self) -> tuple[str, int]:
        """Instance id and incarnation, unique over all starts."""
        return (self.instance_id, self.incarnation)
