"""What entries tell each other of their work, and sums of it. Free of I/O."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from fuchsiabarrow.fleet import loads as loads_module

__all__ = ["Informed", "Summary", "merge", "subtract"]

# Best informed entries named in a sum.
MAX_INFORMED = 4


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Informed:
    """An entry that knows something.

    Attributes:
        current_s: Loop time at which its knowledge was current.
        address: ``ip:port`` of the entry.
    """

    current_s: float
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """What one entry, or some together, tell.

    Attributes:
        entry_count: Entries that it is of.
        first: First by name of those that can perform common duties, empty if
            none can.
        loads: Work in flight by the mark of the upstream.
        suspects: Loop times until which upstreams are avoided, by mark.
        crashes: Crashes by the fingerprint of the request.
        list_informed: Entries with the youngest list of upstreams.
        configuration_informed: Entries with the youngest configuration.
    """

    entry_count: int
    first: str = ""
    loads: Mapping[int, loads_module.Load] = dataclasses.field(
        default_factory=dict
    )
    suspects: Mapping[int, float] = dataclasses.field(default_factory=dict)
    crashes: Mapping[int, int] = dataclasses.field(default_factory=dict)
    list_informed: tuple[Informed, ...] = ()
    configuration_informed: tuple[Informed, ...] = ()


def merge(summaries: Iterable[Summary]) -> Summary:
    """Returns the sum of what several entries tell."""
    parts = list(summaries)
    totals: dict[int, loads_module.Load] = {}
    suspects: dict[int, float] = {}
    crashes: dict[int, int] = {}
    for part in parts:
        for mark, load in part.loads.items():
            totals[mark] = totals.get(mark, loads_module.IDLE).add(load)
        for mark, until_s in part.suspects.items():
            suspects[mark] = max(until_s, suspects.get(mark, until_s))
        for fingerprint, count in part.crashes.items():
            crashes[fingerprint] = crashes.get(fingerprint, 0) + count
    return Summary(
        sum(part.entry_count for part in parts),
        min((part.first for part in parts if part.first), default=""),
        totals,
        suspects,
        crashes,
        _select_informed(part.list_informed for part in parts),
        _select_informed(part.configuration_informed for part in parts),
    )


def _select_informed(
    found: Iterable[tuple[Informed, ...]],
) -> tuple[Informed, ...]:
    ordered = sorted((i for part in found for i in part), reverse=True)
    return tuple(ordered[:MAX_INFORMED])


def subtract(total: Summary, part: Summary) -> Summary:
    """Returns a sum without the work and the crashes of one of its parts."""
    rest = dict(total.loads)
    for mark, load in part.loads.items():
        known = rest.get(mark)
        if known is None:
            continue
        left = known.add(load, -1)
        if left.requests > 0 or left.reading > 0:
            rest[mark] = left
        else:
            del rest[mark]
    crashes = {
        fingerprint: left
        for fingerprint, count in total.crashes.items()
        if (left := count - part.crashes.get(fingerprint, 0)) > 0
    }
    return dataclasses.replace(total, loads=rest, crashes=crashes)
