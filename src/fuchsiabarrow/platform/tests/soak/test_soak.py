"""Short seeded runs of the soak, and what its checks notice."""

import asyncio

import pytest

from fuchsiabarrow.platform.tests.soak import play
from fuchsiabarrow.platform.tests.soak import promises
from fuchsiabarrow.platform.tests.soak import proxies

# Seeds that are played each time; one that ever failed is added with its cause.
SEEDS = [1]
DURATION_S = 6.0
ENTRIES = 3


@pytest.mark.parametrize("seed", SEEDS)
def test_promises_hold_while_faults_overlap(seed, tmp_path):
    broken, soak = asyncio.run(play.play(seed, DURATION_S, ENTRIES, tmp_path))
    statuses = [a.status for a in soak.record.attempts.values()]
    assert broken == []
    assert statuses.count(200) > 50
    assert len(soak.faults) > 3


def make_record(kind="book", key="key-1", sent_s=100.0) -> promises.Record:
    record = promises.Record()
    record.attempts["r1"] = promises.Attempt("r1", kind, key, "e", sent_s)
    return record


def answer(record, status=200, body=b"", is_whole=True) -> None:
    attempt = record.attempts["r1"]
    attempt.status, attempt.body, attempt.is_whole = status, body, is_whole
    record.check_answer(attempt)


def make_stream(numbers, owner="r1", is_ended=True) -> bytes:
    events = [f"id: {n}\ndata: {owner}\n" for n in numbers]
    if is_ended:
        events[-1] += "event: end\n"
    return "".join(event + "\n" for event in events).encode()


def test_run_that_nobody_asked_for_is_noticed():
    record = promises.Record()
    record.note_run("r1", "desk", 1.0)
    assert record.broken


def test_second_run_of_what_may_run_once_is_noticed():
    record = make_record()
    record.note_run("r1", "desk", 100.1)
    assert not record.broken
    record.note_run("r1", "desk", 100.2)
    assert record.broken


@pytest.mark.parametrize("is_run_first", [True, False])
def test_refusal_of_what_runs_is_noticed(is_run_first):
    record = make_record()
    if is_run_first:
        record.note_run("r1", "desk", 100.1)
    answer(record, 503)
    if not is_run_first:
        record.note_run("r1", "desk", 100.1)
    assert record.broken


@pytest.mark.parametrize(("sent_s", "is_broken"), [(100, False), (105.5, True)])
def test_run_with_a_key_that_was_taken_away_is_noticed(sent_s, is_broken):
    record = make_record(key="old", sent_s=sent_s)
    record.revoked_s["old"] = 100.0
    record.note_run("r1", "desk", sent_s + 0.1)
    assert bool(record.broken) is is_broken


@pytest.mark.parametrize(("sent_s", "is_broken"), [(101, False), (103.5, True)])
def test_run_at_an_upstream_that_leaves_is_noticed(sent_s, is_broken):
    record = make_record(sent_s=sent_s)
    record.leaving_s["desk"] = 100.0
    record.note_run("r1", "desk", sent_s + 0.1)
    assert bool(record.broken) is is_broken


@pytest.mark.parametrize(
    "body",
    [
        make_stream([1, 3]),
        make_stream([1, 1, 2]),
        make_stream([1, 2], is_ended=False),
        make_stream([1, 2], owner="r2"),
    ],
)
def test_stream_that_is_not_whole_and_own_is_noticed(body):
    record = make_record("draft")
    record.note_run("r1", "first-a", 100.1)
    answer(record, body=make_stream([1, 2, 3]))
    assert not record.broken
    answer(record, body=body)
    assert record.broken


def test_answer_of_another_request_is_noticed():
    record = make_record("read")
    record.note_run("r1", "desk", 100.1)
    answer(record, body=b"desk:b'r2'")
    assert record.broken


@pytest.mark.parametrize(
    ("cuts_requests", "cuts_answers", "expected"),
    [(False, False, b"hello"), (True, False, b""), (False, True, b"")],
)
def test_proxy_cuts_one_way(cuts_requests, cuts_answers, expected):
    async def run():
        seen = []

        async def echo(reader, writer):
            data = await reader.read(100)
            seen.append(data)
            writer.write(data)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, proxies.Proxy(f"127.0.0.1:{port}") as proxy:
            proxy.cuts_requests = cuts_requests
            proxy.cuts_answers = cuts_answers
            host, near = proxy.address.split(":")
            reader, writer = await asyncio.open_connection(host, near)
            writer.write(b"hello")
            received = b""
            try:
                async with asyncio.timeout(0.3):
                    received = await reader.read(100)
            except TimeoutError:
                pass
            writer.close()
            return received, seen

    received, seen = asyncio.run(run())
    assert received == expected
    assert bool(seen and seen[0]) is not cuts_requests


def test_proxy_resets():
    async def run():
        async def hold(reader, writer):
            await reader.read(100)

        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, proxies.Proxy(f"127.0.0.1:{port}") as proxy:
            host, near = proxy.address.split(":")
            reader, writer = await asyncio.open_connection(host, near)
            await asyncio.sleep(0.1)
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                await reader.read(100)
            writer.close()

    asyncio.run(run())
