"""Plans which layers each instance loads, given what the others hold.

Without I/O and stateless: every entry computes the same plan from the same
instances. An instance without layers gets the consecutive layers that the
fewest other instances of its pool hold, as blocks are chosen in Petals
(Borzunov et al., "Petals: Collaborative Inference and Fine-tuning of Large
Models", ACL 2023). A pool is a failure domain that can hold all layers by
itself, so that paths need not use the shared links between failure domains; the
failure domains that are too small for this form one pool together.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import upstreams

__all__ = ["Assignment", "plan_assignments", "plan_moves"]

# Number of mean-sized requests for which an instance keeps context memory
# free beside its layers.
TARGET_REQUESTS = 48
# Minimum number of layers of an instance that is worth an additional hop.
MIN_LAYERS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """Layers that an instance should load.

    Attributes:
        upstream: The instance.
        layers: Layers to load.
    """

    upstream: upstreams.Upstream
    layers: upstreams.LayerRange


def compute_target_context(model: engines.EnginePerformance) -> float:
    """Returns the context, in tokens, that each instance keeps memory for."""
    return TARGET_REQUESTS * (
        model.mean_prompt_tokens + model.mean_answer_tokens
    )


def count_target_layers(model: engines.EnginePerformance, kind: str) -> int:
    """Returns how many layers an instance of a kind should hold."""
    if kind not in model.kinds:
        return 0
    count = model.count_layers_beside(kind, compute_target_context(model))
    return min(model.layers, count)


def make_pools(
    instances: Iterable[upstreams.Upstream], model: engines.EnginePerformance
) -> list[list[upstreams.Upstream]]:
    """Divides instances into pools; see the module docstring."""
    by_domain: dict[str, list[upstreams.Upstream]] = collections.defaultdict(
        list
    )
    for instance in instances:
        if count_target_layers(model, instance.kind) >= MIN_LAYERS:
            by_domain[instance.failure_domain].append(instance)
    pools, rest = [], []
    for domain in sorted(by_domain):
        members = by_domain[domain]
        capacity = sum(count_target_layers(model, i.kind) for i in members)
        if capacity >= model.layers:
            pools.append(members)
        else:
            rest.extend(members)
    if rest:
        pools.append(rest)
    return pools


def plan_assignments(
    instances: Iterable[upstreams.Upstream],
    model: engines.EnginePerformance,
    pending: dict[tuple[str, int], upstreams.LayerRange],
) -> list[Assignment]:
    """Returns what the instances that hold no layers should load.

    Args:
        instances: All instances that may get load orders.
        model: Performance model of the engine.
        pending: Layers that instances are loading, by the instances' keys.
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
    model: engines.EnginePerformance,
    pending: dict[tuple[str, int], upstreams.LayerRange],
    count_requests: Callable[[upstreams.Upstream], float] = lambda _: 0.0,
) -> list[Assignment]:
    """Returns moves of instances to layers that nobody in their pool holds.

    Only instances whose layers are all held by others of the pool too are
    moved: those with the fewest requests first, as an instance loads other
    layers only once the requests that pass through it have ended, and of these
    those with the fewest layers, as they load fastest.

    Args:
        instances: All instances that may get load orders.
        model: Performance model of the engine.
        pending: Layers that instances are loading, by the instances' keys.
        count_requests: Returns the requests in flight at an instance.
    """
    moves = []
    for pool in make_pools(instances, model):
        coverage = [0] * model.layers
        for instance in pool:
            held = pending.get(instance.key) or instance.layers
            if held is not None:
                _cover(coverage, held)
        redundant = [
            i
            for i in pool
            if i.layers is not None
            and i.key not in pending
            and _is_redundant(coverage, i.layers)
        ]
        redundant.sort(
            key=lambda i: (count_requests(i), len(i.layers), i.instance_id)
        )
        for instance in redundant:
            if 0 not in coverage:
                break
            if not _is_redundant(coverage, instance.layers):
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
    """Changes the number of holders of each layer in a range."""
    for layer in range(layers.first, min(layers.end, len(coverage))):
        coverage[layer] += change


def _is_redundant(coverage: list[int], layers: upstreams.LayerRange) -> bool:
    """Returns whether another instance holds each of the layers too."""
    return all(count > 1 for count in coverage[layers.first : layers.end])


def find_window(coverage: list[int], count: int) -> upstreams.LayerRange:
    """Returns the `count` consecutive layers that the fewest instances hold.

    A layer that nobody holds outweighs any number of layers that are held; of
    equivalent ranges the first is returned.

    Args:
        coverage: Number of instances that hold each layer.
        count: Number of layers.
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
