"""Tests that retries are bounded by the number of admitted requests."""

import random

import pytest

from fuchsiabarrow.limits import budgets


def test_long_run_retries_are_a_fraction_of_requests():
    budget = budgets.RetryBudget(ratio=0.2, reserve=10)
    retries = 0
    for _ in range(1000):
        budget.deposit()
        retries += budget.try_withdraw()
    assert 200 <= retries <= 210


def test_smaller_reserve_takes_effect_at_once():
    budget = budgets.RetryBudget(ratio=0.2, reserve=100)
    budget.set_limits(ratio=0.2, reserve=1)
    assert [budget.try_withdraw(), budget.try_withdraw()] == [True, False]


@pytest.mark.parametrize("seed", range(20))
def test_retries_of_all_entries_stay_within_the_limit_in_any_window(seed):
    # All entries see failures at the same time and retry as often as their
    # budgets allow; some entries restart meanwhile with a new budget.
    source = random.Random(seed)
    now_s = [0.0]
    ratio, extra, window_s, count = 0.2, 200.0, 10.0, 9

    def make_budget():
        budget = budgets.SharedRetryBudget(
            ratio, extra, window_s, lambda: now_s[0]
        )
        budget.set_entry_count(count)
        return budget

    entries = [make_budget() for _ in range(count)]
    requests, retries = [], []
    while now_s[0] < 40.0:
        now_s[0] += source.expovariate(40.0)
        index = source.randrange(count)
        if source.random() < 0.001:
            entries[index] = make_budget()
        entries[index].deposit()
        requests.append(now_s[0])
        is_failing = 8.0 < now_s[0] < 30.0
        while is_failing and entries[index].try_withdraw():
            retries.append(now_s[0])
    for start_s in range(31):
        retried = [t for t in retries if start_s <= t < start_s + window_s]
        admitted = [t for t in requests if start_s <= t < start_s + window_s]
        assert len(retried) <= ratio * len(admitted) + extra


# Guards against the broken retry limit of the incident SHORT: entries that all
# restart assumed that they were 16, and each began with its share of that.
@pytest.mark.parametrize("count", [9, 76, 400])
def test_entries_that_restart_together_stay_within_the_limit(count):
    now_s = 0.0
    ratio, extra, window_s, restart_s, discovery_s = 0.2, 336.0, 10.0, 9.0, 1.5

    def make_budget():
        return budgets.SharedRetryBudget(ratio, extra, window_s, lambda: now_s)

    entries = [make_budget() for _ in range(count)]
    requests = retries = 0
    for step in range(int(window_s * 100)):
        if step == int(restart_s * 100):
            entries = [make_budget() for _ in range(count)]
        now_s = step / 100
        is_known = not restart_s <= now_s < restart_s + discovery_s
        for budget in entries:
            budget.set_entry_count(count if is_known else None)
        entries[step % count].deposit()
        requests += 1
        retries += sum(budget.try_withdraw() for budget in entries)
    assert retries <= ratio * requests + extra


def test_used_retries_are_refilled_over_time():
    now_s = [0.0]
    budget = budgets.SharedRetryBudget(0.0, 100.0, 10.0, lambda: now_s[0])
    budget.set_entry_count(1)
    while budget.try_withdraw():
        pass
    now_s[0] = 5.0
    assert budget.try_withdraw()


# An entry among many had no retry for its first requests to a service, however
# long its process had run: a budget begins with less than one.
def test_budget_that_is_first_used_late_is_as_full_as_one_from_the_start():
    count, now_s = 76, 0.0

    def make_budget(started_s: float) -> budgets.SharedRetryBudget:
        budget = budgets.SharedRetryBudget(
            0.2, 202.0, 10.0, lambda: now_s, started_s
        )
        budget.set_entry_count(count)
        return budget

    assert not make_budget(0.0).try_withdraw()
    early = make_budget(0.0)
    now_s = 12.0
    late = make_budget(0.0)
    assert late.try_withdraw() and early.try_withdraw()
    assert not late.try_withdraw() and not early.try_withdraw()


# Share of one entry: the deployments with 86 and 114 entries, the target size
# (a maximum balance of exactly one retry), and a few entries.
@pytest.mark.parametrize(
    ("count", "extra"), [(86, 356.0), (114, 523.0), (400, 336.0), (9, 200.0)]
)
@pytest.mark.parametrize("reserve", [0.5, 1.0])
def test_less_urgent_requests_alone_get_as_many_retries_over_time(
    count, extra, reserve
):
    # Guards against a reserve that starves less urgent requests: one that is a
    # part of the whole balance exceeds what an entry among many can accumulate.
    now_s = 0.0
    window_s = 10.0
    plain, reserved = (
        budgets.SharedRetryBudget(0.0, extra, window_s, lambda: now_s)
        for _ in range(2)
    )
    counts = [0, 0]
    for step in range(6000):
        now_s = step / 100
        for budget in (plain, reserved):
            budget.set_entry_count(count)
        counts[0] += plain.try_withdraw()
        counts[1] += reserved.try_withdraw(reserve)
    assert counts[1] >= 2
    assert counts[0] - counts[1] <= 1 + reserve * extra / count / 2


def test_less_urgent_requests_leave_retries_for_an_urgent_one():
    # Guards against a burst of failures in which less urgent requests, which
    # are more, spend all retries before the first urgent one fails.
    now_s = 0.0
    budget = budgets.SharedRetryBudget(0.2, 200.0, 10.0, lambda: now_s)
    budget.set_entry_count(9)
    for _ in range(60):
        budget.deposit()
    while budget.try_withdraw(reserve=0.5):
        pass
    assert [budget.try_withdraw() for _ in range(6)] == [True] * 4 + [False] * 2


def test_urgent_and_less_urgent_retries_together_stay_within_the_budget():
    # Guards against a reserve that adds to the budget: the limit of a window
    # holds for all ranks together.
    now_s = 0.0
    source = random.Random(3)
    budget = budgets.SharedRetryBudget(0.2, 356.0, 10.0, lambda: now_s)
    budget.set_entry_count(86)
    retries = 0
    for step in range(1000):
        now_s = step / 100
        retries += budget.try_withdraw(source.choice((0.0, 0.25, 0.5)))
    assert 0 < retries <= 356.0 / 86
