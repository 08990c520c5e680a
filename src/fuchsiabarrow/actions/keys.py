"""Idempotency keys: UUIDv7, whose time names the journal of their record.

A record cannot be kept for ever, and a key whose record is gone must not run
again. The time inside the key tells whether its record may be gone already, so
an old key is refused without a record (RFC 9562, section 5.7).
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
    """Settings of the keys; the same on all entries.

    Attributes:
        retention_s: Age from which a key is refused.
        skew_s: Largest advance of a caller's clock.
        bucket_s: Span of key times that share journals.
        shards: Journals of each span.
    """

    retention_s: float = 86400.0
    skew_s: float = 300.0
    bucket_s: float = 30.0
    shards: int = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ActionKey:
    """A checked idempotency key.

    Attributes:
        text: The key as sent.
        digest: Identifies organisation, action and key together.
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
    """Checks a key and finds its journal.

    Args:
        text: The key as sent.
        organisation: Organisation of the caller.
        action: Action that it is for.
        now_s: Wall time in seconds.
        settings: Retention and journals.

    Raises:
        KeyFormatError: It is not a UUIDv7, or its time is ahead.
        KeyExpiredError: Its record may be gone.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != UUID_VERSION:
        raise exceptions.KeyFormatError(
            "the Idempotency-Key must be a UUIDv7 (RFC 9562); make one for"
            " each booking and send it again with each resend"
        )
    issued_at_s = (parsed.int >> TIMESTAMP_SHIFT) / MILLISECONDS_PER_S
    if issued_at_s > now_s + settings.skew_s:
        raise exceptions.KeyFormatError(
            "the time in the Idempotency-Key is ahead; set the clock that"
            " made it and make a new key"
        )
    if issued_at_s < now_s - settings.retention_s:
        raise exceptions.KeyExpiredError(
            "the record of this Idempotency-Key may be gone, so the call is"
            " not sent; look up the booking, or make a new key"
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
        bucket: Number of the span of key times.
        shard: Number of the journal within the span.
    """
    return f"{bucket}-{shard}"


def find_expired_bucket(now_s: float, settings: Settings) -> int:
    """Returns the latest bucket all of whose keys are refused for their age.

    Args:
        now_s: Wall time in seconds.
        settings: Retention and journals.
    """
    # A key at the end of its retention may still be under way.
    oldest_s = now_s - settings.retention_s - settings.skew_s
    return int(oldest_s // settings.bucket_s) - 1
