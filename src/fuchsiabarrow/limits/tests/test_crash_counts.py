import itertools

import pytest

from fuchsiabarrow.limits import crash_counts

LIMIT = 48
POISON = crash_counts.compute_request_fingerprint(
    "org", "POST", "/x", b"poison"
)


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def exchange(sender, receiver, is_complete=False):
    """Sends what an entry reports regularly, or to one that has started."""
    crashes = (
        sender.get_all(LIMIT) if is_complete else sender.get_reported(LIMIT)
    )
    return receiver.merge_report(crashes, sender.get_progress(LIMIT))


def make_blocked(clock):
    counts = crash_counts.CrashCounts(clock)
    for _ in range(crash_counts.CRASH_LIMIT):
        counts.add(POISON)
    return counts


def test_request_is_blocked_after_its_third_crash():
    counts = crash_counts.CrashCounts(Clock())
    assert [counts.add(POISON) for _ in range(3)] == [1, 2, 3]
    assert counts.is_blocked(POISON)


def test_crashes_seen_by_other_entries_are_counted():
    first = crash_counts.CrashCounts(Clock())
    second = crash_counts.CrashCounts(Clock())
    first.add(POISON)
    first.add(POISON)
    exchange(first, second)
    exchange(first, second)
    assert second.count(POISON) == 2
    second.add(POISON)
    assert second.is_blocked(POISON)


# The entries that had counted no crash themselves reported none, so that one
# that had counted them and was restarted let the request crash three upstreams
# more.
def test_restarted_entry_learns_the_crashes_that_it_had_counted():
    clock = Clock()
    second = crash_counts.CrashCounts(clock)
    exchange(make_blocked(clock), second)
    restarted = crash_counts.CrashCounts(clock)
    exchange(second, restarted)
    assert restarted.is_blocked(POISON)


def test_count_outlives_restarts_of_all_entries_in_turn():
    clock = Clock()
    entries = [make_blocked(clock)]
    entries += [crash_counts.CrashCounts(clock) for _ in range(3)]
    for index in [0, 1, 2, 3, 0, 1, 2, 3]:
        for sender, receiver in itertools.permutations(entries, 2):
            exchange(sender, receiver)
        entries[index] = crash_counts.CrashCounts(clock)
    for entry in entries[:3]:
        exchange(entry, entries[3])
    assert entries[3].is_blocked(POISON)


def test_first_crash_is_known_to_an_entry_that_starts_after_the_first_report():
    clock = Clock()
    first, second, restarted = (
        crash_counts.CrashCounts(clock) for _ in range(3)
    )
    first.add(POISON)
    exchange(first, second)
    exchange(second, restarted)
    assert restarted.count(POISON) == 0
    exchange(second, restarted, is_complete=True)
    assert restarted.count(POISON) == 1


@pytest.mark.parametrize("order", list(itertools.permutations(range(3))))
def test_reports_can_be_merged_repeatedly_and_in_any_order(order):
    clock = Clock()
    seen = [crash_counts.CrashCounts(clock) for _ in range(3)]
    for entry in seen:
        entry.add(POISON)
    merged = crash_counts.CrashCounts(clock)
    for index in [*order, *order]:
        exchange(seen[index], merged)
    assert merged.count(POISON) == 3
    exchange(merged, seen[0])
    assert seen[0].count(POISON) == 3


def test_progress_clears_the_count_at_all_entries():
    # A request that ran on crashed upstreams by chance stayed suspected, and
    # others would report the crashes back to the entry that had cleared them.
    clock = Clock()
    first, second, third = (crash_counts.CrashCounts(clock) for _ in range(3))
    first.add(POISON)
    first.add(POISON)
    exchange(first, second)
    exchange(second, third)
    clock.now_s = 1.0
    first.clear(POISON)
    exchange(second, first)
    assert first.count(POISON) == 0
    exchange(first, second)
    exchange(third, second)
    assert second.count(POISON) == 0
    clock.now_s = 2.0
    second.add(POISON)
    exchange(second, first)
    assert first.count(POISON) == second.count(POISON) == 1


def test_request_without_crashes_has_no_progress_to_report():
    counts = crash_counts.CrashCounts(Clock())
    counts.clear(POISON)
    assert counts.get_progress(LIMIT) == {}


def test_blocked_request_stays_known_among_many_others():
    clock = Clock()
    counts = make_blocked(clock)
    clock.now_s = 1.0
    for number in range(2 * crash_counts.MAX_COUNTED):
        counts.add(number)
    assert counts.is_blocked(POISON)
    learned = crash_counts.CrashCounts(clock)
    exchange(counts, learned)
    assert learned.is_blocked(POISON)


def test_reports_name_the_requests_that_became_known_to_be_shared():
    clock = Clock()
    first, second = (crash_counts.CrashCounts(clock) for _ in range(2))
    first.add(POISON)
    assert exchange(first, second) == set()
    first.add(POISON)
    assert exchange(first, second) == {POISON}
    assert exchange(first, second) == set()


def test_learned_crashes_expire_with_those_that_were_seen():
    clock = Clock()
    first = make_blocked(clock)
    clock.now_s = crash_counts.EXPIRY_S - 1
    second = crash_counts.CrashCounts(clock)
    exchange(first, second)
    assert second.is_blocked(POISON)
    clock.now_s = crash_counts.EXPIRY_S + 1
    exchange(first, second)
    assert not second.is_blocked(POISON)
    assert second.get_all(LIMIT) == {}


def test_request_that_makes_progress_is_cleared():
    counts = crash_counts.CrashCounts(Clock())
    counts.add(POISON)
    counts.add(POISON)
    counts.clear(POISON)
    counts.add(POISON)
    assert not counts.is_blocked(POISON)


def test_reported_crashes_are_kept_when_the_reporting_entry_restarts():
    clock = Clock()
    second = crash_counts.CrashCounts(clock)
    exchange(make_blocked(clock), second)
    exchange(crash_counts.CrashCounts(clock), second)
    assert second.is_blocked(POISON)


def test_crashes_expire():
    clock = Clock()
    counts = crash_counts.CrashCounts(clock)
    for _ in range(3):
        counts.add(POISON)
    clock.now_s = crash_counts.EXPIRY_S + 1
    assert not counts.is_blocked(POISON)
    assert counts.get_own(8) == []


def test_number_of_counted_requests_is_bounded():
    counts = crash_counts.CrashCounts(Clock())
    for number in range(crash_counts.MAX_COUNTED + 50):
        counts.add(number)
    assert len(counts.get_own(10_000)) == crash_counts.MAX_COUNTED
    limit = crash_counts.MAX_COUNTED
    counts.merge_report(
        {(n, 1): 0.0 for n in range(-limit - 50, 0)},
        dict.fromkeys(range(10_000, 10_050 + limit), 0.0),
    )
    assert len(counts.get_all(100_000)) == limit
    assert len(counts.get_reported(LIMIT)) == LIMIT
    for number in range(limit):
        counts.clear(number)
    assert len(counts.get_progress(LIMIT)) <= LIMIT


def test_same_request_of_another_organisation_has_another_fingerprint():
    other = crash_counts.compute_request_fingerprint(
        "org-2", "POST", "/x", b"poison"
    )
    assert other != POISON
