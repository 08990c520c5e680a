"""Subsetting: which instances of a group an entry prefers; performs no I/O.

Without it, at 400 entries (router processes) and 1,000 engine instances, each
entry would keep a connection to every instance. Instead an entry prefers a few
instances of each group, chosen by rendezvous hashing (highest random weight):
each instance is preferred by about the same number of entries, and few choices
change when an instance joins or leaves. With few entries, each one prefers all
instances.
"""

from collections.abc import Iterable
import math

import xxhash

from fuchsiabarrow.routing import health

__all__ = ["choose_subset", "compute_subset_size"]

# Minimum number of instances of a group that an entry prefers.
MIN_SUBSET_SIZE = 5
# Target mean number of entries that prefer an instance; large enough that the
# random differences between instances are small in relation to it.
ENTRIES_PER_INSTANCE = 20


def compute_subset_size(group: int, entries: int) -> int:
    """Returns the maximum number of instances of a group an entry prefers.

    Args:
        group: Number of instances in the group.
        entries: Number of live entries.

    Example:
        >>> compute_subset_size(10, 9), compute_subset_size(21, 400)
        (23, 5)
    """
    return max(
        MIN_SUBSET_SIZE,
        math.ceil(ENTRIES_PER_INSTANCE * group / max(1, entries)),
    )


def choose_subset(
    states: Iterable[health.InstanceState], entry: str, entries: int
) -> list[health.InstanceState]:
    """Returns the preferred instances of each group with equal layer ranges.

    Args:
        states: Instances that serve a model and may be used.
        entry: Name of the entry.
        entries: Number of live entries.
    """
    groups: dict[tuple[int, int], list[health.InstanceState]] = {}
    for state in states:
        held = (state.instance.first_layer, state.instance.end_layer)
        groups.setdefault(held, []).append(state)

    def compute_weight(state: health.InstanceState) -> int:
        name = f"{entry}/{state.instance.instance_id}"
        return xxhash.xxh3_64_intdigest(name.encode())

    chosen = []
    for group in groups.values():
        limit = compute_subset_size(len(group), entries)
        if len(group) > limit:
            group = sorted(group, key=compute_weight)[-limit:]
        chosen += group
    return chosen
