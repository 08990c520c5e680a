"""The demo: the whole path on embedded stand-ins, with failures."""

import asyncio
import contextlib
import dataclasses
import time

import aiohttp
import uuid6

from fuchsiabarrow.configuration import documents
from fuchsiabarrow.entry import composition
from fuchsiabarrow.entry import settings as settings_module
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import models
from fuchsiabarrow.standins import worlds
from fuchsiabarrow.streams import tokenizers
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import signals

__all__ = ["make_settings", "run"]

STREAMS = 8
EXCERPT_TOKENS = 5
TOKENS = 120
SEED = 7
STOP_LIMIT_S = 5.0


@dataclasses.dataclass(slots=True)
class Report:
    """Rows of the demo's report.

    Attributes:
        rows: (promise, what was seen, whether it held).
        answers: A line for each answer that a caller received.
    """

    rows: list[tuple[str, str, bool]] = dataclasses.field(default_factory=list)
    answers: list[str] = dataclasses.field(default_factory=list)

    def add(self, promise: str, seen: str, held: bool) -> None:
        """Adds a row."""
        self.rows.append((promise, seen, held))

    def add_answer(
        self, prompt: str, answer: callers.Answer, is_right: bool
    ) -> None:
        """Adds what a caller received."""
        end = "whole" if answer.is_whole else "CUT OFF"
        match = "as undisturbed" if is_right else "DIFFERENT"
        text = "".join(answer.pieces[:EXCERPT_TOKENS])
        self.answers.append(
            f"{prompt:28}  {len(answer.pieces):3} tokens  {end}  {match}"
            f"  {len(set(answer.entries))} entries  {text}..."
        )

    def print(self) -> bool:
        """Prints the tables; returns whether every promise held."""
        print("What each caller received:")
        for line in self.answers:
            print(f"  {line}")
        print("\nWhat was promised:")
        width = max(len(row[0]) for row in self.rows)
        for promise, seen, held in self.rows:
            verdict = "held" if held else "BROKEN"
            print(f"  {verdict:6}  {promise:{width}}  {seen}")
        return all(held for _, _, held in self.rows)


def make_settings(
    world: worlds.World,
    name: str,
    entry_options: dict | None = None,
    **sections: dict,
) -> settings_module.Settings:
    """Returns settings of an entry before a world, on free ports.

    Args:
        world: Stand-ins that it works with.
        name: Name of the entry.
        entry_options: Keys of the section ``entry`` that differ.
        **sections: Further sections.
    """
    return settings_module.convert(
        {
            "entry": {
                "name": name,
                "caller_address": "127.0.0.1:0",
                "operator_address": "127.0.0.1:0",
                "region": "tt-north",
                "stop_limit_s": STOP_LIMIT_S,
                **(entry_options or {}),
            },
            "platform": {
                "objects_address": world.store.server.address,
                "instances_address": world.listing.server.address,
            },
            "operators": {
                "bootstrap_key_sha256": documents.hash_key(worlds.OPERATOR_KEY)
            },
            "logs": {"level": "error"},
            **sections,
        }
    )


def _expect(text: str, tokens: int) -> list[str]:
    """Returns the undisturbed answer to a prompt."""
    prompt = tokenizers.encode_text(f"user: {text}")
    answer = models.complete(prompt, worlds.LAYERS, tokens)
    return [tokenizers.decode_token(token) for token in answer]


async def _patch(session, address: str, number: int, patch: dict):
    async with session.patch(
        f"http://{address}/v1/configuration",
        json=patch,
        headers={
            "Authorization": f"Bearer {worlds.OPERATOR_KEY}",
            "If-Match": f'"{number}"',
        },
    ) as response:
        return response.status, await response.json(content_type=None)


async def _wait_for_number(entries, number: int) -> float:
    started_s = time.monotonic()
    async with asyncio.timeout(10):
        for entry in entries:
            while entry.kernel.get("configuration").head.number < number:
                await asyncio.sleep(0.005)
    return time.monotonic() - started_s


def _start_streams(caller, prompts: list[str]) -> list[asyncio.Task]:
    return [
        asyncio.create_task(caller.chat(worlds.PIPELINE, prompt, TOKENS))
        for prompt in prompts
    ]


async def _count_whole(
    report: Report, prompts: list[str], works: list[asyncio.Task]
) -> int:
    """Returns how many answers equal an undisturbed run."""
    answers = await asyncio.gather(*works)
    whole = 0
    for prompt, answer in zip(prompts, answers, strict=True):
        is_right = answer.pieces == _expect(prompt, TOKENS)
        whole += answer.is_whole and is_right
        report.add_answer(prompt, answer, is_right)
    return whole


