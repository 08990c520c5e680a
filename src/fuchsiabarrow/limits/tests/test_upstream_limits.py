import random

import pytest

from fuchsiabarrow.limits import upstream_limits

KEY = ("engine", 1)
OTHER = ("other", 1)


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


def make(clock, entries=1, seed=1):
    return upstream_limits.UpstreamLimits(
        clock, lambda: entries, random.Random(seed)
    )


def count_sends(limits, clock, for_s, step_s=0.05) -> int:
    """Sends whenever there is a permit."""
    count = 0
    for _ in range(round(for_s / step_s)):
        clock.now_s += step_s
        limits.record(KEY, limits._known[KEY].limit_per_s)
        if limits.has_permit(KEY):
            limits.take(KEY)
            count += 1
    return count


def test_upstream_without_limit_is_always_permitted(clock):
    limits = make(clock)
    limits.record(KEY, None)
    assert limits.has_permit(KEY)
    limits.take(KEY)
    assert limits.has_permit(KEY)
    assert limits.get_wait_s(KEY) == 0.0


@pytest.mark.parametrize("limit_per_s", [0.5, 2.0, 8.0])
@pytest.mark.parametrize("entries", [1, 9])
def test_entry_uses_its_share_of_a_limit(clock, limit_per_s, entries):
    limits = make(clock, entries)
    limits.record(KEY, limit_per_s)
    expected = limit_per_s * upstream_limits.USED_FRACTION / entries * 400
    assert count_sends(limits, clock, 400) == pytest.approx(
        expected, rel=0.1, abs=1
    )


@pytest.mark.parametrize(("entries", "limit_per_s"), [(9, 2.0), (76, 0.5)])
def test_unused_permits_of_many_entries_do_not_add_up(
    clock, entries, limit_per_s
):
    # After a pause in which nobody used an upstream all entries want it.
    fleet = [make(clock, entries, seed) for seed in range(entries)]
    for limits in fleet:
        limits.record(KEY, limit_per_s)
        limits.has_permit(KEY)
    for _ in range(150):
        clock.now_s += 0.1
        for limits in fleet:
            limits.record(KEY, limit_per_s)
            limits.has_permit(KEY)
    sent = sum(count_sends(limits, clock, 0.05) for limits in fleet)
    assert sent <= limit_per_s * 1.5 * 4 + 5


def test_limit_ends_with_an_answer_that_announces_none(clock):
    limits = make(clock)
    limits.record(KEY, 0.0)
    assert not limits.has_permit(KEY)
    assert limits.get_wait_s(KEY) == upstream_limits.MAX_WAIT_S
    clock.now_s += 1
    limits.record(KEY, None)
    assert limits.has_permit(KEY)


def test_limit_expires_when_nobody_is_told_it(clock):
    limits = make(clock)
    limits.record(KEY, 0.0)
    clock.now_s += upstream_limits.EXPIRY_S + 1
    assert limits.has_permit(KEY)
    assert limits.get_reported() == {}


def test_latest_announcement_to_any_entry_applies(clock):
    first, second = make(clock, 2), make(clock, 2)
    first.record(KEY, 0.0)
    second.merge_report(first.get_reported())
    assert not second.has_permit(KEY)
    clock.now_s += 1
    second.record(KEY, None)
    first.merge_report(second.get_reported())
    assert first.has_permit(KEY)
    # An older announcement that arrives late has no effect.
    first.merge_report({KEY: upstream_limits.Announcement(clock() - 0.5, 0.0)})
    assert first.has_permit(KEY)


def test_another_start_of_an_upstream_is_not_limited(clock):
    limits = make(clock)
    limits.record(KEY, 0.0)
    assert limits.has_permit(("engine", 2))


def test_shares_do_not_grow_at_once_when_entries_fall_silent(clock):
    entries = [9]
    limits = upstream_limits.UpstreamLimits(
        clock, lambda: entries[0], random.Random(1)
    )
    limits.record(KEY, 9.0)
    sent = count_sends(limits, clock, 4.0)
    entries[0] = 1
    assert count_sends(limits, clock, 4.0) <= sent + 1


def test_new_process_that_does_not_know_the_others_takes_a_small_share(clock):
    limits = upstream_limits.UpstreamLimits(
        clock, lambda: None, random.Random(1)
    )
    limits.record(KEY, 8.0)
    assert count_sends(limits, clock, 4.0) <= 3
