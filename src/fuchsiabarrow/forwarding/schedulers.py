"""Decides when streams of competing ranks start.

In force for services on which unlike ranks meet; requests to all others start
as if there were no scheduler. The decisions are in `fuchsiabarrow.scheduling`;
this module gives them what the entry knows, and records what they decide.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random
from typing import TypeVar

import logbook

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import free_context
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.scheduling import admission
from fuchsiabarrow.scheduling import ranks
from fuchsiabarrow.scheduling import room
from fuchsiabarrow.scheduling import shares
from fuchsiabarrow.scheduling import waiting
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module

__all__ = ["Claim", "Scheduler"]

# Time for which an estimate of the free memory is used: it looks at all
# instances of a service.
CAPACITY_AGE_S = 0.02
# Weight of a new sample in the mean time to the first event.
FIRST_EVENT_WEIGHT = 0.05
INITIAL_FIRST_EVENT_S = 0.1

PathType = TypeVar("PathType")

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Claim:
    """Claim of one request to the capacity of its service.

    Attributes:
        service: The service.
        organisation: Name of the organisation; empty for anonymous requests.
        rank: Index of its rank in the order of the service, 0 for the most
            urgent.
        position: Position of the rank, from 0.0 to 1.0.
        wire_priority: Priority to state to upstreams.
        standing: Use of the organisation against its share, on arrival.
    """

    service: documents.Service
    organisation: str
    rank: int
    position: float
    wire_priority: int | None
    standing: shares.Standing

    @property
    def retry_reserve(self) -> float:
        """Part of the retry budget that the request must leave."""
        return ranks.get_retry_reserve(max(self.position, self.standing.excess))

    def get_memory_fraction(self, position: float) -> float:
        """Returns the fraction of an instance's memory that it may fill.

        Args:
            position: Position of its rank; 0.0 if it was moved to the front.
        """
        return ranks.get_memory_fraction(position) * ranks.get_memory_fraction(
            self.standing.excess
        )


@dataclasses.dataclass(slots=True)
class _ServiceState:
    """State of one service on which ranks are mixed.

    Attributes:
        admission: Order of the requests that wait.
        capacity: Last estimate of the memory.
        estimated_s: Loop time of the estimate.
        first_event_s: Mean time from the start of a request to its first
            event.
    """

    admission: admission.Admission
    capacity: room.Capacity = room.Capacity(0.0, 0.0)
    estimated_s: float = float("-inf")
    first_event_s: float = INITIAL_FIRST_EVENT_S


class Scheduler:
    """Lets streams start by rank, share of the organisation and arrival.

    Args:
        directory: Registered upstreams.
        load_table: Load in flight at each upstream.
        get_catalog: Returns the configuration in force.
        share_table: Use of services by organisation, at all entries.
        random_source: Random number generator.
        metrics: Metrics of the entry.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        load_table: loads.LoadTable,
        get_catalog: Callable[[], documents.Catalog | None],
        share_table: shares.ShareTable,
        random_source: random.Random,
        metrics: metrics_module.ForwardingMetrics,
    ):
        self._directory = directory
        self._load_table = load_table
        self._get_catalog = get_catalog
        self._share_table = share_table
        self._random_source = random_source
        self._metrics = metrics
        self._states: dict[str, _ServiceState] = {}
        self._limits = room.RouteLimits()
        self._read_time_s = asyncio.get_running_loop().time

    def __enter__(self) -> "Scheduler":
        return self

    def __exit__(self, *details) -> None:
        for state in self._states.values():
            state.admission.stop()

    def make_claim(
        self,
        request: messages.Request,
        service: documents.Service,
        size_tokens: float,
    ) -> Claim | None:
        """Returns the claim of a request; None if ranks are not mixed."""
        order = self._get_catalog().get_rank_order(service.name)
        key = documents.get_rank_key(request.route, request.organisation)
        if not order.is_mixed:
            return None
        organisation = request.organisation.name if request.organisation else ""
        return Claim(
            service,
            organisation,
            order.get_index(key),
            order.get_position(key),
            ranks.get_wire_priority(order, key),
            self._share_table.get_standing(
                service.name, organisation, self._read_time_s(), size_tokens
            ),
        )

    async def wait_for_path(
        self,
        claim: Claim,
        request: messages.Request,
        size_tokens: float,
        find_path: Callable[[float], PathType | None],
        undo: Callable[[PathType], None],
    ) -> admission.Turn[PathType]:
        """Waits until a request may start, within the bound of its objective.

        Args:
            claim: Claim of the request.
            request: The request.
            size_tokens: Context that it needs.
            find_path: Reserves a path with a limit on the fraction of the
                memory and returns it, or None.
            undo: Releases such a path.
        """
        state = self._get_state(claim.service)
        ticket = self._make_ticket(claim, request, size_tokens, state)
        name = claim.service.name
        self._share_table.start_waiting(name, claim.organisation, size_tokens)
        try:
            turn = await state.admission.wait_for_turn(
                ticket,
                lambda position: find_path(claim.get_memory_fraction(position)),
                undo,
            )
        finally:
            self._share_table.stop_waiting(
                name, claim.organisation, size_tokens
            )
        if turn.path is None:
            self._share_table.refuse(
                name, claim.organisation, size_tokens, self._read_time_s()
            )
        self._record(claim, request, turn)
        return turn

    def hold(self, claim: Claim, size_tokens: float) -> None:
        """Counts the context of a request that has started."""
        self._share_table.hold(
            claim.service.name, claim.organisation, size_tokens
        )

    def release(
        self, claim: Claim, size_tokens: float, held_s: float, has_run: bool
    ) -> None:
        """Stops counting the context of a request.

        Args:
            claim: Claim of the request.
            size_tokens: Context that it held.
            held_s: Time for which it was held.
            has_run: Whether an instance has run it. The time until an instance
                refuses a request says nothing about when memory becomes free.
        """
        self._share_table.release(
            claim.service.name, claim.organisation, size_tokens
        )
        requests = self._get_state(claim.service).admission
        if has_run:
            requests.record_released(size_tokens, held_s)
        else:
            requests.notify_released()

    def record_first_event(
        self, claim: Claim, since_arrival_s: float, since_start_s: float
    ) -> None:
        """Records the first event of a request.

        Args:
            claim: Claim of the request.
            since_arrival_s: Time since it arrived, for the metrics.
            since_start_s: Time since it holds context, without its wait.
        """
        state = self._get_state(claim.service)
        state.first_event_s += FIRST_EVENT_WEIGHT * (
            since_start_s - state.first_event_s
        )
        self._metrics.observe_first_event(claim.rank, since_arrival_s)

    def _make_ticket(
        self,
        claim: Claim,
        request: messages.Request,
        size_tokens: float,
        state: _ServiceState,
    ) -> room.Ticket:
        left_s = request.deadline_s - request.arrived_s
        longest_s = self._limits.record(
            request.route.name, left_s, request.arrived_s
        )
        return room.Ticket(
            request.request_id,
            claim.organisation,
            claim.rank,
            claim.position,
            size_tokens,
            request.arrived_s,
            request.route.latency_objective_s,
            room.estimate_elapsed_s(left_s, longest_s),
            state.first_event_s,
            claim.standing.excess,
            claim.get_memory_fraction(claim.position),
        )

    def _get_state(self, service: documents.Service) -> _ServiceState:
        state = self._states.get(service.name)
        if state is None:
            state = _ServiceState(
                admission.Admission(
                    lambda: self._read_capacity(service.name),
                    self._random_source,
                )
            )
            self._states[service.name] = state
        return state

    def _read_capacity(self, name: str) -> room.Capacity:
        state, now_s = self._states[name], self._read_time_s()
        if now_s - state.estimated_s < CAPACITY_AGE_S:
            return state.capacity
        state.estimated_s = now_s
        service = self._get_catalog().services.get(name)
        if service is None or service.engine is None:
            # The configuration does not contain it any more.
            state.capacity = room.Capacity(0.0, 0.0)
            return state.capacity
        context = free_context.estimate_free_context(
            (
                upstream
                for upstream in self._directory.get_usable_upstreams(name)
                if upstream.kind in service.engine.kinds
            ),
            service.engine,
            self._load_table.get,
        )
        state.capacity = room.Capacity(
            context.free_tokens,
            context.used_tokens,
            # Reports sum up what waits and what was refused within 2 s. Waits
            # end after a quarter of the objective, so that most of it does not
            # wait; it counts as for callers that this entry has refused.
            waiting.RETURN_WEIGHT
            * self._share_table.get_others_wanted(name, now_s),
        )
        return state.capacity

    def _record(
        self,
        claim: Claim,
        request: messages.Request,
        turn: admission.Turn,
    ) -> None:
        """Counts a decision, and logs it unless the request started at once."""
        decision = turn.decision
        outcome = "start" if turn.path is not None else "refuse"
        if turn.waited_s:
            outcome = f"wait_{outcome}"
        self._metrics.count_scheduling(claim.rank, outcome)
        if outcome == "start":
            return
        _log.info(
            logs.format_event(
                "scheduling",
                request_id=request.request_id,
                rank=claim.rank,
                organisation=claim.organisation,
                share_used=round(claim.standing.used),
                share_due=round(claim.standing.due),
                excess=round(claim.standing.excess, 2),
                estimate_s=round(decision.estimate_s, 3),
                position=turn.queue_position,
                waited_s=round(turn.waited_s, 3),
                outcome=outcome,
                why=decision.reason,
                retry_after_s=round(decision.retry_after_s, 2),
            )
        )
