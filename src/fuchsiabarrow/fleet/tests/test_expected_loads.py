"""Expected load of instances whose reports are late."""

import math

import pytest

from fuchsiabarrow.fleet import expected_loads
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet.tests import fleets

MODEL = fleets.make_model(layer_mb=200.0)
FULL, EMPTY, SLOW = (
    fleets.make_instance("i1", "a", "fast", (0, 40)),
    fleets.make_instance("i2", "b", "fast", (0, 40)),
    fleets.make_instance("i3", "a", "slow", (0, 40)),
)
INSTANCES = (FULL, EMPTY, SLOW)
REPORTED = loads.Load(20, 10, 800_000.0, 0.0)
OWN = loads.Load(1, 1, 40_000.0, 0.0)


def make_table() -> loads.LoadTable:
    table = loads.LoadTable()
    table.set_report("others", [(FULL.key, REPORTED)])
    table.add_own({EMPTY.key: OWN}, 1)
    return table


def estimate(unreported: float) -> expected_loads.ExpectedLoads:
    return expected_loads.estimate_loads(
        INSTANCES, MODEL, make_table(), unreported
    )


# Also those of an unknown age, which an entry gets after its start.
@pytest.mark.parametrize("unreported", [0.0, math.inf])
def test_fresh_reports_are_taken_as_they_are(unreported):
    expected = estimate(unreported)
    table = make_table()
    assert expected.loads == {i.key: table.get(i.key) for i in INSTANCES}
    assert expected.sensitivity == 1.0


def test_very_late_reports_only_tell_the_mean_of_each_kind():
    expected = estimate(1e9)
    context = REPORTED.context / 2
    assert expected.loads[FULL.key].context == pytest.approx(context)
    assert expected.loads[EMPTY.key].context == pytest.approx(
        context + OWN.context
    )
    assert expected.loads[SLOW.key] == loads.IDLE
    assert expected.sensitivity == expected_loads.MIN_SENSITIVITY


def test_total_load_and_own_load_are_kept():
    for unreported in (0.0, 1.0, 5.0, 1e9):
        expected = estimate(unreported)
        total = sum(load.context for load in expected.loads.values())
        assert total == pytest.approx(REPORTED.context + OWN.context)
        assert expected.loads[EMPTY.key].requests >= OWN.requests


def test_later_reports_count_less():
    estimates = [estimate(unreported) for unreported in (0.0, 1.0, 3.0, 9.0)]
    contexts = [e.loads[FULL.key].context for e in estimates]
    assert contexts == sorted(contexts, reverse=True)
    sensitivities = [e.sensitivity for e in estimates]
    assert sensitivities == sorted(sensitivities, reverse=True)


def test_deviation_grows_with_the_delay_and_the_number_of_requests():
    assert estimate(0.0).deviations == {}
    deviations = [estimate(u).deviations[FULL.key] for u in (1.0, 3.0, 1e9)]
    assert deviations == sorted(deviations)
    # Ten requests of 40,000 at each of the two of the kind in the mean.
    assert deviations[-1] == pytest.approx(40_000.0 * math.sqrt(10))
    assert SLOW.key not in estimate(1e9).deviations


def test_instance_that_is_full_in_the_mean_only_may_be_tried():
    size = paths.RequestSize(800.0, 60.0)
    mean = loads.Load(1.5, 1, MODEL.count_context_tokens("fast", 40) * 40, 0.0)
    full = paths.make_candidate(FULL, MODEL, size, mean, 1.0)
    tried = paths.make_candidate(FULL, MODEL, size, mean, 1.0, deviation=9e5)
    assert full.free_context < 0 < tried.free_context
    assert tried.layer_cost_ms == full.layer_cost_ms


# A total of many entries counts a request that has moved on twice, if their
# reports are of different times: seven requests were reported for four places.
def test_instances_that_are_reported_beyond_their_memory_may_be_tried():
    size = paths.RequestSize(800.0, 60.0)
    model = fleets.make_model()
    first = fleets.make_instance("i1", layers=(0, 40))
    second = fleets.make_instance("i2", layers=(0, 40))
    request = loads.Load(1, 1, size.context_tokens * 40)
    table = loads.LoadTable()
    table.set_report(
        "all entries",
        [
            (first.key, loads.Load(5, 5, 5 * request.context)),
            (second.key, loads.Load(2, 2, 2 * request.context)),
        ],
    )
    expected = expected_loads.estimate_loads((first, second), model, table, 20)
    candidate = paths.make_candidate(
        first,
        model,
        size,
        expected.loads[first.key],
        1.0,
        deviation=expected.deviations[first.key],
    )
    assert candidate.free_context >= request.context
