"""HTTP/1.1 connections to upstreams, without pipelining.

A response ends with an error if it is cut, or if its head or framing is too
long.
"""

import asyncio
from collections.abc import Callable
import errno
import os
import socket

from aiohttp import client_exceptions
from aiohttp import client_proto
from aiohttp import helpers

from fuchsiabarrow import exceptions
from fuchsiabarrow.utils import http_statuses

__all__ = [
    "Connection",
    "ResponseProtocol",
    "describe_error",
    "make_protocol",
]

MAX_LINE_BYTES = 65_536
MAX_FIELD_BYTES = 65_536
READ_BUFFER_BYTES = 65_536
# Maximum bytes before the body of a response, with interim responses.
MAX_HEAD_BYTES = 262_144
# Maximum number of interim responses (1xx) before a response.
MAX_INTERIM_RESPONSES = 16
# Maximum bytes that frame a body (sizes and extensions of chunks, trailer
# fields), beside a multiple of the body for chunks of a few bytes.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_FACTOR = 8


class ResponseProtocol(client_proto.ResponseHandler):
    """Distinguishes a body ended by a clean close from one cut by a reset.

    Ends a response whose head or framing is too long: the parser discards
    interim responses, blank lines and the framing of chunks, so that a response
    made of them would never end.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop=loop)
        self._received_bytes = 0
        self._has_final_head = False
        self._is_idle = False

    def begin_response(self) -> None:
        """Prepares for the response to a request that is about to be sent."""
        self._received_bytes = 0
        self._has_final_head = self._is_idle = False

    def become_idle(self) -> None:
        """Closes the connection if any bytes arrive before the next request."""
        self._is_idle = True

    def feed_data(self, data: tuple, size: int = 0) -> None:
        """Passes on a parsed head, and records whether it is the last one."""
        self._has_final_head |= not http_statuses.is_interim(data[0].code)
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parses bytes; ends a response that exceeds the limits."""
        if self._is_idle:
            self.abort()
            return
        self._received_bytes += len(data)
        super().data_received(data)
        if self.exception() is not None:
            # The parser rejected the bytes. It does not always report that to
            # the reader of the body, which would wait for more.
            self._fail_payload(self.exception(), "malformed response")
            return
        if not self._has_final_head:
            if self._received_bytes > MAX_HEAD_BYTES:
                self.abort_response(f"head is over {MAX_HEAD_BYTES} bytes")
            return
        body_bytes = self._payload.total_bytes if self._payload else 0
        max_bytes = MAX_HEAD_BYTES + MAX_FRAMING_BYTES
        if self._received_bytes > max_bytes + MAX_FRAMING_FACTOR * body_bytes:
            self.abort_response(f"framing is over {MAX_FRAMING_BYTES} bytes")

    def abort_response(self, reason: str) -> None:
        """Aborts the connection; a pending or later read raises an error."""
        error = client_exceptions.ClientPayloadError(reason)
        if self._payload is not None:
            helpers.set_exception(self._payload, error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def eof_received(self) -> None:
        """Ends the body; a reset that is reported as its end is an error."""
        # libuv reports EOF if it finds a reset together with the last bytes
        # (uv__stream_io, POLLHUP after a partial read); SO_ERROR still has the
        # error then.
        sock = self.transport.get_extra_info("socket")
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail_payload(OSError(error, os.strerror(error)))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends a body that is not complete with an error."""
        if exc is not None:
            self._fail_payload(exc)
        super().connection_lost(exc)

    def _fail_payload(
        self, cause: BaseException, reason: str = "connection reset"
    ) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            error = client_exceptions.ClientPayloadError(reason)
            helpers.set_exception(payload, error, cause)


def make_protocol(loop: asyncio.AbstractEventLoop) -> ResponseProtocol:
    """Returns a new protocol instance for one connection."""
    return ResponseProtocol(loop)


class Connection:
    """One request and response on a connection from the pool.

    Leaving the context returns the connection to the pool, which closes it
    unless it can be reused.

    Attributes:
        is_reused: Whether an earlier request used the connection.
        helper: Address of the entry through which it goes; empty for none.
        address: ``ip:port`` of the upstream.

    Args:
        release: Takes the protocol back; called with the address, the protocol
            and whether it can be reused.
        address: ``ip:port`` of the upstream.
        protocol: Protocol of the open connection.
        is_reused: Whether an earlier request used the connection.
        helper: Address of the entry through which it goes; empty for none.
    """

    def __init__(
        self,
        release: Callable[[str, ResponseProtocol, bool], None],
        address: str,
        protocol: ResponseProtocol,
        is_reused: bool,
        helper: str = "",
    ):
        self.is_reused = is_reused
        self.helper = helper
        self._release = release
        self.address = address
        self._protocol = protocol
        self._payload = None
        self._is_complete = False
        self._is_keep_alive = False

    async def __aenter__(self) -> "Connection":
        return self

    async def __aexit__(self, *details) -> None:
        self.close()

    def close(self) -> None:
        """Returns the connection to the pool, which may close it."""
        protocol = self._protocol
        if protocol is None:
            return
        self._protocol = None
        # The entry that helps cannot tell an idle tunnel from a busy one, and
        # would wait for it when it stops.
        is_reusable = (
            self._is_complete
            and self._is_keep_alive
            and not protocol.should_close
            and not self.helper
        )
        self._release(self.address, protocol, is_reusable)

    def send(self, data: bytes) -> None:
        """Sends an encoded request.

        Raises:
            UpstreamUnreachableError: The connection was closed before anything
                was sent.
        """
        protocol = self._protocol
        if not protocol.is_connected():
            raise exceptions.UpstreamUnreachableError(
                f"{self.address}: connection closed before the request"
                " was sent; open a new connection"
            )
        protocol.begin_response()
        protocol.set_response_params(
            skip_payload=data.startswith(b"HEAD "),
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )
        protocol.transport.write(data)

    def disconnect(self, reason: str) -> bool:
        """Aborts the connection.

        A pending or later read raises ``UpstreamResponseLostError``.

        Returns:
            Whether the upstream had not closed it before.
        """
        protocol = self._protocol
        if protocol is None:
            return False
        was_open = protocol.is_connected()
        protocol.abort_response(reason)
        return was_open

    async def read_head(self):
        """Returns the status line and headers as parsed by aiohttp.

        Interim responses (1xx, except 101) are skipped. They do not extend
        the caller's time limit.

        Raises:
            UndefinedStatusError: The status is not within 200 to 599.
            UpstreamResponseLostError: The connection was closed, the bytes
                received are not an HTTP response, or there are too many
                interim responses.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            try:
                message, self._payload = await self._protocol.read()
            except Exception as error:
                raise exceptions.UpstreamResponseLostError(
                    f"{self.address}: no response ({describe_error(error)})"
                ) from error
            if http_statuses.is_final(message.code):
                self._is_keep_alive = not message.should_close
                return message
            if not http_statuses.is_interim(message.code):
                raise exceptions.UndefinedStatusError(
                    self.address, message.code
                )
        raise exceptions.UpstreamResponseLostError(
            f"{self.address}: no response (over {MAX_INTERIM_RESPONSES} interim"
            " responses)"
        )

    async def read_chunk(self) -> bytes:
        """Returns the next bytes of the body; empty at its end.

        Raises:
            UpstreamResponseLostError: The connection failed before the end of
                the body.
        """
        try:
            data = await self._payload.readany()
        except Exception as error:
            raise exceptions.UpstreamResponseLostError(
                f"{self.address}: response body ended early"
                f" ({describe_error(error)})"
            ) from error
        if not data:
            self._is_complete = True
        return data

    def is_received(self) -> bool:
        """Returns whether the whole body has arrived and was read."""
        return self._payload.at_eof()

    async def read_body(self, limit_bytes: int) -> bytes:
        """Returns the complete body.

        Raises:
            UpstreamResponseLostError: The body ended early or is longer than
                the limit.
        """
        chunks, size = [], 0
        while data := await self.read_chunk():
            size += len(data)
            if size > limit_bytes:
                raise exceptions.UpstreamResponseLostError(
                    f"{self.address}: response body is over {limit_bytes} bytes"
                )
            chunks.append(data)
        return b"".join(chunks)


def describe_error(error: BaseException) -> str:
    """Returns the type of an error and the system's name of its cause."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, OSError) and cause.errno:
            number = cause.errno
            return (
                f"{type(error).__name__} {errno.errorcode.get(number, number)}"
            )
        cause = cause.__cause__
    return type(error).__name__
