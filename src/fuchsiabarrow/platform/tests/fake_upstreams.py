"""A fake upstream: plain responses, streams over a path, orders."""

import asyncio
import time

import aiohttp.web
import msgspec

from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.utils import listeners

SEAL = "1.2.3"


class FakeUpstream:
    """Answers requests and records those that it ran.

    Attributes:
        name: Instance id.
        service: Service that it registers for.
        kind: Accelerator kind, or None.
        runs: Requests that it ran, as (id, method, target, headers, body).
        orders: Orders that it accepted.
        status: HTTP status of its responses.
        delay_s: Delay before a response.
        event_count: Number of events in a stream.
        gap_s: Time between events.
        padding: Extra bytes in each event and at the end of other answers.
        extra_headers: Headers added to its responses.
        closes: Whether responses close their connections.
        layers: Layers that it holds, as (first, end), or None.
        cancelled: Number of requests whose connection was closed while they
            ran.
        born: Unix time in ms of its start.

    Args:
        name: Instance id.
        service: Service that it registers for.
        kind: Accelerator kind, or None.
        address: ``ip:port`` to listen on; port 0 picks a free port.
    """

    def __init__(
        self,
        name: str,
        service: str,
        kind: str | None = None,
        address: str = "127.0.0.1:0",
    ):
        self.name = name
        self.service = service
        self.kind = kind
        self.runs: list[tuple] = []
        self.orders: list[dict] = []
        self.status = 200
        self.delay_s = 0.0
        self.event_count = 5
        self.gap_s = 0.01
        self.padding = 0
        self.extra_headers: dict[str, str] = {}
        self.closes = False
        self.layers: tuple[int, int] | None = None
        self.cancelled = 0
        self.born = int(time.time() * 1000)
        self._transports: set[asyncio.Transport] = set()
        app = aiohttp.web.Application(
            client_max_size=1 << 24, handler_args={"handler_cancellation": True}
        )
        app.router.add_get(wire_names.REPORT_PATH, self._report)
        app.router.add_post(wire_names.ORDER_PATH, self._order)
        app.router.add_route("*", "/{path:.*}", self._run)
        self._listener = listeners.Listener(app, address)

    @property
    def address(self) -> str:
        return self._listener.address

    async def __aenter__(self) -> "FakeUpstream":
        await self._listener.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        await self._listener.__aexit__(*details)

    def cut(self) -> None:
        """Aborts the connections of the requests that it ran."""
        for transport in self._transports:
            transport.abort()

    def make_entry(self, **changes) -> dict:
        """Returns the object that it registers in the store."""
        layers = None
        if self.layers is not None:
            first, end = self.layers
            layers = {"start_key": first, "to": end, "version": 1}
        fields = {
            "service": self.service,
            "address": self.address,
            "kind": self.kind,
            "layers": layers,
            "born": self.born,
        }
        return sample_objects.make_server(**fields, **changes)

    async def _report(self, _) -> aiohttp.web.Response:
        return aiohttp.web.json_response(
            {"pace": 1.0, "busy": False, "sequence": len(self.orders)}
        )

    async def _order(self, request: aiohttp.web.Request):
        order = msgspec.json.decode(await request.read())
        if order.get("precondition", len(self.orders)) != len(self.orders):
            return aiohttp.web.json_response({"error": "sequence"}, status=409)
        self.orders.append(order)
        if order["operation"] == "place":
            self.layers = (order["start_key"], order["to"])
        return aiohttp.web.json_response({}, status=202)

    async def _run(self, request: aiohttp.web.Request):
        body = await request.read()
        expected = request.headers.get(wire_names.EXPECT_INSTANCE)
        if expected != self.name:
            return aiohttp.web.Response(status=421)
        self._transports.add(request.transport)
        self.runs.append(
            (
                request.headers.get(wire_names.ATTEMPT_ID),
                request.method,
                request.raw_path,
                request.headers.copy(),
                body,
            )
        )
        headers = {
            wire_names.ATTEMPT_ID: request.headers[wire_names.ATTEMPT_ID],
            wire_names.SEAL: SEAL,
            **self.extra_headers,
        }
        try:
            await asyncio.sleep(self.delay_s)
            if self._is_stream(request) and self.status == 200:
                return await self._stream(request, headers)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if self.closes:
            headers["Connection"] = "close"
        return aiohttp.web.Response(
            status=self.status,
            text=f"{self.name}:{body!r}" + "x" * self.padding,
            headers=headers,
        )

    def _is_stream(self, request: aiohttp.web.Request) -> bool:
        return wire_names.PATH in request.headers

    async def _stream(self, request: aiohttp.web.Request, headers: dict):
        headers["Content-Type"] = "text/event-stream"
        response = aiohttp.web.StreamResponse(headers=headers)
        await response.prepare(request)
        first = int(request.headers.get(wire_names.LAST_EVENT_ID, "0")) + 1
        for number in range(first, self.event_count + 1):
            await asyncio.sleep(self.gap_s)
            padding = b"x" * self.padding
            await response.write(
                b"id: %d\ndata: token%s\n\n" % (number, padding)
            )
        await response.write_eof()
        return response
