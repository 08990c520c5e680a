"""Entries (routers) in the test process, with stand-in engines and platform."""

import asyncio
import contextlib

import aiohttp

from fuchsiabarrow.commands import demo
from fuchsiabarrow.entry import composition
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import models
from fuchsiabarrow.streams import tokenizers

SEED = 11
START_TIMEOUT_S = 60


def compute_expected_answer(text: str, tokens: int) -> list[str]:
    """Returns the text pieces of the answer of a run without faults."""
    prompt = tokenizers.encode_text(f"user: {text}")
    answer = models.complete(prompt, clusters.LAYERS, tokens)
    return [tokenizers.decode_token(token) for token in answer]


@contextlib.asynccontextmanager
async def start(
    profiles=clusters.PROFILES,
    entries=1,
    guard="none",
    entry_options=None,
    **sections,
):
    """Yields (cluster, entries, caller) after the configuration took effect."""
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(
            clusters.SimulatedCluster(profiles)
        )
        session = await stack.enter_async_context(aiohttp.ClientSession())
        started = []
        for number in range(1, entries + 1):
            settings = demo.make_settings(
                cluster, f"entry-{number}", entry_options or {}, **sections
            )
            entry = composition.Entry(settings, seed=SEED + number)
            started.append(await stack.enter_async_context(entry))
        service = started[0].kernel.get("configuration")
        await service.patch(clusters.make_configuration(guard), 0, "test")
        async with asyncio.timeout(START_TIMEOUT_S):
            for entry in started:
                while entry.kernel.get("configuration").head.number < 1:
                    await asyncio.sleep(0.005)
            addresses = [entry.caller_address for entry in started]
            caller = callers.Caller(session, addresses, clusters.CALLER_KEY)
            yield cluster, started, caller


async def chat_all(caller, prompts, tokens):
    """Starts one stream for each prompt; returns the tasks."""
    return [
        asyncio.create_task(caller.chat(clusters.PIPELINE, prompt, tokens))
        for prompt in prompts
    ]


async def check_answers(prompts, chat_tasks, tokens):
    """Checks that every answer equals that of a run without faults."""
    answers = await asyncio.gather(*chat_tasks)
    for prompt, answer in zip(prompts, answers, strict=True):
        assert answer.is_complete, answer.errors
        assert answer.token_texts == compute_expected_answer(prompt, tokens), (
            prompt
        )
    return answers
