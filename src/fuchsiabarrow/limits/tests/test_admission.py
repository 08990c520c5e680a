"""Tests of weighted sharing, bounded queues and early rejection."""

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.limits import admission


def request_many(control, organisation, count, weight=1.0):
    return [control.request(organisation, weight, 0.0) for _ in range(count)]


def test_one_organisation_may_use_all_streams_while_none_waits():
    control = admission.Admission(4, 8, 10.0)
    assert all(ticket.is_admitted for ticket in request_many(control, "a", 4))


def test_freed_streams_go_to_waiting_organisations_by_weight():
    control = admission.Admission(12, 100, 1000.0)
    held = request_many(control, "greedy", 12)
    waiting = request_many(control, "greedy", 20)
    waiting += request_many(control, "large", 20, weight=2.0)
    waiting += request_many(control, "small", 20, weight=1.0)
    for ticket in held:
        control.release(ticket, 1.0)
    admitted = [t.organisation for t in waiting if t.is_admitted]
    assert len(admitted) == 12
    assert admitted.count("large") == 6
    assert admitted.count("small") == 3
    assert admitted.count("greedy") == 3


def test_request_beyond_the_queue_limit_is_rejected_with_a_retry_delay():
    control = admission.Admission(1, 2, 100.0)
    request_many(control, "a", 3)
    with pytest.raises(exceptions.OverloadedError) as caught:
        control.request("a", 1.0, 0.0)
    assert caught.value.retry_after_s > 0


def test_request_with_a_too_long_expected_wait_is_rejected_immediately():
    control = admission.Admission(1, 100, 2.5)
    ticket = control.request("a", 1.0, 0.0)
    for now_s in range(10, 400, 10):
        control.release(ticket, float(now_s))
        ticket = control.request("a", 1.0, float(now_s))
    with pytest.raises(exceptions.OverloadedError):
        control.request("a", 1.0, 400.0)


def test_queue_of_one_organisation_does_not_block_another():
    control = admission.Admission(4, 100, 3.0)
    held = request_many(control, "a", 4)
    with pytest.raises(exceptions.OverloadedError):
        request_many(control, "a", 50)
    ticket = control.request("b", 1.0, 0.0)
    control.release(held[0], 0.5)
    assert ticket.is_admitted


def test_cancelled_waiting_request_is_removed_from_its_queue():
    control = admission.Admission(1, 10, 100.0)
    (held,) = request_many(control, "a", 1)
    cancelled, waiting = request_many(control, "b", 2)
    control.release(cancelled, 0.5)
    assert control.release(held, 1.0) == [waiting]
    assert control.release(waiting, 2.0) == []
    assert control.get_used() == 0
