"""Memory and CPU time that connections to engines cost an entry.

The entry's end of the connections runs in the process of the benchmark, whose
memory and CPU time are measured.
"""

import asyncio
import os
import pathlib
import tempfile
import time

import defopt

from fuchsiabarrow.adapters import engines as engine_adapter
from fuchsiabarrow.adapters import sessions
from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.ports import engines as ports
from fuchsiabarrow.standins import engines
from fuchsiabarrow.utils import loops

IDLE_S = 5.0


def read_resident_bytes() -> int:
    """Returns the resident memory of this process."""
    fields = pathlib.Path("/proc/self/statm").read_text().split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


async def measure(folder: str, count: int) -> dict:
    """Returns the cost of idle connections that were each used for one step."""
    profile = engines.EngineProfile("s0", "m", 0, 4)
    with process_fleets.Fleet(pathlib.Path(folder)) as fleet:
        fleet.start_engines((profile,))
        address = fleet.processes["s0"].address
        async with sessions.make_session() as session:
            before_bytes = read_resident_bytes()
            links = []
            for number in range(count):
                link = engine_adapter.EngineConnection(
                    session, "s0", address, engine_adapter.Settings()
                )
                await link.__aenter__()
                step = ports.Step(f"r{number}", 0, 0, 0, 4, [1], [], False)
                await link.step(step)
                links.append(link)
            used_bytes = read_resident_bytes() - before_bytes
            cpu_before_s = time.process_time()
            await asyncio.sleep(IDLE_S)
            idle_cores = (time.process_time() - cpu_before_s) / IDLE_S
            await asyncio.gather(
                *(link.__aexit__(None, None, None) for link in links)
            )
    return {
        "links": count,
        "bytes_each": round(used_bytes / count),
        "idle_percent_of_core": round(100 * idle_cores, 2),
        "idle_us_per_s_each": round(1e6 * idle_cores / count, 1),
    }


def main() -> None:
    """Measure 50 to 400 connections."""
    for count in (50, 200, 400):
        with tempfile.TemporaryDirectory() as folder:
            print(loops.run(measure(folder, count)))


if __name__ == "__main__":
    defopt.run(main)
