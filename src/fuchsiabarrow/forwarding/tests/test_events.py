import pytest

from fuchsiabarrow.forwarding import events

TEXT = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\ndata: no id\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
def test_events_are_whole_however_they_arrive(size):
    reader = events.EventReader()
    found = []
    for start in range(0, len(TEXT), size):
        found += reader.feed(TEXT[start : start + size])
    assert b"".join(event.data for event in found) == TEXT
    assert [event.event_id for event in found] == ["1", "2", ""]
    assert reader.rest == b""


def test_events_may_end_lines_with_carriage_returns():
    reader = events.EventReader()
    (event,) = reader.feed(b"id: 7\r\ndata: x\r\n\r\nid:")
    assert event.event_id == "7"
    assert reader.rest == b"id:"


def test_endless_event_is_refused():
    reader = events.EventReader()
    with pytest.raises(ValueError, match="over"):
        reader.feed(b"x" * (events.MAX_EVENT_BYTES + 1))
