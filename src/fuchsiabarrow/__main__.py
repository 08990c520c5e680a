"""Runs the command line as ``python -m fuchsiabarrow``."""

from fuchsiabarrow import commands

if __name__ == "__main__":
    commands.main()
