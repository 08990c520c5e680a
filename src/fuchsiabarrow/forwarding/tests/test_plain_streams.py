"""Streams of services without a language model."""

import asyncio

import pytest

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.utils.tests import virtual_time

# All instances are in the failure domain of the entry; the first ones are tried
# first, as the others have more load.
INSTANCES = [
    fleets.make_instance(
        f"desk-{n}",
        "a",
        "",
        service=fakes.PLAIN_SERVICE,
        address=f"10.0.0.{n}:80",
    )
    for n in range(3)
]
ADDRESSES = [instance.address for instance in INSTANCES]
EVENTS = 6
HALF = b"id: 3\ndata: to"
HEAD = fakes.Head(has_events=True)
# Its end can only be told by the end of the connection.
OPEN_HEAD = fakes.Head(has_events=True, ends_with_connection=True)


def make_events(first: int, end: int) -> list[bytes]:
    return [fakes.make_event(number) for number in range(first, end)]


WHOLE = b"".join(make_events(1, EVENTS + 1))
REST = [HEAD, *make_events(3, EVENTS + 1)]
CUT = [OPEN_HEAD, *make_events(1, 3), HALF]


def make_route(is_resumable: bool = True, **changes) -> documents.Route:
    return fakes.make_route(
        documents.RequestKind.STREAM,
        is_resumable=is_resumable,
        **{"timeout_s": 5.0, **changes},
    )


def serve(*scripts, route=None, **changes):
    """Serves one stream; the instances answer with a script each, in order."""

    async def run():
        harness = fakes.Harness(*INSTANCES[: len(scripts)])
        for number, script in enumerate(scripts):
            harness.script(ADDRESSES[number], script)
            harness.load_table.set_report(
                f"other-{number}",
                [(INSTANCES[number].key, loads.Load(number, number))],
            )
        request = fakes.make_request(route or make_route(), **changes)
        writer = fakes.FakeResponseWriter()
        summary = await harness.forwarding.serve(request, writer)
        return writer, harness, summary

    return virtual_time.run(run())


# Callers got the whole stream at its end: the first event came after all of the
# pauses between the events, over the objective for first events.
def test_events_are_passed_on_as_they_arrive():
    async def run():
        harness = fakes.Harness(INSTANCES[0])
        script = [HEAD]
        for event in make_events(1, EVENTS + 1):
            script += [fakes.Wait(0.1), event]
        harness.script(ADDRESSES[0], script)
        writer = fakes.FakeResponseWriter()
        request = fakes.make_request(make_route())
        serving = asyncio.create_task(harness.forwarding.serve(request, writer))
        counts = []
        for _ in range(EVENTS):
            await asyncio.sleep(0.1)
            await asyncio.sleep(0.01)
            counts.append(writer.body.count(b"\n\n"))
        return counts, writer, await serving

    counts, writer, summary = virtual_time.run(run())
    assert counts == sorted(counts)
    assert counts[0] == 1
    assert writer.is_finished
    assert writer.body == WHOLE
    assert summary.first_event_s == pytest.approx(0.1, abs=0.01)
    assert summary.longest_gap_s == pytest.approx(0.1, abs=0.01)


# The half of an event was passed on as the end of a complete answer.
@pytest.mark.parametrize(
    "cut", [CUT, [HEAD, *make_events(1, 3), HALF, fakes.ConnectionLost]]
)
def test_stream_cut_inside_an_event_is_resumed_after_the_last_whole_one(cut):
    writer, harness, summary = serve(cut, REST)
    assert (writer.is_finished, writer.is_aborted) == (True, False)
    assert writer.body == WHOLE
    assert [sent[-1] for sent in harness.pool.sent] == ["", "2"]
    assert harness.sent_addresses == ADDRESSES[:2]
    assert (summary.sends, summary.path) == (2, "desk-1")


def test_stream_that_the_caller_resumes_goes_on_after_the_callers_event():
    writer, harness, _ = serve([OPEN_HEAD, HALF], REST, last_event_id="2")
    assert writer.body == b"".join(make_events(3, EVENTS + 1))
    assert [sent[-1] for sent in harness.pool.sent] == ["2", "2"]


def test_stream_that_the_caller_resumes_at_its_end_is_complete():
    writer, _, _ = serve([OPEN_HEAD], last_event_id=str(EVENTS))
    assert writer.is_finished
    assert writer.body == b""


def test_cut_stream_that_may_run_once_does_not_look_complete():
    writer, harness, _ = serve(CUT, REST, route=make_route(is_resumable=False))
    assert (writer.is_finished, writer.is_aborted) == (False, True)
    assert writer.body == b"".join(make_events(1, 3))
    assert harness.sent_addresses == ADDRESSES[:1]


def test_stream_cut_inside_its_first_event_is_refused_as_it_may_have_run():
    writer, _, _ = serve(
        [OPEN_HEAD, HALF], REST, route=make_route(is_resumable=False)
    )
    assert writer.head is None
    assert not writer.refusal.is_not_run
    assert writer.refusal.reason is messages.RefusalReason.UPSTREAM_FAILED


