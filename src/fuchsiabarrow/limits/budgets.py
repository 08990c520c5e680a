"""Budget for new attempts, so that retries cannot multiply a failure."""

__all__ = ["RetryBudget"]


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
