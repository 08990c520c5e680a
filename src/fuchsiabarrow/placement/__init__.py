"""Which instance holds which layers: the plan, and the orders that reach it."""

__all__ = ["plans", "service"]
