"""Addresses of the form ``ip:port``."""

import ipaddress

__all__ = ["parse_address"]

MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int]:
    """Returns the IP address and port of ``ip:port``.

    Raises:
        ValueError: The text is not an IP address and a port.
    """
    host, _, port = text.rpartition(":")
    host = host.strip("[]")
    ipaddress.ip_address(host)
    if not port.isdecimal() or int(port) > MAX_PORT:
        raise ValueError(f"{text!r} has no port from 0 to {MAX_PORT}")
    return host, int(port)
