import asyncio
import dataclasses

import logbook
import pytest

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import evidence
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.utils.tests import virtual_time

FIRST = fleets.make_instance(
    "first", "a", "fast", (0, 40), address="10.0.0.1:80"
)
LAST = fleets.make_instance(
    "last", "a", "fast", (40, 80), address="10.0.0.2:80"
)
SPARE_FIRST = fleets.make_instance(
    "spare-first", "b", "fast", (0, 40), address="10.0.0.3:80"
)
SPARE_LAST = fleets.make_instance(
    "spare-last", "b", "fast", (40, 80), address="10.0.0.4:80"
)
THIRD_FIRST = fleets.make_instance(
    "third-first", "b", "fast", (0, 40), address="10.0.0.5:80"
)
ALL_EVENTS = b"".join(fakes.make_event(n) for n in range(1, 11))


def serve(prepare, *instances, **changes):
    """Serves one stream; returns the response writer and the harness."""

    async def run():
        harness = fakes.Harness(*instances)
        prepare(harness)
        request = fakes.make_stream_request(**changes)
        return await harness.serve(request), harness

    return virtual_time.run(run())


def get_path(sent) -> list[str]:
    return [segment.upstream.instance_id for segment in sent[1].segments]


def test_stream_is_relayed_completely():
    def prepare(harness):
        harness.script(FIRST.address, fakes.stream(1, 11))

    writer, harness = serve(prepare, FIRST, LAST)
    assert writer.body == ALL_EVENTS
    assert writer.is_finished
    assert get_path(harness.pool.sent[0]) == ["first", "last"]
    assert harness.load_table.get(FIRST.key) == loads.IDLE


def test_lost_stream_resumes_after_its_last_complete_event():
    def prepare(harness):
        broken = [*fakes.stream(1, 5), b"id: 5\nda", fakes.ConnectionLost]
        harness.script(FIRST.address, broken, fakes.stream(5, 11))

    writer, harness = serve(prepare, FIRST, LAST)
    assert writer.body == ALL_EVENTS
    assert writer.is_finished
    assert harness.pool.sent[1][3] == "4"


def test_stream_that_ends_inside_an_event_is_resumed():
    def prepare(harness):
        harness.script(
            FIRST.address,
            [*fakes.stream(1, 5), b"id: 5\nda"],
            fakes.stream(5, 11),
        )

    writer, _ = serve(prepare, FIRST, LAST)
    assert writer.body == ALL_EVENTS


@pytest.mark.parametrize("cut", [b"", b"id: 1", b"id: 1\ndata: token\n"])
def test_stream_cut_before_its_first_event_is_not_complete(cut):
    # A stream without a length ends with its connection, which an instance that
    # crashes closes as well.
    def prepare(harness):
        head = fakes.Head(ends_with_connection=True)
        harness.script(FIRST.address, [head, cut], fakes.stream(1, 11))

    writer, harness = serve(prepare, FIRST, LAST)
    assert writer.body == ALL_EVENTS
    assert writer.is_finished
    assert len(harness.pool.sent) == 2


def test_stream_without_length_that_is_not_resumable_is_not_sent_twice():
    def prepare(harness):
        harness.script(
            FIRST.address, [fakes.Head(ends_with_connection=True), b""]
        )

    writer, harness = serve(prepare, FIRST, LAST, is_resumable=False)
    assert not writer.is_finished
    assert not writer.refusal.is_not_run
    assert len(harness.pool.sent) == 1


def test_stream_without_length_is_complete_at_the_end_of_its_connection():
    def prepare(harness):
        script = fakes.stream(1, 11)
        script[0] = fakes.Head(ends_with_connection=True)
        harness.script(FIRST.address, script)

    writer, harness = serve(prepare, FIRST, LAST)
    assert writer.body == ALL_EVENTS
    assert writer.is_finished


