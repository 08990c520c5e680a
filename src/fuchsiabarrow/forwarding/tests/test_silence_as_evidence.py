"""What silence proves about instances, requests and prompt parts."""

import asyncio
import dataclasses

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.forwarding.tests import path_instances
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.utils.tests import virtual_time


def test_stream_in_prefill_stays_if_its_instance_misdirected_another():
    # The instance answered 421 because it gave up layers of another request,
    # and answers probes.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [fakes.Head(), fakes.Wait(0.8), *fakes.stream(1, 11)[1:]]
        harness.script(path_instances.FIRST.address, script)
        task = path_instances.start(harness)
        await asyncio.sleep(0.1)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        harness.script(path_instances.SPARE_FIRST.address, fakes.stream(1, 11))
        harness.forwarding.evidence.record_misdirected(path_instances.FIRST)
        return await task, harness

    writer, harness = virtual_time.run(run())
    assert harness.sent_addresses == [path_instances.FIRST.address]
    assert writer.body == path_instances.ALL_EVENTS


def test_silent_stream_does_not_hold_the_test_of_a_part():
    # A request that may run once waits for a silent instance; others with the
    # part waited for its verdict until they were refused.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        harness.script(
            path_instances.FIRST.address, [fakes.Head(), fakes.Wait(60.0)]
        )
        path_instances.record_part_crash(harness, "p")
        await asyncio.sleep(5.0)
        testing = path_instances.start(
            harness, is_resumable=False, shared_parts=("p", "own1")
        )
        await asyncio.sleep(0.2)
        assert harness.sent_addresses == [path_instances.FIRST.address]
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        harness.script(path_instances.SPARE_FIRST.address, fakes.stream(1, 11))
        harness.control.silent.add(path_instances.FIRST.address)
        other = path_instances.start(
            harness,
            is_resumable=False,
            shared_parts=("p", "own2"),
        )
        writer = await other
        testing.cancel()
        await asyncio.wait({testing})
        return writer

    writer = virtual_time.run(run())
    assert writer.refusal is None, writer.refusal
    assert writer.body == path_instances.ALL_EVENTS


def test_lost_answer_beside_a_silent_later_instance_is_no_crash():
    # An instance resets one connection, as it has too many, while another one
    # of the path is silent.
    async def run():
        harness = fakes.Harness(
            path_instances.FIRST, path_instances.LAST, path_instances.SPARE_LAST
        )
        reset = [fakes.Wait(0.05), fakes.ConnectionLost]
        harness.script(
            path_instances.FIRST.address, reset, fakes.stream(1, 11, 0.5)
        )
        task = path_instances.start(harness)
        await asyncio.sleep(0.01)
        used = harness.pool.sent[0][1].segments[1].upstream
        harness.control.silent.add(used.address)
        await asyncio.sleep(0.5)
        counts = harness.forwarding.crash_counts.get_own(10)
        await task
        return counts

    assert virtual_time.run(run()) == []


def test_request_whose_instances_stop_without_a_word_is_refused_at_last():
    # An instance that was replaced by a new start of itself has crashed.
    others = [
        fleets.make_instance(
            f"other-{n}", "a", "fast", (0, 80), address=f"10.0.1.{n}:80"
        )
        for n in range(8)
    ]

    async def run():
        harness = fakes.Harness(*others)
        for instance in others:
            harness.script(instance.address, [fakes.Wait(60.0)])
        for _ in range(6):
            sent = len(harness.pool.sent)
            task = path_instances.start(
                harness, body=b"poison", is_resumable=False
            )
            await asyncio.sleep(0.1)
            for address, target, *_ in harness.pool.sent[sent:]:
                harness.control.silent.add(address)
                old = target.segments[0].upstream
                reborn = dataclasses.replace(
                    old, incarnation=old.incarnation + 1
                )
                await asyncio.sleep(2.0)
                harness.directory.put(reborn)
                harness.control.silent.clear()
            await task
        return task.result(), harness

    writer, harness = virtual_time.run(run())
    assert len(harness.sent_addresses) <= 3
    assert writer.refusal.reason is messages.RefusalReason.CRASHES_UPSTREAMS


