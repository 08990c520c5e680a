"""Shares are kept when streams are short, and refusals come early."""

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.limits import admission


def fill(found, organisation, count, weight=1.0):
    return [found.request(organisation, weight, 0.0) for _ in range(count)]


def test_one_organisation_may_take_all_streams_while_nobody_waits():
    found = admission.Admission(4, 8, 10.0)
    assert all(ticket.is_admitted for ticket in fill(found, "a", 4))


def test_freed_streams_go_to_waiting_organisations_by_weight():
    found = admission.Admission(12, 100, 1000.0)
    held = fill(found, "greedy", 12)
    waiting = fill(found, "greedy", 20)
    waiting += fill(found, "large", 20, weight=2.0)
    waiting += fill(found, "small", 20, weight=1.0)
    for ticket in held:
        found.release(ticket, 1.0)
    admitted = [t.organisation for t in waiting if t.is_admitted]
    assert len(admitted) == 12
    assert admitted.count("large") == 6
    assert admitted.count("small") == 3
    assert admitted.count("greedy") == 3


def test_full_queue_refuses_at_once_and_says_when_to_come_back():
    found = admission.Admission(1, 2, 100.0)
    fill(found, "a", 3)
    with pytest.raises(exceptions.OverloadedError) as caught:
        found.request("a", 1.0, 0.0)
    assert caught.value.retry_after_s > 0


def test_wait_longer_than_allowed_is_refused_before_it_begins():
    found = admission.Admission(1, 100, 2.5)
    ticket = found.request("a", 1.0, 0.0)
    for now_s in range(10, 400, 10):
        found.release(ticket, float(now_s))
        ticket = found.request("a", 1.0, float(now_s))
    with pytest.raises(exceptions.OverloadedError):
        found.request("a", 1.0, 400.0)


def test_queue_of_one_organisation_does_not_turn_another_away():
    found = admission.Admission(4, 100, 3.0)
    held = fill(found, "a", 4)
    with pytest.raises(exceptions.OverloadedError):
        fill(found, "a", 50)
    ticket = found.request("b", 1.0, 0.0)
    found.release(held[0], 0.5)
    assert ticket.is_admitted


def test_request_that_stopped_waiting_leaves_no_trace():
    found = admission.Admission(1, 10, 100.0)
    (held,) = fill(found, "a", 1)
    gone, waiting = fill(found, "b", 2)
    found.release(gone, 0.5)
    assert found.release(held, 1.0) == [waiting]
    assert found.release(waiting, 2.0) == []
    assert found.get_used() == 0
