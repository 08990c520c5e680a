"""Which status codes may end an exchange over HTTP."""

__all__ = ["is_final", "is_interim"]

SWITCHING_PROTOCOLS = 101


def is_final(status: int) -> bool:
    """Returns whether HTTP defines the class of a status as final (200-599).

    Parsers accept any three digits. A server that sends others is in trouble,
    and its answer says nothing about the request.
    """
    return 200 <= status <= 599


def is_interim(status: int) -> bool:
    """Returns whether a final response follows.

    After 101 none does: it is a broken answer unless the request has asked for
    an upgrade.
    """
    return 100 <= status <= 199 and status != SWITCHING_PROTOCOLS
