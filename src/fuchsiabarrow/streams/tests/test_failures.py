"""Tests that answers stay correct under failures of instances and links.

The stand-in engines compute each token from the order in which layers were
applied, so a lost, repeated or reordered step changes the answer.
"""

import asyncio

import pytest

from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.streams.tests import entries as entries_module
from fuchsiabarrow.utils import loops

STREAMS = 8
TOKENS = 40
PROMPTS = [f"shelf {number}" for number in range(STREAMS)]
MODEL = clusters.MODEL


def run_streams(inject_faults, profiles=clusters.PROFILES, **sections):
    """Runs streams, injects faults while they run and checks the answers."""

    async def check():
        async with entries_module.start(profiles, **sections) as (
            cluster,
            (entry,),
            caller,
        ):
            chat_tasks = await entries_module.chat_all(caller, PROMPTS, TOKENS)
            await inject_faults(cluster, entry)
            await entries_module.check_answers(PROMPTS, chat_tasks, TOKENS)

    loops.run(check())


def find_busiest(cluster, layer: int) -> engines.EngineStandin:
    """Returns the live holder of a layer that applied the most positions."""
    holders = [
        engine
        for engine in cluster.engines.values()
        if engine.is_alive
        and engine.profile.first_layer <= layer < engine.profile.end_layer
    ]
    return max(holders, key=lambda engine: engine.applied_positions)


async def wait_for_positions(cluster, count: int) -> None:
    """Waits until the engines have applied a number of positions."""
    while sum(e.applied_positions for e in cluster.engines.values()) < count:
        await asyncio.sleep(0.002)


@pytest.mark.parametrize("layer", [0, 5, 11])
def test_stage_killed_between_steps(layer):
    async def kill(cluster, entry):
        await wait_for_positions(cluster, 600)
        await find_busiest(cluster, layer).crash()

    run_streams(kill)


@pytest.mark.parametrize("applies", [False, True])
@pytest.mark.parametrize("layer", [0, 5, 11])
def test_stage_dies_during_a_step(layer, applies):
    async def die(cluster, entry):
        await wait_for_positions(cluster, 600)
        faults = find_busiest(cluster, layer).faults
        faults.die_applies = applies
        faults.die_after_steps = 3

    run_streams(die)


@pytest.mark.parametrize("layer", [0, 5, 11])
def test_answers_of_applied_steps_are_lost(layer):
    async def lose(cluster, entry):
        await wait_for_positions(cluster, 600)
        find_busiest(cluster, layer).faults.lose_answers = 3

    run_streams(lose, engines={"step_timeout_s": 0.5})


def test_long_prompt_is_prefilled_in_chunks_also_after_a_crash():
    prompts = [f"{number} " + "long " * 300 for number in range(4)]

    async def check():
        async with entries_module.start() as (cluster, _, caller):
            chat_tasks = await entries_module.chat_all(caller, prompts, TOKENS)
            await wait_for_positions(cluster, 5_000)
            await find_busiest(cluster, 5).crash()
            await entries_module.check_answers(prompts, chat_tasks, TOKENS)

    loops.run(check())


def test_two_stages_die_together():
    async def kill(cluster, entry):
        await wait_for_positions(cluster, 600)
        first, last = find_busiest(cluster, 0), find_busiest(cluster, 11)
        await asyncio.gather(first.crash(), last.crash())

    run_streams(kill)


def test_replacement_stage_dies_during_its_prefill():
    spare = engines.EngineProfile("b-3", MODEL, 4, 8, 0.001)
    profiles = (*clusters.PROFILES, spare)

    async def kill(cluster, entry):
        await wait_for_positions(cluster, 600)
        busy = find_busiest(cluster, 5)
        for engine in cluster.engines.values():
            holds = engine.profile.first_layer <= 5 < engine.profile.end_layer
            if (
                holds
                and engine is not busy
                and engine is not cluster.engines["b-3"]
            ):
                engine.faults.die_while_filling = True
        await busy.crash()

    run_streams(kill, profiles)


def test_answers_are_reordered_and_repeated():
    async def disorder(cluster, entry):
        for engine in cluster.engines.values():
            engine.faults.swap_answers = True
            engine.faults.repeat_answers = True

    run_streams(disorder)


def test_silent_connection_is_replaced_without_an_instance_failure():
    async def silence(cluster, entry):
        await wait_for_positions(cluster, 600)
        engine = find_busiest(cluster, 5)
        engine.faults.silent = True
        state = entry.kernel.get("routing").health.find(
            engine.profile.instance_id
        )
        registry = entry.kernel.get("metrics").registry
        name = "fuchsiabarrow_events_total"
        labels = {"event": "silent_connection"}
        while not registry.get_sample_value(name, labels):
            await asyncio.sleep(0.01)
            assert state.failures == 0
        assert state.failures == 0

    run_streams(silence)


