"""The command line."""

from fuchsiabarrow.commands import program

__all__ = ["program"]
