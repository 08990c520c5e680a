"""The demo: two entries on embedded stand-ins, with injected failures.

Stand-ins are simulated implementations of the external systems: the object
store, the instance list, the engines and the service that runs actions.
"""

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
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import models
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
    """Collects the results of the demo.

    Attributes:
        rows: (guarantee, observation, whether the guarantee held).
        answers: One line for each response that a caller received.
    """

    rows: list[tuple[str, str, bool]] = dataclasses.field(default_factory=list)
    answers: list[str] = dataclasses.field(default_factory=list)

    def add(self, guarantee: str, observation: str, held: bool) -> None:
        """Adds the result of checking one guarantee."""
        self.rows.append((guarantee, observation, held))

    def add_answer(
        self, prompt: str, answer: callers.Answer, is_correct: bool
    ) -> None:
        """Adds a line about the response that a caller received."""
        end = "complete" if answer.is_complete else "TRUNCATED"
        match = "as expected" if is_correct else "DIFFERENT"
        text = "".join(answer.token_texts[:EXCERPT_TOKENS])
        self.answers.append(
            f"{prompt:28}  {len(answer.token_texts):3} tokens  {end}  {match}"
            f"  {len(set(answer.entries))} entries  {text}..."
        )

    def print(self) -> bool:
        """Prints the tables; returns whether every guarantee held."""
        print("Responses that the callers received:")
        for line in self.answers:
            print(f"  {line}")
        print("\nGuarantees:")
        width = max(len(row[0]) for row in self.rows)
        for guarantee, observation, held in self.rows:
            verdict = "held" if held else "FAILED"
            print(f"  {verdict:6}  {guarantee:{width}}  {observation}")
        return all(held for _, _, held in self.rows)


def make_settings(
    cluster: clusters.SimulatedCluster,
    name: str,
    entry_options: dict | None = None,
    **sections: dict,
) -> settings_module.Settings:
    """Returns the settings of an entry that uses stand-ins, on free ports.

    Args:
        cluster: Stand-ins that the entry connects to.
        name: Name of the entry.
        entry_options: Keys of the section ``entry`` to override.
        **sections: Further sections.
    """
    return settings_module.parse_sections(
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
                "objects_address": cluster.store.server.address,
                "instances_address": cluster.instance_list.server.address,
            },
            "operators": {
                "bootstrap_key_sha256": documents.hash_key(
                    clusters.OPERATOR_KEY
                )
            },
            "logs": {"level": "error"},
            **sections,
        }
    )


def _compute_expected_tokens(text: str, tokens: int) -> list[str]:
    """Returns the token texts that a run without failures would give."""
    prompt = tokenizers.encode_text(f"user: {text}")
    answer = models.complete(prompt, clusters.LAYERS, tokens)
    return [tokenizers.decode_token(token) for token in answer]


async def _patch(session, address: str, number: int, patch: dict):
    async with session.patch(
        f"http://{address}/v1/configuration",
        json=patch,
        headers={
            "Authorization": f"Bearer {clusters.OPERATOR_KEY}",
            "If-Match": f'"{number}"',
        },
    ) as response:
        return response.status, await response.json(content_type=None)


async def _wait_for_configuration(entries, number: int) -> float:
    started_s = time.monotonic()
    async with asyncio.timeout(10):
        for entry in entries:
            while entry.kernel.get("configuration").head.number < number:
                await asyncio.sleep(0.005)
    return time.monotonic() - started_s


def _start_streams(caller, prompts: list[str]) -> list[asyncio.Task]:
    return [
        asyncio.create_task(caller.chat(clusters.PIPELINE, prompt, TOKENS))
        for prompt in prompts
    ]


async def _count_correct(
    report: Report, prompts: list[str], tasks: list[asyncio.Task]
) -> int:
    """Returns how many responses are complete and as expected."""
    answers = await asyncio.gather(*tasks)
    correct = 0
    for prompt, answer in zip(prompts, answers, strict=True):
        is_correct = answer.token_texts == _compute_expected_tokens(
            prompt, TOKENS
        )
        correct += answer.is_complete and is_correct
        report.add_answer(prompt, answer, is_correct)
    return correct


async def _check_streams(report, cluster, caller) -> None:
    """Crashes one engine and withdraws another while responses are streamed."""
    prompts = [f"quote {index} for a bookshelf" for index in range(STREAMS)]
    tasks = _start_streams(caller, prompts)
    await asyncio.sleep(0.25)
    await cluster.engines["b-1"].crash()
    await asyncio.sleep(0.15)
    cluster.set_leaving("c-1")
    correct = await _count_correct(report, prompts, tasks)
    report.add(
        "each caller gets the complete response to its own request",
        f"{correct} of {STREAMS} streams equal a run without failures, with"
        " engine b-1 crashed and c-1 withdrawn meanwhile",
        correct == STREAMS,
    )
    steps = cluster.engines["c-1"].applied_positions
    await caller.chat(clusters.PIPELINE, "after the withdrawal", 8)
    new_steps = cluster.engines["c-1"].applied_positions - steps
    report.add(
        "a leaving upstream gets no new work",
        f"{new_steps} steps on c-1 after its withdrawal",
        new_steps == 0,
    )


