"""Incremental parser of server-sent event streams."""

import dataclasses
import re

from fuchsiabarrow import exceptions

__all__ = ["Event", "EventParser"]

MAX_EVENT_BYTES = 1_048_576
# Maximum size of the events of one response.
MAX_STREAM_BYTES = 4 * 1_048_576
# End of a line, then a blank line.
SEPARATOR = re.compile(rb"\n\r?\n")
SEPARATOR_BYTES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event.

    Attributes:
        data: Encoded event, including the blank line that ends it and any
            before it.
        event_id: Value of the ``id`` field; empty if the event has none.
    """

    data: bytes
    event_id: str


class EventParser:
    """Splits a byte stream into complete events (HTML Standard, 9.2).

    Blank lines between two events belong to the second one.
    Lines may end with LF or CRLF; the standard's lone CR is not supported.

    Args:
        max_stream_bytes: Maximum size of the response.
    """

    def __init__(self, max_stream_bytes: int = MAX_STREAM_BYTES):
        self._max_stream_bytes = max_stream_bytes
        self._buffer = bytearray()
        # Offset up to which the buffer contains no end of an event.
        self._searched = 0
        # Offset up to which the buffer contains blank lines only.
        self._blank_end = 0
        self._received_bytes = 0

    @property
    def remainder(self) -> bytes:
        """Bytes received of an event that is not complete yet."""
        return bytes(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Whether a part of the next event has been received."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that they complete.

        Raises:
            UpstreamResponseLostError: An event is longer than
                ``MAX_EVENT_BYTES``, or the response is longer than its
                limit.
        """
        self._buffer += data
        self._received_bytes += len(data)
        events = []
        begin, blank_end = 0, self._blank_end
        for found in SEPARATOR.finditer(self._buffer, self._searched):
            end = found.end()
            if not self._buffer[blank_end:end].strip():
                blank_end = end
                continue
            events.append(_parse(bytes(self._buffer[begin:end])))
            begin = blank_end = end
        del self._buffer[:begin]
        self._blank_end = blank_end - begin
        # A separator may have begun in the bytes received so far.
        self._searched = max(0, len(self._buffer) - SEPARATOR_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise exceptions.UpstreamResponseLostError(
                f"server-sent event is over {MAX_EVENT_BYTES} bytes"
            )
        if self._received_bytes > self._max_stream_bytes:
            raise exceptions.UpstreamResponseLostError(
                f"stream is over {self._max_stream_bytes} bytes"
            )
        return events

    def close(self) -> bytes:
        """Ends the stream; returns blank lines that follow the last event.

        Raises:
            UpstreamResponseLostError: It ends inside an event.
        """
        if self.is_inside_event:
            raise exceptions.UpstreamResponseLostError(
                "response ended inside an event"
            )
        return bytes(self._buffer)


def _parse(data: bytes) -> Event:
    event_id = ""
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            event_id = value.strip().decode("latin-1")
    return Event(data, event_id)