@pytest.mark.parametrize("layer", [0, 5, 11])
def test_connections_are_cut_while_the_engine_keeps_running(layer):
    async def cut(cluster, entry):
        for _ in range(3):
            await wait_for_positions(cluster, 600)
            find_busiest(cluster, layer).server.reset_connections()
            await asyncio.sleep(0.05)

    run_streams(cut)


def test_drain_answer_to_one_entry_is_shared_with_all_entries():
    async def check():
        async with entries_module.start(entries=3) as (
            cluster,
            entries,
            caller,
        ):
            first, others = entries[0], entries[1:]
            engine = cluster.engines["b-1"]
            engine.faults.draining = True
            caller.entries = [first.caller_address]
            health = first.kernel.get("routing").health
            chat_tasks = []
            async with asyncio.timeout(30):
                while not health.is_leaving("b-1"):
                    chat_tasks += await entries_module.chat_all(
                        caller, ["new"], 50
                    )
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(3):
                for entry in others:
                    known = entry.kernel.get("routing").health
                    while not known.is_leaving("b-1"):
                        await asyncio.sleep(0.01)
            await entries_module.check_answers(
                ["new"] * len(chat_tasks), chat_tasks, 50
            )

    loops.run(check())


def test_engine_with_a_long_batch_is_not_considered_silent():
    slow = engines.EngineProfile("b-1", MODEL, 0, 12, batch_s=0.6)

    async def check():
        async with entries_module.start((slow,)) as (_, (entry,), caller):
            chat_tasks = await entries_module.chat_all(caller, PROMPTS, 3)
            await entries_module.check_answers(PROMPTS, chat_tasks, 3)
            assert entry.kernel.get("routing").health.find("b-1").failures == 0
            metrics = entry.kernel.get("metrics").encode().decode()
            assert "silent_connection" not in metrics

    loops.run(check())


def test_instance_joins_while_streams_run_and_gets_work():
    joining = engines.EngineProfile("b-9", MODEL, 4, 8, 0.0005)

    async def check():
        async with entries_module.start() as (cluster, _, caller):
            chat_tasks = await entries_module.chat_all(caller, PROMPTS, TOKENS)
            engine = await cluster.start_engine(joining)
            for turn in range(40):
                chat_tasks += await entries_module.chat_all(
                    caller, [f"t {turn}"], TOKENS
                )
                await asyncio.sleep(0.05)
                if engine.applied_positions:
                    break
            assert engine.applied_positions
            await asyncio.gather(*chat_tasks)

    loops.run(check())


@pytest.mark.parametrize("refuses", [False, True])
def test_caches_of_a_leaving_stage_are_moved_or_recomputed(refuses):
    replica = engines.EngineProfile("b-3", MODEL, 4, 8, 0.001)
    profiles = [
        *(p for p in clusters.PROFILES if p.instance_id[-1] == "1"),
        replica,
    ]

    async def check():
        async with entries_module.start(tuple(profiles)) as (
            cluster,
            (entry,),
            caller,
        ):
            chat_tasks = await entries_module.chat_all(caller, PROMPTS, 200)
            await wait_for_positions(cluster, 600)
            leaving = cluster.engines["b-1"]
            assert leaving.applied_positions
            leaving.faults.refuse_export = refuses
            cluster.set_leaving("b-1")
            health = entry.kernel.get("routing").health
            async with asyncio.timeout(3):
                while not health.is_leaving("b-1"):
                    await asyncio.sleep(0.01)
                while health.find("b-1").in_flight:
                    await asyncio.sleep(0.01)
            assert (cluster.engines["b-3"].imports > 0) is not refuses
            await entries_module.check_answers(PROMPTS, chat_tasks, 200)

    loops.run(check())


def test_engine_restarted_at_the_same_address_gets_work_again():
    async def check():
        async with entries_module.start() as (cluster, (entry,), caller):
            await caller.chat(clusters.PIPELINE, "x", 5)
            dead = find_busiest(cluster, 5)
            port = int(dead.server.address.rpartition(":")[2])
            await dead.crash()
            await caller.chat(clusters.PIPELINE, "y", 5)
            async with engines.EngineStandin(dead.profile, port) as back:
                async with asyncio.timeout(20):
                    while not back.applied_positions:
                        chat_tasks = await entries_module.chat_all(
                            caller, PROMPTS, 20
                        )
                        await entries_module.check_answers(
                            PROMPTS, chat_tasks, 20
                        )

    loops.run(check())


