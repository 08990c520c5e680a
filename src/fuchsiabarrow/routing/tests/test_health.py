"""Tests that an entry's observations override the instance list and expire."""

import pytest

from fuchsiabarrow.ports import instances
from fuchsiabarrow.routing import health

SETTINGS = health.Settings()
A = instances.Instance("a", "10.0.0.1:1", "engine", "m", 0, 4)


@pytest.fixture
def tracker():
    created = health.HealthTracker(SETTINGS)
    created.update_instances([A], 0.0)
    return created


def test_drain_answer_overrides_a_list_that_does_not_show_it_yet(tracker):
    tracker.record_leaving("a", 1.0)
    tracker.update_instances([A], 2.0)
    assert tracker.is_leaving("a")


def test_drain_answer_that_is_not_renewed_expires(tracker):
    tracker.record_leaving("a", 1.0)
    tracker.update_instances([A], 1.0 + SETTINGS.drain_hold_s)
    assert not tracker.is_leaving("a")


def test_instance_relisted_at_another_address_starts_with_a_clean_state(
    tracker,
):
    tracker.record_leaving("a", 1.0)
    tracker.record_failure("a", 1.0)
    moved = instances.Instance("a", "10.0.0.2:1", "engine", "m", 0, 4)
    tracker.update_instances([moved], 2.0)
    assert not tracker.is_leaving("a")
    assert tracker.find("a").failures == 0


def test_unlisted_instance_counts_as_leaving(tracker):
    tracker.update_instances([], 1.0)
    assert tracker.is_leaving("a")


def test_failures_during_an_exclusion_do_not_extend_it(tracker):
    for _ in range(20):
        tracker.record_failure("a", 1.0)
    assert tracker.find("a").excluded_until_s == 1.0 + SETTINGS.suspicion_base_s


def test_repeated_failures_exclude_for_longer_up_to_a_limit(tracker):
    now_s = 0.0
    for _ in range(12):
        now_s = max(now_s, tracker.find("a").excluded_until_s)
        tracker.record_failure("a", now_s)
    limit_s = SETTINGS.suspicion_limit_s
    assert tracker.find("a").excluded_until_s - now_s == limit_s


def test_success_ends_an_exclusion(tracker):
    tracker.record_failure("a", 1.0)
    tracker.record_success("a", 0.002, 1.1)
    assert tracker.find("a").excluded_until_s < 1.1


def test_old_measurement_of_a_slow_link_decays(tracker):
    for _ in range(100):
        tracker.record_success("a", 1.0, 5.0)
    state = tracker.find("a")
    assert tracker.estimate_hop_s(state, 5.0) > 0.9
    later_s = 5.0 + 20 * SETTINGS.hop_half_life_s
    assert tracker.estimate_hop_s(state, later_s) < 0.01
