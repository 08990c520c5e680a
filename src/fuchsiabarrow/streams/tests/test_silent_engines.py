"""Engines that are silent for a second and go on."""

import asyncio
import contextlib

import pytest

from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.standins import models
from fuchsiabarrow.streams import streams
from fuchsiabarrow.streams.tests import entries as entries_module
from fuchsiabarrow.streams.tests import test_failures
from fuchsiabarrow.utils import loops

SILENCE_S = 1.0
# Longer than any step waits for an answer.
LASTING_SILENCE_S = 60.0
# For what is known at once, or after the 0.4 s of a silence.
TEST_TIMEOUT_S = 5.0
SINGLE_PROFILES = tuple(
    profile for profile in clusters.PROFILES if profile.instance_id[-1] == "1"
)


def take_retries(entry) -> None:
    """Empties the retry budget of an entry for good."""
    entry.kernel.get("streams").budget.set_limits(0.0, 0.0)


async def silence(engine, silence_s: float) -> None:
    engine.faults.delay_s = silence_s
    await asyncio.sleep(silence_s)
    engine.faults.delay_s = 0.0


def count_attempts(entry, cause: str) -> float:
    registry = entry.kernel.get("metrics").registry
    labels = {"cause": cause}
    return (
        registry.get_sample_value("fuchsiabarrow_attempts_total", labels) or 0
    )


def count_events(entry, event: str) -> float:
    registry = entry.kernel.get("metrics").registry
    labels = {"event": event}
    return registry.get_sample_value("fuchsiabarrow_events_total", labels) or 0


@contextlib.asynccontextmanager
async def start_streams(
    profiles=clusters.PROFILES, has_retries=True, **sections
):
    """Yields (cluster, entry, chat tasks); callers send requests only once.

    Without retries, the budget is emptied before the streams start: one that
    waits for a slow engine before the test's silence could take a retry.
    """
    async with entries_module.start(profiles, **sections) as (
        cluster,
        (entry,),
        caller,
    ):
        if not has_retries:
            take_retries(entry)
        chat_tasks = [
            asyncio.create_task(
                caller.chat(
                    clusters.PIPELINE,
                    prompt,
                    test_failures.TOKENS,
                    max_requests=1,
                )
            )
            for prompt in test_failures.PROMPTS
        ]
        await test_failures.wait_for_positions(cluster, 600)
        yield cluster, entry, chat_tasks


async def check_answers(chat_tasks) -> None:
    """Checks that all answers are complete, correct and without an error."""
    answers = await entries_module.check_answers(
        test_failures.PROMPTS, chat_tasks, test_failures.TOKENS
    )
    assert not any(answer.errors for answer in answers)


@pytest.mark.parametrize("layer", [0, 5, 11])
def test_answer_outlives_a_silent_engine_if_no_retry_is_left(layer):
    # The attempt was given up after 0.4 s, before it was known that there
    # was no retry for another one.
    async def silence(cluster, entry):
        entry.kernel.get("streams").budget.set_limits(0.0, 0.0)
        await test_failures.wait_for_positions(cluster, 600)
        engine = test_failures.find_busiest(cluster, layer)
        engine.faults.delay_s = SILENCE_S
        await asyncio.sleep(SILENCE_S)
        engine.faults.delay_s = 0.0

    test_failures.run_streams(silence)


@pytest.mark.parametrize("layer", [0, 5, 11])
@pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.5, 2.5])
def test_first_request_outlives_silences_if_no_retry_is_left(silence_s, layer):
    # Callers that send the request again hide that an answer ended.
    async def check():
        async with start_streams(has_retries=False) as (
            cluster,
            entry,
            chat_tasks,
        ):
            engine = test_failures.find_busiest(cluster, layer)
            await silence(engine, silence_s)
            await check_answers(chat_tasks)
            assert count_events(entry, "silent_engine")
            assert not count_attempts(entry, "silent")

    loops.run(check())


@pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.5, 2.5])
def test_silence_of_all_engines_ends_no_answer(silence_s):
    # Without a chain, streams that had retries gave up after the time limit.
    async def check():
        limits = {"no_chain_limit_s": 0.3}
        async with start_streams(streams=limits) as (
            cluster,
            entry,
            chat_tasks,
        ):
            async with asyncio.TaskGroup() as group:
                for engine in cluster.engines.values():
                    group.create_task(silence(engine, silence_s))
            await check_answers(chat_tasks)
            assert count_events(entry, "silent_engine")

    loops.run(check())


