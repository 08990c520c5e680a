"""The caller's side: requests in, answers out."""

import asyncio
from collections.abc import Callable
import math
import random

import aiohttp.web
import logbook

from fuchsiabarrow.catalogs import access
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import service as forwarding_service
from fuchsiabarrow.platform import callers
from fuchsiabarrow.platform import names
from fuchsiabarrow.platform import requests
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import writers
from fuchsiabarrow.utils import listeners

__all__ = ["Front"]

HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_REQUEST_TIMEOUT = 408
# Header sections up to this size are read at all; the limits of the
# configuration are checked on what was read.
MAX_PARSED_HEADER_BYTES = 65_536
# A request that comes this long after the stop began is refused.
STOP_ACCEPT_S = 3.0
# Successful answers that are logged a second; all others are logged.
SERVED_LINES_PER_S = 20
# When a caller may try another entry that is not in the same trouble.
ELSEWHERE_RETRY_S = 0.05
# When it may come back if all entries are: outages of the store last seconds.
OUTAGE_RETRY_S = (1.5, 3.0)

_log = logbook.Logger(__name__)


class Front:
    """Takes requests from callers to the forwarding.

    Attributes:
        is_stopping: Whether answers close their connections.
        busy: Connections on which a request is being served.

    Args:
        keeper: Configuration in force.
        forwarding: Serves requests.
        revoke_s: Age of the configuration from which keys are not trusted.
        is_known_elsewhere: Tells whether another entry's configuration is
            confirmed.
        source: Random source.
    """

    def __init__(
        self,
        keeper: catalog_service.CurrentCatalog,
        forwarding: forwarding_service.ForwardingService,
        revoke_s: float,
        is_known_elsewhere: Callable[[], bool],
        source: random.Random,
    ):
        self._is_known_elsewhere = is_known_elsewhere
        self._source = source
        self.is_stopping = False
        self._stop_began_s = math.inf
        self._keeper = keeper
        self._forwarding = forwarding
        self.busy: set[asyncio.BaseProtocol] = set()
        self._sampler = writers.Sampler(SERVED_LINES_PER_S)
        self.set_revocation(revoke_s)

    def set_revocation(self, revoke_s: float) -> None:
        """Takes over the age from which keys are not trusted."""
        self._revoke_s = revoke_s

    def make_server(self) -> listeners.Server:
        """Returns the server; call it on a running loop."""
        return listeners.Server(
            self.handle,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
            keepalive_timeout=documents.Limits().idle_timeout_s,
            max_line_size=MAX_PARSED_HEADER_BYTES,
            max_field_size=MAX_PARSED_HEADER_BYTES,
            lingering_time=0.5,
        )

    def stop(self) -> None:
        """Answers on kept connections with a close from now on."""
        self.is_stopping = True
        self._stop_began_s = asyncio.get_running_loop().time()

    async def handle(
        self, http_request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        """Serves one request."""
        request_id = http_request.headers.get(names.ATTEMPT_ID, "")
        caller = callers.HttpCaller(
            http_request,
            request_id,
            lambda: self.is_stopping,
            self._forwarding.metrics,
        )
        arrived_s = asyncio.get_running_loop().time()
        self.busy.add(http_request.protocol)
        try:
            await self._serve(http_request, caller, arrived_s)
        except requests.BadRequestError as error:
            await caller.deny(error.status, str(error))
        except asyncio.CancelledError:
            if not caller.is_aborted:
                caller.log_departure(arrived_s)
            raise
        finally:
            self.busy.discard(http_request.protocol)
        if caller.is_aborted:
            # Ends the connection without an end of the body.
            raise asyncio.CancelledError
        return caller.response

    async def _serve(
        self,
        http_request: aiohttp.web.BaseRequest,
        caller: callers.HttpCaller,
        arrived_s: float,
    ) -> None:
        catalog = self._keeper.catalog
        if catalog is None:
            await caller.refuse(
                messages.Refusal(
                    messages.RefusalReason.NO_CONFIGURATION,
                    True,
                    self._forwarding.draw_retry_after_s(),
                    "no configuration is known yet",
                )
            )
            return
        if arrived_s - self._stop_began_s > STOP_ACCEPT_S:
            await caller.refuse(
                messages.Refusal(
                    messages.RefusalReason.STOPPING,
                    True,
                    ELSEWHERE_RETRY_S,
                    "stopping",
                )
            )
            return
        requests.check_sizes(http_request, catalog.limits)
        try:
            async with asyncio.timeout(catalog.limits.idle_timeout_s):
                body = await requests.read_body(http_request, catalog.limits)
        except TimeoutError:
            raise requests.BadRequestError(
                HTTP_REQUEST_TIMEOUT, "the body did not arrive in time"
            ) from None
        # The configuration may have changed while the body was read.
        catalog = self._keeper.catalog
        request = await self._match(
            http_request, caller, catalog, arrived_s, body
        )
        if request is not None:
            caller.request = request
            await self._forwarding.serve(request, caller)
            self._log_served(request, caller, arrived_s)

    def _log_served(self, request, caller, arrived_s: float) -> None:
        """Logs each answer that is no success, and a sample of the others."""
        metrics = self._forwarding.metrics
        metrics.requests.labels(request.route.kind.value, caller.outcome).inc()
        metrics.answer_s.observe(callers.round_since(arrived_s))
        is_ordinary = caller.outcome == "200"
        left_out = self._sampler.take() if is_ordinary else 0
        if left_out is None:
            return
        _log.info(
            logs.format_event(
                "served",
                request_id=request.request_id,
                route=request.route.name,
                organisation=(
                    request.organisation.name if request.organisation else ""
                ),
                version=request.catalog_version,
                outcome=caller.outcome,
                took_s=callers.round_since(arrived_s),
                left_out=left_out,
            )
        )

    async def _match(
        self, http_request, caller, catalog, arrived_s, body
    ) -> messages.Request | None:
        """Finds route and organisation; refuses or denies if it must."""
        age_s = self._keeper.get_age_s()
        found = access.decide_access(
            catalog,
            age_s,
            self._revoke_s,
            requests.get_host(http_request),
            requests.get_path(http_request),
            requests.get_key(http_request),
        )
        if found.verdict is access.Verdict.UNCONFIRMED:
            await self._refuse_stale(caller, age_s)
        elif found.verdict is access.Verdict.NO_ROUTE:
            await caller.deny(
                HTTP_NOT_FOUND,
                f"no such route in configuration {catalog.version}",
            )
        elif found.verdict is access.Verdict.UNKNOWN_KEY:
            await caller.deny(
                HTTP_UNAUTHORIZED,
                f"unknown key in configuration {catalog.version}",
            )
        else:
            return requests.decode_request(
                http_request,
                found.route,
                found.organisation,
                arrived_s,
                body,
                catalog.version,
            )
        return None

    def _draw_stale_retry_s(self) -> float:
        if self._is_known_elsewhere():
            return ELSEWHERE_RETRY_S
        return self._source.uniform(*OUTAGE_RETRY_S)

    async def _refuse_stale(self, caller, age_s: float) -> None:
        await caller.refuse(
            messages.Refusal(
                messages.RefusalReason.STALE_CONFIGURATION,
                True,
                self._draw_stale_retry_s(),
                f"configuration {self._keeper.catalog.version} was confirmed"
                f" {age_s:.2f} s ago",
            )
        )
