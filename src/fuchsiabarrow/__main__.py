"""Entry point of ``python -m fuchsiabarrow`` and of the installed script."""

import signal
import sys

__all__ = ["main"]

# Commands that reload their settings on SIGHUP.
RELOADING_COMMANDS = ("route",)


def main() -> None:
    """Runs the command line."""
    if sys.argv[1:] and sys.argv[1] in RELOADING_COMMANDS:
        # SIGHUP would end the process before it installs its handler, and the
        # imports take most of the start. The settings are read after them.
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from fuchsiabarrow.commands import program

    program.main()


if __name__ == "__main__":
    main()
