"""Stand-in for a plain service whose calls must not run more than once."""

import asyncio

import aiohttp.web
import msgspec

from fuchsiabarrow.standins import faults as faults_module
from fuchsiabarrow.standins import servers

__all__ = ["ServiceStandin"]


class ServiceStandin:
    """Runs the calls that it receives and counts the runs of each key.

    With the fault ``check_fence``, it refuses fencing tokens smaller than the
    largest one seen for a key, answers outcome queries and runs each key at
    most once. Without it, every call is run, even if its key was run before.

    Args:
        port: Port on the loopback interface; 0 picks a free one.
    """

    def __init__(self, port: int = 0):
        self.faults = faults_module.Faults()
        self.runs: dict[str, int] = {}
        self._answers: dict[str, dict] = {}
        self._fences: dict[str, int] = {}
        app = aiohttp.web.Application()
        app.router.add_post("/calls/{action}", self._serve_call)
        app.router.add_get("/calls/{action}/{key}", self._serve_outcome)
        app.router.add_get("/runs", self._serve_runs)
        faults_module.add_routes(app, self.faults)
        self.server = servers.Server(app, port)

    async def __aenter__(self) -> "ServiceStandin":
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.server.__aexit__(*exc_info)

    async def _serve_call(self, request: aiohttp.web.Request):
        if self.faults.down:
            return self._refuse("down")
        key = request.headers.get("Idempotency-Key", "")
        fence = int(request.headers.get("Fencing-Token", "0"))
        body = msgspec.json.decode(await request.read())
        if self.faults.check_fence:
            if fence < self._fences.get(key, 0):
                return self._refuse("old fencing token")
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

    async def _serve_outcome(self, request: aiohttp.web.Request):
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

    def _refuse(self, reason: str) -> aiohttp.web.Response:
        return aiohttp.web.json_response(
            {"detail": reason}, status=503, headers={"Did-Not-Run": "true"}
        )
