"""CPU time and memory of an entry by the number of stages and streams.

The engines and the entry are separate processes; the callers run in this one.
The CPU time and memory of the entry are read from /proc, so that the cost of
generating the load is not included.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

import aiohttp
import defopt

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.utils import loops

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_cpu_s(pid: int) -> float:
    """Returns the CPU time of a process in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    text = pathlib.Path(f"/proc/{pid}/statm").read_text()
    return int(text.split()[1]) * PAGE_BYTES


def make_profiles(stages: int) -> tuple[engines.EngineProfile, ...]:
    """Returns one engine per stage, with equal numbers of layers."""
    layers_per_stage = clusters.LAYERS // stages
    return tuple(
        engines.EngineProfile(
            f"s{n}",
            clusters.MODEL,
            n * layers_per_stage,
            (n + 1) * layers_per_stage,
            0.002,
        )
        for n in range(stages)
    )


async def measure(folder: str, stages: int, streams: int, tokens: int) -> dict:
    """Returns the cost of an entry under a number of concurrent streams."""
    with process_fleets.Fleet(pathlib.Path(folder)) as fleet:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            await process_fleets.start_fleet(
                session, fleet, make_profiles(stages), ("entry-1",)
            )
            entry = fleet.processes["entry-1"]
            caller = callers.Caller(
                session, [entry.address], clusters.CALLER_KEY
            )
            await caller.chat(clusters.PIPELINE, "warm up", 20)
            pid = entry.child.pid
            idle_bytes = read_memory_bytes(pid)
            cpu_before_s, started_s = read_cpu_s(pid), time.monotonic()
            tasks = [
                asyncio.create_task(
                    caller.chat(clusters.PIPELINE, f"prompt {n}", tokens)
                )
                for n in range(streams)
            ]
            answers = await asyncio.gather(*tasks)
            wall_s = time.monotonic() - started_s
            cpu_s = read_cpu_s(pid) - cpu_before_s
            count = sum(len(answer.token_texts) for answer in answers)
            complete = sum(answer.is_complete for answer in answers)
            return {
                "stages": stages,
                "streams": streams,
                "complete": complete,
                "tokens": count,
                "tokens_per_s": round(count / wall_s),
                "cpu_us_per_token": round(1e6 * cpu_s / count, 1),
                "cores": round(cpu_s / wall_s, 2),
                "idle_mb": round(idle_bytes / 1e6, 1),
                "loaded_mb": round(read_memory_bytes(pid) / 1e6, 1),
            }


def main(*, streams: int = 64, tokens: int = 200) -> None:
    """Measure an entry with pipelines of 1 to 4 stages.

    Args:
        streams: Number of concurrent streams.
        tokens: Tokens per response.
    """
    for stages in (1, 2, 3, 4):
        with tempfile.TemporaryDirectory() as folder:
            print(loops.run(measure(folder, stages, streams, tokens)))
            sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
