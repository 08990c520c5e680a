"""Stand-in for the platform's list of instances."""

import aiohttp.web
import msgspec

from fuchsiabarrow.ports import instances
from fuchsiabarrow.standins import faults as faults_module
from fuchsiabarrow.standins import servers

__all__ = ["ListStandin"]


class ListStandin:
    """Serves the list at ``/instances``; ``PUT`` and ``DELETE`` change it.

    Args:
        port: Port on the loopback interface; 0 picks a free one.
    """

    def __init__(self, port: int = 0):
        self.faults = faults_module.Faults()
        self.instances: dict[str, instances.Instance] = {}
        app = aiohttp.web.Application()
        app.router.add_get("/instances", self._serve_list)
        app.router.add_put("/instances", self._serve_put)
        app.router.add_delete("/instances/{name}", self._serve_delete)
        faults_module.add_routes(app, self.faults)
        self.server = servers.Server(app, port)

    async def __aenter__(self) -> "ListStandin":
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.server.__aexit__(*exc_info)

    def put(self, instance: instances.Instance) -> None:
        """Adds or replaces an instance."""
        self.instances[instance.instance_id] = instance

    async def _serve_list(self, request: aiohttp.web.Request):
        if self.faults.down:
            raise aiohttp.web.HTTPServiceUnavailable()
        body = msgspec.json.encode(list(self.instances.values()))
        return aiohttp.web.Response(body=body, content_type="application/json")

    async def _serve_put(self, request: aiohttp.web.Request):
        body = await request.read()
        self.put(msgspec.json.decode(body, type=instances.Instance))
        return aiohttp.web.Response(status=204)

    async def _serve_delete(self, request: aiohttp.web.Request):
        self.instances.pop(request.match_info["name"], None)
        return aiohttp.web.Response(status=204)
