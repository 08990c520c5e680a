"""Adapters of the ports to the HTTP protocols of the outside systems."""

__all__ = [
    "engines",
    "instances",
    "objects",
    "orders",
    "probes",
    "services",
    "sessions",
]
