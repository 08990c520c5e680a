"""The command line."""

from fuchsiabarrow.commands.program import main

__all__ = ["main"]
