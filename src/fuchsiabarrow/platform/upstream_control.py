"""HTTP client for the status reports of upstreams and for orders to them."""

import asyncio

import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.placement import service as placement
from fuchsiabarrow.platform import upstream_codec
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.ports import pipelines

__all__ = ["UpstreamControl"]

HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CLIENT_ERROR = 400
HTTP_SERVER_ERROR = 500
MAX_ANSWER_BYTES = 262_144
ORDER_TIMEOUT_S = 0.6


class _Stalled(msgspec.Struct, frozen=True):
    # Request "id" waits for the upstream at "address".
    id: str
    address: str


class _Report(msgspec.Struct, frozen=True):
    # Factor by which this upstream is slower than usual for its accelerator.
    pace: float = 1.0
    busy: bool = False
    # Number of orders accepted; the field of the same name in the list of
    # upstreams counts something else.
    sequence: int = 0
    stalled: list[_Stalled] | None = None


class _PathError(msgspec.Struct, frozen=True):
    # Upstream of the new path that could not be reached.
    address: str = ""


class UpstreamControl:
    """Implements `fuchsiabarrow.ports.pipelines.EngineControl`.

    Args:
        pool: Connections to upstreams.
    """

    def __init__(self, pool: connection_pools.ConnectionPool):
        self._pool = pool

    async def read_report(
        self, upstream: upstreams.Upstream, timeout_s: float
    ) -> pipelines.EngineReport:
        """Fetches the status report of an upstream."""
        status, body = await self._call(
            upstream, "GET", wire_names.REPORT_PATH, b"", timeout_s
        )
        if status != HTTP_OK:
            raise exceptions.UpstreamResponseLostError(
                f"{upstream.address}: status report failed with HTTP {status}"
            )
        try:
            report = msgspec.json.decode(body, type=_Report)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise exceptions.UpstreamResponseLostError(
                f"{upstream.address}: malformed status report ({error})"
            ) from error
        stalled = tuple((s.id, s.address) for s in report.stalled or ())
        return pipelines.EngineReport(
            report.pace, stalled, report.busy, report.sequence
        )

    async def change_path(
        self,
        upstream: upstreams.Upstream,
        request_id: str,
        segments: tuple[paths.PathSegment, ...],
        timeout_s: float,
    ) -> pipelines.PathChangeOutcome:
        """Moves a running request to another path of upstreams."""
        order = {
            "operation": "repath",
            "id": request_id,
            "path": upstream_codec.format_path(segments),
        }
        try:
            status, body = await self._send_order(upstream, order, timeout_s)
        except exceptions.UpstreamError as error:
            return pipelines.PathChangeOutcome(False, "", str(error))
        unreachable_address = ""
        if status >= HTTP_CLIENT_ERROR:
            unreachable_address = _decode_unreachable_address(body)
        return pipelines.PathChangeOutcome(
            status in (HTTP_OK, HTTP_ACCEPTED),
            unreachable_address,
            f"status {status}",
        )

    async def place(
        self,
        upstream: upstreams.Upstream,
        layers: upstreams.LayerRange,
        after_orders: int,
    ) -> placement.OrderOutcome:
        """Orders an upstream to load layers, if its order count matches.

        Args:
            upstream: Upstream to send the order to.
            layers: Layers that it has to hold.
            after_orders: Number of orders that it must have accepted so far;
                it refuses the order if the number differs.
        """
        order = {
            "operation": "place",
            "start_key": layers.first,
            "to": layers.end,
            # New requests are refused; requests in progress may finish.
            "drain_mode": "queue",
            "precondition": after_orders,
        }
        try:
            status, body = await self._send_order(
                upstream, order, ORDER_TIMEOUT_S
            )
        except exceptions.UpstreamUnreachableError as error:
            return placement.OrderOutcome(False, True, str(error))
        except exceptions.UpstreamError as error:
            return placement.OrderOutcome(False, False, str(error))
        is_accepted = status in (HTTP_OK, HTTP_ACCEPTED)
        text = body[:80].decode("latin-1") if not is_accepted else ""
        is_refused = HTTP_CLIENT_ERROR <= status < HTTP_SERVER_ERROR
        return placement.OrderOutcome(
            is_accepted, is_refused, f"status {status} {text}".strip()
        )

    async def _send_order(
        self, upstream: upstreams.Upstream, order: dict, timeout_s: float
    ) -> tuple[int, bytes]:
        body = msgspec.json.encode(order)
        return await self._call(
            upstream, "POST", wire_names.ORDER_PATH, body, timeout_s
        )

    async def _call(
        self,
        upstream: upstreams.Upstream,
        method: str,
        path: str,
        body: bytes,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        head = (
            f"{method} {path} HTTP/1.1\r\n"
            f"Host: {upstream.address}\r\n"
            f"{wire_names.EXPECT_INSTANCE}: {upstream.instance_id}\r\n"
        )
        if body:
            head += (
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n"
            )
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._pool.open(upstream.address)
                async with connection:
                    connection.send(head.encode() + b"\r\n" + body)
                    message = await connection.read_head()
                    answer = await connection.read_body(MAX_ANSWER_BYTES)
        except TimeoutError as error:
            raise exceptions.UpstreamResponseLostError(
                f"{upstream.address}: no response within {timeout_s} s"
            ) from error
        return message.code, answer


def _decode_unreachable_address(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=_PathError).address
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return ""
