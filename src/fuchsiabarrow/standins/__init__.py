"""Small seeded stand-ins for the outside systems, with faults to switch on.

They exist for the demo, the tests and benchmarks/; no entry imports them.
"""

__all__ = ["engines", "faults", "instances", "models", "objects", "services"]
