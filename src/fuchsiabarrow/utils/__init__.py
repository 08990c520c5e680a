"""General helpers: clocks, timeouts, jitter, listeners and event loops."""

__all__ = [
    "addresses",
    "clocks",
    "deadlines",
    "jitter",
    "listeners",
    "loops",
    "tasks",
]
