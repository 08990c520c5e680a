"""Table of versioned items, replicated on all entries; free of I/O.

Of two items with the same key the one with the larger version wins, so that all
entries converge to the same table in whatever order items arrive. Two entries
compare digests to find out cheaply whether their tables are equal.
"""

from collections.abc import Iterable
import dataclasses

import msgspec
import xxhash

__all__ = ["Item", "ItemTable"]


@dataclasses.dataclass(frozen=True, slots=True)
class Item:
    """A versioned key-value pair.

    Attributes:
        key: Kind and name, as ``kind/name``.
        version: Of two items with the same key the larger version wins.
        value: Content in bytes.
        expires_at_s: Wall-clock time from which it is no longer kept.
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


def _hash_item(item: Item) -> int:
    content = msgspec.msgpack.encode((item.key, item.version))
    return xxhash.xxh3_64_intdigest(content)


class ItemTable:
    """An entry's copy of the replicated items.

    Attributes:
        digest: Hash of all keys and versions; equal on two entries if their
            tables are equal, and almost never otherwise.
    """

    def __init__(self):
        self.digest = 0
        self._items: dict[str, Item] = {}

    def __len__(self) -> int:
        return len(self._items)

    def get(self, key: str) -> Item | None:
        """Returns the item with a key, None if there is none."""
        return self._items.get(key)

    def find(self, kind: str) -> list[Item]:
        """Returns the items of a kind."""
        return [item for item in self._items.values() if item.kind == kind]

    def get_versions(self) -> dict[str, int]:
        """Returns the version of every key."""
        return {key: item.version for key, item in self._items.items()}

    def merge(self, items: Iterable[Item], now_s: float) -> list[Item]:
        """Merges newer, unexpired items; returns those merged."""
        changed = []
        for item in items:
            known = self._items.get(item.key)
            is_not_newer = known is not None and known.version >= item.version
            if is_not_newer or item.expires_at_s <= now_s:
                continue
            if known is not None:
                self.digest ^= _hash_item(known)
            self.digest ^= _hash_item(item)
            self._items[item.key] = item
            changed.append(item)
        return changed

    def expire(self, now_s: float) -> list[Item]:
        """Removes the expired items and returns them."""
        expired = [
            item for item in self._items.values() if item.expires_at_s <= now_s
        ]
        for item in expired:
            self.digest ^= _hash_item(item)
            del self._items[item.key]
        return expired

    def compare(self, versions: dict[str, int]) -> tuple[list[Item], list[str]]:
        """Compares with another table.

        Args:
            versions: Version of every key in the other table.

        Returns:
            The items that are missing or older in the other table, and the keys
            of those that are missing or older in this one.
        """
        missing_there = [
            item
            for key, item in self._items.items()
            if versions.get(key, -1) < item.version
        ]
        wanted = []
        for key, version in versions.items():
            known = self._items.get(key)
            if known is None or known.version < version:
                wanted.append(key)
        return missing_there, wanted
