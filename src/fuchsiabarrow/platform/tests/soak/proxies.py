"""A loopback TCP proxy that delays, resets or drops traffic."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536
# SO_LINGER with time-out 0: closing sends a TCP reset instead of a FIN.
LINGER_OPTION = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections to one address.

    Attributes:
        delay_s: Delay of forwarded data.
        drops_requests: Whether data sent to the target is discarded.
        drops_responses: Whether data received from the target is discarded.
        refuses: Whether new connections are reset at once.

    Args:
        target: ``ip:port`` to forward to.
    """

    def __init__(self, target: str):
        self.delay_s = 0.0
        self.drops_requests = False
        self.drops_responses = False
        self.refuses = False
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Proxy":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *details) -> None:
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def address(self) -> str:
        """``ip:port`` that it listens on."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def clear_faults(self) -> None:
        """Ends all faults; data discarded before stays lost."""
        self.delay_s = 0.0
        self.drops_requests = self.drops_responses = self.refuses = False

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._connect(reader, writer)
        except asyncio.CancelledError:
            # Cancelled only when the proxy closes; not re-raised, since the
            # server would log it as an error.
            _reset(writer)
        finally:
            self._tasks.discard(task)

    async def _connect(self, reader, writer) -> None:
        if self.refuses:
            _reset(writer)
            return
        host, port = self._target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, port
            )
        except OSError:
            _reset(writer)
            return
        pair = {writer, target_writer}
        self._writers |= pair
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._forward(
                        reader, target_writer, lambda: self.drops_requests
                    )
                )
                group.create_task(
                    self._forward(
                        target_reader, writer, lambda: self.drops_responses
                    )
                )
        except* OSError:
            for end in pair:
                _reset(end)
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _forward(self, reader, writer, is_dropped) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not is_dropped():
                writer.write(data)
                await writer.drain()
        # Closes this direction only; the other may still carry data.
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OPTION)
    writer.transport.abort()
