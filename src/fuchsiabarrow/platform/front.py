"""The caller's side: requests in, answers out."""

import asyncio
from collections.abc import Callable
import math
import random

import aiohttp.web
import logbook

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import service as forwarding_service
from fuchsiabarrow.platform import exchanges
from fuchsiabarrow.platform import names
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.telemetry import writers
from fuchsiabarrow.utils import listeners

__all__ = ["Front"]

HTTP_BAD_REQUEST = 400
HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_REQUEST_TIMEOUT = 408
HTTP_TOO_LARGE = 413
HTTP_HEADERS_TOO_LARGE = 431
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504
MS_PER_S = 1000.0
# Header sections up to this size are read at all; the limits of the
# configuration are checked on what was read.
MAX_PARSED_HEADER_BYTES = 65_536
# Part of the time limit for revoked keys after which a configuration that was
# not confirmed since is not trusted: requests take time to reach an upstream.
KEY_TRUST_FRACTION = 0.9
# An unknown route or key is denied only by a configuration this fresh.
DENIAL_AGE_S = 2.8
# A request that comes this long after the stop began is refused.
STOP_ACCEPT_S = 3.0
# Successful answers that are logged a second; all others are logged.
SERVED_LINES_PER_S = 20
# When a caller may try another entry that is not in the same trouble.
ELSEWHERE_RETRY_S = 0.05
# When it may come back if all entries are: outages of the store last seconds.
OUTAGE_RETRY_S = (1.5, 3.0)

_log = logbook.Logger(__name__)


class _BadRequestError(Exception):
    """A request is not proper; carries status and message."""

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class HttpCaller:
    """Implements `fuchsiabarrow.forwarding.messages.Caller`.

    Attributes:
        response: What was sent, once something was.
        is_aborted: Whether the answer was cut off.

    Args:
        http_request: Request as received.
        request_id: Its id, for the log.
        is_last: Tells whether the connection is to close after the answer.
        metrics: Counters.
    """

    def __init__(
        self,
        http_request: aiohttp.web.BaseRequest,
        request_id: str,
        is_last: Callable[[], bool],
        metrics: metrics_module.ForwardingMetrics,
    ):
        self.response: aiohttp.web.StreamResponse | None = None
        self.is_aborted = False
        self.outcome = ""
        self._http_request = http_request
        self._request_id = request_id
        self._is_last = is_last
        self._metrics = metrics

    @property
    def is_started(self) -> bool:
        """Whether the head of the answer was sent."""
        return self.response is not None

    async def start(self, head: messages.AnswerHead) -> None:
        """Sends the head of an answer that comes in parts."""
        response = aiohttp.web.StreamResponse(
            status=head.status, reason=head.reason
        )
        for name, value in head.headers:
            response.headers.add(name, value)
        if self._is_last():
            response.force_close()
        self.response = response
        await response.prepare(self._http_request)

    async def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self.response.write(data)

    async def finish(self) -> None:
        """Ends the body as complete."""
        self.outcome = str(self.response.status)
        await self.response.write_eof()

    async def answer(self, head: messages.AnswerHead, body: bytes) -> None:
        """Sends a whole answer."""
        response = aiohttp.web.Response(
            status=head.status, reason=head.reason, body=body
        )
        if "Content-Type" in response.headers:
            del response.headers["Content-Type"]
        for name, value in head.headers:
            response.headers.add(name, value)
        self.outcome = str(head.status)
        await self._send(response)

    async def refuse(self, refusal: messages.Refusal) -> None:
        """Sends an answer of the entry's own."""
        if refusal.is_not_run:
            status = HTTP_UNAVAILABLE
        elif refusal.reason is messages.RefusalReason.TIMEOUT:
            status = HTTP_TIMEOUT
        else:
            status = HTTP_BAD_GATEWAY
        self.outcome = refusal.reason.value
        self._metrics.refusals.labels(refusal.reason.value).inc()
        _log.info(
            logs.format_event(
                "refused",
                request_id=self._request_id,
                status=status,
                reason=refusal.reason.value,
                is_not_run=refusal.is_not_run,
                retry_after_s=round(refusal.retry_after_s, 2),
                detail=refusal.detail,
            )
        )
        response = _make_error(status, refusal.detail or refusal.reason.value)
        if refusal.is_not_run:
            response.headers[names.RETRY_AFTER] = f"{refusal.retry_after_s:.2f}"
        await self._send(response)

    async def deny(self, status: int, message: str) -> None:
        """Sends a client error."""
        self.outcome = str(status)
        _log.info(
            logs.format_event(
                "denied",
                request_id=self._request_id,
                status=status,
                why=message,
            )
        )
        await self._send(_make_error(status, message))

    def abort(self) -> None:
        """Cuts an answer off so that it does not look complete."""
        self.is_aborted = True
        self.outcome = "aborted"

    async def _send(self, response: aiohttp.web.Response) -> None:
        if self._is_last():
            response.force_close()
        self.response = response
        await response.prepare(self._http_request)
        await response.write_eof()


