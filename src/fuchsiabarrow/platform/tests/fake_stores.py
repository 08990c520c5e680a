"""A fake of the platform's store, with lists, watches and fault injection."""

import asyncio

import aiohttp.web
import msgspec

from fuchsiabarrow.utils import listeners


class FakeStore:
    """Serves objects by kind and name over HTTP.

    Attributes:
        address: ``ip:port`` that it listens on.
        calls: Method and kind of each call, in order.
        status: Error status of the response to every call, 0 for none.
        is_silent: Whether calls get no response.
        has_lost_history: Whether watches get the error that the changes since
            their revision are no longer available.
        revision: Revision of the last change.
        era: Number of times that it was restored; 0 is not sent.
        refused: Error status by IP address of the callers that it refuses.
        delay_s: Time until it begins to answer a call, in seconds.

    Args:
        address: ``ip:port`` to listen on; port 0 picks a free port.
        poll_s: Time after which waiting watches notice a change of `status`.
    """

    def __init__(self, address: str = "127.0.0.1:0", poll_s: float = 0.05):
        self.calls: list[tuple[str, str]] = []
        self.status = 0
        self.is_silent = False
        self.has_lost_history = False
        self.revision = 1
        self.era = 0
        self.refused: dict[str, int] = {}
        self.delay_s = 0.0
        self._poll_s = poll_s
        self._stale_copy: tuple | None = None
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Condition()
        self._stop_counts: dict[str, int] = {}
        app = aiohttp.web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/objects/{kind}", self._read)
        app.router.add_post("/objects/{kind}", self._create)
        app.router.add_put("/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        self._listener = listeners.Listener(app, address)

    @property
    def address(self) -> str:
        return self._listener.address

    async def __aenter__(self) -> "FakeStore":
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        self.is_silent = False
        await self._listener.__aexit__(*details)

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Creates or replaces an object."""
        self.revision += 1
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self._objects.setdefault(kind, {})[name] = stored
        await self._notify(kind, {"tombstone": False, "object": stored})

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object and sends its tombstone."""
        stored = self._objects[kind].pop(name)
        self.revision += 1
        stored["metadata"]["revision"] = self.revision
        await self._notify(kind, {"tombstone": True, "object": stored})

    async def _add_era(self, request, response) -> None:
        del request
        if self.era:
            response.headers["Store-Era"] = str(self.era)

    def copy(self) -> tuple:
        """Returns a copy of its state, to restore it later."""
        objects = msgspec.json.decode(msgspec.json.encode(self._objects))
        return objects, self.revision, list(self._events)

    def restore(self, copied: tuple) -> None:
        """Returns to a copied state; revisions are given out again."""
        objects, self.revision, self._events = copied
        self._objects = msgspec.json.decode(msgspec.json.encode(objects))
        self._events = list(self._events)
        self.era += 1

    def make_lists_stale(self, copied: tuple | None) -> None:
        """Answers lists from a copied state; from the current one if None."""
        self._stale_copy = copied

    def stop_watches(self, kind: str) -> None:
        """Stops events to the watches of a kind that are currently waiting."""
        self._stop_counts[kind] = self._stop_counts.get(kind, 0) + 1

    async def _notify(self, kind: str, event: dict) -> None:
        self._events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    async def _check_availability(self, request: aiohttp.web.Request) -> None:
        self.calls.append((request.method, request.match_info["kind"]))
        while self.is_silent:
            await asyncio.sleep(0.05)
        status = self.refused.get(request.remote, self.status)
        if status:
            raise _make_error(status)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)

    async def _read(self, request: aiohttp.web.Request):
        await self._check_availability(request)
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        listed, revision = self._objects, self.revision
        if self._stale_copy is not None:
            listed, revision, _ = self._stale_copy
        entries = [
            listed[kind][name]
            for name in sorted(listed.get(kind, {}))
            if name > request.query.get("after", "")
        ]
        page = entries[:20]
        return _make_response(
            {
                "entries": page,
                "more": len(entries) > len(page),
                "store_revision": revision,
            }
        )

    async def _watch(self, request: aiohttp.web.Request, kind: str):
        since = int(request.query["watch"])
        if self.has_lost_history:
            return _make_response(
                {"error": "changes since this revision are gone"}, 410
            )
        stop_count = self._stop_counts.get(kind, 0)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(request.query["wait_ms"]) / 1000
        while True:
            if status := self.refused.get(request.remote, self.status):
                raise _make_error(status)
            events = [
                event
                for revision, of_kind, event in self._events
                if of_kind == kind and revision > since
            ]
            left_s = until_s - loop.time()
            if stop_count != self._stop_counts.get(kind, 0):
                # Longer than clients wait for the response to a watch.
                await asyncio.sleep(30.0)
            if events or left_s <= 0:
                return _make_response(
                    {"events": events, "store_revision": self.revision}
                )
            try:
                timeout_s = min(left_s, self._poll_s)
                async with asyncio.timeout(timeout_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _create(self, request: aiohttp.web.Request):
        await self._check_availability(request)
        kind = request.match_info["kind"]
        body = msgspec.json.decode(await request.read())
        name = body["metadata"]["name"]
        if name in self._objects.get(kind, {}):
            return _make_response(self._objects[kind][name], 409)
        await self.put(kind, name, body["spec"])
        return _make_response(self._objects[kind][name], 201)

    async def _replace(self, request: aiohttp.web.Request):
        await self._check_availability(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return _make_response({"error": "no such object"}, 404)
        body = msgspec.json.decode(await request.read())
        await self.put(kind, name, body["spec"])
        return _make_response(self._objects[kind][name])

    async def _delete(self, request: aiohttp.web.Request):
        await self._check_availability(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return _make_response({"error": "no such object"}, 404)
        await self.remove(kind, name)
        return _make_response({})


def _make_response(body: object, status: int = 200) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )


def _make_error(status: int) -> aiohttp.web.HTTPException:
    kinds = {
        429: aiohttp.web.HTTPTooManyRequests,
        503: aiohttp.web.HTTPServiceUnavailable,
    }
    return kinds[status]()
