"""Tests the handling of the instance list, of regions and of probes."""

import asyncio
import random

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration.tests import fakes
from fuchsiabarrow.ports import instances
from fuchsiabarrow.routing import service
from fuchsiabarrow.utils.tests import virtual_time

SETTINGS = service.Settings()
ENGINES = [
    instances.Instance(
        f"e{n}", f"10.0.0.{n}:1", "engine", "m", 0, 4, region=f"r{n % 2}"
    )
    for n in range(6)
]


class Listing:
    """Fake instance list; `answers` is the result of all probes."""

    def __init__(self):
        self.found = list(ENGINES)
        self.answers = True
        self.probes = []

    async def read(self):
        if self.found is None:
            raise exceptions.StoreUnavailableError("instance list is down")
        return self.found


def run(check):
    async def main():
        listing = Listing()
        listing.answers = True

        async def probe(instance):
            listing.probes.append(instance.instance_id)
            await asyncio.sleep(0.05)
            return listing.answers

        routing = service.RoutingService(
            listing,
            fakes.FakePeers(),
            "entry-1",
            probe,
            SETTINGS,
            random.Random(1),
        )
        async with routing:
            await check(listing, routing)

    virtual_time.run(main())


def count_known(routing):
    return len(list(routing.health.get_states()))


@pytest.mark.parametrize("found", [[], ENGINES[:2], None])
def test_truncated_or_unreadable_list_does_not_remove_instances(found):
    async def check(listing, routing):
        listing.found = found
        await asyncio.sleep(5)
        assert count_known(routing) == 6
        assert routing.choose_chain("m", 4, [], frozenset())

    run(check)


def test_persistent_loss_of_most_instances_is_applied_after_the_hold():
    async def check(listing, routing):
        listing.found = ENGINES[:2]
        await asyncio.sleep(SETTINGS.implausible_hold_s + 5)
        assert count_known(routing) == 2

    run(check)


def test_loss_of_few_or_of_leaving_instances_is_applied_at_once():
    async def check(listing, routing):
        listing.found = ENGINES[2:]
        await asyncio.sleep(1)
        assert count_known(routing) == 4
        leaving = [instances.Instance("e5", "10.0.0.5:1", "engine", "m", 0, 4)]
        listing.found = [
            instances.Instance(
                e.instance_id, e.address, "engine", "m", 0, 4, leaving=True
            )
            for e in ENGINES[2:]
        ]
        await asyncio.sleep(1)
        listing.found = leaving
        await asyncio.sleep(1)
        assert count_known(routing) == 1

    run(check)


@pytest.mark.parametrize("region", ["r0", "r1"])
def test_chains_use_only_instances_of_the_given_regions(region):
    async def check(listing, routing):
        regions = {e.instance_id: e.region for e in ENGINES}
        for _ in range(50):
            (hop,) = routing.choose_chain("m", 4, [region], frozenset())
            assert regions[hop.instance_id] == region
        with pytest.raises(exceptions.ChainUnavailableError):
            routing.choose_chain("m", 4, ["elsewhere"], frozenset())

    run(check)


def test_failed_instance_gets_no_work_until_a_probe_succeeds():
    # Without the probes, streams would fail on the dead instance one after
    # another.
    async def check(listing, routing):
        listing.answers = False
        now_s = asyncio.get_running_loop().time()
        routing.health.record_failure("e0", now_s)
        for _ in range(60):
            await asyncio.sleep(0.5)
            for _ in range(5):
                (hop,) = routing.choose_chain("m", 4, [], frozenset())
                assert hop.instance_id != "e0"
        assert 3 <= len(listing.probes) <= 10
        listing.answers = True
        await asyncio.sleep(15)
        chosen = {
            routing.choose_chain("m", 4, [], frozenset())[0].instance_id
            for _ in range(100)
        }
        assert "e0" in chosen

    run(check)


def test_failed_instances_are_used_if_no_other_holds_the_layers():
    async def check(listing, routing):
        listing.answers = False
        for engine in ENGINES:
            now_s = asyncio.get_running_loop().time()
            routing.health.record_failure(engine.instance_id, now_s)
        assert routing.choose_chain("m", 4, [], frozenset())

    run(check)
