"""Upstreams, their state and load, and the choice of paths through them."""

__all__ = [
    "directory",
    "expected_loads",
    "lists",
    "loads",
    "paths",
    "store_calls",
    "upstreams",
    "watchers",
]