def _make_error(status: int, message: str) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status, text=message + "\n", content_type="text/plain"
    )


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
        keeper: catalog_service.CatalogKeeper,
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
        self._key_trust_s = revoke_s * KEY_TRUST_FRACTION

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
        caller = HttpCaller(
            http_request,
            request_id,
            lambda: self.is_stopping,
            self._forwarding.metrics,
        )
        arrived_s = asyncio.get_running_loop().time()
        self.busy.add(http_request.protocol)
        try:
            await self._serve(http_request, caller, arrived_s)
        except _BadRequestError as error:
            await caller.deny(error.status, str(error))
        except asyncio.CancelledError:
            if not caller.is_aborted:
                _log.info(
                    logs.format_event(
                        "caller_left",
                        request_id=request_id,
                        after_s=_round_since(arrived_s),
                    )
                )
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
        caller: HttpCaller,
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
        _check_sizes(http_request, catalog.limits)
        try:
            async with asyncio.timeout(catalog.limits.idle_timeout_s):
                body = await _read_body(http_request, catalog.limits)
        except TimeoutError:
            raise _BadRequestError(
                HTTP_REQUEST_TIMEOUT, "the body did not arrive in time"
            ) from None
        # The configuration may have changed while the body was read.
        catalog = self._keeper.catalog
        request = await self._match(
            http_request, caller, catalog, arrived_s, body
        )
        if request is not None:
            await self._forwarding.serve(request, caller)
            self._log_served(request, caller, arrived_s)

    def _log_served(self, request, caller, arrived_s: float) -> None:
        """Logs each answer that is no success, and a sample of the others."""
        metrics = self._forwarding.metrics
        metrics.requests.labels(request.route.kind.value, caller.outcome).inc()
        metrics.answer_s.observe(_round_since(arrived_s))
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
                took_s=_round_since(arrived_s),
                left_out=left_out,
            )
        )

    async def _match(
        self, http_request, caller, catalog, arrived_s, body
    ) -> messages.Request | None:
        """Finds route and organisation; refuses or denies if it must."""
        target = http_request.raw_path
        path = _get_path(target)
        host = http_request.headers.get("Host", "").partition(":")[0]
        route = catalog.find_route(host, path)
        age_s = self._keeper.get_age_s()
        if route is None:
            await self._deny_or_refuse(
                caller, HTTP_NOT_FOUND, "no such route", age_s
            )
            return None
        organisation = None
        if catalog.requires_keys and not route.is_anonymous:
            if age_s > self._key_trust_s:
                await self._refuse_stale(caller, age_s)
                return None
            organisation = catalog.find_organisation(_get_key(http_request))
            if organisation is None:
                await self._deny_or_refuse(
                    caller, HTTP_UNAUTHORIZED, "unknown key", age_s
                )
                return None
        return _make_request(
            http_request, route, organisation, arrived_s, body, catalog.version
        )

    async def _deny_or_refuse(self, caller, status, message, age_s) -> None:
        if age_s > DENIAL_AGE_S:
            await self._refuse_stale(caller, age_s)
        else:
            await caller.deny(
                status,
                f"{message} in configuration {self._keeper.catalog.version}",
            )

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


