"""Decisions on competing requests when capacity is short; without I/O."""

__all__ = ["admission", "ranks", "room", "shares", "waiting"]
