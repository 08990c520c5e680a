"""The callers' and operators' interfaces refuse, and tell why."""

import asyncio
import contextlib
import io
import logging
import socket
import sys

import aiohttp
import msgspec
from opentelemetry.sdk.trace.export import in_memory_span_exporter
import pytest
import uuid6

from fuchsiabarrow.commands import demonstration
from fuchsiabarrow.entry import composition
from fuchsiabarrow.ports import instances
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import worlds as world_standins
from fuchsiabarrow.streams.tests import worlds
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import loops

CHAT = "/v1/chat/completions"
DEPOSIT = "/v1/actions/confirm-deposit"
KEY = str(uuid6.uuid7())
OLD_KEY = "0189d3a0-0000-7000-8000-000000000000"
MESSAGE = {"role": "user", "content": "a shelf"}
VALID = {"model": "quotes", "messages": [MESSAGE], "max_tokens": 4}


def run(check, **options):
    async def main():
        async with worlds.start(**options) as (world, entries, caller):
            async with aiohttp.ClientSession() as session:
                await check(world, entries, session, caller)

    loops.run(main())


async def send(session, entry, method, path, key=None, **arguments):
    """Returns the status, headers and decoded body of an answer."""
    headers = arguments.pop("headers", {})
    if key is not None:
        headers = {"Authorization": f"Bearer {key}", **headers}
    async with session.request(
        method,
        f"http://{entry.caller_address}{path}",
        headers=headers,
        **arguments,
    ) as answer:
        body = await answer.read()
        return answer.status, answer.headers, msgspec.json.decode(body)


INVALID_CHATS = [
    (b"", 400),
    (b"{", 400),
    (b"\xff\xfe", 400),
    (b"[]", 400),
    (b"null", 400),
    (b'{"model": 3, "messages": []}', 400),
    (msgspec.json.encode({**VALID, "messages": []}), 400),
    (msgspec.json.encode({**VALID, "messages": [{"role": "user"}]}), 400),
    (msgspec.json.encode({**VALID, "model": "unknown"}), 404),
    (msgspec.json.encode({**VALID, "max_tokens": 0}), 400),
    (msgspec.json.encode({**VALID, "max_tokens": 10**9}), 400),
    (msgspec.json.encode({**VALID, "max_tokens": "4"}), 400),
    (
        msgspec.json.encode(
            {**VALID, "messages": [{"role": "user", "content": "x" * 5000}]}
        ),
        400,
    ),
    (b"[" * 100_000, 400),
    (b" " * 300_000, 413),
]


def test_invalid_chats_are_refused_and_nothing_runs():
    async def check(world, entries, session, caller):
        for body, expected in INVALID_CHATS:
            status, headers, found = await send(
                session,
                entries[0],
                "POST",
                CHAT,
                world_standins.CALLER_KEY,
                data=body,
            )
            assert status == expected, body[:60]
            assert headers["Content-Type"] == "application/problem+json"
            assert found["outcome"] == "not_run"
            assert found["status"] == status
            assert found["detail"]
        assert all(e.applied_positions == 0 for e in world.engines.values())

    run(check)


def test_oversized_headers_and_raw_noise_do_no_harm():
    async def check(world, entries, session, caller):
        url = f"http://{entries[0].caller_address}{CHAT}"
        async with session.post(url, headers={"X": "x" * 100_000}) as answer:
            assert answer.status == 400
        host, port = entries[0].caller_address.split(":")
        for noise in (b"\x00" * 5000, b"GET / HTTP/9.9\r\n\r\n", b"POST"):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(noise)
            writer.write_eof()
            await reader.read()
            writer.close()
        answer = await caller.chat("quotes", "a shelf", 4)
        assert answer.is_whole

    run(check)


def test_invalid_actions_are_refused_and_nothing_runs():
    cases = [
        (DEPOSIT, {}, b"{}", 400),
        (DEPOSIT, {"Idempotency-Key": "123"}, b"{}", 400),
        (DEPOSIT, {"Idempotency-Key": OLD_KEY}, b"{}", 410),
        (DEPOSIT, {"Idempotency-Key": KEY}, b"{", 400),
        (DEPOSIT, {"Idempotency-Key": KEY}, b"\xff", 400),
        ("/v1/actions/unknown", {"Idempotency-Key": KEY}, b"{}", 404),
        (DEPOSIT, {"Idempotency-Key": KEY}, b" " * 300_000, 413),
    ]

    async def check(world, entries, session, caller):
        for path, headers, body, expected in cases:
            status, _, found = await send(
                session,
                entries[0],
                "POST",
                path,
                world_standins.CALLER_KEY,
                headers=headers,
                data=body,
            )
            assert status == expected, headers
            assert found["outcome"] in ("not_run", "unknown")
        assert world.service.runs == {}

    run(check)