def test_resumed_stream_of_which_nothing_was_left_is_complete():
    def prepare(harness):
        harness.script(
            FIRST.address,
            [*fakes.stream(1, 11), fakes.ConnectionLost],
            [fakes.Head(ends_with_connection=True), b""],
        )

    writer, harness = serve(prepare, FIRST, LAST)
    assert writer.body == ALL_EVENTS
    assert writer.is_finished


# Half of an event shows that there is one more: an instance that crashed before
# it had sent it ended the stream as complete.
@pytest.mark.parametrize("half", [b"id: 11\nda", b"id: 11\ndata: token\n"])
@pytest.mark.parametrize("end", [[], [fakes.ConnectionLost]])
def test_resumed_stream_of_which_an_event_was_left_is_not_complete(half, end):
    def prepare(harness):
        harness.script(
            FIRST.address,
            [*fakes.stream(1, 11), half, *end],
            [fakes.Head(ends_with_connection=True), b""],
            [fakes.Head(), fakes.make_event(11)],
        )

    writer, harness = serve(prepare, FIRST, LAST)
    assert writer.body == ALL_EVENTS + fakes.make_event(11)
    assert writer.is_finished
    assert len(harness.pool.sent) == 3


def test_lost_stream_that_is_not_resumable_is_aborted_and_not_resent():
    def prepare(harness):
        harness.script(
            FIRST.address, [*fakes.stream(1, 5), fakes.ConnectionLost]
        )

    writer, harness = serve(prepare, FIRST, LAST, is_resumable=False)
    assert writer.is_aborted
    assert not writer.is_finished
    assert len(harness.pool.sent) == 1


def test_lost_request_that_is_not_resumable_may_have_run():
    def prepare(harness):
        harness.script(FIRST.address, [fakes.ConnectionLost])

    writer, harness = serve(prepare, FIRST, LAST, is_resumable=False)
    assert len(harness.pool.sent) == 1
    assert not writer.refusal.is_not_run


def test_silent_instance_is_replaced_without_resending_the_request():
    def prepare(harness):
        script = [*fakes.stream(1, 5), fakes.Wait(1.0), fakes.make_event(5)]
        for number in range(6, 11):
            script.append(fakes.make_event(number))
        harness.script(FIRST.address, script)
        harness.control.silent.add(LAST.address)

    writer, harness = serve(prepare, FIRST, LAST, SPARE_LAST)
    ((request_id, segments),) = harness.control.path_changes
    assert request_id == "r1"
    assert [s.upstream.instance_id for s in segments] == ["first", "spare-last"]
    assert writer.body == ALL_EVENTS
    assert len(harness.pool.sent) == 1


def test_instance_reported_as_stalled_is_replaced():
    def prepare(harness):
        script = [*fakes.stream(1, 5), fakes.Wait(1.0), fakes.make_event(5)]
        harness.script(FIRST.address, script)
        harness.control.stalled[FIRST.address] = (("r1", LAST.address),)

    _, harness = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert len(harness.control.path_changes) == 1
    assert [u for u, _ in harness.directory.get_shared_failures()] == [LAST]
    assert LAST.address in harness.pool.reported


def test_request_is_resent_if_the_path_change_is_refused():
    def prepare(harness):
        harness.control.accepts_paths = False
        harness.control.silent.add(LAST.address)
        harness.script(
            FIRST.address,
            [*fakes.stream(1, 5), fakes.Wait(30.0)],
            fakes.stream(5, 11),
        )

    writer, harness = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert writer.body == ALL_EVENTS
    assert get_path(harness.pool.sent[1]) == ["first", "spare-last"]


def test_silent_first_instance_is_replaced_by_resending_the_request():
    def prepare(harness):
        harness.control.silent.add(FIRST.address)
        harness.script(FIRST.address, [*fakes.stream(1, 5), fakes.Wait(30.0)])
        harness.script(SPARE_FIRST.address, fakes.stream(5, 11))

    writer, harness = serve(prepare, FIRST, LAST, SPARE_FIRST)
    assert writer.body == ALL_EVENTS
    assert harness.sent_addresses == [FIRST.address, SPARE_FIRST.address]


