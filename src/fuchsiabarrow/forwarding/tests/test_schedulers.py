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


def test_urgent_request_starts_where_a_less_urgent_one_waits():
    # Less urgent requests would fill the memory before urgent ones.
    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2))
        harness.script(ONLY.address, fakes.stream(1, 11))
        set_used(harness, LEFT_FOR_URGENT)
        waiting = start(harness, 2, objective_s=1.5)
        await asyncio.sleep(0.01)
        assert not waiting.done()
        assert harness.pool.sent == []
        urgent = await start(harness, 0)
        return urgent, await waiting, harness

    urgent, waiting, harness = virtual_time.run(run())
    assert urgent.is_finished
    assert waiting.refusal.is_not_run
    assert len(harness.pool.sent) == 1
    assert count(harness, 0, "start") == 1
    # Decisions are counted by the order of the ranks.
    assert count(harness, 1, "wait_refuse") == 1


def test_urgent_request_starts_where_a_less_urgent_one_is_refused():
    def prepare(harness):
        set_used(harness, LEFT_FOR_URGENT)

    writer, harness, _ = serve_one(2, prepare, ONLY)
    assert writer.refusal.reason is messages.RefusalReason.OVERLOADED
    assert harness.pool.sent == []
    writer, _, _ = serve_one(0, prepare, ONLY)
    assert writer.is_finished


# An instance assumes a priority for requests without one. Stating it where
# ranks are not mixed would change the order there.
@pytest.mark.parametrize(
    ("ranks", "rank", "priority"),
    [((0, 2), 2, 1), ((0, 12), 12, 1), ((2, 2), 2, None)],
)
def test_priority_is_stated_only_where_ranks_are_mixed(ranks, rank, priority):
    _, harness, _ = serve_one(rank, lambda _: None, ONLY, ranks=ranks)
    target = harness.pool.sent[0][1]
    assert target.wire_priority == priority


# The cheapest path is that with most free memory, whose gaps may be too long.
@pytest.mark.parametrize(
    ("fast_slowdown", "first"),
    [
        (1.0, FAST),
        # Neither keeps the gaps: a late answer is better than none.
        (30.0, ONLY),
    ],
)
def test_path_that_keeps_the_gaps_is_preferred(fast_slowdown, first):
    def prepare(harness):
        # Almost full, so that it costs more than the empty slow one.
        set_used(harness, 27_050.0, FAST)

    async def run(ranks):
        harness = fakes.Harness(ONLY, FAST, ranks=ranks)
        for instance in (ONLY, FAST):
            harness.script(instance.address, fakes.stream(1, 11))
        prepare(harness)
        harness.directory.set_slowdown(ONLY, 5.0)
        harness.directory.set_slowdown(FAST, fast_slowdown)
        assert (await start(harness, 0)).is_finished
        return harness.sent_addresses

    assert virtual_time.run(run((0, 2))) == [first.address]
    # Without competition, the cheapest one is used as before.
    assert virtual_time.run(run((0,))) == [ONLY.address]


def test_memory_that_becomes_free_starts_the_request_that_waits():
    # It would wait for the next round, or be refused at its bound.
    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2))
        harness.script(ONLY.address, fakes.stream(1, 11))
        set_used(harness, 1500.0)
        running = start(harness, 0)
        await asyncio.sleep(0.005)
        waiting = start(harness, 0, objective_s=2.0)
        await running
        await asyncio.sleep(0.0)
        sent = len(harness.pool.sent)
        return sent, await waiting, harness

    with logbook.TestHandler() as handler:
        sent, writer, harness = virtual_time.run(run())
    assert sent == 2
    assert writer.is_finished
    assert any("outcome=wait_start" in r.message for r in handler.records)
    assert count(harness, 0, "wait_start") == 1


# The caller leaves before, while and after a path is reserved for its request,
# which happens in the round 0.02 s after it began to wait. The memory, the use
# of its organisation and its place would stay taken.
@pytest.mark.parametrize("after_s", [0.01, 0.02, 0.03])
@pytest.mark.parametrize("is_freed", [False, True])
def test_caller_that_leaves_while_it_waits_leaves_nothing(after_s, is_freed):
    table = shares.ShareTable("a", 0.0)

    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2), share_table=table)
        harness.script(ONLY.address, [fakes.Head(), fakes.Wait(10.0)])
        set_used(harness, ALL_USED)
        loop = asyncio.get_running_loop()
        task = start(harness, 0, objective_s=4.0)
        await asyncio.sleep(0)
        assert table.summarise(loop.time())
        loop.call_at(after_s, task.cancel)
        if is_freed:
            loop.call_at(0.015, harness.load_table.drop_report, "only")
        await asyncio.wait({task})
        assert task.cancelled()
        sent = len(harness.pool.sent)
        # The next one is not kept from the memory by one that has left.
        harness.load_table.drop_report("only")
        harness.script(ONLY.address, fakes.stream(1, 11))
        assert (await start(harness, 2)).is_finished
        return harness, sent, loop.time()

    harness, sent, now_s = virtual_time.run(run())
    assert sent == (is_freed and after_s > 0.02)
    assert harness.load_table.get_own() == {}
    assert table.summarise(now_s) == {}
    assert harness.forwarding.running == 0


