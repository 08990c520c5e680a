"""HTTP listening sockets as async context managers."""

import asyncio
from collections.abc import Collection

from aiohttp import web_protocol
import aiohttp.web

from fuchsiabarrow import exceptions
from fuchsiabarrow.utils import addresses

__all__ = ["Listener", "Server", "ServerListener"]

SHUTDOWN_TIMEOUT_S = 2.0
LISTEN_BACKLOG = 1024
# A connection counts as idle once no data has arrived for this long.
IDLE_AFTER_S = 0.04


class Listener:
    """Owns the listening socket of an application.

    Attributes:
        address: ``ip:port``; after the start, the one bound to.

    Args:
        app: Application to serve.
        address: ``ip:port`` to bind; port 0 picks a free port.

    Raises:
        SettingsError: On entering, if the address cannot be bound.
    """

    def __init__(self, app: aiohttp.web.Application, address: str):
        self.address = address
        self._runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
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


class _Connection(web_protocol.RequestHandler):
    """Server connection that records when data last arrived."""

    __slots__ = ("last_received_s",)

    def __init__(self, manager, *, loop: asyncio.AbstractEventLoop, **options):
        super().__init__(manager, loop=loop, **options)
        self.last_received_s = loop.time()

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol.data_received`."""
        self.last_received_s = self._loop.time()
        super().data_received(data)


class Server(aiohttp.web.Server):
    """Low-level server whose connections record when data last arrived."""

    def __call__(self) -> _Connection:
        """Returns the protocol of a new connection."""
        return _Connection(self, loop=self._loop, **self._kwargs)


class ServerListener:
    """Owns the listening socket of a low-level server without routes.

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
            if connection not in busy and is_idle:
                connection.force_close()

    async def __aexit__(self, *exc_info) -> None:
        self.stop_accepting()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