def test_instance_that_refuses_its_segment_is_excluded():
    def prepare(harness):
        harness.script(
            FIRST.address,
            [
                fakes.Head(421, is_not_run=True, at_fault=LAST.address),
            ],
            fakes.stream(1, 11),
        )

    writer, harness = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert writer.body == ALL_EVENTS
    assert get_path(harness.pool.sent[1]) == ["first", "spare-last"]
    assert not harness.pool.reported


def test_dead_instance_named_in_a_refusal_is_probed_and_avoided():
    def prepare(harness):
        harness.script(
            FIRST.address,
            [fakes.Head(503, is_not_run=True, at_fault=LAST.address)],
            fakes.stream(1, 11, gap_s=0.05),
        )
        harness.control.silent.add(LAST.address)

    _, harness = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert harness.directory.is_avoided(LAST)
    # The links of this entry are not the reason that it does not answer.
    assert harness.pool.reported == [LAST.address]
    # It may only be silent.
    assert not harness.directory.get_shared_failures()


# Each of 195 entries found dead instances by requests of its own.
def test_instance_that_refuses_another_and_this_entry_is_reported_to_others():
    def prepare(harness):
        harness.script(
            FIRST.address,
            [fakes.Head(503, is_not_run=True, at_fault=LAST.address)],
            fakes.stream(1, 11, gap_s=0.05),
        )
        harness.control.refusing.add(LAST.address)

    _, harness = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert [u for u, _ in harness.directory.get_shared_failures()] == [LAST]


def test_refusal_by_the_new_owner_of_an_address_excludes_the_old_one():
    def prepare(harness):
        successor = fleets.make_instance(
            "successor", "a", "fast", None, address=LAST.address
        )
        harness.directory.put(successor)
        harness.script(
            FIRST.address,
            [fakes.Head(421, is_not_run=True, at_fault=LAST.address)],
            fakes.stream(1, 11),
        )

    writer, harness = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert writer.body == ALL_EVENTS
    assert get_path(harness.pool.sent[-1]) == ["first", "spare-last"]


def test_request_that_crashes_its_instances_is_refused():
    # Each instance that receives the request crashes and no longer answers.
    others = [
        fleets.make_instance(
            f"other-{n}", "a", "fast", (0, 80), address=f"10.0.1.{n}:80"
        )
        for n in range(8)
    ]

    async def run():
        harness = fakes.Harness(*others)
        for instance in others:
            harness.script(
                instance.address, [fakes.Wait(0.05), fakes.ConnectionLost]
            )
            harness.control.silent.add(instance.address)
        for _ in range(4):
            request = fakes.make_stream_request(body=b"poison")
            writer = await harness.serve(request)
            await asyncio.sleep(10.0)
        return writer, harness

    writer, harness = virtual_time.run(run())
    assert len(harness.sent_addresses) <= 3
    assert writer.refusal.reason is messages.RefusalReason.CRASHES_UPSTREAMS
    assert writer.refusal.is_not_run


def test_stream_that_progressed_before_a_crash_is_resumed():
    def prepare(harness):
        harness.script(
            FIRST.address, [*fakes.stream(1, 5), fakes.ConnectionLost]
        )
        harness.script(SPARE_FIRST.address, fakes.stream(5, 11))
        harness.control.silent.add(FIRST.address)

    writer, _ = serve(prepare, FIRST, LAST, SPARE_FIRST)
    assert writer.body == ALL_EVENTS


def test_request_without_path_is_refused_with_retry_after():
    writer, harness = serve(lambda harness: None, FIRST)
    assert writer.refusal.is_not_run
    assert writer.refusal.reason is messages.RefusalReason.OVERLOADED
    assert writer.refusal.retry_after_s > 0
    assert harness.pool.sent == []


# Guards against a refusal that does not tell why free instances are not used:
# paths stay in a failure domain that holds all layers, also if it is full.
def test_refusal_without_path_names_the_complete_failure_domains():
    other = fleets.make_instance(
        "other", "b", "fast", (0, 40), address="10.1.0.1:80"
    )

    def prepare(harness):
        for instance in (FIRST, LAST):
            harness.load_table.set_report(
                instance.instance_id,
                [(instance.key, fakes.loads.Load(context=1e12))],
            )

    writer, _ = serve(prepare, FIRST, LAST, other)
    assert "1 of 2 failure domains complete (a)" in writer.refusal.detail


