"""HTTP client of the platform's object store.

A response has to begin within a time limit, and then to make progress. A short
limit on the whole response would fail again and again: the history of a
collection that keeps changing grows while it is being transferred, so that a
second attempt takes longer than the first one.
"""

import asyncio
import urllib.parse

import aiohttp
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.platform import wire
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.ports import collections
from fuchsiabarrow.utils import bodies
from fuchsiabarrow.utils import http_statuses

__all__ = ["StoreClient"]

HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409
HTTP_GONE = 410
EXPECTED_FAILURES = (HTTP_NOT_FOUND, HTTP_CONFLICT, HTTP_GONE)
MS_PER_S = 1000
MAX_ERA_DIGITS = 5
# Time beyond the wait time of a watch within which its response must begin.
WATCH_RESPONSE_SLACK_S = 0.4
# After failures calls get more time, as a busy link delays each of them: this
# often the time is doubled.
MAX_DOUBLINGS = 2


class StoreClient:
    """Client of the object store; calls share the connections of a session.

    Args:
        session: HTTP session; the creator of this object closes it.
        address: ``ip:port`` of the store.
        timeout_s: Time within which the response to a call other than a watch
            must begin. After failures it is doubled, up to twice.
    """

    def __init__(
        self, session: aiohttp.ClientSession, address: str, timeout_s: float
    ):
        self._session = session
        self._base = f"http://{address}/objects"
        self._timeout_s = timeout_s
        # Era of the latest answer, and of the latest list by kind.
        self._era = 0
        self._listed_eras: dict[str, int] = {}
        # Consecutive calls without a response, by kind.
        self._failures: dict[str, int] = {}

    async def list(
        self, kind: str, allow_stale: bool = False
    ) -> collections.Snapshot:
        """Implements `fuchsiabarrow.ports.collections.Collections.list`."""
        entries: list[wire.StoredObject] = []
        query = {"serializable": "1"} if allow_stale else {}
        revision = first_era = None
        while True:
            listing, era = await self._read(
                kind, query, wire.decode_listing, self._timeout_s
            )
            if first_era is None:
                first_era = era
            elif era != first_era:
                raise exceptions.StoreUnavailableError(
                    f"{kind}: the store was restored while it was listed;"
                    " list again"
                )
            entries.extend(listing.entries)
            if revision is None:
                # The watch starts from the revision of the first page, so that
                # it reports changes made while later pages were read.
                revision = listing.store_revision
            if not listing.more or not listing.entries:
                listed_era = self._listed_eras.get(kind, era)
                self._listed_eras[kind] = era
                return collections.Snapshot(
                    tuple(wire.convert_object(entry, era) for entry in entries),
                    wire.join_revision(era, revision),
                    listed_era != era,
                )
            query = {**query, "after": listing.entries[-1].metadata.name}

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> collections.Changes:
        """Implements `fuchsiabarrow.ports.collections.Collections.watch`."""
        known_era, own_revision = wire.split_revision(revision)
        if known_era < self._era:
            raise _make_restored_error(kind, known_era, self._era)
        query = {
            "watch": str(own_revision),
            "wait_ms": str(int(wait_s * MS_PER_S)),
        }
        answer, era = await self._read(
            kind,
            query,
            wire.decode_watch_answer,
            WATCH_RESPONSE_SLACK_S,
            wait_s,
        )
        if era != known_era:
            raise _make_restored_error(kind, known_era, era)
        changes = tuple(
            collections.Change(
                wire.convert_object(event.object, era), event.tombstone
            )
            for event in answer.events
        )
        return collections.Changes(
            changes, wire.join_revision(era, answer.store_revision)
        )

    async def create(self, kind: str, name: str, spec: object) -> bool:
        """Creates an object; returns False if it already exists."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        status, _ = await self._call("POST", kind, {}, body, self._timeout_s)
        return status != HTTP_CONFLICT

    async def replace(self, kind: str, name: str, spec: object) -> bool:
        """Replaces an object unconditionally; False if it does not exist."""
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        path = f"{kind}/{urllib.parse.quote(name, safe='')}"
        status, _ = await self._call("PUT", path, {}, body, self._timeout_s)
        return status != HTTP_NOT_FOUND

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object; not an error if it does not exist."""
        path = f"{kind}/{urllib.parse.quote(name, safe='')}"
        await self._call("DELETE", path, {}, None, self._timeout_s)

    async def _read(self, kind, query, decode, response_s, wait_s=0.0):
        doublings = min(self._failures.get(kind, 0), MAX_DOUBLINGS)
        timeout_s = wait_s + response_s * 2**doublings
        try:
            status, body, era = await self._call_with_era(
                "GET", kind, query, None, timeout_s
            )
        except exceptions.StoreError:
            self._failures[kind] = self._failures.get(kind, 0) + 1
            raise
        self._failures[kind] = 0
        if era < self._era:
            raise exceptions.StoreUnavailableError(
                f"{kind}: response from before the store was restored;"
                " retry after a delay"
            )
        self._era = era
        if status == HTTP_GONE:
            raise exceptions.StoreHistoryExpiredError(
                f"{kind}: the store no longer has the changes since revision"
                f" {query.get('watch')}; list again"
            )
        try:
            return decode(body), era
        except exceptions.InvalidObjectError as error:
            raise exceptions.StoreUnavailableError(
                f"{kind}: malformed response from the store ({error});"
                " retry after a delay"
            ) from error

    async def _call(self, *arguments) -> tuple[int, bytes]:
        status, body, _ = await self._call_with_era(*arguments)
        return status, body

    async def _call_with_era(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes | None,
        timeout_s: float,
    ) -> tuple[int, bytes, int]:
        """Returns the status and the body of the response, and the era."""
        headers = {"Content-Type": "application/json"} if body else None
        try:
            async with asyncio.timeout(timeout_s) as limit:
                async with self._session.request(
                    method,
                    f"{self._base}/{path}",
                    params=query,
                    data=body,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=None),
                ) as response:
                    content = await bodies.read_body(response, limit)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            error_type = exceptions.StoreUnavailableError
            if method != "GET":
                # The store may have applied the write.
                error_type = exceptions.StoreOutcomeUnknownError
            raise error_type(
                f"{method} {path}: no response ({type(error).__name__} {error})"
            ) from error
        status = response.status
        if method != "GET" and not http_statuses.is_final(status):
            raise exceptions.StoreOutcomeUnknownError(
                f"{method} {path}: broken answer (status {status}); read the"
                " object back to find out"
            )
        if not 200 <= status < 300 and status not in EXPECTED_FAILURES:
            raise exceptions.StoreUnavailableError(
                f"{method} {path}: HTTP status {status}; retry after a delay"
            )
        return status, content, _parse_era(response.headers)


def _parse_era(headers) -> int:
    """Returns the era of the store in an answer; 0 if it does not send one."""
    text = headers.get(wire_names.STORE_ERA, "")
    is_valid = text.isdecimal() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_valid else 0


def _make_restored_error(
    kind: str, known_era: int, era: int
) -> exceptions.StoreRestoredError:
    return exceptions.StoreRestoredError(
        f"{kind}: the store was restored (era {known_era}, now {era}) and has"
        " given out revisions again; list again"
    )
