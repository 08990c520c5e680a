import dataclasses
import math

import logbook
import pytest

from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import stream_progress
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.forwarding.tests import path_instances
from fuchsiabarrow.utils import loop_lags
from fuchsiabarrow.utils.tests import virtual_time


def record_gap(*records, slowdown=1.0, lag_s=-math.inf):
    """Records events at 1.0 s and 2.0 s, and other things between them."""
    meter = loop_lags.LoopLagMeter()
    progress = stream_progress.StreamProgress(0.5, meter)
    progress.record_move()
    progress.record_events(1.0, lambda: 1.0)
    for record in records:
        record(progress)
    meter.late_s = lag_s
    progress.record_events(2.0, lambda: slowdown)
    return progress


MOVE = stream_progress.StreamProgress.record_move
STALL = stream_progress.StreamProgress.record_stall


def write(progress):
    progress.record_written(1.7)


def write_briefly(progress):
    progress.record_written(1.2)


@pytest.mark.parametrize(
    ("records", "options", "cause"),
    [
        ((), {}, "engine"),
        ((STALL,), {}, "stalled"),
        ((STALL,), {"slowdown": 1.6}, "slow_path"),
        ((STALL,), {"slowdown": 1.5}, "stalled"),
        ((), {"slowdown": 1.6, "lag_s": 1.5}, "loop_lag"),
        ((), {"lag_s": 0.9}, "engine"),
        ((write,), {"lag_s": 1.5}, "slow_write"),
        ((write_briefly,), {}, "engine"),
        ((MOVE, write, STALL), {"lag_s": 1.5}, "moved"),
    ],
)
def test_gap_has_the_first_cause_that_applies(records, options, cause):
    """Guards against blaming engines for gaps that the entry explains."""
    progress = record_gap(*records, **options)
    assert progress.longest_gap_s == 1.0
    assert progress.gap_cause.value == cause


def test_cause_is_that_of_the_longest_gap():
    """Guards against a cause that is left over from another gap."""
    progress = record_gap(MOVE)
    progress.record_events(2.5, lambda: 9.0)
    assert progress.gap_cause is stream_progress.GapCause.MOVED
    progress.record_events(4.0, lambda: 9.0)
    assert progress.gap_cause is stream_progress.GapCause.SLOW_PATH
    assert (progress.first_event_s, progress.longest_gap_s) == (0.5, 1.5)


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, False),
        ({"first_event_s": 0.6}, True),
        ({"first_event_s": None}, False),
        ({"longest_gap_s": 0.26}, True),
    ],
)
def test_stream_is_late_by_its_events(changes, expected):
    """Guards against late streams that sampling leaves out of the log."""
    route = dataclasses.replace(
        fakes.make_route(), latency_objective_s=0.5, event_gap_objective_s=0.25
    )
    summary = dataclasses.replace(
        messages.StreamSummary("", "", 0, 1, 1000, 0.4, 0.2, "engine"),
        **changes,
    )
    assert stream_progress.is_late(route, 9.0, summary) is expected
    without = dataclasses.replace(
        route, latency_objective_s=0.0, event_gap_objective_s=None
    )
    assert not stream_progress.is_late(without, 9.0, summary)


def test_gap_over_a_move_is_measured_from_event_to_event():
    """Guards against a gap that begins anew with each attempt."""

    async def run():
        harness = fakes.Harness(path_instances.FIRST, path_instances.LAST)
        harness.script(
            path_instances.FIRST.address,
            [*fakes.stream(1, 5), fakes.Wait(0.1), fakes.ConnectionLost],
            [fakes.Wait(0.1), *fakes.stream(5, 11)],
        )
        return await harness.forwarding.serve(
            fakes.make_stream_request(), fakes.FakeResponseWriter()
        )

    with logbook.TestHandler():
        summary = virtual_time.run(run())
    assert summary.gap_cause == "moved"
    assert summary.longest_gap_s == pytest.approx(0.21, abs=0.005)
    assert (summary.kinds, summary.size_tokens) == ("fast,fast", 1000)
