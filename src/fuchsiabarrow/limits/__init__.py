"""Admission control, retry budgets and blocking of crashing requests."""

__all__ = [
    "admission",
    "budgets",
    "crash_counts",
    "crashing_parts",
    "service",
    "suspects",
    "upstream_limits",
]
