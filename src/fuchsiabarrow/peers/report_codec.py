"""Load reports as datagrams."""

import dataclasses
import enum
import pathlib

import capnp

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import loads as loads_module
from fuchsiabarrow.peers import summaries

__all__ = ["Contact", "Report", "Scope", "decode", "encode"]

MILLISECONDS_PER_S = 1000.0
MAX_UINT16 = 2**16 - 1
MAX_UINT32 = 2**32 - 1
MAX_AGE_S = 1e6
# Upstreams told in one report, those with most requests first, so that it fits
# in one datagram.
MAX_LOADS_TOLD = 1000
MAX_SUSPECTS_TOLD = 32
MAX_CRASHES_TOLD = 32

_schema = capnp.load(str(pathlib.Path(__file__).with_name("load_report.capnp")))


class Scope(enum.Enum):
    """What a report sums up; the values are those of the schema."""

    ENTRY = "entry"
    DOMAIN = "domain"
    ALL = "all"
    CONTACTS = "contacts"


@dataclasses.dataclass(frozen=True, slots=True)
class Contact:
    """An entry that another one may write to.

    Attributes:
        name: Its name.
        domain: Its failure domain.
        address: ``ip:port`` for datagrams.
        sequence: Number of its last report that is part of the sum told with
            it, 0 for none.
    """

    name: str
    domain: str
    address: str
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """One datagram.

    Attributes:
        sender: Name of the entry that sent it.
        domain: Its failure domain.
        incarnation: Its start, in milliseconds since the Unix epoch.
        sequence: Number of the report.
        scope: What the summary is of.
        summary: What is told.
        contacts: Entries that the receiver may write to.
    """

    sender: str
    domain: str
    incarnation: int
    sequence: int
    scope: Scope
    summary: summaries.Summary
    contacts: tuple[Contact, ...] = ()


def encode(report: Report, now_s: float) -> bytes:
    """Returns a report as a datagram.

    Args:
        report: The report.
        now_s: Loop time, to turn times into ages.
    """
    summary = report.summary
    message = _schema.LoadReport.new_message(
        sender=report.sender,
        domain=report.domain,
        incarnation=report.incarnation,
        sequence=report.sequence,
        scope=report.scope.value,
        entryCount=min(MAX_UINT16, summary.entry_count),
        first=summary.first,
    )
    told = list(summary.loads.items())
    if len(told) > MAX_LOADS_TOLD:
        told.sort(key=lambda item: -item[1].requests)
        del told[MAX_LOADS_TOLD:]
    message.upstreams = [mark for mark, _ in told]
    message.requests = [min(MAX_UINT16, int(v.requests)) for _, v in told]
    message.entered = [min(MAX_UINT16, int(v.entered)) for _, v in told]
    message.context = [_clip(v.context) for _, v in told]
    message.reading = [_clip(v.reading) for _, v in told]
    suspects = [
        (mark, until_s - now_s)
        for mark, until_s in summary.suspects.items()
        if until_s > now_s
    ][:MAX_SUSPECTS_TOLD]
    message.suspects = [mark for mark, _ in suspects]
    message.suspectMs = [_clip(s * MILLISECONDS_PER_S) for _, s in suspects]
    crashes = list(summary.crashes.items())[-MAX_CRASHES_TOLD:]
    message.crashed = [fingerprint for fingerprint, _ in crashes]
    message.crashes = [min(MAX_UINT16, count) for _, count in crashes]
    message.listInformed = _encode_informed(summary.list_informed, now_s)
    message.configurationInformed = _encode_informed(
        summary.configuration_informed, now_s
    )
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


def _clip(value: float) -> int:
    return min(MAX_UINT32, max(0, int(value)))


def _encode_informed(
    informed: tuple[summaries.Informed, ...], now_s: float
) -> list[dict]:
    return [
        {
            "address": entry.address,
            "ageMs": _clip(
                min(now_s - entry.current_s, MAX_AGE_S) * MILLISECONDS_PER_S
            ),
        }
        for entry in informed
    ]


def decode(data: bytes, now_s: float) -> Report:
    """Returns the report of a datagram.

    Args:
        data: The datagram.
        now_s: Loop time, to turn ages into times.

    Raises:
        PeerError: It is none.
    """
    try:
        message = _schema.LoadReport.from_bytes_packed(data)
        if not message.sender:
            raise exceptions.PeerError("a load report without sender")
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
            f"a load report that cannot be read: {error}"
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
            mark: loads_module.Load(requests, entered, context, reading)
            for mark, requests, entered, context, reading in rows
        },
        {
            mark: now_s + left_ms / MILLISECONDS_PER_S
            for mark, left_ms in zip(
                message.suspects, message.suspectMs, strict=True
            )
        },
        dict(zip(message.crashed, message.crashes, strict=True)),
        _decode_informed(message.listInformed, now_s),
        _decode_informed(message.configurationInformed, now_s),
    )


def _decode_informed(found, now_s: float) -> tuple[summaries.Informed, ...]:
    return tuple(
        summaries.Informed(
            now_s - entry.ageMs / MILLISECONDS_PER_S, entry.address
        )
        for entry in found
    )