def test_time_limit_ends_a_wait_without_a_trace():
    # The time limit of the route is shorter than the bound of the wait.
    table = shares.ShareTable("a", 0.0)

    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2), share_table=table)
        set_used(harness, ALL_USED)
        loop = asyncio.get_running_loop()
        writer = await start(
            harness, 0, objective_s=4.0, deadline_s=loop.time() + 0.05
        )
        return writer, harness, loop.time()

    writer, harness, now_s = virtual_time.run(run())
    assert writer.refusal.reason is messages.RefusalReason.TIMEOUT
    assert writer.refusal.is_not_run
    assert now_s == pytest.approx(0.05)
    assert harness.load_table.get_own() == {}
    assert table.summarise(now_s) == {}


@pytest.mark.parametrize("is_ended_first", [False, True])
def test_stop_ends_the_waits(is_ended_first):
    # A stopping entry would hold callers that another entry can serve.
    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2))
        set_used(harness, ALL_USED)
        async with harness.forwarding:
            task = start(harness, 0, objective_s=4.0)
            await asyncio.sleep(0.01)
            if is_ended_first:
                assert harness.forwarding.end_requests() == 1
        writer = await task
        return writer, asyncio.get_running_loop().time()

    writer, now_s = virtual_time.run(run())
    assert writer.refusal.is_not_run
    assert now_s < 0.02


# The request would wait until its time limit, or stay counted as waiting.
@pytest.mark.parametrize("is_estimate", [False, True])
def test_search_or_estimate_that_fails_leaves_nothing(monkeypatch, is_estimate):
    table = shares.ShareTable("a", 0.0)

    async def run():
        harness = fakes.Harness(ONLY, ranks=(0, 2), share_table=table)
        set_used(harness, ALL_USED)
        task = start(harness, 0, objective_s=4.0)
        await asyncio.sleep(0.01)

        def fail(*_):
            raise RuntimeError("search failed")

        if is_estimate:
            monkeypatch.setattr(harness.load_table, "get", fail)
        else:
            monkeypatch.setattr(harness.directory, "is_full", fail)
        await asyncio.wait({task})
        assert isinstance(task.exception(), RuntimeError)
        return harness, asyncio.get_running_loop().time()

    harness, now_s = virtual_time.run(run())
    assert table.summarise(now_s) == {}
    assert harness.load_table.get_own() == {}


def test_path_whose_connection_fails_is_released():
    # The capacity that was reserved in advance would stay reserved.
    table = shares.ShareTable("a", 0.0)

    def prepare(harness):
        harness.script(ONLY.address, fakes.Unreachable)

    writer, harness, now_s = serve_one(0, prepare, ONLY, share_table=table)
    assert writer.refusal.is_not_run
    assert now_s <= BEGIN_S + QUARTER_S
    assert harness.load_table.get_own() == {}
    assert {
        use.used
        for service in table.summarise(now_s).values()
        for use in service.organisations.values()
    } <= {0.0}


# The last retries would be used up by requests that can come later.
@pytest.mark.parametrize(("rank", "is_served"), [(0, True), (2, False)])
def test_less_urgent_requests_leave_a_part_of_the_retry_budget(rank, is_served):
    async def run():
        # The budget begins at 2 of at most 4 retries.
        harness = fakes.Harness(ONLY, ranks=(0, 2), budget_extra=9.4)
        harness.script(
            ONLY.address,
            [fakes.Head(), fakes.ConnectionLost],
            fakes.stream(1, 11),
        )
        return await start(harness, rank), harness

    writer, harness = virtual_time.run(run())
    assert writer.is_finished == is_served
    assert len(harness.pool.sent) == 1 + is_served
    if not is_served:
        assert "retry budget exhausted" in writer.refusal.detail


@pytest.mark.parametrize("used", [0.0, ALL_USED])
def test_equal_ranks_are_not_scheduled(used):
    # Services without competition are served as before.
    table = shares.ShareTable("a", 0.0)

    def prepare(harness):
        set_used(harness, used)

    with logbook.TestHandler() as handler:
        writer, harness, now_s = serve_one(
            1, prepare, ONLY, ranks=(1, 1), share_table=table
        )
    assert writer.is_finished == (not used)
    assert not any("event=scheduling" in r.message for r in handler.records)
    assert harness.metrics.scheduling.collect()[0].samples == []
    assert harness.metrics.first_event_by_rank_s.collect()[0].samples == []
    assert table.summarise(now_s) == {}
