"""Divides an event stream into whole events."""

import dataclasses

__all__ = ["Event", "EventReader"]

MAX_EVENT_BYTES = 1_048_576


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of a stream.

    Attributes:
        data: Its bytes, the blank line at its end included.
        event_id: Its id; empty if it has none.
    """

    data: bytes
    event_id: str


class EventReader:
    """Collects bytes until events are whole (HTML Standard, 9.2)."""

    def __init__(self):
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Returns the events that are whole with these bytes.

        Raises:
            ValueError: An event is too long.
        """
        self._rest += data
        events = []
        while (end := _find_end(self._rest)) >= 0:
            events.append(_parse(self._rest[:end]))
            self._rest = self._rest[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is over {MAX_EVENT_BYTES} bytes")
        return events


def _find_end(data: bytes) -> int:
    """Returns where the first whole event ends, -1 if none is whole."""
    ends = [
        found + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (found := data.find(mark)) >= 0
    ]
    return min(ends, default=-1)


def _parse(data: bytes) -> Event:
    event_id = ""
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            event_id = value.strip().decode("latin-1")
    return Event(data, event_id)