@pytest.mark.parametrize("key", [None, "", "wrong", "x" * 2000])
def test_requests_without_a_known_key_are_refused(key):
    async def check(world, entries, session, caller):
        for method, path in (
            ("POST", CHAT),
            ("GET", "/v1/models"),
            ("POST", DEPOSIT),
            ("GET", f"{DEPOSIT}/{KEY}"),
        ):
            status, headers, _ = await send(
                session, entries[0], method, path, key, data=b"{}"
            )
            assert status == 401
            assert headers["WWW-Authenticate"] == "Bearer"

    run(check)


def test_caller_key_does_not_open_the_operators_interface():
    async def check(world, entries, session, caller):
        for method in ("GET", "PATCH"):
            async with session.request(
                method,
                f"http://{entries[0].operator_address}/v1/configuration",
                headers={
                    "Authorization": f"Bearer {world_standins.CALLER_KEY}",
                    "If-Match": "1",
                },
                data=b"{}",
            ) as answer:
                assert answer.status == 401

    run(check)


def test_one_organisation_does_not_see_anothers_outcomes_or_streams():
    async def check(world, entries, session, caller):
        await caller.act("confirm-deposit", KEY, {"deposit": 1})
        _, _, found = await send(
            session,
            entries[0],
            "GET",
            f"{DEPOSIT}/{KEY}",
            world_standins.OTHER_KEY,
        )
        assert found["outcome"] == "unknown"
        assert "booked" not in str(found)
        answer = await caller.chat("quotes", "a private shelf", 8)
        other = callers.Caller(
            session, caller.entries, world_standins.OTHER_KEY
        )
        stolen = callers.Answer(last_id=answer.last_id)
        body = {**VALID, "stream": True}
        await other._read_stream(caller.entries[0], body, stolen)
        assert not stolen.is_whole
        assert stolen.pieces == []
        assert stolen.errors[-1]["outcome"] == "failed"

    run(check)


def test_key_sent_again_with_another_body_is_refused():
    async def check(world, entries, session, caller):
        await caller.act("confirm-deposit", KEY, {"deposit": 1})
        status, found = await caller.act("confirm-deposit", KEY, {"deposit": 2})
        assert status == 422
        assert "another body" in found["detail"]
        assert world.service.runs == {world_standins.name_booking(KEY): 1}

    run(check)


def test_whole_answer_has_usage_and_models_are_listed():
    async def check(world, entries, session, caller):
        key = world_standins.CALLER_KEY
        _, _, found = await send(
            session, entries[0], "POST", CHAT, key, json=VALID
        )
        text = found["choices"][0]["message"]["content"]
        assert text == "".join(worlds.expect("a shelf", 4))
        assert found["usage"]["completion_tokens"] == 4
        _, _, models = await send(session, entries[0], "GET", "/v1/models", key)
        assert [model["id"] for model in models["data"]] == ["quotes"]

    run(check)


def test_stream_is_resumed_at_the_same_entry_without_running_again():
    async def check(world, entries, session, caller):
        answer = await caller.chat("quotes", "a shelf", 30)
        steps = sum(e.applied_positions for e in world.engines.values())
        resumed = callers.Answer(last_id=answer.last_id)
        body = {**VALID, "stream": True, "max_tokens": 30}
        await caller._read_stream(caller.entries[0], body, resumed)
        assert resumed.is_whole
        assert resumed.pieces == []
        after = sum(e.applied_positions for e in world.engines.values())
        assert after == steps

    run(check)


def test_stream_that_cannot_be_resumed_as_it_was_says_so():
    async def check(world, entries, session, caller):
        answer = await caller.chat("quotes", "a shelf", 10)
        changed = callers.Answer(last_id=f"gone-1.5.{'ab' * 8}")
        body = {**VALID, "stream": True, "max_tokens": 10}
        await caller._read_stream(caller.entries[0], body, changed)
        assert answer.is_whole
        assert not changed.is_whole
        assert changed.pieces == []
        assert "cannot be resumed" in changed.errors[-1]["detail"]

    run(check)


def test_short_capacity_refuses_early_and_says_when_to_come_back():
    async def check(world, entries, session, caller):
        service = entries[0].kernel.get("configuration")
        limits = {"limits": {"streams": 2, "waiting": 1, "wait_s": 0.2}}
        await service.patch(limits, 1, "desk")
        works = await worlds.chat_all(caller, ["a", "b"], 900)
        await asyncio.sleep(0.1)
        status, headers, found = await send(
            session,
            entries[0],
            "POST",
            CHAT,
            world_standins.CALLER_KEY,
            json=VALID,
        )
        assert status == 429
        assert int(headers["Retry-After"]) >= 1
        assert found["outcome"] == "not_run"
        for work in works:
            work.cancel()
        await asyncio.gather(*works, return_exceptions=True)

    run(check)


