"""Bounds on what an entry takes on: shares, retry budgets, crash suspects."""

__all__ = ["admission", "budgets", "crashes", "service", "suspects"]
