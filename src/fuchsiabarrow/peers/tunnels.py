"""Connections to upstreams through another entry.

An entry that does not reach an upstream opens a tunnel: a TCP connection to
another entry, which connects to the upstream and copies bytes in both
directions. All decisions on a request stay with the first entry. The other one
knows neither the request nor its outcome, and only connects to upstreams that
it knows and reaches by itself, so that a tunnel has exactly one hop.

The first entry sends an `_OpenRequest` in MessagePack after its length; the
other one answers with a status byte. The bytes of the upstream follow in frames
with a length. An empty frame stands for an end of file: a tunnel that ends
without one was reset, on either of its two connections.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import random
import secrets
import socket
import struct

import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import addresses

__all__ = ["TunnelClient", "TunnelServer"]

MAX_OPEN_REQUEST_BYTES = 512
# Time for the open request to arrive on a new connection.
OPEN_REQUEST_TIMEOUT_S = 1.0
# Tunnels that an entry carries for others at the same time; each holds two
# file descriptors and up to 64 KiB.
MAX_TUNNELS = 400
# Bytes waiting for a slow reader after which its sender is paused.
WRITE_LIMIT_BYTES = 32_768
TCP_USER_TIMEOUT_MS = 3000
# Period at which a connection that is not read is checked for a reset, which
# the event loop does not report then.
RESET_CHECK_PERIOD_S = 0.1
# State of a connection after a reset, the first byte of ``TCP_INFO``.
TCP_CLOSE = 7
# Part of the time to open a tunnel that the other entry leaves for its answer.
ANSWER_MARGIN_S = 0.02
# Number of helpers that are asked one after another for one connection.
MAX_HELPERS = 3
# Other helpers come first for this time after one has refused, or has failed to
# answer.
HELPER_PAUSE_S = 1.0
# A helper that reached no upstream for longer may be cut off without knowing.
FRESH_S = 3.0

MILLISECONDS_PER_S = 1000.0

# Connects to an upstream: takes its address, a function that makes the
# protocol, and a time limit in seconds.
Connect = Callable[
    [str, Callable[[], asyncio.Protocol], float], Awaitable[asyncio.Protocol]
]

_LENGTH = struct.Struct(">H")
_FRAME_LENGTH = struct.Struct(">I")
_log = logbook.Logger(__name__)


class _OpenRequest(msgspec.Struct, frozen=True, array_like=True):
    token: int
    upstream_address: str
    timeout_ms: int


class _Status(enum.IntEnum):
    """Answer to an open request.

    Attributes:
        OPEN: The upstream is connected.
        UNREACHABLE: The upstream does not accept connections.
        REFUSED: The entry that was asked cannot help.
        UNSURE: It does not know the upstream, or does not reach it but its own
            links may be at fault.
    """

    OPEN = 0
    UNREACHABLE = 1
    REFUSED = 2
    UNSURE = 3


def _configure_socket(transport: asyncio.Transport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def _reset(transport: asyncio.Transport) -> None:
    """Closes a connection so that the peer learns of it at once.

    An end of file would wait behind bytes that the peer does not read.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    transport.abort()


