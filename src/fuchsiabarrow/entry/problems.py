"""Problem documents (RFC 9457) with a typed outcome."""

import math

import aiohttp
import aiohttp.http_exceptions
import aiohttp.web
import logbook
import msgspec

from fuchsiabarrow.telemetry import logs

__all__ = ["encode_problem", "make_middleware", "make_problem", "retry_after"]

_log = logbook.Logger(__name__)

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:fuchsiabarrow:problem:"


def retry_after(delay_s: float | None) -> dict[str, str]:
    """Returns the Retry-After header for a delay, rounded up to seconds."""
    if delay_s is None:
        return {}
    return {"Retry-After": str(max(1, math.ceil(delay_s)))}


def encode_problem(
    status: int, kind: str, detail: str, outcome: str, **extra: object
) -> bytes:
    """Returns an encoded problem document.

    Args:
        status: HTTP status.
        kind: Last part of the problem's type.
        detail: What happened, and the remedy.
        outcome: ``completed``, ``failed``, ``not_run`` or ``unknown``.
        **extra: Further members.
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
    """Returns a response with a problem document."""
    return aiohttp.web.Response(
        status=status,
        body=encode_problem(status, kind, detail, outcome, **extra),
        content_type=CONTENT_TYPE,
        headers=retry_after(retry_after_s),
    )


def make_middleware():
    """Returns a middleware that turns the library's errors into problems."""

    @aiohttp.web.middleware
    async def convert_errors(request, handler):
        try:
            return await handler(request)
        except aiohttp.web.HTTPRequestEntityTooLarge:
            return make_problem(413, "body-too-large", "send a smaller body")
        except aiohttp.web.HTTPException as error:
            if error.status < 400:
                raise
            return make_problem(
                error.status, "http-error", f"{error.reason}; see docs/api.md"
            )
        except (
            aiohttp.web.RequestPayloadError,
            aiohttp.http_exceptions.BadHttpMessage,
        ) as error:
            return make_problem(
                400,
                "malformed-body",
                f"the body cannot be read ({error}); see docs/api.md",
            )
        except (ConnectionError, aiohttp.ClientConnectionResetError):
            raise
        except Exception as error:
            _log.exception(logs.format_event("request_error", error=error))
            return make_problem(
                500,
                "internal-error",
                "an error of this entry; it is in its log",
                "unknown",
            )

    return convert_errors
