"""Connections to upstreams, one request at a time on each.

A connection is kept only if the last answer on it was whole and nothing came
after it; late or extra bytes would be taken for the next answer.
"""

import asyncio
import collections
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
# Idle connections are reused within this time; upstreams announce timeouts
# of whole seconds, one at least.
IDLE_REUSE_S = 0.8
MAX_IDLE_PER_ADDRESS = 4
TCP_USER_TIMEOUT_MS = 3000


class _Protocol(client_proto.ResponseHandler):
    """Tells a body that ends with its connection from one that was cut."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop=loop)
        self.received_bytes = 0

    def data_received(self, data: bytes) -> None:
        self.received_bytes += len(data)
        super().data_received(data)

    def eof_received(self) -> None:
        # libuv reports an end where a reset was found together with the last
        # bytes (uv__stream_io, POLLHUP after a partial read); the error is
        # still pending on the socket then.
        sock = self.transport.get_extra_info("socket")
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            self._fail_payload(OSError(error, os.strerror(error)))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None:
            self._fail_payload(exc)
        super().connection_lost(exc)

    def _fail_payload(self, cause: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            error = client_exceptions.ClientPayloadError("connection reset")
            helpers.set_exception(payload, error, cause)


def make_protocol(loop: asyncio.AbstractEventLoop) -> _Protocol:
    """Returns the protocol of one connection."""
    return _Protocol(loop)


class Connection:
    """One request and its answer on a connection; closed on leaving.

    Attributes:
        is_reused: Whether an earlier request used the connection.

    Args:
        pool: Pool that takes the connection back.
        address: ``ip:port`` of the upstream.
        protocol: Open connection.
        is_reused: Whether an earlier request used it.
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
        self._is_whole = False
        self._may_keep = False

    async def __aenter__(self) -> "Connection":
        return self

    async def __aexit__(self, *details) -> None:
        self.close()

    def close(self) -> None:
        """Ends the use; keeps the connection only if nothing is left on it."""
        protocol = self._protocol
        if protocol is None:
            return
        self._protocol = None
        is_clean = (
            self._is_whole and self._may_keep and not (protocol.should_close)
        )
        self._pool.take_back(self._address, protocol, is_clean)

    def send(self, data: bytes) -> None:
        """Sends a request.

        Raises:
            UpstreamUnreachableError: The connection is closed already, and
                nothing was sent.
        """
        protocol = self._protocol
        if not protocol.is_connected():
            raise exceptions.UpstreamUnreachableError(
                f"{self._address}: connection closed before the request"
                " was sent; use another connection"
            )
        protocol.received_bytes = 0
        protocol.set_response_params(
            read_until_eof=True,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )
        protocol.transport.write(data)

    def break_off(self, why: str) -> None:
        """Ends the connection; who reads gets ``UpstreamLostError``."""
        protocol = self._protocol
        if protocol is None:
            return
        error = client_exceptions.ClientPayloadError(why)
        if self._payload is not None:
            helpers.set_exception(self._payload, error)
        protocol.set_exception(error)
        if protocol.transport is not None:
            protocol.transport.abort()

    async def read_head(self):
        """Returns the head of the answer, as the HTTP library parsed it.

        Raises:
            UpstreamLostError: The connection ended, or what came is no answer.
        """
        try:
            while True:
                message, self._payload = await self._protocol.read()
                if message.code >= 200 or message.code == 101:
                    break
        except Exception as error:
            raise exceptions.UpstreamLostError(
                f"{self._address}: no answer ({type(error).__name__})"
            ) from error
        self._may_keep = not message.should_close
        return message

    async def read_some(self) -> bytes:
        """Returns the next bytes of the body, none at its end.

        Raises:
            UpstreamLostError: The body ended early.
        """
        try:
            data = await self._payload.readany()
        except Exception as error:
            raise exceptions.UpstreamLostError(
                f"{self._address}: the answer ended early"
                f" ({type(error).__name__})"
            ) from error
        if not data:
            self._is_whole = True
        return data

    async def read_all(self, limit_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
            UpstreamLostError: It ended early or is longer than the limit.
        """
        chunks, size = [], 0
        while data := await self.read_some():
            size += len(data)
            if size > limit_bytes:
                raise exceptions.UpstreamLostError(
                    f"{self._address}: the answer is over {limit_bytes} bytes"
                )
            chunks.append(data)
        return b"".join(chunks)


class ConnectionPool:
    """Opens connections and keeps idle ones for a short time.

    Args:
        connect_timeout_s: Longest time to open one.
    """

    def __init__(self, connect_timeout_s: float):
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, collections.deque] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(self, *details) -> None:
        for kept in self._idle.values():
            for protocol, _ in kept:
                protocol.close()
        self._idle.clear()

    async def open(
        self,
        address: str,
        may_reuse: bool = True,
        timeout_s: float | None = None,
    ) -> Connection:
        """Returns a connection to use once.

        Args:
            address: ``ip:port`` of the upstream.
            may_reuse: Whether one that was used before will do. It may be
                closed by the other side at any time.
            timeout_s: Longest time to open one, if shorter than usual.

        Raises:
            UpstreamUnreachableError: It does not accept; nothing was sent.
        """
        if may_reuse and (protocol := self._take_idle(address)) is not None:
            self._counts[address] += 1
            return Connection(self, address, protocol, True)
        limit_s = self._connect_timeout_s
        if timeout_s is not None:
            limit_s = min(limit_s, timeout_s)
        loop = asyncio.get_running_loop()
        host, port = addresses.parse_address(address)
        try:
            async with asyncio.timeout(max(0.0, limit_s)):
                _, protocol = await loop.create_connection(
                    lambda: make_protocol(loop), host, port
                )
        except (OSError, TimeoutError) as error:
            raise exceptions.UpstreamUnreachableError(
                f"{address}: cannot connect ({type(error).__name__});"
                " use another upstream"
            ) from error
        _bound_silence(protocol.transport)
        self._counts[address] += 1
        return Connection(self, address, protocol, False)

    def _take_idle(self, address: str) -> _Protocol | None:
        kept = self._idle.get(address)
        now_s = asyncio.get_running_loop().time()
        while kept:
            protocol, idle_since_s = kept.pop()
            is_fresh = now_s - idle_since_s < IDLE_REUSE_S
            if (
                is_fresh
                and protocol.is_connected()
                and (not protocol.should_close)
            ):
                return protocol
            protocol.close()
        return None

    def take_back(
        self, address: str, protocol: _Protocol, is_clean: bool
    ) -> None:
        """Keeps or closes a connection after its use."""
        self._counts[address] -= 1
        if self._counts[address] <= 0:
            del self._counts[address]
        kept = self._idle.setdefault(address, collections.deque())
        if is_clean and protocol.is_connected():
            now_s = asyncio.get_running_loop().time()
            kept.append((protocol, now_s))
            if len(kept) > MAX_IDLE_PER_ADDRESS:
                kept.popleft()[0].close()
        else:
            protocol.abort()
        if not kept:
            del self._idle[address]


def _bound_silence(transport: asyncio.Transport) -> None:
    """Ends a connection on which sent bytes stay unacknowledged."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
