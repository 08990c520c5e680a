"""Idempotency keys: UUIDv7, whose timestamp selects the journal of the record.

Records are deleted after a retention period, and a call must not run again
after its record was deleted. The timestamp in the key (RFC 9562, section 5.7)
tells whether the record may have been deleted, so an expired key is refused
without a lookup.
"""

import dataclasses
import uuid

import msgspec
import xxhash

from fuchsiabarrow import exceptions

__all__ = [
    "ActionKey",
    "Settings",
    "find_expired_bucket",
    "make_key",
    "name_journal",
    "parse_key",
]

UUID_VERSION = 7
MILLISECONDS_PER_S = 1000
TIMESTAMP_SHIFT = 80


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the idempotency keys; must be the same on all entries.

    Attributes:
        retention_s: Age from which a key is refused.
        skew_s: Maximum time by which a caller's clock may be ahead.
        bucket_s: Length of the time buckets. Keys with a timestamp in the same
            bucket share journals.
        shards: Number of journals per bucket.
    """

    retention_s: float = 86400.0
    skew_s: float = 300.0
    bucket_s: float = 30.0
    shards: int = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ActionKey:
    """A validated idempotency key.

    Attributes:
        text: The key as text; the canonical form if it was parsed.
        digest: Digest of organisation, action and key.
        journal: Name of the journal that holds its record.
    """

    text: str
    digest: str
    journal: str


def parse_key(
    text: str,
    organisation: str,
    action: str,
    now_s: float,
    settings: Settings,
) -> ActionKey:
    """Validates a key and determines its journal.

    Args:
        text: The key as sent.
        organisation: Organisation of the caller.
        action: Name of the action.
        now_s: Wall time in seconds.
        settings: Retention and division into journals.

    Raises:
        IdempotencyKeyError: It is not a UUIDv7, or its timestamp is in the
            future.
        KeyExpiredError: Its record may have been deleted.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != UUID_VERSION:
        raise exceptions.IdempotencyKeyError(
            "the Idempotency-Key must be a UUIDv7 (RFC 9562); create a new key"
            " for each operation and use the same key for its retries"
        )
    issued_at_s = (parsed.int >> TIMESTAMP_SHIFT) / MILLISECONDS_PER_S
    if issued_at_s > now_s + settings.skew_s:
        raise exceptions.IdempotencyKeyError(
            "the timestamp of the Idempotency-Key is in the future; correct the"
            " clock that it was created with, and create a new key"
        )
    if issued_at_s < now_s - settings.retention_s:
        raise exceptions.KeyExpiredError(
            "the Idempotency-Key has expired and its record may have been"
            " deleted, so the call was not sent; check with the service whether"
            " the operation took place, and create a new key if it did not"
        )
    return make_key(str(parsed), organisation, action, issued_at_s, settings)


def make_key(
    text: str,
    organisation: str,
    action: str,
    issued_at_s: float,
    settings: Settings,
) -> ActionKey:
    """Returns the key with its digest and journal."""
    content = msgspec.msgpack.encode((organisation, action, text))
    digest = xxhash.xxh3_128(content)
    bucket = int(issued_at_s // settings.bucket_s)
    shard = digest.intdigest() % settings.shards
    return ActionKey(text, digest.hexdigest(), name_journal(bucket, shard))


def name_journal(bucket: int, shard: int) -> str:
    """Returns the name of a journal.

    Args:
        bucket: Number of the time bucket.
        shard: Number of the journal within the bucket.
    """
    return f"{bucket}-{shard}"


def find_expired_bucket(now_s: float, settings: Settings) -> int:
    """Returns the latest bucket that contains only expired keys.

    Args:
        now_s: Wall time in seconds.
        settings: Retention and division into journals.
    """
    # The margin of `skew_s` covers requests that were accepted at the end of
    # their key's retention and are still running.
    oldest_s = now_s - settings.retention_s - settings.skew_s
    return int(oldest_s // settings.bucket_s) - 1
