"""Retry budgets, which prevent retry storms during a failure."""

from collections.abc import Callable

__all__ = ["RetryBudget", "SharedRetryBudget"]

# Fraction of the shared allowance that is left unused: an entry that restarts
# begins with a new budget within the same window.
SAFETY_FRACTION = 0.15


class RetryBudget:
    """Allows a fraction of a retry for each admitted request.

    Example:
        >>> budget = RetryBudget(ratio=0.5, reserve=2)
        >>> [budget.try_withdraw() for _ in range(3)]
        [True, True, False]

    Args:
        ratio: Retries added to the budget by each admitted request.
        reserve: Maximum of unused retries; the budget starts with it.
    """

    def __init__(self, ratio: float, reserve: float):
        self._ratio = ratio
        self._reserve = reserve
        self._balance = float(reserve)

    def set_limits(self, ratio: float, reserve: float) -> None:
        """Changes the limits."""
        self._ratio = ratio
        self._reserve = reserve
        self._balance = min(self._balance, reserve)

    def deposit(self) -> None:
        """Adds the retries that one admitted request allows."""
        self._balance = min(self._reserve, self._balance + self._ratio)

    def try_withdraw(self) -> bool:
        """Takes one retry from the budget; returns False if it is empty."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class SharedRetryBudget:
    """One entry's share of the retries that all entries may make in a window.

    In any window of this length, the entry makes at most `ratio` retries for
    each request plus its share of `extra`. Up to half of the share can be
    accumulated, and the other half is refilled over one window. A new budget
    starts with a quarter of the share, as a previous process of this entry may
    have used a part of it within the same window, and is refilled from the
    start of this process on. It has no share at all while the number of entries
    is unknown: entries that start together and assume too small a number would
    exceed the limit together.

    Less urgent requests can be made to leave a reserve. It is a part of the
    balance beyond one retry, since an entry among many accumulates less than
    two: a balance that is not used otherwise always rises above the reserve, so
    that any request gets a retry in time. A maximum balance of one retry has no
    reserve.

    Args:
        ratio: Retries added to the budget by each admitted request.
        extra: Additional retries in a window, for all entries together.
        window_s: Length of the window in seconds.
        read_time_s: Monotonic clock.
        started_s: Its time at the start of this process; None for now.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_s: float,
        read_time_s: Callable[[], float],
        started_s: float | None = None,
    ):
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._read_time_s = read_time_s
        self._share = 0.0
        self._balance = 0.0
        self._refilled_s = read_time_s() if started_s is None else started_s

    def set_limits(self, ratio: float, extra: float) -> None:
        """Changes the limits."""
        self._ratio = ratio
        self._extra = extra

    def set_entry_count(self, entries: int | None) -> None:
        """Sets the number of entries that share the additional retries.

        Args:
            entries: Their number; None while it is unknown.
        """
        if entries is None:
            return
        is_first = self._share == 0.0
        usable = self._extra * (1 - SAFETY_FRACTION)
        self._share = usable / max(1, entries)
        if is_first:
            self._balance += self._share / 4
        self._balance = min(self._balance, self._get_max_balance())

    def deposit(self) -> None:
        """Adds the retries that one admitted request allows."""
        self._refill()
        added = self._ratio * (1 - SAFETY_FRACTION)
        self._balance = min(self._get_max_balance(), self._balance + added)

    def try_withdraw(self, reserve: float = 0.0) -> bool:
        """Takes one retry from the budget.

        Args:
            reserve: Part of the maximum balance beyond one retry that must
                remain, from 0 to 1.

        Returns:
            Whether there was one; False if only the reserve is left.
        """
        self._refill()
        max_balance = self._get_max_balance()
        # The minimum excludes that a rounding error makes a full balance
        # insufficient.
        if self._balance < min(max_balance, 1 + reserve * (max_balance - 1)):
            return False
        self._balance -= 1
        return True

    def put_back(self) -> None:
        """Puts back one retry that was taken a short time ago and not used."""
        self._refill()
        self._balance = min(self._get_max_balance(), self._balance + 1)

    def _get_max_balance(self) -> float:
        return max(1.0, self._share / 2)

    def _refill(self) -> None:
        now_s = self._read_time_s()
        refill = (now_s - self._refilled_s) / self._window_s * self._share / 2
        self._refilled_s = now_s
        self._balance = min(self._get_max_balance(), self._balance + refill)
