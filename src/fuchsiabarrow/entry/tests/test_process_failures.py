"""Failures of processes: kills, freezes, store outages, concurrent patches."""

import asyncio
import signal

import aiohttp
import pytest
import uuid6

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.streams.tests import entries as entries_module
from fuchsiabarrow.utils import loops

MODEL = clusters.MODEL
RANGES = ((0, 4), (4, 8), (8, 12))
REPLICAS = 3
PROFILES = tuple(
    engines.EngineProfile(f"s{first}-{n}", MODEL, first, end, 0.001)
    for first, end in RANGES
    for n in range(REPLICAS)
)
ENTRIES = ("entry-1", "entry-2")
CALLERS = 64
TOKENS = 60
KILLS = 6
KILL_PERIOD_S = 0.3
CONVERGENCE_TIMEOUT_S = 10


def run(fleet, check, entries=ENTRIES, profiles=PROFILES, **options):
    """Sets up a fleet and runs a check against it."""

    async def main():
        async with aiohttp.ClientSession() as session:
            await process_fleets.start_fleet(
                session, fleet, profiles, entries, **options
            )
            addresses = fleet.get_addresses(*entries)
            caller = callers.Caller(session, addresses, clusters.CALLER_KEY)
            await check(session, caller)

    loops.run(main())


async def start_replacement(session, fleet, profile, number: int) -> None:
    """Starts a replacement for an engine and adds it to the instance list."""
    loop = asyncio.get_running_loop()
    name = f"{profile.instance_id}-r{number}"
    replacement = engines.EngineProfile(
        name, MODEL, profile.first_layer, profile.end_layer, 0.001
    )
    await loop.run_in_executor(None, fleet.start_engines, (replacement,))
    address = fleet.processes[name].address
    listed = clusters.make_engine_instance(replacement, address)
    await process_fleets.put_instance(session, fleet, listed)


