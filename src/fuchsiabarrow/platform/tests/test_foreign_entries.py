"""Entries in the list of upstreams that come from other writers."""

import asyncio
import tracemalloc

import pytest

from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import sample_objects

GENERATION = {wire_names.TOKEN_COUNTS: "800,60"}
REQUESTS = 3
# Far above what requests need, far below the memory limit of a process.
MAX_GROWTH_BYTES = 8_000_000


def play(test):
    """Runs a test on an entry whose model lies in two failure domains."""

    async def main():
        async with entry_harness.EntryHarness() as harness:
            right = harness.upstreams["right"]
            await harness.store.put(
                "servers", "right", right.make_entry(zone="b")
            )
            directory = harness.entry.kernel.get("directory")
            await harness.wait(
                lambda: directory.get("right").failure_domain == "b"
            )
            return await test(harness, directory)

    return asyncio.run(main())


# An entry with 10,000,000 layers took every process over its memory at its
# first request, and while it was listed no request of the model was served.
@pytest.mark.parametrize("end", [81, 10**6, 2**31 - 1, 2**64])
def test_absurd_layers_cost_neither_memory_nor_requests(end):
    foreign = sample_objects.make_server(
        address="127.0.0.1:9", layers={"start_key": 0, "to": end}, kind="a100"
    )

    async def test(harness, directory):
        await harness.store.put("servers", "note-1", foreign)
        # Changes are applied in order.
        await harness.add_upstream("desk-3", "desk")
        await harness.wait(lambda: directory.get("desk-3") is not None)
        tracemalloc.start()
        try:
            statuses = [
                (await harness.fetch("/draft/x", headers=GENERATION))[0]
                for _ in range(REQUESTS)
            ]
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        return statuses, peak_bytes

    statuses, peak_bytes = play(test)
    assert statuses == [200] * REQUESTS
    assert peak_bytes < MAX_GROWTH_BYTES
