"""HTTP server for callers: admits, routes and answers their requests."""

import asyncio
from collections.abc import Callable
import dataclasses
import math
import random

import aiohttp.web
import logbook

from fuchsiabarrow.catalogs import access
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.forwarding import ledgers
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import service as forwarding_service
from fuchsiabarrow.forwarding import stream_progress
from fuchsiabarrow.platform import requests
from fuchsiabarrow.platform import response_writers
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import writers
from fuchsiabarrow.utils import listeners

__all__ = ["Frontend"]

HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_REQUEST_TIMEOUT = 408
# Largest header section that the HTTP parser accepts; the limits of the
# configuration are checked on the parsed headers.
MAX_PARSED_HEADER_BYTES = 65_536
# Requests that arrive later than this after the shutdown began are refused.
STOP_ACCEPT_S = 3.0
# Successful responses in time that are logged per second; all other responses
# are logged.
SERVED_LINES_PER_S = 20
# Range of the retry delay if all entries are affected: outages of the store
# last seconds.
OUTAGE_RETRY_S = (1.5, 3.0)

_log = logbook.Logger(__name__)


class Frontend:
    """Receives requests from callers and passes them to the forwarding service.

    Attributes:
        is_stopping: Whether responses close their connections.
        busy_connections: Connections on which a request is being served.

    Args:
        current_catalog: Holds the configuration in force.
        forwarding: Sends requests to upstreams.
        limits: Limits on the age of the configuration.
        has_confirmed_peer: Returns whether another entry has a configuration
            that was confirmed recently.
        source: Random number generator.
    """

    def __init__(
        self,
        current_catalog: catalog_service.CurrentCatalog,
        forwarding: forwarding_service.ForwardingService,
        limits: access.Limits,
        has_confirmed_peer: Callable[[], bool],
        source: random.Random,
    ):
        self._has_confirmed_peer = has_confirmed_peer
        self._source = source
        self.is_stopping = False
        self._stop_began_s = math.inf
        self._current_catalog = current_catalog
        self._forwarding = forwarding
        self.busy_connections: set[asyncio.BaseProtocol] = set()
        self._rate_limiter = writers.RateLimiter(SERVED_LINES_PER_S)
        self.set_limits(limits)

    def set_limits(self, limits: access.Limits) -> None:
        """Sets the limits on the age of the configuration."""
        self._limits = limits

    def make_server(self) -> listeners.Server:
        """Returns the HTTP server; needs a running event loop."""
        return listeners.Server(
            self.handle,
            self._get_time_limits,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
            max_line_size=MAX_PARSED_HEADER_BYTES,
            max_field_size=MAX_PARSED_HEADER_BYTES,
            lingering_time=0.5,
            on_cut=self._record_cut,
        )

    def _get_time_limits(self) -> listeners.TimeLimits:
        """Returns the limits of the configuration in force."""
        catalog = self._current_catalog.catalog
        limits = catalog.limits if catalog else documents.RequestLimits()
        return listeners.TimeLimits(
            limits.idle_timeout_s, limits.header_timeout_s
        )

    def stop(self) -> None:
        """Closes kept-alive connections after their next response."""
        self.is_stopping = True
        self._stop_began_s = asyncio.get_running_loop().time()

    async def handle(
        self, http_request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Serves one request."""
        request_id = http_request.headers.get(wire_names.ATTEMPT_ID, "")
        writer = response_writers.HttpResponseWriter(
            http_request,
            request_id,
            lambda: (
                self.is_stopping and not http_request.protocol.has_next_request
            ),
            self._forwarding.metrics,
        )
        arrived_s = asyncio.get_running_loop().time()
        http_request.protocol.request_id = request_id
        self.busy_connections.add(http_request.protocol)
        try:
            await self._serve_or_deny(http_request, writer, arrived_s)
        except (asyncio.CancelledError, ConnectionError) as error:
            if not writer.is_aborted:
                writer.record_disconnect(arrived_s, error)
            raise
        except Exception as error:
            writer.record_error(arrived_s, error)
            raise
        finally:
            self.busy_connections.discard(http_request.protocol)
        if writer.is_aborted:
            # Closes the connection without the terminating chunk of the body.
            raise asyncio.CancelledError
        return writer.response

    def _record_cut(self, connection: listeners.Connection) -> None:
        """Logs a connection closed while no handler serves its request."""
        cause = connection.close_cause.value
        is_unread = connection.has_partial_request
        self._forwarding.metrics.incomplete_answers.labels(cause).inc()
        now_s = asyncio.get_running_loop().time()
        _log.info(
            logs.format_event(
                "connection_closed",
                request_id="" if is_unread else connection.request_id,
                cause=cause,
                is_started=not is_unread,
                silent_s=round(now_s - connection.last_received_s, 4),
            )
        )

    async def _serve_or_deny(
        self,
        http_request: aiohttp.web.BaseRequest,
        writer: response_writers.HttpResponseWriter,
        arrived_s: float,
    ) -> None:
        try:
            await self._serve(http_request, writer, arrived_s)
        except requests.BadRequestError as error:
            await writer.deny(error.status, str(error))

    async def _serve(
        self,
        http_request: aiohttp.web.BaseRequest,
        writer: response_writers.HttpResponseWriter,
        arrived_s: float,
    ) -> None:
        catalog = self._current_catalog.catalog
        if catalog is None:
            await writer.refuse(
                messages.Refusal(
                    messages.RefusalReason.NO_CONFIGURATION,
                    True,
                    self._forwarding.draw_retry_after_s(),
                    "no configuration was received yet",
                )
            )
            return
        forwarding = self._forwarding
        is_late = arrived_s - self._stop_began_s > STOP_ACCEPT_S
        if is_late or forwarding.is_ended:
            await writer.refuse(
                forwarding.make_stop_refusal(True, "arrived too late")
            )
            return
        requests.check_sizes(http_request, catalog.limits)
        until_s = (
            asyncio.get_running_loop().time() + catalog.limits.idle_timeout_s
        )
        try:
            async with forwarding.limit_time(until_s, writer):
                body = await requests.read_body(http_request, catalog.limits)
        except TimeoutError:
            if forwarding.is_ended:
                await writer.refuse(
                    forwarding.make_stop_refusal(True, "body is incomplete")
                )
                return
            raise requests.BadRequestError(
                HTTP_REQUEST_TIMEOUT, "request body was not received in time"
            ) from None
        # The configuration may have changed while the body was read.
        catalog = self._current_catalog.catalog
        request = await self._match(
            http_request, writer, catalog, arrived_s, body
        )
        if request is not None:
            writer.request = request
            summary = await self._forwarding.serve(request, writer)
            self._log_served(request, writer, arrived_s, summary)

    def _log_served(
        self,
        request,
        writer,
        arrived_s: float,
        summary: messages.StreamSummary | None,
    ) -> None:
        """Updates metrics; logs late and failed responses, and some others."""
        metrics, route = self._forwarding.metrics, request.route
        took_s = response_writers.compute_elapsed_s(arrived_s)
        metrics.requests.labels(route.kind.value, writer.outcome).inc()
        metrics.answer_s.observe(took_s)
        is_late = stream_progress.is_late(route, took_s, summary)
        is_ok = writer.outcome == "200" and not is_late
        left_out = self._rate_limiter.try_acquire() if is_ok else 0
        if left_out is None:
            return
        _log.info(
            logs.format_event(
                "served",
                request_id=request.request_id,
                route=route.name,
                organisation=(
                    request.organisation.name if request.organisation else ""
                ),
                rank=request.rank,
                version=request.catalog_version,
                outcome=writer.outcome,
                took_s=took_s,
                objective_s=route.latency_objective_s,
                gap_objective_s=route.event_gap_objective_s,
                is_late=is_late,
                left_out=left_out,
                **(dataclasses.asdict(summary) if summary else {}),
            )
        )

    async def _match(
        self, http_request, writer, catalog, arrived_s, body
    ) -> messages.Request | None:
        """Returns the routed request; None if it was refused or denied."""
        age_s = self._current_catalog.get_age_s()
        decision = access.decide_access(
            catalog,
            age_s,
            self._limits,
            requests.get_host(http_request),
            requests.get_path(http_request),
            requests.get_key(http_request),
        )
        if decision.verdict is access.Verdict.UNCONFIRMED:
            await self._refuse_stale(writer, age_s)
        elif decision.verdict is access.Verdict.NO_ROUTE:
            await writer.deny(
                HTTP_NOT_FOUND,
                f"no such route in configuration {catalog.version}",
            )
        elif decision.verdict is access.Verdict.UNKNOWN_KEY:
            await writer.deny(
                HTTP_UNAUTHORIZED,
                f"unknown key in configuration {catalog.version}",
            )
        else:
            return requests.decode_request(
                http_request,
                decision.route,
                decision.organisation,
                arrived_s,
                body,
                catalog.version,
            )
        return None

    def _draw_stale_retry_s(self) -> float:
        if self._has_confirmed_peer():
            return ledgers.OTHER_ENTRY_RETRY_S
        return self._source.uniform(*OUTAGE_RETRY_S)

    async def _refuse_stale(self, writer, age_s: float) -> None:
        await writer.refuse(
            messages.Refusal(
                messages.RefusalReason.STALE_CONFIGURATION,
                True,
                self._draw_stale_retry_s(),
                f"configuration {self._current_catalog.catalog.version} was"
                f" last confirmed {age_s:.2f} s ago",
            )
        )
