"""Budget for new attempts, so that retries cannot multiply a failure."""

from collections.abc import Callable

__all__ = ["RetryBudget", "WindowBudget"]

# Part of a shared allowance that entries leave unused: those that restart
# begin anew within the same window.
SAFETY_FRACTION = 0.15


class RetryBudget:
    """Each admitted request earns a fraction of a retry.

    Example:
        >>> budget = RetryBudget(ratio=0.5, reserve=2)
        >>> budget.spend(), budget.spend(), budget.spend()
        (True, True, False)

    Args:
        ratio: Retries earned by a request.
        reserve: Most retries that can be saved up; the budget starts full.
    """

    def __init__(self, ratio: float, reserve: float):
        self._ratio = ratio
        self._reserve = reserve
        self._saved = float(reserve)

    def change(self, ratio: float, reserve: float) -> None:
        """Takes over other bounds."""
        self._ratio = ratio
        self._reserve = reserve
        self._saved = min(self._saved, reserve)

    def earn(self) -> None:
        """Notes an admitted request."""
        self._saved = min(self._reserve, self._saved + self._ratio)

    def spend(self) -> bool:
        """Takes one retry; returns whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


class WindowBudget:
    """One entry's share of the repeats that all entries may make in a window.

    In no window of that length are more repeats allowed than the ratio of the
    requests plus the share of the extra: half of the share may be saved up, the
    other half comes back within a window. A new budget starts with a quarter,
    as the process before it may have spent some.

    Args:
        ratio: Repeats that a request earns.
        extra: Repeats beyond that in a window, for all entries together.
        window_s: Length of the window in seconds.
        read_time_s: Monotonic clock.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_s: float,
        read_time_s: Callable[[], float],
    ):
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._read_time_s = read_time_s
        self._share = 0.0
        self._saved: float | None = None
        self._refilled_s = read_time_s()

    def change(self, ratio: float, extra: float) -> None:
        """Takes over other bounds."""
        self._ratio = ratio
        self._extra = extra

    def divide(self, entries: int) -> None:
        """Takes over how many entries share the extra."""
        usable = self._extra * (1 - SAFETY_FRACTION)
        self._share = usable / max(1, entries)
        if self._saved is None:
            self._saved = self._share / 4
        self._saved = min(self._saved, self._get_limit())

    def earn(self) -> None:
        """Notes an admitted request."""
        self._refill()
        earned = self._ratio * (1 - SAFETY_FRACTION)
        self._saved = min(self._get_limit(), self._saved + earned)

    def spend(self) -> bool:
        """Takes one repeat; returns whether there was one."""
        self._refill()
        if self._saved < 1:
            return False
        self._saved -= 1
        return True

    def _get_limit(self) -> float:
        return max(1.0, self._share / 2)

    def _refill(self) -> None:
        now_s = self._read_time_s()
        back = (now_s - self._refilled_s) / self._window_s * self._share / 2
        self._refilled_s = now_s
        saved = self._saved or 0.0
        self._saved = min(self._get_limit(), saved + back)
