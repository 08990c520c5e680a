"""Load of one entry, and aggregates over several entries. Free of I/O."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from fuchsiabarrow.fleet import loads as loads_module
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import upstream_limits
from fuchsiabarrow.scheduling import shares as shares_module

__all__ = ["CopyHolder", "Helper", "Summary", "merge", "subtract"]

# Maximum number of entries that an aggregate names as holders of recent copies.
MAX_COPY_HOLDERS = 4
# Maximum number of helpers of one failure domain that an aggregate names. Of
# those without a fault, the ones that reached an upstream last come first, so
# that they vary with the load.
MAX_HELPERS_PER_DOMAIN = 3


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class CopyHolder:
    """An entry that holds a copy of a collection, such as the upstream list.

    Attributes:
        confirmed_at_s: Loop time at which its copy was last known to be
            current.
        address: ``ip:port`` of the entry.
    """

    confirmed_at_s: float
    address: str


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Helper:
    """An entry that connects to upstreams for entries that cannot.

    Attributes:
        reached_at_s: Loop time at which it last connected to an upstream.
        address: ``ip:port`` on which it accepts tunnels.
        domain: Its failure domain.
        token: Number that a tunnel to it must present; only entries know it.
        has_fault: Whether some of its own links may be cut.
    """

    reached_at_s: float
    address: str
    domain: str
    token: int
    has_fault: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """Load of one entry, or aggregate over several.

    Attributes:
        entry_count: Number of entries that it covers.
        leader_candidate: First by name of the entries that are eligible as
            leader, empty if none is.
        loads: Work in flight by the hash of the upstream.
        suspects: Loop times until which upstreams are avoided, by their hash.
        crashes: Number of upstream crashes that these entries saw, by the
            fingerprint of the request; read by earlier versions only.
        upstream_list_holders: Entries with the most recent list of upstreams.
        configuration_holders: Entries with the most recent configuration.
        part_crashes: Known crashes of upstreams under parts of prompts.
        part_begins: When answers began on parts that others suspect.
        announcements: Rate limits that upstreams announced, by their hash.
        helpers: Entries that connect to upstreams for others.
        request_crashes: Known crashes of upstreams under requests, with their
            loop times.
        request_progress: When requests made progress after such crashes, by
            the fingerprint of the request.
        shares: Context tokens by organisation, by the hash of the service.
    """

    entry_count: int
    leader_candidate: str = ""
    loads: Mapping[int, loads_module.Load] = dataclasses.field(
        default_factory=dict
    )
    suspects: Mapping[int, float] = dataclasses.field(default_factory=dict)
    crashes: Mapping[int, int] = dataclasses.field(default_factory=dict)
    upstream_list_holders: tuple[CopyHolder, ...] = ()
    configuration_holders: tuple[CopyHolder, ...] = ()
    part_crashes: Mapping[
        crashing_parts.CrashKey, crashing_parts.CrashReport
    ] = dataclasses.field(default_factory=dict)
    part_begins: Mapping[int, float] = dataclasses.field(default_factory=dict)
    announcements: Mapping[int, upstream_limits.Announcement] = (
        dataclasses.field(default_factory=dict)
    )
    helpers: tuple[Helper, ...] = ()
    request_crashes: Mapping[crash_counts.CrashKey, float] = dataclasses.field(
        default_factory=dict
    )
    request_progress: Mapping[int, float] = dataclasses.field(
        default_factory=dict
    )
    shares: Mapping[int, shares_module.ServiceUse] = dataclasses.field(
        default_factory=dict
    )


def merge(summaries: Iterable[Summary]) -> Summary:
    """Returns the aggregate of several summaries."""
    parts = list(summaries)
    totals: dict[int, loads_module.Load] = {}
    suspects: dict[int, float] = {}
    crashes: dict[int, int] = {}
    progress: dict[int, float] = {}
    for part in parts:
        for upstream_hash, load in part.loads.items():
            totals[upstream_hash] = totals.get(
                upstream_hash, loads_module.IDLE
            ).add(load)
        for upstream_hash, until_s in part.suspects.items():
            suspects[upstream_hash] = max(
                until_s, suspects.get(upstream_hash, until_s)
            )
        for fingerprint, count in part.crashes.items():
            crashes[fingerprint] = crashes.get(fingerprint, 0) + count
        for fingerprint, at_s in part.request_progress.items():
            progress[fingerprint] = max(at_s, progress.get(fingerprint, at_s))
    return Summary(
        sum(part.entry_count for part in parts),
        min(
            (part.leader_candidate for part in parts if part.leader_candidate),
            default="",
        ),
        totals,
        suspects,
        crashes,
        _select_freshest(part.upstream_list_holders for part in parts),
        _select_freshest(part.configuration_holders for part in parts),
        crashing_parts.merge_crashes(part.part_crashes for part in parts),
        crashing_parts.merge_begins(part.part_begins for part in parts),
        upstream_limits.merge_announcements(
            part.announcements for part in parts
        ),
        _select_helpers(part.helpers for part in parts),
        crash_counts.merge_crashes(part.request_crashes for part in parts),
        progress,
        shares_module.merge_uses(part.shares for part in parts),
    )


def _select_freshest(
    groups: Iterable[tuple[CopyHolder, ...]],
) -> tuple[CopyHolder, ...]:
    ordered = sorted(
        (holder for part in groups for holder in part), reverse=True
    )
    return tuple(ordered[:MAX_COPY_HOLDERS])


def _select_helpers(
    groups: Iterable[tuple[Helper, ...]],
) -> tuple[Helper, ...]:
    by_domain: dict[str, list[Helper]] = {}
    helpers = [helper for part in groups for helper in part]
    helpers.sort(key=lambda helper: (helper.has_fault, -helper.reached_at_s))
    for helper in helpers:
        selected = by_domain.setdefault(helper.domain, [])
        if len(selected) < MAX_HELPERS_PER_DOMAIN:
            selected.append(helper)
    return tuple(h for selected in by_domain.values() for h in selected)


def subtract(total: Summary, part: Summary) -> Summary:
    """Returns an aggregate less the sums that one part contributed."""
    remaining = dict(total.loads)
    for upstream_hash, load in part.loads.items():
        known = remaining.get(upstream_hash)
        if known is None:
            continue
        difference = known.add(load, -1)
        if difference.requests > 0 or difference.prefill > 0:
            remaining[upstream_hash] = difference
        else:
            del remaining[upstream_hash]
    crashes = {
        fingerprint: difference
        for fingerprint, count in total.crashes.items()
        if (difference := count - part.crashes.get(fingerprint, 0)) > 0
    }
    return dataclasses.replace(
        total,
        loads=remaining,
        crashes=crashes,
        shares=shares_module.subtract_uses(total.shares, part.shares),
    )
