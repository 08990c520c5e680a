"""Streams of competing ranks, on virtual time.

The instances of kind "slow" have usable memory for 2806 tokens of context, and
a request needs 1000.
"""

import asyncio

import logbook
import pytest

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.scheduling import shares
from fuchsiabarrow.utils.tests import virtual_time

LAYERS = fakes.MODEL.layers
ONLY = fleets.make_instance("only", "a", "slow", (0, 80), address="10.0.0.1:80")
OTHER = fleets.make_instance(
    "other", "a", "slow", (0, 80), address="10.0.0.2:80"
)
FAST = fleets.make_instance("fast", "a", "fast", (0, 80), address="10.0.0.3:80")
# Context in use beside which only a most urgent request fits.
LEFT_FOR_URGENT = 1806.0
ALL_USED = 2800.0
QUARTER_S = 0.125
SLACK_S = 1e-6
BEGIN_S = 5.0


def set_used(harness, tokens: float, instance=ONLY) -> None:
    """Lets another entry report context in use at an instance."""
    load = loads.Load(1, 0, tokens * LAYERS)
    harness.load_table.set_report(instance.instance_id, [(instance.key, load)])


def start(harness, rank: int, **changes) -> asyncio.Task:
    request = fakes.make_ranked_request(rank, **changes)
    return asyncio.create_task(harness.serve(request))


def count(harness, rank: int, outcome: str) -> float:
    labels = {"rank": str(rank), "outcome": outcome}
    return sum(
        sample.value
        for metric in harness.metrics.scheduling.collect()
        for sample in metric.samples
        if sample.name.endswith("_total") and sample.labels == labels
    )


def serve_one(rank: int, prepare, *instances, ranks=(0, 2), **options):
    """Serves one stream; returns its writer, the harness and the time."""

    async def run():
        harness = fakes.Harness(*instances, ranks=ranks, **options)
        for instance in instances:
            harness.script(instance.address, fakes.stream(1, 11))
        prepare(harness)
        # Until then, less urgent requests get no retry.
        await asyncio.sleep(BEGIN_S)
        writer = await start(harness, rank)
        return writer, harness, asyncio.get_running_loop().time()

    return virtual_time.run(run())


def test_less_urgent_request_leaves_the_memory_after_an_instance_refused_it():
    # The second search took the memory that was left for urgent requests.
    def prepare(harness):
        set_used(harness, LEFT_FOR_URGENT, OTHER)
        harness.script(
            ONLY.address, [fakes.Head(status=503, is_not_run=True), b""]
        )

    writer, harness, _ = serve_one(2, prepare, ONLY, OTHER)
    assert harness.sent_addresses == [ONLY.address]
    assert writer.refusal.reason is messages.RefusalReason.OVERLOADED
    assert writer.refusal.is_not_run


def test_urgent_request_goes_elsewhere_after_an_instance_refused_it():
    # The refused attempt would leave its share, or its memory, counted.
    table = shares.ShareTable("a", 0.0)

    def prepare(harness):
        set_used(harness, LEFT_FOR_URGENT, OTHER)
        harness.script(
            ONLY.address, [fakes.Head(status=503, is_not_run=True), b""]
        )

    writer, harness, now_s = serve_one(
        0, prepare, ONLY, OTHER, share_table=table
    )
    assert harness.sent_addresses == [ONLY.address, OTHER.address]
    assert writer.is_finished
    assert harness.load_table.get_own() == {}
    assert table.summarise(now_s) == {}


def test_refused_attempt_does_not_shorten_the_expected_holding_time():
    # The moment until an instance refuses a request counted as a holding time.
    # Waiting requests then expected memory far too early.
    def prepare(harness):
        harness.script(
            ONLY.address, [fakes.Head(status=503, is_not_run=True), b""]
        )

    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2))
        prepare(harness)
        for _ in range(50):
            await start(harness, 0)
            harness.directory.replace([])
            harness.directory.replace([ONLY])
        set_used(harness, ALL_USED)
        await asyncio.sleep(5.0)
        sent = len(harness.pool.sent)
        before_s = asyncio.get_running_loop().time()
        writer = await start(harness, 0)
        took_s = asyncio.get_running_loop().time() - before_s
        return writer, took_s, sent

    writer, took_s, sent = virtual_time.run(run())
    assert sent == 50
    # 0.36 s by the assumed holding time of 1 s: too long to wait for.
    assert writer.refusal.is_not_run
    assert took_s < SLACK_S


