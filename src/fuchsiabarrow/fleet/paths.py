"""Choice of the path of instances that a request takes through all layers.

Free of I/O. Instances hold overlapping layer ranges and a path may use a part
of a range, so that any set of instances that covers all layers can serve. The
cheapest path is found by dynamic programming over the layers at which ranges
begin or end; the cost of a part is the expected time that it adds to the
request, with the work already in flight there.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.fleet import loads as loads_module
from fuchsiabarrow.fleet import upstreams

__all__ = ["Candidate", "Demand", "Part", "choose_path", "reserve_path"]

# One request more slows down those in flight as well; their loss counts as
# much as its own time.
CROWDING_WEIGHT = 2.0
# One-way delay between instances of one failure domain.
NEAR_DELAY_MS = 0.1
# Extra cost of entering a path in another failure domain: its bytes cross.
FAR_ENTRY_MS = 120.0
# Part of the context memory of an instance that is given out; the rest is for
# answers that turn out longer than expected and for loads not yet reported.
CONTEXT_FILL = 0.92
# Instances alike that a choice weighs against each other.
KEPT_ALIKE = 2
BITS_PER_BYTE = 8.0
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """What a request needs.

    Attributes:
        prompt_tokens: Tokens to read.
        answer_tokens: Tokens expected to be written.
    """

    prompt_tokens: float
    answer_tokens: float

    @property
    def context_tokens(self) -> float:
        """Context at the end of the answer."""
        return self.prompt_tokens + self.answer_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Layers that one instance runs for a request.

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
        layer_cost_ms: Expected time a layer adds to the request.
        free_context: Room for context, in tokens times layers.
        may_enter: Whether a path may begin there.
    """

    upstream: upstreams.Upstream
    layer_cost_ms: float
    free_context: float
    may_enter: bool


def make_candidate(
    upstream: upstreams.Upstream,
    model: engines.EngineModel,
    demand: Demand,
    load: loads_module.Load,
    pace_factor: float,
    may_enter: bool = True,
) -> Candidate:
    """Estimates what an instance adds to a request.

    Args:
        upstream: Instance that holds layers.
        model: Constants of its engine.
        demand: The request.
        load: Work in flight there.
        pace_factor: How many times slower than its kind it works.
        may_enter: Whether the path may begin there.
    """
    held = len(upstream.layers)
    capacity = model.count_context_tokens(upstream.kind, held) * held
    mean_context = load.context / held
    step_ms = model.compute_step_ms(
        upstream.kind,
        1 + load.requests * CROWDING_WEIGHT,
        demand.context_tokens + mean_context * CROWDING_WEIGHT,
    )
    waiting_tokens = load.reading / held * CROWDING_WEIGHT
    read_ms = model.compute_read_ms(
        upstream.kind, demand.prompt_tokens + waiting_tokens
    )
    total_ms = pace_factor * (demand.answer_tokens * step_ms + read_ms)
    return Candidate(
        upstream,
        total_ms / model.layers,
        capacity * CONTEXT_FILL - load.context,
        may_enter and load.entered < model.slots,
    )


@dataclasses.dataclass(slots=True)
class _Best:
    cost_ms: float
    previous: "_Best | None"
    part: Part | None


def choose_path(
    candidates: Iterable[Candidate],
    model: engines.EngineModel,
    demand: Demand,
    own_domain: str,
    tie_break: Callable[[], float] = lambda: 0.0,
    prefix: tuple[Part, ...] = (),
) -> list[Part] | None:
    """Returns the cheapest path through all layers, None if there is none.

    Args:
        candidates: Instances that may be used.
        model: Constants of the engine.
        demand: The request.
        own_domain: Failure domain of this entry.
        tie_break: Returns a small random cost factor from 0, so that entries
            that know the same spread over paths that cost the same.
        prefix: Parts that the path must begin with.
    """
    fixed = {part.upstream.key for part in prefix}
    usable = _select_cheapest(
        [
            (c, c.layer_cost_ms * (1 + tie_break()))
            for c in candidates
            if c.upstream.layers is not None and c.upstream.key not in fixed
        ],
        demand,
    )
    origin = _Best(0.0, None, None)
    for part in prefix:
        origin = _Best(0.0, origin, part)
    begin = prefix[-1].end if prefix else 0
    near_ms, far_ms = _compute_hop_costs(model, demand)
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
    # The best way to reach each layer, by the failure domain it ends in.
    best: dict[int, dict[str, _Best]] = collections.defaultdict(dict)
    begin_domain = prefix[-1].upstream.failure_domain if prefix else ""
    best[begin][begin_domain] = origin
    context_tokens = demand.context_tokens
    for position, edge in enumerate(ordered[:-1]):
        for candidate, cost_ms in starts[edge] if best[edge] else ():
            arrival = _find_arrival(
                best[edge], candidate, own_domain, near_ms, far_ms
            )
            if arrival is None:
                continue
            arrived_ms, previous = arrival
            upstream = candidate.upstream
            domain = upstream.failure_domain
            last = min(
                upstream.layers.end,
                edge + int(candidate.free_context / context_tokens),
            )
            for end in ordered[position + 1 :]:
                if end > last:
                    break
                total_ms = arrived_ms + cost_ms * (end - edge)
                known = best[end].get(domain)
                if known is None or total_ms < known.cost_ms:
                    part = Part(upstream, edge, end)
                    best[end][domain] = _Best(total_ms, previous, part)
    final = min(
        best[model.layers].values(), key=lambda b: b.cost_ms, default=None
    )
    return None if final is None else _collect(final)


