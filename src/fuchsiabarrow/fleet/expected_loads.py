"""Estimates the present load of instances from late reports; without I/O.

Entries that learn of each other's load with a delay would all avoid an instance
that was full, and then all fill it while it is reported as empty: by the time
of the reports, much of the load that they tell of has ended. The longer the
delay is, compared with the time that requests last, the less a report says on
the single instance. So the load of other entries is taken to be between the
reported one and the mean of all instances of its kind, which changes little,
and the choice depends less on the differences that are left.

The load of one instance varies around that mean. One that would be full with
the mean may have room: a request is sent to it unless it is full with a load
that is lower by a standard deviation. Otherwise instances with memory for a few
requests would be refused as full while they are not.
"""

from collections.abc import Iterable
import dataclasses
import math

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import loads as loads_module
from fuchsiabarrow.fleet import upstreams

__all__ = ["ExpectedLoads", "estimate_loads"]

# How fast the weight of a report falls with its age, in multiples of the mean
# time that requests last.
DECAY = 3.0
# Part of the influence of free memory that does not depend on the weight.
MIN_SENSITIVITY = 0.5

UpstreamKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ExpectedLoads:
    """Expected load of the instances that a path may use.

    Attributes:
        loads: Load by the instances' keys; numbers may be fractional.
        sensitivity: How strongly the free memory is to influence the choice, 1
            with fresh reports.
        deviations: Standard deviation of the context by the instances' keys, in
            tokens times layers; 0 for those that are not contained.
    """

    loads: dict[UpstreamKey, loads_module.Load]
    sensitivity: float
    deviations: dict[UpstreamKey, float] = dataclasses.field(
        default_factory=dict
    )


def estimate_loads(
    instances: Iterable[upstreams.Upstream],
    model: engines.EnginePerformance,
    load_table: loads_module.LoadTable,
    unreported_requests: float,
) -> ExpectedLoads:
    """Estimates the load of instances that hold layers.

    Args:
        instances: The instances.
        model: Performance model of their engine.
        load_table: Own and reported load in flight.
        unreported_requests: Expected number of requests that other entries
            have placed but not yet reported; infinite if it is unknown, so that
            nothing is known on the age of the reports.
    """
    instances = list(instances)
    known = {i.key: load_table.get(i.key) for i in instances}
    if not unreported_requests or math.isinf(unreported_requests):
        return ExpectedLoads(known, 1.0)
    own = load_table.get_own()
    # By Little's law, the requests that begin in the time of the delay are to
    # those in flight as the delay is to the time that requests last.
    in_flight = max(1, sum(load.path_starts for load in known.values()))
    weight = math.exp(-DECAY * unreported_requests / in_flight)
    # Context, requests and capacity of others by kind.
    sums: dict[str, list[float]] = {}
    capacities = []
    for instance in instances:
        held = len(instance.layers)
        capacity = model.count_context_tokens(instance.kind, held) * held
        capacities.append(capacity)
        load = known[instance.key]
        own_load = own.get(instance.key, loads_module.IDLE)
        total = sums.setdefault(instance.kind, [0.0, 0.0, 0.0])
        total[0] += load.context - own_load.context
        total[1] += load.requests - own_load.requests
        total[2] += capacity
    expected, deviations = {}, {}
    for instance, capacity in zip(instances, capacities, strict=True):
        key = instance.key
        context, requests, total_capacity = sums[instance.kind]
        # The parts of a total are of different times: their sum may be more
        # than there is room for.
        if context > total_capacity:
            requests *= total_capacity / context
            context = total_capacity
        share = (1 - weight) * capacity / total_capacity if capacity else 0.0
        load, own_load = known[key], own.get(key, loads_module.IDLE)
        expected[key] = loads_module.Load(
            own_load.requests
            + weight * (load.requests - own_load.requests)
            + share * requests,
            load.path_starts,
            own_load.context
            + weight * (load.context - own_load.context)
            + share * context,
            load.prefill,
        )
        # The number of requests there is taken to be distributed as Poisson.
        if requests > 0 and context > 0:
            deviations[key] = share * context / math.sqrt(share * requests)
    sensitivity = MIN_SENSITIVITY + (1 - MIN_SENSITIVITY) * weight
    return ExpectedLoads(expected, sensitivity, deviations)
