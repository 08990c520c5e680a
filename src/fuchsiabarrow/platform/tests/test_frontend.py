import asyncio
import socket
import struct
import time

import aiohttp
import logbook
import pytest

from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import fake_upstreams
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.telemetry import writers

GENERATION = {wire_names.TOKEN_COUNTS: "800,60", wire_names.LENGTH_HINT: "60"}


def run(test, **options):
    async def main():
        async with entry_harness.EntryHarness(**options) as harness:
            return await test(harness)

    return asyncio.run(main())


def test_request_and_response_are_forwarded_unchanged():
    async def test(harness):
        status, headers, body = await harness.fetch(
            "/book/x%2Fy?q=%20z", "POST", data=b"hello", headers={"X-Any": "1"}
        )
        ((request_id, method, target, seen, sent),) = (
            harness.upstreams["desk-1"].runs + harness.upstreams["desk-2"].runs
        )
        assert status == 200
        assert headers[wire_names.SEAL] == fake_upstreams.SEAL
        assert body.endswith(b":b'hello'")
        assert (request_id, method, target) == (
            "r1",
            "POST",
            "/book/x%2Fy?q=%20z",
        )
        assert sent == b"hello"
        assert seen["X-Any"] == "1"
        assert seen["Host"] == entry_harness.HOST
        assert seen[wire_names.ORGANISATION] == "org"
        assert wire_names.AUTHORIZATION not in seen
        assert int(seen[wire_names.DEADLINE_MS]) <= 20000

    run(test)


# Guards against HEAD requests that end at their time limit.
def test_answer_without_a_body_is_forwarded_at_once():
    async def test(harness):
        for _ in range(3):
            status, _, body = await harness.fetch("/read/x", "HEAD")
            assert (status, body) == (200, b"")
        status, _, body = await harness.fetch("/read/x")
        assert (status, body[-3:]) == (200, b"b''")

    run(test)


def test_organisation_header_of_caller_is_replaced():
    async def test(harness):
        await harness.fetch(
            "/read/x", headers={wire_names.ORGANISATION: "other"}
        )
        (ran,) = (
            harness.upstreams["desk-1"].runs + harness.upstreams["desk-2"].runs
        )
        assert ran[3].getall(wire_names.ORGANISATION) == ["org"]

    run(test)


def test_stream_request_has_path_through_all_layers():
    async def test(harness):
        status, headers, body = await harness.fetch(
            "/draft/x", "POST", data=b"p", headers=GENERATION
        )
        ((_, _, _, seen, _),) = harness.upstreams["left"].runs
        left, right = harness.upstreams["left"], harness.upstreams["right"]
        assert status == 200
        assert headers["Content-Type"] == "text/event-stream"
        assert body.count(b"\n\n") == 5
        assert seen[wire_names.PATH] == (
            f"{left.address}=0-40,{right.address}=40-80"
        )

    run(test)


@pytest.mark.parametrize(
    ("header", "expected"),
    [
        ("a1:800,b2:410,c3:250", ("a1", "b2")),
        ("a1:800", ()),
        ("", ()),
        (" a1 : 800 , a1:1,,b2,c3:250", ("a1", "b2")),
        (",".join(f"{n:x}:1" for n in range(40)), tuple("0123456789abcdef")),
    ],
)
def test_shared_parts_of_a_prompt_are_all_but_the_last(header, expected):
    async def test(harness):
        parsed = []
        forwarding = harness.entry.kernel.get("forwarding")
        serve = forwarding.serve

        async def observe(request, writer):
            parsed.append(request.generation.shared_parts)
            return await serve(request, writer)

        forwarding.serve = observe
        headers = {**GENERATION, wire_names.PROMPT_PARTS: header}
        status, _, _ = await harness.fetch(
            "/draft/x", "POST", data=b"p", headers=headers
        )
        assert status == 200
        assert parsed == [expected]

    run(test)


def test_disconnect_of_caller_ends_its_request():
    async def test(harness):
        harness.upstreams["left"].event_count = 1000
        async with harness.call(
            "/draft/x", "POST", data=b"p", headers=GENERATION
        ) as response:
            await response.content.readany()
            response.close()
        await harness.wait(
            lambda: harness.entry.kernel.get("forwarding").running == 0, 1.0
        )

    run(test)


