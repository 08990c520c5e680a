"""Sends the changes of collections of the store to entries that follow.

With many entries, only some of them read the store; the others follow one of
these (`shared_stores`). A follower sends a request and gets an answer as soon
as there is a change, or a newer confirmation by the store. An answer says when
the store last confirmed the copy, relative to the arrival of the request: as
that is not before the request was sent, the follower takes the time at which it
sent the request as a basis. An answer that was held up on its way therefore
seems older than it is, and never newer.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
import zlib

import aiohttp.web
import capnp

from fuchsiabarrow.ports import objects
from fuchsiabarrow.utils import clocks

__all__ = ["ChangeJournal", "SharedCollection", "UpdateServer"]

MS_PER_S = 1000.0
# Removals that are remembered; a follower that has missed older ones gets the
# whole collection.
MAX_REMOVED_NAMES = 4096
# Maximum time that a request waits for news.
MAX_WAIT_S = 30.0
# Time between two checks of whether this entry may still be followed.
CHECK_PERIOD_S = 1.0
FASTEST_COMPRESSION = 1

_schema = capnp.load(str(pathlib.Path(__file__).with_name("collection.capnp")))


@dataclasses.dataclass(frozen=True, slots=True)
class SharedCollection:
    """A collection that this entry reads from the store and passes on.

    Attributes:
        kind: Kind of its objects in the store.
        get_objects: Returns the objects of the local copy.
        get_confirmed_s: Returns when the store last confirmed the copy.
        get_revision: Returns the revision of the store up to which changes were
            received, None if the copy is not complete.
        is_available: Returns whether this entry reads the collection from the
            store itself and the store answers.
    """

    kind: str
    get_objects: Callable[[], list[objects.VersionedObject]]
    get_confirmed_s: Callable[[], float]
    get_revision: Callable[[], int | None]
    is_available: Callable[[], bool]


class ChangeJournal:
    """Numbers the changes of a collection by comparing its states.

    Attributes:
        sequence: Number of the last change.
    """

    def __init__(self):
        self.sequence = 0
        self._versions: dict[str, int] = {}
        # Number of the last change of each name, in the order of the changes.
        self._changed: dict[str, int] = {}
        # Names that were removed, with the numbers of their removals.
        self._removed: dict[str, int] = {}
        # Number of the newest change that is not known any more.
        self._forgotten = 0

    def record(self, stored_objects: list[objects.VersionedObject]) -> bool:
        """Compares the collection with its last state.

        Returns:
            Whether it has changed.
        """
        versions = {stored.name: stored.version for stored in stored_objects}
        if versions == self._versions:
            return False
        self.sequence += 1
        for name, version in versions.items():
            if self._versions.get(name) != version:
                self._changed[name] = self.sequence
                self._removed.pop(name, None)
        for name in self._versions.keys() - versions.keys():
            del self._changed[name]
            self._removed[name] = self.sequence
        self._versions = versions
        while len(self._removed) > MAX_REMOVED_NAMES:
            name = next(iter(self._removed))
            self._forgotten = self._removed.pop(name)
        return True

    def knows(self, sequence: int) -> bool:
        """Returns whether all changes after one are known."""
        return self._forgotten <= sequence <= self.sequence

    def find_changed(self, sequence: int) -> set[str]:
        """Returns the names of objects that changed after a change."""
        return {n for n, s in self._changed.items() if s > sequence}

    def find_removed(self, sequence: int) -> list[str]:
        """Returns the names of objects that were removed after a change."""
        return [n for n, s in self._removed.items() if s > sequence]


class _Publication:
    """A shared collection with its journal and the requests that wait."""

    def __init__(self, collection: SharedCollection):
        self.collection = collection
        self.journal = ChangeJournal()
        self.journal.record(collection.get_objects())
        self.tick = 1
        self.changed = asyncio.Event()
        self._encoded: tuple[tuple, bytes] | None = None

    def announce(self) -> None:
        """Records the current state and wakes the requests that wait."""
        self.journal.record(self.collection.get_objects())
        self.tick += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def encode_content(self, since: int | None) -> bytes:
        """Returns the objects that changed after a change, encoded.

        Args:
            since: Number of the change; None for all objects.
        """
        key = (since, self.journal.sequence)
        if self._encoded is not None and self._encoded[0] == key:
            return self._encoded[1]
        stored_objects = self.collection.get_objects()
        removed: list[str] = []
        if since is not None:
            changed = self.journal.find_changed(since)
            stored_objects = [o for o in stored_objects if o.name in changed]
            removed = self.journal.find_removed(since)
        content = _schema.Content.new_message(removed=removed)
        encoded = content.init("objects", len(stored_objects))
        for slot, stored in zip(encoded, stored_objects, strict=True):
            slot.name = stored.name
            slot.value = stored.value
            slot.version = stored.version
        data = zlib.compress(content.to_bytes_packed(), FASTEST_COMPRESSION)
        self._encoded = (key, data)
        return data


class UpdateServer:
    """Answers the requests of followers.

    Args:
        epoch: Number that identifies this process.
        max_age_s: Age from which a copy does not count as current, in seconds.
        read_time_s: Clock of the confirmations.
    """

    def __init__(self, epoch: int, max_age_s: float, read_time_s: clocks.Clock):
        self._publications: dict[str, _Publication] = {}
        self._epoch = epoch
        self._max_age_s = max_age_s
        self._read_time_s = read_time_s

    def add_collection(self, collection: SharedCollection) -> None:
        """Lets followers read a collection."""
        self._publications[collection.kind] = _Publication(collection)

    def announce(self, kind: str) -> None:
        """Tells followers of a change, a confirmation or a lost store."""
        if kind in self._publications:
            self._publications[kind].announce()

    def add_routes(self, app: aiohttp.web.Application) -> None:
        """Adds the requests of followers to an application."""
        app.router.add_get("/updates/{kind}", self._handle_request)

    async def _handle_request(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        arrived_s = self._read_time_s()
        publication = self._publications.get(request.match_info["kind"])
        if publication is None:
            raise aiohttp.web.HTTPNotFound
        try:
            epoch, sequence, tick, wait_ms = (
                int(request.query.get(name, "0"))
                for name in ("epoch", "sequence", "tick", "wait_ms")
            )
        except ValueError:
            raise aiohttp.web.HTTPBadRequest from None
        since = sequence if epoch == self._epoch else None
        if since is not None and not publication.journal.knows(since):
            since = None
        wait_s = min(MAX_WAIT_S, wait_ms / MS_PER_S)
        await self._wait_for_news(publication, since, tick, wait_s)
        if publication.collection.get_revision() is None:
            # Not read from the store so far.
            raise aiohttp.web.HTTPServiceUnavailable
        return self._make_response(publication, since, arrived_s)

    async def _wait_for_news(
        self,
        publication: _Publication,
        since: int | None,
        tick: int,
        wait_s: float,
    ) -> None:
        """Waits until there is something to tell the follower.

        Args:
            publication: The collection.
            since: Number of the last change that the follower has; None if it
                needs the whole collection, and waits until that is current.
            tick: Number of changes and confirmations that the follower knows;
                0 if it is to be told of changes only.
            wait_s: Longest time to wait, in seconds.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while True:
            is_current = self._is_current(publication)
            if since is None:
                has_news = is_current
            else:
                has_news = (
                    publication.journal.sequence > since
                    or 0 < tick < publication.tick
                    or not is_current
                )
            left_s = end_s - loop.time()
            if has_news or left_s <= 0:
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    min(left_s, self._get_check_period_s(publication))
                ):
                    await publication.changed.wait()

    def _get_check_period_s(self, publication: _Publication) -> float:
        """Returns the time until the copy may cease to be current."""
        confirmed_s = publication.collection.get_confirmed_s()
        left_s = confirmed_s + self._max_age_s - self._read_time_s()
        if left_s <= 0:
            return CHECK_PERIOD_S
        return min(CHECK_PERIOD_S, left_s + 1 / MS_PER_S)

    def _is_current(self, publication: _Publication) -> bool:
        collection = publication.collection
        age_s = self._read_time_s() - collection.get_confirmed_s()
        return (
            collection.is_available()
            and collection.get_revision() is not None
            and age_s <= self._max_age_s
        )

    def _make_response(
        self, publication: _Publication, since: int | None, arrived_s: float
    ) -> aiohttp.web.Response:
        collection, journal = publication.collection, publication.journal
        has_content = since is None or journal.sequence > since
        offset_s = max(
            collection.get_confirmed_s() - arrived_s, -2 * MAX_WAIT_S
        )
        message = _schema.Update.new_message(
            epoch=self._epoch,
            sequence=journal.sequence,
            tick=publication.tick,
            revision=collection.get_revision(),
            confirmedOffsetMs=int(offset_s * MS_PER_S // 1),
            isCurrent=self._is_current(publication),
            isWhole=since is None,
            content=publication.encode_content(since) if has_content else b"",
        )
        return aiohttp.web.Response(body=message.to_bytes_packed())
