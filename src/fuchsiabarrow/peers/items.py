"""Versioned items that all entries come to agree on; free of I/O.

Each item has a key, and of two items with the same key the larger version wins,
on every entry and in whatever order they arrive. A digest of the whole table
tells two entries cheaply whether they know the same.
"""

from collections.abc import Iterable
import dataclasses

import msgspec
import xxhash

__all__ = ["Item", "ItemTable"]


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A fact under a key.

    Attributes:
        key: Kind and name, as ``kind/name``.
        version: The larger one wins.
        value: Content in bytes.
        expires_at_s: Wall time from which it is forgotten.
    """

    key: str
    version: int
    value: bytes
    expires_at_s: float

    @property
    def kind(self) -> str:
        """The part of the key before the first slash."""
        return self.key.partition("/")[0]

    @property
    def name(self) -> str:
        """The part of the key after the first slash."""
        return self.key.partition("/")[2]


def _compute_mark(item: Item) -> int:
    content = msgspec.msgpack.encode((item.key, item.version))
    return xxhash.xxh3_64_intdigest(content)


class ItemTable:
    """The items that an entry knows.

    Attributes:
        digest: Digest of all keys and versions, the same on two entries
            exactly if they know the same.
    """

    def __init__(self):
        self.digest = 0
        self._items: dict[str, Item] = {}

    def __len__(self) -> int:
        return len(self._items)

    def get(self, key: str) -> Item | None:
        """Returns the item of a key."""
        return self._items.get(key)

    def find(self, kind: str) -> list[Item]:
        """Returns the items of a kind."""
        return [item for item in self._items.values() if item.kind == kind]

    def get_versions(self) -> dict[str, int]:
        """Returns the version of every key."""
        return {key: item.version for key, item in self._items.items()}

    def merge(self, items: Iterable[Item], now_s: float) -> list[Item]:
        """Takes over newer items; returns those that were news."""
        news = []
        for item in items:
            known = self._items.get(item.key)
            is_older = known is not None and known.version >= item.version
            if is_older or item.expires_at_s <= now_s:
                continue
            if known is not None:
                self.digest ^= _compute_mark(known)
            self.digest ^= _compute_mark(item)
            self._items[item.key] = item
            news.append(item)
        return news

    def expire(self, now_s: float) -> list[Item]:
        """Forgets the items whose time is over and returns them."""
        expired = [
            item for item in self._items.values() if item.expires_at_s <= now_s
        ]
        for item in expired:
            self.digest ^= _compute_mark(item)
            del self._items[item.key]
        return expired

    def compare(self, versions: dict[str, int]) -> tuple[list[Item], list[str]]:
        """Compares with another table.

        Args:
            versions: Version of every key that the other knows.

        Returns:
            The items that the other lacks, and the keys that this one lacks.
        """
        lacking = [
            item
            for key, item in self._items.items()
            if versions.get(key, -1) < item.version
        ]
        wanted = []
        for key, version in versions.items():
            known = self._items.get(key)
            if known is None or known.version < version:
                wanted.append(key)
        return lacking, wanted