@pytest.mark.parametrize(
    ("path", "headers", "expected"),
    [
        ("/none/x", {}, 404),
        ("/read", {}, 404),
        ("/read/x", {"Host": "other.example"}, 404),
        ("/read/x", {wire_names.AUTHORIZATION: None}, 401),
        ("/read/x", {wire_names.AUTHORIZATION: "Token nobody"}, 401),
        ("/read/x", {wire_names.AUTHORIZATION: "Bearer key-1"}, 401),
        ("/read/x", {wire_names.AUTHORIZATION: "Token key-\u00e9"}, 401),
        ("/read/x", {wire_names.ATTEMPT_ID: None}, 400),
        ("/read/x", {wire_names.DEADLINE_MS: "soon"}, 400),
        ("/read/x", {wire_names.DEADLINE_MS: "-5"}, 400),
        ("/read/x", {wire_names.DEADLINE_MS: "9" * 30}, 400),
        ("/draft/x", {wire_names.TOKEN_COUNTS: "1;2"}, 400),
        ("/draft/x", {wire_names.TOKEN_COUNTS: "x,y"}, 400),
        ("/read/x", {"X-Large": "x" * 17_000}, 431),
        ("/open/x", {wire_names.AUTHORIZATION: None}, 200),
        ("/read/x", {"Host": entry_harness.HOST + ":8080"}, 200),
        ("/read/x", {}, 200),
    ],
)
def test_request_gets_expected_status(path, headers, expected):
    async def test(harness):
        status, _, _ = await harness.fetch(path, headers=headers)
        assert status == expected

    run(test)


def test_body_over_limit_is_rejected():
    async def test(harness):
        limits = sample_objects.make_config()["limits"] | {
            "max_body_bytes": 100
        }
        config = sample_objects.make_config(
            8, routes=entry_harness.ROUTES, limits=limits
        )
        await harness.store.put("config", "main", config)
        current_catalog = harness.entry.kernel.get("current_catalog")
        await harness.wait(lambda: current_catalog.catalog.version == 8)
        status, _, _ = await harness.fetch("/book/x", "POST", data=b"x" * 101)
        assert status == 413
        assert not harness.upstreams["desk-1"].runs

    run(test)


@pytest.mark.parametrize(
    "request_text",
    [
        b"GET /read/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n",
        b"GET /read/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        b"GET /read/x HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
        b"GET /read/x HTTP/1.1\r\nHost : h\r\n\r\n",
        b"not a request\r\n\r\n",
    ],
)
def test_malformed_or_smuggled_request_is_rejected_and_not_run(request_text):
    async def test(harness):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.ports[0]
        )
        writer.write(request_text)
        status = await reader.readline()
        writer.close()
        assert status.split()[1] == b"400"
        assert not any(r.runs for r in harness.upstreams.values())

    run(test)


def test_incomplete_body_times_out_and_is_not_run():
    async def test(harness):
        limits = sample_objects.make_config()["limits"] | {
            "idle_timeout_ms": 300
        }
        config = sample_objects.make_config(
            8, routes=entry_harness.ROUTES, limits=limits
        )
        await harness.store.put("config", "main", config)
        current_catalog = harness.entry.kernel.get("current_catalog")
        await harness.wait(lambda: current_catalog.catalog.version == 8)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.ports[0]
        )
        writer.write(
            b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r\r\n"
            b"Authorization: Token key-1\r\nContent-Length: 100\r\n\r\nhalf"
        )
        status = await asyncio.wait_for(reader.readline(), 3.0)
        writer.close()
        assert status.split()[1] == b"408"
        assert not any(r.runs for r in harness.upstreams.values())

    run(test)


def test_disconnect_during_body_runs_nothing():
    async def test(harness):
        _, writer = await asyncio.open_connection("127.0.0.1", harness.ports[0])
        writer.write(
            b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: r\r\n"
            b"Authorization: Token key-1\r\nContent-Length: 100\r\n\r\nhalf"
        )
        await asyncio.sleep(0.1)
        writer.close()
        await asyncio.sleep(0.1)
        assert not any(r.runs for r in harness.upstreams.values())

    run(test)


