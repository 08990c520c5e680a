"""Which instances of a group an entry prefers; free of I/O.

At 400 entries and 1,000 runners each entry would keep a connection to every
runner. Each one prefers a few of each group instead, by highest random weight,
so that every runner is preferred by about as many entries and little changes
when one comes or goes. With few entries all are preferred.
"""

from collections.abc import Iterable
import math

import xxhash

from fuchsiabarrow.routing import evidence

__all__ = ["choose_subset", "compute_limit"]

# Least instances of a group that an entry prefers.
LEAST = 5
# Entries that are to prefer each instance, so that chance evens out.
COVER = 20


def compute_limit(group: int, entries: int) -> int:
    """Returns how many instances of a group an entry prefers.

    Args:
        group: Instances in the group.
        entries: Live entries.

    Example:
        >>> compute_limit(10, 9), compute_limit(21, 400)
        (23, 5)
    """
    return max(LEAST, math.ceil(COVER * group / max(1, entries)))


def choose_subset(
    states: Iterable[evidence.InstanceState], entry: str, entries: int
) -> list[evidence.InstanceState]:
    """Returns the preferred ones of instances, by group of equal ranges.

    Args:
        states: Instances that serve a model and may be used.
        entry: Name of the entry.
        entries: Live entries.
    """
    groups: dict[tuple[int, int], list[evidence.InstanceState]] = {}
    for state in states:
        held = (state.instance.first_layer, state.instance.end_layer)
        groups.setdefault(held, []).append(state)

    def compute_weight(state: evidence.InstanceState) -> int:
        name = f"{entry}/{state.instance.instance_id}"
        return xxhash.xxh3_64_intdigest(name.encode())

    chosen = []
    for group in groups.values():
        limit = compute_limit(len(group), entries)
        if len(group) > limit:
            group = sorted(group, key=compute_weight)[-limit:]
        chosen += group
    return chosen