def test_instance_that_goes_on_is_used_again_at_once():
    # The first event after a silence proved that all instances of the path go
    # on, but requests were refused until they were not avoided any more.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [*fakes.stream(1, 5), fakes.Wait(path_instances.SILENCE_S)]
        script += fakes.stream(5, 11)[1:]
        harness.script(
            path_instances.FIRST.address, script, fakes.stream(1, 11)
        )
        waiting = path_instances.start(harness, is_resumable=False)
        await asyncio.sleep(0.1)
        harness.control.silent.add(path_instances.FIRST.address)
        await asyncio.sleep(0.5)
        harness.control.silent.clear()
        assert harness.directory.is_avoided(path_instances.FIRST)
        first = await waiting
        assert first.body == path_instances.ALL_EVENTS
        return await path_instances.start(harness)

    writer = virtual_time.run(run())
    assert writer.refusal is None, writer.refusal
    assert writer.body == path_instances.ALL_EVENTS


def test_crash_of_an_instance_that_was_silent_before_is_counted():
    # An instance that did not answer one probe counted as silent for good, also
    # when it refused connections later.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        harness.control.silent.add(path_instances.LAST.address)
        harness.forwarding.evidence.start_probe(path_instances.LAST, "slow")
        await asyncio.sleep(10.0)
        harness.control.silent.clear()
        harness.script(
            path_instances.FIRST.address,
            [fakes.Wait(0.05), fakes.ConnectionLost],
        )
        read_report = harness.control.read_report

        async def refuse_at_last(upstream, timeout_s):
            if upstream == path_instances.LAST:
                raise exceptions.UpstreamUnreachableError("refused")
            return await read_report(upstream, timeout_s)

        harness.control.read_report = refuse_at_last
        await path_instances.start(harness, is_resumable=False)
        return harness.forwarding.crash_counts.get_own(10)

    ((_, count),) = virtual_time.run(run())
    assert count == 1


@pytest.mark.parametrize(
    "suspect",
    [path_instances.FIRST, path_instances.LAST],
    ids=lambda suspect: suspect.instance_id,
)
@pytest.mark.parametrize("cause", ["misdirected", "stalled"])
def test_lost_answer_beside_an_instance_that_answers_probes_is_no_crash(
    suspect, cause
):
    # An instance that had answered another request with 421, or for which
    # another entry's request waited, counted as crashed.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        harness.script(
            path_instances.FIRST.address,
            [fakes.Wait(0.15), fakes.ConnectionLost],
        )
        task = path_instances.start(
            harness, is_resumable=False, shared_parts=("p",)
        )
        await asyncio.sleep(0.1)
        if cause == "misdirected":
            harness.forwarding.evidence.record_misdirected(suspect)
        else:
            harness.forwarding.record_failure(suspect, "reported by entry-2")
        await task
        parts = harness.forwarding.part_crashes
        verdict = parts.judge(
            crashing_parts.compute_hash(""), [crashing_parts.compute_hash("p")]
        ).verdict
        return harness.forwarding.crash_counts.get_own(10), verdict

    counts, verdict = virtual_time.run(run())
    assert counts == []
    assert verdict is crashing_parts.Verdict.CLEAR


