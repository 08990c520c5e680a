"""HTTP server that answers with any bytes, also with what HTTP forbids."""

import asyncio
from collections.abc import Callable
import dataclasses


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A request as received; names of headers are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # Number of the connection, and of the request on it, from 0.
    connection: int
    position: int


def make_answer(
    status: str, body: bytes = b"[]", headers: dict[str, str] | None = None
) -> bytes:
    """Returns an answer with any text as its status."""
    lines = [f"HTTP/1.1 {status} Any", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RawServer:
    """Answers the requests on each connection one after another.

    Attributes:
        requests: All requests received.

    Args:
        answer: Returns the bytes of the answer to a request.
    """

    def __init__(self, answer: Callable[[RawRequest], bytes]):
        self.requests: list[RawRequest] = []
        self._answer = answer
        self._server: asyncio.Server | None = None
        self._connections = 0

    @property
    def address(self) -> str:
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def __aenter__(self) -> "RawServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *details) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        connection, position = self._connections, 0
        self._connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.rstrip().split("\r\n")
                pairs = (line.partition(":") for line in lines)
                headers = {n.lower(): v.strip() for n, _, v in pairs}
                body = await reader.readexactly(
                    int(headers.get("content-length", 0))
                )
                method, target, _ = first.split()
                request = RawRequest(
                    method, target, headers, body, connection, position
                )
                position += 1
                self.requests.append(request)
                writer.write(self._answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
