"""Tests of the estimates and decisions on waiting."""

import math
import random

import pytest

from fuchsiabarrow.scheduling import room


def make_ticket(**changes) -> room.Ticket:
    fields = {
        "request_id": "r",
        "organisation": "o",
        "rank": 0,
        "position": 0.0,
        "size_tokens": 100.0,
        "arrived_s": 10.0,
        "objective_s": 0.5,
        "first_event_s": 0.1,
    }
    return room.Ticket(**(fields | changes))


def decide(ticket, now_s=10.0, path=False, is_next=True, place=True, wait_s=0):
    terms = room.WaitTerms(now_s, path, is_next, place, wait_s, 2.0)
    return room.decide(ticket, terms, random.Random(1))


@pytest.mark.parametrize(
    ("changes", "expected_s"),
    [
        ({}, 0.125),
        ({"first_event_s": 0.45}, 0.05),
        ({"elapsed_s": 0.35}, 0.05),
        ({"first_event_s": 0.7}, 0.0),
        ({"elapsed_s": 3.0}, 0.0),
    ],
)
def test_wait_ends_while_the_objective_can_be_met(changes, expected_s):
    """A request must not wait longer than lets it meet its objective."""
    end_s = room.compute_wait_end_s(make_ticket(**changes))
    assert end_s == pytest.approx(10.0 + expected_s)


def test_decisions():
    """Each condition for a start and a wait must be checked."""
    ticket = make_ticket()
    assert decide(ticket, path=True).outcome is room.Outcome.START
    waits = decide(ticket, wait_s=0.1)
    assert waits.outcome is room.Outcome.WAIT
    assert waits.until_s == pytest.approx(10.125)
    for refused in (
        decide(ticket, wait_s=0.2),
        decide(ticket, wait_s=math.inf),
        decide(ticket, place=False),
        decide(ticket, now_s=10.2),
        decide(make_ticket(elapsed_s=1.0)),
    ):
        assert refused.outcome is room.Outcome.REFUSE
        assert 2.0 <= refused.retry_after_s <= 3.0
        assert refused.reason


def test_a_path_does_not_help_behind_stronger_claims():
    """A request must not pass one with a stronger claim by luck."""
    outcome = decide(make_ticket(), path=True, is_next=False).outcome
    assert outcome is room.Outcome.WAIT


def test_estimate_by_littles_law():
    """The release rate is that of the context in use, not of requests."""
    estimator = room.RoomEstimator()
    for _ in range(500):
        estimator.record_released(100.0, 1.0)
        estimator.record_released(300.0, 3.0)
    # The mean is weighted by context: (100 + 900) / 400 = 2.5 s.
    assert estimator.get_release_rate(5000.0) == pytest.approx(2000, rel=0.05)
    wait_s = estimator.estimate_wait_s(300.0, 500.0, 400.0, 5000.0)
    assert wait_s == pytest.approx(0.2, rel=0.05)
    assert estimator.estimate_wait_s(300.0, 0.0, 400.0, 5000.0) == 0.0


def test_estimate_without_history():
    """A new process must neither refuse everything nor divide by zero."""
    estimator = room.RoomEstimator()
    assert 0 < estimator.estimate_wait_s(100.0, 0.0, 0.0, 1000.0) < 1
    assert estimator.estimate_wait_s(100.0, 0.0, 0.0, 0.0) == math.inf


def test_estimate_with_a_clock_that_stands_still():
    """Holding times of zero, or below, must give a finite estimate."""
    estimator = room.RoomEstimator()
    for _ in range(100_000):
        estimator.record_released(100.0, 0.0)
        estimator.record_released(100.0, -1.0)
    wait_s = estimator.estimate_wait_s(100.0, 0.0, 0.0, 1000.0)
    assert wait_s == pytest.approx(0.0, abs=0.01)
    assert estimator.estimate_wait_s(100.0, 0.0, 0.0, 0.0) == math.inf


@pytest.mark.parametrize("estimate_s", [0.0, 0.1, 1.0, 3.0, 60.0, math.inf])
@pytest.mark.parametrize("position", [0.0, 1.0])
def test_retry_after_is_bounded_and_spread(estimate_s, position):
    """Callers refused together must not return together, also at the limit."""
    source = random.Random(1)
    delays_s = [
        room.draw_retry_after_s(estimate_s, position, source)
        for _ in range(300)
    ]
    assert min(delays_s) >= 0.3
    assert max(delays_s) <= 5.0
    assert max(delays_s) > 1.4 * min(delays_s)
    if 0.3 <= estimate_s <= 1.0:
        assert min(delays_s) >= estimate_s * (1 + 0.5 * position)


def test_less_urgent_callers_return_later():
    """Rank must lengthen Retry-After; rank 0 or equal ranks change nothing."""
    delays_s = [
        room.draw_retry_after_s(1.0, position, random.Random(1))
        for position in (0.0, 0.5, 1.0)
    ]
    assert delays_s == sorted(delays_s)
    assert delays_s[2] == pytest.approx(1.5 * delays_s[0])


def test_gaps_keep_a_reserve():
    """A path just within the objective breaks it with the next prompt."""
    assert room.keeps_gaps(0.19, 0.25)
    assert not room.keeps_gaps(0.21, 0.25)
    assert not room.keeps_gaps(math.inf, 0.25)
    assert room.keeps_gaps(9.0, None)


def test_elapsed_time_of_callers_that_return():
    """The time since the first attempt follows from the longest limit."""
    limits = room.RouteLimits()
    assert room.estimate_elapsed_s(9.0, limits.record("a", 9.0, 0.0)) == 0.0
    longest_s = limits.record("a", 7.5, 30.0)
    assert room.estimate_elapsed_s(7.5, longest_s) == 1.5
    assert limits.record("b", 2.0, 30.0) == 2.0
    # A limit that was lowered must not make all callers look late for ever.
    assert limits.record("a", 4.0, 59.0) == 9.0
    assert limits.record("a", 4.0, 200.0) == 4.0
    limits.retain({"b"})
    assert limits.record("a", 1.0, 200.0) == 1.0


def test_repeating_at_once_is_not_returning():
    """A caller that ignores Retry-After must gain nothing by it."""
    assert not room.has_returned(make_ticket(elapsed_s=0.1))
    assert room.has_returned(make_ticket(elapsed_s=0.3))
