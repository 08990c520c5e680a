"""Typed interfaces between the core and external systems.

``fuchsiabarrow.adapters`` and ``fuchsiabarrow.platform`` implement the protocol
classes of these modules. ``fuchsiabarrow.forwarding`` and
``fuchsiabarrow.peers`` also open connections of their own, without a port.
"""

__all__ = ["engines", "instances", "objects", "orders", "services"]
