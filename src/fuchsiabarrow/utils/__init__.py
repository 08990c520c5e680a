"""Small helpers without a subject of their own: clocks, jitter, event loop."""

__all__ = ["clocks", "jitter", "loops"]
