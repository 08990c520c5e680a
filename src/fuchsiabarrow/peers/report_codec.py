"""Encodes load reports as Cap'n Proto datagrams and decodes them."""

import dataclasses
import enum
import pathlib

import capnp

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import loads as loads_module
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import upstream_limits
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.scheduling import shares as shares_module

__all__ = ["Contact", "Report", "Scope", "decode", "encode"]

MILLISECONDS_PER_S = 1000.0
MILLI = 1000.0
MAX_UINT16 = 2**16 - 1
MAX_UINT32 = 2**32 - 1
# Ages are capped at this, as that of a copy that was never current is infinite.
MAX_AGE_S = 1e6
# Limits that keep a report within one datagram. Of the upstreams, those with
# the most requests are sent.
MAX_LOADS_SENT = 1000
MAX_SUSPECTS_SENT = 32
MAX_CRASHES_SENT = 32
MAX_ANNOUNCEMENTS_SENT = 400
MAX_PART_CRASHES_SENT = 32
MAX_PART_BEGINS_SENT = 32
MAX_REQUEST_CRASHES_SENT = 48
MAX_REQUEST_PROGRESS_SENT = 32

_schema = capnp.load(str(pathlib.Path(__file__).with_name("load_report.capnp")))


class Scope(enum.Enum):
    """What a report covers; the values are those of the schema."""

    ENTRY = "entry"
    DOMAIN = "domain"
    ALL = "all"
    CONTACTS = "contacts"
    EVIDENCE = "evidence"


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """Address of an entry, for other entries to send reports to.

    Attributes:
        name: Name of the entry.
        domain: Its failure domain.
        address: ``ip:port`` for datagrams.
        sequence: Sequence number of its last report that is part of the
            aggregate in the same datagram, 0 for none.
    """

    name: str
    domain: str
    address: str
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Content of one load report.

    Attributes:
        sender: Name of the entry that sent it.
        domain: Its failure domain.
        incarnation: Start time of its process, in milliseconds since the Unix
            epoch.
        sequence: Sequence number of the report within the incarnation.
        scope: What the summary covers.
        summary: Load of the entries that the scope covers.
        contacts: Entries that the receiver may send reports to.
    """

    sender: str
    domain: str
    incarnation: int
    sequence: int
    scope: Scope
    summary: summaries.Summary
    contacts: tuple[Contact, ...] = ()


def encode(report: Report, now_s: float) -> bytes:
    """Encodes a report as a datagram.

    Args:
        report: Report to encode.
        now_s: Loop time, to convert times to ages.
    """
    summary = report.summary
    message = _schema.LoadReport.new_message(
        sender=report.sender,
        domain=report.domain,
        incarnation=report.incarnation,
        sequence=report.sequence,
        scope=report.scope.value,
        entryCount=min(MAX_UINT16, summary.entry_count),
        first=summary.leader_candidate,
    )
    loads = list(summary.loads.items())
    if len(loads) > MAX_LOADS_SENT:
        loads.sort(key=lambda item: -item[1].requests)
        del loads[MAX_LOADS_SENT:]
    message.upstreams = [upstream_hash for upstream_hash, _ in loads]
    message.requests = [min(MAX_UINT16, int(v.requests)) for _, v in loads]
    # The schema calls path_starts "entered" and prefill "reading".
    message.entered = [min(MAX_UINT16, int(v.path_starts)) for _, v in loads]
    message.context = [_clip(v.context) for _, v in loads]
    message.reading = [_clip(v.prefill) for _, v in loads]
    suspects = [
        (upstream_hash, until_s - now_s)
        for upstream_hash, until_s in summary.suspects.items()
        if until_s > now_s
    ][:MAX_SUSPECTS_SENT]
    message.suspects = [upstream_hash for upstream_hash, _ in suspects]
    message.suspectMs = [_clip(s * MILLISECONDS_PER_S) for _, s in suspects]
    crashes = list(summary.crashes.items())[-MAX_CRASHES_SENT:]
    message.crashed = [fingerprint for fingerprint, _ in crashes]
    message.crashes = [min(MAX_UINT16, count) for _, count in crashes]
    message.listInformed = _encode_holders(summary.upstream_list_holders, now_s)
    message.configurationInformed = _encode_holders(
        summary.configuration_holders, now_s
    )
    _encode_part_evidence(message, summary, now_s)
    _encode_request_evidence(message, summary, now_s)
    _encode_announcements(message, summary, now_s)
    if summary.shares:
        _encode_shares(message, summary)
    message.helpers = [
        {
            "address": helper.address,
            "token": helper.token,
            "domain": helper.domain,
            "ageMs": _encode_age_ms(now_s - helper.reached_at_s),
            "hasFault": helper.has_fault,
        }
        for helper in summary.helpers
    ]
    message.contacts = [
        {
            "name": contact.name,
            "domain": contact.domain,
            "address": contact.address,
            "sequence": contact.sequence,
        }
        for contact in report.contacts
    ]
    return message.to_bytes_packed()


def _encode_part_evidence(
    message, summary: summaries.Summary, now_s: float
) -> None:
    crashes = list(summary.part_crashes.items())[:MAX_PART_CRASHES_SENT]
    message.partCrashParts = [key[0] for key, _ in crashes]
    message.partCrashOrganisations = [key[1] for key, _ in crashes]
    message.partCrashUpstreams = [key[2] for key, _ in crashes]
    message.partCrashAgeMs = [
        _clip((now_s - report.at_s) * MILLISECONDS_PER_S)
        for _, report in crashes
    ]
    message.partCrashBlocking = [report.is_blocking for _, report in crashes]
    begins = list(summary.part_begins.items())[:MAX_PART_BEGINS_SENT]
    message.begunParts = [part for part, _ in begins]
    message.begunAgeMs = [
        _clip((now_s - at_s) * MILLISECONDS_PER_S) for _, at_s in begins
    ]


def _encode_request_evidence(
    message, summary: summaries.Summary, now_s: float
) -> None:
    crashes = crash_counts.select_crashes(
        summary.request_crashes, MAX_REQUEST_CRASHES_SENT
    )
    message.requestCrashes = [fingerprint for fingerprint, _ in crashes]
    message.requestCrashIds = [crash_id for _, crash_id in crashes]
    message.requestCrashAgeMs = [
        _clip((now_s - at_s) * MILLISECONDS_PER_S) for at_s in crashes.values()
    ]
    progress = sorted(summary.request_progress.items(), key=lambda p: -p[1])
    del progress[MAX_REQUEST_PROGRESS_SENT:]
    message.progressRequests = [fingerprint for fingerprint, _ in progress]
    message.progressAgeMs = [
        _clip((now_s - at_s) * MILLISECONDS_PER_S) for _, at_s in progress
    ]


def _encode_announcements(
    message, summary: summaries.Summary, now_s: float
) -> None:
    latest = sorted(
        summary.announcements.items(), key=lambda item: -item[1].at_s
    )[:MAX_ANNOUNCEMENTS_SENT]
    message.limitUpstreams = [upstream_hash for upstream_hash, _ in latest]
    message.limitMilli = [
        MAX_UINT32
        if announcement.limit_per_s is None
        else min(MAX_UINT32 - 1, _clip(announcement.limit_per_s * MILLI))
        for _, announcement in latest
    ]
    message.limitAgeMs = [
        _clip((now_s - announcement.at_s) * MILLISECONDS_PER_S)
        for _, announcement in latest
    ]


def _encode_shares(message, summary: summaries.Summary) -> None:
    services = list(shares_module.select_largest(summary.shares).items())
    rows = [
        (index, organisation, row)
        for index, (_, use) in enumerate(services)
        for organisation, row in use.organisations.items()
    ]
    message.shares = {
        "services": [service for service, _ in services],
        "restCounts": [_clip(use.rest_count) for _, use in services],
        "restUsed": [_clip(use.rest.used) for _, use in services],
        "restWanted": [_clip(use.rest.wanted) for _, use in services],
        "rowServices": [index for index, _, _ in rows],
        "organisations": [organisation for _, organisation, _ in rows],
        "used": [_clip(row.used) for _, _, row in rows],
        "wanted": [_clip(row.wanted) for _, _, row in rows],
    }


def _clip(value: float) -> int:
    return min(MAX_UINT32, max(0, int(value)))


def _encode_age_ms(age_s: float) -> int:
    return _clip(min(age_s, MAX_AGE_S) * MILLISECONDS_PER_S)


def _encode_holders(
    holders: tuple[summaries.CopyHolder, ...], now_s: float
) -> list[dict]:
    return [
        {
            "address": entry.address,
            "ageMs": _encode_age_ms(now_s - entry.confirmed_at_s),
        }
        for entry in holders
    ]


def decode(data: bytes, now_s: float) -> Report:
    """Decodes a datagram.

    Args:
        data: Content of the datagram.
        now_s: Loop time, to convert ages to times.

    Raises:
        PeerError: The datagram is not a valid load report.
    """
    try:
        message = _schema.LoadReport.from_bytes_packed(data)
        if not message.sender:
            raise exceptions.PeerError("load report names no sender")
        return Report(
            message.sender,
            message.domain,
            message.incarnation,
            message.sequence,
            Scope(str(message.scope)),
            _decode_summary(message, now_s),
            tuple(
                Contact(c.name, c.domain, c.address, c.sequence)
                for c in message.contacts
            ),
        )
    except (capnp.KjException, ValueError) as error:
        raise exceptions.PeerError(
            f"load report cannot be decoded: {error}"
        ) from error


def _decode_summary(message, now_s: float) -> summaries.Summary:
    rows = zip(
        list(message.upstreams),
        list(message.requests),
        list(message.entered),
        list(message.context),
        list(message.reading),
        strict=True,
    )
    return summaries.Summary(
        message.entryCount,
        message.first,
        {
            upstream_hash: loads_module.Load(
                requests, path_starts, context, prefill
            )
            for upstream_hash, requests, path_starts, context, prefill in rows
        },
        {
            upstream_hash: now_s + remaining_ms / MILLISECONDS_PER_S
            for upstream_hash, remaining_ms in zip(
                message.suspects, message.suspectMs, strict=True
            )
        },
        dict(zip(message.crashed, message.crashes, strict=True)),
        _decode_holders(message.listInformed, now_s),
        _decode_holders(message.configurationInformed, now_s),
        _decode_part_crashes(message, now_s),
        {
            part: now_s - age_ms / MILLISECONDS_PER_S
            for part, age_ms in zip(
                message.begunParts, message.begunAgeMs, strict=True
            )
        },
        _decode_announcements(message, now_s),
        tuple(
            summaries.Helper(
                now_s - helper.ageMs / MILLISECONDS_PER_S,
                helper.address,
                helper.domain,
                helper.token,
                helper.hasFault,
            )
            for helper in message.helpers
        ),
        {
            (fingerprint, crash_id): now_s - age_ms / MILLISECONDS_PER_S
            for fingerprint, crash_id, age_ms in zip(
                list(message.requestCrashes),
                list(message.requestCrashIds),
                list(message.requestCrashAgeMs),
                strict=True,
            )
        },
        {
            fingerprint: now_s - age_ms / MILLISECONDS_PER_S
            for fingerprint, age_ms in zip(
                message.progressRequests, message.progressAgeMs, strict=True
            )
        },
        _decode_shares(message.shares),
    )


def _decode_shares(shares) -> dict[int, shares_module.ServiceUse]:
    services = list(shares.services)
    if not services:
        return {}
    organisations: list[dict[int, shares_module.Use]] = [{} for _ in services]
    rows = zip(
        list(shares.rowServices),
        list(shares.organisations),
        list(shares.used),
        list(shares.wanted),
        strict=True,
    )
    for index, organisation, used, wanted in rows:
        if index >= len(services):
            raise ValueError(
                f"share row names service {index} of a shorter list"
            )
        organisations[index][organisation] = shares_module.Use(used, wanted)
    rests = zip(
        services,
        organisations,
        list(shares.restCounts),
        list(shares.restUsed),
        list(shares.restWanted),
        strict=True,
    )
    return {
        service: shares_module.ServiceUse(
            by_organisation, shares_module.Use(used, wanted), count
        )
        for service, by_organisation, count, used, wanted in rests
    }


def _decode_announcements(
    message, now_s: float
) -> dict[int, upstream_limits.Announcement]:
    rows = zip(
        list(message.limitUpstreams),
        list(message.limitMilli),
        list(message.limitAgeMs),
        strict=True,
    )
    return {
        upstream_hash: upstream_limits.Announcement(
            now_s - age_ms / MILLISECONDS_PER_S,
            None if limit_milli == MAX_UINT32 else limit_milli / MILLI,
        )
        for upstream_hash, limit_milli, age_ms in rows
    }


def _decode_part_crashes(
    message, now_s: float
) -> dict[crashing_parts.CrashKey, crashing_parts.CrashReport]:
    rows = zip(
        list(message.partCrashParts),
        list(message.partCrashOrganisations),
        list(message.partCrashUpstreams),
        list(message.partCrashAgeMs),
        list(message.partCrashBlocking),
        strict=True,
    )
    return {
        (part, organisation, upstream): crashing_parts.CrashReport(
            now_s - age_ms / MILLISECONDS_PER_S, is_blocking
        )
        for part, organisation, upstream, age_ms, is_blocking in rows
    }


def _decode_holders(encoded, now_s: float) -> tuple[summaries.CopyHolder, ...]:
    return tuple(
        summaries.CopyHolder(
            now_s - entry.ageMs / MILLISECONDS_PER_S, entry.address
        )
        for entry in encoded
    )
