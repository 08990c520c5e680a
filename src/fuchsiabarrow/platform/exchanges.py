"""Requests as runners expect them, and their answers."""

from aiohttp import http_parser

from fuchsiabarrow.fleet import paths
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform import names

__all__ = ["RunnerCodec", "format_path", "select_end_to_end"]

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
NOT_RUN_STATUSES = frozenset((421,))


def select_end_to_end(pairs, excluded: frozenset[str]) -> messages.Headers:
    """Returns the headers that concern more than one connection.

    Args:
        pairs: All headers.
        excluded: Names in lower case that are left out as well.
    """
    pairs = list(pairs)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named | excluded
    return tuple(
        (name, value) for name, value in pairs if name.lower() not in dropped
    )


def format_path(segments: tuple[paths.PathSegment, ...]) -> str:
    """Returns a path as the header and the order spell it."""
    return ",".join(
        f"{segment.upstream.address}={segment.first}-{segment.end}"
        for segment in segments
    )


class RunnerCodec:
    """Implements `fuchsiabarrow.forwarding.messages.Codec`."""

    def encode_request(
        self,
        request: messages.Request,
        target: messages.Target,
        left_s: float,
        last_event_id: str,
    ) -> bytes:
        """Returns a request as a runner takes it, body included."""
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in request.headers)
        left_ms = max(1, int(left_s * MS_PER_S))
        lines.append(f"{names.DEADLINE_MS}: {left_ms}")
        lines.append(f"{names.EXPECT_INSTANCE}: {target.upstream.instance_id}")
        if request.organisation is not None:
            lines.append(f"{names.ORGANISATION}: {request.organisation.name}")
        if last_event_id:
            lines.append(f"{names.LAST_EVENT_ID}: {last_event_id}")
        if target.segments:
            lines.append(f"{names.PATH}: {format_path(target.segments)}")
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            lines.append(f"Content-Length: {len(request.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("utf-8", "surrogateescape") + request.body

    def decode_head(
        self, message: http_parser.RawResponseMessage
    ) -> messages.AnswerHead:
        """Returns the head of a runner's answer."""
        headers = message.headers
        length = headers.get("Content-Length")
        is_not_run = names.NOT_RUN in headers
        return messages.AnswerHead(
            status=message.code,
            reason=message.reason,
            headers=select_end_to_end(
                headers.items(), frozenset(("content-length",))
            ),
            request_id=headers.get(names.ATTEMPT_ID, ""),
            is_not_run=is_not_run or message.code in NOT_RUN_STATUSES,
            at_fault=headers.get(names.ANSWERED_BY, ""),
            is_proven=names.SEAL in headers,
            content_length=(
                int(length) if length and length.isdecimal() else None
            ),
        )
