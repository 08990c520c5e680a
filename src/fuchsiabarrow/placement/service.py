"""Sends load orders so that instances hold the layers of the plan.

One entry at a time sends the orders: the leader, which is the first by name of
the entries that are alive and have the current list. It waits until the leader
before it knows, and until it knows the other entries itself: the plans of two
entries differ, and an instance would take its layers from one or the other, so
that some layers might have no holder. Entries that cannot hear each other may
still both lead. An order states how many orders the instance has accepted
before, and is rejected if that number has changed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.placement import plans
from fuchsiabarrow.ports import pipelines
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import tasks

__all__ = ["OrderOutcome", "PlacementService", "Settings"]

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderOutcome:
    """Answer of an instance to a load order.

    Attributes:
        is_accepted: Whether it has started to load the layers or already
            holds them.
        is_refused: Whether it certainly will not execute the order.
        detail: Status or error, for the log.
    """

    is_accepted: bool
    is_refused: bool
    detail: str


# Orders an upstream to load layers, if it has accepted exactly this many orders
# before.
SendOrder = Callable[
    [upstreams.Upstream, upstreams.LayerRange, int], Awaitable[OrderOutcome]
]
# Reads the report of an upstream, within a timeout in seconds.
ReadReport = Callable[
    [upstreams.Upstream, float], Awaitable[pipelines.EngineReport]
]
REPORT_TIMEOUT_S = 0.5
# An avoided instance that did not answer is asked again after this time.
DEAD_RETRY_S = 2.0
# Instances without layers that are asked before a plan whether they execute
# orders of another entry, and the longest time for which a plan is put off.
SAMPLE_SIZE = 3
MAX_PUT_OFF_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the placement of layers on instances.

    Attributes:
        period_s: Time between two runs of the planning, in seconds.
        settle_s: Time without new instances in the list before the first
            plan of a fleet without layers, in seconds.
        longest_settle_s: Maximum wait for that, in seconds.
        list_age_s: Maximum age of the list for which orders are sent, in
            seconds.
        pending_s: Time after which an accepted order that does not show in
            the list is planned again, in seconds.
        lost_pending_s: The same for an order without an answer, in seconds.
        parallel_orders: Maximum number of orders sent at the same time.
    """

    period_s: float = 0.25
    settle_s: float = 1.2
    longest_settle_s: float = 5.0
    list_age_s: float = 3.0
    pending_s: float = 20.0
    lost_pending_s: float = 3.0
    parallel_orders: int = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    """Layers of an order that the list does not show yet, until a time."""

    layers: upstreams.LayerRange
    until_s: float


