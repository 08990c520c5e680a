"""Connections of callers on which every byte is accounted for."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import enum
import socket

from fuchsiabarrow.utils import addresses

__all__ = ["Answer", "Connection", "Connections", "Ending", "make_request"]

# Small, so that a large answer waits at the entry while a caller does not read.
RECEIVE_BUFFER_BYTES = 65_536
# Part of unexpected bytes that a violation names.
MAX_SHOWN_BYTES = 200


class Ending(enum.Enum):
    """How a request ended for its caller.

    Attributes:
        ANSWERED: With a complete answer.
        NO_CONNECTION: It was not sent, as no connection was accepted.
        NO_HEAD: The connection ended before any byte of the answer.
        IN_ANSWER: The connection ended within the answer.
        BEHIND_LAST: The answer to a request before it on its connection
            announced that it was the last one there, or was cut off.
        GIVEN_UP: The caller has closed the connection.
    """

    ANSWERED = "answered"
    NO_CONNECTION = "no_connection"
    NO_HEAD = "no_head"
    IN_ANSWER = "in_answer"
    BEHIND_LAST = "behind_last"
    GIVEN_UP = "given_up"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller received for one request.

    Attributes:
        ending: How the request ended.
        status: HTTP status, None without a head.
        body: Body of a complete answer.
        is_last: Whether the answer announced the end of the connection.
        at_s: Loop time at which it ended.
    """

    ending: Ending
    status: int | None = None
    body: bytes = b""
    is_last: bool = False
    at_s: float = 0.0


def make_request(path: str, headers: dict[str, str], body: bytes) -> bytes:
    """Returns the bytes of a POST request."""
    lines = [f"POST {path} HTTP/1.1"]
    headers = {**headers, "Content-Length": str(len(body))}
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


def _parse_head(data: bytearray) -> tuple[int, dict[str, str], int] | None:
    """Returns status, headers and length of a head, None if incomplete."""
    start = b"HTTP/1.1 "
    if not data.startswith(start[: len(data)]):
        raise ValueError("not the start of an answer")
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    status_line, *lines = data[:end].decode("latin-1").split("\r\n")
    pairs = [line.partition(":")[::2] for line in lines]
    headers = {name.lower(): value.strip().lower() for name, value in pairs}
    return int(status_line.split()[1]), headers, end + 4


def _parse_chunks(data: bytearray, begin: int) -> tuple[bytes, int] | None:
    """Returns a chunked body and its end, None if incomplete."""
    body = b""
    while (line_end := data.find(b"\r\n", begin)) >= 0:
        size = int(data[begin:line_end], 16)
        begin = line_end + 2
        if len(data) < begin + size + 2:
            break
        body += data[begin : begin + size]
        begin += size + 2
        if size == 0:
            return body, begin
    return None


def _parse_answer(data: bytearray, at_s: float) -> tuple[Answer, int] | None:
    """Returns the first answer and its length, None if incomplete."""
    parsed = _parse_head(data)
    if parsed is None:
        return None
    status, headers, begin = parsed
    if headers.get("transfer-encoding") == "chunked":
        framed = _parse_chunks(data, begin)
        if framed is None:
            return None
        body, end = framed
    else:
        end = begin + int(headers["content-length"])
        if len(data) < end:
            return None
        body = bytes(data[begin:end])
    is_last = headers.get("connection") == "close"
    return Answer(Ending.ANSWERED, status, body, is_last, at_s), end


