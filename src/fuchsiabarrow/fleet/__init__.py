"""Upstreams, their state and load, and the choice of paths through them."""

__all__ = ["directory", "followers", "lists", "loads", "paths", "upstreams"]
