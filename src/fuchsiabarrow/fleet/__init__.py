"""Upstreams that serve whole requests: who they are, what is known of them."""

__all__ = ["directory", "followers", "lists", "loads", "paths", "upstreams"]
