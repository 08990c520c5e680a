"""Free and reserved context memory of a service; without I/O."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import loads as loads_module
from fuchsiabarrow.fleet import path_selection
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams

__all__ = ["FreeContext", "estimate_free_context"]

UpstreamKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class FreeContext:
    """Context memory of a service, in tokens of whole requests.

    Attributes:
        free_tokens: Context that further requests may reserve.
        used_tokens: Context that is reserved.
    """

    free_tokens: float
    used_tokens: float


def estimate_free_context(
    instances: Iterable[upstreams.Upstream],
    model: engines.EnginePerformance,
    get_load: Callable[[UpstreamKey], loads_module.Load],
) -> FreeContext:
    """Estimates how much context the instances of a service can still hold.

    A request needs memory for each layer, so the layer with the least free
    memory decides. Paths stay in a failure domain that holds all layers while
    there is one; the domains that do are added up then.

    Args:
        instances: Usable instances.
        model: Performance model of their engine.
        get_load: Returns the load at an instance.
    """
    instances = [i for i in instances if i.layers is not None]
    used = sum(get_load(i.key).context for i in instances) / model.layers
    complete = path_selection.find_complete_domains(instances, model)
    if not complete:
        return FreeContext(
            _find_scarcest_layer(instances, model, get_load), used
        )
    by_domain = collections.defaultdict(list)
    for instance in instances:
        by_domain[instance.failure_domain].append(instance)
    free = sum(
        _find_scarcest_layer(by_domain[domain], model, get_load)
        for domain in complete
    )
    return FreeContext(free, used)


def _find_scarcest_layer(
    instances: list[upstreams.Upstream],
    model: engines.EnginePerformance,
    get_load: Callable[[UpstreamKey], loads_module.Load],
) -> float:
    """Returns the free context of the layer that has the least of it."""
    changes = [0.0] * (model.layers + 1)
    for instance in instances:
        held = len(instance.layers)
        capacity = model.count_context_tokens(instance.kind, held)
        used = get_load(instance.key).context / held
        free = max(0.0, capacity * paths.CONTEXT_FRACTION - used)
        # An instance may hold layers that the model does not have.
        changes[min(instance.layers.first, model.layers)] += free
        changes[min(instance.layers.end, model.layers)] -= free
    return max(0.0, min(itertools.accumulate(changes[:-1])))
