"""A caller that reads slowly and sees every byte on its connection."""

import asyncio
import contextlib
import dataclasses
import socket

from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness

RECEIVE_BUFFER_BYTES = 65_536
# Of the answer: more than the buffers of both sockets hold together.
LARGE_BYTES = 6 * 1_048_576
QUIET_S = 0.2


@dataclasses.dataclass(frozen=True)
class Response:
    """A response as received.

    Attributes:
        status: HTTP status.
        request_id: Id of the request that it answers; empty if it has none.
        body: Body, without its framing.
    """

    status: int
    request_id: str
    body: bytes


class SlowCaller:
    """A caller's connection, which is read only on demand.

    Args:
        reader: Stream of the received bytes.
        writer: Stream of the sent bytes.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self._reader = reader
        self._writer = writer

    def send(
        self, request_id: str, target: str, *headers: str, method: str = "GET"
    ) -> None:
        """Sends a request without a body."""
        lines = [
            f"{method} {target} HTTP/1.1",
            f"Host: {entry_harness.HOST}",
            f"{wire_names.ATTEMPT_ID}: {request_id}",
            f"{wire_names.AUTHORIZATION}: Token key-1",
            f"{wire_names.DEADLINE_MS}: 20000",
            *headers,
        ]
        self._writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def read_response(self) -> Response:
        """Returns the next response.

        Raises:
            EOFError: The connection ended before the end of the response.
        """
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        status_line, *lines = head.strip().split("\r\n")
        headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines)
        }
        if "content-length" in headers:
            body = await self._reader.readexactly(
                int(headers["content-length"])
            )
        else:
            body = await self._read_chunks()
        request_id = headers.get(wire_names.ATTEMPT_ID.lower(), "")
        return Response(int(status_line.split()[1]), request_id, body)

    async def _read_chunks(self) -> bytes:
        chunks = []
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            data = await self._reader.readexactly(size + 2)
            if not size:
                return b"".join(chunks)
            chunks.append(data[:-2])

    async def read_rest(self) -> bytes:
        """Returns what arrives until the connection ends or is quiet."""
        received = b""
        with contextlib.suppress(TimeoutError):
            while True:
                async with asyncio.timeout(QUIET_S):
                    data = await self._reader.read(65_536)
                if not data:
                    break
                received += data
        return received

    async def wait_for_end(self) -> None:
        """Reads until the connection ends."""
        with contextlib.suppress(ConnectionError):
            while await self._reader.read(1_048_576):
                pass


@contextlib.asynccontextmanager
async def connect(harness: entry_harness.EntryHarness):
    """Opens a caller's connection to the entry under test."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(
        sock, ("127.0.0.1", harness.ports[0])
    )
    reader, writer = await asyncio.open_connection(sock=sock)
    try:
        yield SlowCaller(reader, writer)
    finally:
        writer.transport.abort()
