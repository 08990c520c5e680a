"""Selection of the path of one request among the usable instances.

All requests that cross between two failure domains share the link between them.
While some failure domain holds all layers, paths stay in one domain, also if
instances of another one are faster: all entries would cross for the same
instances, and the queue on the link would delay every stream by far more than
they gain. Without I/O; the search itself is in `fuchsiabarrow.fleet.paths`.
"""

import collections
from collections.abc import Iterable
import random

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import candidate_sampling
from fuchsiabarrow.fleet import paths

__all__ = ["select_path"]

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

    def search(usable: list[paths.Candidate], may_cross: bool):
        found = paths.choose_path(
            usable,
            model,
            size,
            own_domain,
            lambda: TIE_BREAK_SPREAD * random_source.random(),
            prefix,
            may_cross,
        )
        return None if found is None else tuple(found)

    if unreported_requests and not prefix:
        sampled = candidate_sampling.sample_candidates(
            candidates, size, unreported_requests, random_source.random
        )
        if len(sampled) < len(candidates):
            found = search(sampled, may_cross=False)
            if found is not None:
                return found
    found = search(candidates, may_cross=False)
    if found is None and (prefix or not has_complete_domain(candidates, model)):
        found = search(candidates, may_cross=True)
    return found


def has_complete_domain(
    candidates: Iterable[paths.Candidate], model: engines.EnginePerformance
) -> bool:
    """Returns whether the instances of a failure domain hold all layers.

    Whether they have free capacity does not matter: crossing would not relieve
    them for long, as requests on overloaded links hold their memory longer.
    """
    held: dict[str, set[int]] = collections.defaultdict(set)
    for candidate in candidates:
        upstream = candidate.upstream
        held[upstream.failure_domain].update(
            range(upstream.layers.first, upstream.layers.end)
        )
    return any(len(layers) >= model.layers for layers in held.values())
