"""A loopback proxy: delays, resets, cuts one way or silences connections."""

import asyncio
import contextlib
import socket
import struct

__all__ = ["Proxy"]

CHUNK_BYTES = 65_536
# Closes with a reset instead of an end.
LINGER_RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Passes connections on to one address.

    Attributes:
        delay_s: Time that bytes are held up.
        cuts_requests: Whether bytes towards the target vanish.
        cuts_answers: Whether bytes from the target vanish.
        refuses: Whether new connections are reset at once.

    Args:
        target: ``ip:port`` to connect to.
    """

    def __init__(self, target: str):
        self.delay_s = 0.0
        self.cuts_requests = False
        self.cuts_answers = False
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

    def heal(self) -> None:
        """Ends all faults; what was swallowed stays lost."""
        self.delay_s = 0.0
        self.cuts_requests = self.cuts_answers = self.refuses = False

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
            # Only the end of the proxy cancels; the server would log it.
            _reset(writer)
        finally:
            self._tasks.discard(task)

    async def _connect(self, reader, writer) -> None:
        if self.refuses:
            _reset(writer)
            return
        host, port = self._target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            _reset(writer)
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._pump(reader, far_writer, lambda: self.cuts_requests)
                )
                group.create_task(
                    self._pump(far_reader, writer, lambda: self.cuts_answers)
                )
        except* OSError:
            for end in pair:
                _reset(end)
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _pump(self, reader, writer, is_cut) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not is_cut():
                writer.write(data)
                await writer.drain()
        # An end is passed on once all bytes are.
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
