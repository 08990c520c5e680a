"""Authenticates organisations and operators by their bearer keys."""

import aiohttp.web

from fuchsiabarrow.configuration import documents

__all__ = ["KeyIndex", "compute_key_digest", "find_operator"]

BEARER_PREFIX = "Bearer "
# Longer Authorization headers are rejected without hashing the key.
MAX_HEADER_LENGTH = 512


def compute_key_digest(request: aiohttp.web.BaseRequest) -> str | None:
    """Returns the digest of the bearer key, None if missing or malformed."""
    header = request.headers.get("Authorization", "")
    if not header.startswith(BEARER_PREFIX) or len(header) > MAX_HEADER_LENGTH:
        return None
    if not header.isascii():
        # Valid keys are ASCII. Other bytes may be invalid UTF-8, which the
        # header holds as surrogates that cannot be encoded for hashing.
        return None
    return documents.hash_key(header[len(BEARER_PREFIX) :])


class KeyIndex:
    """Maps key digests to organisations, of which there may be thousands."""

    def __init__(self):
        self._names_by_digest: dict[str, str] = {}
        self._organisations: dict[str, documents.Organisation] = {}

    def update(self, configuration: documents.Configuration) -> None:
        """Rebuilds the index from the organisations of a configuration."""
        self._organisations = configuration.organisations
        self._names_by_digest = {
            digest: name
            for name, organisation in configuration.organisations.items()
            for digest in organisation.key_sha256
        }

    def find(
        self, digest: str | None
    ) -> tuple[str, documents.Organisation] | None:
        """Returns the name and document of the organisation that has a key."""
        if digest is None:
            return None
        name = self._names_by_digest.get(digest)
        if name is None:
            return None
        organisation = self._organisations[name]
        # The dictionary only selects a candidate; the comparison with its
        # digests takes constant time.
        if not documents.matches_key(digest, organisation.key_sha256):
            return None
        return name, organisation


def find_operator(
    digest: str | None,
    configuration: documents.Configuration,
    bootstrap_digest: str,
) -> str | None:
    """Returns the name of the operator that has a key, None if none has it.

    Args:
        digest: Digest of the key, None if it is missing or malformed.
        configuration: Configuration in force.
        bootstrap_digest: Digest of the key that is accepted whatever the
            configuration says, as operator ``bootstrap``; empty for none.
    """
    if digest is None:
        return None
    if bootstrap_digest and documents.matches_key(digest, [bootstrap_digest]):
        return "bootstrap"
    found = None
    for name, operator in configuration.operators.items():
        if documents.matches_key(digest, operator.key_sha256):
            found = name
    return found
