"""Bearer keys of organisations and operators."""

import aiohttp.web

from fuchsiabarrow.configuration import documents

__all__ = ["KeyIndex", "find_operator", "get_digest"]

PREFIX = "Bearer "
# Keys longer than this are not hashed.
MAX_KEY_LENGTH = 512


def get_digest(request: aiohttp.web.BaseRequest) -> str | None:
    """Returns the digest of the bearer key of a request, None without one."""
    header = request.headers.get("Authorization", "")
    if not header.startswith(PREFIX) or len(header) > MAX_KEY_LENGTH:
        return None
    if not header.isascii():
        # No key has such bytes, and they may be no text at all.
        return None
    return documents.hash_key(header[len(PREFIX) :])


class KeyIndex:
    """Finds the organisation of a key among thousands."""

    def __init__(self):
        self._names: dict[str, str] = {}
        self._organisations: dict[str, documents.Organisation] = {}

    def change(self, configuration: documents.Configuration) -> None:
        """Takes over the organisations of another configuration."""
        self._organisations = configuration.organisations
        self._names = {
            digest: name
            for name, organisation in configuration.organisations.items()
            for digest in organisation.key_sha256
        }

    def find(
        self, digest: str | None
    ) -> tuple[str, documents.Organisation] | None:
        """Returns the name and document of the organisation of a key."""
        if digest is None:
            return None
        name = self._names.get(digest)
        if name is None:
            return None
        organisation = self._organisations[name]
        # The index narrows by digest only; the comparison takes constant time.
        if not documents.matches_key(digest, organisation.key_sha256):
            return None
        return name, organisation


def find_operator(
    digest: str | None,
    configuration: documents.Configuration,
    bootstrap_digest: str,
) -> str | None:
    """Returns the name of the operator of a key, None if there is none."""
    if digest is None:
        return None
    if bootstrap_digest and documents.matches_key(digest, [bootstrap_digest]):
        return "bootstrap"
    found = None
    for name, operator in configuration.operators.items():
        if documents.matches_key(digest, operator.key_sha256):
            found = name
    return found
