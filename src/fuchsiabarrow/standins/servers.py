"""HTTP server on the loopback interface that can be stopped abruptly."""

import aiohttp.web

__all__ = ["Server"]

MAX_BODY_BYTES = 4 * 1024 * 1024
SHUTDOWN_TIMEOUT_S = 0.1


class Server:
    """Owns the listening socket of one stand-in.

    Args:
        app: Application to serve.
        port: Port on the loopback interface; 0 picks a free one.
    """

    def __init__(self, app: aiohttp.web.Application, port: int = 0):
        self._runner = aiohttp.web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        self._port = port
        self.address = ""

    async def __aenter__(self) -> "Server":
        await self._runner.setup()
        site = aiohttp.web.TCPSite(self._runner, "127.0.0.1", self._port)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._runner.cleanup()

    def reset_connections(self) -> None:
        """Resets all connections; new ones are still accepted."""
        if self._runner.server is None:
            return
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def kill(self) -> None:
        """Resets all connections and stops listening."""
        self.reset_connections()
        await self._runner.cleanup()
