"""Answers and deposits while stages are killed and frozen without end.

Every 0.4 s one engine is killed or frozen and a new one started; two in three
of the lost ones stay on the instance list. Callers check every answer against
an undisturbed run, and every deposit is sent until its outcome is final.
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

from fuchsiabarrow.entry.tests import fleets
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import engines
from fuchsiabarrow.standins import worlds
from fuchsiabarrow.streams.tests import worlds as expected
from fuchsiabarrow.utils import loops

SEED = 3
TOKENS = 60
TALKERS = 48
DEPOSITORS = 8
LOSS_PERIOD_S = 0.4
RANGES = ((0, 4), (4, 8), (8, 12))
ENTRIES = ("entry-1", "entry-2", "entry-3")
PROFILES = tuple(
    engines.EngineProfile(f"s{first}-{n}", worlds.MODEL, first, end, 0.001)
    for first, end in RANGES
    for n in range(3)
)


class Soak:
    """One run against a fleet that is set up."""

    def __init__(self, session, fleet, caller, duration_s: float):
        self.counts = collections.Counter()
        self._session = session
        self._fleet = fleet
        self._caller = caller
        self._end_s = time.monotonic() + duration_s
        self._source = random.Random(SEED)
        self._live = list(PROFILES)

    async def run(self) -> None:
        """Runs until the time is over."""
        await asyncio.gather(
            self._lose_engines(),
            *(self._talk(n) for n in range(TALKERS)),
            *(self._deposit() for _ in range(DEPOSITORS)),
        )

    async def _talk(self, number: int) -> None:
        turn = 0
        while time.monotonic() < self._end_s:
            turn += 1
            text = f"caller {number} {turn}"
            answer = await self._caller.chat(worlds.PIPELINE, text, TOKENS)
            if not answer.is_whole:
                self.counts["given up"] += 1
            elif answer.pieces != expected.expect(text, TOKENS):
                self.counts["WRONG"] += 1
            else:
                self.counts["whole"] += 1

    async def _deposit(self) -> None:
        while time.monotonic() < self._end_s:
            key, attempt, outcome = str(uuid6.uuid7()), 0, "unknown"
            while outcome in ("unknown", "not_run") and attempt < 20:
                attempt += 1
                _, found = await self._caller.act(
                    "confirm-deposit", key, {"deposit": 1}, attempt=attempt
                )
                outcome = found["outcome"]
            self.counts[f"deposit {outcome}"] += 1
            await asyncio.sleep(0.2)

    async def _lose_engines(self) -> None:
        replacements = []
        while time.monotonic() < self._end_s - 2:
            await asyncio.sleep(LOSS_PERIOD_S)
            self.counts["engines lost"] += 1
            number = self.counts["engines lost"]
            lost = self._source.choice(self._live)
            self._live.remove(lost)
            process = self._fleet.processes[lost.instance_id]
            process.send(self._source.choice((signal.SIGKILL, signal.SIGSTOP)))
            work = self._replace(lost, number)
            replacements.append(asyncio.create_task(work))
            if number % 3 == 0:
                listing = self._fleet.processes["instances"].address
                url = f"http://{listing}/instances/{lost.instance_id}"
                await (await self._session.delete(url)).release()
        await asyncio.gather(*replacements)

    async def _replace(self, lost, number: int) -> None:
        name = f"r{number}-{lost.first_layer}"
        profile = engines.EngineProfile(
            name, worlds.MODEL, lost.first_layer, lost.end_layer, 0.001
        )
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, self._fleet.start_engines, (profile,))
        address = self._fleet.processes[name].address
        listed = worlds.describe_engine(profile, address)
        await fleets.put_instance(self._session, self._fleet, listed)
        self._live.append(profile)


async def measure(folder: str, duration_s: float) -> None:
    """Runs the soak and prints what was counted."""
    with fleets.Fleet(pathlib.Path(folder)) as fleet:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            await fleets.set_up(session, fleet, PROFILES, ENTRIES)
            addresses = fleet.get_addresses(*ENTRIES)
            caller = callers.Caller(session, addresses, worlds.CALLER_KEY)
            soak = Soak(session, fleet, caller, duration_s)
            await soak.run()
            service = fleet.processes["service"]
            runs = await fleets.read_json(session, service, "/runs")
            print(dict(soak.counts), "most runs of a key", max(runs.values()))
            for name in ENTRIES:
                lines = fleet.processes[name].read_log().splitlines()
                errors = sum("level=error" in line for line in lines)
                print({"entry": name, "errors logged": errors})


def main(*, duration_s: float = 30.0) -> None:
    """Run the soak.

    Args:
        duration_s: Its length in seconds.
    """
    with tempfile.TemporaryDirectory() as folder:
        loops.run(measure(folder, duration_s))


if __name__ == "__main__":
    defopt.run(main)
