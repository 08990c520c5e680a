"""Requests that crash upstreams are found without blaming neighbours."""

import pytest

from fuchsiabarrow.limits import suspects

SETTINGS = suspects.Settings()


@pytest.fixture
def found():
    return suspects.Suspects(SETTINGS)


def crash(found, instance, *fingerprints):
    return [found.record_crash(instance, name, 0.0) for name in fingerprints]


def test_request_is_given_up_after_the_limit_of_crashes(found):
    results = [crash(found, f"i{n}", "bad")[0] for n in range(3)]
    assert results == [False, False, True]
    assert found.is_blocked("bad", 1.0)
    assert not found.is_blocked("bad", SETTINGS.block_s + 1.0)


def test_request_that_came_further_has_no_crashes(found):
    crash(found, "i1", "good")
    crash(found, "i2", "good")
    found.clear("good")
    assert crash(found, "i3", "good") == [False]


def test_crash_does_not_count_against_neighbours_of_an_isolated_request(found):
    for number in range(2):
        crash(found, f"i{number}", "bad", "good")
    assert found.is_isolated("bad", 0.0)
    found.start_isolation("bad", ["i3"])
    assert crash(found, "i3", "bad", "good", "new") == [True, False, False]
    assert found.count_crashes("good", 0.0) == 2
    assert found.count_crashes("new", 0.0) == 0


def test_an_engine_runs_one_isolated_request_at_a_time(found):
    found.start_isolation("first", ["i1", "i2"])
    found.start_isolation("second", ["i2", "i3"])
    assert found.find_occupied("second") == {"i1", "i2"}
    found.end_isolation("first")
    assert found.find_occupied("second") == set()


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
