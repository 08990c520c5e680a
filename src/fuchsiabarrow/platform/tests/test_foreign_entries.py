"""Entries in the list of upstreams that come from other writers."""

import asyncio
import tracemalloc

import msgspec
import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.platform import store as store_module
from fuchsiabarrow.platform import wire
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import sample_objects

GENERATION = {wire_names.TOKEN_COUNTS: "800,60"}
REQUESTS = 3
# Texts that a decoder of the whole list rejects.
UNREADABLE = {
    "lone surrogate": b'{"zone": "a\\udcff"}',
    "no unicode": b'{"zone": "a\xff"}',
    "nested": b"[" * 3000 + b"]" * 3000,
}
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


# The list was rejected as a whole: an upstream that left got requests until its
# end, and an entry that started knew no upstream.
@pytest.mark.parametrize("kind", UNREADABLE)
def test_unreadable_entry_does_not_end_the_news_of_others(kind):
    spec = msgspec.Raw(UNREADABLE[kind])

    async def test(harness, directory):
        await harness.store.put("servers", "note-1", spec)
        leaving = harness.upstreams["desk-1"].make_entry(state="draining")
        await harness.store.put("servers", "desk-1", leaving)
        await harness.wait(lambda: directory.get("desk-1").is_leaving)
        # As an entry that starts reads it.
        client = store_module.StoreClient(
            harness.session, harness.store.address, 2.0
        )
        snapshot = await client.list("servers")
        return {stored.name for stored in snapshot.objects}

    names = play(test)
    assert names == {"desk-1", "desk-2", "left", "right", "note-1"}


@pytest.mark.parametrize("kind", UNREADABLE)
def test_unreadable_entry_is_invalid_by_itself(kind):
    good = msgspec.json.encode(sample_objects.make_server())
    body = b"".join(
        (
            b'{"entries":[{"metadata":{"name":"a","revision":3},"spec":',
            UNREADABLE[kind],
            b'},{"metadata":{"name":"\\udcff"},"spec":1},{"spec":',
            good,
            b',"metadata":{"name":"b","revision":4}}],',
            b'"more":true,"store_revision":9}',
        )
    )
    listing = wire.decode_listing(body)
    assert (listing.store_revision, listing.more) == (9, True)
    first, second = map(wire.convert_object, listing.entries)
    assert (first.name, second.name) == ("a", "b")
    assert second.value == good
    with pytest.raises(exceptions.InvalidObjectError):
        wire.decode_upstream(first)


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"entries": 3}', b'{"entries":[],"more":false}']
)
def test_answer_that_is_no_listing_raises(body):
    with pytest.raises(exceptions.InvalidObjectError):
        wire.decode_listing(body)
    with pytest.raises(exceptions.InvalidObjectError):
        wire.decode_watch_answer(body)