def _is_reset(transport: asyncio.Transport) -> bool:
    """Returns whether the kernel has ended a connection."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == (
        TCP_CLOSE
    )


def _has_pending_error(transport: asyncio.Transport) -> bool:
    """Returns whether a connection that reports an end of file was reset.

    libuv reports a reset as an end of file if it finds both at once; the error
    is still set on the socket then.
    """
    sock = transport.get_extra_info("socket")
    return sock is not None and bool(
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    )


class _UpstreamSide(asyncio.Protocol):
    """Connection of a tunnel to its upstream."""

    def __init__(self, entry_side: "_EntrySide"):
        self._entry_side = entry_side
        self._is_ended = False
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Implements `asyncio.Protocol.connection_made`."""
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_LIMIT_BYTES)

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol.data_received`."""
        self._entry_side.send_frame(data)

    def eof_received(self) -> None:
        """Implements `asyncio.Protocol.eof_received`."""
        if not _has_pending_error(self.transport):
            self._is_ended = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements `asyncio.Protocol.connection_lost`."""
        self._entry_side.end(self._is_ended and exc is None)

    def pause_writing(self) -> None:
        """Implements `asyncio.Protocol.pause_writing`."""
        self._entry_side.pause_reading()

    def resume_writing(self) -> None:
        """Implements `asyncio.Protocol.resume_writing`."""
        self._entry_side.resume_reading()


class _EntrySide(asyncio.Protocol):
    """Connection of a tunnel to the entry that opened it."""

    def __init__(self, server: "TunnelServer"):
        self._server = server
        self._received = bytearray()
        self._task: asyncio.Task | None = None
        self._upstream_side: _UpstreamSide | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._reset_check: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Implements `asyncio.Protocol.connection_made`."""
        self.transport = transport
        transport.set_write_buffer_limits(WRITE_LIMIT_BYTES)
        _configure_socket(transport)
        self._server.add(self)
        self._timer = asyncio.get_running_loop().call_later(
            OPEN_REQUEST_TIMEOUT_S, transport.abort
        )

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol.data_received`."""
        if self._upstream_side is not None:
            self._upstream_side.transport.write(data)
            return
        self._received += data
        if self._task is not None or len(self._received) < _LENGTH.size:
            if self._task is not None:
                # Nothing may be sent before the answer to the open request.
                self.transport.abort()
            return
        (size,) = _LENGTH.unpack_from(self._received)
        if size > MAX_OPEN_REQUEST_BYTES:
            self.transport.abort()
        elif len(self._received) == _LENGTH.size + size:
            self._timer.cancel()
            self._task = asyncio.create_task(
                self._open(bytes(self._received[_LENGTH.size :]))
            )
        elif len(self._received) > _LENGTH.size + size:
            self.transport.abort()

    async def _open(self, encoded: bytes) -> None:
        """Connects to the upstream and answers the open request."""
        status, upstream_side = await self._server.connect(encoded, self)
        if self.transport.is_closing():
            if upstream_side is not None:
                upstream_side.transport.abort()
            return
        self._upstream_side = upstream_side
        self.transport.write(bytes((status,)))
        if upstream_side is None:
            self.transport.close()

    def pause_reading(self) -> None:
        """Stops reading from the entry, while the upstream does not read."""
        self.transport.pause_reading()
        self._schedule_reset_check()

    def resume_reading(self) -> None:
        """Reads from the entry again."""
        self._stop_reset_checks()
        self.transport.resume_reading()

    def _schedule_reset_check(self) -> None:
        self._reset_check = asyncio.get_running_loop().call_later(
            RESET_CHECK_PERIOD_S, self._check_reset
        )

    def _stop_reset_checks(self) -> None:
        if self._reset_check is not None:
            self._reset_check.cancel()
            self._reset_check = None

    def _check_reset(self) -> None:
        """Ends the tunnel if the entry that opened it has closed it."""
        self._reset_check = None
        if self.transport.is_closing():
            return
        if _is_reset(self.transport):
            self.transport.abort()
        else:
            self._schedule_reset_check()

    def send_frame(self, data: bytes) -> None:
        """Sends bytes of the upstream."""
        if not self.transport.is_closing():
            self.transport.writelines((_FRAME_LENGTH.pack(len(data)), data))

    def end(self, is_complete: bool) -> None:
        """Ends the tunnel after its upstream closed the connection.

        Args:
            is_complete: Whether the upstream closed it without an error.
        """
        if self.transport.is_closing():
            return
        if is_complete and self._upstream_side is not None:
            self.transport.write(_FRAME_LENGTH.pack(0))
            self.transport.close()
        else:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements `asyncio.Protocol.connection_lost`."""
        self._timer.cancel()
        self._stop_reset_checks()
        self._server.remove(self)
        if self._task is not None:
            self._task.cancel()
        if self._upstream_side is not None:
            # Also tells the upstream that the caller left.
            self._upstream_side.transport.abort()

    def pause_writing(self) -> None:
        """Implements `asyncio.Protocol.pause_writing`."""
        if self._upstream_side is not None:
            self._upstream_side.transport.pause_reading()

    def resume_writing(self) -> None:
        """Implements `asyncio.Protocol.resume_writing`."""
        if self._upstream_side is not None:
            self._upstream_side.transport.resume_reading()


