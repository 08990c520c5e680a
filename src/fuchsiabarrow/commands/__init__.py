"""The command line."""

__all__ = ["program"]
