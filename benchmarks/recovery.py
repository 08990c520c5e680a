"""Interruption of token streams that callers see when an engine fails.

Reports the longest time between two tokens of each stream that was running when
an engine was killed, frozen (SIGSTOP), stopped responding on its connections,
became slow, or was withdrawn as planned. Engines and entries are separate
processes; the callers run in this one.
"""

import asyncio
import pathlib
import signal
import statistics
import sys
import tempfile
import time

import aiohttp
import defopt
from hdrh import histogram
import msgspec

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.utils import loops

MAX_GAP_US = 60_000_000
RANGES = ((0, 4), (4, 8), (8, 12))
REPLICAS = 2
PROFILES = tuple(
    engines.EngineProfile(
        f"s{first}-{n}", clusters.MODEL, first, end, 0.002, 0.00001
    )
    for first, end in RANGES
    for n in range(REPLICAS)
)
ENTRIES = ("entry-1", "entry-2")
FAILED = "s4-0"
KINDS = (
    "none",
    "kill",
    "freeze",
    "silence",
    "withdraw",
    "withdraw, cache recomputed",
    "slow link",
)


async def cause_failure(session, fleet, kind: str) -> None:
    """Causes one failure of the engine `FAILED`, which holds middle layers."""
    process = fleet.processes[FAILED]
    if kind == "kill":
        process.send(signal.SIGKILL)
    elif kind == "freeze":
        process.send(signal.SIGSTOP)
    elif kind == "silence":
        await process_fleets.set_faults(session, process, silent=True)
    elif kind == "slow link":
        await process_fleets.set_faults(session, process, delay_s=0.1)
    elif kind.startswith("withdraw"):
        refuses = kind == "withdraw, cache recomputed"
        await process_fleets.set_faults(session, process, refuse_export=refuses)
        profile = next(p for p in PROFILES if p.instance_id == FAILED)
        listed = clusters.make_engine_instance(profile, process.address)
        leaving = msgspec.structs.replace(listed, leaving=True)
        await process_fleets.put_instance(session, fleet, leaving)


async def measure(
    folder, kind: str, streams: int, tokens: int, prompt_bytes: int = 0
) -> dict:
    """Returns the longest gaps of the streams around one failure."""
    with process_fleets.Fleet(pathlib.Path(folder)) as fleet:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            await process_fleets.start_fleet(session, fleet, PROFILES, ENTRIES)
            caller = callers.Caller(
                session, fleet.get_addresses(*ENTRIES), clusters.CALLER_KEY
            )
            await caller.chat(clusters.PIPELINE, "warm up", 20)
            series = [
                histogram.HdrHistogram(1, MAX_GAP_US, 3) for _ in range(streams)
            ]
            tasks = [
                asyncio.create_task(
                    caller.chat(
                        clusters.PIPELINE,
                        f"{n}" + "x" * prompt_bytes,
                        tokens,
                        token_gaps=gaps,
                    )
                )
                for n, gaps in enumerate(series)
            ]
            await asyncio.sleep(1.0)
            running = [not task.done() for task in tasks]
            await cause_failure(session, fleet, kind)
            failed_s = time.monotonic()
            answers = await asyncio.gather(*tasks)
            duration_s = time.monotonic() - failed_s
            longest = sorted(
                gaps.get_max_value() / 1000
                for gaps, was_running in zip(series, running, strict=True)
                if was_running
            )
            return {
                "failure": kind,
                "running": len(longest),
                "all_ended_s": round(duration_s, 2),
                "complete": sum(answer.is_complete for answer in answers),
                "longest_gap_ms_p50": round(statistics.median(longest), 1),
                "longest_gap_ms_p95": round(
                    longest[int(0.95 * (len(longest) - 1))], 1
                ),
                "longest_gap_ms_max": round(longest[-1], 1),
            }


def main(
    *, streams: int = 48, tokens: int = 300, prompt_bytes: int = 0
) -> None:
    """Measure each kind of failure once.

    Args:
        streams: Number of concurrent streams.
        tokens: Tokens per response.
        prompt_bytes: Length added to each prompt.
    """
    for kind in KINDS:
        with tempfile.TemporaryDirectory() as folder:
            print(
                loops.run(measure(folder, kind, streams, tokens, prompt_bytes))
            )
            sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
