"""Port to the platform's object API."""

from collections.abc import AsyncIterator
import dataclasses
from typing import Protocol

__all__ = ["ABSENT_VERSION", "Event", "ObjectStore", "Stored"]

# Expected version of an object that must not exist yet.
ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """An object as read from the store.

    Attributes:
        name: Name within its kind.
        value: Content in bytes, at most a megabyte.
        version: Version for conditional updates; grows with each update.
    """

    name: str
    value: bytes
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A change seen by a watch.

    Attributes:
        name: Name of the object; empty for a bookmark.
        value: New content, None when the object was deleted.
        version: Version of the object, or of the bookmark.
        is_bookmark: True when no object changed.
    """

    name: str
    value: bytes | None
    version: int
    is_bookmark: bool = False


class ObjectStore(Protocol):
    """Versioned objects with conditional updates and watches.

    Every method raises ``StoreUnavailableError`` when the call had no effect
    and ``StoreUncertainError`` when a write may have taken effect.
    """

    async def get(self, kind: str, name: str) -> Stored | None:
        """Returns the object, or None when it does not exist."""

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        """Writes the object if its version is the expected one.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The object has another version.
        """

    async def list(self, kind: str) -> tuple[list[Stored], int]:
        """Returns the objects of a kind and the version of the list."""

    def watch(self, kind: str, since_version: int) -> AsyncIterator[Event]:
        """Yields the changes after a version until the stream ends."""
