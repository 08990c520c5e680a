"""Tests of the order in which requests wait."""

import pytest

from fuchsiabarrow.scheduling import waiting
from fuchsiabarrow.scheduling.tests import test_room


def add(queue, name, is_owed=False, **changes):
    ticket = test_room.make_ticket(request_id=name, **changes)
    entry = queue.make_entry(ticket, is_owed)
    queue.add(entry)
    return entry


def list_names(queue):
    return [entry.ticket.request_id for entry in queue.get_entries()]


def test_order():
    """Rank comes before returning, then excess over the share, then time."""
    queue = waiting.WaitingRoom()
    add(queue, "less urgent, returned", rank=1, elapsed_s=0.4)
    add(queue, "later", arrived_s=10.2)
    add(queue, "earlier", arrived_s=10.1)
    add(queue, "excess", share_excess=0.2, arrived_s=9.0)
    add(queue, "returned", elapsed_s=0.4, share_excess=0.9, arrived_s=11.0)
    assert list_names(queue) == [
        "returned",
        "earlier",
        "later",
        "excess",
        "less urgent, returned",
    ]


def test_only_one_is_moved_to_the_front():
    """Floors must not turn the order of ranks round."""
    queue = waiting.WaitingRoom()
    add(queue, "urgent")
    owed = add(queue, "owed", True, rank=2)
    add(queue, "owed too", True, rank=2)
    assert list_names(queue) == ["owed", "urgent", "owed too"]
    queue.remove(owed)
    add(queue, "owed later", True, rank=2)
    assert list_names(queue) == ["owed later", "urgent", "owed too"]


def test_ahead_tokens():
    """Estimates count those before the request, and those told to return."""
    queue = waiting.WaitingRoom()
    add(queue, "a", size_tokens=10.0)
    entry = add(queue, "b", size_tokens=20.0, rank=1)
    add(queue, "c", size_tokens=40.0, rank=2)
    assert queue.get_ahead_tokens(entry) == 10.0
    for rank, size, returns_s in ((0, 8, 12), (2, 8, 12), (0, 80, 12)):
        ticket = test_room.make_ticket(rank=rank, size_tokens=size)
        queue.record_told(ticket, returns_s)
    told = queue.get_told_tokens(entry.ticket, 10.0)
    assert told == pytest.approx(waiting.RETURN_WEIGHT * 8)
    assert queue.get_told_tokens(entry.ticket, 20.0) == 0.0


def test_small_requests_leave_memory_to_the_front():
    """Smaller ones must not take each bit that becomes free."""
    queue = waiting.WaitingRoom()
    front = add(queue, "front", size_tokens=100.0)
    small = add(queue, "small", size_tokens=10.0, arrived_s=10.1)
    assert queue.pick_next(50.0) is front
    assert queue.pick_next(120.0, (front,)) is None
    # It lacks no memory but an instance with enough of it.
    assert queue.pick_next(210.0, (front,)) is small


def test_queue_is_bounded():
    """The weakest leaves for a stronger one; a weaker one is not added."""
    queue = waiting.WaitingRoom()
    entries = [
        add(queue, str(i), rank=1, arrived_s=float(i))
        for i in range(waiting.MAX_WAITING)
    ]
    weaker = queue.make_entry(test_room.make_ticket(rank=2), False)
    assert not queue.has_place(weaker)
    stronger = queue.make_entry(test_room.make_ticket(rank=0), False)
    assert queue.has_place(stronger)
    assert queue.add(stronger) is entries[-1]
    assert len(queue) == waiting.MAX_WAITING


def test_expired_entries_leave():
    """A wait must end at its bound."""
    queue = waiting.WaitingRoom()
    entry = add(queue, "a")
    assert queue.get_next_end_s() == entry.until_s
    assert not queue.pop_expired(entry.until_s - 0.001)
    assert queue.pop_expired(entry.until_s) == [entry]
    assert not len(queue)
    assert not queue.remove(entry)


def test_starved_kinds_are_owed():
    """Ranks, organisations and large sizes must not be starved."""
    history = waiting.KindHistory()
    make = test_room.make_ticket
    rare = {
        "rank": make(rank=2, organisation="a", size_tokens=1.0),
        "organisation": make(organisation="small"),
        "size": make(size_tokens=900.0),
    }
    for i in range(200):
        ticket = make(organisation=f"o{i % 4}", size_tokens=float(i % 50))
        history.record_arrived(ticket, 1.0)
        history.record_started(ticket, 1.0)
        if i % 10 == 0:
            for ticket in rare.values():
                history.record_arrived(ticket, 1.0)
    for ticket in rare.values():
        assert history.is_owed(ticket, 1.0)
    usual = make(organisation="o1", size_tokens=3.0)
    assert not history.is_owed(usual, 1.0)
    # An organisation above its share has had what it is due.
    excess = make(organisation="small", size_tokens=3.0, share_excess=0.1)
    assert not history.is_owed(excess, 1.0)


def test_nothing_is_owed_while_all_are_served():
    """With sufficient capacity, decisions must be as before."""
    history = waiting.KindHistory()
    for i in range(500):
        ticket = test_room.make_ticket(
            rank=i % 3, organisation=f"o{i % 24}", size_tokens=i % 7
        )
        history.record_arrived(ticket, i / 50)
        history.record_started(ticket, i / 50)
        assert not history.is_owed(ticket, i / 50)


def test_counts_are_bounded():
    """Thousands of organisations must not fill the memory."""
    history = waiting.KindHistory()
    for i in range(9000):
        ticket = test_room.make_ticket(organisation=f"o{i}")
        history.record_arrived(ticket, 0.0)
    assert len(history._counts) <= waiting.MAX_KINDS