class Connection(asyncio.Protocol):
    """One connection of a caller to an entry.

    Attributes:
        is_open: Whether a request may be sent on it.

    Args:
        entry: Name of the entry, for violations.
        report_violation: Called with the description of a violation.
    """

    def __init__(self, entry: str, report_violation: Callable[[str], None]):
        self.is_open = False
        self._entry = entry
        self._report_violation = report_violation
        self._name = ""
        self._transport: asyncio.Transport | None = None
        self._data = bytearray()
        self._pending: collections.deque[tuple[str, asyncio.Future]] = (
            collections.deque()
        )
        self._last_id = "no request"

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Implements `asyncio.Protocol.connection_made`."""
        self._transport = transport
        host, port = transport.get_extra_info("sockname")
        self._name = f"connection {host}:{port} to {self._entry}"
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol.data_received`."""
        self._data += data
        while self._data:
            if not self._pending:
                self._report_bytes("bytes that no request asked for")
                return
            try:
                parsed = _parse_answer(self._data, self._read_time_s())
            except (KeyError, ValueError) as error:
                self._report_bytes(f"invalid answer ({error!r})")
                return
            if parsed is None:
                return
            answer, length = parsed
            del self._data[:length]
            self._end_next(answer)
            if answer.is_last:
                self.is_open = False
                self._end_all(Ending.BEHIND_LAST)

    def connection_lost(self, error: Exception | None) -> None:
        """Implements `asyncio.Protocol.connection_lost`."""
        self.is_open = False
        if self._pending:
            head = _parse_head(self._data) if self._data else None
            ending = Ending.IN_ANSWER if self._data else Ending.NO_HEAD
            self._end_next(
                Answer(ending, head and head[0], b"", True, self._read_time_s())
            )
        self._end_all(Ending.BEHIND_LAST)

    def close(self) -> None:
        """Closes the connection; its pending requests are given up."""
        self.is_open = False
        self._end_all(Ending.GIVEN_UP)
        self._transport.abort()

    async def fetch(
        self, requests: Sequence[tuple[str, bytes]], pause_s: float
    ) -> list[asyncio.Future]:
        """Sends requests at once and starts to read after a pause.

        Args:
            requests: Ids and bytes of the requests.
            pause_s: Time for which the caller does not read.

        Returns:
            Futures of the answers, in the order of the requests.
        """
        loop = asyncio.get_running_loop()
        futures = [loop.create_future() for _ in requests]
        self._pending.extend(
            (request_id, future)
            for (request_id, _), future in zip(requests, futures, strict=True)
        )
        if pause_s:
            self._transport.pause_reading()
        self._transport.write(b"".join(data for _, data in requests))
        if pause_s:
            await asyncio.sleep(pause_s)
            if not self._transport.is_closing():
                self._transport.resume_reading()
        return futures

    def _read_time_s(self) -> float:
        return asyncio.get_running_loop().time()

    def _end_next(self, answer: Answer) -> None:
        self._last_id, future = self._pending.popleft()
        if not future.done():
            future.set_result(answer)

    def _end_all(self, ending: Ending) -> None:
        while self._pending:
            self._end_next(Answer(ending, at_s=self._read_time_s()))

    def _report_bytes(self, what: str) -> None:
        shown = bytes(self._data[:MAX_SHOWN_BYTES])
        self._report_violation(
            f"{self._name}, after {self._last_id}: {what}:"
            f" {len(self._data)} bytes, {shown!r}"
        )
        self._data.clear()
        self.close()


class Connections:
    """Connections of one caller, one to each entry, kept until they end.

    Args:
        report_violation: Called with the description of a violation.
    """

    def __init__(self, report_violation: Callable[[str], None]):
        self._report_violation = report_violation
        self._connections: dict[str, Connection] = {}

    async def __aenter__(self) -> "Connections":
        return self

    async def __aexit__(self, *details) -> None:
        for connection in self._connections.values():
            connection.close()

    async def open(self, entry: str, address: str) -> Connection:
        """Returns an open connection to an entry.

        Args:
            entry: Name of the entry.
            address: ``ip:port`` of the entry for callers.

        Raises:
            OSError: The connection is not accepted.
        """
        connection = self._connections.get(entry)
        if connection is not None and connection.is_open:
            return connection
        if connection is not None:
            connection.close()
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        try:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            sock.setblocking(False)
            await loop.sock_connect(sock, addresses.parse_address(address))
            _, connection = await loop.create_connection(
                lambda: Connection(entry, self._report_violation), sock=sock
            )
        except BaseException:
            sock.close()
            raise
        self._connections[entry] = connection
        return connection
