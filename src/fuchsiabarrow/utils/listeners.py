"""Listening HTTP sockets as services."""

import asyncio

import aiohttp.web

from fuchsiabarrow import exceptions
from fuchsiabarrow.utils import addresses

__all__ = ["Listener", "ServerListener"]

SHUTDOWN_TIMEOUT_S = 2.0
LISTEN_BACKLOG = 1024


class Listener:
    """Owns the listening socket of an application.

    Attributes:
        address: ``ip:port`` bound to, once started.

    Args:
        app: Application to serve.
        address: ``ip:port`` to bind; port 0 takes a free one.

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
                f"cannot listen on {self.address} ({error.strerror}); give the"
                " entry a free address of this instance"
            ) from error
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *details) -> None:
        await self._runner.cleanup()


class ServerListener:
    """Owns the listening socket of a server without routes of its own.

    Args:
        server: Makes the protocol of each connection.
        address: ``ip:port`` to bind.

    Raises:
        SettingsError: On entering, if the address cannot be bound.
    """

    def __init__(self, server: aiohttp.web.Server, address: str):
        self._server = server
        self._address = address
        self._listening: asyncio.Server | None = None

    async def __aenter__(self) -> "ServerListener":
        loop = asyncio.get_running_loop()
        host, port = addresses.parse_address(self._address)
        try:
            self._listening = await loop.create_server(
                self._server, host, port, backlog=LISTEN_BACKLOG
            )
        except OSError as error:
            raise exceptions.SettingsError(
                f"cannot listen on {self._address} ({error.strerror}); give"
                " the entry a free address of this instance"
            ) from error
        return self

    async def stop_accepting(self) -> None:
        """Takes no new connections and closes idle ones."""
        if self._listening is not None:
            self._listening.close()
            self._listening = None
        self._server.pre_shutdown()

    async def __aexit__(self, *details) -> None:
        await self.stop_accepting()
        await self._server.shutdown(SHUTDOWN_TIMEOUT_S)
