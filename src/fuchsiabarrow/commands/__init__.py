"""Command-line interface."""

__all__ = ["program"]