async def _check_actions(report, cluster, caller) -> None:
    """Checks that actions run at most once and that "not run" is true.

    Sends one action through two entries at once, and one while the service is
    down.
    """
    key = str(uuid6.uuid7())
    body = {"deposit": 150, "order": "shelf-12"}
    answers = await asyncio.gather(
        *(
            caller.call_action(
                "confirm-deposit", key, body, entry, attempt=number
            )
            for number, entry in enumerate(caller.entries, start=1)
        )
    )
    outcomes = [answer["outcome"] for _, answer in answers]
    runs = cluster.service.runs.get(clusters.compute_call_key(key), 0)
    report.add(
        "an action that must not be repeated runs at most once",
        f"one deposit sent through two entries: outcomes {outcomes}, runs"
        f" {runs}",
        runs == 1 and outcomes == ["completed", "completed"],
    )
    cluster.service.faults.down = True
    key = str(uuid6.uuid7())
    _, answer = await caller.call_action("confirm-deposit", key, body)
    cluster.service.faults.down = False
    runs = cluster.service.runs.get(clusters.compute_call_key(key), 0)
    report.add(
        "an action reported as not run did not run",
        f"service down: outcome {answer['outcome']}, runs {runs}",
        answer["outcome"] == "not_run" and runs == 0,
    )


async def _check_patch(report, session, entries) -> None:
    """Applies a patch, then one based on a superseded configuration."""
    address = entries[0].operator_address
    patch = {"pipelines": {"surveys": {"model": clusters.MODEL}}}
    status, answer = await _patch(session, address, 1, patch)
    duration_s = await _wait_for_configuration(entries, 2)
    stale_status, stale = await _patch(session, address, 1, patch)
    report.add(
        "an accepted configuration takes effect on all entries",
        f"number {answer.get('number')} on {len(entries)} entries after"
        f" {duration_s * 1000:.0f} ms; a patch based on 1 got {stale_status}"
        f" with {stale.get('in_force')} in force",
        status == 200 and stale_status == 412 and stale.get("in_force") == 2,
    )


async def _check_stop(report, entry, caller) -> None:
    """Stops an entry gracefully while streams are running."""
    prompts = [f"survey {index} at the plaza" for index in range(STREAMS)]
    tasks = _start_streams(caller, prompts)
    await asyncio.sleep(0.1)
    started_s = time.monotonic()
    await entry.drain()
    duration_s = time.monotonic() - started_s
    correct = await _count_correct(report, prompts, tasks)
    report.add(
        "a planned stop is graceful",
        f"an entry stopped in {duration_s:.2f} s; {correct} of {STREAMS}"
        " responses complete and as expected",
        correct == STREAMS and duration_s < STOP_LIMIT_S,
    )


async def run(hold: bool) -> int:
    """Runs the demo.

    Args:
        hold: Whether to keep serving after the report, until SIGTERM or SIGINT.

    Returns:
        The exit status: 0 if every guarantee held.
    """
    logs.set_up_logs(logs.Settings(level="error"))
    report = Report()
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(clusters.SimulatedCluster())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        entries = []
        for name in ("entry-1", "entry-2"):
            settings = make_settings(cluster, name)
            entry = composition.Entry(settings, seed=SEED)
            entries.append(await stack.enter_async_context(entry))
        await _patch(
            session,
            entries[0].operator_address,
            0,
            clusters.make_configuration(),
        )
        await _wait_for_configuration(entries, 1)
        addresses = [entry.caller_address for entry in entries]
        caller = callers.Caller(session, addresses, clusters.CALLER_KEY)
        await _check_streams(report, cluster, caller)
        await _check_actions(report, cluster, caller)
        await _check_patch(report, session, entries)
        await _check_stop(report, entries[1], caller)
        all_held = report.print()
        if hold:
            await _keep_serving(addresses[0])
    return 0 if all_held else 1


async def _keep_serving(address: str) -> None:
    print(
        f"\nserving until Ctrl-C; try:\n"
        f"curl -N http://{address}/v1/chat/completions"
        f" -H 'Authorization: Bearer {clusters.CALLER_KEY}'"
        ' -d \'{"model": "quotes", "stream": true, "max_tokens": 20,'
        ' "messages": [{"role": "user", "content": "a shelf"}]}\'',
        flush=True,
    )
    await signals.wait_for_stop()
