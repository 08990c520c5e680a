"""A short soak test, and tests of the checks and the proxy it uses."""

import asyncio

import pytest

from fuchsiabarrow.platform.tests.soak import invariants
from fuchsiabarrow.platform.tests.soak import proxies
from fuchsiabarrow.platform.tests.soak import scenario

# Seeds to run. A seed that once failed is added, with the cause of the failure.
SEEDS = [1]
DURATION_S = 6.0
ENTRIES = 3


@pytest.mark.parametrize("seed", SEEDS)
def test_invariants_hold_during_overlapping_faults(seed, tmp_path):
    violations, soak = asyncio.run(
        scenario.run_seed(seed, DURATION_S, ENTRIES, tmp_path)
    )
    statuses = [a.status for a in soak.history.attempts.values()]
    assert violations == []
    assert statuses.count(200) > 50
    assert len(soak.faults) > 3


def make_history(kind="book", key="key-1", sent_s=100.0) -> invariants.History:
    history = invariants.History()
    history.attempts["r1"] = invariants.Attempt("r1", kind, key, "e", sent_s)
    return history


def answer(history, status=200, body=b"", is_complete=True) -> None:
    attempt = history.attempts["r1"]
    attempt.status, attempt.body, attempt.is_complete = (
        status,
        body,
        is_complete,
    )
    history.check_answer(attempt)


def make_stream(numbers, owner="r1", is_ended=True) -> bytes:
    events = [f"id: {n}\ndata: {owner}\n" for n in numbers]
    if is_ended:
        events[-1] += "event: end\n"
    return "".join(event + "\n" for event in events).encode()


def test_run_of_unsent_request_is_detected():
    history = invariants.History()
    history.record_run("r1", "desk", 1.0)
    assert history.violations


def test_second_run_of_non_idempotent_request_is_detected():
    history = make_history()
    history.record_run("r1", "desk", 100.1)
    assert not history.violations
    history.record_run("r1", "desk", 100.2)
    assert history.violations


@pytest.mark.parametrize("is_run_first", [True, False])
def test_refusal_of_request_that_runs_is_detected(is_run_first):
    history = make_history()
    if is_run_first:
        history.record_run("r1", "desk", 100.1)
    answer(history, 503)
    if not is_run_first:
        history.record_run("r1", "desk", 100.1)
    assert history.violations


@pytest.mark.parametrize(
    ("sent_s", "is_violation"), [(100, False), (105.5, True)]
)
def test_run_with_revoked_key_is_detected(sent_s, is_violation):
    history = make_history(key="old", sent_s=sent_s)
    history.revoked_s["old"] = 100.0
    history.record_run("r1", "desk", sent_s + 0.1)
    assert bool(history.violations) is is_violation


@pytest.mark.parametrize(
    ("sent_s", "is_violation"), [(101, False), (103.5, True)]
)
def test_run_at_draining_upstream_is_detected(sent_s, is_violation):
    history = make_history(sent_s=sent_s)
    history.leaving_s["desk"] = 100.0
    history.record_run("r1", "desk", sent_s + 0.1)
    assert bool(history.violations) is is_violation


@pytest.mark.parametrize(
    "body",
    [
        make_stream([1, 3]),
        make_stream([1, 1, 2]),
        make_stream([1, 2], is_ended=False),
        make_stream([1, 2], owner="r2"),
    ],
)
def test_invalid_stream_is_detected(body):
    history = make_history("draft")
    history.record_run("r1", "first-a", 100.1)
    answer(history, body=make_stream([1, 2, 3]))
    assert not history.violations
    answer(history, body=body)
    assert history.violations


def test_response_of_another_request_is_detected():
    history = make_history("read")
    history.record_run("r1", "desk", 100.1)
    answer(history, body=b"desk:b'r2'")
    assert history.violations


@pytest.mark.parametrize(
    ("drops_requests", "drops_responses", "expected"),
    [(False, False, b"hello"), (True, False, b""), (False, True, b"")],
)
def test_proxy_drops_one_direction(drops_requests, drops_responses, expected):
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
            proxy.drops_requests = drops_requests
            proxy.drops_responses = drops_responses
            proxy_host, proxy_port = proxy.address.split(":")
            reader, writer = await asyncio.open_connection(
                proxy_host, proxy_port
            )
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
    assert bool(seen and seen[0]) is not drops_requests


def test_proxy_resets_connections():
    async def run():
        async def hold(reader, writer):
            await reader.read(100)

        server = await asyncio.start_server(hold, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, proxies.Proxy(f"127.0.0.1:{port}") as proxy:
            proxy_host, proxy_port = proxy.address.split(":")
            reader, writer = await asyncio.open_connection(
                proxy_host, proxy_port
            )
            await asyncio.sleep(0.1)
            proxy.reset()
            with pytest.raises(ConnectionResetError):
                await reader.read(100)
            writer.close()

    asyncio.run(run())
