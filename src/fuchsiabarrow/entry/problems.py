"""Problem details (RFC 9457) with the outcome of the request."""

import math

import aiohttp
import aiohttp.http_exceptions
import aiohttp.web
import logbook
import msgspec

from fuchsiabarrow.telemetry import logs

__all__ = [
    "encode_problem",
    "make_middleware",
    "make_problem",
    "make_retry_after_header",
]

_log = logbook.Logger(__name__)

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:fuchsiabarrow:problem:"


def make_retry_after_header(delay_s: float | None) -> dict[str, str]:
    """Returns a Retry-After header, rounded up to whole seconds, at least 1."""
    if delay_s is None:
        return {}
    return {"Retry-After": str(max(1, math.ceil(delay_s)))}


def encode_problem(
    status: int, kind: str, detail: str, outcome: str, **extra: object
) -> bytes:
    """Returns a problem document, encoded as JSON.

    Args:
        status: HTTP status.
        kind: Last part of the URN that is the type of the problem.
        detail: Description of the error and its remedy.
        outcome: ``completed``, ``failed``, ``not_run`` or ``unknown``.
        **extra: Extension members of the document.
    """
    return msgspec.json.encode(
        {
            "type": TYPE_PREFIX + kind,
            "title": kind.replace("-", " "),
            "status": status,
            "detail": detail,
            "outcome": outcome,
            **extra,
        }
    )


def make_problem(
    status: int,
    kind: str,
    detail: str,
    outcome: str = "not_run",
    retry_after_s: float | None = None,
    **extra: object,
) -> aiohttp.web.Response:
    """Returns a response with a problem document.

    Args:
        status: HTTP status.
        kind: Last part of the URN that is the type of the problem.
        detail: Description of the error and its remedy.
        outcome: ``completed``, ``failed``, ``not_run`` or ``unknown``.
        retry_after_s: Delay for the Retry-After header, None to omit it.
        **extra: Extension members of the document.
    """
    return aiohttp.web.Response(
        status=status,
        body=encode_problem(status, kind, detail, outcome, **extra),
        content_type=CONTENT_TYPE,
        headers=make_retry_after_header(retry_after_s),
    )


def make_middleware():
    """Returns a middleware that converts exceptions to problem responses.

    An error after a part of a response cuts this one off: a problem response
    would follow it on the same connection.
    """

    @aiohttp.web.middleware
    async def convert_errors(request, handler):
        try:
            return await handler(request)
        except (ConnectionError, aiohttp.ClientConnectionResetError):
            # The caller has disconnected; no response can reach it.
            raise
        except Exception as error:
            if request.writer.output_size:
                _log.exception(
                    logs.format_event(
                        "request_error", error=error, is_started=True
                    )
                )
                raise ConnectionAbortedError(
                    "error after a part of the response; see request_error"
                ) from error
            return _describe_error(error)

    return convert_errors


def _describe_error(error: Exception) -> aiohttp.web.Response:
    """Returns the problem response of an error; raises a redirection."""
    if isinstance(error, aiohttp.web.HTTPRequestEntityTooLarge):
        return make_problem(413, "body-too-large", "send a smaller body")
    if isinstance(error, aiohttp.web.HTTPException):
        if error.status < 400:
            raise error
        return make_problem(
            error.status, "http-error", f"{error.reason}; see docs/api.md"
        )
    if isinstance(
        error,
        (
            aiohttp.web.RequestPayloadError,
            aiohttp.http_exceptions.BadHttpMessage,
        ),
    ):
        return make_problem(
            400,
            "malformed-body",
            f"the body cannot be read ({error}); see docs/api.md",
        )
    _log.exception(
        logs.format_event("request_error", error=error, is_started=False)
    )
    return make_problem(
        500,
        "internal-error",
        "internal error of this entry; its log has the details",
        "unknown",
    )