def test_64_callers_get_their_answers_while_engines_are_killed(fleet):
    async def check(session, caller):
        for profile in PROFILES:
            process = fleet.processes[profile.instance_id]
            await process_fleets.set_faults(
                session, process, swap_answers=True, repeat_answers=True
            )
        prompts = [f"caller {number}" for number in range(CALLERS)]
        chats = await entries_module.chat_all(caller, prompts, TOKENS)
        replacements = []
        for number in range(KILLS):
            await asyncio.sleep(KILL_PERIOD_S)
            profile = PROFILES[(4 * number) % len(PROFILES)]
            fleet.processes[profile.instance_id].send(signal.SIGKILL)
            start = start_replacement(session, fleet, profile, number)
            replacements.append(asyncio.create_task(start))
            late_prompts = [f"late {number}-{n}" for n in range(CALLERS // 8)]
            prompts += late_prompts
            chats += await entries_module.chat_all(caller, late_prompts, TOKENS)
        await asyncio.gather(*replacements)
        await entries_module.check_answers(prompts, chats, TOKENS)

    run(fleet, check)


def test_streams_complete_although_engines_freeze(fleet):
    async def check(session, caller):
        prompts = [f"caller {number}" for number in range(16)]
        chats = await entries_module.chat_all(caller, prompts, TOKENS)
        await asyncio.sleep(0.1)
        for name in ("s0-0", "s8-1"):
            fleet.processes[name].send(signal.SIGSTOP)
        await entries_module.check_answers(prompts, chats, TOKENS)

    run(fleet, check)


@pytest.mark.parametrize("silence_s", [1.0, 2.5])
def test_attempt_waits_for_a_frozen_engine_without_another_holder(
    fleet, silence_s
):
    # It was given up after 0.4 s, although no other chain existed.
    profiles = PROFILES[::REPLICAS]

    async def check(session, caller):
        prompts = [f"caller {number}" for number in range(16)]
        chats = await entries_module.chat_all(caller, prompts, 200)
        await asyncio.sleep(0.2)
        frozen = fleet.processes["s4-0"]
        frozen.send(signal.SIGSTOP)
        await asyncio.sleep(silence_s)
        frozen.send(signal.SIGCONT)
        answers = await entries_module.check_answers(prompts, chats, 200)
        assert not any(answer.errors for answer in answers)
        entry = fleet.processes["entry-1"]
        async with session.get(
            f"http://{entry.operator_address}/metrics"
        ) as response:
            metrics = await response.text()
        assert "attempts_total{" not in metrics
        assert 'event="silent_engine"' in metrics
        assert 'event="silent_connection"' not in metrics

    run(fleet, check, entries=ENTRIES[:1], profiles=profiles)


def test_paused_entry_continues_its_streams_on_the_same_connections(fleet):
    async def check(session, caller):
        caller.entries = caller.entries[:1]
        paused = fleet.processes["entry-1"]
        prompts = [f"caller {number}" for number in range(16)]
        chats = await entries_module.chat_all(caller, prompts, 200)
        await asyncio.sleep(0.2)
        paused.send(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        paused.send(signal.SIGCONT)
        await entries_module.check_answers(prompts, chats, 200)
        async with session.get(
            f"http://{paused.operator_address}/metrics"
        ) as answer:
            assert "silent_connection" not in await answer.text()

    run(fleet, check)


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_streams_of_a_lost_entry_are_resumed_at_another(fleet, signal_number):
    async def check(session, caller):
        caller.entries = caller.entries[:1]
        prompts = [f"caller {number}" for number in range(8)]
        chats = await entries_module.chat_all(caller, prompts, 200)
        await asyncio.sleep(0.3)
        lost = fleet.processes["entry-1"]
        caller.entries = fleet.get_addresses("entry-2")
        lost.send(signal_number)
        were_running = [not chat.done() for chat in chats]
        assert any(were_running)
        if signal_number is signal.SIGSTOP:
            # A caller notices a frozen entry only by its own time-out, which
            # the kill after a short freeze simulates.
            await asyncio.sleep(0.2)
            lost.send(signal.SIGKILL)
        answers = await entries_module.check_answers(prompts, chats, 200)
        for answer, was_running in zip(answers, were_running, strict=True):
            assert len(answer.entries) > was_running

    run(fleet, check)


def test_paused_entry_with_a_claim_cannot_make_a_deposit_run_twice(fleet):
    async def check(session, caller):
        key, body = str(uuid6.uuid7()), {"deposit": 1}
        service = fleet.processes["service"]
        await process_fleets.set_faults(session, service, delay_s=1.0)
        first, second = caller.entries
        deposit = asyncio.create_task(
            caller.call_action("confirm-deposit", key, body, first)
        )
        await asyncio.sleep(0.3)
        fleet.processes["entry-1"].send(signal.SIGSTOP)
        status, found = await caller.call_action(
            "confirm-deposit", key, body, second, attempt=2
        )
        assert (status, found["outcome"]) == (409, "unknown")
        assert found["key"] == key
        fleet.processes["entry-1"].send(signal.SIGCONT)
        assert (await deposit)[1]["outcome"] == "completed"
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            while found["outcome"] != "completed":
                status, found = await caller.call_action(
                    "confirm-deposit", key, body, second, attempt=3
                )
        runs = await process_fleets.read_json(session, service, "/runs")
        assert runs == {clusters.compute_call_key(key): 1}

    run(fleet, check, profiles=())


def test_deposit_whose_entry_is_killed_is_unknown_and_never_repeated(fleet):
    async def check(session, caller):
        key, body = str(uuid6.uuid7()), {"deposit": 1}
        service = fleet.processes["service"]
        await process_fleets.set_faults(session, service, delay_s=1.0)
        first, second = caller.entries
        deposit = asyncio.create_task(
            caller.call_action("confirm-deposit", key, body, first)
        )
        await asyncio.sleep(0.3)
        fleet.processes["entry-1"].send(signal.SIGKILL)
        with pytest.raises(aiohttp.ClientError):
            await deposit
        caller.entries = [second]
        for attempt in (2, 3):
            _, found = await caller.call_action(
                "confirm-deposit", key, body, second, attempt
            )
            assert found["outcome"] == "unknown"
        _, found = await caller.get_action_outcome("confirm-deposit", key)
        assert found["outcome"] == "unknown"
        runs = await process_fleets.read_json(session, service, "/runs")
        assert runs == {clusters.compute_call_key(key): 1}

    run(fleet, check, profiles=())


def test_fencing_service_resolves_a_deposit_whose_entry_was_killed(fleet):
    async def check(session, caller):
        key, body = str(uuid6.uuid7()), {"deposit": 1}
        service = fleet.processes["service"]
        await process_fleets.set_faults(
            session, service, delay_s=1.0, check_fence=True
        )
        first, second = caller.entries
        deposit = asyncio.create_task(
            caller.call_action("confirm-deposit", key, body, first)
        )
        await asyncio.sleep(0.3)
        fleet.processes["entry-1"].send(signal.SIGKILL)
        with pytest.raises(aiohttp.ClientError):
            await deposit
        found = {"outcome": "unknown"}
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            while found["outcome"] == "unknown":
                _, found = await caller.call_action(
                    "confirm-deposit", key, body, second, attempt=2
                )
        assert found["outcome"] == "completed"
        runs = await process_fleets.read_json(session, service, "/runs")
        assert runs == {clusters.compute_call_key(key): 1}

    extra_settings = "\n[actions.claims]\nlapse_s = 1.0\n"
    run(
        fleet, check, profiles=(), guard="fences", extra_settings=extra_settings
    )


def test_store_outage_stops_deposits_but_not_streams(fleet):
    async def check(session, caller):
        store = fleet.processes["objects"]
        await process_fleets.set_faults(session, store, down=True)
        key, body = str(uuid6.uuid7()), {"deposit": 1}
        _, found = await caller.call_action("confirm-deposit", key, body)
        assert found["outcome"] == "not_run"
        chats = await entries_module.chat_all(caller, ["a shelf"], 20)
        await entries_module.check_answers(["a shelf"], chats, 20)
        _, found = await caller.call_action(
            "read-order", str(uuid6.uuid7()), {"order": 1}
        )
        assert found["outcome"] == "completed"
        await process_fleets.set_faults(session, store, down=False)
        async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
            while found.get("key") != key or found["outcome"] != "completed":
                _, found = await caller.call_action(
                    "confirm-deposit", key, body, attempt=2
                )
                await asyncio.sleep(0.2)
        service = fleet.processes["service"]
        runs = await process_fleets.read_json(session, service, "/runs")
        assert runs[clusters.compute_call_key(key)] == 1

    run(fleet, check)


def test_new_entry_starts_from_its_peers_while_the_store_is_down(fleet):
    async def check(session, caller):
        url = f"http://{fleet.processes['entry-1'].operator_address}/v1/status"
        key = {"Authorization": f"Bearer {clusters.OPERATOR_KEY}"}
        async with session.get(url, headers=key) as answer:
            members = (await answer.json())["members"]
        seeds = [member["address"] for member in members]
        await process_fleets.set_faults(
            session, fleet.processes["objects"], down=True
        )
        loop = asyncio.get_running_loop()
        extra_settings = f"\n[peers]\nseeds = {seeds}\n"
        await loop.run_in_executor(
            None,
            lambda: fleet.start_entries(
                "entry-3", extra_settings=extra_settings
            ),
        )
        await process_fleets.wait_ready(session, fleet, "entry-3")
        new_entry = fleet.processes["entry-3"]
        number, _ = await read_configuration(session, new_entry)
        assert number == 1
        caller.entries = [new_entry.address]
        chats = await entries_module.chat_all(caller, ["a shelf"], 20)
        await entries_module.check_answers(["a shelf"], chats, 20)

    run(fleet, check)


def test_one_concurrent_patch_wins_and_others_learn_the_number(fleet):
    async def check(session, caller):
        store = fleet.processes["objects"]
        # The store applies one write but does not answer it.
        await process_fleets.set_faults(session, store, lose_answers=1)
        results = await asyncio.gather(
            *(
                process_fleets.patch(
                    session,
                    fleet.processes[ENTRIES[number % 2]],
                    1,
                    {"pipelines": {f"p{number}": {"model": MODEL}}},
                )
                for number in range(8)
            )
        )
        statuses = sorted(status for status, _ in results)
        assert statuses.count(200) == 1
        assert set(statuses) <= {200, 412, 503}
        conflicts = [found for status, found in results if status == 412]
        assert conflicts
        assert all(found["in_force"] == 2 for found in conflicts)
        winner = next(n for n, (s, _) in enumerate(results) if s == 200)
        await check_in_force(session, 2, f"p{winner}")

    async def check_in_force(session, number, pipeline):
        for name in ENTRIES:
            async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
                while True:
                    found, document = await read_configuration(
                        session, fleet.processes[name]
                    )
                    if found == number:
                        break
                    await asyncio.sleep(0.05)
            added = set(document["pipelines"]) - {clusters.PIPELINE}
            assert added == {pipeline}

    run(fleet, check, profiles=())


async def read_configuration(session, process):
    async with session.get(
        f"http://{process.operator_address}/v1/configuration",
        headers={"Authorization": f"Bearer {clusters.OPERATOR_KEY}"},
    ) as answer:
        number = int(answer.headers["ETag"].strip('"'))
        return number, await answer.json()


def test_graceful_shutdown_loses_no_answer_or_action(fleet):
    async def check(session, caller):
        prompts = [f"caller {number}" for number in range(16)]
        chats = await entries_module.chat_all(caller, prompts, TOKENS)
        await asyncio.sleep(0.2)
        stopped = fleet.processes["entry-1"]
        stopped.send(signal.SIGTERM)
        keys = []
        for number in range(20):
            key = str(uuid6.uuid7())
            keys.append(key)
            await send_until_completed(caller, key)
            prompt = f"during the stop {number}"
            prompts.append(prompt)
            chats += await entries_module.chat_all(caller, [prompt], TOKENS)
        await entries_module.check_answers(prompts, chats, TOKENS)
        loop = asyncio.get_running_loop()
        code = await loop.run_in_executor(None, stopped.wait_exit, 10)
        assert code == 0
        service = fleet.processes["service"]
        runs = await process_fleets.read_json(session, service, "/runs")
        assert runs == {clusters.compute_call_key(key): 1 for key in keys}

    run(fleet, check)


async def send_until_completed(caller, key):
    attempt = 0
    async with asyncio.timeout(CONVERGENCE_TIMEOUT_S):
        while True:
            attempt += 1
            try:
                _, found = await caller.call_action(
                    "confirm-deposit", key, {"deposit": 1}, attempt=attempt
                )
            except aiohttp.ClientError:
                continue
            if found["outcome"] == "completed":
                return
            await asyncio.sleep(0.05)
