"""Placement of model layers on instances: plan and load orders."""

__all__ = ["plans", "service"]
