"""Decoding and validation of callers' requests."""

import aiohttp.web

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform import upstream_codec
from fuchsiabarrow.platform import wire_names

__all__ = [
    "BadRequestError",
    "check_sizes",
    "decode_request",
    "get_host",
    "get_key",
    "get_path",
    "read_body",
]

HTTP_BAD_REQUEST = 400
HTTP_TOO_LARGE = 413
HTTP_HEADERS_TOO_LARGE = 431
MS_PER_S = 1000.0
MAX_SHARED_PARTS = 16
# Longest number in a header.
MAX_DIGITS = 12


class BadRequestError(exceptions.FuchsiabarrowError):
    """A request is invalid.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


def get_host(http_request: aiohttp.web.BaseRequest) -> str:
    """Returns the requested host, without its port."""
    return http_request.headers.get("Host", "").partition(":")[0]


def get_path(http_request: aiohttp.web.BaseRequest) -> str:
    """Returns the path of the request target, also of one in absolute form."""
    target = http_request.raw_path
    if not target.startswith("/") and "://" in target:
        target = "/" + target.partition("://")[2].partition("/")[2]
    return target.partition("?")[0]


def get_key(http_request: aiohttp.web.BaseRequest) -> str:
    """Returns the caller's API key, empty if there is no ``Token`` header."""
    scheme, _, key = http_request.headers.get(
        wire_names.AUTHORIZATION, ""
    ).partition(" ")
    if scheme.lower() != wire_names.TOKEN_SCHEME.lower():
        return ""
    return key.strip()


def check_sizes(
    http_request: aiohttp.web.BaseRequest, limits: documents.RequestLimits
) -> None:
    """Checks the headers and the declared body length against the limits.

    Raises:
        BadRequestError: The headers or the body are too large.
    """
    # 4 bytes per header for ": " and the line end.
    size = sum(
        len(name) + len(value) + 4 for name, value in http_request.raw_headers
    )
    if size > limits.max_header_bytes:
        raise BadRequestError(
            HTTP_HEADERS_TOO_LARGE,
            f"headers exceed {limits.max_header_bytes} bytes",
        )
    length = http_request.content_length
    if length is not None and length > limits.max_body_bytes:
        raise BadRequestError(
            HTTP_TOO_LARGE, f"body exceeds {limits.max_body_bytes} bytes"
        )


async def read_body(
    http_request: aiohttp.web.BaseRequest, limits: documents.RequestLimits
) -> bytes:
    """Reads the whole body.

    Raises:
        BadRequestError: The body is longer than the limit.
    """
    if not http_request.body_exists:
        return b""
    if http_request.headers.get("Expect", "").lower() == "100-continue":
        await http_request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        # The response proper has not begun; aiohttp resets the size likewise.
        http_request.writer.output_size = 0
    chunks, size = [], 0
    while data := await http_request.content.readany():
        size += len(data)
        if size > limits.max_body_bytes:
            raise BadRequestError(
                HTTP_TOO_LARGE, f"body exceeds {limits.max_body_bytes} bytes"
            )
        chunks.append(data)
    return b"".join(chunks)


def decode_request(
    http_request, route, organisation, arrived_s, body, version
) -> messages.Request:
    """Converts an HTTP request into the package's type.

    Raises:
        BadRequestError: A header is missing or malformed.
    """
    headers = http_request.headers
    request_id = headers.get(wire_names.ATTEMPT_ID, "")
    if not request_id:
        raise BadRequestError(
            HTTP_BAD_REQUEST,
            f"header {wire_names.ATTEMPT_ID} is missing; add it",
        )
    remaining_s = route.timeout_s
    if wire_names.DEADLINE_MS in headers:
        remaining_s = _parse_number(headers, wire_names.DEADLINE_MS) / MS_PER_S
    return messages.Request(
        request_id=request_id,
        method=http_request.method,
        target=http_request.raw_path,
        headers=upstream_codec.select_end_to_end(
            headers.items(), wire_names.SYSTEM_HEADERS
        ),
        body=body,
        route=route,
        organisation=organisation,
        arrived_s=arrived_s,
        deadline_s=arrived_s + remaining_s,
        last_event_id=headers.get(wire_names.LAST_EVENT_ID, ""),
        generation=_parse_generation(headers),
        catalog_version=version,
    )


def _parse_number(headers, name: str) -> float:
    text = headers[name].strip()
    if not _is_number(text):
        raise BadRequestError(
            HTTP_BAD_REQUEST, f"header {name} must be a non-negative integer"
        )
    return float(text)


def _is_number(text: str) -> bool:
    return text.isdecimal() and len(text) <= MAX_DIGITS


def _parse_generation(headers) -> messages.GenerationParameters | None:
    if wire_names.TOKEN_COUNTS not in headers:
        return None
    prompt, _, answer = headers[wire_names.TOKEN_COUNTS].partition(",")
    prompt, answer = prompt.strip(), answer.strip()
    if not (_is_number(prompt) and _is_number(answer)):
        raise BadRequestError(
            HTTP_BAD_REQUEST,
            f"header {wire_names.TOKEN_COUNTS} must have the form"
            " PROMPT,ANSWER",
        )
    hint = headers.get(wire_names.LENGTH_HINT, "").strip()
    return messages.GenerationParameters(
        int(prompt),
        int(answer),
        int(hint) if _is_number(hint) else None,
        _parse_shared_parts(headers.get(wire_names.PROMPT_PARTS, "")),
    )


def _parse_shared_parts(text: str) -> tuple[str, ...]:
    """Returns the ids of all parts of a prompt but the last.

    A repeated id is listed once, and more than `MAX_SHARED_PARTS` are left out.
    """
    ids = [part.partition(":")[0].strip() for part in text.split(",")[:-1]]
    distinct = dict.fromkeys(part_id for part_id in ids if part_id)
    return tuple(distinct)[:MAX_SHARED_PARTS]