class TunnelServer:
    """Listens for tunnels of other entries.

    Attributes:
        token: Number that tunnels must present.
        address: ``ip:port`` to listen on.
        is_stopping: Whether new tunnels are refused.

    Args:
        address: ``ip:port`` to listen on.
        can_help: Returns whether this entry reaches upstreams at present.
        is_known: Returns whether an upstream with an address may get new work.
        connect: Connects to an upstream directly; takes its address, a function
            that makes the protocol, and a time limit in seconds. Raises
            ``NoHelperError`` if the links of this entry may be at fault.

    Raises:
        SettingsError: On entering, if the address cannot be bound.
    """

    def __init__(
        self,
        address: str,
        can_help: Callable[[], bool],
        is_known: Callable[[str], bool],
        connect: Connect,
    ):
        self.token = secrets.randbits(64)
        self.address = address
        self.is_stopping = False
        self._can_help = can_help
        self._is_known = is_known
        self._connect = connect
        self._tunnels: set[_EntrySide] = set()
        self._socket_server: asyncio.Server | None = None

    async def __aenter__(self) -> "TunnelServer":
        loop = asyncio.get_running_loop()
        host, port = addresses.parse_address(self.address)
        try:
            self._socket_server = await loop.create_server(
                lambda: _EntrySide(self), host, port
            )
        except OSError as error:
            raise exceptions.SettingsError(
                f"cannot listen on {self.address} ({error.strerror});"
                " configure free internal ports on this instance"
            ) from error
        if port == 0:
            port = self._socket_server.sockets[0].getsockname()[1]
            self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *details) -> None:
        self._socket_server.close()
        self.cut()

    def cut(self) -> int:
        """Ends all tunnels, as if reset; returns their number."""
        cut_tunnels = list(self._tunnels)
        for tunnel in cut_tunnels:
            tunnel.transport.abort()
        return len(cut_tunnels)

    def count(self) -> int:
        """Returns the number of open tunnels."""
        return len(self._tunnels)

    def add(self, tunnel: _EntrySide) -> None:
        """Registers a new connection."""
        self._tunnels.add(tunnel)

    def remove(self, tunnel: _EntrySide) -> None:
        """Removes a connection that has ended."""
        self._tunnels.discard(tunnel)

    async def connect(
        self, encoded: bytes, entry_side: _EntrySide
    ) -> tuple[_Status, _UpstreamSide | None]:
        """Connects to the upstream that an open request names.

        Args:
            encoded: The open request, without its length.
            entry_side: Connection of the tunnel to the entry that sent it.

        Returns:
            The answer, and the connection to the upstream if it is open.
        """
        try:
            request = msgspec.msgpack.decode(encoded, type=_OpenRequest)
        except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as error:
            _log.warning(logs.format_event("tunnel_invalid", error=error))
            return _Status.REFUSED, None
        if (
            request.token != self.token
            or self.is_stopping
            or len(self._tunnels) > MAX_TUNNELS
            or not self._can_help()
        ):
            return _Status.REFUSED, None
        if not self._is_known(request.upstream_address):
            return _Status.UNSURE, None
        try:
            upstream_side = await self._connect(
                request.upstream_address,
                lambda: _UpstreamSide(entry_side),
                request.timeout_ms / MILLISECONDS_PER_S,
            )
        except exceptions.NoHelperError:
            return _Status.UNSURE, None
        except exceptions.UpstreamUnreachableError:
            return _Status.UNREACHABLE, None
        return _Status.OPEN, upstream_side


