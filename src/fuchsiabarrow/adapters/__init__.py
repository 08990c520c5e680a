"""Adapters of the ports to the HTTP protocols of the external systems."""

__all__ = [
    "engines",
    "instances",
    "objects",
    "orders",
    "probes",
    "services",
    "sessions",
]
