"""Micro-kernel: services that are started in order and found by name."""

from fuchsiabarrow.kernel import registry
from fuchsiabarrow.kernel.registry import Kernel

__all__ = ["Kernel", "registry"]
