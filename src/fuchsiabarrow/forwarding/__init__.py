"""Whole requests on their way to upstreams: attempts, retries and streams."""

from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import service

__all__ = ["connections", "messages", "service"]
