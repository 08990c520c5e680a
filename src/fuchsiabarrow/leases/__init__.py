"""Leases in the object API, with fencing numbers that only grow."""

from fuchsiabarrow.leases import rules
from fuchsiabarrow.leases import service

__all__ = ["rules", "service"]
