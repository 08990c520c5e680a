"""Keeps the configuration of one entry current and accepts patches."""

import asyncio
from collections.abc import Callable
import random
from typing import Any
import uuid

import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import adoption
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.configuration import parts
from fuchsiabarrow.configuration import patches
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["ConfigurationService", "Settings"]

HEAD_KIND = "configuration"
HEAD_NAME = "head"
# Kind and key of the gossip item in which entries send each other the head.
ITEM_KIND = "configuration"
ITEM_KEY = f"{ITEM_KIND}/{HEAD_NAME}"
# Pause between two updates from peers, also after a failure.
UPDATE_PAUSE_S = 0.01
# Ten years; the item must not expire while the entries run.
ITEM_LIFETIME_S = 10 * 365 * 86400.0
PART_KIND = "configuration-part"

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the configuration service.

    Attributes:
        poll_rate_per_s: Rate at which all entries together read the head
            from the object store.
        poll_least_s: Minimum time between reads by one entry.
        retry_base_s: Delay between retries of a write.
        patch_timeout_s: Timeout for finding out whether a patch was accepted.
    """

    poll_rate_per_s: float = 5.0
    poll_least_s: float = 0.2
    retry_base_s: float = 0.1
    patch_timeout_s: float = 5.0


class ConfigurationService:
    """Tracks the latest configuration; the version in force never decreases.

    Attributes:
        head: Head in force; its number is 0 before the first configuration.
        configuration: Typed configuration in force.
        alarms: Number of refused heads by value of the verdict, ``reverted``
            or ``diverged``.

    Args:
        store: Object store.
        peers: Communication with other entries.
        settings: Delays and timeouts.
        source: Random number generator for delays.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        peers: peers_service.PeersService,
        settings: Settings,
        source: random.Random,
    ):
        self.head = parts.EMPTY_HEAD
        self.configuration = documents.Configuration()
        self.alarms: dict[str, int] = {}
        self._cache = parts.PartCache()
        self._parts: dict[str, bytes] = {}
        self._head_version = objects.ABSENT_VERSION
        self._store = store
        self._peers = peers
        self._settings = settings
        self._source = source
        self._listeners: list[Callable[[documents.Configuration], None]] = []
        self._adoption_lock = asyncio.Lock()
        self._update_event = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "ConfigurationService":
        self._peers.add_listener(
            ITEM_KIND, lambda item: self._update_event.set()
        )
        self._peers.add_question_handler(PART_KIND, self._answer_part)
        self._update_event.set()
        loops = (
            tasks.run_periodically(
                "store_poll", self._poll_store, self._get_poll_period_s
            ),
            tasks.run_periodically(
                "peer_news", self._follow_peers, lambda: UPDATE_PAUSE_S
            ),
        )
        self._tasks = [asyncio.create_task(loop) for loop in loops]
        return self

    async def __aexit__(self, *details) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _answer_part(self, digest: bytes) -> bytes | None:
        """Returns a part of the configuration in force to another entry."""
        return self._parts.get(digest.decode())

    def get_document(self) -> dict[str, Any]:
        """Returns the configuration in force as builtin types."""
        return parts.join_parts(self.head, self._parts)

    def add_listener(
        self, listener: Callable[[documents.Configuration], None]
    ) -> None:
        """Registers a callback for each new configuration."""
        self._listeners.append(listener)

    async def refresh(self) -> None:
        """Reads the head from the store and adopts it if it is newer.

        If the store was restored from a backup, the head in force is written
        back to it. If the read was only stale, that conditional write fails.
        """
        stored = await self._store.get(HEAD_KIND, HEAD_NAME)
        head, version = parts.EMPTY_HEAD, objects.ABSENT_VERSION
        if stored is not None:
            head = msgspec.json.decode(stored.value, type=parts.Head)
            version = stored.version
        verdict = await self._consider(head, is_from_store=True)
        if verdict is adoption.Verdict.ALARM_REVERTED:
            await self._restore_store(version)
        elif verdict is not adoption.Verdict.ALARM_DIVERGED:
            self._head_version = version

    async def _restore_store(self, version: int) -> None:
        for digest, part in self._parts.items():
            await self._write_part(digest, part)
        value = msgspec.json.encode(self.head)
        try:
            self._head_version = await self._store.put(
                HEAD_KIND, HEAD_NAME, value, version
            )
        except exceptions.StoreConflictError:
            return  # The read was stale, or another entry restored the store.
        _log.error(logs.format_event("store_restored", number=self.head.number))

    async def _consider(
        self, received: parts.Head, is_from_store: bool
    ) -> adoption.Verdict:
        """Adopts a head if it is newer than the one in force."""
        async with self._adoption_lock:
            verdict = adoption.decide_adoption(self.head, received)
            if verdict is adoption.Verdict.ADOPT:
                await self._adopt(received, is_from_store)
            elif verdict is not adoption.Verdict.KEEP:
                self._raise_alarm(verdict, received.number)
            return verdict

    async def patch(
        self, patch: object, expected_number: int, author: str
    ) -> int:
        """Accepts a merge patch if it was written against the head in force.

        Args:
            patch: JSON merge patch.
            expected_number: Version number that it was written against.
            author: Operator who sent it.

        Returns:
            The version number of the accepted configuration.

        Raises:
            VersionMismatchError: Another version is in force.
            ConfigurationError: The patch or its result is invalid.
            StoreUnavailableError: The store is down. The patch was not
                accepted, but may have been if the store failed after the first
                write of the head was sent.
            StoreOutcomeUnknownError: It is not known whether the patch was
                accepted; read the configuration later.
        """
        await self.refresh()
        document = patches.apply_patch(
            self.get_document(), self.head.number, patch, expected_number
        )
        split = parts.split_document(document)
        nonce = uuid.uuid4().hex
        previous, version = self.head, self._head_version
        head = parts.make_head(previous, split, nonce, author)
        await self._write_parts(split)
        await self._write_head(head, version)
        await self.refresh()
        _log.info(logs.format_event("patch_accepted", number=head.number))
        return head.number

    async def _write_parts(self, split: dict[str, bytes]) -> None:
        for part in split.values():
            digest = parts.compute_digest(part)
            if digest not in self._parts:
                await self._write_part(digest, part)

    async def _write_part(self, digest: str, part: bytes) -> None:
        try:
            await self._store.put(
                PART_KIND, digest, part, objects.ABSENT_VERSION
            )
        except exceptions.StoreConflictError:
            return  # A part with the same content exists already.
        except exceptions.StoreOutcomeUnknownError as error:
            raise exceptions.StoreUnavailableError(
                "the object store did not confirm that it wrote a part of the"
                " configuration; send the patch again"
            ) from error

    async def _write_head(self, head: parts.Head, version: int) -> None:
        """Writes a head, and retries if the response is lost.

        Each retry writes the same bytes at the same expected version, so that
        at most one of them takes effect.
        """
        value = msgspec.json.encode(head)
        try:
            async with asyncio.timeout(self._settings.patch_timeout_s):
                while not await self._try_write_head(head, value, version):
                    await asyncio.sleep(self._settings.retry_base_s)
        except TimeoutError:
            raise exceptions.StoreOutcomeUnknownError(
                f"it is not known whether configuration {head.number} was"
                " accepted; read the configuration again before the next patch"
            ) from None

    async def _try_write_head(
        self, head: parts.Head, value: bytes, version: int
    ) -> bool:
        try:
            await self._store.put(HEAD_KIND, HEAD_NAME, value, version)
            return True
        except exceptions.StoreConflictError:
            await self._check_nonce(head)
            return True
        except exceptions.StoreOutcomeUnknownError:
            return False

    async def _check_nonce(self, head: parts.Head) -> None:
        """Checks after a conflict whether the head was written after all.

        It was if its nonce is in the stored head, which is the same head or a
        later one.

        Raises:
            StoreUnavailableError: The store holds no head.
            VersionMismatchError: Another head was written in its place.
        """
        stored = await self._store.get(HEAD_KIND, HEAD_NAME)
        if stored is None:
            raise exceptions.StoreUnavailableError(
                "the object store no longer holds the configuration; read the"
                " configuration again, then send the patch again"
            )
        current = msgspec.json.decode(stored.value, type=parts.Head)
        if current.recent.get(head.number) != head.nonce:
            await self._consider(current, is_from_store=True)
            raise exceptions.VersionMismatchError(self.head.number)

    async def _poll_store(self) -> None:
        """Reads the head once; an outage of the store is only logged."""
        try:
            await self.refresh()
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("store_down", error=error))

    def _get_poll_period_s(self) -> float:
        """Returns the time to the next read; all entries share a total rate."""
        period_s = self._peers.compute_shared_period_s(
            self._settings.poll_rate_per_s, self._settings.poll_least_s
        )
        return jitter.spread_period_s(period_s, self._source)

    async def _follow_peers(self) -> None:
        """Waits for a head from a peer and adopts it.

        After a failure the event stays set, so that the next call tries again.
        """
        await self._update_event.wait()
        item = self._peers.get_item(ITEM_KEY)
        if item is not None and item.version > self.head.number:
            head = msgspec.json.decode(item.value, type=parts.Head)
            try:
                await self._consider(head, is_from_store=False)
            except exceptions.StoreError as error:
                _log.warning(logs.format_event("head_delayed", error=error))
                return
        if self._peers.get_item(ITEM_KEY) is item:
            self._update_event.clear()

    async def _adopt(self, head: parts.Head, is_from_store: bool) -> None:
        """Fetches the missing parts of a head and puts it in force."""
        contents: dict[str, bytes] = {}
        for digest in head.parts.values():
            contents[digest] = self._parts.get(
                digest
            ) or await self._fetch_part(digest, is_from_store)
        self.configuration = self._cache.decode(head, contents)
        self._parts = contents
        self.head = head
        _log.info(logs.format_event("configuration", number=head.number))
        for listener in self._listeners:
            listener(self.configuration)
        value = msgspec.json.encode(head)
        self._peers.publish(ITEM_KEY, head.number, value, ITEM_LIFETIME_S)

    async def _fetch_part(self, digest: str, is_from_store: bool) -> bytes:
        """Fetches a part, from peers first if the head came from a peer."""
        if not is_from_store:
            content = await self._peers.ask_any(PART_KIND, digest.encode())
            if content:
                return content
        stored = await self._store.get(PART_KIND, digest)
        if stored is None:
            raise exceptions.StoreUnavailableError(
                f"part {digest} of the configuration is missing from the object"
                " store; the read will be retried"
            )
        return stored.value

    def _raise_alarm(self, verdict: adoption.Verdict, number: int) -> None:
        self.alarms[verdict.value] = self.alarms.get(verdict.value, 0) + 1
        _log.error(
            logs.format_event(
                "configuration_refused",
                verdict=verdict.value,
                found=number,
                in_force=self.head.number,
            )
        )
