"""Hands on what entries know of the store to those that do not reach it.

An entry whose knowledge of a collection grows old asks one whose knowledge is
current. What it gets is as old as it was there, so that bounds on age hold.
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

from fuchsiabarrow.fleet import followers
from fuchsiabarrow.ports import collections
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["Relay", "Source"]

MS_PER_S = 1000.0
HTTP_OK = 200
# Knowledge older than this is asked for elsewhere: a follower whose store
# answers confirms its own more often.
OLD_S = 2.5
# Knowledge this young is worth asking for.
YOUNG_S = 2.3
PERIOD_S = 0.4
CALL_TIMEOUT_S = 0.5
MAX_UINT32 = 2**32 - 1

_schema = capnp.load(str(pathlib.Path(__file__).with_name("collection.capnp")))
_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Source:
    """One collection that is handed on.

    Attributes:
        kind: Kind of its objects.
        get_objects: Returns the objects known here.
        get_age_s: Returns the age of this knowledge.
        sink: Takes over what another entry knows.
    """

    kind: str
    get_objects: Callable[[], list[objects.Stored]]
    get_age_s: Callable[[], float]
    sink: followers.Sink


class Relay:
    """Asks other entries for collections, and answers them.

    Args:
        session: HTTP session, owned by the caller.
        sources: The collections.
        find_informed: Returns addresses of live entries whose knowledge of a
            kind is younger than some seconds, the youngest first.
        source: Random source.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        sources: list[Source],
        find_informed: Callable[[str, float], list[str]],
        source: random.Random,
    ):
        self._session = session
        self._sources = {s.kind: s for s in sources}
        self._find_informed = find_informed
        self._source = source
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "Relay":
        self._task = asyncio.create_task(
            tasks.repeat(
                "relay",
                self.refresh,
                lambda: jitter.spread_period_s(PERIOD_S, self._source),
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def make_app(self) -> aiohttp.web.Application:
        """Returns the application that answers other entries."""
        app = aiohttp.web.Application()
        app.router.add_get("/collections/{kind}", self._answer)
        return app

    async def _answer(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.Response:
        source = self._sources.get(request.match_info["kind"])
        age_s = float("inf") if source is None else source.get_age_s()
        if age_s > YOUNG_S:
            raise aiohttp.web.HTTPNotFound
        found = source.get_objects()
        mark = compute_mark(found)
        is_known = request.query.get("mark") == str(mark)
        message = _schema.Collection.new_message(
            mark=mark,
            revision=max((o.version for o in found), default=0),
            ageMs=min(MAX_UINT32, int(age_s * MS_PER_S) + 1),
        )
        told = message.init("objects", 0 if is_known else len(found))
        for place, stored in zip(told, found, strict=not is_known):
            place.name = stored.name
            place.value = stored.value
            place.version = stored.version
        return aiohttp.web.Response(body=message.to_bytes_packed())

    async def refresh(self) -> None:
        """Asks for the collections that are old here."""
        for source in self._sources.values():
            if source.get_age_s() > OLD_S:
                await self._ask(source)

    async def _ask(self, source: Source) -> None:
        informed = self._find_informed(source.kind, YOUNG_S)
        if not informed:
            return
        address = informed[0]
        known = compute_mark(source.get_objects())
        asked_s = asyncio.get_running_loop().time()
        try:
            async with self._session.get(
                f"http://{address}/collections/{source.kind}",
                params={"mark": str(known)},
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                body = await response.read()
                if response.status != HTTP_OK:
                    return
            message = _schema.Collection.from_bytes_packed(body)
        except (aiohttp.ClientError, TimeoutError, capnp.KjException) as error:
            _log.info(
                logs.format_event(
                    "relay_failed",
                    kind=source.kind,
                    address=address,
                    why=type(error).__name__,
                )
            )
            return
        self._take(source, message, known, asked_s, address)

    def _take(self, source, message, known, asked_s, address) -> None:
        if message.mark != known:
            found = tuple(
                objects.Stored(o.name, bytes(o.value), o.version)
                for o in message.objects
            )
            _log.info(
                logs.format_event(
                    "relayed",
                    kind=source.kind,
                    address=address,
                    objects=len(found),
                    age_s=message.ageMs / MS_PER_S,
                )
            )
            source.sink.take_snapshot(
                collections.Snapshot(found, message.revision), False
            )
        source.sink.confirm(asked_s - message.ageMs / MS_PER_S)


def compute_mark(found: list[objects.Stored]) -> int:
    """Returns a digest of the names and versions of objects."""
    names = sorted(f"{stored.name}/{stored.version}" for stored in found)
    return xxhash.xxh3_64_intdigest("\n".join(names).encode())
