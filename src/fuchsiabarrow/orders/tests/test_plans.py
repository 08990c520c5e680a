"""Tests that ranges without holders come first; none loses its last holder."""

import random

import pytest

from fuchsiabarrow.orders import plans

RANGES = tuple(plans.Assignment("m", n, n + 4) for n in (0, 4, 8))
SEEDS = 200


def make_engine(name, held=None, domain="d", **fields):
    return plans.Engine(name, domain, held, **fields)


def plan(engines, replicas=1, max_loads=9):
    return plans.make_plan([plans.Layout(RANGES, replicas)], engines, max_loads)


def test_range_without_a_holder_is_assigned_to_an_idle_engine():
    engines = [make_engine("a", RANGES[0]), make_engine("b", RANGES[2])]
    assert plan([*engines, make_engine("idle")]) == [("idle", RANGES[1])]


def test_range_without_a_holder_precedes_a_missing_replica():
    engines = [make_engine("a", RANGES[0]), make_engine("b", RANGES[1])]
    found = plan([*engines, make_engine("idle")], replicas=2)
    assert found == [("idle", RANGES[2])]


def test_replica_goes_to_another_failure_domain_if_there_is_one():
    engines = [
        make_engine(f"e{n}", held, domain="d1") for n, held in enumerate(RANGES)
    ]
    idle = [make_engine("a", domain="d1"), make_engine("b", domain="d2")]
    (first, *_) = plan([*engines, *idle], replicas=2)
    assert first[0] == "b"


def test_engine_of_a_range_with_two_holders_is_reassigned_to_one_without():
    engines = [
        make_engine("a", RANGES[0]),
        make_engine("b", RANGES[0]),
        make_engine("c", RANGES[1]),
    ]
    assert plan(engines) == [("a", RANGES[2])]


def test_leaving_holder_is_replaced():
    engines = [
        make_engine(f"e{n}", held, is_leaving=n == 1)
        for n, held in enumerate(RANGES)
    ]
    assert plan([*engines, make_engine("idle")]) == [("idle", RANGES[1])]


def test_concurrent_loads_are_limited():
    engines = [make_engine(f"idle-{n}") for n in range(9)]
    assert len(plan(engines, replicas=3, max_loads=2)) == 2
    loading = make_engine("x", RANGES[0], is_loading=True)
    assert len(plan([*engines, loading], replicas=3, max_loads=2)) == 1


@pytest.mark.parametrize("start", range(0, SEEDS, 50))
def test_plans_converge_and_no_range_loses_its_last_holder(start):
    for seed in range(start, start + 50):
        source = random.Random(seed)
        replicas = source.randrange(1, 3)
        engines = {
            f"e{n}": make_engine(
                f"e{n}", source.choice([None, *RANGES]), f"d{n % 3}"
            )
            for n in range(source.randrange(3, 9))
        }
        for _ in range(20):
            held = {e.held for e in engines.values()} - {None}
            orders = plan(engines.values(), replicas, max_loads=2)
            for name, assignment in orders:
                engines[name] = make_engine(
                    name, assignment, engines[name].failure_domain
                )
            after = {e.held for e in engines.values()} - {None}
            assert held <= after, seed
        assert plan(engines.values(), replicas) == [], seed
        assert after == set(RANGES), seed