@pytest.mark.parametrize("silence_s", [0.5, 1.0, 1.5, 2.5])
def test_answer_waits_for_the_only_holder_of_a_range(silence_s):
    # The attempt was given up, and no chain was found in the time limit.
    async def check():
        limits = {"no_chain_limit_s": 0.3}
        async with start_streams(SINGLE_PROFILES, streams=limits) as (
            cluster,
            entry,
            chat_tasks,
        ):
            await silence(cluster.engines["b-1"], silence_s)
            await check_answers(chat_tasks)
            assert count_events(entry, "silent_engine")
            assert not count_attempts(entry, "silent")

    loops.run(check())


def test_answer_returns_to_the_only_holder_after_a_reset_and_a_silence():
    # The reset ended the attempt, and the stream ended at its limit for a
    # chain, as the engine was silent and no other holds its layers.
    async def check():
        limits = {"no_chain_limit_s": 0.3}
        async with start_streams(SINGLE_PROFILES, streams=limits) as (
            cluster,
            entry,
            chat_tasks,
        ):
            engine = cluster.engines["b-1"]
            silencing = asyncio.create_task(silence(engine, SILENCE_S))
            await asyncio.sleep(0.05)
            engine.server.reset_connections()
            await silencing
            await check_answers(chat_tasks)
            assert count_attempts(entry, "died")

    loops.run(check())


def test_silence_does_not_use_up_the_last_attempt():
    # "too many attempts failed", although the engine only was silent.
    async def check():
        async with start_streams(streams={"attempts": 1}) as (
            cluster,
            entry,
            chat_tasks,
        ):
            engine = test_failures.find_busiest(cluster, 5)
            await silence(engine, SILENCE_S)
            await check_answers(chat_tasks)
            assert count_events(entry, "silent_engine")

    loops.run(check())


def test_request_waits_for_an_engine_that_is_silent_on_its_first_connection():
    # The time limit of the first connection ended the attempt.
    async def check():
        async with entries_module.start(SINGLE_PROFILES) as (
            cluster,
            (entry,),
            caller,
        ):
            take_retries(entry)
            engine = cluster.engines["b-1"]
            engine.faults.delay_s = SILENCE_S
            chat_task = asyncio.create_task(
                caller.chat(clusters.PIPELINE, "x", 5, max_requests=1)
            )
            await silence(engine, SILENCE_S)
            answer = await chat_task
            assert answer.is_complete
            assert not answer.errors

    loops.run(check())


@pytest.mark.parametrize("layer", [0, 5, 11])
def test_answer_moves_off_a_silent_engine_while_it_is_silent(layer):
    async def check():
        async with start_streams() as (cluster, entry, chat_tasks):
            engine = test_failures.find_busiest(cluster, layer)
            engine.faults.delay_s = LASTING_SILENCE_S
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await check_answers(chat_tasks)
            assert count_attempts(entry, "silent")
            assert not count_attempts(entry, "died")
            state = entry.kernel.get("routing").health.find(
                engine.profile.instance_id
            )
            assert state.failures

    loops.run(check())


def test_waiting_answer_moves_once_a_retry_is_left():
    async def check():
        async with start_streams(has_retries=False) as (
            cluster,
            entry,
            chat_tasks,
        ):
            engine = test_failures.find_busiest(cluster, 5)
            engine.faults.delay_s = LASTING_SILENCE_S
            await asyncio.sleep(SILENCE_S)
            assert not count_attempts(entry, "silent")
            budget = entry.kernel.get("streams").budget
            retries = len(chat_tasks)
            budget.set_limits(retries, retries)
            budget.deposit()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await check_answers(chat_tasks)
            assert 0 < count_attempts(entry, "silent") <= retries

    loops.run(check())


def test_waiting_answer_moves_once_another_chain_exists():
    joining = engines.EngineProfile("b-3", clusters.MODEL, 4, 8, 0.001)

    async def check():
        async with start_streams(SINGLE_PROFILES) as (
            cluster,
            entry,
            chat_tasks,
        ):
            cluster.engines["b-1"].faults.delay_s = LASTING_SILENCE_S
            await asyncio.sleep(SILENCE_S)
            assert not count_attempts(entry, "silent")
            await cluster.start_engine(joining)
            async with asyncio.timeout(TEST_TIMEOUT_S):
                await check_answers(chat_tasks)

    loops.run(check())


