"""Retries are bounded by the requests admitted."""

import random

import pytest

from fuchsiabarrow.limits import budgets


def test_retries_in_the_long_run_are_a_fraction_of_requests():
    budget = budgets.RetryBudget(ratio=0.2, reserve=10)
    spent = 0
    for _ in range(1000):
        budget.earn()
        spent += budget.spend()
    assert 200 <= spent <= 210


def test_smaller_reserve_takes_effect_at_once():
    budget = budgets.RetryBudget(ratio=0.2, reserve=100)
    budget.change(ratio=0.2, reserve=1)
    assert [budget.spend(), budget.spend()] == [True, False]


@pytest.mark.parametrize("seed", range(20))
def test_no_window_has_more_repeats_than_all_entries_may_make(seed):
    # Entries fail at once and repeat all they can; some restart in between.
    source = random.Random(seed)
    now_s = [0.0]
    ratio, extra, window_s, count = 0.2, 200.0, 10.0, 9

    def make_budget():
        budget = budgets.WindowBudget(ratio, extra, window_s, lambda: now_s[0])
        budget.divide(count)
        return budget

    entries = [make_budget() for _ in range(count)]
    requests, repeats = [], []
    while now_s[0] < 40.0:
        now_s[0] += source.expovariate(40.0)
        index = source.randrange(count)
        if source.random() < 0.001:
            entries[index] = make_budget()
        entries[index].earn()
        requests.append(now_s[0])
        is_storm = 8.0 < now_s[0] < 30.0
        while is_storm and entries[index].spend():
            repeats.append(now_s[0])
    for start_s in range(31):
        in_window = [t for t in repeats if start_s <= t < start_s + window_s]
        asked = [t for t in requests if start_s <= t < start_s + window_s]
        assert len(in_window) <= ratio * len(asked) + extra


def test_saved_repeats_come_back():
    now_s = [0.0]
    budget = budgets.WindowBudget(0.0, 100.0, 10.0, lambda: now_s[0])
    budget.divide(1)
    while budget.spend():
        pass
    now_s[0] = 5.0
    assert budget.spend()
