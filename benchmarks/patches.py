"""Delay from the accepted write of a configuration until it is in force.

Entries and stand-ins run in this process, so that both times are read from the
same clock. The delay ends when an entry that adopts the configuration calls its
listeners.
"""

import asyncio
import contextlib
import time

import defopt
from hdrh import histogram

from fuchsiabarrow.commands import demo
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.entry import composition
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.utils import loops

MAX_US = 60_000_000


async def measure(entries: int, patches: int, organisations: int) -> dict:
    """Returns the distribution of the delay over all entries and patches."""
    document = clusters.make_configuration()
    for number in range(organisations):
        document["organisations"][f"organisation-{number}"] = {
            "key_sha256": [documents.hash_key(str(number))],
            "pipelines": [clusters.PIPELINE],
        }
    adopted_s: dict[int, list[float]] = {}
    accepted_s: dict[int, float] = {}
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(clusters.SimulatedCluster(()))
        started = []
        for number in range(entries):
            settings = demo.make_settings(cluster, f"entry-{number}")
            entry = composition.Entry(settings, seed=number)
            started.append(await stack.enter_async_context(entry))
            service = entry.kernel.get("configuration")

            def record_adoption(configuration, service=service) -> None:
                now_s = time.monotonic()
                adopted_s.setdefault(service.head.number, []).append(now_s)

            service.add_listener(record_adoption)
        write = cluster.store.write

        def write_and_record(kind, name, value, expected):
            version = write(kind, name, value, expected)
            if kind == "configuration" and version is not None:
                accepted_s[len(accepted_s) + 1] = time.monotonic()
            return version

        cluster.store.write = write_and_record
        patch = document
        for number in range(patches):
            service = started[number % entries].kernel.get("configuration")
            while service.head.number < number:
                await asyncio.sleep(0.005)
            await service.patch(patch, number, "benchmark")
            name = f"organisation-{number % max(1, organisations)}"
            patch = {"organisations": {name: {"share": 1.5 + number}}}
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
    delays = histogram.HdrHistogram(1, MAX_US, 3)
    for number, times_s in adopted_s.items():
        for time_s in times_s:
            delay_us = 1e6 * (time_s - accepted_s[number])
            delays.record_value(max(1, int(delay_us)))
    return {
        "entries": entries,
        "organisations": organisations,
        "patches": patches,
        "in_force": delays.get_total_count(),
        "ms_p50": delays.get_value_at_percentile(50) / 1000,
        "ms_p99": delays.get_value_at_percentile(99) / 1000,
        "ms_max": delays.get_max_value() / 1000,
    }


def main(*, patches: int = 100) -> None:
    """Measure with 9 entries, with few and with many organisations.

    Args:
        patches: Number of patches, sent through the entries in turn.
    """
    for organisations in (10, 8900):
        print(loops.run(measure(9, patches, organisations)))


if __name__ == "__main__":
    defopt.run(main)