@pytest.mark.parametrize("is_silent", [False, True])
def test_request_that_is_served_elsewhere_has_crashed_nothing(is_silent):
    # A request that was on an instance when that one crashed, and was then
    # served by another one, kept the count of a crash.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [fakes.Wait(60.0 if is_silent else 0.2), fakes.ConnectionLost]
        harness.script(path_instances.FIRST.address, script)
        harness.script(path_instances.SPARE_FIRST.address, fakes.stream(1, 11))
        task = path_instances.start(harness)
        await asyncio.sleep(0.1)
        harness.directory.replace(
            [
                path_instances.FIRST,
                path_instances.LAST,
                path_instances.SPARE_FIRST,
            ]
        )
        harness.control.silent.add(path_instances.FIRST.address)
        writer = await task
        assert writer.body == path_instances.ALL_EVENTS
        reborn = dataclasses.replace(path_instances.FIRST, incarnation=2)
        harness.directory.put(reborn)
        return harness.forwarding.crash_counts.get_own(10)

    assert virtual_time.run(run()) == []


def test_instance_that_was_stalled_is_used_again_when_it_goes_on():
    # Requests were refused until it was not avoided any more, as if the events
    # of a stream that had waited for it did not show that it went on.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        script = [*fakes.stream(1, 5), fakes.Wait(path_instances.SILENCE_S)]
        script += fakes.stream(5, 11)[1:]
        harness.script(
            path_instances.FIRST.address, script, fakes.stream(1, 11)
        )
        waiting = path_instances.start(harness, is_resumable=False)
        await asyncio.sleep(0.1)
        stalled = (("r1", path_instances.LAST.address),)
        harness.control.stalled[path_instances.FIRST.address] = stalled
        await asyncio.sleep(0.5)
        harness.control.stalled.clear()
        assert harness.directory.is_avoided(path_instances.LAST)
        first = await waiting
        assert first.body == path_instances.ALL_EVENTS
        return await path_instances.start(harness)

    writer = virtual_time.run(run())
    assert writer.refusal is None, writer.refusal
    assert writer.body == path_instances.ALL_EVENTS


def judge_stalled(act) -> bool:
    """Returns whether an instance is avoided after some evidence.

    Args:
        act: Records the evidence, with the `Evidence` of a forwarding service.
    """

    async def run():
        harness = fakes.Harness(
            path_instances.FIRST,
            path_instances.SPARE_FIRST,
            path_instances.LAST,
        )
        act(harness.forwarding.evidence)
        return harness.directory.is_avoided(path_instances.LAST)

    return virtual_time.run(run())


# The link of one of them may be cut.
def test_stalled_instance_stays_avoided_until_all_that_reported_it_go_on():
    last, first = path_instances.LAST, path_instances.FIRST
    other = path_instances.SPARE_FIRST

    def report(evidence):
        evidence.record_stall(last, first)
        evidence.record_stall(last, other)

    def go_on_at_one(evidence):
        report(evidence)
        evidence.record_life(last, first)

    def go_on_at_both(evidence):
        go_on_at_one(evidence)
        evidence.record_life(last, other)

    assert judge_stalled(report)
    assert judge_stalled(go_on_at_one)
    assert not judge_stalled(go_on_at_both)


def test_stalled_instance_with_other_evidence_stays_avoided():
    last, first = path_instances.LAST, path_instances.FIRST

    def fail_before(evidence):
        evidence.record_failure(last, "connect: refused")
        evidence.record_stall(last, first)
        evidence.record_life(last, first)

    def fail_afterwards(evidence):
        evidence.record_stall(last, first)
        evidence.record_failure(last, "connect: refused")
        evidence.record_life(last, first)

    assert judge_stalled(fail_before)
    assert judge_stalled(fail_afterwards)


def test_crash_of_a_later_instance_that_runs_again_is_counted():
    # The old one counted as silent, though a newer one ran in its place.
    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        harness.script(
            path_instances.FIRST.address,
            [fakes.Wait(0.2), fakes.ConnectionLost],
        )
        task = path_instances.start(harness, is_resumable=False)
        await asyncio.sleep(0.1)
        harness.control.silent.add(path_instances.LAST.address)
        harness.directory.put(
            dataclasses.replace(path_instances.LAST, incarnation=2)
        )
        await task
        return harness.forwarding.crash_counts.get_own(10)

    ((_, count),) = virtual_time.run(run())
    assert count == 1
