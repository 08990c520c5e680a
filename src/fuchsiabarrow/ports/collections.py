"""Port to a store whose collections can be listed and watched."""

import dataclasses
from typing import Protocol

from fuchsiabarrow.ports import objects

__all__ = ["Change", "Changes", "Collections", "Snapshot"]


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """All objects of a kind at one revision.

    Attributes:
        objects: The objects.
        revision: Revision of the store from which to watch for changes.
        is_restored: Whether the store has returned to an earlier state since
            the last snapshot, so that it may lack acknowledged changes.
        confirmed_s: Time, of the reader's clock, at which the objects were
            last known to be current, if they were read through another entry;
            None if the store sent them.
    """

    objects: tuple[objects.VersionedObject, ...]
    revision: int
    is_restored: bool = False
    confirmed_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change of one object.

    Attributes:
        stored: The object; its last state if it was removed.
        is_removed: Whether the object was removed.
    """

    stored: objects.VersionedObject
    is_removed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """The changes since a revision.

    Attributes:
        changes: The changes in the order in which they were made.
        revision: Revision of the store from which to go on watching.
        confirmed_s: As in `Snapshot`.
    """

    changes: tuple[Change, ...]
    revision: int
    confirmed_s: float | None = None


class Collections(Protocol):
    """Objects grouped by kind; each method raises ``StoreError`` on failure."""

    async def list(self, kind: str, allow_stale: bool = False) -> Snapshot:
        """Returns all objects of a kind.

        Args:
            kind: Kind of the objects.
            allow_stale: Whether the store may answer with an older state,
                which costs it less.
        """

    async def watch(self, kind: str, revision: int, wait_s: float) -> Changes:
        """Waits for changes after a revision and returns them.

        Args:
            kind: Kind of the objects.
            revision: Last revision that the caller has.
            wait_s: Longest wait for a change in seconds.

        Raises:
            StoreHistoryExpiredError: The store no longer keeps all of these
                changes; list the objects again.
        """
