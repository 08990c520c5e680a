"""Ids of stream events, with which a caller resumes a stream.

An id contains the request id, the number of tokens sent so far and a digest of
them. An entry (router process) that regenerates the stream compares the digest
before it resumes, so that no token is sent twice or differs from the one sent
before.
"""

import dataclasses

import xxhash

__all__ = ["EventId", "TokenDigest", "format_id", "parse_id"]

TOKEN_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class EventId:
    """A position in a stream.

    Attributes:
        request_id: Id of the request of the stream.
        count: Number of tokens sent so far.
        digest: Digest of these tokens.
    """

    request_id: str
    count: int
    digest: int


class TokenDigest:
    """Running digest of the tokens of a stream."""

    def __init__(self):
        self._hasher = xxhash.xxh3_64()

    def add(self, token: int) -> int:
        """Adds a token and returns the digest of all tokens up to it."""
        self._hasher.update(token.to_bytes(TOKEN_BYTES, "big"))
        return self._hasher.intdigest()


def format_id(event_id: EventId) -> str:
    """Returns the text form of an id.

    Example:
        >>> format_id(EventId("e1-5f", 3, 0xab12))
        'e1-5f.3.ab12'
    """
    return f"{event_id.request_id}.{event_id.count}.{event_id.digest:x}"


def parse_id(text: str) -> EventId | None:
    """Returns the id that a text contains, None if it is malformed."""
    pieces = text.split(".")
    if len(pieces) != 3 or not pieces[1].isdecimal():
        return None
    try:
        digest = int(pieces[2], 16)
    except ValueError:
        return None
    return EventId(pieces[0], int(pieces[1]), digest)