@pytest.mark.parametrize("was_silent", [False, True])
def test_death_ends_an_answer_at_once_if_no_retry_is_left(was_silent):
    async def check():
        async with start_streams(has_retries=False) as (
            cluster,
            entry,
            chat_tasks,
        ):
            engine = test_failures.find_busiest(cluster, 5)
            if was_silent:
                engine.faults.delay_s = LASTING_SILENCE_S
                await asyncio.sleep(SILENCE_S)
                waiting = [task for task in chat_tasks if not task.done()]
                assert waiting
            reports = count_events(entry, "silent_engine")
            await engine.crash()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                answers = await asyncio.gather(*chat_tasks)
            ended = [answer for answer in answers if not answer.is_complete]
            assert ended
            assert not was_silent or len(ended) == len(waiting)
            for answer in ended:
                assert "retry budget" in answer.errors[-1]["detail"]
                assert answer.errors[-1]["retry_after_s"] > 0
            # Found by the reset, not by a silence.
            assert count_events(entry, "silent_engine") == reports

    loops.run(check())


def test_lasting_silence_ends_an_answer_at_the_step_timeout():
    async def check():
        async with start_streams(
            has_retries=False, engines={"step_timeout_s": SILENCE_S}
        ) as (
            cluster,
            entry,
            chat_tasks,
        ):
            engine = test_failures.find_busiest(cluster, 5)
            engine.faults.delay_s = LASTING_SILENCE_S
            async with asyncio.timeout(TEST_TIMEOUT_S):
                answers = await asyncio.gather(*chat_tasks)
            ended = [answer for answer in answers if not answer.is_complete]
            assert ended
            for answer in ended:
                assert "retry budget" in answer.errors[-1]["detail"]

    loops.run(check())


def test_silences_are_not_counted_as_crashes_of_a_request():
    # More silences than the crashes that block a request.
    async def check():
        async with entries_module.start() as (cluster, (entry,), caller):
            for _ in range(4):
                chat_task = asyncio.create_task(
                    caller.chat(clusters.PIPELINE, "x", 5, max_requests=1)
                )
                async with asyncio.TaskGroup() as group:
                    for engine in cluster.engines.values():
                        group.create_task(silence(engine, 0.5))
                answer = await chat_task
                assert answer.is_complete
                assert not answer.errors
                # Late answers to probes would end the next silence.
                await asyncio.sleep(0.5)
            assert count_events(entry, "silent_engine") >= 4
            assert not count_attempts(entry, "died")

    loops.run(check())


def test_answer_waits_while_another_request_tests_a_part_of_its_prompt():
    # Its attempt would be given up, and then the stream would be held back.
    first = engines.EngineProfile("a-1", clusters.MODEL, 0, 12, 0.001)
    second = engines.EngineProfile("a-2", clusters.MODEL, 0, 12, 0.001)
    part = 5

    async def read(stream):
        return [token async for _, token in stream.read(0)]

    async def check():
        async with entries_module.start((first,)) as (cluster, (entry,), _):
            service = entry.kernel.get("streams")
            cluster.engines["a-1"].faults.delay_s = LASTING_SILENCE_S
            request = streams.StreamRequest(
                "r", "o", "p", clusters.MODEL, 12, (1,), 5, (), "f", (part,)
            )
            read_task = asyncio.create_task(
                read(service.start(request, lambda: None))
            )
            await asyncio.sleep(0.1)
            service.part_crashes.record_crash(1, [part], 1)
            assert service.part_crashes.try_start_test(frozenset({part}))
            await cluster.start_engine(second)
            health = entry.kernel.get("routing").health
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while health.find("a-2") is None:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(SILENCE_S)
            assert not count_attempts(entry, "silent")
            service.part_crashes.end_test(frozenset({part}))
            async with asyncio.timeout(TEST_TIMEOUT_S):
                tokens = await read_task
            assert tokens == models.complete((1,), clusters.LAYERS, 5)
            assert count_attempts(entry, "silent") == 1

    loops.run(check())