class _TunnelTransport(asyncio.Transport):
    """Transport of a protocol whose connection goes through a tunnel."""

    def __init__(self, transport: asyncio.Transport):
        super().__init__()
        self._transport = transport

    def get_extra_info(self, name: str, default=None):
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        return self._transport.is_closing()

    def close(self) -> None:
        self._transport.close()

    def abort(self) -> None:
        _reset(self._transport)

    def write(self, data: bytes) -> None:
        self._transport.write(data)

    def writelines(self, list_of_data) -> None:
        self._transport.writelines(list_of_data)

    def pause_reading(self) -> None:
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        self._transport.resume_reading()

    def is_reading(self) -> bool:
        return self._transport.is_reading()

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        self._transport.set_write_buffer_limits(high, low)

    def get_write_buffer_size(self) -> int:
        return self._transport.get_write_buffer_size()


class _ClientSide(asyncio.Protocol):
    """Connection of a tunnel at the entry that opens it.

    Args:
        make_protocol: Makes the protocol of the connection to the upstream.
    """

    def __init__(self, make_protocol: Callable[[], asyncio.Protocol]):
        self._make_protocol = make_protocol
        self._received = bytearray()
        self._is_ended = False
        self._transport: asyncio.Transport | None = None
        self.protocol: asyncio.Protocol | None = None
        self.status = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Implements `asyncio.Protocol.connection_made`."""
        self._transport = transport
        _configure_socket(transport)

    def send_open_request(self, request: _OpenRequest) -> None:
        """Sends the open request."""
        encoded = msgspec.msgpack.encode(request)
        self._transport.write(_LENGTH.pack(len(encoded)) + encoded)

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol.data_received`."""
        if self.protocol is None:
            status, data = data[0], data[1:]
            if status != _Status.OPEN or self.status.done():
                self._transport.abort()
                self._set_status(status)
                return
            self.protocol = self._make_protocol()
            self.protocol.connection_made(_TunnelTransport(self._transport))
            self._set_status(status)
        self._received += data
        self._deliver_frames()

    def _set_status(self, status: int) -> None:
        if not self.status.done():
            self.status.set_result(status)

    def _deliver_frames(self) -> None:
        received, start = self._received, 0
        while len(received) - start >= _FRAME_LENGTH.size:
            (size,) = _FRAME_LENGTH.unpack_from(received, start)
            begin = start + _FRAME_LENGTH.size
            if size == 0:
                self._is_ended = True
                self.protocol.eof_received()
                self._transport.close()
                return
            if len(received) < begin + size:
                break
            start = begin + size
            self.protocol.data_received(bytes(received[begin:start]))
        del received[:start]

    def eof_received(self) -> None:
        """Implements `asyncio.Protocol.eof_received`."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Implements `asyncio.Protocol.connection_lost`."""
        self._set_status(_Status.REFUSED)
        if self.protocol is None:
            return
        if exc is None and not self._is_ended:
            # The other entry was killed or lost its upstream: without this
            # error, an answer that ends with its connection looks complete.
            exc = ConnectionResetError("tunnel ended without its last frame")
        self.protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Implements `asyncio.Protocol.pause_writing`."""
        if self.protocol is not None:
            self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Implements `asyncio.Protocol.resume_writing`."""
        if self.protocol is not None:
            self.protocol.resume_writing()


