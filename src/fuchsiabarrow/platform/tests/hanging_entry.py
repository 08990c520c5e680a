"""Runs an entry of which one service does not end when it is closed."""

import asyncio

from fuchsiabarrow import __main__ as program
from fuchsiabarrow.peers import tunnels


async def _hang(server, *details) -> None:
    await asyncio.Event().wait()


if __name__ == "__main__":
    tunnels.TunnelServer.__aexit__ = _hang
    program.main()
