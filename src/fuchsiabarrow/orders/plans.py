"""Which engine should load which layers; free of I/O.

The plan looks only at what is wanted and what is held now, so that it comes to
the same orders however often, and by whomever, it is made.
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
    """An engine that answers.

    Attributes:
        instance_id: Its name.
        failure_domain: Its failure domain.
        held: What it holds or is loading, None for nothing.
        is_loading: Whether it is not ready yet.
        is_leaving: Whether it will go away.
    """

    instance_id: str
    failure_domain: str
    held: Assignment | None
    is_loading: bool = False
    is_leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """How a model is to be held.

    Attributes:
        ranges: Assignments that cover the model's layers.
        replicas: Engines wanted for each.
    """

    ranges: tuple[Assignment, ...]
    replicas: int


def make_plan(
    layouts: Iterable[Layout], engines: Iterable[Engine], loads: int
) -> list[tuple[str, Assignment]]:
    """Returns the loads to order now, most urgent first.

    A range without a holder comes before one that is only short of replicas.
    It is given to an idle engine, or, if there is none and the range has no
    holder at all, to an engine of a range that keeps another ready holder. An
    engine that is the only holder of its range is never taken.

    Args:
        layouts: Wanted layouts of all models of this plan.
        engines: Engines that answer.
        loads: Most loads that may be under way at once.

    Returns:
        Pairs of instance id and assignment.
    """
    known = {e.instance_id: e for e in engines if not e.is_leaving}
    free = loads - sum(engine.is_loading for engine in known.values())
    orders = []
    for assignment in _rank_shortages(layouts, known):
        if free <= 0:
            break
        engine = _find_engine(assignment, known)
        if engine is None:
            continue
        orders.append((engine.instance_id, assignment))
        known[engine.instance_id] = dataclasses.replace(
            engine, held=assignment, is_loading=True
        )
        free -= 1
    return orders


def _find_holders(
    assignment: Assignment, known: dict[str, Engine]
) -> list[Engine]:
    return [engine for engine in known.values() if engine.held == assignment]


def _rank_shortages(layouts, known) -> list[Assignment]:
    """Returns each missing replica, those of empty ranges first."""
    ranked = []
    for layout in layouts:
        for assignment in layout.ranges:
            held = len(_find_holders(assignment, known))
            for number in range(held, layout.replicas):
                ranked.append((number, assignment))
    ranked.sort(key=lambda item: item[0])
    return [assignment for _, assignment in ranked]


def _find_engine(
    assignment: Assignment, known: dict[str, Engine]
) -> Engine | None:
    idle = [engine for engine in known.values() if engine.held is None]
    holders = _find_holders(assignment, known)
    if idle:
        taken = {engine.failure_domain for engine in holders}
        # Apart from the other holders if possible, then by name.
        return min(
            idle, key=lambda e: (e.failure_domain in taken, e.instance_id)
        )
    if holders:
        return None
    return _find_spare(known)


def _find_spare(known: dict[str, Engine]) -> Engine | None:
    """Returns an engine of the range with most ready holders, if over one."""
    ready: dict[Assignment, list[Engine]] = {}
    for engine in known.values():
        if engine.held is not None and not engine.is_loading:
            ready.setdefault(engine.held, []).append(engine)
    most = max(ready.values(), key=len, default=[])
    if len(most) < 2:
        return None
    return min(most, key=lambda engine: engine.instance_id)