def test_request_is_sent_to_at_most_max_attempts_instances():
    others = [
        fleets.make_instance(
            f"other-{n}", "b", "fast", (0, 40), address=f"10.0.1.{n}:80"
        )
        for n in range(4)
    ]

    def prepare(harness):
        for instance in (FIRST, *others):
            harness.script(instance.address, [fakes.Head(500), b"bad"])

    _, harness = serve(prepare, FIRST, LAST, *others)
    assert len(set(harness.sent_addresses)) == 2


def test_failed_stream_is_aborted_and_not_finished():
    def prepare(harness):
        harness.script(
            FIRST.address, [*fakes.stream(1, 5), fakes.ConnectionLost]
        )

    writer, _ = serve(prepare, FIRST, LAST, last_event_id="")
    assert writer.is_aborted
    assert not writer.is_finished


@pytest.mark.parametrize("last_event_id", ["", "3"])
def test_last_event_id_of_the_caller_is_forwarded(last_event_id):
    def prepare(harness):
        harness.script(FIRST.address, fakes.stream(4, 11))

    _, harness = serve(prepare, FIRST, LAST, last_event_id=last_event_id)
    assert harness.pool.sent[0][3] == last_event_id


THIRD = fleets.make_instance(
    "third", "a", "fast", (60, 80), address="10.0.0.5:80"
)
MIDDLE = fleets.make_instance(
    "middle", "a", "fast", (40, 60), address="10.0.0.6:80"
)


def delay_path_changes(harness, delay_s: float) -> None:
    change_path = harness.control.change_path

    async def change_path_delayed(*arguments):
        await asyncio.sleep(delay_s)
        return await change_path(*arguments)

    harness.control.change_path = change_path_delayed


@pytest.mark.parametrize("end_s", [0.05, 0.15, 0.3])
def test_two_suspects_at_once_leave_no_capacity_reserved(end_s):
    async def run():
        harness = fakes.Harness(FIRST, MIDDLE, THIRD, SPARE_LAST)
        delay_path_changes(harness, 0.1)
        gap_s = 0.02
        harness.script(
            FIRST.address,
            [
                *fakes.stream(1, 3, gap_s),
                fakes.Wait(end_s),
                fakes.make_event(3),
            ],
        )
        task = asyncio.create_task(harness.serve(fakes.make_stream_request()))
        await asyncio.sleep(2.5 * gap_s)
        used = [
            segment.upstream for segment in harness.pool.sent[0][1].segments
        ]
        for upstream in used[1:]:
            harness.forwarding.record_failure(upstream, "test")
        await task
        await asyncio.sleep(1.0)
        return harness, used

    harness, used = virtual_time.run(run())
    assert len(used) > 1
    for instance in (FIRST, MIDDLE, THIRD, SPARE_LAST):
        assert harness.load_table.get(instance.key) == loads.IDLE


def test_suspect_found_during_a_path_change_is_replaced_too():
    async def run():
        harness = fakes.Harness(FIRST, LAST, SPARE_LAST, MIDDLE, THIRD)
        delay_path_changes(harness, 0.1)
        harness.script(
            FIRST.address,
            [*fakes.stream(1, 3), fakes.Wait(2.0), fakes.make_event(3)],
        )
        task = asyncio.create_task(harness.serve(fakes.make_stream_request()))
        await asyncio.sleep(0.05)
        tried = {
            segment.upstream.key
            for segment in harness.pool.sent[0][1].segments[1:]
        }
        failed = [
            u
            for u in (LAST, MIDDLE, THIRD, SPARE_LAST)
            if u.key in tried or u in (LAST, SPARE_LAST)
        ]
        for upstream in failed:
            harness.forwarding.record_failure(upstream, "test")
            await asyncio.sleep(0.02)
        await task
        return harness, failed

    harness, failed = virtual_time.run(run())
    _, segments = harness.control.path_changes[-1]
    used = {segment.upstream.instance_id for segment in segments}
    assert not used & {upstream.instance_id for upstream in failed}


