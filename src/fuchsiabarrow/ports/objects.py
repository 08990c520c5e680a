"""Port to the platform's object API."""

import dataclasses
from typing import Protocol

__all__ = ["ABSENT_VERSION", "ObjectStore", "VersionedObject"]

# Expected version in a write that creates an object: it must not exist yet.
ABSENT_VERSION = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionedObject:
    """An object as read from the store.

    Attributes:
        name: Name within its kind.
        value: Content, at most a megabyte.
        version: Version for conditional updates; increases with each update.
    """

    name: str
    value: bytes
    version: int


class ObjectStore(Protocol):
    """Versioned objects with conditional updates.

    Every method raises ``StoreUnavailableError`` if the call failed without
    effect and ``StoreOutcomeUnknownError`` if a write may have taken effect;
    `delete` differs.
    """

    async def get(self, kind: str, name: str) -> VersionedObject | None:
        """Returns the object, or None if it does not exist."""

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        """Writes the object if it is at the expected version.

        Returns:
            The new version.

        Raises:
            StoreConflictError: The object has another version.
        """

    async def list(self, kind: str) -> list[VersionedObject]:
        """Returns all objects of a kind."""

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; succeeds if it does not exist.

        After a ``StoreUnavailableError``, the object may be deleted or not.
        """
