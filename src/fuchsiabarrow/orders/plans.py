"""Plans which engine should load which layers; performs no I/O.

The plan depends only on the desired layouts and the states of the engines, so
all entries (router processes) compute the same orders from the same input.
"""

from collections.abc import Iterable
import dataclasses

__all__ = ["Assignment", "Engine", "Layout", "make_plan"]


@dataclasses.dataclass(frozen=True, slots=True)
class Assignment:
    """A range of layers of a model.

    Attributes:
        model: Model name.
        first_layer: First layer.
        end_layer: One past the last layer.
    """

    model: str
    first_layer: int
    end_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """An engine that reported its state.

    Attributes:
        instance_id: Instance id of the engine.
        failure_domain: Its failure domain.
        held: Layers that it holds or is loading, None if it is idle.
        is_loading: Whether it is still loading these layers.
        is_leaving: Whether the platform has asked it to shut down.
    """

    instance_id: str
    failure_domain: str
    held: Assignment | None
    is_loading: bool = False
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Desired distribution of a model over engines.

    Attributes:
        ranges: Assignments that cover the model's layers.
        replicas: Desired number of engines for each assignment.
    """

    ranges: tuple[Assignment, ...]
    replicas: int


def make_plan(
    layouts: Iterable[Layout], engines: Iterable[Engine], max_loads: int
) -> list[tuple[str, Assignment]]:
    """Returns the loads to order now, most urgent first.

    A range that no engine holds precedes one that only lacks replicas. A range
    is assigned to an idle engine. If none is idle and no engine holds the
    range, it is assigned to an engine of another range that keeps at least one
    ready holder; the only ready holder of a range is never reassigned.

    Args:
        layouts: Desired layouts of all models of this plan.
        engines: Engines that reported their state.
        max_loads: Maximum number of concurrent loads.

    Returns:
        Pairs of instance id and assignment.
    """
    engines_by_id = {e.instance_id: e for e in engines if not e.is_leaving}
    available_loads = max_loads - sum(
        engine.is_loading for engine in engines_by_id.values()
    )
    orders = []
    for assignment in _rank_missing_replicas(layouts, engines_by_id):
        if available_loads <= 0:
            break
        engine = _find_engine(assignment, engines_by_id)
        if engine is None:
            continue
        orders.append((engine.instance_id, assignment))
        engines_by_id[engine.instance_id] = dataclasses.replace(
            engine, held=assignment, is_loading=True
        )
        available_loads -= 1
    return orders


def _find_holders(
    assignment: Assignment, engines_by_id: dict[str, Engine]
) -> list[Engine]:
    return [
        engine for engine in engines_by_id.values() if engine.held == assignment
    ]


def _rank_missing_replicas(layouts, engines_by_id) -> list[Assignment]:
    """Returns each missing replica's range, those without holders first."""
    ranked = []
    for layout in layouts:
        for assignment in layout.ranges:
            held = len(_find_holders(assignment, engines_by_id))
            for number in range(held, layout.replicas):
                ranked.append((number, assignment))
    ranked.sort(key=lambda item: item[0])
    return [assignment for _, assignment in ranked]


def _find_engine(
    assignment: Assignment, engines_by_id: dict[str, Engine]
) -> Engine | None:
    idle = [engine for engine in engines_by_id.values() if engine.held is None]
    holders = _find_holders(assignment, engines_by_id)
    if idle:
        used_domains = {engine.failure_domain for engine in holders}
        # Prefer a failure domain without a holder, then the lowest id.
        return min(
            idle,
            key=lambda e: (e.failure_domain in used_domains, e.instance_id),
        )
    if holders:
        return None
    return _find_surplus_engine(engines_by_id)


def _find_surplus_engine(engines_by_id: dict[str, Engine]) -> Engine | None:
    """Returns an engine of the range with most ready holders.

    Returns None if no range has two ready holders.
    """
    ready: dict[Assignment, list[Engine]] = {}
    for engine in engines_by_id.values():
        if engine.held is not None and not engine.is_loading:
            ready.setdefault(engine.held, []).append(engine)
    largest_group = max(ready.values(), key=len, default=[])
    if len(largest_group) < 2:
        return None
    return min(largest_group, key=lambda engine: engine.instance_id)
