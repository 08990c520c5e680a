"""Requests with malformed bytes, written directly to a TCP connection.

HTTP clients would refuse or escape such headers, paths and bodies.
"""

import asyncio

import msgspec
import pytest

from fuchsiabarrow.entry.tests import interfaces
from fuchsiabarrow.standins import clusters

VALID_BODY = msgspec.json.encode(interfaces.VALID_CHAT)
CALLER_KEY = clusters.CALLER_KEY.encode()
BEARER_PREFIX = b"Authorization: Bearer "


def make_chat(*headers: bytes, body: bytes = VALID_BODY) -> bytes:
    return make_request(
        b"POST /v1/chat/completions", *headers, body=body, key=CALLER_KEY
    )


def make_request(
    line: bytes, *headers: bytes, body: bytes = b"", key: bytes | None = None
) -> bytes:
    fields = [b"Host: h", b"Connection: close", *headers]
    if key is not None:
        fields.append(BEARER_PREFIX + key)
    fields.append(b"Content-Length: %d" % len(body))
    head = b"\r\n".join([line + b" HTTP/1.1", *fields])
    return head + b"\r\n\r\n" + body


def make_message(**changes) -> bytes:
    message = {**interfaces.MESSAGE, **changes}
    return msgspec.json.encode({**interfaces.VALID_CHAT, "messages": [message]})


DEPOSIT = b"POST /v1/actions/confirm-deposit"
BAD_BYTES = [b"\xff\xfe", b"k\xc3\xa9y", "schlüssel".encode("latin-1")]
# Requests, each with the statuses that its response may have.
CASES = [
    *(
        (make_request(DEPOSIT, body=b"{}", key=bad), {401, 400})
        for bad in BAD_BYTES
    ),
    *(
        (make_request(b"GET /v1/models", key=bad), {401, 400})
        for bad in BAD_BYTES
    ),
    *(
        (make_chat(b"Last-Event-ID: " + bad), {200, 400, 422})
        for bad in (*BAD_BYTES, b"-1", b"entry-0/x", b"/", b"a" * 5000)
    ),
    *(
        (
            make_request(DEPOSIT, b"Idempotency-Key: " + bad, key=CALLER_KEY),
            {400, 422},
        )
        for bad in (*BAD_BYTES, b"", b"0", b"x" * 5000)
    ),
    *(
        (
            make_request(
                b"GET /v1/actions/confirm-deposit/" + bad, key=CALLER_KEY
            ),
            {400, 404, 422},
        )
        for bad in (b"%ff%fe", b"%00", b"..%2f..", b"x" * 3000)
    ),
    *(
        (
            make_request(
                b"POST /v1/actions/" + bad,
                b"Idempotency-Key: " + interfaces.IDEMPOTENCY_KEY.encode(),
                body=b"{}",
                key=CALLER_KEY,
            ),
            {400, 404, 422},
        )
        for bad in (b"%ff", b"%00", b"confirm%20deposit", b"x" * 3000)
    ),
    (make_chat(body=make_message(role="root")), {422}),
    (make_chat(body=make_message(role="")), {422}),
    (make_chat(body=make_message(role=3)), {400}),
    (make_chat(body=make_message(content=None)), {400}),
    (make_chat(body=VALID_BODY.replace(b"a shelf", b"\\ud800")), {400}),
    (make_chat(body=VALID_BODY.replace(b"quotes", b"\xff")), {400}),
    (make_chat(b"Content-Type: text/plain"), {200, 415}),
    (make_chat(b"Content-Encoding: gzip"), {400, 415}),
    (make_chat(b"Expect: nonsense"), {200, 417}),
    (make_request(b"PUT /v1/chat/completions", key=CALLER_KEY), {405}),
    (make_request(b"GET /v1/models?x=%ff%00", key=CALLER_KEY), {200}),
    (make_request(b"GET /%ff", key=CALLER_KEY), {404}),
]


async def exchange(address: str, data: bytes) -> bytes:
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    async with asyncio.timeout(5.0):
        answer = await reader.read()
    writer.close()
    return answer


@pytest.fixture(scope="module")
def answers():
    """Responses of one entry to all cases; it must still work afterwards."""
    found = []

    async def check(cluster, entries, session, caller):
        for data, _ in CASES:
            found.append(await exchange(entries[0].caller_address, data))
        answer = await caller.chat("quotes", "a shelf", 4)
        assert answer.is_complete

    interfaces.run(check)
    return found


@pytest.mark.parametrize("index", range(len(CASES)))
def test_malformed_request_gets_the_expected_status(answers, index):
    data, expected = CASES[index]
    answer = answers[index]
    assert answer.startswith(b"HTTP/1.1 "), data[:80]
    assert int(answer.split()[1]) in expected, (data[:120], answer[:200])
    if int(answer.split()[1]) >= 400:
        # A refusal must state that nothing ran.
        _, _, body = answer.partition(b"\r\n\r\n")
        if b"application/problem+json" in answer:
            assert msgspec.json.decode(body)["outcome"] == "not_run"


@pytest.mark.parametrize("bad", BAD_BYTES)
@pytest.mark.parametrize(
    "line",
    [b"GET /v1/configuration", b"PATCH /v1/configuration", b"GET /v1/status"],
)
def test_operator_interface_rejects_non_ascii_keys(line, bad):
    async def check(cluster, entries, session, caller):
        data = make_request(line, body=b"{}", key=bad)
        answer = await exchange(entries[0].operator_address, data)
        assert int(answer.split()[1]) in (400, 401)
        data = make_request(
            b"PATCH /v1/configuration",
            b'If-Match: "' + bad + b'"',
            body=b"{}",
            key=clusters.OPERATOR_KEY.encode(),
        )
        answer = await exchange(entries[0].operator_address, data)
        assert 400 <= int(answer.split()[1]) < 500

    interfaces.run(check)
