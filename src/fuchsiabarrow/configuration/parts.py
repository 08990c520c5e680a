"""Division of a configuration into immutable parts below a numbered head.

At 8,900 organisations a configuration outgrows one object of a megabyte, and
each change would send all of it to every entry. It is kept as parts named by
the digest of their content, and a head that lists them. Accepting a version is
one conditional write of the head; an entry fetches only the parts it lacks.
"""

import hashlib
from typing import Any

import msgspec
import xxhash

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import documents

__all__ = [
    "EMPTY_HEAD",
    "Head",
    "PartCache",
    "compute_digest",
    "join_parts",
    "make_head",
    "split_document",
]

# Part that holds all sections but the organisations.
BASE_PART = "base"
# Organisations are divided by a hash of their name.
ORGANISATION_PARTS = 32
# Versions whose nonces a head keeps; a writer whose answer was lost finds its
# own among them, also after others have patched on top of it.
RECENT_NONCES = 64


class Head(msgspec.Struct, frozen=True):
    """The numbered list of a configuration's parts.

    Attributes:
        number: Number of the configuration; the first is 1.
        parts: Digest of each part, by part name.
        nonce: Mark of the write, to recognise one's own after a lost answer.
        author: Operator who wrote it.
        recent: Nonces of the latest versions by number, this one included.
    """

    number: int
    parts: dict[str, str]
    nonce: str = ""
    author: str = ""
    recent: dict[int, str] = {}


# The head before the first accepted configuration.
EMPTY_HEAD = Head(0, {})


def split_document(document: dict[str, Any]) -> dict[str, bytes]:
    """Returns the encoded parts of a configuration, by part name."""
    sections = {k: v for k, v in document.items() if k != "organisations"}
    parts = {BASE_PART: sections}
    for name, organisation in document.get("organisations", {}).items():
        index = xxhash.xxh3_64_intdigest(name.encode()) % ORGANISATION_PARTS
        part = parts.setdefault(f"organisations-{index}", {})
        part[name] = organisation
    encoder = msgspec.json.Encoder(order="deterministic")
    return {name: encoder.encode(part) for name, part in parts.items()}


def compute_digest(part: bytes) -> str:
    """Returns the name under which a part is stored."""
    return hashlib.sha256(part).hexdigest()


def make_head(
    previous: Head, parts: dict[str, bytes], nonce: str, author: str
) -> Head:
    """Returns the head that follows another, with these parts."""
    number = previous.number + 1
    digests = {name: compute_digest(part) for name, part in parts.items()}
    recent = {**previous.recent, number: nonce}
    kept = sorted(recent)[-RECENT_NONCES:]
    return Head(
        number, digests, nonce, author, {key: recent[key] for key in kept}
    )


class PartCache:
    """Decodes the parts of successive configurations, each part once.

    Most changes touch one part; decoding all of 8,900 organisations anew would
    hold up the loop for longer than the time between two tokens.
    """

    def __init__(self):
        self._organisations: dict[str, dict[str, documents.Organisation]] = {}
        self._base_digest = ""

    def decode(
        self, head: Head, parts: dict[str, bytes]
    ) -> documents.Configuration:
        """Returns the typed configuration of a head.

        Args:
            head: The head.
            parts: Content by digest.

        Raises:
            ConfigurationError: A part is altered or invalid.
        """
        base_digest = head.parts[BASE_PART]
        base = documents.decode(_decode_part(head, BASE_PART, parts))
        is_same_base = base_digest == self._base_digest
        known = self._organisations if is_same_base else {}
        decoded = {}
        for name, digest in head.parts.items():
            if name == BASE_PART:
                continue
            found = known.get(digest)
            if found is None:
                found = documents.decode_organisations(
                    _decode_part(head, name, parts)
                )
                documents.check_organisations(found, base)
            decoded[digest] = found
        self._organisations = decoded
        self._base_digest = base_digest
        merged: dict[str, documents.Organisation] = {}
        for found in decoded.values():
            merged.update(found)
        return msgspec.structs.replace(base, organisations=merged)


def _decode_part(
    head: Head, name: str, parts: dict[str, bytes]
) -> dict[str, Any]:
    digest = head.parts[name]
    part = parts[digest]
    if compute_digest(part) != digest:
        raise exceptions.ConfigurationError(
            f"part {name} of configuration {head.number} was altered in the"
            " store; restore the object or patch again"
        )
    return msgspec.json.decode(part)


def join_parts(head: Head, parts: dict[str, bytes]) -> dict[str, Any]:
    """Returns the document whose parts a head lists.

    Args:
        head: The head.
        parts: Content by digest.

    Raises:
        ConfigurationError: A part's content does not match its digest.
    """
    organisations: dict[str, Any] = {}
    document: dict[str, Any] = {}
    for name in head.parts:  # None before the first configuration.
        found = _decode_part(head, name, parts)
        if name == BASE_PART:
            document.update(found)
        else:
            organisations.update(found)
    document["organisations"] = organisations
    return document
