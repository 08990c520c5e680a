"""Finds out what lacked when no path was found; without I/O."""

from collections.abc import Iterable

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
    holders = [0] * layers
    with_room = [0] * layers
    for candidate in candidates:
        held = candidate.upstream.layers
        if held is None:
            continue
        has_room = candidate.free_context >= size.context_tokens
        for layer in range(held.first, min(held.end, layers)):
            holders[layer] += 1
            with_room[layer] += has_room
    full = [
        held > 0 and not room
        for held, room in zip(holders, with_room, strict=True)
    ]
    ranges: list[tuple[int, int]] = []
    for layer, is_full in enumerate(full):
        if not is_full:
            continue
        if ranges and ranges[-1][1] == layer:
            ranges[-1] = (ranges[-1][0], layer + 1)
        else:
            ranges.append((layer, layer + 1))
    return ranges


def describe_ranges(ranges: Iterable[tuple[int, int]]) -> str:
    """Returns ranges of layers as text."""
    return " ".join(f"{first}-{end}" for first, end in ranges)