def test_request_without_a_retry_does_not_wait_for_a_path():
    # It waited for a path on which it could not be sent.
    def prepare(harness):
        set_used(harness, LEFT_FOR_URGENT, OTHER)
        harness.forwarding.set_retry_budget(0.0, 0.0)
        harness.script(
            ONLY.address, [fakes.Head(status=503, is_not_run=True), b""]
        )

    writer, _, now_s = serve_one(2, prepare, ONLY, OTHER)
    assert writer.refusal.is_not_run
    assert now_s < BEGIN_S + SLACK_S


def test_expected_time_to_the_first_event_does_not_contain_the_wait():
    # Waits raised the expected time, which leaves less of the objective: the
    # more requests had waited, the fewer were allowed to.
    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2))
        harness.script(ONLY.address, fakes.stream(1, 11))
        loop = asyncio.get_running_loop()
        for _ in range(40):
            set_used(harness, ALL_USED)
            loop.call_later(0.35, harness.load_table.drop_report, "only")
            await start(harness, 0, objective_s=1.5)
        waited = count(harness, 0, "wait_start")
        # With the waits, the first event was expected after 0.33 s: too late.
        set_used(harness, ALL_USED)
        loop.call_later(0.09, harness.load_table.drop_report, "only")
        return waited, await start(harness, 0, objective_s=0.4)

    waited, writer = virtual_time.run(run())
    assert waited == 40
    assert writer.is_finished


def test_refusal_comes_in_time_with_a_delay_from_the_estimate():
    # The delay was at least that of an entry that knows no estimate, up to
    # 0.9 s, and not the one after which the scheduler expected the caller.
    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2))
        set_used(harness, ALL_USED)
        loop = asyncio.get_running_loop()
        with logbook.TestHandler() as handler:
            for _ in range(8):
                await asyncio.sleep(BEGIN_S)
                begin_s = loop.time()
                writer = await start(harness, 0)
                assert loop.time() <= begin_s + QUARTER_S
                assert writer.refusal.is_not_run
                # 994 tokens are missing, and 2800 are held for 1 s.
                assert 0.355 <= writer.refusal.retry_after_s <= 0.355 * 1.5
        assert (
            sum("event=scheduling" in r.message for r in handler.records) == 8
        )
        assert count(harness, 0, "refuse") == 8

    virtual_time.run(run())


def test_what_other_entries_refused_does_not_forbid_to_wait():
    # Other entries report what they refused within 2 s as wanted. It counted as
    # if it waited there, so that nothing waited while others refused requests.
    table = shares.ShareTable("a", 0.0)

    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2), share_table=table)
        harness.script(ONLY.address, fakes.stream(1, 11))
        loop = asyncio.get_running_loop()
        await asyncio.sleep(BEGIN_S)
        refusing = shares.ShareTable("b", 0.0)
        for _ in range(10):
            refusing.refuse(fleets.SERVICE, "o", 250.0, loop.time())
        table.set_report("b", refusing.summarise(loop.time()), loop.time())
        set_used(harness, ALL_USED)
        loop.call_later(0.2, harness.load_table.drop_report, "only")
        return await start(harness, 0, objective_s=2.4)

    assert virtual_time.run(run()).is_finished


def test_estimate_counts_the_memory_that_a_less_urgent_request_must_leave():
    # With enough free memory for a most urgent request, a less urgent one
    # expected to start at once, waited in vain and was told to return too soon.
    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2))
        set_used(harness, LEFT_FOR_URGENT)
        writer = await start(harness, 2)
        return writer, asyncio.get_running_loop().time()

    writer, now_s = virtual_time.run(run())
    assert writer.refusal.is_not_run
    assert now_s < SLACK_S