def test_silent_upstream_leads_to_timeout_response():
    async def test(harness):
        for name in ("desk-1", "desk-2"):
            harness.upstreams[name].delay_s = 5.0
        loop = asyncio.get_running_loop()
        for _ in range(3):
            began_s = loop.time()
            status, _, _ = await harness.fetch("/book/x", "POST", data=b"x")
            if status != 503:
                break
            # A busy machine can stop the event loop past the route's timeout
            # before anything is sent. The request must not have run then.
            assert not any(u.runs for u in harness.upstreams.values())
        assert status == 504
        assert loop.time() - began_s < 1.0

    run(test)


def test_key_is_denied_after_removal_from_configuration():
    async def test(harness):
        config = sample_objects.make_config(8, routes=entry_harness.ROUTES)
        config["tenants"][0]["api_keys"] = ["key-2"]
        await harness.store.put("config", "main", config)
        current_catalog = harness.entry.kernel.get("current_catalog")
        await harness.wait(lambda: current_catalog.catalog.version == 8)
        status, _, _ = await harness.fetch("/read/x")
        assert status == 401

    run(test)


# Revoked keys, and such that no configuration ever held, opened all routes.
def test_all_keys_are_denied_after_the_last_organisation_was_removed():
    async def test(harness):
        config = sample_objects.make_config(
            8, routes=entry_harness.ROUTES, tenants=[]
        )
        await harness.store.put("config", "main", config)
        current_catalog = harness.entry.kernel.get("current_catalog")
        await harness.wait(lambda: current_catalog.catalog.version == 8)
        for key in ("Token key-1", "Token never-held", None):
            headers = {wire_names.AUTHORIZATION: key}
            status, _, _ = await harness.fetch("/read/x", headers=headers)
            assert status == 401
        assert not any(u.runs for u in harness.upstreams.values())
        status, _, _ = await harness.fetch("/open/x")
        assert status == 200

    run(test)


def test_keys_are_not_trusted_while_configuration_is_unconfirmed():
    async def test(harness):
        harness.store.status = 503
        current_catalog = harness.entry.kernel.get("current_catalog")
        await harness.wait(lambda: current_catalog.get_age_s() > 4.6, 9.0)
        status, headers, _ = await harness.fetch("/read/x")
        assert status == 503
        # No entry has a confirmed configuration, so that a retry at another
        # entry would be refused as well.
        assert float(headers[wire_names.RETRY_AFTER]) >= 1.0
        assert not harness.upstreams["desk-1"].runs
        status, _, _ = await harness.fetch("/open/x")
        assert status == 200
        harness.store.status = 0
        await harness.wait(lambda: current_catalog.get_age_s() < 1.0)
        status, _, _ = await harness.fetch("/read/x")
        assert status == 200

    run(test)


def test_readiness_check_fails_during_shutdown():
    async def test(harness):
        url = f"http://127.0.0.1:{harness.ports[1]}/ready"
        async with harness.session.get(url) as response:
            assert response.status == 200
        harness.entry.kernel.get("frontend").stop()
        async with harness.session.get(url) as response:
            assert response.status == 503

    run(test)


def test_disconnect_of_caller_is_logged_with_route_and_progress():
    with logbook.TestHandler() as handler:

        async def test(harness):
            for upstream in harness.upstreams.values():
                upstream.gap_s = 0.2
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.3):
                    await harness.fetch(
                        "/draft/x", "POST", data=b"p", headers=GENERATION
                    )
            await harness.wait(
                lambda: any("caller_left" in r.message for r in handler.records)
            )

        run(test)
        (line,) = [
            r.message for r in handler.records if "caller_left" in r.message
        ]
    assert "route=draft" in line
    assert "organisation=" in line
    assert "is_started=True" in line


def run_logged(test, **options) -> list[str]:
    """Runs a test; returns the lines that were logged."""
    with logbook.TestHandler() as handler:
        run(test, **options)
    return [record.message for record in handler.records]


