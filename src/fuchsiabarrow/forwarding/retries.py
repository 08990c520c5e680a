"""Retry budgets of the services, and the retries that requests take."""

import asyncio
from collections.abc import Callable

from fuchsiabarrow.limits import budgets

__all__ = ["HeldRetry", "RetryBudgets"]


class RetryBudgets:
    """The retry budgets of all services, which the entries share.

    Args:
        ratio: Retries that each request adds to the retry budget of its
            service, as a fraction.
        extra: Additional retries of a service in each window, for all entries
            together.
        window_s: Length of the window.
        count_entries: Returns how many entries share the retry budget; None
            while that is unknown.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_s: float,
        count_entries: Callable[[], int | None],
    ):
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._count_entries = count_entries
        self._started_s = asyncio.get_running_loop().time()
        self._budgets: dict[str, budgets.SharedRetryBudget] = {}

    def set_limits(self, ratio: float, extra: float) -> None:
        """Changes the bounds of the retry budgets."""
        self._ratio, self._extra = ratio, extra
        for budget in self._budgets.values():
            budget.set_limits(ratio, extra)

    def deposit(self, service: str) -> None:
        """Adds the share of a new request to the budget of its service."""
        self._get(service).deposit()

    def try_take(self, service: str, reserve: float = 0.0) -> bool:
        """Takes one retry from the budget of a service, if one is left.

        Args:
            service: Name of the service.
            reserve: Part of the budget that must remain, from 0 to 1.
        """
        return self._get(service).try_withdraw(reserve)

    def put_back(self, service: str) -> None:
        """Returns a retry to the budget of a service, as it was not used."""
        self._get(service).put_back()

    def _get(self, service: str) -> budgets.SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = budgets.SharedRetryBudget(
                self._ratio,
                self._extra,
                self._window_s,
                asyncio.get_running_loop().time,
                self._started_s,
            )
            self._budgets[service] = budget
        budget.set_entry_count(self._count_entries())
        return budget


class HeldRetry:
    """The retry that one request has taken and not used yet, if any.

    Args:
        retry_budgets: The retry budgets of all services.
        service: Service of the request.
        reserve: Part of the budget that the request must leave, from 0 to 1.
    """

    def __init__(
        self, retry_budgets: RetryBudgets, service: str, reserve: float = 0.0
    ):
        self._budgets = retry_budgets
        self._service = service
        self._reserve = reserve
        self._is_held = False

    def try_take(self) -> bool:
        """Takes a retry from the budget unless one is held already.

        Returns:
            Whether one is held now.
        """
        if not self._is_held:
            self._is_held = self._budgets.try_take(self._service, self._reserve)
        return self._is_held

    def use(self) -> None:
        """Records that the request was sent; a held retry is used up."""
        self._is_held = False

    def put_back(self) -> None:
        """Returns a held retry to the budget, as it is not used soon.

        Those of many streams, used together in a later window, would exceed
        the limit of that window.
        """
        if self._is_held:
            self._is_held = False
            self._budgets.put_back(self._service)
