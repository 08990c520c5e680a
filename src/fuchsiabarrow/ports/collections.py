"""Port to a store whose collections can be listed and followed."""

import dataclasses
from typing import Protocol

from fuchsiabarrow.ports import objects

__all__ = ["Change", "Changes", "Collections", "Snapshot"]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind at one revision.

    Attributes:
        objects: The objects.
        revision: Revision to follow from.
    """

    objects: tuple[objects.Stored, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one object.

    Attributes:
        stored: The object; as it was last if it was removed.
        is_removed: Whether it was removed.
    """

    stored: objects.Stored
    is_removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """What changed since a revision.

    Attributes:
        changes: The changes in order.
        revision: Revision to follow from.
    """

    changes: tuple[Change, ...]
    revision: int


class Collections(Protocol):
    """Objects by kind. Every method raises ``StoreError`` on failure."""

    async def list(self, kind: str, is_stale_fine: bool = False) -> Snapshot:
        """Returns all objects of a kind; cheaper if they may be old."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Returns the changes since a revision, once there are any.

        Raises:
            StoreHistoryError: Some of them are forgotten; list again.
        """