def find_line(lines: list[str], event: str, request_id: str = "r1") -> str:
    (line,) = [
        line
        for line in lines
        if line.startswith(f"event={event} request_id={request_id} ")
    ]
    return line


def count_incomplete(harness, cause: str) -> float:
    metrics = harness.entry.kernel.get("metrics")
    return metrics.incomplete_answers.labels(cause)._value.get()


# Guards against late streams that the sampling of answers leaves out.
@pytest.mark.parametrize(("gap_s", "is_late"), [(0.3, True), (0.01, False)])
def test_late_answer_is_logged_whatever_was_logged_before(gap_s, is_late):
    async def test(harness):
        frontend = harness.entry.kernel.get("frontend")
        frontend._rate_limiter = writers.RateLimiter(0)
        harness.upstreams["left"].event_count = 3
        harness.upstreams["left"].gap_s = gap_s
        await harness.fetch("/draft/x", "POST", data=b"p", headers=GENERATION)

    lines = run_logged(test)
    if not is_late:
        assert not any(line.startswith("event=served") for line in lines)
        return
    line = find_line(lines, "served")
    for pair in (
        "organisation=org rank=1 ",
        "outcome=200 ",
        "objective_s=0.5 gap_objective_s=0.2 is_late=True left_out=0 ",
        "kinds=a100,a100 ",
        "size_tokens=860 ",
        "gap_cause=",
    ):
        assert pair in line


# Guards against a request whose error is logged without its id.
@pytest.mark.parametrize("is_started", [False, True])
def test_error_that_nothing_handles_is_logged_with_its_request(is_started):
    counts = []

    async def test(harness):
        async def fail(request, writer):
            if is_started:
                await writer.start(
                    messages.ResponseHead(
                        200, "OK", (), "r1", False, "", True, None
                    )
                )
            raise ValueError("not expected")

        harness.entry.kernel.get("forwarding").serve = fail
        if is_started:
            with pytest.raises(aiohttp.ClientPayloadError):
                await harness.fetch("/read/x")
        else:
            status, _, _ = await harness.fetch("/read/x")
            assert status == 500
        counts.append(count_incomplete(harness, "error"))

    line = find_line(run_logged(test), "request_error")
    assert "route=read" in line
    assert "version=7" in line
    assert f"is_started={is_started}" in line
    assert "ValueError" in line
    assert counts == [1]


# Guards against a reset by the caller's side that looks like a regular close.
def test_reset_of_the_callers_connection_is_logged_with_its_error():
    counts = []

    async def test(harness):
        harness.upstreams["left"].event_count = 1000
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.ports[0]
        )
        writer.write(
            b"POST /draft/x HTTP/1.1\r\nHost: shop.example\r\n"
            b"Attempt-Id: r1\r\nAuthorization: Token key-1\r\n"
            + b"".join(
                f"{name}: {value}\r\n".encode()
                for name, value in GENERATION.items()
            )
            + b"Deadline-Ms: 20000\r\nContent-Length: 0\r\n\r\n"
        )
        await reader.readline()
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )
        writer.transport.abort()
        await harness.wait(lambda: count_incomplete(harness, "caller_left"))
        counts.append(count_incomplete(harness, "caller_left"))

    line = find_line(run_logged(test), "caller_left")
    assert "error=ConnectionResetError" in line
    assert "is_started=True" in line
    assert counts == [1]


# Guards against an answer cut by the shutdown that is put down to its caller.
def test_answer_cut_at_the_limit_of_the_shutdown_is_logged_as_cut_by_it():
    counts = []

    async def test(harness):
        harness.upstreams["left"].event_count = 1000
        call = asyncio.create_task(
            harness.fetch("/draft/x", "POST", data=b"p", headers=GENERATION)
        )
        forwarding = harness.entry.kernel.get("forwarding")
        cut_counter = forwarding.metrics.incomplete_answers.labels(
            "shutdown_limit"
        )
        await harness.wait(lambda: forwarding.running == 1)
        await harness.entry.drain()
        # Ends the connections that still have a request.
        await harness.entry.__aexit__(None, None, None)
        with pytest.raises(aiohttp.ClientError):
            await call
        counts.append(cut_counter._value.get())

    lines = run_logged(test, grace_s=1.0)
    line = find_line(lines, "connection_closed")
    assert "cause=shutdown_limit" in line
    assert "route=draft" in line
    assert "is_started=True" in line
    assert not any(line.startswith("event=caller_left") for line in lines)
    assert counts == [1]


