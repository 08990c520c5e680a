import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.forwarding import events

TEXT = b"id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\ndata: no id\n\n"


@pytest.mark.parametrize("size", [1, 2, 3, 7, 100])
def test_events_are_parsed_from_chunks_of_any_size(size):
    parser = events.EventParser()
    found = []
    for start in range(0, len(TEXT), size):
        found += parser.feed(TEXT[start : start + size])
    assert b"".join(event.data for event in found) == TEXT
    assert [event.event_id for event in found] == ["1", "2", ""]
    assert parser.remainder == b""


def test_events_with_crlf_line_ends_are_parsed():
    parser = events.EventParser()
    (event,) = parser.feed(b"id: 7\r\ndata: x\r\n\r\nid:")
    assert event.event_id == "7"
    assert parser.remainder == b"id:"


def test_event_over_the_size_limit_raises():
    parser = events.EventParser()
    with pytest.raises(exceptions.UpstreamResponseLostError, match="over"):
        parser.feed(b"x" * (events.MAX_EVENT_BYTES + 1))


@pytest.mark.parametrize("size", [1, 2, 100])
def test_blank_lines_are_no_events(size):
    text = b"\n\n\r\n\nid: 1\n\n\n\n\n\nid: 2\n\n\n\n"
    parser = events.EventParser()
    found = []
    for start in range(0, len(text), size):
        found += parser.feed(text[start : start + size])
    assert [event.event_id for event in found] == ["1", "2"]
    assert b"".join(event.data for event in found) + parser.close() == text


@pytest.mark.parametrize("end", [b"id: 2", b"id: 2\ndata: to", b"id: 2\n"])
def test_stream_that_ends_inside_an_event_raises(end):
    parser = events.EventParser()
    parser.feed(TEXT + end)
    with pytest.raises(exceptions.UpstreamResponseLostError, match="inside"):
        parser.close()
