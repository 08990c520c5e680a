"""Runs an entry from the modules that the build compiled."""

import os
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

if __name__ == "__main__":
    # The folder of this file would come first otherwise.
    sys.path[0] = str(ROOT / "target" / "app")
    # The HTTP library reads all root certificates when it is imported, a tenth
    # of a second; nothing here speaks TLS.
    os.environ["SSL_CERT_FILE"] = os.devnull
    from fuchsiabarrow.commands import routing

    routing.main()