def test_draining_entry_refuses_new_work_and_is_not_ready():
    async def check(world, entries, session, caller):
        await entries[0].drain()
        status, headers, found = await send(
            session,
            entries[0],
            "POST",
            CHAT,
            world_standins.CALLER_KEY,
            json=VALID,
        )
        assert (status, found["outcome"]) == (503, "not_run")
        assert headers["Connection"] == "close"
        url = f"http://{entries[0].caller_address}/readyz"
        async with session.get(url) as answer:
            assert answer.status == 503

    run(check)


def test_stop_hands_long_streams_on_with_an_explicit_event():
    async def check(world, entries, session, caller):
        for engine in world.engines.values():
            engine.faults.delay_s = 0.05
        works = await worlds.chat_all(caller, ["a long one"], 60)
        await asyncio.sleep(0.3)
        serving = next(
            e for e in entries if e.kernel.get("streams").count_running()
        )
        await serving.drain()
        (answer,) = await worlds.check_answers(["a long one"], works, 60)
        assert len(set(answer.entries)) == 2
        assert "Last-Event-ID" in answer.errors[0]["detail"]

    short = {"entries": 2, "entry_options": {"stop_limit_s": 0.5}}
    run(check, **short)


def test_every_hop_has_a_span_below_its_attempt():
    exporter = in_memory_span_exporter.InMemorySpanExporter()

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            world = await stack.enter_async_context(world_standins.World())
            settings = demonstration.make_settings(world, "entry-1")
            entry = await stack.enter_async_context(
                composition.Entry(settings, seed=1, exporter=exporter)
            )
            service = entry.kernel.get("configuration")
            await service.patch(world_standins.make_configuration(), 0, "t")
            session = await stack.enter_async_context(aiohttp.ClientSession())
            caller = callers.Caller(
                session, [entry.caller_address], world_standins.CALLER_KEY
            )
            assert (await caller.chat("quotes", "a shelf", 5)).is_whole

    loops.run(main())
    spans = exporter.get_finished_spans()
    (attempt,) = [span for span in spans if span.name == "attempt"]
    hops = [span for span in spans if span.name == "hop"]
    layers = sorted(
        (h.attributes["first_layer"], h.attributes["end_layer"]) for h in hops
    )
    assert layers[0][0] == 0
    assert layers[-1][1] == world_standins.LAYERS
    for hop in hops:
        assert hop.parent.span_id == attempt.context.span_id
        assert hop.attributes["steps"] == 5


def test_logs_are_key_value_lines_without_secrets_or_prompts(monkeypatch):
    written = io.StringIO()
    monkeypatch.setattr(sys, "stderr", written)
    secret = "the-secret-wish-of-a-caller"

    async def check(world, entries, session, caller):
        logs.set_up_logs(logs.Settings(level="debug"))
        await caller.chat("quotes", secret, 5)
        await caller.act("confirm-deposit", KEY, {"card": secret})
        await world.engines["a-1"].crash()
        await send(session, entries[0], "POST", CHAT, secret, data=b"{")
        logging.getLogger("aiohttp.server").error("a library's\nown event")

    run(check)
    lines = written.getvalue().splitlines()
    assert any("logger=aiohttp.server" in line for line in lines)
    assert all(line.startswith("time=") for line in lines)
    assert all(" event=" in line for line in lines)
    text = written.getvalue()
    assert secret not in text
    assert world_standins.CALLER_KEY not in text


def test_metrics_and_status_tell_what_happened():
    async def check(world, entries, session, caller):
        await caller.chat("quotes", "a shelf", 5)
        base = f"http://{entries[0].operator_address}"
        async with session.get(f"{base}/metrics") as answer:
            text = await answer.text()
        assert "fuchsiabarrow_tokens_total 5.0" in text
        assert "fuchsiabarrow_configuration_number 1.0" in text
        key = world_standins.OPERATOR_KEY
        async with session.get(
            f"{base}/v1/status", headers={"Authorization": f"Bearer {key}"}
        ) as answer:
            status = await answer.json()
        assert status["configuration"] == 1
        assert {i["instance_id"] for i in status["instances"]} >= {"a-1", "w-1"}
        assert [m["name"] for m in status["members"]] == ["entry-1"]

    run(check)


