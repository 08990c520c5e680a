"""Bounds on what an entry takes on: shares, retry budgets, crash suspects."""

from fuchsiabarrow.limits import admission
from fuchsiabarrow.limits import budgets
from fuchsiabarrow.limits import service
from fuchsiabarrow.limits import suspects

__all__ = ["admission", "budgets", "service", "suspects"]
