"""Chat completions: complete, streamed, resumed and refused."""

import asyncio

import msgspec

from fuchsiabarrow.entry.tests import interfaces
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.streams.tests import entries as entries_module

INVALID_CHATS = [
    (b"", 400),
    (b"{", 400),
    (b"\xff\xfe", 400),
    (b"[]", 400),
    (b"null", 400),
    (b'{"model": 3, "messages": []}', 400),
    (msgspec.json.encode({**interfaces.VALID_CHAT, "messages": []}), 400),
    (
        msgspec.json.encode(
            {**interfaces.VALID_CHAT, "messages": [{"role": "user"}]}
        ),
        400,
    ),
    (msgspec.json.encode({**interfaces.VALID_CHAT, "model": "unknown"}), 404),
    (msgspec.json.encode({**interfaces.VALID_CHAT, "max_tokens": 0}), 400),
    (msgspec.json.encode({**interfaces.VALID_CHAT, "max_tokens": 10**9}), 400),
    (msgspec.json.encode({**interfaces.VALID_CHAT, "max_tokens": "4"}), 400),
    (
        msgspec.json.encode(
            {
                **interfaces.VALID_CHAT,
                "messages": [{"role": "user", "content": "x" * 5000}],
            }
        ),
        400,
    ),
    (b"[" * 100_000, 400),
    (b" " * 300_000, 413),
]


def test_invalid_chats_are_refused_and_nothing_runs():
    async def check(cluster, entries, session, caller):
        for body, expected in INVALID_CHATS:
            status, headers, found = await interfaces.send(
                session,
                entries[0],
                "POST",
                interfaces.CHAT_PATH,
                clusters.CALLER_KEY,
                data=body,
            )
            assert status == expected, body[:60]
            assert headers["Content-Type"] == "application/problem+json"
            assert found["outcome"] == "not_run"
            assert found["status"] == status
            assert found["detail"]
        assert all(e.applied_positions == 0 for e in cluster.engines.values())

    interfaces.run(check)


def test_entry_survives_oversized_headers_and_invalid_http():
    async def check(cluster, entries, session, caller):
        url = f"http://{entries[0].caller_address}{interfaces.CHAT_PATH}"
        async with session.post(url, headers={"X": "x" * 100_000}) as answer:
            assert answer.status == 400
        host, port = entries[0].caller_address.split(":")
        for invalid_bytes in (
            b"\x00" * 5000,
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST",
        ):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(invalid_bytes)
            writer.write_eof()
            await reader.read()
            writer.close()
        answer = await caller.chat("quotes", "a shelf", 4)
        assert answer.is_complete

    interfaces.run(check)


def test_completion_reports_usage_and_models_are_listed():
    async def check(cluster, entries, session, caller):
        key = clusters.CALLER_KEY
        _, _, found = await interfaces.send(
            session,
            entries[0],
            "POST",
            interfaces.CHAT_PATH,
            key,
            json=interfaces.VALID_CHAT,
        )
        text = found["choices"][0]["message"]["content"]
        assert text == "".join(
            entries_module.compute_expected_answer("a shelf", 4)
        )
        assert found["usage"]["completion_tokens"] == 4
        _, _, models = await interfaces.send(
            session, entries[0], "GET", "/v1/models", key
        )
        assert [model["id"] for model in models["data"]] == ["quotes"]

    interfaces.run(check)


def test_stream_is_resumed_at_the_same_entry_without_recomputation():
    async def check(cluster, entries, session, caller):
        answer = await caller.chat("quotes", "a shelf", 30)
        positions_before = sum(
            e.applied_positions for e in cluster.engines.values()
        )
        resumed = callers.Answer(last_event_id=answer.last_event_id)
        body = {**interfaces.VALID_CHAT, "stream": True, "max_tokens": 30}
        await caller.read_stream(caller.entries[0], body, resumed)
        assert resumed.is_complete
        assert resumed.token_texts == []
        positions_after = sum(
            e.applied_positions for e in cluster.engines.values()
        )
        assert positions_after == positions_before

    interfaces.run(check)


def test_resumption_with_a_different_digest_ends_in_an_error():
    async def check(cluster, entries, session, caller):
        answer = await caller.chat("quotes", "a shelf", 10)
        mismatched = callers.Answer(last_event_id=f"gone-1.5.{'ab' * 8}")
        body = {**interfaces.VALID_CHAT, "stream": True, "max_tokens": 10}
        await caller.read_stream(caller.entries[0], body, mismatched)
        assert answer.is_complete
        assert not mismatched.is_complete
        assert mismatched.token_texts == []
        assert "cannot be resumed" in mismatched.errors[-1]["detail"]

    interfaces.run(check)


def test_entry_at_capacity_refuses_with_retry_after():
    async def check(cluster, entries, session, caller):
        service = entries[0].kernel.get("configuration")
        limits = {"limits": {"streams": 2, "waiting": 1, "wait_s": 0.2}}
        await service.patch(limits, 1, "desk")
        chats = await entries_module.chat_all(caller, ["a", "b"], 900)
        await asyncio.sleep(0.1)
        status, headers, found = await interfaces.send(
            session,
            entries[0],
            "POST",
            interfaces.CHAT_PATH,
            clusters.CALLER_KEY,
            json=interfaces.VALID_CHAT,
        )
        assert status == 429
        assert int(headers["Retry-After"]) >= 1
        assert found["outcome"] == "not_run"
        for chat in chats:
            chat.cancel()
        await asyncio.gather(*chats, return_exceptions=True)

    interfaces.run(check)
