"""Forwarding of requests to upstreams: attempts, retries and streams."""

__all__ = ["connections", "events", "generations", "messages", "service"]