def _select_cheapest(
    usable: list[tuple[Candidate, float]], demand: Demand
) -> list[tuple[Candidate, float]]:
    """Leaves out instances that cheaper ones can stand in for.

    Of those with the same layers in the same failure domain the cheapest are
    kept, up to some that have room for all of these layers.
    """
    groups = collections.defaultdict(list)
    for item in usable:
        upstream = item[0].upstream
        groups[upstream.layers, upstream.failure_domain].append(item)
    kept = []
    for (layers, _), items in groups.items():
        items.sort(key=lambda item: item[1])
        need = demand.context_tokens * len(layers)
        roomy = 0
        for candidate, cost_ms in items:
            kept.append((candidate, cost_ms))
            if candidate.may_enter and candidate.free_context >= need:
                roomy += 1
            if roomy == KEPT_ALIKE:
                break
    return kept


def _compute_hop_costs(
    model: engines.EngineModel, demand: Demand
) -> tuple[float, float]:
    near_ms = demand.answer_tokens * NEAR_DELAY_MS
    token_ms = (
        model.activation_bytes * BITS_PER_BYTE / (model.pipe_mbps * MS_PER_S)
        if model.pipe_mbps
        else 0.0
    )
    # A transfer also holds up those behind it in the pipe.
    far_ms = (
        demand.answer_tokens * model.domain_delay_ms
        + demand.context_tokens * token_ms * CROWDING_WEIGHT
    )
    return near_ms, far_ms


def _find_arrival(
    reached: dict[str, _Best],
    candidate: Candidate,
    own_domain: str,
    near_ms: float,
    far_ms: float,
) -> tuple[float, _Best] | None:
    """Returns the cost of the best way to an instance, and where from."""
    upstream = candidate.upstream
    domain = upstream.failure_domain
    found = None
    found_ms = math.inf
    for last_domain, best in reached.items():
        if best.part is None:
            if not candidate.may_enter:
                continue
            hop_ms = 0.0 if domain == own_domain else FAR_ENTRY_MS
        elif best.part.upstream is upstream:
            continue
        else:
            hop_ms = near_ms if domain == last_domain else far_ms
        if best.cost_ms + hop_ms < found_ms:
            found, found_ms = best, best.cost_ms + hop_ms
    return None if found is None else (found_ms, found)


def _collect(final: _Best) -> list[Part]:
    parts = []
    step = final
    while step is not None and step.part is not None:
        parts.append(step.part)
        step = step.previous
    parts.reverse()
    return _merge_repeated(parts)


def _merge_repeated(parts: list[Part]) -> list[Part]:
    """Lets an instance that would come twice run all between as well."""
    merged: list[Part] = []
    for part in parts:
        for index, earlier in enumerate(merged):
            if earlier.upstream.key == part.upstream.key:
                merged[index:] = [Part(part.upstream, earlier.first, part.end)]
                break
        else:
            merged.append(part)
    return merged


def reserve_path(
    ledger: loads_module.Ledger, parts: list[Part], demand: Demand
) -> loads_module.Reservation:
    """Returns a reservation of the room that a request takes on a path."""
    loads = {}
    for index, part in enumerate(parts):
        layers = part.end - part.first
        loads[part.upstream.key] = loads_module.Load(
            1,
            1 if index == 0 else 0,
            demand.context_tokens * layers,
            demand.prompt_tokens * layers,
        )
    return loads_module.Reservation(ledger, loads)


def is_whole(parts: list[Part], layers: int) -> bool:
    """Returns whether a path runs every layer exactly once and in order."""
    position = 0
    for part in parts:
        if part.first != position or part.end <= part.first:
            return False
        if not part.upstream.layers.covers(part.first, part.end):
            return False
        position = part.end
    names = {part.upstream.key for part in parts}
    return position == layers and len(names) == len(parts)


def compute_token_ms(
    parts: list[Part],
    model: engines.EngineModel,
    ledger: loads_module.Ledger,
) -> float:
    """Returns the expected time of a token on a path with its load."""
    total_ms = 0.0
    for part in parts:
        load = ledger.get(part.upstream.key)
        held = len(part.upstream.layers)
        step_ms = model.compute_step_ms(
            part.upstream.kind, load.requests, load.context / held
        )
        total_ms += step_ms * (part.end - part.first) / model.layers
    return total_ms + NEAR_DELAY_MS * len(parts)
