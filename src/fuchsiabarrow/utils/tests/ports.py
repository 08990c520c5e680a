"""Free ports for tests."""

import random
import socket

# Below the ports that the system gives to outgoing connections, one of which
# would otherwise take a port between the look and its use.
FIRST_PORT = 15_000
END_PORT = 32_000


def find_ports(count: int) -> list[int]:
    """Returns free ports of loopback."""
    found = []
    while len(found) < count:
        port = random.randrange(FIRST_PORT, END_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found
