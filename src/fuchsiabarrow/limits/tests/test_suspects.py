"""Tests that crashing requests are found without blocking other requests."""

import pytest

from fuchsiabarrow.limits import suspects

SETTINGS = suspects.Settings()


@pytest.fixture
def tracker():
    return suspects.CrashSuspects(SETTINGS)


def crash(tracker, *attempts):
    """Records a crash for attempts without a token on the same engine."""
    results = [tracker.record_crash(attempt, 0.0) for attempt in attempts]
    for attempt in attempts:
        tracker.end_attempt(attempt)
    return results


def start_attempt(tracker, fingerprint, *instance_ids):
    return tracker.start_attempt(fingerprint, list(instance_ids), 0.0)


def test_request_is_given_up_at_the_crash_limit(tracker):
    results = [
        crash(tracker, start_attempt(tracker, "bad", f"i{n}"))[0]
        for n in range(3)
    ]
    assert results == [False, False, True]
    assert tracker.is_blocked("bad", 1.0)
    assert not tracker.is_blocked("bad", SETTINGS.block_s + 1.0)


def test_new_token_clears_the_crashes_of_a_request(tracker):
    crash(tracker, start_attempt(tracker, "good", "i1"))
    crash(tracker, start_attempt(tracker, "good", "i2"))
    tracker.clear_crashes("good")
    assert crash(tracker, start_attempt(tracker, "good", "i3")) == [False]


def test_crash_is_not_counted_for_an_attempt_that_produced_a_token(tracker):
    for number in range(9):
        attempt = start_attempt(tracker, "good", f"i{number}")
        tracker.end_attempt(attempt)
        assert not tracker.record_crash(attempt, 0.0)
    assert tracker.count_crashes("good", 0.0) == 0


def test_isolated_request_shares_no_engine_with_another_without_a_token(
    tracker,
):
    for number in range(2):
        crash(
            tracker,
            start_attempt(tracker, "bad", f"i{number}"),
            start_attempt(tracker, "good", f"i{number}"),
        )
    assert tracker.is_isolated("bad", 0.0)
    isolated = start_attempt(tracker, "bad", "i3", "i4")
    assert isolated.is_isolated
    assert tracker.find_isolated_instances() == {"i3", "i4"}
    # Neither another suspect nor a new request may run on its instances.
    assert start_attempt(tracker, "good", "i4", "i5") is None
    assert start_attempt(tracker, "new", "i4") is None
    assert start_attempt(tracker, "new", "i6") is not None
    assert crash(tracker, isolated) == [True]
    assert tracker.count_crashes("good", 0.0) == 2
    assert start_attempt(tracker, "good", "i4") is not None


def test_isolated_request_waits_for_attempts_without_a_token(tracker):
    for number in range(2):
        crash(tracker, start_attempt(tracker, "good", f"i{number}"))
    other = start_attempt(tracker, "new", "i3")
    assert start_attempt(tracker, "good", "i3") is None
    tracker.end_attempt(other)
    assert start_attempt(tracker, "good", "i3") is not None


def test_attempt_that_is_replaced_does_not_hold_back_its_successor(tracker):
    for number in range(2):
        crash(tracker, start_attempt(tracker, "bad", f"i{number}"))
    current = start_attempt(tracker, "bad", "i3", "i4")
    assert not tracker.may_start("bad", ["i3"], 0.0)
    assert tracker.may_start("bad", ["i3"], 0.0, replaced=current)
    assert not tracker.find_isolated_instances(current)
    start_attempt(tracker, "new", "i5")
    assert not tracker.may_start("bad", ["i5"], 0.0, replaced=current)
    # Nothing was registered or ended.
    assert tracker.find_isolated_instances() == {"i3", "i4"}


def test_number_of_kept_fingerprints_is_bounded():
    tracker = suspects.CrashSuspects(suspects.Settings(block_limit=10))
    for number in range(100):
        tracker.add_crashes(f"f{number}", 3, 0.0)
    assert sum(tracker.is_blocked(f"f{n}", 1.0) for n in range(100)) == 10


@pytest.mark.parametrize(
    ("other", "is_same"),
    [
        (("org", "m", [1, 2]), True),
        (("other", "m", [1, 2]), False),
        (("org", "n", [1, 2]), False),
        (("org", "m", [2, 1]), False),
    ],
)
def test_fingerprint_depends_on_organisation_model_and_prompt(other, is_same):
    first = suspects.compute_prompt_fingerprint("org", "m", [1, 2])
    assert (suspects.compute_prompt_fingerprint(*other) == first) is is_same
