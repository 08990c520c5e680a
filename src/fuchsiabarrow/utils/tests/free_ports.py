"""Finds free TCP ports for tests."""

import random
import socket

# Below the ephemeral port range; otherwise an outgoing connection could be
# assigned a port between the check and its use.
FIRST_PORT = 15_000
END_PORT = 32_000


def find_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Returns distinct ports that are free on a loopback address."""
    free_ports = []
    while len(free_ports) < count:
        port = random.randrange(FIRST_PORT, END_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        if port not in free_ports:
            free_ports.append(port)
    return free_ports