@pytest.mark.parametrize(
    ("headers", "body", "expected"),
    [
        ({}, b"{}", 428),
        ({"If-Match": "x"}, b"{}", 428),
        ({"If-Match": "0"}, b"{}", 412),
        ({"If-Match": "1"}, b"{", 400),
        ({"If-Match": "1"}, b"[]", 422),
        ({"If-Match": "1"}, b'{"models": 3}', 422),
        ({"If-Match": '"1"'}, b"{}", 200),
    ],
)
def test_patches_need_the_number_in_force_and_a_valid_body(
    headers, body, expected
):
    async def check(world, entries, session, caller):
        key = world_standins.OPERATOR_KEY
        async with session.patch(
            f"http://{entries[0].operator_address}/v1/configuration",
            headers={"Authorization": f"Bearer {key}", **headers},
            data=body,
        ) as answer:
            assert answer.status == expected
            if expected == 412:
                assert answer.headers["ETag"] == '"1"'

    run(check)


def test_whole_answer_triggers_its_action_once_also_when_it_is_resumed():
    action = {"name": "confirm-deposit", "body": {"deposit": 5}}

    async def check(world, entries, session, caller):
        key = str(uuid6.uuid7())
        answer = await caller.chat("quotes", "x", 30, action=action, key=key)
        assert answer.is_whole
        assert answer.action["outcome"] == "completed"
        resumed = callers.Answer(last_id=answer.last_id)
        body = {**VALID, "stream": True, "max_tokens": 30, "action": action}
        body["messages"] = [{"role": "user", "content": "x"}]
        for entry in caller.entries:
            await caller._read_stream(entry, body, resumed, key)
            assert resumed.action["outcome"] == "completed"
        assert world.service.runs == {world_standins.name_booking(key): 1}

    run(check, entries=2)


def test_answer_that_is_not_whole_triggers_nothing():
    action = {"name": "confirm-deposit", "body": {}}

    async def check(world, entries, session, caller):
        work = asyncio.create_task(
            caller.chat("quotes", "x", 900, tries=1, action=action, key=KEY)
        )
        await asyncio.sleep(0.3)
        for engine in world.engines.values():
            await engine.crash()
        answer = await work
        assert not answer.is_whole
        assert answer.action is None
        assert world.service.runs == {}

    run(check, streams={"no_chain_limit_s": 0.2})


@pytest.mark.parametrize(
    ("action", "key", "expected"),
    [
        ({"name": "unknown", "body": {}}, KEY, 404),
        ({"name": "read-order", "body": {}}, KEY, 404),
        ({"name": "confirm-deposit", "body": {}}, "", 400),
        ({"name": "confirm-deposit", "body": {}}, "x", 400),
        ({"name": "confirm-deposit", "body": 3}, KEY, 400),
    ],
)
def test_action_that_may_not_be_triggered_is_refused_beforehand(
    action, key, expected
):
    async def check(world, entries, session, caller):
        status, _, found = await send(
            session,
            entries[0],
            "POST",
            CHAT,
            world_standins.CALLER_KEY,
            headers={"Idempotency-Key": key} if key else {},
            json={**VALID, "action": action},
        )
        assert (status, found["outcome"]) == (expected, "not_run")
        assert all(e.applied_positions == 0 for e in world.engines.values())

    run(check)


def test_service_that_takes_no_connection_is_passed_over_and_then_avoided():
    # Guards against "unknown" for calls of which no byte had left.
    async def check(world, entries, session, caller):
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = full.getsockname()
            held = [socket.socket() for _ in range(4)]
            for connection in held:
                connection.setblocking(False)
                connection.connect_ex(address)
            listed = instances.Instance(
                "w-0", f"127.0.0.1:{address[1]}", "service", "workshop"
            )
            world.listing.put(listed)
            evidence = entries[0].kernel.get("routing").evidence
            async with asyncio.timeout(5):
                while evidence.find("w-0") is None:
                    await asyncio.sleep(0.02)
            keys = []
            while not evidence.find("w-0").failures:
                keys.append(str(uuid6.uuid7()))
                _, found = await caller.act("confirm-deposit", keys[-1], {})
                assert found["outcome"] == "completed"
                assert len(keys) < 50
            for connection in held:
                connection.close()
        named = [world_standins.name_booking(key) for key in keys]
        assert world.service.runs == dict.fromkeys(named, 1)

    run(check)


@pytest.mark.parametrize("guard", ["deduplicates", "fences"])
def test_organisations_that_send_the_same_key_get_each_their_own_booking(guard):
    # Guards against a service's record of a key being shared by two.
    async def check(world, entries, session, caller):
        world.service.faults.check_fence = True
        other = callers.Caller(
            session, caller.entries, world_standins.OTHER_KEY
        )
        _, first = await caller.act("confirm-deposit", KEY, {"deposit": 1})
        _, second = await other.act("confirm-deposit", KEY, {"deposit": 2})
        assert first["answer"]["echo"] == {"deposit": 1}
        assert second["answer"]["echo"] == {"deposit": 2}
        assert sorted(world.service.runs.values()) == [1, 1]

    run(check, guard=guard)
