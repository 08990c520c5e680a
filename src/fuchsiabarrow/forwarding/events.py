"""Incremental parser of server-sent event streams."""

import dataclasses

__all__ = ["Event", "EventParser"]

MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One server-sent event.

    Attributes:
        data: Encoded event, including the blank line that ends it.
        event_id: Value of the ``id`` field; empty if the event has none.
    """

    data: bytes
    event_id: str


class EventParser:
    """Splits a byte stream into complete events (HTML Standard, 9.2).

    Lines may end with LF or CRLF; the standard's lone CR is not supported.
    """

    def __init__(self):
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """Bytes received of an event that is not complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Adds received bytes and returns the events that they complete.

        Raises:
            ValueError: An incomplete event is longer than ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events = []
        while (end := _find_end(self._buffer)) >= 0:
            events.append(_parse(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(
                f"server-sent event is over {MAX_EVENT_BYTES} bytes"
            )
        return events


def _find_end(data: bytes) -> int:
    """Returns the end offset of the first event, -1 if it is incomplete."""
    ends = [
        found + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (found := data.find(separator)) >= 0
    ]
    return min(ends, default=-1)


def _parse(data: bytes) -> Event:
    event_id = ""
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            event_id = value.strip().decode("latin-1")
    return Event(data, event_id)
