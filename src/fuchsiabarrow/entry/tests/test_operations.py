"""Authentication, operators, shutdown, logs, traces and metrics."""

import asyncio
import contextlib
import io
import logging
import sys

import aiohttp
from opentelemetry.sdk.trace.export import in_memory_span_exporter
import pytest

from fuchsiabarrow.commands import demo
from fuchsiabarrow.entry import composition
from fuchsiabarrow.entry.tests import interfaces
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.streams.tests import entries as entries_module
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import loops


@pytest.mark.parametrize("key", [None, "", "wrong", "x" * 2000])
def test_requests_without_a_known_key_are_refused(key):
    async def check(cluster, entries, session, caller):
        for method, path in (
            ("POST", interfaces.CHAT_PATH),
            ("GET", "/v1/models"),
            ("POST", interfaces.DEPOSIT_PATH),
            ("GET", f"{interfaces.DEPOSIT_PATH}/{interfaces.IDEMPOTENCY_KEY}"),
        ):
            status, headers, _ = await interfaces.send(
                session, entries[0], method, path, key, data=b"{}"
            )
            assert status == 401
            assert headers["WWW-Authenticate"] == "Bearer"

    interfaces.run(check)


def test_caller_key_does_not_open_the_operators_interface():
    async def check(cluster, entries, session, caller):
        for method in ("GET", "PATCH"):
            async with session.request(
                method,
                f"http://{entries[0].operator_address}/v1/configuration",
                headers={
                    "Authorization": f"Bearer {clusters.CALLER_KEY}",
                    "If-Match": "1",
                },
                data=b"{}",
            ) as answer:
                assert answer.status == 401

    interfaces.run(check)


def test_draining_entry_refuses_new_work_and_is_not_ready():
    async def check(cluster, entries, session, caller):
        await entries[0].drain()
        status, headers, found = await interfaces.send(
            session,
            entries[0],
            "POST",
            interfaces.CHAT_PATH,
            clusters.CALLER_KEY,
            json=interfaces.VALID_CHAT,
        )
        assert (status, found["outcome"]) == (503, "not_run")
        assert headers["Connection"] == "close"
        url = f"http://{entries[0].caller_address}/readyz"
        async with session.get(url) as answer:
            assert answer.status == 503

    interfaces.run(check)


def test_shutdown_ends_long_streams_which_resume_at_another_entry():
    async def check(cluster, entries, session, caller):
        for engine in cluster.engines.values():
            engine.faults.delay_s = 0.05
        chats = await entries_module.chat_all(caller, ["a long one"], 60)
        await asyncio.sleep(0.3)
        serving = next(
            e for e in entries if e.kernel.get("streams").count_running()
        )
        await serving.drain()
        (answer,) = await entries_module.check_answers(
            ["a long one"], chats, 60
        )
        assert len(set(answer.entries)) == 2
        assert "Last-Event-ID" in answer.errors[0]["detail"]

    options = {"entries": 2, "entry_options": {"stop_limit_s": 0.5}}
    interfaces.run(check, **options)


def test_each_hop_span_is_a_child_of_its_attempt():
    exporter = in_memory_span_exporter.InMemorySpanExporter()

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            cluster = await stack.enter_async_context(
                clusters.SimulatedCluster()
            )
            settings = demo.make_settings(cluster, "entry-1")
            entry = await stack.enter_async_context(
                composition.Entry(settings, seed=1, exporter=exporter)
            )
            service = entry.kernel.get("configuration")
            await service.patch(clusters.make_configuration(), 0, "t")
            session = await stack.enter_async_context(aiohttp.ClientSession())
            caller = callers.Caller(
                session, [entry.caller_address], clusters.CALLER_KEY
            )
            assert (await caller.chat("quotes", "a shelf", 5)).is_complete

    loops.run(main())
    spans = exporter.get_finished_spans()
    (attempt,) = [span for span in spans if span.name == "attempt"]
    hops = [span for span in spans if span.name == "hop"]
    layers = sorted(
        (h.attributes["first_layer"], h.attributes["end_layer"]) for h in hops
    )
    assert layers[0][0] == 0
    assert layers[-1][1] == clusters.LAYERS
    for hop in hops:
        assert hop.parent.span_id == attempt.context.span_id
        assert hop.attributes["steps"] == 5


def test_logs_are_key_value_lines_without_secrets_or_prompts(monkeypatch):
    log_output = io.StringIO()
    monkeypatch.setattr(sys, "stderr", log_output)
    secret = "the-secret-wish-of-a-caller"

    async def check(cluster, entries, session, caller):
        logs.set_up_logs(logs.Settings(level="debug"))
        await caller.chat("quotes", secret, 5)
        await caller.call_action(
            "confirm-deposit", interfaces.IDEMPOTENCY_KEY, {"card": secret}
        )
        await cluster.engines["a-1"].crash()
        await interfaces.send(
            session, entries[0], "POST", interfaces.CHAT_PATH, secret, data=b"{"
        )
        logging.getLogger("aiohttp.server").error("a library's\nown event")

    interfaces.run(check)
    lines = log_output.getvalue().splitlines()
    assert any("logger=aiohttp.server" in line for line in lines)
    assert all(line.startswith("time=") for line in lines)
    assert all(" event=" in line for line in lines)
    text = log_output.getvalue()
    assert secret not in text
    assert clusters.CALLER_KEY not in text


def test_metrics_and_status_reflect_served_requests():
    async def check(cluster, entries, session, caller):
        await caller.chat("quotes", "a shelf", 5)
        base = f"http://{entries[0].operator_address}"
        async with session.get(f"{base}/metrics") as answer:
            text = await answer.text()
        assert "fuchsiabarrow_tokens_total 5.0" in text
        assert "fuchsiabarrow_configuration_number 1.0" in text
        key = clusters.OPERATOR_KEY
        async with session.get(
            f"{base}/v1/status", headers={"Authorization": f"Bearer {key}"}
        ) as answer:
            status = await answer.json()
        assert status["configuration"] == 1
        assert {i["instance_id"] for i in status["instances"]} >= {"a-1", "w-1"}
        assert [m["name"] for m in status["members"]] == ["entry-1"]

    interfaces.run(check)


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
def test_patch_requires_the_number_in_force_and_a_valid_body(
    headers, body, expected
):
    async def check(cluster, entries, session, caller):
        key = clusters.OPERATOR_KEY
        async with session.patch(
            f"http://{entries[0].operator_address}/v1/configuration",
            headers={"Authorization": f"Bearer {key}", **headers},
            data=body,
        ) as answer:
            assert answer.status == expected
            if expected == 412:
                assert answer.headers["ETag"] == '"1"'

    interfaces.run(check)
