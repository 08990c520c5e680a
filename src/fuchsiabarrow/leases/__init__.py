"""Leases in the object store, with increasing fencing tokens."""

from fuchsiabarrow.leases import rules
from fuchsiabarrow.leases import service

__all__ = ["rules", "service"]
