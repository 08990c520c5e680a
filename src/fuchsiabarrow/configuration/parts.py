"""Division of a configuration into immutable parts and a versioned head.

With 8,900 organisations a configuration exceeds the object size limit of one
megabyte, and each change would send all of it to every entry. It is therefore
stored as content-addressed parts, named by their digests, and a head that lists
them. One conditional write of the head commits a new version, and an entry
fetches only the parts that it lacks.
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

# Name of the part that holds all sections except the organisations.
BASE_PART = "base"
# Number of parts over which organisations are spread by a hash of their name.
ORGANISATION_PARTS = 32
# Number of versions whose nonces a head keeps. If the response to a write was
# lost, the writer finds its own nonce among them even after later patches.
RECENT_NONCES = 64


class Head(msgspec.Struct, frozen=True):
    """List of the parts of one version of the configuration.

    Attributes:
        number: Version number of the configuration; the first is 1.
        parts: Digest of each part, by part name.
        nonce: Unique identifier of the write, by which the writer recognises
            its own write if the response was lost.
        author: Operator who wrote it.
        recent: Nonces of the latest versions by number, including this one.
    """

    number: int
    parts: dict[str, str]
    nonce: str = ""
    author: str = ""
    recent: dict[int, str] = {}


# Head before the first configuration is accepted.
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
    """Returns the content digest under which a part is stored."""
    return hashlib.sha256(part).hexdigest()


def make_head(
    previous: Head, parts: dict[str, bytes], nonce: str, author: str
) -> Head:
    """Returns the head of the version after `previous`."""
    number = previous.number + 1
    digests = {name: compute_digest(part) for name, part in parts.items()}
    recent = {**previous.recent, number: nonce}
    kept = sorted(recent)[-RECENT_NONCES:]
    return Head(
        number, digests, nonce, author, {key: recent[key] for key in kept}
    )


class PartCache:
    """Decodes successive configurations, reusing unchanged organisation parts.

    Most changes touch one part. Decoding all 8,900 organisations again would
    block the event loop for longer than the time between two tokens of a
    stream.

    Organisations are validated against the base part, so all of them are
    decoded again when it changes.
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
            parts: Content of the parts, by digest.

        Raises:
            ConfigurationError: A part does not match its digest or is invalid.
        """
        base_digest = head.parts[BASE_PART]
        base = documents.decode(_decode_part(head, BASE_PART, parts))
        is_same_base = base_digest == self._base_digest
        reusable = self._organisations if is_same_base else {}
        decoded = {}
        for name, digest in head.parts.items():
            if name == BASE_PART:
                continue
            organisations = reusable.get(digest)
            if organisations is None:
                organisations = documents.decode_organisations(
                    _decode_part(head, name, parts)
                )
                documents.check_organisations(organisations, base)
            decoded[digest] = organisations
        self._organisations = decoded
        self._base_digest = base_digest
        merged: dict[str, documents.Organisation] = {}
        for organisations in decoded.values():
            merged.update(organisations)
        return msgspec.structs.replace(base, organisations=merged)


def _decode_part(
    head: Head, name: str, parts: dict[str, bytes]
) -> dict[str, Any]:
    digest = head.parts[name]
    part = parts[digest]
    if compute_digest(part) != digest:
        raise exceptions.ConfigurationError(
            f"part {name} of configuration {head.number} does not match its"
            " digest: it was altered in the object store; restore the object"
            " or send the patch again"
        )
    return msgspec.json.decode(part)


def join_parts(head: Head, parts: dict[str, bytes]) -> dict[str, Any]:
    """Returns the document that consists of the parts of a head.

    Args:
        head: The head.
        parts: Content of the parts, by digest.

    Raises:
        ConfigurationError: A part's content does not match its digest.
    """
    organisations: dict[str, Any] = {}
    document: dict[str, Any] = {}
    for name in head.parts:  # Empty before the first configuration.
        content = _decode_part(head, name, parts)
        if name == BASE_PART:
            document.update(content)
        else:
            organisations.update(content)
    document["organisations"] = organisations
    return document