class PlacementService:
    """Plans the placement and sends load orders while this entry has this duty.

    Args:
        directory: Directory of the instances.
        get_catalog: Returns the configuration in force, or None.
        send_order: Sends one order; never raises.
        read_report: Returns the report of an upstream on itself.
        has_duty: Returns whether this entry is to send orders now.
        count_requests: Returns the requests in flight at an instance.
        settings: Periods and limits.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        get_catalog: Callable[[], documents.Catalog | None],
        send_order: SendOrder,
        read_report: ReadReport,
        has_duty: Callable[[], bool],
        count_requests: Callable[[upstreams.Upstream], float] = lambda _: 0.0,
        settings: Settings = Settings(),
    ):
        self._directory = directory
        self._get_catalog = get_catalog
        self._send_order = send_order
        self._read_report = read_report
        # Upstreams that were sent an order, so that the number of orders that
        # they have accepted must be read from their report.
        self._ordered: set[tuple[str, int]] = set()
        self._has_duty = has_duty
        self._count_requests = count_requests
        self._settings = settings
        self._pending: dict[tuple[str, int], _Pending] = {}
        self._known_keys: set[tuple[str, int]] = set()
        # Instances that did not answer, and until when they count as dead.
        self._dead_until_s: dict[tuple[str, int], float] = {}
        self._changed_at_s = 0.0
        self._first_run_s: float | None = None
        # Since when plans are put off; None if the last one was not.
        self._put_off_since_s: float | None = None
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "PlacementService":
        self._task = asyncio.create_task(
            tasks.run_periodically(
                "placement", self.run_once, self._get_period_s
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def _get_period_s(self) -> float:
        return self._settings.period_s

    async def run_once(self) -> None:
        """Compares plan and list once and sends the orders that are needed."""
        catalog = self._get_catalog()
        if catalog is None:
            return
        now_s = asyncio.get_running_loop().time()
        self._remove_finished(now_s)
        for service in catalog.services.values():
            if service.engine is not None:
                await self._run_service(service, now_s)

    async def _run_service(
        self, service: documents.Service, now_s: float
    ) -> None:
        instances = [
            u
            for u in self._directory.get_upstreams(service.name)
            if not u.is_leaving
        ]
        if not instances or not self._is_settled(instances, now_s):
            return
        is_current = self._directory.get_age_s() < self._settings.list_age_s
        if not is_current or not self._has_duty():
            return
        pending = {key: p.layers for key, p in self._pending.items()}
        usable = await self._find_usable(instances)
        assignments = plans.plan_assignments(usable, service.engine, pending)
        if not assignments:
            assignments = plans.plan_moves(
                usable, service.engine, pending, self._count_requests
            )
        if not assignments or await self._must_put_off(assignments, now_s):
            return
        limit = asyncio.Semaphore(self._settings.parallel_orders)
        stop = asyncio.Event()
        await asyncio.gather(
            *(self._order(a, limit, stop) for a in assignments)
        )

    async def _must_put_off(
        self, assignments: list[plans.Assignment], now_s: float
    ) -> bool:
        """Returns whether the plan of another entry is being carried out.

        The list shows the layers of an instance only once it has loaded them.
        Until then a leader that has taken over would send a plan of its own,
        which differs from that of the leader before it.
        """
        unknown = [
            a.upstream
            for a in assignments
            if a.upstream.layers is None and a.upstream.key not in self._ordered
        ]
        sample = unknown[:SAMPLE_SIZE]
        answers = await asyncio.gather(*map(self._is_busy, sample))
        busy = [
            upstream.instance_id
            for upstream, is_busy in zip(sample, answers, strict=True)
            if is_busy
        ]
        if not busy:
            self._put_off_since_s = None
            return False
        if self._put_off_since_s is None:
            self._put_off_since_s = now_s
        if now_s - self._put_off_since_s > MAX_PUT_OFF_S:
            return False
        _log.info(
            logs.format_event(
                "plan_put_off", busy=",".join(busy), orders=len(assignments)
            )
        )
        return True

    async def _find_usable(
        self, instances: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Returns the instances that are not dead.

        One that is avoided may only have been silent for a moment. Others would
        load its layers in vain, so it is asked first. One that holds no layers
        gets no order while it is avoided.
        """
        avoided = [i for i in instances if self._directory.is_avoided(i)]
        answers = await asyncio.gather(*(self._is_alive(i) for i in avoided))
        dead = {
            instance.key
            for instance, is_alive in zip(avoided, answers, strict=True)
            if not is_alive
        }
        return [i for i in instances if i.key not in dead]

    async def _is_alive(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an avoided instance that holds layers answers."""
        now_s = asyncio.get_running_loop().time()
        if upstream.layers is None:
            return False
        if now_s < self._dead_until_s.get(upstream.key, float("-inf")):
            return False
        try:
            await self._read_report(upstream, REPORT_TIMEOUT_S)
        except exceptions.UpstreamError as error:
            self._dead_until_s[upstream.key] = now_s + DEAD_RETRY_S
            _log.info(
                logs.format_event(
                    "instance_dead", instance=upstream.instance_id, why=error
                )
            )
            return False
        return True

    async def _is_busy(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an instance says that it executes an order."""
        try:
            report = await self._read_report(upstream, REPORT_TIMEOUT_S)
        except exceptions.UpstreamError as error:
            _log.info(
                logs.format_event(
                    "report_not_read", instance=upstream.instance_id, why=error
                )
            )
            return False
        return report.is_busy

    def _is_settled(
        self, instances: list[upstreams.Upstream], now_s: float
    ) -> bool:
        """Returns whether the list is complete enough for a plan."""
        keys = {instance.key for instance in instances}
        if self._first_run_s is None:
            self._first_run_s = now_s
        if not keys <= self._known_keys:
            self._changed_at_s = now_s
        self._known_keys = keys
        if any(instance.layers is not None for instance in instances):
            return True
        settings = self._settings
        return (
            now_s - self._changed_at_s >= settings.settle_s
            or now_s - self._first_run_s >= settings.longest_settle_s
        )

    def _remove_finished(self, now_s: float) -> None:
        """Removes orders that are done or expired or whose instance is gone."""
        for key, pending in list(self._pending.items()):
            listed = self._directory.get(key[0])
            is_gone = listed is None or listed.key != key
            is_done = not is_gone and listed.layers == pending.layers
            if is_gone or is_done or now_s > pending.until_s:
                del self._pending[key]
            if is_gone:
                self._ordered.discard(key)
        for key, until_s in list(self._dead_until_s.items()):
            if now_s > until_s + DEAD_RETRY_S:
                del self._dead_until_s[key]

    async def _count_orders(self, upstream: upstreams.Upstream) -> int:
        """Returns how many orders an upstream has accepted.

        Raises:
            UpstreamError: Its report could not be read, or it is executing an
                order.
        """
        if upstream.layers is None and upstream.key not in self._ordered:
            # Upstreams start without layers and have accepted no order yet.
            # If this one has, it rejects the order.
            return 0
        report = await self._read_report(upstream, REPORT_TIMEOUT_S)
        if report.is_busy:
            raise exceptions.UpstreamError(
                f"{upstream.address} is executing a load order; retry later"
            )
        return report.order_count

    async def _order(
        self,
        assignment: plans.Assignment,
        limit: asyncio.Semaphore,
        stop: asyncio.Event,
    ) -> None:
        """Sends one order of a plan.

        An instance that should have had no order, but refuses this one as it
        has, shows that another entry sends a plan at the same time. The rest of
        this one is dropped then, and planned again by what is loaded.

        Args:
            assignment: Instance and layers.
            limit: Limits the orders that are sent at the same time.
            stop: Set when the other orders of the plan are to be dropped.
        """
        upstream, layers = assignment.upstream, assignment.layers
        async with limit:
            if stop.is_set():
                return
            is_new = upstream.key not in self._ordered
            try:
                count = await self._count_orders(upstream)
            except exceptions.UpstreamError as error:
                _log.info(
                    logs.format_event(
                        "order_put_off",
                        instance=upstream.instance_id,
                        why=error,
                    )
                )
                return
            outcome = await self._send_order(upstream, layers, count)
        settings = self._settings
        _log.info(
            logs.format_event(
                "order",
                instance=upstream.instance_id,
                kind=upstream.kind,
                failure_domain=upstream.failure_domain,
                first=layers.first,
                end=layers.end,
                after_orders=count,
                list_age_s=round(self._directory.get_age_s(), 3),
                is_accepted=outcome.is_accepted,
                detail=outcome.detail,
            )
        )
        self._ordered.add(upstream.key)
        if outcome.is_refused:
            if is_new and upstream.layers is None:
                stop.set()
            return
        wait_s = (
            settings.pending_s
            if outcome.is_accepted
            else settings.lost_pending_s
        )
        until_s = asyncio.get_running_loop().time() + wait_s
        self._pending[upstream.key] = _Pending(layers, until_s)
