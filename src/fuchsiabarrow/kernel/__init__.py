"""Service container: starts services in order, looks them up by name."""

from fuchsiabarrow.kernel import registry

__all__ = ["registry"]
