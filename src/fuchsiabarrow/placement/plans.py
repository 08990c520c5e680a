"""Which layers an instance should load, given what all others hold.

Free of I/O and without memory: the same instances give the same plan on every
entry. An instance without layers takes the window of layers that fewest others
of its pool hold, as blocks are chosen in a swarm (Borzunov et al., "Petals:
Collaborative Inference and Fine-tuning of Large Models", ACL 2023). A pool is a
failure domain that can hold all layers by itself, so that paths need not cross
the pipes between domains; what cannot stand alone is pooled together.
"""

import collections
from collections.abc import Iterable
import dataclasses

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import upstreams

__all__ = ["Assignment", "plan_assignments", "plan_moves"]

# Mean requests for which an instance keeps context memory beside its layers.
TARGET_REQUESTS = 48
# Fewest layers worth a hop of their own.
MIN_LAYERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Layers that an instance is to hold.

    Attributes:
        upstream: The instance.
        layers: The layers.
    """

    upstream: upstreams.Upstream
    layers: upstreams.LayerRange


def compute_target_context(model: engines.EngineModel) -> float:
    """Returns the context in tokens that each instance keeps room for."""
    return TARGET_REQUESTS * (model.usual_prompt + model.usual_answer)


def count_target_layers(model: engines.EngineModel, kind: str) -> int:
    """Returns how many layers an instance of a kind is to hold."""
    if kind not in model.kinds:
        return 0
    count = model.count_layers_beside(kind, compute_target_context(model))
    return min(model.layers, count)


def make_pools(
    instances: Iterable[upstreams.Upstream], model: engines.EngineModel
) -> list[list[upstreams.Upstream]]:
    """Divides instances into groups that can hold all layers each."""
    by_domain: dict[str, list[upstreams.Upstream]] = collections.defaultdict(
        list
    )
    for instance in instances:
        if count_target_layers(model, instance.kind) >= MIN_LAYERS:
            by_domain[instance.failure_domain].append(instance)
    pools, rest = [], []
    for domain in sorted(by_domain):
        members = by_domain[domain]
        room = sum(count_target_layers(model, i.kind) for i in members)
        if room >= model.layers:
            pools.append(members)
        else:
            rest.extend(members)
    if rest:
        pools.append(rest)
    return pools


def plan_assignments(
    instances: Iterable[upstreams.Upstream],
    model: engines.EngineModel,
    pending: dict[tuple[str, int], upstreams.LayerRange],
) -> list[Assignment]:
    """Returns what the instances that hold nothing are to load.

    Args:
        instances: All instances that may be ordered.
        model: Constants of the engine.
        pending: Layers that instances are loading, by their key.
    """
    assignments = []
    for pool in make_pools(instances, model):
        coverage = [0] * model.layers
        empty = []
        for instance in pool:
            held = instance.layers or pending.get(instance.key)
            if held is None:
                empty.append(instance)
            else:
                _cover(coverage, held)
        empty.sort(
            key=lambda i: (model.kinds[i.kind].step_factor, i.instance_id)
        )
        for instance in empty:
            count = count_target_layers(model, instance.kind)
            layers = find_window(coverage, count)
            _cover(coverage, layers)
            assignments.append(Assignment(instance, layers))
    return assignments


def plan_moves(
    instances: Iterable[upstreams.Upstream],
    model: engines.EngineModel,
    pending: dict[tuple[str, int], upstreams.LayerRange],
) -> list[Assignment]:
    """Returns moves that fill layers which nobody in a pool holds.

    Only an instance whose layers others of the pool hold too is moved; of
    these the one with fewest layers, as it loads soonest.
    """
    moves = []
    for pool in make_pools(instances, model):
        coverage = [0] * model.layers
        for instance in pool:
            held = pending.get(instance.key) or instance.layers
            if held is not None:
                _cover(coverage, held)
        spare = [
            i
            for i in pool
            if i.layers is not None
            and i.key not in pending
            and _is_doubled(coverage, i.layers)
        ]
        spare.sort(key=lambda i: (len(i.layers), i.instance_id))
        for instance in spare:
            if 0 not in coverage:
                break
            if not _is_doubled(coverage, instance.layers):
                continue
            count = count_target_layers(model, instance.kind)
            _cover(coverage, instance.layers, -1)
            layers = find_window(coverage, count)
            _cover(coverage, layers)
            moves.append(Assignment(instance, layers))
    return moves


def _cover(
    coverage: list[int], layers: upstreams.LayerRange, change: int = 1
) -> None:
    for layer in range(layers.first, min(layers.end, len(coverage))):
        coverage[layer] += change


def _is_doubled(coverage: list[int], layers: upstreams.LayerRange) -> bool:
    return all(count > 1 for count in coverage[layers.first : layers.end])


def find_window(coverage: list[int], count: int) -> upstreams.LayerRange:
    """Returns the window of `count` layers that are held least.

    A layer that nobody holds counts more than any number of others; of equal
    windows the first is taken.
    """
    count = min(count, len(coverage))
    scale = len(coverage) + 1
    needs = [float(scale) ** -held for held in coverage]
    best_first, best_need = 0, -1.0
    need = sum(needs[:count])
    for first in range(len(coverage) - count + 1):
        if first:
            need += needs[first + count - 1] - needs[first - 1]
        if need > best_need + 1e-9:
            best_first, best_need = first, need
    return upstreams.LayerRange(best_first, best_first + count)
