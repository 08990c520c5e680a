"""Micro-kernel: services that are started in order and found by name."""

from fuchsiabarrow.kernel import registry

__all__ = ["registry"]
