"""Actions over HTTP: validation, triggering, isolation of organisations."""

import asyncio
import socket

import pytest
import uuid6

from fuchsiabarrow.entry.tests import interfaces
from fuchsiabarrow.ports import instances
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters


def test_invalid_actions_are_refused_and_nothing_runs():
    cases = [
        (interfaces.DEPOSIT_PATH, {}, b"{}", 400),
        (interfaces.DEPOSIT_PATH, {"Idempotency-Key": "123"}, b"{}", 400),
        (
            interfaces.DEPOSIT_PATH,
            {"Idempotency-Key": interfaces.EXPIRED_IDEMPOTENCY_KEY},
            b"{}",
            410,
        ),
        (
            interfaces.DEPOSIT_PATH,
            {"Idempotency-Key": interfaces.IDEMPOTENCY_KEY},
            b"{",
            400,
        ),
        (
            interfaces.DEPOSIT_PATH,
            {"Idempotency-Key": interfaces.IDEMPOTENCY_KEY},
            b"\xff",
            400,
        ),
        (
            "/v1/actions/unknown",
            {"Idempotency-Key": interfaces.IDEMPOTENCY_KEY},
            b"{}",
            404,
        ),
        (
            interfaces.DEPOSIT_PATH,
            {"Idempotency-Key": interfaces.IDEMPOTENCY_KEY},
            b" " * 300_000,
            413,
        ),
    ]

    async def check(cluster, entries, session, caller):
        for path, headers, body, expected in cases:
            status, _, found = await interfaces.send(
                session,
                entries[0],
                "POST",
                path,
                clusters.CALLER_KEY,
                headers=headers,
                data=body,
            )
            assert status == expected, headers
            assert found["outcome"] in ("not_run", "unknown")
        assert cluster.service.runs == {}

    interfaces.run(check)


def test_organisation_cannot_read_outcomes_or_streams_of_another():
    async def check(cluster, entries, session, caller):
        await caller.call_action(
            "confirm-deposit", interfaces.IDEMPOTENCY_KEY, {"deposit": 1}
        )
        _, _, found = await interfaces.send(
            session,
            entries[0],
            "GET",
            f"{interfaces.DEPOSIT_PATH}/{interfaces.IDEMPOTENCY_KEY}",
            clusters.OTHER_KEY,
        )
        assert found["outcome"] == "unknown"
        assert "booked" not in str(found)
        answer = await caller.chat("quotes", "a private shelf", 8)
        other = callers.Caller(session, caller.entries, clusters.OTHER_KEY)
        foreign_answer = callers.Answer(last_event_id=answer.last_event_id)
        body = {**interfaces.VALID_CHAT, "stream": True}
        await other.read_stream(caller.entries[0], body, foreign_answer)
        assert not foreign_answer.is_complete
        assert foreign_answer.token_texts == []
        assert foreign_answer.errors[-1]["outcome"] == "failed"

    interfaces.run(check)


def test_reused_key_with_different_body_is_refused():
    async def check(cluster, entries, session, caller):
        await caller.call_action(
            "confirm-deposit", interfaces.IDEMPOTENCY_KEY, {"deposit": 1}
        )
        status, found = await caller.call_action(
            "confirm-deposit", interfaces.IDEMPOTENCY_KEY, {"deposit": 2}
        )
        assert status == 422
        assert "another body" in found["detail"]
        assert cluster.service.runs == {
            clusters.compute_call_key(interfaces.IDEMPOTENCY_KEY): 1
        }

    interfaces.run(check)


def test_complete_answer_triggers_its_action_once_even_if_resumed():
    action = {"name": "confirm-deposit", "body": {"deposit": 5}}

    async def check(cluster, entries, session, caller):
        key = str(uuid6.uuid7())
        answer = await caller.chat("quotes", "x", 30, action=action, key=key)
        assert answer.is_complete
        assert answer.action["outcome"] == "completed"
        resumed = callers.Answer(last_event_id=answer.last_event_id)
        body = {
            **interfaces.VALID_CHAT,
            "stream": True,
            "max_tokens": 30,
            "action": action,
        }
        body["messages"] = [{"role": "user", "content": "x"}]
        for entry in caller.entries:
            await caller.read_stream(entry, body, resumed, key)
            assert resumed.action["outcome"] == "completed"
        assert cluster.service.runs == {clusters.compute_call_key(key): 1}

    interfaces.run(check, entries=2)


