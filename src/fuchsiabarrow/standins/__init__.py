"""Simulated external systems with fault injection.

The demo, the tests and the benchmarks use them; an entry (a router process)
never imports them.
The simulated engines give the same answer to a prompt in every run.
"""

__all__ = ["engines", "faults", "instances", "models", "objects", "services"]
