"""Runs a forwarding entry from the byte-compiled copy made by build.sh."""

import gc
import os
import pathlib
import signal
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

if __name__ == "__main__":
    # SIGHUP would end the process before it installs its handler, and the
    # imports take most of the start. The settings are read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The imports leave next to no garbage; `main` turns collections on again.
    gc.disable()
    # Replaces the directory of this script, which Python puts first.
    sys.path[0] = str(ROOT / "target" / "app")
    # aiohttp loads all root certificates when it is imported, which takes a
    # tenth of a second. Entries do not use TLS, so they are not needed.
    os.environ["SSL_CERT_FILE"] = os.devnull
    from fuchsiabarrow.commands import forwarding

    forwarding.main()
