"""Stand-in for the platform's object API.

``GET/PUT/DELETE /objects/{kind}/{name}`` and ``GET /objects/{kind}`` for a
list. All objects take their versions from one counter. ``GET /counts`` returns
the numbers of reads, writes and lists. The platform's API also has watches;
they are left out, as the entries poll it instead.
"""

import asyncio
import base64

import aiohttp.web

from fuchsiabarrow.ports import objects
from fuchsiabarrow.standins import faults as faults_module
from fuchsiabarrow.standins import servers

__all__ = ["StoreStandin"]


class StoreStandin:
    """Keeps objects in memory.

    Args:
        port: Port on the loopback interface; 0 picks a free one.
    """

    def __init__(self, port: int = 0):
        self.faults = faults_module.Faults()
        self.counts = {"read": 0, "write": 0, "list": 0}
        self.version = 0
        self.objects: dict[tuple[str, str], objects.VersionedObject] = {}
        self._first_versions: dict[
            tuple[str, str], objects.VersionedObject
        ] = {}
        app = aiohttp.web.Application(client_max_size=servers.MAX_BODY_BYTES)
        app.router.add_get("/objects/{kind}", self._serve_list)
        app.router.add_get("/objects/{kind}/{name}", self._serve_get)
        app.router.add_delete("/objects/{kind}/{name}", self._serve_delete)
        app.router.add_put("/objects/{kind}/{name}", self._serve_put)
        app.router.add_get("/counts", self._serve_counts)
        faults_module.add_routes(app, self.faults)
        self.server = servers.Server(app, port)

    async def __aenter__(self) -> "StoreStandin":
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.server.__aexit__(*exc_info)

    def write(
        self, kind: str, name: str, value: bytes, expected: int
    ) -> int | None:
        """Writes an object; returns its new version, or None on a conflict."""
        found = self.objects.get((kind, name))
        current = found.version if found else objects.ABSENT_VERSION
        if current != expected:
            return None
        self.version += 1
        stored = objects.VersionedObject(name, value, self.version)
        self.objects[(kind, name)] = stored
        self._first_versions.setdefault((kind, name), stored)
        return self.version

    async def _apply_faults(self) -> None:
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise aiohttp.web.HTTPServiceUnavailable()

    async def _serve_get(self, request: aiohttp.web.Request):
        self.counts["read"] += 1
        await self._apply_faults()
        key = (request.match_info["kind"], request.match_info["name"])
        source = (
            self._first_versions if self.faults.stale_reads else self.objects
        )
        found = source.get(key)
        if found is None:
            raise aiohttp.web.HTTPNotFound()
        return aiohttp.web.Response(
            body=found.value, headers={"ETag": str(found.version)}
        )

    async def _serve_put(self, request: aiohttp.web.Request):
        self.counts["write"] += 1
        await self._apply_faults()
        kind, name = request.match_info["kind"], request.match_info["name"]
        expected = int(request.headers.get("If-Match", "0"))
        value = await request.read()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self._write_unanswered(kind, name, value, expected)
            request.transport.abort()
            return aiohttp.web.Response(status=500)
        version = self.write(kind, name, value, expected)
        if version is None:
            raise aiohttp.web.HTTPPreconditionFailed()
        return aiohttp.web.Response(headers={"ETag": str(version)})

    async def _serve_delete(self, request: aiohttp.web.Request):
        self.counts["write"] += 1
        await self._apply_faults()
        key = (request.match_info["kind"], request.match_info["name"])
        self.objects.pop(key, None)
        return aiohttp.web.Response(status=204)

    def _write_unanswered(self, kind, name, value, expected) -> None:
        if not self.faults.delay_write_s:
            self.write(kind, name, value, expected)
            return
        asyncio.get_running_loop().call_later(
            self.faults.delay_write_s, self.write, kind, name, value, expected
        )

    async def _serve_list(self, request: aiohttp.web.Request):
        await self._apply_faults()
        kind = request.match_info["kind"]
        self.counts["list"] += 1
        found = [v for (k, _), v in self.objects.items() if k == kind]
        body = [(s.name, _encode(s.value), s.version) for s in found]
        return aiohttp.web.json_response({"items": body})

    async def _serve_counts(self, request: aiohttp.web.Request):
        return aiohttp.web.json_response(self.counts)


def _encode(value: bytes) -> str:
    return base64.b64encode(value).decode()
