"""Keeps the configuration in force on one entry and accepts patches."""

import asyncio
from collections.abc import Callable
import random
from typing import Any
import uuid

import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.configuration import history
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
# Entries tell each other the head under this key.
ITEM_KIND = "configuration"
ITEM_KEY = f"{ITEM_KIND}/{HEAD_NAME}"
# Time between two looks at news, also after a failure.
NEWS_PAUSE_S = 0.01
ITEM_LIFETIME_S = 10 * 365 * 86400.0
PART_KIND = "configuration-part"

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the configuration service.

    Attributes:
        poll_rate_per_s: Reads of the head by all entries together.
        poll_least_s: Smallest time between reads by one entry.
        retry_base_s: Delay between tries of a write.
        patch_timeout_s: Bound on finding out whether a patch was accepted.
    """

    poll_rate_per_s: float = 5.0
    poll_least_s: float = 0.2
    retry_base_s: float = 0.1
    patch_timeout_s: float = 5.0


class ConfigurationService:
    """Follows the numbered configuration; an accepted one never reverts.

    Attributes:
        head: Head in force; number 0 before the first.
        configuration: Typed configuration in force.
        alarms: Verdicts other than adopt and keep, with their counts.

    Args:
        store: The object API.
        peers: Other entries.
        settings: Delays and timeouts.
        source: Random source for delays.
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
        self._adoption = asyncio.Lock()
        self._news = asyncio.Event()
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "ConfigurationService":
        self._peers.add_listener(ITEM_KIND, lambda item: self._news.set())
        self._peers.add_answer(PART_KIND, self._answer_part)
        self._news.set()
        works = (
            tasks.repeat(
                "store_poll", self._poll_store, self._get_poll_period_s
            ),
            tasks.repeat("peer_news", self._follow_peers, lambda: NEWS_PAUSE_S),
        )
        self._tasks = [asyncio.create_task(work) for work in works]
        return self

    async def __aexit__(self, *details) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _answer_part(self, digest: bytes) -> bytes | None:
        """Gives another entry a part of the configuration in force."""
        return self._parts.get(digest.decode())

    def get_document(self) -> dict[str, Any]:
        """Returns the configuration in force as builtin types."""
        return parts.join_parts(self.head, self._parts)

    def add_listener(
        self, listener: Callable[[documents.Configuration], None]
    ) -> None:
        """Calls `listener` after each adoption."""
        self._listeners.append(listener)

    async def refresh(self) -> None:
        """Reads the head from the store and adopts it if it is newer.

        A store that was restored from a copy gets the head in force back. If
        the read was only stale, that conditional write fails.
        """
        stored = await self._store.get(HEAD_KIND, HEAD_NAME)
        found, version = parts.EMPTY_HEAD, objects.ABSENT_VERSION
        if stored is not None:
            found = msgspec.json.decode(stored.value, type=parts.Head)
            version = stored.version
        verdict = await self._consider(found, is_from_store=True)
        if verdict is history.Verdict.ALARM_REVERTED:
            await self._restore_store(version)
        elif verdict is not history.Verdict.ALARM_DIVERGED:
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
            return  # The read was stale, or another entry was faster.
        _log.error(logs.format_event("store_restored", number=self.head.number))

    async def _consider(
        self, found: parts.Head, is_from_store: bool
    ) -> history.Verdict:
        """Adopts a head if it is newer than the one in force."""
        async with self._adoption:
            verdict = history.judge_head(self.head, found)
            if verdict is history.Verdict.ADOPT:
                await self._adopt(found, is_from_store)
            elif verdict is not history.Verdict.KEEP:
                self._raise_alarm(verdict, found.number)
            return verdict

    async def patch(
        self, patch: object, expected_number: int, author: str
    ) -> int:
        """Accepts a merge patch if it was written against the head in force.

        Returns:
            The number of the accepted configuration.

        Raises:
            VersionMismatchError: Another number is in force.
            ConfigurationError: The patch or its result is invalid.
            StoreUnavailableError: Not accepted; the store is down.
            StoreUncertainError: Not known; read the configuration later.
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
            return  # The same content was written before.
        except exceptions.StoreUncertainError as error:
            raise exceptions.StoreUnavailableError(
                "the store lost a part of the configuration; send the patch"
                " again"
            ) from error

    async def _write_head(self, head: parts.Head, version: int) -> None:
        """Writes a head, and finds out what happened if the answer is lost.

        The same bytes are written again at the same expected version, so that
        at most one of the tries takes effect.
        """
        value = msgspec.json.encode(head)
        try:
            async with asyncio.timeout(self._settings.patch_timeout_s):
                while not await self._try_write_head(head, value, version):
                    await asyncio.sleep(self._settings.retry_base_s)
        except TimeoutError:
            raise exceptions.StoreUncertainError(
                f"configuration {head.number} may be accepted or not; read the"
                " configuration again before the next patch"
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
        except exceptions.StoreUncertainError:
            return False

    async def _check_nonce(self, head: parts.Head) -> None:
        """Returns if the store holds the head, or one built on it."""
        stored = await self._store.get(HEAD_KIND, HEAD_NAME)
        if stored is None:
            raise exceptions.StoreUnavailableError(
                "the store lost the configuration; see the operators' page"
            )
        found = msgspec.json.decode(stored.value, type=parts.Head)
        if found.recent.get(head.number) != head.nonce:
            await self._consider(found, is_from_store=True)
            raise exceptions.VersionMismatchError(self.head.number)

    async def _poll_store(self) -> None:
        """Reads the head once; an outage is nothing unusual."""
        try:
            await self.refresh()
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("store_down", error=error))

    def _get_poll_period_s(self) -> float:
        """Returns the time to the next read, at a rate all entries share."""
        period_s = self._peers.get_period_s(
            self._settings.poll_rate_per_s, self._settings.poll_least_s
        )
        return jitter.spread_period_s(period_s, self._source)

    async def _follow_peers(self) -> None:
        """Waits for news of a head and adopts it; tried again on failure."""
        await self._news.wait()
        item = self._peers.get_item(ITEM_KEY)
        if item is not None and item.version > self.head.number:
            found = msgspec.json.decode(item.value, type=parts.Head)
            try:
                await self._consider(found, is_from_store=False)
            except exceptions.StoreError as error:
                _log.warning(logs.format_event("head_delayed", error=error))
                return
        if self._peers.get_item(ITEM_KEY) is item:
            self._news.clear()

    async def _adopt(self, head: parts.Head, is_from_store: bool) -> None:
        """Fetches the parts that are missing and puts a head in force."""
        found: dict[str, bytes] = {}
        for digest in head.parts.values():
            found[digest] = self._parts.get(digest) or await self._fetch_part(
                digest, is_from_store
            )
        self.configuration = self._cache.decode(head, found)
        self._parts = found
        self.head = head
        _log.info(logs.format_event("configuration", number=head.number))
        for listener in self._listeners:
            listener(self.configuration)
        value = msgspec.json.encode(head)
        self._peers.publish(ITEM_KEY, head.number, value, ITEM_LIFETIME_S)

    async def _fetch_part(self, digest: str, is_from_store: bool) -> bytes:
        """Fetches a part, first from where its head came."""
        if not is_from_store:
            content = await self._peers.ask_some(PART_KIND, digest.encode())
            if content:
                return content
        stored = await self._store.get(PART_KIND, digest)
        if stored is None:
            raise exceptions.StoreUnavailableError(
                f"part {digest} is missing; the read is tried again"
            )
        return stored.value

    def _raise_alarm(self, verdict: history.Verdict, number: int) -> None:
        self.alarms[verdict.value] = self.alarms.get(verdict.value, 0) + 1
        _log.error(
            logs.format_event(
                "configuration_refused",
                verdict=verdict.value,
                found=number,
                in_force=self.head.number,
            )
        )