def test_resumed_stream_of_which_nothing_was_left_is_complete():
    writer, _, _ = serve(
        [OPEN_HEAD, *make_events(1, EVENTS + 1), fakes.ConnectionLost],
        [OPEN_HEAD],
    )
    assert writer.is_finished
    assert writer.body == WHOLE


# An upstream that crashes closes its connections as well.
def test_end_of_the_connection_before_the_first_event_is_no_empty_stream():
    writer, harness, _ = serve([OPEN_HEAD], [HEAD, *make_events(1, 7)])
    assert writer.body == WHOLE
    assert harness.sent_addresses == ADDRESSES[:2]


@pytest.mark.parametrize(
    "other",
    [
        fakes.Unreachable,
        # An upstream that crashes closes its connections.
        [OPEN_HEAD],
        fakes.answer(b"failed", status=500),
        fakes.answer(b"no stream"),
        fakes.answer(status=503, is_not_run=True),
        [fakes.ConnectionLost],
        CUT[:1] + [HALF],
    ],
)
def test_begun_stream_that_no_other_upstream_resumes_is_aborted(other):
    writer, _, _ = serve(CUT, other)
    assert (writer.is_finished, writer.is_aborted) == (False, True)
    assert writer.body == b"".join(make_events(1, 3))


def test_begun_stream_is_sent_to_at_most_max_attempts_upstreams():
    second_cut = [OPEN_HEAD, *make_events(3, 4), b"id: 4\n"]
    rest = [HEAD, *make_events(4, EVENTS + 1)]
    for max_attempts in (2, 3):
        writer, harness, _ = serve(
            CUT, second_cut, rest, route=make_route(max_attempts=max_attempts)
        )
        assert harness.sent_addresses == ADDRESSES[:max_attempts]
        assert writer.is_aborted == (max_attempts == 2)
        assert writer.is_finished == (max_attempts == 3)
        assert writer.body == b"".join(
            make_events(1, 4 if max_attempts == 2 else EVENTS + 1)
        )


# The next attempt would begin before events that the caller has.
def test_stream_is_not_resumed_after_an_event_without_an_id():
    cut = [OPEN_HEAD, *make_events(1, 3), b"data: token\n\n", HALF]
    writer, harness, _ = serve(cut, REST)
    assert writer.is_aborted
    assert harness.sent_addresses == ADDRESSES[:1]


def test_begun_stream_is_aborted_at_the_time_limit_of_its_route():
    writer, _, _ = serve(
        [HEAD, *make_events(1, 3), fakes.Wait(30.0)],
        REST,
        route=make_route(timeout_s=1.0),
    )
    assert (writer.is_finished, writer.is_aborted) == (False, True)


def test_failure_before_a_stream_is_not_its_answer():
    writer, _, _ = serve(
        fakes.answer(b"failed", status=500), [HEAD, *make_events(1, 7)]
    )
    assert (writer.head.status, writer.body) == (200, WHOLE)
    assert writer.is_finished


@pytest.mark.parametrize("end", [b"\n", b"\r\n", b"\n\n"])
def test_blank_lines_after_the_last_event_are_passed_on(end):
    writer, _, _ = serve([HEAD, *make_events(1, 6), fakes.make_event(6) + end])
    assert writer.is_finished
    assert writer.body == WHOLE + end


# Answers without events may still be tried elsewhere until they are complete.
def test_answer_of_another_type_is_passed_on_as_a_whole():
    writer, _, _ = serve(
        [fakes.Head(), b"half", fakes.ConnectionLost], fakes.answer(b"whole")
    )
    assert writer.body == b"whole"


def test_retries_of_streams_are_bounded_by_the_budget():
    async def run():
        harness = fakes.Harness(*INSTANCES[:2], budget_extra=0.0)
        harness.forwarding.set_retry_budget(0.0, 0.0)
        harness.script(ADDRESSES[0], CUT)
        harness.script(ADDRESSES[1], CUT)
        return await harness.serve(fakes.make_request(make_route())), harness

    writer, harness = virtual_time.run(run())
    assert writer.is_aborted
    assert len(harness.sent_addresses) == 1


def test_upstream_that_lost_a_begun_stream_and_is_unreachable_is_avoided():
    async def run():
        harness = fakes.Harness(*INSTANCES[:2])
        for address in ADDRESSES[:2]:
            harness.script(address, CUT, fakes.Unreachable)
        writer = await harness.serve(
            fakes.make_request(make_route(is_resumable=False))
        )
        crashes = harness.forwarding.crash_counts.get_own(10)
        return writer, crashes, harness.directory.count_avoided()

    writer, crashes, avoided = virtual_time.run(run())
    assert writer.is_aborted
    assert (crashes, avoided) == ([], 1)
