"""Tests of upstreams that announce in their answers that they are leaving."""

import asyncio

import pytest

from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness

GENERATION = {wire_names.TOKEN_COUNTS: "800,60", wire_names.LENGTH_HINT: "60"}
LEAVING = {wire_names.SERVER_LEAVING: "1"}


def run(test):
    async def main():
        async with entry_harness.EntryHarness() as harness:
            return await test(harness)

    return asyncio.run(main())


# Guards against new work at an upstream whose leaving the list does not show.
@pytest.mark.parametrize("status", [200, 404, 500])
def test_plain_service_that_announces_its_leaving_gets_no_more_requests(status):
    async def test(harness):
        leaving, other = (
            harness.upstreams["desk-1"],
            harness.upstreams["desk-2"],
        )
        leaving.extra_headers, leaving.status = LEAVING, status
        while not leaving.runs:
            await harness.fetch("/book/x", "POST", data=b"x")
        other.runs.clear()
        for _ in range(12):
            found, _, _ = await harness.fetch("/read/x")
            assert found == 200
        assert len(leaving.runs) == 1
        assert len(other.runs) == 12

    run(test)


# Guards against streams over an instance whose leaving the list does not show.
def test_stream_is_refused_at_once_if_its_only_first_instance_is_leaving():
    async def test(harness):
        first = harness.upstreams["left"]
        first.extra_headers = LEAVING
        status, _, body = await harness.fetch(
            "/draft/x", "POST", data=b"p", headers=GENERATION
        )
        assert status == 200
        assert body.count(b"\n\n") == 5
        status, _, _ = await harness.fetch(
            "/draft/x", "POST", data=b"p", headers=GENERATION
        )
        assert status == 503
        assert len(first.runs) == 1

    run(test)


# Guards against a list that takes an announcement back, and against one that
# is passed on to the next instance of the same id.
def test_announcement_holds_for_one_start_of_an_instance():
    async def test(harness):
        leaving = harness.upstreams["desk-1"]
        leaving.extra_headers = LEAVING
        directory = harness.entry.kernel.get("directory")
        while not leaving.runs:
            await harness.fetch("/read/x")
        await harness.store.put(
            "servers", "desk-1", leaving.make_entry(slots=7)
        )
        await harness.wait(lambda: directory.get("desk-1").slots == 7)
        assert directory.get("desk-1").is_leaving
        leaving.born += 1000
        await harness.store.put("servers", "desk-1", leaving.make_entry())
        await harness.wait(lambda: not directory.get("desk-1").is_leaving)

    run(test)
