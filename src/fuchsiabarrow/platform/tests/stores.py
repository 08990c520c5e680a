"""A stand-in of the platform's store: lists, watches, faults on demand."""

import asyncio

import aiohttp.web
import msgspec

from fuchsiabarrow.utils import listeners


class Store:
    """Objects by kind and name over HTTP.

    Attributes:
        address: ``ip:port`` that it serves on.
        calls: Calls by method and kind, in order.
        status: Status that every call gets, 0 to serve.
        is_silent: Whether calls get no answer.
        forgets_history: Whether watches are told that history is gone.
    """

    def __init__(self):
        self.calls: list[tuple[str, str]] = []
        self.status = 0
        self.is_silent = False
        self.forgets_history = False
        self.revision = 1
        self._objects: dict[str, dict[str, dict]] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Condition()
        self._mutes: dict[str, int] = {}
        app = aiohttp.web.Application()
        app.router.add_get("/objects/{kind}", self._read)
        app.router.add_post("/objects/{kind}", self._create)
        app.router.add_put("/objects/{kind}/{name}", self._replace)
        app.router.add_delete("/objects/{kind}/{name}", self._delete)
        self._listener = listeners.Listener(app, "127.0.0.1:0")

    @property
    def address(self) -> str:
        return self._listener.address

    async def __aenter__(self) -> "Store":
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        self.is_silent = False
        await self._listener.__aexit__(*details)

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object as its owner does."""
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
        await self._tell(kind, {"tombstone": False, "object": stored})

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object as its owner does."""
        stored = self._objects[kind].pop(name)
        self.revision += 1
        stored["metadata"]["revision"] = self.revision
        await self._tell(kind, {"tombstone": True, "object": stored})

    def mute(self, kind: str) -> None:
        """Lets the watches of a kind that wait now hear nothing more."""
        self._mutes[kind] = self._mutes.get(kind, 0) + 1

    async def _tell(self, kind: str, event: dict) -> None:
        self._events.append((self.revision, kind, event))
        async with self._changed:
            self._changed.notify_all()

    async def _admit(self, request: aiohttp.web.Request) -> None:
        self.calls.append((request.method, request.match_info["kind"]))
        while self.is_silent:
            await asyncio.sleep(0.05)
        if self.status:
            raise _make_failure(self.status)

    async def _read(self, request: aiohttp.web.Request):
        await self._admit(request)
        kind = request.match_info["kind"]
        if "watch" in request.query:
            return await self._watch(request, kind)
        entries = [
            self._objects[kind][name]
            for name in sorted(self._objects.get(kind, {}))
            if name > request.query.get("after", "")
        ]
        page = entries[:20]
        return _answer(
            {
                "entries": page,
                "more": len(entries) > len(page),
                "store_revision": self.revision,
            }
        )

    async def _watch(self, request: aiohttp.web.Request, kind: str):
        since = int(request.query["watch"])
        if self.forgets_history:
            return _answer({"error": "history is gone"}, 410)
        mutes = self._mutes.get(kind, 0)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(request.query["wait_ms"]) / 1000
        while True:
            if self.status:
                raise _make_failure(self.status)
            events = [
                event
                for revision, of_kind, event in self._events
                if of_kind == kind and revision > since
            ]
            left_s = until_s - loop.time()
            if mutes != self._mutes.get(kind, 0):
                await asyncio.sleep(30.0)
            if events or left_s <= 0:
                return _answer(
                    {"events": events, "store_revision": self.revision}
                )
            try:
                async with asyncio.timeout(min(left_s, 0.05)), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                continue

    async def _create(self, request: aiohttp.web.Request):
        await self._admit(request)
        kind = request.match_info["kind"]
        body = msgspec.json.decode(await request.read())
        name = body["metadata"]["name"]
        if name in self._objects.get(kind, {}):
            return _answer(self._objects[kind][name], 409)
        await self.put(kind, name, body["spec"])
        return _answer(self._objects[kind][name], 201)

    async def _replace(self, request: aiohttp.web.Request):
        await self._admit(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return _answer({"error": "no such object"}, 404)
        body = msgspec.json.decode(await request.read())
        await self.put(kind, name, body["spec"])
        return _answer(self._objects[kind][name])

    async def _delete(self, request: aiohttp.web.Request):
        await self._admit(request)
        kind, name = request.match_info["kind"], request.match_info["name"]
        if name not in self._objects.get(kind, {}):
            return _answer({"error": "no such object"}, 404)
        await self.remove(kind, name)
        return _answer({})


def _answer(body: object, status: int = 200) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type="application/json",
    )


def _make_failure(status: int) -> aiohttp.web.HTTPException:
    kinds = {
        429: aiohttp.web.HTTPTooManyRequests,
        503: aiohttp.web.HTTPServiceUnavailable,
    }
    return kinds[status]()
