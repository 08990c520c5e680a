"""Choice of the instances that run the layers of a request; without I/O.

A path is a sequence of instances that together run all layers of the model.
Instances hold overlapping layer ranges and a path may use a part of a range, so
that any set of instances that covers all layers can serve. The cheapest path is
found by dynamic programming over the layers at which ranges begin or end; the
cost of a segment of a path is the expected time that it adds to the request,
given the load already in flight there.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import loads as loads_module
from fuchsiabarrow.fleet import upstreams

__all__ = [
    "Candidate",
    "PathSegment",
    "RequestSize",
    "choose_path",
    "reserve_path",
]

# A further request slows down the requests in flight as well; the time that
# they lose counts as much as its own.
CONTENTION_FACTOR = 2.0
# One-way delay between instances of the same failure domain.
SAME_DOMAIN_DELAY_MS = 0.1
# Additional cost of a path that begins in another failure domain: the request
# and its answer cross between the domains.
REMOTE_FIRST_HOP_MS = 120.0
# Fraction of an instance's context memory that may be reserved; the rest is for
# answers longer than expected and for load not yet reported.
CONTEXT_FRACTION = 0.92
# Free fraction of the memory below which the cost does not rise further.
MIN_FREE_FRACTION = 0.01
# Maximum number of equivalent instances with enough room that are considered.
MAX_EQUIVALENT = 2
# Part of the step in progress at an instance, which runs all its layers, for
# which a step of a request waits there.
WAIT_FRACTION = 0.5
BITS_PER_BYTE = 8.0
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RequestSize:
    """Expected size of a request.

    Attributes:
        prompt_tokens: Length of the prompt.
        answer_tokens: Expected length of the answer.
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def context_tokens(self) -> float:
        """Context length at the end of the answer."""
        return self.prompt_tokens + self.answer_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class PathSegment:
    """Segment of a path: layers that one instance runs for a request.

    Attributes:
        upstream: The instance.
        first: First layer.
        end: One past the last layer.
    """

    upstream: upstreams.Upstream
    first: int
    end: int


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An instance that a path may use.

    Attributes:
        upstream: The instance.
        layer_cost_ms: Expected time that each layer run there adds to the
            request.
        free_context: Free context memory, in tokens times layers.
        may_be_first: Whether a path may begin at it.
    """

    upstream: upstreams.Upstream
    layer_cost_ms: float
    free_context: float
    may_be_first: bool


def make_candidate(
    upstream: upstreams.Upstream,
    model: engines.EnginePerformance,
    size: RequestSize,
    load: loads_module.Load,
    slowdown: float,
    may_be_first: bool = True,
    sensitivity: float = 1.0,
    deviation: float = 0.0,
    memory_fraction: float = 1.0,
) -> Candidate:
    """Estimates the cost and free memory of an instance for a request.

    With a memory fraction below 1, a small request may use the instance up to
    this fraction of its usable memory. The memory that is left free is smaller
    for larger requests, so that the load beside which a request fits is reduced
    by the same factor for all sizes, and an idle instance is never too full for
    a request that would fit otherwise.

    Args:
        upstream: Instance that holds layers.
        model: Performance model of its engine.
        size: Expected size of the request.
        load: Load in flight there.
        slowdown: How many times slower than its kind it runs.
        may_be_first: Whether the path may begin at it.
        sensitivity: How strongly the free memory influences the cost, 1 if the
            load is known exactly.
        deviation: By how much less context may be in use than `load` says, in
            tokens times layers.
        memory_fraction: Fraction of the usable context memory that the request
            may fill; less than 1 leaves memory free for more urgent ones. It
            does not change the cost.
    """
    held = len(upstream.layers)
    capacity = model.count_context_tokens(upstream.kind, held) * held
    mean_context = load.context / held
    step_ms = model.compute_step_ms(
        upstream.kind,
        1 + load.requests * CONTENTION_FACTOR,
        size.context_tokens + mean_context * CONTENTION_FACTOR,
    )
    queued_tokens = load.prefill / held * CONTENTION_FACTOR
    prefill_ms = model.compute_prefill_ms(
        upstream.kind, size.prompt_tokens + queued_tokens
    )
    total_ms = slowdown * (size.answer_tokens * step_ms + prefill_ms)
    usable = capacity * CONTEXT_FRACTION
    free = usable - load.context
    # The time of a step hardly grows with the load. Without this factor the
    # fastest instances would be filled to the limit of their memory, and load
    # that is not reported yet would exceed it.
    if usable:
        free_fraction = max(free / usable, MIN_FREE_FRACTION)
        total_ms *= free_fraction**-sensitivity
    needed = size.context_tokens * held
    left_free = (1.0 - memory_fraction) * max(0.0, usable - needed)
    return Candidate(
        upstream,
        total_ms / model.layers,
        free + deviation - left_free,
        may_be_first and load.path_starts < model.slots,
    )


@dataclasses.dataclass(slots=True)
class _PartialPath:
    """Cheapest path found up to some layer; a linked list of its segments."""

    cost_ms: float
    previous: "_PartialPath | None"
    segment: PathSegment | None


def choose_path(
    candidates: Iterable[Candidate],
    model: engines.EnginePerformance,
    size: RequestSize,
    own_domain: str,
    draw_factor: Callable[[], float] = lambda: 1.0,
    prefix: tuple[PathSegment, ...] = (),
    may_cross: bool = True,
) -> list[PathSegment] | None:
    """Returns the cheapest path through all layers, or None if there is none.

    Args:
        candidates: Instances that may be used.
        model: Performance model of the engine.
        size: Expected size of the request.
        own_domain: Failure domain of this entry.
        draw_factor: Returns a random factor on the cost of a candidate, so
            that entries with the same information choose different paths.
        prefix: Segments that the path must begin with.
        may_cross: Whether the path may cross between failure domains.
    """
    fixed = {segment.upstream.key for segment in prefix}
    usable = _select_cheapest(
        [
            (c, c.layer_cost_ms * draw_factor())
            for c in candidates
            if c.upstream.layers is not None and c.upstream.key not in fixed
        ],
        size,
    )
    origin = _PartialPath(0.0, None, None)
    for segment in prefix:
        origin = _PartialPath(0.0, origin, segment)
    begin = prefix[-1].end if prefix else 0
    same_domain_ms, cross_domain_ms = _compute_hop_costs(model, size)
    starts = collections.defaultdict(list)
    edges = {begin, model.layers}
    for candidate, _ in usable:
        layers = candidate.upstream.layers
        edges.update((layers.first, layers.end))
    ordered = sorted(edge for edge in edges if begin <= edge <= model.layers)
    for candidate, cost_ms in usable:
        layers = candidate.upstream.layers
        for edge in ordered:
            if layers.first <= edge < layers.end:
                starts[edge].append((candidate, cost_ms))
    # Cheapest path up to each layer, by the domain of its last segment.
    best: dict[int, dict[str, _PartialPath]] = collections.defaultdict(dict)
    begin_domain = prefix[-1].upstream.failure_domain if prefix else ""
    best[begin][begin_domain] = origin
    context_tokens = size.context_tokens
    for position, edge in enumerate(ordered[:-1]):
        for candidate, cost_ms in starts[edge] if best[edge] else ():
            cheapest = _find_predecessor(
                best[edge],
                candidate,
                own_domain,
                same_domain_ms,
                cross_domain_ms if may_cross else math.inf,
            )
            if cheapest is None:
                continue
            start_ms, previous = cheapest
            upstream = candidate.upstream
            domain = upstream.failure_domain
            last = min(
                upstream.layers.end,
                edge + int(candidate.free_context / context_tokens),
            )
            for end in ordered[position + 1 :]:
                if end > last:
                    break
                wait_layers = WAIT_FRACTION * len(upstream.layers)
                total_ms = start_ms + cost_ms * (end - edge + wait_layers)
                current = best[end].get(domain)
                if current is None or total_ms < current.cost_ms:
                    segment = PathSegment(upstream, edge, end)
                    best[end][domain] = _PartialPath(
                        total_ms, previous, segment
                    )
    final = min(
        best[model.layers].values(), key=lambda p: p.cost_ms, default=None
    )
    return None if final is None else _collect_segments(final)


def _select_cheapest(
    usable: list[tuple[Candidate, float]], size: RequestSize
) -> list[tuple[Candidate, float]]:
    """Drops instances for which there are enough cheaper equivalent ones.

    Instances with the same layers in the same failure domain are equivalent.
    The cheapest are kept, until `MAX_EQUIVALENT` of them can be the first of a
    path and have free context memory for all of these layers.
    """
    groups = collections.defaultdict(list)
    for item in usable:
        upstream = item[0].upstream
        groups[upstream.layers, upstream.failure_domain].append(item)
    kept = []
    for (layers, _), items in groups.items():
        items.sort(key=lambda item: item[1])
        required = size.context_tokens * len(layers)
        sufficient = 0
        for candidate, cost_ms in items:
            kept.append((candidate, cost_ms))
            if candidate.may_be_first and candidate.free_context >= required:
                sufficient += 1
            if sufficient == MAX_EQUIVALENT:
                break
    return kept


def _compute_hop_costs(
    model: engines.EnginePerformance, size: RequestSize
) -> tuple[float, float]:
    """Returns the cost of a hop within and between failure domains."""
    same_domain_ms = size.answer_tokens * SAME_DOMAIN_DELAY_MS
    token_ms = (
        model.activation_bytes_per_token
        * BITS_PER_BYTE
        / (model.link_mbps * MS_PER_S)
        if model.link_mbps
        else 0.0
    )
    # A transfer also delays those queued behind it on the shared link.
    cross_domain_ms = (
        size.answer_tokens * model.domain_delay_ms
        + size.context_tokens * token_ms * CONTENTION_FACTOR
    )
    return same_domain_ms, cross_domain_ms


def _find_predecessor(
    reached: dict[str, _PartialPath],
    candidate: Candidate,
    own_domain: str,
    same_domain_ms: float,
    cross_domain_ms: float,
) -> tuple[float, _PartialPath] | None:
    """Returns the cheapest path to continue at an instance, and its cost.

    The cost includes the hop to the instance.
    """
    upstream = candidate.upstream
    domain = upstream.failure_domain
    cheapest = None
    cheapest_ms = math.inf
    for last_domain, partial in reached.items():
        if partial.segment is None:
            if not candidate.may_be_first:
                continue
            hop_ms = 0.0 if domain == own_domain else REMOTE_FIRST_HOP_MS
        elif partial.segment.upstream is upstream:
            continue
        else:
            hop_ms = (
                same_domain_ms if domain == last_domain else cross_domain_ms
            )
        if partial.cost_ms + hop_ms < cheapest_ms:
            cheapest, cheapest_ms = partial, partial.cost_ms + hop_ms
    return None if cheapest is None else (cheapest_ms, cheapest)


def _collect_segments(final: _PartialPath) -> list[PathSegment]:
    segments = []
    step = final
    while step is not None and step.segment is not None:
        segments.append(step.segment)
        step = step.previous
    segments.reverse()
    return _merge_repeated(segments)


def _merge_repeated(segments: list[PathSegment]) -> list[PathSegment]:
    """Merges the segments of an instance that occurs more than once.

    It also runs the layers between them, as it holds consecutive layers.
    """
    merged: list[PathSegment] = []
    for segment in segments:
        for index, earlier in enumerate(merged):
            if earlier.upstream.key == segment.upstream.key:
                merged[index:] = [
                    PathSegment(segment.upstream, earlier.first, segment.end)
                ]
                break
        else:
            merged.append(segment)
    return merged


def reserve_path(
    load_table: loads_module.LoadTable,
    segments: list[PathSegment],
    size: RequestSize,
) -> loads_module.Reservation:
    """Returns a reservation of the load of a request on a path."""
    loads = {}
    for index, segment in enumerate(segments):
        layers = segment.end - segment.first
        loads[segment.upstream.key] = loads_module.Load(
            1,
            1 if index == 0 else 0,
            size.context_tokens * layers,
            size.prompt_tokens * layers,
        )
    return loads_module.Reservation(load_table, loads)


def is_complete_path(segments: list[PathSegment], layers: int) -> bool:
    """Returns whether a path runs every layer exactly once and in order.

    Each instance may occur only once and must hold the layers of its segment.
    """
    position = 0
    for segment in segments:
        if segment.first != position or segment.end <= segment.first:
            return False
        if not segment.upstream.layers.covers(segment.first, segment.end):
            return False
        position = segment.end
    keys = {segment.upstream.key for segment in segments}
    return position == layers and len(keys) == len(segments)


def compute_token_ms(
    segments: list[PathSegment],
    model: engines.EnginePerformance,
    load_table: loads_module.LoadTable,
    get_slowdown: Callable[[upstreams.Upstream], float] = lambda _: 1.0,
) -> float:
    """Returns the expected time per token on a path under its current load.

    Args:
        segments: The path.
        model: Performance model of the engine.
        load_table: Load in flight at each upstream.
        get_slowdown: Returns how many times slower than its kind an instance
            runs.
    """
    total_ms = 0.0
    for segment in segments:
        load = load_table.get(segment.upstream.key)
        held = len(segment.upstream.layers)
        step_ms = model.compute_step_ms(
            segment.upstream.kind, load.requests, load.context / held
        )
        step_ms *= get_slowdown(segment.upstream)
        total_ms += step_ms * (segment.end - segment.first) / model.layers
    return total_ms + SAME_DOMAIN_DELAY_MS * len(segments)
