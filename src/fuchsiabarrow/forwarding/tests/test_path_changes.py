"""Orders that change the path of a running stream."""

import asyncio
import dataclasses

from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.forwarding.tests import path_instances
from fuchsiabarrow.utils.tests import virtual_time


def test_prefill_stays_reserved_if_the_path_changes_before_the_first_event():
    async def run():
        harness = fakes.Harness(
            path_instances.FIRST, path_instances.LAST, path_instances.SPARE_LAST
        )
        harness.script(
            path_instances.FIRST.address,
            [fakes.Head(), fakes.Wait(0.8), *fakes.stream(1, 11)[1:]],
        )
        task = path_instances.start(harness)
        await asyncio.sleep(0.1)
        used = harness.pool.sent[0][1].segments[1].upstream
        harness.control.silent.add(used.address)
        await asyncio.sleep(0.6)
        assert len(harness.control.path_changes) == 1
        prefill = harness.load_table.get(path_instances.FIRST.key).prefill
        await task
        return prefill

    assert virtual_time.run(run()) > 0


def test_path_change_that_was_refused_for_an_instance_is_tried_without_it():
    # The instance that was not there was named, and ordered again and again.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [*fakes.stream(1, 5), fakes.Wait(3.0)]
        script += fakes.stream(5, 11)[1:]
        harness.script(path_instances.FIRST.address, script)
        tried = []

        async def change_path(upstream, request_id, segments, timeout_s):
            later = segments[1].upstream
            tried.append(later.instance_id)
            return fakes.pipelines.PathChangeOutcome(
                later is path_instances.THIRD_LAST,
                "" if later is path_instances.THIRD_LAST else later.address,
                "status 409",
            )

        harness.control.change_path = change_path
        task = path_instances.start(harness, is_resumable=False)
        await asyncio.sleep(0.1)
        faster = dataclasses.replace(path_instances.SPARE_LAST)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                faster,
                path_instances.THIRD_LAST,
            ]
        )
        # The third instance is busier, and so not the first choice.
        busy = fakes.loads.Load(20, 20, 1e5, 1e5)
        harness.load_table.set_report(
            "other", [(path_instances.THIRD_LAST.key, busy)]
        )
        harness.control.silent.add(path_instances.LAST.address)
        await task
        return tried

    tried = virtual_time.run(run())
    assert "third-last" in tried, tried


def test_path_that_was_changed_without_an_answer_is_followed():
    # The order was carried out, but its answer was lost. When the new instance
    # stalled, the stream was not known to pass through it.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [*fakes.stream(1, 5), fakes.Wait(1.0), fakes.make_event(5)]
        script += [fakes.Wait(6.0), *fakes.stream(6, 11)[1:]]
        harness.script(path_instances.FIRST.address, script)
        orders = []

        async def change_path(upstream, request_id, segments, timeout_s):
            orders.append([s.upstream.instance_id for s in segments])
            await asyncio.sleep(timeout_s)
            return fakes.pipelines.PathChangeOutcome(False, "", "no answer")

        harness.control.change_path = change_path
        task = path_instances.start(harness, is_resumable=False)
        await asyncio.sleep(0.1)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_LAST,
            ]
        )
        harness.control.silent.add(path_instances.LAST.address)
        await asyncio.sleep(1.1)
        # The first event over the new path came; later the old instance is
        # well again, and the new one stalls.
        harness.control.silent.clear()
        await asyncio.sleep(2.5)
        before = len(orders)
        assert before
        harness.directory.put(path_instances.THIRD_LAST)
        harness.control.stalled[path_instances.FIRST.address] = (
            ("r1", path_instances.SPARE_LAST.address),
        )
        await asyncio.sleep(3.0)
        after = orders[before:]
        await task
        return after

    after = virtual_time.run(run())
    assert after
    assert after[-1] in (["first", "last"], ["first", "third-last"])


def test_stream_that_gets_events_keeps_its_path():
    # Another entry reported an instance as stalled; each event had passed
    # through it. The new one had to read the whole prompt.
    async def run():
        harness = fakes.Harness(
            path_instances.FIRST, path_instances.LAST, path_instances.SPARE_LAST
        )
        harness.script(path_instances.FIRST.address, fakes.stream(1, 11, 0.05))
        task = path_instances.start(harness)
        await asyncio.sleep(0.22)
        used = harness.pool.sent[0][1].segments[1].upstream
        harness.forwarding.record_failure(used, "reported by another")
        await task
        return harness.control.path_changes

    assert virtual_time.run(run()) == []


def test_instance_that_is_itself_silent_gets_no_orders():
    # It carries them out one after another when it goes on, and each of the
    # new instances reads the whole prompt.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [*fakes.stream(1, 5), fakes.Wait(3.0)]
        script += fakes.stream(5, 11)[1:]
        harness.script(path_instances.FIRST.address, script)
        orders = []

        async def change_path(upstream, request_id, segments, timeout_s):
            orders.append([s.upstream.instance_id for s in segments])
            await asyncio.sleep(timeout_s)
            return fakes.pipelines.PathChangeOutcome(False, "", "no answer")

        harness.control.change_path = change_path
        task = path_instances.start(harness, is_resumable=False)
        await asyncio.sleep(0.1)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_LAST,
                path_instances.THIRD_LAST,
            ]
        )
        harness.control.silent.update(
            [path_instances.FIRST.address, path_instances.LAST.address]
        )
        writer = await task
        return writer, orders

    writer, orders = virtual_time.run(run())
    assert writer.body == path_instances.ALL_EVENTS
    assert len(orders) <= 1, orders


