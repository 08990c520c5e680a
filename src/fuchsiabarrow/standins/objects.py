"""Stand-in for the platform's object API.

``GET/PUT/DELETE /objects/{kind}/{name}``, ``GET /objects/{kind}`` for a list
and ``GET /objects/{kind}?watch=VERSION`` for a stream of changes. One counter
gives all versions. Every call counts, and so does a waiting watch.
"""

import asyncio
import base64

import aiohttp.web
import msgspec

from fuchsiabarrow.ports import objects
from fuchsiabarrow.standins import faults as faults_module
from fuchsiabarrow.standins import servers

__all__ = ["StoreStandin"]

BOOKMARK_PERIOD_S = 1.0


class StoreStandin:
    """Keeps objects in memory.

    Args:
        port: Port on loopback, 0 for a free one.
    """

    def __init__(self, port: int = 0):
        self.faults = faults_module.Faults()
        self.counts = {"read": 0, "write": 0, "list": 0, "watch": 0}
        self.version = 0
        self.objects: dict[tuple[str, str], objects.Stored] = {}
        self._first: dict[tuple[str, str], objects.Stored] = {}
        self._history: list[tuple[str, objects.Event]] = []
        self._changed = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        app = aiohttp.web.Application(client_max_size=servers.MAX_BODY_BYTES)
        app.router.add_get("/objects/{kind}", self._serve_list)
        app.router.add_get("/objects/{kind}/{name}", self._serve_get)
        app.router.add_put("/objects/{kind}/{name}", self._serve_put)
        app.router.add_get("/counts", self._serve_counts)
        faults_module.add_routes(app, self.faults)
        self.server = servers.Server(app, port)

    async def __aenter__(self) -> "StoreStandin":
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._tasks):
            task.cancel()
        await self.server.__aexit__(*details)

    def write(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int | None:
        """Writes an object; returns its version, None on a conflict."""
        found = self.objects.get((kind, name))
        current = found.version if found else objects.ABSENT_VERSION
        if current != expected:
            return None
        self.version += 1
        stored = objects.Stored(name, value, self.version)
        self.objects[(kind, name)] = stored
        self._first.setdefault((kind, name), stored)
        event = objects.Event(name, value, self.version)
        self._history.append((kind, event))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    async def _meet_faults(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise aiohttp.web.HTTPServiceUnavailable()

    async def _serve_get(self, request: aiohttp.web.Request):
        self.counts["read"] += 1
        await self._meet_faults()
        key = (request.match_info["kind"], request.match_info["name"])
        source = self._first if self.faults.stale_reads else self.objects
        found = source.get(key)
        if found is None:
            raise aiohttp.web.HTTPNotFound()
        return aiohttp.web.Response(
            body=found.value, headers={"ETag": str(found.version)}
        )

    async def _serve_put(self, request: aiohttp.web.Request):
        self.counts["write"] += 1
        await self._meet_faults()
        kind, name = request.match_info["kind"], request.match_info["name"]
        expected = int(request.headers.get("If-Match", "0"))
        value = await request.read()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self._write_unseen(kind, name, value, expected)
            request.transport.abort()
            return aiohttp.web.Response(status=500)
        version = self.write(kind, name, value, expected)
        if version is None:
            raise aiohttp.web.HTTPPreconditionFailed()
        return aiohttp.web.Response(headers={"ETag": str(version)})

    def _write_unseen(self, kind, name, value, expected) -> None:
        if not self.faults.delay_write_s:
            self.write(kind, name, value, expected)
            return
        asyncio.get_running_loop().call_later(
            self.faults.delay_write_s, self.write, kind, name, value, expected
        )

    async def _serve_list(self, request: aiohttp.web.Request):
        await self._meet_faults()
        kind = request.match_info["kind"]
        if "watch" in request.query:
            self.counts["watch"] += 1
            return await self._stream(request, kind)
        self.counts["list"] += 1
        found = [v for (k, _), v in self.objects.items() if k == kind]
        body = [(s.name, _encode(s.value), s.version) for s in found]
        return aiohttp.web.json_response({"items": body, "at": self.version})

    async def _stream(self, request: aiohttp.web.Request, kind: str):
        response = aiohttp.web.StreamResponse()
        await response.prepare(request)
        since = int(request.query["watch"])
        index = 0
        while not self.faults.down:
            changed = self._changed
            lines = []
            for event_kind, event in self._history[index:]:
                if event_kind == kind and event.version > since:
                    lines.append(_encode_event(event))
            index = len(self._history)
            if lines:
                await response.write(b"".join(lines))
            try:
                async with asyncio.timeout(BOOKMARK_PERIOD_S):
                    await changed.wait()
            except TimeoutError:
                mark = objects.Event("", None, self.version, is_bookmark=True)
                await response.write(_encode_event(mark))
        return response

    async def _serve_counts(self, request: aiohttp.web.Request):
        return aiohttp.web.json_response(self.counts)


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _encode_event(event: objects.Event) -> bytes:
    return msgspec.json.encode(event) + b"\n"
