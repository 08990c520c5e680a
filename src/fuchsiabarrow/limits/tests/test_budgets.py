"""Retries are bounded by the requests admitted."""

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
