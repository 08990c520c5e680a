"""Runs the program from the source tree, without installing it."""

import pathlib
import sys

SOURCES = pathlib.Path(__file__).resolve().parent.parent / "src"

if __name__ == "__main__":
    # The folder of this file would come first otherwise.
    sys.path[0] = str(SOURCES)
    from fuchsiabarrow.commands import program

    program.main()
