"""Typed interfaces between the core and each external system.

An adapter implements the protocol classes of one of these modules for one wire
protocol. The core depends on external systems through these modules only.
"""

__all__ = ["engines", "instances", "objects", "orders", "services"]
