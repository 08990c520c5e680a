"""Orders to engines, so that every layer range keeps its holders."""

from fuchsiabarrow.orders import plans
from fuchsiabarrow.orders import service
from fuchsiabarrow.orders import slots

__all__ = ["plans", "service", "slots"]