def test_refusal_does_not_undo_an_earlier_attempt_at_the_same_instance():
    third_first = fleets.make_instance(
        "third-first", "c", "fast", (0, 40), address="10.0.0.7:80"
    )

    def prepare(harness):
        harness.script(
            FIRST.address,
            [*fakes.stream(1, 3), fakes.ConnectionLost],
            fakes.answer(status=503, is_not_run=True),
            fakes.stream(4, 11),
        )
        for instance in (SPARE_FIRST, third_first):
            harness.script(
                instance.address,
                [*fakes.stream(3, 4), fakes.ConnectionLost],
                fakes.Unreachable,
            )

    writer, harness = serve(prepare, FIRST, LAST, SPARE_FIRST, third_first)
    assert writer.body == ALL_EVENTS
    assert len(set(harness.sent_addresses)) == 2


def test_probe_interval_grows_while_busy_upstreams_keep_answering():
    """Probes of busy upstreams back off while many streams wait for them."""

    async def run():
        harness = fakes.Harness(FIRST, LAST)
        harness.script(
            FIRST.address, [fakes.Head(), fakes.Wait(8.0), fakes.make_event(1)]
        )
        await asyncio.gather(
            *(
                harness.serve(fakes.make_stream_request(request_id=f"r{n}"))
                for n in range(40)
            )
        )
        return harness

    harness = virtual_time.run(run())
    probe_times_s = [at_s for address, at_s in harness.control.probes]
    # Two upstreams, each probed once per maximum interval after some probes at
    # shorter intervals.
    assert len(probe_times_s) <= 2 * (8.0 / evidence.MAX_PROBE_INTERVAL_S + 3)
    assert not harness.directory.get_shared_failures()


def test_upstream_that_dies_after_many_probes_is_replaced_in_time():
    async def run():
        harness = fakes.Harness(FIRST, LAST, SPARE_FIRST)
        harness.script(
            FIRST.address, [fakes.Head(), fakes.Wait(30.0), fakes.make_event(1)]
        )
        harness.script(SPARE_FIRST.address, fakes.stream(1, 11))
        task = asyncio.create_task(harness.serve(fakes.make_stream_request()))
        await asyncio.sleep(5.0)
        harness.control.silent.add(FIRST.address)
        start_s = asyncio.get_running_loop().time()
        writer = await task
        return writer, asyncio.get_running_loop().time() - start_s

    writer, duration_s = virtual_time.run(run())
    assert writer.body == ALL_EVENTS
    assert duration_s < 2.2


def test_stream_without_events_is_refused_at_the_route_timeout_with_its_path():
    def prepare(harness):
        harness.script(FIRST.address, [fakes.Wait(60.0)])

    writer, _ = serve(prepare, FIRST, LAST)
    assert writer.refusal.reason is messages.RefusalReason.TIMEOUT
    assert "first=0-40,last=40-80" in writer.refusal.detail


def serve_logged(prepare, *instances, **changes):
    """Serves one stream; returns the logged lines and the harness."""
    with logbook.TestHandler() as handler:
        _, harness = serve(prepare, *instances, **changes)
    return [record.message for record in handler.records], harness


def find_lines(lines: list[str], event: str) -> list[str]:
    return [line for line in lines if line.startswith(f"event={event} ")]


