"""JSON merge patches (RFC 7396) against a version of the configuration."""

from typing import Any

import json_merge_patch
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import documents

__all__ = ["apply_patch"]


def apply_patch(
    document: dict[str, Any],
    in_force: int,
    patch: object,
    expected_number: int,
) -> dict[str, Any]:
    """Returns the patched document, validated.

    Args:
        document: The configuration in force, as builtin types.
        in_force: Version number of the configuration in force.
        patch: JSON merge patch.
        expected_number: Version number that the patch was written against.

    Raises:
        VersionMismatchError: Another version is in force.
        ConfigurationError: The patch or its result is invalid.
    """
    if expected_number != in_force:
        raise exceptions.VersionMismatchError(in_force)
    if not isinstance(patch, dict):
        raise exceptions.ConfigurationError(
            "$: the merge patch is not a JSON object; send an object"
        )
    copy = msgspec.json.decode(msgspec.json.encode(document))
    merged = json_merge_patch.merge(copy, patch)
    documents.decode(merged)
    return merged
