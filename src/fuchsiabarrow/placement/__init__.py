"""Which instance holds which layers: the plan, and the orders that reach it."""

from fuchsiabarrow.placement import plans
from fuchsiabarrow.placement import service

__all__ = ["plans", "service"]