# Guards against a shutdown that closes a connection in the middle of a head.
def test_request_that_the_shutdown_leaves_unread_is_logged():
    counts = []

    async def test(harness):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.ports[0]
        )
        writer.write(b"GET /read/x HTTP/1.1\r\nHost: shop.exa")
        await harness.entry.drain()
        assert await reader.read() == b""
        writer.close()
        counts.append(count_incomplete(harness, "shutdown"))

    line = find_line(run_logged(test, grace_s=1.0), "connection_closed", '""')
    assert "cause=shutdown" in line
    assert counts == [1]


def test_metrics_count_upstreams_that_are_avoided():
    async def test(harness):
        forwarding = harness.entry.kernel.get("forwarding")
        forwarding.record_failure(
            forwarding.directory.get("desk-1"), "connect: refused"
        )
        url = f"http://127.0.0.1:{harness.ports[2]}/metrics"
        async with harness.session.get(url) as response:
            text = await response.text()
        assert "fuchsiabarrow_avoided_upstreams 1.0" in text
        assert "fuchsiabarrow_upstreams 4.0" in text

    run(test)


def test_metrics_count_served_requests():
    async def test(harness):
        await harness.fetch("/read/x")
        url = f"http://127.0.0.1:{harness.ports[2]}/metrics"
        async with harness.session.get(url) as response:
            text = await response.text()
        assert (
            'fuchsiabarrow_requests_total{kind="idempotent",outcome="200"} 1.0'
            in text
        )

    run(test)


def test_shutdown_completes_requests_and_closes_idle_connections():
    async def test(harness):
        harness.upstreams["left"].event_count = 30
        harness.upstreams["left"].gap_s = 0.15
        call = asyncio.create_task(
            harness.fetch("/draft/x", "POST", data=b"p", headers=GENERATION)
        )
        async with aiohttp.ClientSession() as idle:
            address = f"http://127.0.0.1:{harness.ports[0]}"
            async with idle.get(f"{address}/none/x") as response:
                assert response.status == 404
            await harness.entry.drain()
        status, _, body = await call
        assert status == 200
        assert body.count(b"\n\n") == 30
        with pytest.raises(aiohttp.ClientConnectorError):
            await harness.fetch("/read/x")

    run(test)


def test_responses_during_shutdown_close_their_connections():
    async def test(harness):
        harness.entry.kernel.get("frontend").stop()
        _, headers, _ = await harness.fetch("/read/x")
        assert headers["Connection"] == "close"

    run(test)


def test_instance_without_layers_is_ordered_to_load_some():
    async def test(harness):
        upstream = await harness.add_upstream("empty", "model", "l4")
        await harness.wait(lambda: upstream.orders, 8.0)
        (order,) = upstream.orders
        assert order["operation"] == "place"
        assert order["precondition"] == 0
        assert 0 < order["to"] - order["start_key"] <= 12

    run(test)


# The clock of the event loop stands still while an instance is suspended: after
# it, keys that had been revoked meanwhile were still trusted.
def test_keys_are_not_trusted_after_a_suspension_until_confirmed_again():
    suspended_s = 0.0

    def read_time_s() -> float:
        return time.monotonic() + suspended_s

    async def test(harness):
        nonlocal suspended_s
        before, _, _ = await harness.fetch("/read/x")
        suspended_s = 6.0
        after, _, _ = await harness.fetch("/read/x")
        current = harness.entry.kernel.get("current_catalog")
        await harness.wait(lambda: current.get_age_s() < 2.0, 3.0)
        confirmed, _, _ = await harness.fetch("/read/x")
        return before, after, confirmed

    assert run(test, read_time_s=read_time_s) == (200, 503, 200)
