"""HTTP responses to callers."""

import asyncio
from collections.abc import Callable

from aiohttp import helpers
import aiohttp.web
import logbook

from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import listeners

__all__ = ["HttpResponseWriter", "compute_elapsed_s"]

HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504
LATE_REASONS = (
    messages.RefusalReason.TIMEOUT,
    messages.RefusalReason.STOPPING,
)

_log = logbook.Logger(__name__)


def compute_elapsed_s(start_s: float) -> float:
    """Returns the seconds since an event loop time, rounded for logs."""
    return round(asyncio.get_running_loop().time() - start_s, 4)


class HttpResponseWriter:
    """Implements `fuchsiabarrow.forwarding.messages.ResponseWriter`.

    A request has one answer: once one has begun, it can only be continued,
    finished or aborted. Another one is not sent; the first is aborted then
    unless it is complete.

    Attributes:
        response: Response whose head was sent, None before that.
        is_aborted: Whether the response was cut off.
        outcome: How the request ended, for logs and metrics.
        request: The decoded request, None until it was decoded.

    Args:
        http_request: Request as received.
        request_id: Id of the request, for logs.
        is_last: Returns whether the connection closes after this response.
        metrics: Counters of refusals and of incomplete answers.
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
        self.request: messages.Request | None = None
        self._is_complete = False
        self._http_request = http_request
        self._request_id = request_id
        self._is_last = is_last
        self._metrics = metrics

    @property
    def is_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self.response is not None

    async def start(self, head: messages.ResponseHead) -> None:
        """Sends the head of a streamed response.

        Raises:
            ConnectionAbortedError: An answer has begun.
        """
        if self._has_begun(head.status):
            raise ConnectionAbortedError(
                "a second answer was begun; see the line second_answer"
            )
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
        """Sends a chunk of the body, if the response may have one."""
        if helpers.must_be_empty_body(
            self._http_request.method, self.response.status
        ):
            return
        await self.response.write(data)

    async def finish(self) -> None:
        """Marks the end of a complete body, unless it was cut off."""
        if self.is_aborted:
            return
        self.outcome = str(self.response.status)
        await self.response.write_eof()
        self._is_complete = True

    async def answer(self, head: messages.ResponseHead, body: bytes) -> None:
        """Sends a complete response."""
        if self._has_begun(head.status):
            return
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
        """Sends a 503 if the request was not run, else a 502 or 504."""
        if refusal.is_not_run:
            status = HTTP_UNAVAILABLE
        elif refusal.reason in LATE_REASONS:
            status = HTTP_TIMEOUT
        else:
            status = HTTP_BAD_GATEWAY
        if self._has_begun(status, refusal.detail):
            return
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
            response.headers[wire_names.RETRY_AFTER] = (
                f"{refusal.retry_after_s:.2f}"
            )
        await self._send(response)

    async def deny(self, status: int, message: str) -> None:
        """Rejects the request with a client error."""
        if self._has_begun(status, message):
            return
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
        """Marks the response as cut off, so that it does not look complete."""
        self.is_aborted = True
        self.outcome = "aborted"

    def record_disconnect(self, arrived_s: float, error: BaseException) -> None:
        """Logs and counts a connection that ended before its response.

        Args:
            arrived_s: Loop time at which the request arrived.
            error: Error that ended the request.
        """
        connection = self._http_request.protocol
        cause, error_name = connection.close_cause, connection.close_error
        if cause is None and isinstance(error, ConnectionError):
            # A write has failed before the connection was reported as lost.
            cause, error_name = (
                listeners.CloseCause.CALLER,
                type(error).__name__,
            )
        if cause is listeners.CloseCause.CALLER:
            self._metrics.incomplete_answers.labels("caller_left").inc()
            self._log_end("caller_left", arrived_s, error=error_name)
            return
        cause_name = cause.value if cause else "cancelled"
        self._metrics.incomplete_answers.labels(cause_name).inc()
        self._log_end("connection_closed", arrived_s, cause=cause_name)

    def record_error(self, arrived_s: float, error: Exception) -> None:
        """Logs and counts an error that nothing has handled."""
        self._metrics.incomplete_answers.labels("error").inc()
        self._log_end("request_error", arrived_s, error=repr(error))

    def _log_end(self, event: str, arrived_s: float, **fields: object) -> None:
        request = self.request
        organisation = request.organisation if request else None
        _log.info(
            logs.format_event(
                event,
                request_id=self._request_id,
                route=request.route.name if request else "",
                organisation=organisation.name if organisation else "",
                rank=request.rank if request else "",
                version=request.catalog_version if request else "",
                is_started=self.is_started,
                after_s=compute_elapsed_s(arrived_s),
                **fields,
            )
        )

    def _has_begun(self, status: int, why: str = "") -> bool:
        """Returns whether an answer has begun; aborts an incomplete one.

        Args:
            status: Status of the other answer that was to be sent.
            why: Its reason.
        """
        if self.response is None:
            return False
        request = self.request
        _log.info(
            logs.format_event(
                "second_answer",
                request_id=self._request_id,
                route=request.route.name if request else "",
                is_complete=self._is_complete,
                sent_status=self.response.status,
                status=status,
                why=why,
            )
        )
        if not self._is_complete:
            self._metrics.incomplete_answers.labels("second_answer").inc()
            self.abort()
        return True

    async def _send(self, response: aiohttp.web.Response) -> None:
        if self._is_last():
            response.force_close()
        self.response = response
        await response.prepare(self._http_request)
        await response.write_eof()
        self._is_complete = True


def _make_error(status: int, message: str) -> aiohttp.web.Response:
    return aiohttp.web.Response(
        status=status, text=message + "\n", content_type="text/plain"
    )
