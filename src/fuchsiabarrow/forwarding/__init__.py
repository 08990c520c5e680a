"""Whole requests on their way to upstreams: attempts, retries and streams."""

__all__ = ["connections", "events", "generations", "messages", "service"]
