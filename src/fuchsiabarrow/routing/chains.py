"""Search for a chain of instances that covers all layers; performs no I/O.

The layer ranges of instances may overlap, so each hop names the exact range to
apply. Instances with the same range form a group. From each group two
candidates are drawn at random and the cheaper one is kept (Mitzenmacher, "The
Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001), so
that entries (router processes) that see the same stale loads do not all choose
the same instance. The chain is the cheapest path from layer 0 to the last layer
over the kept candidates.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random

from fuchsiabarrow import exceptions
from fuchsiabarrow.routing import health

__all__ = ["Hop", "choose_chain"]

# Instances drawn at random, of which the cheapest or least loaded is used.
SAMPLED_CANDIDATES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """One stage of a chain: an instance and the layers that it applies.

    Attributes:
        instance_id: Instance that applies the layers.
        address: Its ``ip:port``.
        first_layer: First layer to apply.
        end_layer: One past the last layer to apply.
    """

    instance_id: str
    address: str
    first_layer: int
    end_layer: int


_Candidates = list[tuple[float, health.InstanceState]]


def choose_chain(
    states: Iterable[health.InstanceState],
    layers: int,
    now_s: float,
    estimate_cost: Callable[[health.InstanceState], float],
    source: random.Random,
    avoid: frozenset[str] = frozenset(),
) -> tuple[Hop, ...]:
    """Returns the hops of a chain that applies each layer once, in order.

    Instances that are leaving are never used. Instances that are unavailable
    after a failure or a busy answer, or listed in `avoid`, are used only if no
    chain exists without them.

    Args:
        states: Instances that serve the model.
        layers: Number of layers of the model.
        now_s: Current time of the event loop in seconds.
        estimate_cost: Returns the cost in seconds of a hop on an instance.
        source: Random number generator.
        avoid: Ids of instances to avoid, such as those that failed this
            request.

    Raises:
        ChainUnavailableError: No usable instances cover all layers.
    """
    active = [state for state in states if not state.is_leaving]
    available = [
        state
        for state in active
        if state.is_available(now_s) and state.instance.instance_id not in avoid
    ]
    for usable in (available, active):
        candidates = _draw_candidates(usable, estimate_cost, source)
        chain = _search_path(candidates, layers)
        if chain is not None:
            return chain
    raise exceptions.ChainUnavailableError(
        f"no live instances hold all {layers} layers; retry after a delay"
    )


def _draw_candidates(states, estimate_cost, source) -> _Candidates:
    groups: dict[tuple[int, int], list[health.InstanceState]] = {}
    for state in states:
        held = (state.instance.first_layer, state.instance.end_layer)
        groups.setdefault(held, []).append(state)
    candidates = []
    for group in groups.values():
        drawn = source.sample(group, min(SAMPLED_CANDIDATES, len(group)))
        costs = [(estimate_cost(state), state) for state in drawn]
        candidates.append(min(costs, key=lambda item: item[0]))
    return candidates


def _search_path(
    candidates: _Candidates, layers: int
) -> tuple[Hop, ...] | None:
    """Returns the cheapest path over the range boundaries, None if none."""
    boundaries = _collect_boundaries(candidates, layers)
    best: dict[int, float] = {0: 0.0}
    arrival: dict[int, tuple[int, health.InstanceState]] = {}
    for start in boundaries:
        if start not in best:
            continue
        for cost, state in candidates:
            instance = state.instance
            if not instance.first_layer <= start < instance.end_layer:
                continue
            for end in boundaries:
                if not start < end <= instance.end_layer:
                    continue
                total = best[start] + cost
                if total < best.get(end, math.inf):
                    best[end] = total
                    arrival[end] = (start, state)
    if layers not in arrival:
        return None
    return _collect_hops(arrival, layers)


def _collect_boundaries(candidates: _Candidates, layers: int) -> list[int]:
    found = {0, layers}
    for _, state in candidates:
        found.add(state.instance.first_layer)
        found.add(state.instance.end_layer)
    return sorted(layer for layer in found if 0 <= layer <= layers)


def _collect_hops(arrival, layers: int) -> tuple[Hop, ...]:
    hops = []
    end = layers
    while end > 0:
        start, state = arrival[end]
        instance = state.instance
        hops.append(Hop(instance.instance_id, instance.address, start, end))
        end = start
    return tuple(reversed(hops))