# Guards against an answer cut by the entry whose line does not tell why.
def test_cut_answer_is_logged_with_configuration_silence_and_repeatability():
    def prepare(harness):
        script = [*fakes.stream(1, 5), fakes.Wait(0.1), fakes.ConnectionLost]
        harness.script(FIRST.address, script)

    lines, harness = serve_logged(
        prepare, FIRST, LAST, is_resumable=False, catalog_version=3
    )
    (line,) = find_lines(lines, "stream_aborted")
    for pair in (
        "request_id=r1",
        "reason=upstream_failed",
        "why=reset",
        "version=3",
        "current_version=1",
        "silent_s=0.1",
        "limit_s=20.0",
        "sends=1",
        "may_repeat=False",
    ):
        assert f" {pair} " in f"{line} "
    assert " took_s=0.1" in line
    counter = harness.forwarding.metrics.incomplete_answers
    assert counter.labels("upstream_failed")._value.get() == 1


# Guards against an attempt ended by the entry that looks lost by its upstream.
def test_attempt_ended_by_the_entry_is_told_from_one_that_the_upstream_lost():
    def lose(harness):
        harness.script(
            FIRST.address,
            [*fakes.stream(1, 5), fakes.ConnectionLost],
            fakes.stream(5, 11),
        )

    lines, _ = serve_logged(lose, FIRST, LAST)
    assert len(find_lines(lines, "attempt_lost")) == 1
    assert not find_lines(lines, "attempt_disconnected")

    def silence(harness):
        script = [*fakes.stream(1, 5), fakes.Wait(5.0)]
        harness.script(FIRST.address, script)
        harness.script(SPARE_FIRST.address, fakes.stream(5, 11))
        harness.control.silent.add(FIRST.address)

    lines, _ = serve_logged(silence, FIRST, LAST, SPARE_FIRST, SPARE_LAST)
    (line,) = find_lines(lines, "attempt_disconnected")
    assert "request_id=r1" in line
    assert "instance=first" in line
    assert "suspects=first" in line
    assert "was_open=True" in line
    assert "silent_s=" in line
    assert len(find_lines(lines, "attempt_lost")) == 1


# Guards against a connect that fails without a line of its request.
def test_attempt_whose_connection_cannot_be_opened_is_logged():
    def prepare(harness):
        harness.script(FIRST.address, fakes.Unreachable)
        harness.script(SPARE_FIRST.address, fakes.stream(1, 11))

    lines, _ = serve_logged(prepare, FIRST, LAST, SPARE_FIRST)
    (line,) = find_lines(lines, "attempt_not_run")
    assert "at_fault=first" in line
    assert "refused" in line
    (avoided,) = find_lines(lines, "upstream_avoided")
    assert "refused" in avoided


def serve_with_one_retry(prepare, *instances, **changes):
    """Serves one stream while the budget has a single retry."""

    async def run():
        harness = fakes.Harness(*instances, budget_extra=0.0)
        harness.forwarding.set_retry_budget(5.0, 0.0)
        prepare(harness)
        request = fakes.make_stream_request(**changes)
        return await harness.serve(request), harness

    return virtual_time.run(run())


def test_retry_is_kept_if_the_request_was_not_sent():
    # A retry was taken for each connection that could not be opened, so that
    # streams were cut for lack of retries that no upstream had seen.
    def prepare(harness):
        harness.script(
            FIRST.address, [*fakes.stream(1, 5), fakes.ConnectionLost]
        )
        harness.script(SPARE_FIRST.address, fakes.Unreachable)
        harness.script(THIRD_FIRST.address, fakes.stream(5, 11))
        harness.control.silent.add(FIRST.address)

    writer, harness = serve_with_one_retry(
        prepare, FIRST, LAST, SPARE_FIRST, THIRD_FIRST
    )
    assert writer.body == ALL_EVENTS
    assert writer.is_finished


def test_stream_waits_for_a_silent_instance_if_no_retry_is_left():
    # The connection was ended before it was known that the request could not
    # be sent again, and the answer was cut.
    def prepare(harness):
        harness.forwarding.set_retry_budget(0.0, 0.0)
        script = fakes.stream(1, 11)
        script.insert(5, fakes.Wait(1.5))
        harness.script(FIRST.address, script)
        harness.script(SPARE_FIRST.address, fakes.stream(1, 11))
        harness.control.silent.add(FIRST.address)

    writer, harness = serve(prepare, FIRST, LAST, SPARE_FIRST)
    assert writer.body == ALL_EVENTS
    assert writer.is_finished
    assert len(harness.pool.sent) == 1


