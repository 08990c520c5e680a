"""HTTP/1.1 encoding of requests to upstreams, and their response heads."""

import math

from aiohttp import http_parser
import logbook

from fuchsiabarrow.fleet import paths
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.telemetry import logs

__all__ = ["UpstreamCodec", "format_path", "select_end_to_end"]

MS_PER_S = 1000.0
HOP_BY_HOP = frozenset(
    (
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
# HTTP 421 (Misdirected Request) means that the upstream did not run the
# request, even without the Not-Run header.
NOT_RUN_STATUSES = frozenset((421,))
HTTP_UNAVAILABLE = 503
EVENT_STREAM = "text/event-stream"
# Longest pause that is granted to an upstream: one that asks for more is tried
# again after this time.
MAX_PAUSE_S = 60.0

_log = logbook.Logger(__name__)


def select_end_to_end(pairs, excluded: frozenset[str]) -> messages.Headers:
    """Returns the end-to-end headers, without the hop-by-hop ones.

    Args:
        pairs: Names and values of all headers.
        excluded: Lower-case names of headers that are removed as well.
    """
    pairs = list(pairs)
    connection_options = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    removed = HOP_BY_HOP | connection_options | excluded
    return tuple(
        (name, value) for name, value in pairs if name.lower() not in removed
    )


def format_path(segments: tuple[paths.PathSegment, ...]) -> str:
    """Returns a path as written in the path header and in repath orders."""
    return ",".join(
        f"{segment.upstream.address}={segment.first}-{segment.end}"
        for segment in segments
    )


class UpstreamCodec:
    """Implements `fuchsiabarrow.forwarding.messages.Codec`."""

    def encode_request(
        self,
        request: messages.Request,
        target: messages.AttemptTarget,
        remaining_s: float,
        last_event_id: str,
    ) -> bytes:
        """Returns the bytes of a request to an upstream, body included."""
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in request.headers)
        remaining_ms = max(1, int(remaining_s * MS_PER_S))
        lines.append(f"{wire_names.DEADLINE_MS}: {remaining_ms}")
        lines.append(
            f"{wire_names.EXPECT_INSTANCE}: {target.upstream.instance_id}"
        )
        if request.organisation is not None:
            lines.append(
                f"{wire_names.ORGANISATION}: {request.organisation.name}"
            )
        if last_event_id:
            lines.append(f"{wire_names.LAST_EVENT_ID}: {last_event_id}")
        if target.wire_priority is not None:
            lines.append(f"{wire_names.PRIORITY}: {target.wire_priority}")
        if target.segments:
            lines.append(f"{wire_names.PATH}: {format_path(target.segments)}")
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("utf-8", "surrogateescape") + request.body

    def decode_head(
        self, message: http_parser.RawResponseMessage
    ) -> messages.ResponseHead:
        """Returns the head of an upstream's response."""
        headers = message.headers
        length = headers.get("Content-Length")
        is_not_run = wire_names.NOT_RUN in headers
        return messages.ResponseHead(
            status=message.code,
            reason=message.reason,
            headers=select_end_to_end(
                headers.items(), frozenset(("content-length",))
            ),
            request_id=headers.get(wire_names.ATTEMPT_ID, ""),
            is_not_run=is_not_run or message.code in NOT_RUN_STATUSES,
            at_fault=headers.get(wire_names.UPSTREAM_AT_FAULT, ""),
            has_seal=wire_names.SEAL in headers,
            content_length=(
                int(length) if length and length.isdecimal() else None
            ),
            ends_with_connection=length is None and not message.chunked,
            rate_limit_per_s=_parse_rate(
                headers.get(wire_names.RATE_LIMIT, "")
            ),
            # A misdirected request may have reached another upstream.
            is_leaving=headers.get(wire_names.SERVER_LEAVING, "").strip() == "1"
            and message.code not in NOT_RUN_STATUSES,
            pause_s=(
                _parse_pause(headers[wire_names.RETRY_AFTER])
                if message.code == HTTP_UNAVAILABLE
                and wire_names.RETRY_AFTER in headers
                else None
            ),
            has_events=_has_events(headers),
        )


def _has_events(headers) -> bool:
    """Returns whether a body consists of events, and not of an encoding."""
    media_type = headers.get("Content-Type", "").partition(";")[0]
    return (
        media_type.strip().lower() == EVENT_STREAM
        and "Content-Encoding" not in headers
    )


def _parse_pause(text: str) -> float | None:
    """Returns the seconds of a pause; None if they are malformed."""
    try:
        pause_s = float(text)
    except ValueError:
        pause_s = math.nan
    if not pause_s >= 0:
        _log.warning(logs.format_event("pause_invalid", value=text))
        return None
    if pause_s > MAX_PAUSE_S:
        _log.warning(
            logs.format_event("pause_limited", value=text, for_s=MAX_PAUSE_S)
        )
    return min(pause_s, MAX_PAUSE_S)


def _parse_rate(text: str) -> float | None:
    """Returns a rate; None if there is none or it is malformed."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0 else None
