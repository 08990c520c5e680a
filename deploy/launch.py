"""Runs an entry from the modules that the build compiled."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

if __name__ == "__main__":
    # The folder of this file would come first otherwise.
    sys.path[0] = str(ROOT / "target" / "app")
    from fuchsiabarrow.commands import routing

    routing.main()
