"""Upstreams as they register themselves."""

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
        """Returns whether all of these layers are in the range."""
        return self.first <= first and end <= self.end


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """One incarnation of an upstream.

    Attributes:
        instance_id: Name in the list.
        incarnation: Its start; another start under the same id differs.
        service: Service it belongs to.
        address: ``ip:port`` of it.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        is_leaving: Whether it takes no new work.
        kind: Kind of accelerator; empty for a plain service.
        layers: Layers that it holds, None for none.
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
        """Identity of this incarnation."""
        return (self.instance_id, self.incarnation)
