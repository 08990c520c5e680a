"""Typed interfaces between the core and external systems.

The packages ``adapters`` and ``platform`` implement the protocol classes of
these modules. The packages ``forwarding`` and ``peers`` also open connections
of their own, without a port.
"""

__all__ = ["engines", "instances", "objects", "orders", "services"]