async def _show_streams(report, world, caller) -> None:
    """Kills a stage and withdraws another while answers are streamed."""
    prompts = [f"quote {index} for a bookshelf" for index in range(STREAMS)]
    works = _start_streams(caller, prompts)
    await asyncio.sleep(0.25)
    await world.engines["b-1"].crash()
    await asyncio.sleep(0.15)
    world.set_leaving("c-1")
    whole = await _count_whole(report, prompts, works)
    report.add(
        "each caller gets its own whole answer",
        f"{whole} of {STREAMS} streams equal an undisturbed run, with stage"
        " b-1 killed and c-1 withdrawn on the way",
        whole == STREAMS,
    )
    steps = world.engines["c-1"].applied_positions
    await caller.chat(worlds.PIPELINE, "after the withdrawal", 8)
    new_steps = world.engines["c-1"].applied_positions - steps
    report.add(
        "a leaving upstream gets no new work",
        f"{new_steps} steps on c-1 after it left",
        new_steps == 0,
    )


async def _show_booking(report, world, caller) -> None:
    """Sends one booking twice at once, through two entries."""
    key = str(uuid6.uuid7())
    body = {"deposit": 150, "order": "shelf-12"}
    answers = await asyncio.gather(
        *(
            caller.act("confirm-deposit", key, body, entry, attempt=number)
            for number, entry in enumerate(caller.entries, start=1)
        )
    )
    outcomes = [answer["outcome"] for _, answer in answers]
    runs = world.service.runs.get(worlds.name_booking(key), 0)
    report.add(
        "what may not be repeated runs at most once",
        f"one deposit sent through two entries: outcomes {outcomes}, {runs}"
        " run",
        runs == 1 and outcomes == ["completed", "completed"],
    )
    world.service.faults.down = True
    key = str(uuid6.uuid7())
    _, answer = await caller.act("confirm-deposit", key, body)
    world.service.faults.down = False
    runs = world.service.runs.get(worlds.name_booking(key), 0)
    report.add(
        "'not run' is true",
        f"service down: outcome {answer['outcome']}, {runs} runs",
        answer["outcome"] == "not_run" and runs == 0,
    )


async def _show_patch(report, session, entries) -> None:
    """Applies a patch, and one against a number that is no longer in force."""
    address = entries[0].operator_address
    patch = {"pipelines": {"surveys": {"model": worlds.MODEL}}}
    status, answer = await _patch(session, address, 1, patch)
    taken_s = await _wait_for_number(entries, 2)
    late_status, late = await _patch(session, address, 1, patch)
    report.add(
        "an accepted configuration is in force everywhere",
        f"number {answer.get('number')} on {len(entries)} entries after"
        f" {taken_s * 1000:.0f} ms; a patch against 1 got {late_status} with"
        f" {late.get('in_force')} in force",
        status == 200 and late_status == 412 and late.get("in_force") == 2,
    )


async def _show_stop(report, entry, caller) -> None:
    """Stops an entry while callers keep sending."""
    prompts = [f"survey {index} at the plaza" for index in range(STREAMS)]
    works = _start_streams(caller, prompts)
    await asyncio.sleep(0.1)
    started_s = time.monotonic()
    await entry.drain()
    taken_s = time.monotonic() - started_s
    whole = await _count_whole(report, prompts, works)
    report.add(
        "a planned stop is graceful",
        f"an entry stopped in {taken_s:.2f} s; {whole} of {STREAMS} answers"
        " whole",
        whole == STREAMS and taken_s < STOP_LIMIT_S,
    )


async def run(hold: bool) -> int:
    """Runs the demo; returns the exit status."""
    logs.set_up_logs(logs.Settings(level="error"))
    report = Report()
    async with contextlib.AsyncExitStack() as stack:
        world = await stack.enter_async_context(worlds.World())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        entries = []
        for name in ("entry-1", "entry-2"):
            settings = make_settings(world, name)
            entry = composition.Entry(settings, seed=SEED)
            entries.append(await stack.enter_async_context(entry))
        await _patch(
            session,
            entries[0].operator_address,
            0,
            worlds.make_configuration(),
        )
        await _wait_for_number(entries, 1)
        addresses = [entry.caller_address for entry in entries]
        caller = callers.Caller(session, addresses, worlds.CALLER_KEY)
        await _show_streams(report, world, caller)
        await _show_booking(report, world, caller)
        await _show_patch(report, session, entries)
        await _show_stop(report, entries[1], caller)
        has_held = report.print()
        if hold:
            await _hold(addresses[0])
    return 0 if has_held else 1


async def _hold(address: str) -> None:
    print(
        f"\nserving until Ctrl-C; try:\n"
        f"curl -N http://{address}/v1/chat/completions"
        f" -H 'Authorization: Bearer {worlds.CALLER_KEY}'"
        ' -d \'{"model": "quotes", "stream": true, "max_tokens": 20,'
        ' "messages": [{"role": "user", "content": "a shelf"}]}\'',
        flush=True,
    )
    await signals.wait_for_stop()
