"""Typed protocols between the core and each outside system.

An adapter for another protocol implements one of these modules' protocols; the
core imports nothing else of the outside world.
"""

__all__ = ["engines", "instances", "objects", "orders", "services"]
