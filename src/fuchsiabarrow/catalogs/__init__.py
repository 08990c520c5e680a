"""Indexed configuration for serving: routes, services, keys and engines."""

__all__ = ["access", "documents", "engines", "service"]
