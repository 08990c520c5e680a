"""HTTP listening sockets as async context managers."""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
import dataclasses
import enum
import math

from aiohttp import web_protocol
import aiohttp.web

from fuchsiabarrow import exceptions
from fuchsiabarrow.utils import addresses

__all__ = [
    "CloseCause",
    "Connection",
    "Listener",
    "Server",
    "ServerListener",
    "TimeLimits",
]

SHUTDOWN_TIMEOUT_S = 2.0
# Time for the handler of a request that is cut to release what it holds.
CUT_TIMEOUT_S = 0.02
LISTEN_BACKLOG = 1024
# A connection counts as idle once no data has arrived for this long.
IDLE_AFTER_S = 0.04
# Time after which a caller that takes no bytes of its answer is cut off. The
# kernel passes on data in steps of up to a megabyte, for which a slow link
# needs some time.
STALLED_WRITE_S = 30.0


class Listener:
    """Owns the listening socket of an application.

    Attributes:
        address: ``ip:port``; after the start, the one bound to.

    Args:
        app: Application to serve.
        address: ``ip:port`` to bind; port 0 picks a free port.
        shutdown_timeout_s: Time for responses on leaving, and again for the
            end of their handlers.

    Raises:
        SettingsError: On entering, if the address cannot be bound.
    """

    def __init__(
        self,
        app: aiohttp.web.Application,
        address: str,
        shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    ):
        self.address = address
        self._runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=shutdown_timeout_s
        )

    async def __aenter__(self) -> "Listener":
        host, port = addresses.parse_address(self.address)
        await self._runner.setup()
        try:
            await aiohttp.web.TCPSite(self._runner, host, port).start()
        except OSError as error:
            await self._runner.cleanup()
            raise exceptions.SettingsError(
                f"cannot listen on {self.address} ({error.strerror});"
                " configure a free address of this instance"
            ) from error
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._runner.cleanup()


class CloseCause(enum.Enum):
    """What ended a connection of a server.

    Attributes:
        CALLER: The caller closed or reset it, or it failed.
        IDLE_LIMIT: No request was completed on it in time.
        SHUTDOWN: The server was shut down while the connection was idle.
        SHUTDOWN_LIMIT: The server was shut down and did not wait any longer for
            the response to its request.
        SLOW_CALLER: The caller took no bytes of its answer for
            `STALLED_WRITE_S`.
        SERVER: The server closed it for another reason, such as an error.
    """

    CALLER = "caller"
    IDLE_LIMIT = "idle_limit"
    SHUTDOWN = "shutdown"
    SHUTDOWN_LIMIT = "shutdown_limit"
    SLOW_CALLER = "slow_caller"
    SERVER = "server"


@dataclasses.dataclass(frozen=True, slots=True)
class TimeLimits:
    """Time limits of a server's connections.

    Attributes:
        idle_s: Time without a request after which a connection is closed.
        head_s: Time for the rest of a head after its first part.
    """

    idle_s: float
    head_s: float