# Guards against a stream that stays on a silent instance, as the memory that it
# keeps on the sound instances of its path is missing for the changed path.
def test_instance_of_both_paths_needs_no_room_for_the_request_twice():
    middle, spare = (
        fleets.make_instance(name, "a", "fast", (40, 60), address=address)
        for name, address in (
            ("middle", "10.0.0.7:80"),
            ("spare-middle", "10.0.0.8:80"),
        )
    )
    # Has room for 35,000 tokens.
    shared = fleets.make_instance(
        "shared", "a", "slow", (60, 80), address="10.0.0.9:80"
    )

    async def run():
        harness = fakes.Harness(path_instances.FIRST, middle, shared)
        script = [*fakes.stream(1, 5), fakes.Wait(1.0)]
        script += fakes.stream(5, 11)[1:]
        harness.script(path_instances.FIRST.address, script)
        generation = messages.GenerationParameters(20_000, 200)
        task = path_instances.start(
            harness, is_resumable=False, generation=generation
        )
        await asyncio.sleep(0.1)
        load = harness.load_table.get(shared.key)
        harness.directory.replace([path_instances.FIRST, middle, spare, shared])
        harness.control.silent.add(middle.address)
        await task
        changed = [
            [segment.upstream.instance_id for segment in segments]
            for _, segments in harness.control.path_changes
        ]
        return changed, load, harness.load_table.get_own()

    changed, load, left = virtual_time.run(run())
    assert changed == [["first", "spare-middle", "shared"]]
    assert load.context > 0
    assert left == {}


def change_after_failures(*pauses_s):
    """Serves a stream whose later instances fail one after another.

    Args:
        pauses_s: Times between the last event and each failure.

    Returns:
        The later instances that were ordered, with the time since the last
        event, and the prompt tokens that the last one of them has yet to read.
    """

    async def run():
        harness = fakes.Harness(
            path_instances.FIRST,
            path_instances.LAST,
            path_instances.SPARE_LAST,
            path_instances.THIRD_LAST,
        )
        script = [*fakes.stream(1, 5, 0.02), fakes.Wait(3.0)]
        harness.script(
            path_instances.FIRST.address, script + fakes.stream(5, 11)[1:]
        )
        loop, orders = asyncio.get_running_loop(), []

        async def change_path(upstream, request_id, segments, timeout_s):
            orders.append((segments[1].upstream, loop.time() - begun_s))
            return fakes.pipelines.PathChangeOutcome(True, "", "status 202")

        harness.control.change_path = change_path
        task = path_instances.start(harness)
        await asyncio.sleep(0.1)
        begun_s = loop.time()
        used = harness.pool.sent[0][1].segments[1].upstream
        for pause_s in pauses_s:
            await asyncio.sleep(begun_s + pause_s - loop.time())
            harness.forwarding.record_failure(used, "probe failed: refused")
            await asyncio.sleep(0.005)
            if orders:
                used = orders[-1][0]
        reading = harness.load_table.get(used.key).prefill
        kept = harness.load_table.get(path_instances.FIRST.key).prefill
        await task
        return orders, reading, kept

    return virtual_time.run(run())


def test_second_dead_instance_is_left_at_once():
    # A change of the path counted as an event: the next dead instance, found
    # a moment later, was kept until the next report of silence.
    orders, _, _ = change_after_failures(0.2, 0.24)
    assert [round(after_s, 2) for _, after_s in orders] == [0.2, 0.24]


def test_reading_after_a_change_of_the_path_counts_as_load():
    # Streams that move at the same time chose the same instances: what these
    # had to read was not counted.
    orders, reading, kept = change_after_failures(0.2)
    assert len(orders) == 1
    assert reading > 0
    assert kept == 0


def test_dead_instance_is_left_though_an_event_came_after_the_suspicion():
    # The last event had passed through the instance before it failed, and
    # cleared the suspicion: the stream waited for the report of its first
    # instance.
    async def run():
        harness = fakes.Harness(
            path_instances.FIRST, path_instances.LAST, path_instances.SPARE_LAST
        )
        script = [*fakes.stream(1, 8, 0.05), fakes.Wait(3.0)]
        harness.script(
            path_instances.FIRST.address, script + fakes.stream(8, 11)[1:]
        )
        loop, orders = asyncio.get_running_loop(), []

        async def change_path(upstream, request_id, segments, timeout_s):
            orders.append(loop.time())
            return fakes.pipelines.PathChangeOutcome(True, "", "status 202")

        harness.control.change_path = change_path
        begun_s = loop.time()
        task = path_instances.start(harness)
        await asyncio.sleep(0.3)
        used = harness.pool.sent[0][1].segments[1].upstream
        harness.forwarding.record_failure(used, "probe failed: refused")
        await task
        # The last event comes at 0.35 s.
        return [order_s - begun_s for order_s in orders]

    orders_s = virtual_time.run(run())
    assert orders_s and orders_s[0] <= 0.35 + 0.15
