"""Relays collections of the object store to entries that cannot reach it.

An entry whose copy of a collection is no longer current fetches it from an
entry whose copy is. The age of the copy is sent with it and added to its age at
the receiver, so that limits on the age of a copy hold there too.

Many entries may lose the store at the same time, and reports name the same few
holders to all of them. Each chooses one at random, and a holder sends one copy
at a time, so that its own requests do not wait behind copies on its link.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import pathlib
import random

import aiohttp
import aiohttp.web
import capnp
import logbook
import xxhash

from fuchsiabarrow.fleet import watchers
from fuchsiabarrow.ports import collections
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import bodies
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["Relay", "RelayedCollection"]

MS_PER_S = 1000.0
HTTP_OK = 200
# While the store answers, a watch confirms the local copy at the end of each
# wait. A copy that is older by more than the first time is fetched from another
# entry; one that is older by more than the second is neither requested nor
# served.
REFRESH_DELAY_S = 0.3
SHARED_DELAY_S = 0.1
CHECK_PERIOD_S = 0.4
# Time within which the response of a holder must begin.
CALL_TIMEOUT_S = 0.5
# Time after which a copy that was not sent to its end is given up, so that a
# receiver that fell silent does not keep others from getting one.
SEND_TIMEOUT_S = 2.0
MAX_UINT32 = 2**32 - 1

_schema = capnp.load(str(pathlib.Path(__file__).with_name("collection.capnp")))
_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedCollection:
    """A collection that entries relay to each other.

    Attributes:
        kind: Kind of its objects in the store.
        get_objects: Returns the objects of the local copy.
        get_age_s: Returns the time since the local copy was last known to be
            current.
        sink: Receives a copy from another entry.
    """

    kind: str
    get_objects: Callable[[], list[objects.VersionedObject]]
    get_age_s: Callable[[], float]
    sink: watchers.Sink


class Relay:
    """Fetches collections from other entries and serves them.

    Args:
        session: HTTP session, owned by the caller.
        relayed_collections: The collections to relay.
        find_holders: Takes a kind and a maximal age in seconds; returns the
            addresses of live entries with a copy younger than that, the most
            recent first.
        random_source: Random number generator, to spread the periods and to
            choose among holders.
        watch_wait_s: Time that watches of the store wait, in seconds.
        read_time_s: Clock of the times passed to the sinks, None for that of
            the event loop.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        relayed_collections: list[RelayedCollection],
        find_holders: Callable[[str, float], list[str]],
        random_source: random.Random,
        watch_wait_s: float = watchers.WATCH_WAIT_S,
        read_time_s: clocks.Clock | None = None,
    ):
        self._read_time_s = read_time_s or asyncio.get_running_loop().time
        self._refresh_age_s = watch_wait_s + REFRESH_DELAY_S
        self._max_shared_age_s = watch_wait_s + SHARED_DELAY_S
        self._session = session
        self._relayed_collections = {s.kind: s for s in relayed_collections}
        self._find_holders = find_holders
        self._random_source = random_source
        self._is_sending = False
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "Relay":
        self._task = asyncio.create_task(
            tasks.run_periodically(
                "relay",
                self.refresh,
                lambda: jitter.spread_period_s(
                    CHECK_PERIOD_S, self._random_source
                ),
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def make_app(self) -> aiohttp.web.Application:
        """Returns the application that serves the collections."""
        app = aiohttp.web.Application()
        app.router.add_get("/collections/{kind}", self._handle_request)
        return app

    async def _handle_request(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        collection = self._relayed_collections.get(request.match_info["kind"])
        age_s = float("inf") if collection is None else collection.get_age_s()
        if age_s > self._max_shared_age_s:
            raise aiohttp.web.HTTPNotFound
        stored_objects = collection.get_objects()
        digest = compute_digest(stored_objects)
        is_known = request.query.get("mark") == str(digest)
        if not is_known and self._is_sending:
            raise aiohttp.web.HTTPServiceUnavailable
        message = _schema.Collection.new_message(
            mark=digest,
            revision=max((o.version for o in stored_objects), default=0),
            ageMs=min(MAX_UINT32, int(age_s * MS_PER_S) + 1),
        )
        encoded = message.init(
            "objects", 0 if is_known else len(stored_objects)
        )
        for slot, stored in zip(encoded, stored_objects, strict=not is_known):
            slot.name = stored.name
            slot.value = stored.value
            slot.version = stored.version
        response = aiohttp.web.Response(body=message.to_bytes_packed())
        if not is_known:
            await self._send(request, response)
        return response

    async def _send(
        self, request: aiohttp.web.Request, response: aiohttp.web.Response
    ) -> None:
        """Sends a copy; others are refused meanwhile."""
        self._is_sending = True
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await response.prepare(request)
                await response.write_eof()
        except TimeoutError:
            _log.info(
                logs.format_event(
                    "relay_not_read",
                    address=request.remote,
                    limit_s=SEND_TIMEOUT_S,
                )
            )
            raise asyncio.CancelledError from None
        finally:
            self._is_sending = False

    async def refresh(self) -> None:
        """Fetches the collections whose local copy is too old."""
        for collection in self._relayed_collections.values():
            if collection.get_age_s() > self._refresh_age_s:
                await self._fetch(collection)

    async def _fetch(self, collection: RelayedCollection) -> None:
        holder_addresses = self._find_holders(
            collection.kind, self._max_shared_age_s
        )
        if not holder_addresses:
            return
        address = self._random_source.choice(holder_addresses)
        own_digest = compute_digest(collection.get_objects())
        requested_at_s = self._read_time_s()
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S) as limit:
                async with self._session.get(
                    f"http://{address}/collections/{collection.kind}",
                    params={"mark": str(own_digest)},
                    timeout=aiohttp.ClientTimeout(total=None),
                ) as response:
                    body = await bodies.read_body(response, limit)
                    if response.status != HTTP_OK:
                        return
            message = _schema.Collection.from_bytes_packed(body)
        except (aiohttp.ClientError, TimeoutError, capnp.KjException) as error:
            _log.info(
                logs.format_event(
                    "relay_failed",
                    kind=collection.kind,
                    address=address,
                    why=f"{type(error).__name__} {error}",
                )
            )
            return
        self._apply(collection, message, own_digest, requested_at_s, address)

    def _apply(
        self, collection, message, own_digest, requested_at_s, address
    ) -> None:
        if message.mark != own_digest:
            stored_objects = tuple(
                objects.VersionedObject(o.name, bytes(o.value), o.version)
                for o in message.objects
            )
            _log.info(
                logs.format_event(
                    "relayed",
                    kind=collection.kind,
                    address=address,
                    objects=len(stored_objects),
                    age_s=message.ageMs / MS_PER_S,
                )
            )
            collection.sink.apply_snapshot(
                collections.Snapshot(stored_objects, message.revision), False
            )
        collection.sink.confirm(requested_at_s - message.ageMs / MS_PER_S)


def compute_digest(stored_objects: list[objects.VersionedObject]) -> int:
    """Returns a digest of the names and versions of objects.

    The wire format calls it the mark of a collection.
    """
    names = sorted(
        f"{stored.name}/{stored.version}" for stored in stored_objects
    )
    return xxhash.xxh3_64_intdigest("\n".join(names).encode())
