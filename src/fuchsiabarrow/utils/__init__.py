"""Small helpers without a subject of their own: clocks, jitter, event loop."""

__all__ = [
    "addresses",
    "clocks",
    "deadlines",
    "jitter",
    "listeners",
    "loops",
    "tasks",
]