def test_incomplete_answer_triggers_no_action():
    action = {"name": "confirm-deposit", "body": {}}

    async def check(cluster, entries, session, caller):
        chat = asyncio.create_task(
            caller.chat(
                "quotes",
                "x",
                900,
                max_requests=1,
                action=action,
                key=interfaces.IDEMPOTENCY_KEY,
            )
        )
        await asyncio.sleep(0.3)
        for engine in cluster.engines.values():
            await engine.crash()
        answer = await chat
        assert not answer.is_complete
        assert answer.action is None
        assert cluster.service.runs == {}

    interfaces.run(check, streams={"no_chain_limit_s": 0.2})


@pytest.mark.parametrize(
    ("action", "key", "expected"),
    [
        ({"name": "unknown", "body": {}}, interfaces.IDEMPOTENCY_KEY, 404),
        ({"name": "read-order", "body": {}}, interfaces.IDEMPOTENCY_KEY, 404),
        ({"name": "confirm-deposit", "body": {}}, "", 400),
        ({"name": "confirm-deposit", "body": {}}, "x", 400),
        (
            {"name": "confirm-deposit", "body": 3},
            interfaces.IDEMPOTENCY_KEY,
            400,
        ),
    ],
    ids=["unknown", "read-only", "no key", "no uuid", "no object"],
)
def test_invalid_triggered_action_is_refused_before_generation(
    action, key, expected
):
    async def check(cluster, entries, session, caller):
        status, _, found = await interfaces.send(
            session,
            entries[0],
            "POST",
            interfaces.CHAT_PATH,
            clusters.CALLER_KEY,
            headers={"Idempotency-Key": key} if key else {},
            json={**interfaces.VALID_CHAT, "action": action},
        )
        assert (status, found["outcome"]) == (expected, "not_run")
        assert all(e.applied_positions == 0 for e in cluster.engines.values())

    interfaces.run(check)


def test_call_runs_on_another_instance_if_connecting_times_out():
    # Guards against reporting "unknown" for a call of which no byte was sent.
    # Pending connections fill the backlog of one instance, so that connecting
    # to it times out; the call must run on another instance.
    async def check(cluster, entries, session, caller):
        with socket.socket() as full_listener:
            full_listener.bind(("127.0.0.1", 0))
            full_listener.listen(0)
            address = full_listener.getsockname()
            pending_connections = [socket.socket() for _ in range(4)]
            for connection in pending_connections:
                connection.setblocking(False)
                connection.connect_ex(address)
            unreachable = instances.Instance(
                "w-0", f"127.0.0.1:{address[1]}", "service", "workshop"
            )
            cluster.instance_list.put(unreachable)
            health = entries[0].kernel.get("routing").health
            async with asyncio.timeout(5):
                while health.find("w-0") is None:
                    await asyncio.sleep(0.02)
            keys = []
            # Calls are sent until one has chosen the unreachable instance.
            while not health.find("w-0").failures:
                keys.append(str(uuid6.uuid7()))
                _, found = await caller.call_action(
                    "confirm-deposit", keys[-1], {}
                )
                assert found["outcome"] == "completed"
                assert len(keys) < 50
            for connection in pending_connections:
                connection.close()
        call_keys = [clusters.compute_call_key(key) for key in keys]
        assert cluster.service.runs == dict.fromkeys(call_keys, 1)

    interfaces.run(check)


@pytest.mark.parametrize("guard", ["deduplicates", "fences"])
def test_organisations_with_the_same_key_get_separate_runs(guard):
    # Guards against two organisations sharing a service's record of a key.
    async def check(cluster, entries, session, caller):
        cluster.service.faults.check_fence = True
        other = callers.Caller(session, caller.entries, clusters.OTHER_KEY)
        _, first = await caller.call_action(
            "confirm-deposit", interfaces.IDEMPOTENCY_KEY, {"deposit": 1}
        )
        _, second = await other.call_action(
            "confirm-deposit", interfaces.IDEMPOTENCY_KEY, {"deposit": 2}
        )
        assert first["answer"]["echo"] == {"deposit": 1}
        assert second["answer"]["echo"] == {"deposit": 2}
        assert sorted(cluster.service.runs.values()) == [1, 1]

    interfaces.run(check, guard=guard)
