"""Tokens per second through a chain of stages, compared with an upper bound.

A stage with a fixed time b per batch and a time p per position in it, which
holds n of N streams, yields n / (b + p n) tokens per second. The bound is the
largest rate that all stages can sustain at once while they hold N streams in
total; it assumes that links and routers take no time.
"""

import asyncio
import pathlib
import sys
import tempfile
import time

import aiohttp
import defopt
from hdrh import histogram

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.utils import loops

MAX_GAP_US = 60_000_000
# Named chains of stages: the fixed time per batch and the time per position of
# each stage, in seconds.
SHAPES = {
    "balanced": ((0.002, 0.0001),) * 4,
    "one slow stage": (
        (0.001, 0.0001),
        (0.010, 0.0001),
        (0.001, 0.0001),
        (0.001, 0.0001),
    ),
    "mixed accelerators": (
        (0.001, 0.00005),
        (0.004, 0.0002),
        (0.002, 0.0001),
        (0.008, 0.0001),
    ),
}


def compute_bound(shape: tuple, streams: int) -> float:
    """Returns the upper bound of the rate in tokens per second, by bisection.

    Args:
        shape: Time per batch and time per position of each stage, in seconds.
        streams: Number of concurrent streams.
    """
    low, high = 0.0, 1 / max(p for _, p in shape)
    for _ in range(60):
        rate = (low + high) / 2
        held = sum(b * rate / (1 - p * rate) for b, p in shape)
        low, high = (rate, high) if held <= streams else (low, rate)
    return low


def make_profiles(shape: tuple, replicas: int):
    """Returns engines with equal numbers of layers and the speeds of a shape.

    Args:
        shape: Time per batch and time per position of each stage, in seconds.
        replicas: Engines per stage.
    """
    layers_per_stage = clusters.LAYERS // len(shape)
    return tuple(
        engines.EngineProfile(
            f"s{n}-{k}",
            clusters.MODEL,
            n * layers_per_stage,
            (n + 1) * layers_per_stage,
            b,
            p,
        )
        for n, (b, p) in enumerate(shape)
        for k in range(replicas)
    )


async def _run_stream(caller, number: int, tokens: int, gaps) -> int:
    """Runs one stream; records its token gaps and returns its token count."""
    answer = await caller.chat(
        clusters.PIPELINE, f"prompt {number}", tokens, token_gaps=gaps
    )
    return len(answer.token_texts)


async def measure(
    folder: str, name: str, streams: int, tokens: int, entries: int
) -> dict:
    """Returns the rate of one shape at a constant number of streams."""
    shape = SHAPES[name]
    names = tuple(f"entry-{n}" for n in range(entries))
    with process_fleets.Fleet(pathlib.Path(folder)) as fleet:
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        ) as session:
            profiles = make_profiles(shape, 1)
            await process_fleets.start_fleet(session, fleet, profiles, names)
            caller = callers.Caller(
                session, fleet.get_addresses(*names), clusters.CALLER_KEY
            )
            gaps = histogram.HdrHistogram(1, MAX_GAP_US, 3)
            end_s = time.monotonic() + 8.0
            count = 0

            async def run_streams(number: int) -> None:
                nonlocal count
                turn = 0
                while time.monotonic() < end_s:
                    turn += 1
                    token_count = await _run_stream(
                        caller, 1000 * number + turn, tokens, gaps
                    )
                    count += token_count

            started_s = time.monotonic()
            await asyncio.gather(*(run_streams(n) for n in range(streams)))
            rate = count / (time.monotonic() - started_s)
            bound = compute_bound(shape, streams)
            states = [
                await process_fleets.read_json(
                    session, fleet.processes[p.instance_id], "/v1/state"
                )
                for p in profiles
            ]
            wall_s = time.monotonic() - started_s
            return {
                "shape": name,
                "entries": entries,
                "streams": streams,
                "tokens_per_s": round(rate),
                "bound": round(bound),
                "share_of_bound": round(rate / bound, 2),
                "busy": [round(s["busy_s"] / wall_s, 2) for s in states],
                "batch": [
                    round(s["applied_positions"] / s["batches"], 1)
                    for s in states
                ],
                "batch_ms": [
                    round(1000 * s["busy_s"] / s["batches"], 1) for s in states
                ],
                "gap_ms_p50": gaps.get_value_at_percentile(50) / 1000,
                "gap_ms_p95": gaps.get_value_at_percentile(95) / 1000,
            }


def main(
    *, streams: int = 64, tokens: int = 100, entries: list[int] | None = None
) -> None:
    """Measure each shape with a number of entries.

    Args:
        streams: Number of concurrent streams.
        tokens: Tokens per response.
        entries: Numbers of entries to measure with; 1 and 3 by default.
    """
    for name in SHAPES:
        for count in entries or [1, 3]:
            with tempfile.TemporaryDirectory() as folder:
                run = measure(folder, name, streams, tokens, count)
                print(loops.run(run))
                sys.stdout.flush()


if __name__ == "__main__":
    defopt.run(main)
