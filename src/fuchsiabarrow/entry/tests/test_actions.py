"""Actions over the interface: refused, triggered, apart by organisation."""

import asyncio
import socket

import pytest
import uuid6

from fuchsiabarrow.entry.tests import interfaces
from fuchsiabarrow.ports import instances
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import worlds as world_standins


def test_invalid_actions_are_refused_and_nothing_runs():
    cases = [
        (interfaces.DEPOSIT, {}, b"{}", 400),
        (interfaces.DEPOSIT, {"Idempotency-Key": "123"}, b"{}", 400),
        (
            interfaces.DEPOSIT,
            {"Idempotency-Key": interfaces.OLD_KEY},
            b"{}",
            410,
        ),
        (interfaces.DEPOSIT, {"Idempotency-Key": interfaces.KEY}, b"{", 400),
        (interfaces.DEPOSIT, {"Idempotency-Key": interfaces.KEY}, b"\xff", 400),
        (
            "/v1/actions/unknown",
            {"Idempotency-Key": interfaces.KEY},
            b"{}",
            404,
        ),
        (
            interfaces.DEPOSIT,
            {"Idempotency-Key": interfaces.KEY},
            b" " * 300_000,
            413,
        ),
    ]

    async def check(world, entries, session, caller):
        for path, headers, body, expected in cases:
            status, _, found = await interfaces.send(
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

    interfaces.run(check)


def test_one_organisation_does_not_see_anothers_outcomes_or_streams():
    async def check(world, entries, session, caller):
        await caller.act("confirm-deposit", interfaces.KEY, {"deposit": 1})
        _, _, found = await interfaces.send(
            session,
            entries[0],
            "GET",
            f"{interfaces.DEPOSIT}/{interfaces.KEY}",
            world_standins.OTHER_KEY,
        )
        assert found["outcome"] == "unknown"
        assert "booked" not in str(found)
        answer = await caller.chat("quotes", "a private shelf", 8)
        other = callers.Caller(
            session, caller.entries, world_standins.OTHER_KEY
        )
        stolen = callers.Answer(last_id=answer.last_id)
        body = {**interfaces.VALID, "stream": True}
        await other._read_stream(caller.entries[0], body, stolen)
        assert not stolen.is_whole
        assert stolen.pieces == []
        assert stolen.errors[-1]["outcome"] == "failed"

    interfaces.run(check)


def test_key_sent_again_with_another_body_is_refused():
    async def check(world, entries, session, caller):
        await caller.act("confirm-deposit", interfaces.KEY, {"deposit": 1})
        status, found = await caller.act(
            "confirm-deposit", interfaces.KEY, {"deposit": 2}
        )
        assert status == 422
        assert "another body" in found["detail"]
        assert world.service.runs == {
            world_standins.name_booking(interfaces.KEY): 1
        }

    interfaces.run(check)


def test_whole_answer_triggers_its_action_once_also_when_it_is_resumed():
    action = {"name": "confirm-deposit", "body": {"deposit": 5}}

    async def check(world, entries, session, caller):
        key = str(uuid6.uuid7())
        answer = await caller.chat("quotes", "x", 30, action=action, key=key)
        assert answer.is_whole
        assert answer.action["outcome"] == "completed"
        resumed = callers.Answer(last_id=answer.last_id)
        body = {
            **interfaces.VALID,
            "stream": True,
            "max_tokens": 30,
            "action": action,
        }
        body["messages"] = [{"role": "user", "content": "x"}]
        for entry in caller.entries:
            await caller._read_stream(entry, body, resumed, key)
            assert resumed.action["outcome"] == "completed"
        assert world.service.runs == {world_standins.name_booking(key): 1}

    interfaces.run(check, entries=2)


def test_answer_that_is_not_whole_triggers_nothing():
    action = {"name": "confirm-deposit", "body": {}}

    async def check(world, entries, session, caller):
        work = asyncio.create_task(
            caller.chat(
                "quotes", "x", 900, tries=1, action=action, key=interfaces.KEY
            )
        )
        await asyncio.sleep(0.3)
        for engine in world.engines.values():
            await engine.crash()
        answer = await work
        assert not answer.is_whole
        assert answer.action is None
        assert world.service.runs == {}

    interfaces.run(check, streams={"no_chain_limit_s": 0.2})


@pytest.mark.parametrize(
    ("action", "key", "expected"),
    [
        ({"name": "unknown", "body": {}}, interfaces.KEY, 404),
        ({"name": "read-order", "body": {}}, interfaces.KEY, 404),
        ({"name": "confirm-deposit", "body": {}}, "", 400),
        ({"name": "confirm-deposit", "body": {}}, "x", 400),
        ({"name": "confirm-deposit", "body": 3}, interfaces.KEY, 400),
    ],
)
def test_action_that_may_not_be_triggered_is_refused_beforehand(
    action, key, expected
):
    async def check(world, entries, session, caller):
        status, _, found = await interfaces.send(
            session,
            entries[0],
            "POST",
            interfaces.CHAT,
            world_standins.CALLER_KEY,
            headers={"Idempotency-Key": key} if key else {},
            json={**interfaces.VALID, "action": action},
        )
        assert (status, found["outcome"]) == (expected, "not_run")
        assert all(e.applied_positions == 0 for e in world.engines.values())

    interfaces.run(check)


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

    interfaces.run(check)


@pytest.mark.parametrize("guard", ["deduplicates", "fences"])
def test_organisations_that_send_the_same_key_get_each_their_own_booking(guard):
    # Guards against a service's record of a key being shared by two.
    async def check(world, entries, session, caller):
        world.service.faults.check_fence = True
        other = callers.Caller(
            session, caller.entries, world_standins.OTHER_KEY
        )
        _, first = await caller.act(
            "confirm-deposit", interfaces.KEY, {"deposit": 1}
        )
        _, second = await other.act(
            "confirm-deposit", interfaces.KEY, {"deposit": 2}
        )
        assert first["answer"]["echo"] == {"deposit": 1}
        assert second["answer"]["echo"] == {"deposit": 2}
        assert sorted(world.service.runs.values()) == [1, 1]

    interfaces.run(check, guard=guard)
