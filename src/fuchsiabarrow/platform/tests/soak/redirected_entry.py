"""Runs an entry that reaches upstreams through proxies of its own.

Each entry has its own proxies, so that a fault can affect the links of one
entry. Entries pass the addresses of upstreams on to each other, therefore all
get the same addresses, at `UPSTREAM_HOST`, where nothing listens.
"""

import faulthandler
import os
import signal

__all__ = ["PROXY_HOST_VARIABLE", "UPSTREAM_HOST"]

UPSTREAM_HOST = "127.2.0.1"
# Host of the proxies of an entry; their ports are those of the addresses.
PROXY_HOST_VARIABLE = "FUCHSIABARROW_SOAK_PROXY_HOST"


def _redirect_connections(proxy_host: str) -> None:
    """Makes the event loop connect to proxies instead of upstreams."""
    import uvloop

    connect = uvloop.Loop.create_connection
    connect_socket = uvloop.Loop.sock_connect

    async def create_connection(
        loop, protocol_factory, host=None, port=None, **options
    ):
        if host == UPSTREAM_HOST:
            host = proxy_host
        return await connect(loop, protocol_factory, host, port, **options)

    async def sock_connect(loop, sock, address):
        if address[0] == UPSTREAM_HOST:
            address = (proxy_host, *address[1:])
        return await connect_socket(loop, sock, address)

    uvloop.Loop.create_connection = create_connection
    uvloop.Loop.sock_connect = sock_connect


def main() -> None:
    """Runs the command line of the package."""
    # As in `fuchsiabarrow.__main__`, before the imports.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # For the stack of a process that does not exit, see `scenario`.
    faulthandler.register(signal.SIGUSR1)
    _redirect_connections(os.environ[PROXY_HOST_VARIABLE])
    from fuchsiabarrow import __main__ as program

    program.main()


if __name__ == "__main__":
    main()