def test_stream_that_may_run_once_ends_if_its_instance_was_replaced():
    # Its answer cannot come any more, so that waiting for it is in vain.
    async def run():
        harness = fakes.Harness(FIRST, LAST)
        script = fakes.stream(1, 11)
        script.insert(5, fakes.Wait(60.0))
        harness.script(FIRST.address, script)
        harness.control.silent.add(FIRST.address)
        request = fakes.make_stream_request(is_resumable=False)
        task = asyncio.create_task(harness.serve(request))
        await asyncio.sleep(2.0)
        assert not task.done()
        reborn = dataclasses.replace(
            FIRST, instance_id="reborn", incarnation=FIRST.incarnation + 1
        )
        harness.directory.put(reborn)
        await asyncio.sleep(1.0)
        return task.done(), await task

    is_ended, writer = virtual_time.run(run())
    assert is_ended
    assert writer.is_aborted


def test_request_without_an_event_changes_its_path_at_a_sound_instance():
    # It was sent again although its first instance answered.
    def prepare(harness):
        harness.script(
            FIRST.address,
            [fakes.Head(), fakes.Wait(0.8), *fakes.stream(1, 11)[1:]],
        )
        harness.control.silent.add(LAST.address)

    writer, harness = serve(prepare, FIRST, LAST, SPARE_LAST)
    assert writer.body == ALL_EVENTS
    assert len(harness.pool.sent) == 1
    assert len(harness.control.path_changes) == 1


class _SlowWriter(fakes.FakeResponseWriter):
    """A caller that takes each part of an answer only after a time."""

    def __init__(self, pause_s: float, slow_data: bytes):
        super().__init__()
        self._pause_s = pause_s
        self._slow_data = slow_data

    async def write(self, data: bytes) -> None:
        await super().write(data)
        if data == self._slow_data:
            await asyncio.sleep(self._pause_s)

    async def finish(self) -> None:
        await asyncio.sleep(self._pause_s)
        await super().finish()

    async def answer(self, head, body: bytes) -> None:
        await super().answer(head, body)
        await asyncio.sleep(self._pause_s)


def serve_slow_caller(script, slow_data=b"", **changes):
    """Serves one stream; returns its writer, the harness and the lines."""
    writer = _SlowWriter(30.0, slow_data)

    async def run():
        harness = fakes.Harness(FIRST, LAST)
        harness.script(FIRST.address, script)
        request = fakes.make_stream_request(**changes)
        task = asyncio.create_task(harness.forwarding.serve(request, writer))
        await asyncio.sleep(10.0)
        load = harness.load_table.get(FIRST.key)
        await task
        return load

    with logbook.TestHandler() as handler:
        load = virtual_time.run(run())
    return writer, load, [record.message for record in handler.records]


# Guards against whole answers that are cut off, or followed by another one, as
# their callers read slowly. Their instances are free meanwhile.
@pytest.mark.parametrize(
    ("script", "slow_data"),
    [
        ([fakes.Head(500), b"failed"], b""),
        (fakes.stream(1, 5), b""),
        (fakes.stream(1, 5), fakes.make_event(4)),
    ],
)
def test_whole_answer_is_sent_past_the_time_limit(script, slow_data):
    writer, load, lines = serve_slow_caller(
        script, slow_data, is_resumable=False
    )
    assert writer.is_finished
    assert not writer.is_aborted
    assert writer.refusal is None
    assert not find_lines(lines, "stream_aborted")
    assert load == loads.IDLE


# Guards against a stream whose caller stops reading and that has no limit.
def test_stream_at_its_time_limit_while_a_write_waits_is_cut_off_once():
    writer, _, lines = serve_slow_caller(
        fakes.stream(1, 11), fakes.make_event(4)
    )
    assert writer.is_aborted
    assert not writer.is_finished
    assert writer.refusal is None
    (line,) = find_lines(lines, "stream_aborted")
    assert "reason=timeout" in line