def test_streams_wait_for_the_only_holder_of_a_range_to_restart():
    # Without the wait, the streams would use up their attempts on the instance
    # while it is down.
    profiles = tuple(p for p in clusters.PROFILES if p.instance_id[-1] == "1")

    async def check():
        async with entries_module.start(profiles) as (
            cluster,
            (entry,),
            caller,
        ):
            chat_tasks = [
                asyncio.create_task(
                    caller.chat(clusters.PIPELINE, text, TOKENS, max_requests=1)
                )
                for text in PROMPTS
            ]
            await wait_for_positions(cluster, 200)
            dead = cluster.engines["b-1"]
            port = int(dead.server.address.rpartition(":")[2])
            await dead.crash()
            await asyncio.sleep(1.0)
            async with engines.EngineStandin(dead.profile, port):
                await entries_module.check_answers(PROMPTS, chat_tasks, TOKENS)
            metrics = entry.kernel.get("metrics")
            spent = metrics.registry.get_sample_value(
                "fuchsiabarrow_attempts_total", {"cause": "unreachable"}
            )
            assert (spent or 0) <= len(PROMPTS)

    loops.run(check())


def test_connection_to_an_unlisted_instance_is_closed():
    async def check():
        async with entries_module.start() as (cluster, (entry,), caller):
            await caller.chat(clusters.PIPELINE, "x", 5)
            connections = entry.kernel.get("engine_connections")._connections
            (name, address), *_ = connections
            del cluster.instance_list.instances[name]
            async with asyncio.timeout(5):
                while (name, address) in connections:
                    await asyncio.sleep(0.02)
            assert (await caller.chat(clusters.PIPELINE, "y", 5)).is_complete

    loops.run(check())


@pytest.mark.parametrize("source", ["list", "drain answer"])
def test_leaving_instance_gets_no_new_work_and_its_streams_move(source):
    async def check():
        async with entries_module.start() as (cluster, (entry,), caller):
            chat_tasks = await entries_module.chat_all(caller, PROMPTS, 200)
            await wait_for_positions(cluster, 600)
            leaving = find_busiest(cluster, 5)
            name = leaving.profile.instance_id
            if source == "list":
                cluster.set_leaving(name)
            else:
                leaving.faults.draining = True
            health = entry.kernel.get("routing").health
            async with asyncio.timeout(30):
                while not health.is_leaving(name):
                    chat_tasks += await entries_module.chat_all(
                        caller, ["new"], 200
                    )
                    await asyncio.sleep(0.01)
            async with asyncio.timeout(3):
                while health.find(name).in_flight:
                    await asyncio.sleep(0.01)
            before = leaving.applied_positions
            chat_tasks += await entries_module.chat_all(caller, ["late"], 20)
            await asyncio.gather(*chat_tasks)
            assert leaving.applied_positions == before
            await entries_module.check_answers(
                PROMPTS, chat_tasks[:STREAMS], 200
            )

    loops.run(check())


def test_streams_move_off_a_stage_whose_link_became_slow():
    async def check():
        async with entries_module.start() as (cluster, (entry,), caller):
            chat_tasks = await entries_module.chat_all(caller, PROMPTS, 400)
            await wait_for_positions(cluster, 600)
            slow = find_busiest(cluster, 5)
            slow.faults.delay_s = 0.2
            health = entry.kernel.get("routing").health
            state = health.find(slow.profile.instance_id)
            async with asyncio.timeout(20):
                while state.in_flight:
                    await asyncio.sleep(0.02)
            # At 0.2 s per token, no stream can have ended on this stage.
            assert slow.applied_positions < len(PROMPTS) * 400
            assert not all(chat_task.done() for chat_task in chat_tasks)
            await entries_module.check_answers(PROMPTS, chat_tasks, 400)

    loops.run(check())


def test_stream_without_a_chain_ends_with_an_error_event():
    async def check():
        limits = {"no_chain_limit_s": 0.3}
        async with entries_module.start(streams=limits) as (cluster, _, caller):
            chat_task = asyncio.create_task(
                caller.chat(clusters.PIPELINE, "x", 400, max_requests=1)
            )
            await wait_for_positions(cluster, 60)
            for engine in cluster.engines.values():
                await engine.crash()
            answer = await chat_task
            assert not answer.is_complete
            assert answer.errors[-1]["outcome"] == "failed"
            assert answer.errors[-1]["retry_after_s"] > 0

    loops.run(check())
