"""Soak test: streams and actions while engines keep failing.

Every 0.4 s one engine is killed or frozen and a new one is started. Two in
three of the failed engines stay in the instance list. Callers compare every
complete response with that of a run without failures, and send every deposit
(an action that must run at most once) until its outcome is final, at most 20
times.
"""

import asyncio
import collections
import pathlib
import random
import signal
import tempfile
import time

import aiohttp
import defopt
import uuid6

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.streams.tests import entries as entries_module
from fuchsiabarrow.utils import loops

SEED = 3
TOKENS = 60
STREAM_CALLERS = 48
ACTION_CALLERS = 8
FAILURE_PERIOD_S = 0.4
RANGES = ((0, 4), (4, 8), (8, 12))
ENTRIES = ("entry-1", "entry-2", "entry-3")
PROFILES = tuple(
    engines.EngineProfile(f"s{first}-{n}", clusters.MODEL, first, end, 0.001)
    for first, end in RANGES
    for n in range(3)
)


class Soak:
    """One run of the soak test against running entries.

    Attributes:
        counts: Counted outcomes, by name.
    """

    def __init__(self, session, fleet, caller, duration_s: float):
        self.counts = collections.Counter()
        self._session = session
        self._fleet = fleet
        self._caller = caller
        self._end_s = time.monotonic() + duration_s
        self._rng = random.Random(SEED)
        self._live = list(PROFILES)

    async def run(self) -> None:
        """Runs the callers and fails engines until the duration has elapsed."""
        await asyncio.gather(
            self._fail_engines(),
            *(self._request_streams(n) for n in range(STREAM_CALLERS)),
            *(self._request_actions() for _ in range(ACTION_CALLERS)),
        )

    async def _request_streams(self, number: int) -> None:
        turn = 0
        while time.monotonic() < self._end_s:
            turn += 1
            text = f"caller {number} {turn}"
            answer = await self._caller.chat(clusters.PIPELINE, text, TOKENS)
            if not answer.is_complete:
                self.counts["incomplete"] += 1
            elif answer.token_texts != entries_module.compute_expected_answer(
                text, TOKENS
            ):
                self.counts["WRONG"] += 1
            else:
                self.counts["correct"] += 1

    async def _request_actions(self) -> None:
        while time.monotonic() < self._end_s:
            key, attempt, outcome = str(uuid6.uuid7()), 0, "unknown"
            while outcome in ("unknown", "not_run") and attempt < 20:
                attempt += 1
                _, answer = await self._caller.call_action(
                    "confirm-deposit", key, {"deposit": 1}, attempt=attempt
                )
                outcome = answer["outcome"]
            self.counts[f"deposit {outcome}"] += 1
            await asyncio.sleep(0.2)

    async def _fail_engines(self) -> None:
        replacements = []
        while time.monotonic() < self._end_s - 2:
            await asyncio.sleep(FAILURE_PERIOD_S)
            self.counts["engines failed"] += 1
            number = self.counts["engines failed"]
            failed = self._rng.choice(self._live)
            self._live.remove(failed)
            process = self._fleet.processes[failed.instance_id]
            process.send(self._rng.choice((signal.SIGKILL, signal.SIGSTOP)))
            replacement = self._replace(failed, number)
            replacements.append(asyncio.create_task(replacement))
            if number % 3 == 0:
                list_address = self._fleet.processes["instances"].address
                url = f"http://{list_address}/instances/{failed.instance_id}"
                await (await self._session.delete(url)).release()
        await asyncio.gather(*replacements)

    async def _replace(self, failed, number: int) -> None:
        """Starts an engine with the layers of a failed one and lists it."""
        name = f"r{number}-{failed.first_layer}"
        profile = engines.EngineProfile(
            name, clusters.MODEL, failed.first_layer, failed.end_layer, 0.001
        )
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._fleet.start_engines, (profile,))
        address = self._fleet.processes[name].address
        instance = clusters.make_engine_instance(profile, address)
        await process_fleets.put_instance(self._session, self._fleet, instance)
        self._live.append(profile)


async def measure(folder: str, duration_s: float) -> None:
    """Runs the soak test and prints the counts."""
    with process_fleets.Fleet(pathlib.Path(folder)) as fleet:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            await process_fleets.start_fleet(session, fleet, PROFILES, ENTRIES)
            addresses = fleet.get_addresses(*ENTRIES)
            caller = callers.Caller(session, addresses, clusters.CALLER_KEY)
            soak = Soak(session, fleet, caller, duration_s)
            await soak.run()
            service = fleet.processes["service"]
            runs = await process_fleets.read_json(session, service, "/runs")
            print(dict(soak.counts), "most runs per key", max(runs.values()))
            for name in ENTRIES:
                lines = fleet.processes[name].read_log().splitlines()
                errors = sum("level=error" in line for line in lines)
                print({"entry": name, "errors logged": errors})


def main(*, duration_s: float = 30.0) -> None:
    """Run the soak test.

    Args:
        duration_s: Duration in seconds.
    """
    with tempfile.TemporaryDirectory() as folder:
        loops.run(measure(folder, duration_s))


if __name__ == "__main__":
    defopt.run(main)