def _round_since(start_s: float) -> float:
    return round(asyncio.get_running_loop().time() - start_s, 4)


def _get_path(target: str) -> str:
    """Returns the path of a request target, absolute form included."""
    if not target.startswith("/") and "://" in target:
        target = "/" + target.partition("://")[2].partition("/")[2]
    return target.partition("?")[0]


def _get_key(http_request: aiohttp.web.BaseRequest) -> str:
    scheme, _, key = http_request.headers.get(
        names.AUTHORIZATION, ""
    ).partition(" ")
    if scheme.lower() != names.TOKEN_SCHEME.lower():
        return ""
    return key.strip()


def _check_sizes(
    http_request: aiohttp.web.BaseRequest, limits: documents.Limits
) -> None:
    size = sum(
        len(name) + len(value) + 4 for name, value in http_request.raw_headers
    )
    if size > limits.max_header_bytes:
        raise _BadRequestError(
            HTTP_HEADERS_TOO_LARGE,
            f"headers are over {limits.max_header_bytes} bytes",
        )
    length = http_request.content_length
    if length is not None and length > limits.max_body_bytes:
        raise _BadRequestError(
            HTTP_TOO_LARGE, f"body is over {limits.max_body_bytes} bytes"
        )


async def _read_body(
    http_request: aiohttp.web.BaseRequest, limits: documents.Limits
) -> bytes:
    if not http_request.body_exists:
        return b""
    if http_request.headers.get("Expect", "").lower() == "100-continue":
        await http_request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        http_request.writer.output_size = 0
    chunks, size = [], 0
    while data := await http_request.content.readany():
        size += len(data)
        if size > limits.max_body_bytes:
            raise _BadRequestError(
                HTTP_TOO_LARGE, f"body is over {limits.max_body_bytes} bytes"
            )
        chunks.append(data)
    return b"".join(chunks)


def _make_request(
    http_request, route, organisation, arrived_s, body, version
) -> messages.Request:
    headers = http_request.headers
    request_id = headers.get(names.ATTEMPT_ID, "")
    if not request_id:
        raise _BadRequestError(
            HTTP_BAD_REQUEST, f"{names.ATTEMPT_ID} is missing; send one"
        )
    left_s = route.timeout_s
    if names.DEADLINE_MS in headers:
        left_s = _parse_number(headers, names.DEADLINE_MS) / MS_PER_S
    return messages.Request(
        request_id=request_id,
        method=http_request.method,
        target=http_request.raw_path,
        headers=exchanges.select_end_to_end(
            headers.items(), names.CALLER_PATH_HEADERS
        ),
        body=body,
        route=route,
        organisation=organisation,
        arrived_s=arrived_s,
        deadline_s=arrived_s + left_s,
        last_event_id=headers.get(names.LAST_EVENT_ID, ""),
        generation=_parse_generation(headers),
        catalog_version=version,
    )


def _parse_number(headers, name: str) -> float:
    text = headers[name].strip()
    if not text.isdecimal() or len(text) > 12:
        raise _BadRequestError(
            HTTP_BAD_REQUEST, f"{name} is not a whole number; correct it"
        )
    return float(text)


def _parse_generation(headers) -> messages.Generation | None:
    if names.TOKEN_COUNTS not in headers:
        return None
    prompt, _, answer = headers[names.TOKEN_COUNTS].partition(",")
    prompt, answer = prompt.strip(), answer.strip()
    if not (prompt.isdecimal() and answer.isdecimal()):
        raise _BadRequestError(
            HTTP_BAD_REQUEST,
            f"{names.TOKEN_COUNTS} is not PROMPT,ANSWER; correct it",
        )
    hint = headers.get(names.LENGTH_HINT, "").strip()
    return messages.Generation(
        int(prompt), int(answer), int(hint) if hint.isdecimal() else None
    )