class Connection(web_protocol.RequestHandler):
    """Server connection that records its last data and what ended it.

    It is closed once it has been idle for the limit in force, but not before
    the limit that was in force when it became idle, which its caller may know.

    Attributes:
        last_received_s: Loop time at which data last arrived.
        has_partial_request: Whether the last data was a part of the head of a
            request, while none was being served.
        close_cause: What ended the connection, None while it is open.
        close_error: Name of the error with which it ended, if any.
        request_id: Id of its last request, set by the handler for the log.
    """

    __slots__ = (
        "_close_s",
        "_head_began_s",
        "_idle_since_s",
        "_sending_transport",
        "close_cause",
        "close_error",
        "has_partial_request",
        "last_received_s",
        "request_id",
    )

    def __init__(self, manager, *, loop: asyncio.AbstractEventLoop, **options):
        # The library's timer only starts `_process_keepalive`, which sets the
        # next one: the library keeps the limit that a connection began with.
        super().__init__(
            manager, loop=loop, keepalive_timeout=IDLE_AFTER_S, **options
        )
        self.last_received_s = loop.time()
        self.has_partial_request = False
        self._head_began_s = 0.0
        self._become_idle()
        self.close_cause: CloseCause | None = None
        self.close_error = ""
        self.request_id = ""
        # Still sends after the base class has closed and forgotten it.
        self._sending_transport: asyncio.Transport | None = None

    @property
    def is_answering(self) -> bool:
        """Whether a request is served, or its answer not sent to its end."""
        transport = self._sending_transport
        return self._request_in_progress or (
            transport is not None and transport.get_write_buffer_size() > 0
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implements `asyncio.Protocol.connection_made`."""
        self._sending_transport = transport
        super().connection_made(transport)

    @property
    def is_waiting(self) -> bool:
        """Whether it waits for a request, and has read none without answer."""
        return self._waiter is not None and not self._waiter.done()

    @property
    def has_next_request(self) -> bool:
        """Whether a request was read that follows the one being served."""
        return bool(self._messages)

    async def start(self) -> None:
        """Serves the requests of the connection until it is closed."""
        transport = self.transport
        try:
            await super().start()
        finally:
            if transport is not None:
                self._abort_if_stalled(transport, math.inf)

    def _abort_if_stalled(
        self, transport: asyncio.Transport, previous_bytes: float
    ) -> None:
        """Aborts a closed connection whose caller takes no bytes any more."""
        unsent_bytes = transport.get_write_buffer_size()
        if unsent_bytes >= previous_bytes:
            transport.abort()
            is_told = self.close_cause is CloseCause.SERVER
            if self._manager is not None and not is_told:
                self.close_cause = CloseCause.SLOW_CALLER
                self._manager.report_cut(self)
        elif unsent_bytes:
            self._loop.call_later(
                STALLED_WRITE_S, self._abort_if_stalled, transport, unsent_bytes
            )

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol.data_received`."""
        self.last_received_s = self._loop.time()
        super().data_received(data)
        was_partial = self.has_partial_request
        self.has_partial_request = (
            self._waiter is not None and not self._messages
        )
        if self.has_partial_request and not was_partial:
            self._head_began_s = self.last_received_s

    def force_close(self) -> None:
        """Closes the connection."""
        if self.close_cause is None:
            self.close_cause = CloseCause.SERVER
        is_cut = (
            self.transport is not None
            and self.has_partial_request
            and self.close_cause is not CloseCause.CALLER
        )
        if is_cut and self._manager is not None:
            self._manager.report_cut(self)
        super().force_close()

    def close_as(self, cause: CloseCause) -> None:
        """Closes the connection and records the cause."""
        if self.close_cause is None:
            self.close_cause = cause
        self.force_close()

    async def shutdown(self, timeout: float | None = CUT_TIMEOUT_S) -> None:
        """Closes the connection without waiting for its response.

        Args:
            timeout: Time for the handler to end, in seconds.
        """
        is_serving, is_answering = self._request_in_progress, self.is_answering
        if self.close_cause is None or is_answering:
            self.close_cause = CloseCause.SHUTDOWN_LIMIT
        handler_task = self._task_handler
        if handler_task is not None:
            handler_task.cancel()
            await asyncio.wait({handler_task}, timeout=timeout)
        self.force_close()
        if is_answering and self._sending_transport is not None:
            # Would otherwise go on sending.
            self._sending_transport.abort()
            if not is_serving and self._manager is not None:
                self._manager.report_cut(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Implements `asyncio.Protocol.connection_lost`."""
        if self.transport is not None:
            self.close_cause = CloseCause.CALLER
        if exc is not None:
            self.close_error = type(exc).__name__
        self._sending_transport = None
        super().connection_lost(exc)

    async def _drain_helper(self) -> None:
        """Waits until the caller has taken data; cuts off one that stalls."""
        timer = None

        def check_progress(previous_bytes: float) -> None:
            nonlocal timer
            if self.transport is None:
                return
            # Nothing is written meanwhile.
            unsent_bytes = self.transport.get_write_buffer_size()
            if unsent_bytes < previous_bytes:
                timer = self._loop.call_later(
                    STALLED_WRITE_S, check_progress, unsent_bytes
                )
                return
            # Closing alone would wait for the caller to take the rest.
            self.transport.abort()
            self.close_as(CloseCause.SLOW_CALLER)

        check_progress(math.inf)
        try:
            await super()._drain_helper()
        finally:
            if timer is not None:
                timer.cancel()

    def _become_idle(self) -> None:
        self._idle_since_s = self._loop.time()
        self._close_s = self._idle_since_s
        self._update_close_s()

    def _update_close_s(self) -> None:
        """Applies the limits in force to the time of the close."""
        if self._manager is None:
            return  # The connection was lost.
        limits = self._manager.get_time_limits()
        self._close_s = max(self._close_s, self._idle_since_s + limits.idle_s)
        if self.has_partial_request:
            self._close_s = max(
                self._close_s, self._head_began_s + limits.head_s
            )

    async def _handle_request(self, *details):
        try:
            return await super()._handle_request(*details)
        finally:
            self._become_idle()

    def _process_keepalive(self) -> None:
        """Closes the connection at its limit, or sets the next timer."""
        self._keepalive_handle = None
        if self._force_close or self._request_in_progress:
            return  # The library sets the timer again after the response.
        self._update_close_s()
        now_s = self._loop.time()
        if self.is_waiting and now_s >= self._close_s:
            self.close_as(CloseCause.IDLE_LIMIT)
            return
        self._keepalive_handle = self._loop.call_at(
            max(self._close_s, now_s + IDLE_AFTER_S), self._process_keepalive
        )


class Server(aiohttp.web.Server):
    """Low-level server whose connections record what ended them.

    Args:
        handler: Serves one request.
        get_time_limits: Returns the limits in force.
        on_cut: Called with each connection that the server closes after only a
            part of a request's head has arrived, or before an answer was sent
            to its end whose handler has ended.
        options: Options of `aiohttp.web.Server`.
    """

    def __init__(
        self,
        handler: Callable,
        get_time_limits: Callable[[], TimeLimits],
        on_cut: Callable[[Connection], None] | None = None,
        **options,
    ):
        super().__init__(handler, **options)
        self.get_time_limits = get_time_limits
        self._on_cut = on_cut

    def report_cut(self, connection: Connection) -> None:
        """Reports a connection that is closed without its handler's notice."""
        if self._on_cut is not None:
            self._on_cut(connection)

    def __call__(self) -> Connection:
        """Returns the protocol of a new connection."""
        return Connection(self, loop=self._loop, **self._kwargs)


class ServerListener:
    """Owns the listening socket of a low-level server without routes.

    Leaving it cuts the requests that are still served.

    Args:
        server: Creates the protocol object of each connection.
        address: ``ip:port`` to bind.

    Raises:
        SettingsError: On entering, if the address cannot be bound.
    """

    def __init__(self, server: Server, address: str):
        self._server = server
        self._address = address
        self._socket_server: asyncio.Server | None = None

    @property
    def connections(self) -> list[Connection]:
        """The connections that are open or still send."""
        return self._server.connections

    async def __aenter__(self) -> "ServerListener":
        loop = asyncio.get_running_loop()
        host, port = addresses.parse_address(self._address)
        try:
            self._socket_server = await loop.create_server(
                self._server, host, port, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            raise exceptions.SettingsError(
                f"cannot listen on {self._address} ({error.strerror});"
                " configure a free address of this instance"
            ) from error
        return self

    def stop_accepting(self) -> None:
        """Stops accepting new connections."""
        if self._socket_server is not None:
            self._socket_server.close()
            self._socket_server = None

    def close_idle(self, busy: Collection[asyncio.BaseProtocol]) -> None:
        """Closes all idle connections.

        A connection on which data has just arrived is kept: its request may not
        have reached the handler yet.

        Args:
            busy: Connections with a request in progress.
        """
        now_s = asyncio.get_running_loop().time()
        for connection in self._server.connections:
            is_idle = now_s - connection.last_received_s > IDLE_AFTER_S
            if connection not in busy and connection.is_waiting and is_idle:
                connection.close_as(CloseCause.SHUTDOWN)

    def pause_reading(self) -> None:
        """Leaves further requests on the open connections unread."""
        for connection in self._server.connections:
            if connection.transport is not None:
                connection.transport.pause_reading()

    async def cut(self) -> int:
        """Closes all connections; returns how many answers it cuts."""
        count = sum(c.is_answering for c in self.connections)
        await self._server.shutdown(CUT_TIMEOUT_S)
        return count

    async def __aexit__(self, *exc_info) -> None:
        self.stop_accepting()
        await self.cut()
