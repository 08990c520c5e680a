"""Orders engines to load layers, so that each range has enough replicas."""

from fuchsiabarrow.orders import plans
from fuchsiabarrow.orders import service
from fuchsiabarrow.orders import slots

__all__ = ["plans", "service", "slots"]
