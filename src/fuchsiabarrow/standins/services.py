"""Stand-in for a plain service whose bookings may not be repeated."""

import asyncio

import aiohttp.web
import msgspec

from fuchsiabarrow.standins import faults as faults_module
from fuchsiabarrow.standins import servers

__all__ = ["ServiceStandin"]


class ServiceStandin:
    """Runs every call that it reads and keeps what it ran.

    With ``check_fence`` it refuses a key's smaller fencing numbers, answers
    questions about a key and runs a key at most once. Without it, it runs what
    it is sent, as often as it is sent.

    Args:
        port: Port on loopback, 0 for a free one.
    """

    def __init__(self, port: int = 0):
        self.faults = faults_module.Faults()
        self.runs: dict[str, int] = {}
        self._answers: dict[str, dict] = {}
        self._fences: dict[str, int] = {}
        app = aiohttp.web.Application()
        app.router.add_post("/calls/{action}", self._serve_call)
        app.router.add_get("/calls/{action}/{key}", self._serve_question)
        app.router.add_get("/runs", self._serve_runs)
        faults_module.add_routes(app, self.faults)
        self.server = servers.Server(app, port)

    async def __aenter__(self) -> "ServiceStandin":
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        await self.server.__aexit__(*details)

    async def _serve_call(self, request: aiohttp.web.Request):
        if self.faults.down:
            return self._refuse("down")
        key = request.headers.get("Idempotency-Key", "")
        fence = int(request.headers.get("Fencing-Token", "0"))
        body = msgspec.json.decode(await request.read())
        if self.faults.check_fence:
            if fence < self._fences.get(key, 0):
                return self._refuse("old fencing number")
            self._fences[key] = fence
            if key in self._answers:
                return aiohttp.web.json_response(self._answers[key])
        self.runs[key] = self.runs.get(key, 0) + 1
        answer = {"booked": key, "run": self.runs[key], "echo": body}
        self._answers[key] = answer
        await asyncio.sleep(self.faults.delay_s)
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return aiohttp.web.json_response(answer)

    async def _serve_question(self, request: aiohttp.web.Request):
        if not self.faults.check_fence:
            raise aiohttp.web.HTTPNotFound()
        key = request.match_info["key"]
        fence = int(request.headers.get("Fencing-Token", "0"))
        self._fences[key] = max(fence, self._fences.get(key, 0))
        if key not in self._answers:
            return aiohttp.web.Response(status=204)
        return aiohttp.web.json_response(self._answers[key])

    async def _serve_runs(self, request: aiohttp.web.Request):
        return aiohttp.web.json_response(self.runs)

    def _refuse(self, why: str) -> aiohttp.web.Response:
        return aiohttp.web.json_response(
            {"detail": why}, status=503, headers={"Did-Not-Run": "true"}
        )
