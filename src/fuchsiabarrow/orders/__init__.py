"""Orders to engines, so that every layer range keeps its holders."""

from fuchsiabarrow.orders import plans
from fuchsiabarrow.orders import service

__all__ = ["plans", "service"]
