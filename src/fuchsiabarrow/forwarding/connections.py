"""HTTP/1.1 connections to upstreams, without pipelining.

A connection is reused only if the last response on it was complete and no bytes
followed it: late or extra bytes would be parsed as the next response.
"""

import asyncio
import collections
import errno
import os
import socket

from aiohttp import client_exceptions
from aiohttp import client_proto
from aiohttp import helpers

from fuchsiabarrow import exceptions
from fuchsiabarrow.utils import addresses

__all__ = ["Connection", "ConnectionPool"]

MAX_LINE_BYTES = 65_536
MAX_FIELD_BYTES = 65_536
READ_BUFFER_BYTES = 65_536
# Maximum bytes before the body of a response, with interim responses.
MAX_HEAD_BYTES = 262_144
# Maximum bytes that frame a body (sizes and extensions of chunks, trailer
# fields), beside a multiple of the body for chunks of a few bytes.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_FACTOR = 8
# Longest idle time after which a connection is still reused. Upstreams announce
# keep-alive timeouts in whole seconds, of which the shortest is 1 s.
MAX_IDLE_S = 0.8
MAX_IDLE_PER_ADDRESS = 4
TCP_USER_TIMEOUT_MS = 3000


class _Protocol(client_proto.ResponseHandler):
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
        self._has_final_head |= is_final(data[0])
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
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
        # libuv reports EOF if it finds a reset together with the last bytes
        # (uv__stream_io, POLLHUP after a partial read); SO_ERROR still has the
        # error then.
        sock = self.transport.get_extra_info("socket")
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail_payload(OSError(error, os.strerror(error)))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
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


def is_final(message) -> bool:
    """Returns whether a parsed head is not that of an interim response."""
    return message.code >= 200 or message.code == 101


def make_protocol(loop: asyncio.AbstractEventLoop) -> _Protocol:
    """Returns a new protocol instance for one connection."""
    return _Protocol(loop)


class Connection:
    """One request and response on a connection from the pool.

    Leaving the context returns the connection to the pool, which closes it
    unless it can be reused.

    Attributes:
        is_reused: Whether an earlier request used the connection.

    Args:
        pool: Pool to which the connection is returned.
        address: ``ip:port`` of the upstream.
        protocol: Protocol of the open connection.
        is_reused: Whether an earlier request used the connection.
    """

    def __init__(
        self,
        pool: "ConnectionPool",
        address: str,
        protocol: _Protocol,
        is_reused: bool,
    ):
        self.is_reused = is_reused
        self._pool = pool
        self._address = address
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
        is_reusable = (
            self._is_complete
            and self._is_keep_alive
            and not (protocol.should_close)
        )
        self._pool.release(self._address, protocol, is_reusable)

    def send(self, data: bytes) -> None:
        """Sends an encoded request.

        Raises:
            UpstreamUnreachableError: The connection was closed before anything
                was sent.
        """
        protocol = self._protocol
        if not protocol.is_connected():
            raise exceptions.UpstreamUnreachableError(
                f"{self._address}: connection closed before the request"
                " was sent; open a new connection"
            )
        protocol.begin_response()
        protocol.set_response_params(
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

        Interim responses (1xx, except 101) are skipped.

        Raises:
            UpstreamResponseLostError: The connection was closed, or the bytes
                received are not an HTTP response.
        """
        try:
            while True:
                message, self._payload = await self._protocol.read()
                if is_final(message):
                    break
        except Exception as error:
            raise exceptions.UpstreamResponseLostError(
                f"{self._address}: no response ({_describe_error(error)})"
            ) from error
        self._is_keep_alive = not message.should_close
        return message

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
                f"{self._address}: response body ended early"
                f" ({_describe_error(error)})"
            ) from error
        if not data:
            self._is_complete = True
        return data

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
                    f"{self._address}: response body is over"
                    f" {limit_bytes} bytes"
                )
            chunks.append(data)
        return b"".join(chunks)


class ConnectionPool:
    """Opens connections and keeps idle ones for a short time.

    Args:
        connect_timeout_s: Timeout for opening a connection.
    """

    def __init__(self, connect_timeout_s: float):
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, collections.deque] = {}
        self._in_use_counts: collections.Counter[str] = collections.Counter()

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(self, *details) -> None:
        for idle in self._idle.values():
            for protocol, _ in idle:
                protocol.close()
        self._idle.clear()

    async def open(
        self,
        address: str,
        may_reuse: bool = True,
        timeout_s: float | None = None,
    ) -> Connection:
        """Returns a connection for one request.

        Args:
            address: ``ip:port`` of the upstream.
            may_reuse: Whether an idle connection may be used. The upstream may
                close it at any time, also while a request is being sent.
            timeout_s: Timeout for opening a connection; applies only if it is
                shorter than that of the pool.

        Raises:
            UpstreamUnreachableError: The connection could not be opened;
                nothing was sent.
        """
        if may_reuse and (protocol := self._take_idle(address)) is not None:
            self._in_use_counts[address] += 1
            return Connection(self, address, protocol, True)
        connect_timeout_s = self._connect_timeout_s
        if timeout_s is not None:
            connect_timeout_s = min(connect_timeout_s, timeout_s)
        loop = asyncio.get_running_loop()
        host, port = addresses.parse_address(address)
        try:
            async with asyncio.timeout(max(0.0, connect_timeout_s)):
                _, protocol = await loop.create_connection(
                    lambda: make_protocol(loop), host, port
                )
        except (OSError, TimeoutError) as error:
            raise exceptions.UpstreamUnreachableError(
                f"{address}: cannot connect ({_describe_error(error)});"
                " use another upstream"
            ) from error
        _configure_socket(protocol.transport)
        self._in_use_counts[address] += 1
        return Connection(self, address, protocol, False)

    def _take_idle(self, address: str) -> _Protocol | None:
        idle = self._idle.get(address)
        now_s = asyncio.get_running_loop().time()
        while idle:
            protocol, idle_since_s = idle.pop()
            is_fresh = now_s - idle_since_s < MAX_IDLE_S
            if (
                is_fresh
                and protocol.is_connected()
                and (not protocol.should_close)
            ):
                return protocol
            protocol.close()
        return None

    def release(
        self, address: str, protocol: _Protocol, is_reusable: bool
    ) -> None:
        """Keeps a connection for reuse, or closes it."""
        self._in_use_counts[address] -= 1
        if self._in_use_counts[address] <= 0:
            del self._in_use_counts[address]
        idle = self._idle.setdefault(address, collections.deque())
        if is_reusable and protocol.is_connected():
            now_s = asyncio.get_running_loop().time()
            protocol.become_idle()
            idle.append((protocol, now_s))
            if len(idle) > MAX_IDLE_PER_ADDRESS:
                idle.popleft()[0].close()
        else:
            protocol.abort()
        if not idle:
            del self._idle[address]


def _describe_error(error: BaseException) -> str:
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


def _configure_socket(transport: asyncio.Transport) -> None:
    """Sets the socket options of an upstream connection.

    The kernel closes it if sent bytes stay unacknowledged for 3000 ms.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
