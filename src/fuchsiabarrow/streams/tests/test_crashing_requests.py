"""Tests that a request that crashes upstreams is refused, and no other."""

import asyncio

from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.streams.tests import entries as entries_module
from fuchsiabarrow.utils import loops

FIRST_STAGES = 6
CRASH_LIMIT = 3
TOKENS = 120
OTHER_PROMPTS = [f"rack {number}" for number in range(12)]
CRASHING_PROMPT = "please crash-the-engine now"
MODEL = clusters.MODEL
PROFILES = (
    *(
        engines.EngineProfile(f"a-{n}", MODEL, 0, 6, 0.001)
        for n in range(FIRST_STAGES)
    ),
    engines.EngineProfile("b-1", MODEL, 6, 12, 0.001),
)


def test_crashing_request_crashes_few_upstreams_and_others_are_answered():
    async def check():
        async with entries_module.start(PROFILES, entries=2) as (
            cluster,
            entries,
            caller,
        ):
            chat_tasks = await entries_module.chat_all(
                caller, OTHER_PROMPTS, TOKENS
            )
            await asyncio.sleep(0.1)
            first, second = (entry.caller_address for entry in entries)
            caller.entries = [first]
            answer = await caller.chat(
                clusters.PIPELINE, CRASHING_PROMPT, TOKENS, max_requests=4
            )
            assert not answer.is_complete
            crashes = sum(e.crashes for e in cluster.engines.values())
            assert 1 <= crashes <= CRASH_LIMIT
            assert answer.errors[0]["outcome"] == "failed"
            # Retries at the same entry are refused before any step is run.
            assert answer.errors[-1]["type"].endswith("request-blocked")
            await entries_module.check_answers(
                OTHER_PROMPTS, chat_tasks, TOKENS
            )

    loops.run(check())


def test_message_that_crashes_upstreams_is_blocked_in_other_requests_too():
    # No two requests are equal; they share only a message, with sound ones the
    # caller and the first message.
    async def check():
        async with entries_module.start(PROFILES, entries=2) as (
            cluster,
            entries,
            caller,
        ):

            async def chat(*texts: str):
                body = {
                    "model": clusters.PIPELINE,
                    "messages": [
                        {"role": "user", "content": text}
                        for text in ("be brief", *texts)
                    ],
                    "max_tokens": 8,
                    "stream": True,
                }
                answer = callers.Answer()
                entry = caller.entries[len(texts[-1]) % 2]
                await caller.read_stream(entry, body, answer)
                return answer

            for number in range(8):
                assert (await chat(f"rack {number}")).is_complete
            crashing = [
                await chat("crash-the-engine", "no" * number)
                for number in range(1, 7)
            ]
            assert not any(answer.is_complete for answer in crashing)
            crashes = sum(e.crashes for e in cluster.engines.values())
            assert 1 <= crashes <= CRASH_LIMIT
            # Refused before any step is run, at both entries.
            for answer in crashing[-2:]:
                assert answer.errors[-1]["type"].endswith("request-blocked")
            assert (await chat("rack 9")).is_complete

    loops.run(check())


def test_crashing_request_sent_to_another_entry_causes_no_more_crashes():
    async def check():
        async with entries_module.start(PROFILES, entries=2) as (
            cluster,
            entries,
            caller,
        ):
            first, second = (entry.caller_address for entry in entries)
            caller.entries = [first]
            await caller.chat(
                clusters.PIPELINE, CRASHING_PROMPT, TOKENS, max_requests=1
            )
            crashes = sum(e.crashes for e in cluster.engines.values())
            caller.entries = [second]
            answer = await caller.chat(
                clusters.PIPELINE, CRASHING_PROMPT, TOKENS, max_requests=2
            )
            assert not answer.is_complete
            assert sum(e.crashes for e in cluster.engines.values()) == crashes

    loops.run(check())
