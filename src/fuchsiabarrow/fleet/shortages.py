"""Finds out what lacked when no path was found; without I/O."""

from collections.abc import Iterable
import itertools

from fuchsiabarrow.fleet import paths

__all__ = ["describe_ranges", "find_full_layers"]


def find_full_layers(
    candidates: Iterable[paths.Candidate],
    layers: int,
    size: paths.RequestSize,
) -> list[tuple[int, int]]:
    """Returns the layers whose holders all lack memory for a request.

    Args:
        candidates: Instances that hold layers and may get requests.
        layers: Number of layers of the model.
        size: Expected size of the request.

    Returns:
        Ranges of layers, from the first to one past the last. Layers without
        any holder are not among them.
    """
    holding = [c for c in candidates if c.upstream.layers is not None]
    edges = {0, layers}
    for candidate in holding:
        edges.update(
            (candidate.upstream.layers.first, candidate.upstream.layers.end)
        )
    ordered = sorted(edge for edge in edges if 0 <= edge <= layers)
    ranges: list[tuple[int, int]] = []
    # Paths change from one instance to another at these layers only.
    for first, end in itertools.pairwise(ordered):
        holders = [c for c in holding if c.upstream.layers.covers(first, end)]
        needed = size.context_tokens * (end - first)
        if not holders or any(c.free_context >= needed for c in holders):
            continue
        if ranges and ranges[-1][1] == first:
            ranges[-1] = (ranges[-1][0], end)
        else:
            ranges.append((first, end))
    return ranges


def describe_ranges(ranges: Iterable[tuple[int, int]]) -> str:
    """Returns ranges of layers as text."""
    return " ".join(f"{first}-{end}" for first, end in ranges)
