"""Keeps the layers of each model held, by whoever has the duty for it.

A duty is a lease for one model. It falls to an entry by a hash of its name, so
that the fleet's duties are divided and no entry carries all. An order says the
wanted state; it is given again until the engine reports it.
"""

import asyncio
import random

import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.leases import service as leases_service
from fuchsiabarrow.orders import plans
from fuchsiabarrow.orders import slots
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.ports import instances
from fuchsiabarrow.ports import orders
from fuchsiabarrow.routing import service as routing_service
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import tasks

__all__ = ["OrdersService", "Settings"]

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the orders to engines; the same on all entries.

    Attributes:
        timeout_s: Bound on a call to an engine.
        loads: Loads of one model that may be under way at once.
        fleet_loads: Loads of all models, ordered by all entries, that may be
            under way at once; what the weight store takes.
        reads_per_s: Engines whose state the holder of a duty reads a second.
    """

    timeout_s: float = 1.0
    loads: int = 2
    fleet_loads: int = 4
    reads_per_s: float = 20.0


class OrdersService:
    """Gives the orders of the duties that this entry holds.

    Args:
        leases: Leases of this entry.
        peers: Other entries.
        routing: Instances, and who holds what.
        engines: Gives orders.
        settings: Bounds.
        source: Random source.
    """

    def __init__(
        self,
        leases: leases_service.LeasesService,
        peers: peers_service.PeersService,
        routing: routing_service.RoutingService,
        engines: orders.EngineOrders,
        settings: Settings,
        source: random.Random,
    ):
        self._leases = leases
        self._slots = slots.SlotPool(leases, settings.fleet_loads)
        self._peers = peers
        self._routing = routing
        self._engines = engines
        self._settings = settings
        self._source = source
        self._configuration = documents.Configuration()
        self._next_read_s: dict[str, float] = {}
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "OrdersService":
        self._task = asyncio.create_task(
            tasks.repeat(
                "duties", self._perform_duties, self._leases.get_period_s
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def change(self, configuration: documents.Configuration) -> None:
        """Takes over the models of another configuration."""
        self._configuration = configuration

    async def stop(self) -> None:
        """Gives no more orders and gives the duties up."""
        await self.__aexit__()
        for name in self._leases.get_held():
            await self._leases.give_up(name)

    async def _perform_duties(self) -> None:
        models = self._configuration.models
        wanted = [name for name, model in models.items() if model.ranges]
        await self._slots.renew()
        await asyncio.gather(*(self._perform_duty(name) for name in wanted))
        duties = {_make_duty(name) for name in wanted}
        for name in self._leases.get_held():
            is_slot = name.startswith(slots.SLOT_PREFIX)
            if name not in duties and not is_slot:
                await self._leases.give_up(name)

    async def _perform_duty(self, model: str) -> None:
        duty = _make_duty(model)
        is_wanted = self._peers.find_owner(duty) is None
        await self._leases.pursue(duty, is_wanted)
        loop = asyncio.get_running_loop()
        is_due = loop.time() >= self._next_read_s.get(model, 0.0)
        if self._leases.get_fence(duty) is None or not is_due:
            return
        pool = len(self._routing.get_pool(model))
        period_s = pool / self._settings.reads_per_s
        self._next_read_s[model] = loop.time() + period_s
        found = await self._read_engines(model)
        layout = _make_layout(model, self._configuration.models[model])
        plan = plans.make_plan(
            [layout], [engine for engine, _ in found], self._settings.loads
        )
        await self._slots.release_ended(
            {engine.instance_id for engine, _ in found if engine.is_loading},
            {
                instance.instance_id
                for instance in self._routing.get_pool(model)
            },
        )
        by_name = {engine.instance_id: listed for engine, listed in found}
        for instance_id, assignment in plan:
            if not await self._slots.take(instance_id):
                return
            await self._give_order(duty, by_name[instance_id], assignment)

    async def _read_engines(self, model: str):
        """Returns the engines of a model's pool that answer.

        An engine belongs to the pool of the model that the list names.
        """
        listed = self._routing.get_pool(model)
        states = await asyncio.gather(
            *(self._read_state(instance) for instance in listed)
        )
        return [
            (_make_engine(instance, state), instance)
            for instance, state in zip(listed, states, strict=True)
            if state is not None
        ]

    async def _read_state(self, instance: instances.Instance):
        try:
            state = await self._engines.read_state(instance.address)
        except exceptions.InstanceError:
            return None
        if not state.is_loading:
            self._routing.tell_held(instance, state)
        return state

    async def _give_order(
        self,
        duty: str,
        instance: instances.Instance,
        assignment: plans.Assignment,
    ) -> None:
        fence = self._leases.get_fence(duty)
        if fence is None:
            return
        order = orders.LoadOrder(
            assignment.model,
            assignment.first_layer,
            assignment.end_layer,
            fence,
        )
        try:
            await self._engines.order_load(instance.address, order)
        except exceptions.InstanceError as error:
            _log.warning(logs.format_event("order_failed", error=error))
            return
        _log.info(
            logs.format_event(
                "load_ordered",
                instance=instance.instance_id,
                model=assignment.model,
                first_layer=assignment.first_layer,
                end_layer=assignment.end_layer,
                fence=fence,
            )
        )


def _make_duty(model: str) -> str:
    return f"model-{model}"


def _make_layout(name: str, model: documents.Model) -> plans.Layout:
    ranges = tuple(
        plans.Assignment(name, first, end) for first, end in model.ranges
    )
    return plans.Layout(ranges, model.replicas)


def _make_engine(
    instance: instances.Instance, state: orders.EngineState
) -> plans.Engine:
    held = None
    if state.model:
        held = plans.Assignment(state.model, state.first_layer, state.end_layer)
    return plans.Engine(
        instance.instance_id,
        instance.failure_domain,
        held,
        state.is_loading,
        instance.leaving,
    )
