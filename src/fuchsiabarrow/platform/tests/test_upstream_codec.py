from aiohttp import http_parser
import multidict
import pytest

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.platform import upstream_codec
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.utils.tests import virtual_time

UPSTREAM = fleets.make_instance("i-1", address="10.0.0.1:80", layers=(0, 40))
OTHER = fleets.make_instance("i-2", address="10.0.0.2:80", layers=(40, 80))


def encode(
    segments=(), last_event_id="", wire_priority=None, **changes
) -> list[str]:
    async def run():
        request = fakes.make_request(fakes.make_route(), **changes)
        target = messages.AttemptTarget(UPSTREAM, segments, wire_priority)
        codec = upstream_codec.UpstreamCodec()
        return codec.encode_request(request, target, 1.5, last_event_id)

    head, _, body = virtual_time.run(run()).partition(b"\r\n\r\n")
    assert body == changes.get("body", b"")
    return head.decode().split("\r\n")


def test_request_has_expected_instance_and_remaining_time():
    lines = encode(headers=(("Host", "shop.example"), ("X-Any", "1")))
    assert lines[0] == "GET /x HTTP/1.1"
    assert "Host: shop.example" in lines
    assert "X-Any: 1" in lines
    assert "Deadline-Ms: 1500" in lines
    assert "Expect-Instance: i-1" in lines
    assert not any(line.startswith("Content-Length") for line in lines)


def test_request_has_organisation():
    organisation = documents.Organisation("org", ("k",), None)
    assert "Tenant: org" in encode(organisation=organisation)


def test_path_header_lists_all_segments():
    segments = (
        paths.PathSegment(UPSTREAM, 0, 40),
        paths.PathSegment(OTHER, 40, 80),
    )
    assert "Hop-Count: 10.0.0.1:80=0-40,10.0.0.2:80=40-80" in encode(segments)


def test_priority_is_sent_only_if_it_is_set():
    # Guards against a header where ranks are not mixed: instances would admit
    # the requests of this entry before those of entries that send none.
    assert not any(line.startswith("Request-Priority") for line in encode())
    # 0 is the most urgent, and not the same as none.
    assert "Request-Priority: 0" in encode(wire_priority=0)
    assert "Request-Priority: 9" in encode(wire_priority=9)


def test_resumed_request_has_last_event_id():
    assert "Last-Event-Id: 12" in encode(last_event_id="12")


def test_request_has_length_of_body():
    lines = encode(method="POST", body=b"hello")
    assert "Content-Length: 5" in lines
    assert "Content-Length: 0" in encode(method="POST")


@pytest.mark.parametrize(
    "name",
    [
        "Connection",
        "Keep-Alive",
        "Transfer-Encoding",
        "TE",
        "Upgrade",
        "Authorization",
        "Tenant",
        "Expect-Instance",
        "Hop-Count",
        "Request-Priority",
        "Deadline-Ms",
        "Content-Length",
        "X-Named",
    ],
)
def test_hop_by_hop_and_system_headers_are_not_forwarded(name):
    pairs = [("Host", "h"), ("Connection", "close, X-Named"), (name, "v")]
    found = upstream_codec.select_end_to_end(pairs, wire_names.SYSTEM_HEADERS)
    assert found == (("Host", "h"),)


def decode(status: int, **headers) -> messages.ResponseHead:
    pairs = multidict.CIMultiDict(
        {name.replace("_", "-"): value for name, value in headers.items()}
    )
    message = http_parser.RawResponseMessage(
        None, status, "Any", pairs, (), False, None, False, False
    )
    return upstream_codec.UpstreamCodec().decode_head(message)


def test_response_head_has_request_id_and_seal():
    head = decode(200, Attempt_Id="r1", Response_Seal="s", Content_Length="3")
    assert head.request_id == "r1"
    assert head.has_seal
    assert head.content_length == 3
    assert not head.is_not_run


@pytest.mark.parametrize(
    ("status", "headers", "is_not_run"),
    [
        (503, {"Not_Run": "1"}, True),
        (429, {"Not_Run": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {}, False),
        (504, {}, False),
    ],
)
def test_request_is_not_run_only_if_upstream_says_so(
    status, headers, is_not_run
):
    assert decode(status, **headers).is_not_run is is_not_run


def test_response_head_has_address_of_upstream_at_fault():
    head = decode(503, Not_Run="1", At_Server="10.0.0.2:80")
    assert head.at_fault == "10.0.0.2:80"


@pytest.mark.parametrize(
    ("headers", "has_events"),
    [
        ({"Content_Type": "text/event-stream"}, True),
        ({"Content_Type": "Text/Event-Stream; charset=utf-8"}, True),
        ({"Content_Type": "text/plain"}, False),
        ({}, False),
        # The bytes are not those of the events.
        (
            {"Content_Type": "text/event-stream", "Content_Encoding": "gzip"},
            False,
        ),
    ],
)
def test_media_type_tells_whether_an_answer_consists_of_events(
    headers, has_events
):
    assert decode(200, **headers).has_events is has_events
