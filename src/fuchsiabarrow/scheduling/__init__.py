"""Decisions on competing requests: ranks, shares and room. Free of I/O."""

__all__ = ["shares"]
