"""HTTP/1.1 connections to upstreams, without pipelining.

A connection is reused only if the last response on it was complete and no bytes
followed it: late or extra bytes would be parsed as the next response.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import errno
import os
import random
import socket
from typing import Protocol

from aiohttp import client_exceptions
from aiohttp import client_proto
from aiohttp import helpers
import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.forwarding import links
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import addresses
from fuchsiabarrow.utils import http_statuses

__all__ = ["Connection", "ConnectionPool", "Tunnels"]

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
# Longest idle time after which a connection is still reused. Upstreams announce
# keep-alive timeouts in whole seconds, of which the shortest is 1 s.
MAX_IDLE_S = 0.8
MAX_IDLE_PER_ADDRESS = 4
TCP_USER_TIMEOUT_MS = 3000
# Time after which a connection that is still being opened is also opened
# through another entry. A direct one usually takes a few milliseconds.
TUNNEL_DELAY_S = 0.1

# Number of connections that are tried through other entries at the same time
# before one of them has shown that a link is cut.
MAX_QUESTIONS = 1
# Time for another entry to connect to an upstream that refused a connection.
SECOND_OPINION_TIMEOUT_S = 0.25

_log = logbook.Logger(__name__)


class Tunnels(Protocol):
    """Connections through other entries."""

    async def open(
        self,
        address: str,
        make_protocol: Callable[[], asyncio.Protocol],
        timeout_s: float,
    ) -> tuple[asyncio.Protocol, str]:
        """Returns a connected protocol and the address of the other entry.

        Args:
            address: ``ip:port`` of the upstream.
            make_protocol: Makes the protocol.
            timeout_s: Time limit in seconds.

        Raises:
            UpstreamUnreachableError: The other entry does not reach it either.
            NoHelperError: No other entry could be asked.
        """

    def is_available(self, helper: str) -> bool:
        """Returns whether an entry is alive and still opens tunnels."""


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
        self._has_final_head |= not http_statuses.is_interim(data[0].code)
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


def make_protocol(loop: asyncio.AbstractEventLoop) -> _Protocol:
    """Returns a new protocol instance for one connection."""
    return _Protocol(loop)


class Connection:
    """One request and response on a connection from the pool.

    Leaving the context returns the connection to the pool, which closes it
    unless it can be reused.

    Attributes:
        is_reused: Whether an earlier request used the connection.
        helper: Address of the entry through which it goes; empty for none.
        address: ``ip:port`` of the upstream.

    Args:
        pool: Pool to which the connection is returned.
        address: ``ip:port`` of the upstream.
        protocol: Protocol of the open connection.
        is_reused: Whether an earlier request used the connection.
        helper: Address of the entry through which it goes; empty for none.
    """

    def __init__(
        self,
        pool: "ConnectionPool",
        address: str,
        protocol: _Protocol,
        is_reused: bool,
        helper: str = "",
    ):
        self.is_reused = is_reused
        self.helper = helper
        self._pool = pool
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
        self._pool.release(self.address, protocol, is_reusable)

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
                    f"{self.address}: no response ({_describe_error(error)})"
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
                f" ({_describe_error(error)})"
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


class ConnectionPool:
    """Opens connections and keeps idle ones for a short time.

    A connection that cannot be opened directly is opened through another entry
    if that one reaches the upstream.

    Args:
        connect_timeout_s: Timeout for opening a connection.
        link_table: Which upstreams this entry reaches by itself.
        tunnels: Opens connections through other entries; None if there are no
            others.
        metrics: Metrics of the entry, None to count nothing.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        link_table: links.LinkTable | None = None,
        tunnels: Tunnels | None = None,
        metrics: metrics_module.ForwardingMetrics | None = None,
    ):
        self._connect_timeout_s = connect_timeout_s
        self._links = link_table or links.LinkTable(
            asyncio.get_running_loop().time, random.Random()
        )
        self._tunnels = tunnels
        self._metrics = metrics
        self._attempts: set[asyncio.Task] = set()
        # Number of other entries that are being asked for a connection.
        self._questions = 0
        self._idle: dict[str, collections.deque] = {}
        self._in_use_counts: collections.Counter[str] = collections.Counter()

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._attempts):
            task.cancel()
        await asyncio.gather(*self._attempts, return_exceptions=True)
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
        state = self._get_state(address)
        # Idle connections over a link that is cut may be silent for good.
        is_cut = state in (links.LinkState.CUT, links.LinkState.UNCERTAIN)
        if may_reuse and not is_cut:
            protocol = self._take_idle(address)
            if protocol is not None:
                self._in_use_counts[address] += 1
                return Connection(self, address, protocol, True)
        connect_timeout_s = self._connect_timeout_s
        if timeout_s is not None:
            connect_timeout_s = min(connect_timeout_s, timeout_s)
        if self._tunnels is None or state is links.LinkState.DIRECT:
            protocol, helper = await self._connect(address, connect_timeout_s)
        else:
            protocol, helper = await self._open_either_way(
                address, connect_timeout_s, state
            )
        self._in_use_counts[address] += 1
        return Connection(self, address, protocol, False, helper)

    def _get_state(self, address: str) -> links.LinkState:
        """Returns how to connect to an upstream."""
        state = self._links.get_state(address)
        if (
            state is links.LinkState.DOUBTFUL
            and not self._links.has_cuts()
            and self._questions >= MAX_QUESTIONS
        ):
            return links.LinkState.DIRECT
        return state

    async def _connect(
        self, address: str, timeout_s: float
    ) -> tuple[_Protocol, str]:
        """Connects to an upstream without the help of another entry."""
        loop = asyncio.get_running_loop()
        protocol = await self.connect_directly(
            address, lambda: make_protocol(loop), timeout_s
        )
        return protocol, ""

    async def connect_directly(
        self,
        address: str,
        make_protocol: Callable[[], asyncio.Protocol],
        timeout_s: float,
    ) -> asyncio.Protocol:
        """Returns a protocol that is connected to an upstream.

        Args:
            address: ``ip:port`` of the upstream.
            make_protocol: Makes the protocol.
            timeout_s: Timeout; that of the pool applies if it is shorter.

        Raises:
            UpstreamUnreachableError: The connection could not be opened.
        """
        loop = asyncio.get_running_loop()
        timeout_s = min(max(0.0, timeout_s), self._connect_timeout_s)
        host, port = addresses.parse_address(address)
        try:
            async with asyncio.timeout(timeout_s):
                transport, protocol = await loop.create_connection(
                    make_protocol, host, port
                )
        except (OSError, TimeoutError) as error:
            self._links.record_unreachable(address)
            raise exceptions.UpstreamUnreachableError(
                f"{address}: cannot connect ({_describe_error(error)});"
                " use another upstream"
            ) from error
        if self._links.record_reached(address):
            _log.info(logs.format_event("link_restored", address=address))
        _configure_socket(transport)
        return protocol

    async def _open_either_way(
        self, address: str, timeout_s: float, state: links.LinkState
    ) -> tuple[_Protocol, str]:
        """Connects directly or through another entry, whichever is first.

        Raises:
            UpstreamUnreachableError: Neither way leads to the upstream.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        direct = tunnel = used = None
        is_usual = state is links.LinkState.DOUBTFUL
        if is_usual or self._links.try_start_trial(address):
            direct = self._start(self._connect(address, timeout_s))
        try:
            if is_usual:
                await asyncio.wait({direct}, timeout=TUNNEL_DELAY_S)
                if _has_succeeded(direct):
                    used = direct
                    return direct.result()
            left_s = deadline_s - loop.time()
            if direct is not None and direct.done():
                # Refused, as by a dead upstream, which is to be found soon.
                left_s = min(left_s, SECOND_OPINION_TIMEOUT_S)
            tunnel = self._start(self._ask(address, left_s))
            used = await self._wait_for_either(
                direct, tunnel, None if is_usual else TUNNEL_DELAY_S
            )
            if used is tunnel and self._metrics is not None:
                self._metrics.tunnels_opened.inc()
            return used.result()
        finally:
            self._settle(address, direct, tunnel, used)

    async def _wait_for_either(
        self,
        direct: asyncio.Task | None,
        tunnel: asyncio.Task,
        rest_timeout_s: float | None,
    ) -> asyncio.Task:
        """Returns the first of two attempts that succeeds.

        Raises:
            UpstreamUnreachableError: Both have failed.
            NoHelperError: The same, but the links of this entry are known to
                be at fault, and no other entry could tell.
        """
        tasks = [task for task in (direct, tunnel) if task is not None]
        try:
            return await _wait_for_success(tasks, rest_timeout_s)
        except exceptions.UpstreamUnreachableError:
            if (
                isinstance(_get_error(tunnel), exceptions.NoHelperError)
                and self._links.has_fault()
            ):
                raise _get_error(tunnel) from None
            raise

    def _settle(
        self,
        address: str,
        direct: asyncio.Task | None,
        tunnel: asyncio.Task | None,
        used: asyncio.Task | None,
    ) -> None:
        """Records the state of a link, and closes a second connection.

        Attempts that are still pending go on for that, unless the direct
        connection is used.

        Args:
            address: ``ip:port`` of the upstream.
            direct: Opens a direct connection; None if not started.
            tunnel: Opens a connection through another entry; None if not
                started.
            used: The one whose connection is used; None if there is none.
        """
        if direct is not None and _has_succeeded(direct) and tunnel is not None:
            tunnel.cancel()
        for task in (direct, tunnel):
            if task is None or task is used:
                continue
            if not task.done():
                task.add_done_callback(
                    lambda _: self._settle(address, direct, tunnel, used)
                )
                return
            if _has_succeeded(task):
                task.result()[0].abort()
        if direct is None or tunnel is None or _get_error(direct) is None:
            return
        if _has_succeeded(tunnel):
            self._record_cut(address, tunnel.result()[1], _get_error(direct))
        elif not isinstance(
            _get_error(tunnel), exceptions.NoHelperError | None
        ):
            self._links.record_dead(address)

    async def _ask(
        self, address: str, timeout_s: float
    ) -> tuple[_Protocol, str]:
        """Connects to an upstream through another entry."""
        loop = asyncio.get_running_loop()
        self._questions += 1
        try:
            return await self._tunnels.open(
                address, lambda: make_protocol(loop), timeout_s
            )
        finally:
            self._questions -= 1

    def _start(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that the pool cancels when it is closed."""
        task = asyncio.create_task(work)
        self._attempts.add(task)
        task.add_done_callback(self._attempts.discard)
        return task

    async def check_link(self, address: str) -> bool | None:
        """Asks another entry whether it reaches an upstream.

        Returns:
            Whether it does, so that the link of this entry is cut; None if no
            entry could be asked.
        """
        if self._tunnels is None:
            return None
        try:
            protocol, helper = await self._ask(address, self._connect_timeout_s)
        except exceptions.NoHelperError:
            return None
        except exceptions.UpstreamUnreachableError:
            self._links.record_dead(address)
            return False
        protocol.abort()
        self._record_cut(address, helper, "found by a check")
        return True

    def _record_cut(self, address: str, helper: str, why: object) -> None:
        if self._links.record_cut(address):
            _log.info(
                logs.format_event(
                    "link_cut", address=address, helper=helper, why=why
                )
            )

    def record_reported(self, address: str) -> None:
        """Records that another upstream or entry cannot reach an upstream."""
        self._links.record_reported(address)

    def is_reported(self, address: str) -> bool:
        """Returns whether an upstream seems dead not only to this entry."""
        return self._links.is_reported(address)

    def is_isolated(self) -> bool:
        """Returns whether this entry seems to reach no upstream by itself."""
        return self._links.is_isolated()

    def is_way_lost(self, connection: Connection) -> bool:
        """Returns whether no more data is expected on an open connection.

        It goes over a link that is cut, or through an entry that is gone.
        """
        if connection.helper:
            return not self._tunnels.is_available(connection.helper)
        state = self._links.get_state(connection.address)
        return state is links.LinkState.CUT

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


async def _wait_for_success(
    tasks: list[asyncio.Task], rest_timeout_s: float | None
) -> asyncio.Task:
    """Returns the first task that succeeds.

    Args:
        tasks: The tasks.
        rest_timeout_s: How long to wait for the others once one has failed;
            None for no limit.

    Raises:
        UpstreamUnreachableError: All have failed, or did not end in time.
    """
    pending, timeout_s = set(tasks), None
    while pending:
        done, pending = await asyncio.wait(
            pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if _has_succeeded(task):
                return task
        if not done:
            break
        timeout_s = rest_timeout_s
    # The error of the direct connection says more; it comes first.
    errors = filter(None, map(_get_error, tasks))
    raise next(
        errors,
        exceptions.UpstreamUnreachableError(
            "all attempts to connect were cancelled; use another upstream"
        ),
    )


def _get_error(task: asyncio.Task) -> BaseException | None:
    """Returns the error of a task that has failed and was not cancelled."""
    is_ended = task.done() and not task.cancelled()
    return task.exception() if is_ended else None


def _has_succeeded(task: asyncio.Task) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


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
