"""Selection of the path of one request among the usable instances.

All requests that cross between two failure domains share the link between them.
While some failure domain holds all layers, paths stay in one domain, also if
instances of another one are faster: all entries would cross for the same
instances, and the queue on the link would delay every stream by far more than
they gain.

Entries that learn of each other's load with a delay would all choose the same
cheapest instances until the next report. The more requests are unreported, the
more the costs are randomised, up to exponentially distributed factors, with
which one of several instances is chosen with a probability inversely
proportional to its cost (an exponential race): each gets a share of the
requests by its speed and free memory, whatever the others do meanwhile.

Without I/O; the search itself is in `fuchsiabarrow.fleet.paths`.
"""

import collections
from collections.abc import Iterable
import random

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams

__all__ = ["find_complete_domains", "select_path"]

# Relative size of the random cost that makes entries which choose at the same
# time prefer different ones of several equal paths.
TIE_BREAK_SPREAD = 0.05


def select_path(
    candidates: Iterable[paths.Candidate],
    model: engines.EnginePerformance,
    size: paths.RequestSize,
    own_domain: str,
    unreported_requests: float,
    random_source: random.Random,
    prefix: tuple[paths.PathSegment, ...] = (),
) -> tuple[paths.PathSegment, ...] | None:
    """Returns the path to use for a request, or None if there is none.

    Args:
        candidates: Instances that may be used.
        model: Performance model of the engine.
        size: Expected size of the request.
        own_domain: Failure domain of this entry.
        unreported_requests: Expected number of requests that other entries
            have placed but not yet reported.
        random_source: Random number generator.
        prefix: Segments that the path must begin with.
    """
    candidates = list(candidates)
    spread = 1.0 - 1.0 / (1.0 + unreported_requests)

    def draw_factor() -> float:
        tie_break = 1.0 + TIE_BREAK_SPREAD * random_source.random()
        exponential = random_source.expovariate(1.0)
        return tie_break * (1.0 - spread + spread * exponential)

    def search(may_cross: bool):
        found = paths.choose_path(
            candidates,
            model,
            size,
            own_domain,
            draw_factor,
            prefix,
            may_cross,
        )
        return None if found is None else tuple(found)

    found = search(may_cross=False)
    if found is None and (
        prefix
        or not find_complete_domains((c.upstream for c in candidates), model)
    ):
        found = search(may_cross=True)
    return found


def find_complete_domains(
    instances: Iterable[upstreams.Upstream], model: engines.EnginePerformance
) -> list[str]:
    """Returns the failure domains whose instances hold all layers.

    Whether they have free memory does not matter: crossing would not relieve
    them for long, as requests on overloaded links hold their memory longer.
    """
    held: dict[str, list[tuple[int, int]]] = collections.defaultdict(list)
    for instance in instances:
        if instance.layers is not None:
            held[instance.failure_domain].append(
                (instance.layers.first, instance.layers.end)
            )
    return sorted(
        domain
        for domain, ranges in held.items()
        if _covers_all(ranges, model.layers)
    )


def _covers_all(ranges: list[tuple[int, int]], layers: int) -> bool:
    """Returns whether ranges together contain the layers 0 to layers - 1.

    The ends of a range are as an instance states them and may be any numbers,
    so that the time and memory needed must not depend on them.
    """
    covered_to = 0
    for first, end in sorted(ranges):
        if first > covered_to:
            return False
        covered_to = max(covered_to, end)
    return covered_to >= layers