class TunnelClient:
    """Opens tunnels through other entries.

    Args:
        failure_domain: Failure domain of this entry; helpers in it come first.
        get_helpers: Returns the entries that can help.
        random_source: Random number generator, to spread the tunnels.
    """

    def __init__(
        self,
        failure_domain: str,
        get_helpers: Callable[[], list[summaries.Helper]],
        random_source: random.Random,
    ):
        self._failure_domain = failure_domain
        self._get_helpers = get_helpers
        self._random_source = random_source
        self._paused_until_s: dict[str, float] = {}

    def _choose_helpers(self) -> list[summaries.Helper]:
        """Returns the helpers to be asked, one after the other."""
        now_s = asyncio.get_running_loop().time()
        self._paused_until_s = {
            address: until_s
            for address, until_s in self._paused_until_s.items()
            if until_s > now_s
        }
        helpers = self._get_helpers()
        self._random_source.shuffle(helpers)
        helpers.sort(
            key=lambda helper: (
                helper.address in self._paused_until_s,
                helper.has_fault,
                now_s - helper.reached_at_s > FRESH_S,
                helper.domain != self._failure_domain,
            )
        )
        first, others = helpers[:1], helpers[1:]
        # A failure domain may be cut off as a whole.
        others.sort(
            key=lambda helper: (
                helper.address in self._paused_until_s,
                helper.has_fault,
                helper.domain == first[0].domain,
            )
        )
        return first + others[: MAX_HELPERS - 1]

    def is_available(self, helper: str) -> bool:
        """Returns whether an entry is alive and still opens tunnels.

        Args:
            helper: ``ip:port`` on which it accepts them.
        """
        return any(known.address == helper for known in self._get_helpers())

    async def open(
        self,
        address: str,
        make_protocol: Callable[[], asyncio.Protocol],
        timeout_s: float,
    ) -> tuple[asyncio.Protocol, str]:
        """Returns a protocol that is connected to an upstream.

        Args:
            address: ``ip:port`` of the upstream.
            make_protocol: Makes the protocol.
            timeout_s: Time limit in seconds.

        Returns:
            The protocol, and the address of the entry that helps.

        Raises:
            UpstreamUnreachableError: The upstream does not accept connections
                of another entry either.
            NoHelperError: No other entry could be asked.
        """
        helpers = self._choose_helpers()
        deadline_s = asyncio.get_running_loop().time() + timeout_s
        for index, helper in enumerate(helpers):
            now_s = asyncio.get_running_loop().time()
            # Leaves time to ask the next helper.
            share_s = (deadline_s - now_s) / (len(helpers) - index)
            status, protocol = await self._ask(
                helper, address, make_protocol, share_s
            )
            if status == _Status.OPEN:
                return protocol, helper.address
            if status == _Status.UNREACHABLE:
                raise exceptions.UpstreamUnreachableError(
                    f"{address}: cannot connect through another entry either;"
                    " use another upstream"
                )
            if status == _Status.UNSURE:
                continue
            self._paused_until_s[helper.address] = (
                asyncio.get_running_loop().time() + HELPER_PAUSE_S
            )
        raise exceptions.NoHelperError(
            f"{address}: no other entry opened a connection"
            f" ({len(helpers)} asked); retry later"
        )

    async def _ask(
        self,
        helper: summaries.Helper,
        address: str,
        make_protocol: Callable[[], asyncio.Protocol],
        timeout_s: float,
    ) -> tuple[int, asyncio.Protocol | None]:
        host, port = addresses.parse_address(helper.address)
        limit_ms = int(
            max(0.0, timeout_s - ANSWER_MARGIN_S) * MILLISECONDS_PER_S
        )
        transport, side = None, None
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                (
                    transport,
                    side,
                ) = await asyncio.get_running_loop().create_connection(
                    lambda: _ClientSide(make_protocol), host, port
                )
                side.send_open_request(
                    _OpenRequest(helper.token, address, limit_ms)
                )
                status = await side.status
        except (OSError, TimeoutError):
            status = _Status.REFUSED
        except asyncio.CancelledError:
            if transport is not None:
                transport.abort()
            raise
        if status != _Status.OPEN:
            if transport is not None:
                transport.abort()
            return status, None
        return status, side.protocol
