"""A loopback TCP proxy that delays, holds, resets or drops traffic."""

import asyncio
from collections.abc import Callable
import contextlib
import enum
import socket
import struct

from fuchsiabarrow.utils import addresses

__all__ = ["CutShape", "Proxy"]

CHUNK_BYTES = 65_536
# SO_LINGER with time-out 0: closing sends a TCP reset instead of a FIN.
LINGER_OPTION = struct.pack("ii", 1, 0)
POLL_INTERVAL_S = 0.01


class CutShape(enum.Enum):
    """What happens to connections while a link is cut.

    Attributes:
        HANG: Nothing arrives in either direction until the cut ends; new
            connections get no answer.
        RESET: Connections are reset, and new ones are refused.
        REFUSE: Connections go on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


class Proxy:
    """Forwards connections to one address.

    Attributes:
        delay_s: Delay of forwarded data.
        drops_requests: Whether data sent to the target is discarded.
        drops_responses: Whether data received from the target is discarded.
        refuses: Whether new connections are reset at once.
        is_silent: Whether data received from the target waits until this ends.
        is_hanging: Whether data, and the end of connections, wait until this
            ends, in both directions.

    Args:
        target: ``ip:port`` to forward to.
        address: ``ip:port`` to listen on.
        source_host: Address from which it connects to the target.
    """

    def __init__(
        self,
        target: str,
        address: str = "127.0.0.1:0",
        source_host: str = "127.0.0.1",
    ):
        self.delay_s = 0.0
        self.drops_requests = False
        self.drops_responses = False
        self.refuses = False
        self.is_silent = False
        self.is_hanging = False
        self._target = target
        self._address = address
        self._source_host = source_host
        self._full_sockets: list[socket.socket] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "Proxy":
        await self._listen()
        host, port = self._server.sockets[0].getsockname()[:2]
        self._address = f"{host}:{port}"
        return self

    async def __aexit__(self, *details) -> None:
        self._server.close()
        self._close_full_sockets()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def address(self) -> str:
        """``ip:port`` that it listens on."""
        return self._address

    async def _listen(self) -> None:
        host, port = addresses.parse_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def clear_faults(self) -> None:
        """Ends all faults but a cut; data discarded before stays lost."""
        self.delay_s = 0.0
        self.drops_requests = self.drops_responses = self.refuses = False
        self.is_silent = False

    def cut(self, shape: CutShape) -> None:
        """Cuts the link; `end_cut` ends this."""
        self._server.close()
        if shape is CutShape.HANG:
            self.is_hanging = True
            self._listen_without_answer()
        elif shape is CutShape.RESET:
            self.reset()

    async def end_cut(self) -> None:
        """Ends a cut."""
        self._close_full_sockets()
        await self._listen()
        self.is_hanging = False

    def _listen_without_answer(self) -> None:
        # The system ignores new connections to a socket whose queue is full.
        host, port = addresses.parse_address(self._address)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(0)
        self._full_sockets = [listener, _start_connecting(host, port)]

    def _close_full_sockets(self) -> None:
        for sock in self._full_sockets:
            sock.close()
        self._full_sockets = []

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
                host, port, local_addr=(self._source_host, 0)
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
                        reader,
                        target_writer,
                        lambda: self.drops_requests,
                        lambda: self.is_hanging,
                    )
                )
                group.create_task(
                    self._forward(
                        target_reader,
                        writer,
                        lambda: self.drops_responses,
                        lambda: self.is_hanging or self.is_silent,
                    )
                )
        except* OSError:
            for end in pair:
                _reset(end)
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _forward(self, reader, writer, is_dropped, is_held) -> None:
        while True:
            try:
                data = await reader.read(CHUNK_BYTES)
            except OSError:
                await _wait_while(is_held)
                raise
            await _wait_while(is_held)
            if not data:
                break
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not is_dropped():
                writer.write(data)
                await writer.drain()
        # Closes this direction only; the other may still carry data.
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()


async def _wait_while(is_held: Callable[[], bool]) -> None:
    while is_held():
        await asyncio.sleep(POLL_INTERVAL_S)


def _start_connecting(host: str, port: int) -> socket.socket:
    """Starts a connection that takes the place in the queue of a listener.

    It is not waited for: if a connection of an entry took the place before, it
    is never accepted.
    """
    connecting = socket.socket()
    connecting.setblocking(False)
    connecting.connect_ex((host, port))
    return connecting


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OPTION)
    writer.transport.abort()
