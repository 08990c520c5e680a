"""Requests that crash upstreams are found without blaming neighbours."""

import pytest

from fuchsiabarrow.limits import suspects

SETTINGS = suspects.Settings()


@pytest.fixture
def found():
    return suspects.Suspects(SETTINGS)


def crash(found, *placements):
    """Lets an engine crash on which attempts without a token ran."""
    results = [found.record_crash(placement, 0.0) for placement in placements]
    for placement in placements:
        found.end(placement)
    return results


def place(found, fingerprint, *instance_ids):
    return found.place(fingerprint, list(instance_ids), 0.0)


def test_request_is_given_up_after_the_limit_of_crashes(found):
    results = [crash(found, place(found, "bad", f"i{n}"))[0] for n in range(3)]
    assert results == [False, False, True]
    assert found.is_blocked("bad", 1.0)
    assert not found.is_blocked("bad", SETTINGS.block_s + 1.0)


def test_request_that_came_further_has_no_crashes(found):
    crash(found, place(found, "good", "i1"))
    crash(found, place(found, "good", "i2"))
    found.clear("good")
    assert crash(found, place(found, "good", "i3")) == [False]


def test_crash_does_not_count_against_an_attempt_that_made_a_token(found):
    for number in range(9):
        placement = place(found, "good", f"i{number}")
        found.end(placement)
        assert not found.record_crash(placement, 0.0)
    assert found.count_crashes("good", 0.0) == 0


def test_isolated_request_shares_no_engine_with_another_without_a_token(found):
    for number in range(2):
        crash(
            found,
            place(found, "bad", f"i{number}"),
            place(found, "good", f"i{number}"),
        )
    assert found.is_isolated("bad", 0.0)
    isolated = place(found, "bad", "i3", "i4")
    assert isolated.is_isolated
    assert found.find_isolated() == {"i3", "i4"}
    # Neither another suspect nor a fresh request may join it.
    assert place(found, "good", "i4", "i5") is None
    assert place(found, "new", "i4") is None
    assert place(found, "new", "i6") is not None
    assert crash(found, isolated) == [True]
    assert found.count_crashes("good", 0.0) == 2
    assert place(found, "good", "i4") is not None


def test_isolated_request_waits_for_those_without_a_token(found):
    for number in range(2):
        crash(found, place(found, "good", f"i{number}"))
    other = place(found, "new", "i3")
    assert place(found, "good", "i3") is None
    found.end(other)
    assert place(found, "good", "i3") is not None


def test_number_of_kept_fingerprints_is_bounded():
    found = suspects.Suspects(suspects.Settings(block_limit=10))
    for number in range(100):
        found.add_crashes(f"f{number}", 3, 0.0)
    assert sum(found.is_blocked(f"f{n}", 1.0) for n in range(100)) == 10


@pytest.mark.parametrize(
    ("other", "is_same"),
    [
        (("org", "m", [1, 2]), True),
        (("other", "m", [1, 2]), False),
        (("org", "n", [1, 2]), False),
        (("org", "m", [2, 1]), False),
    ],
)
def test_fingerprint_names_organisation_model_and_prompt(other, is_same):
    first = suspects.compute_fingerprint("org", "m", [1, 2])
    assert (suspects.compute_fingerprint(*other) == first) is is_same
