"""Keeps the layers of each model loaded on enough engines.

For each model, one entry (router process) at a time holds a lease and gives the
orders to load layers. A hash of the lease's name selects the entry that may
acquire it, which spreads the models over the fleet. An order states the desired
state of an engine; it is repeated until the engine reports that state.
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
        timeout_s: Timeout of a call to an engine.
        loads: Maximum number of concurrent loads of one model.
        fleet_loads: Maximum number of concurrent loads of all models, ordered
            by all entries; limits the load on the weight store.
        reads_per_s: Engine states read per second for one model, by the entry
            that gives its orders.
    """

    timeout_s: float = 1.0
    loads: int = 2
    fleet_loads: int = 4
    reads_per_s: float = 20.0


class OrdersService:
    """Gives load orders for the models whose leases this entry holds.

    Args:
        leases: Leases of this entry.
        peers: Exchange with the other entries.
        routing: Lists engines and publishes the layers that they hold.
        engines: Reads the state of engines and sends them orders.
        settings: Limits.
        source: Random number generator.
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
            tasks.run_periodically(
                "duties",
                self._reconcile_models,
                self._leases.get_renewal_period_s,
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def apply_configuration(
        self, configuration: documents.Configuration
    ) -> None:
        """Applies the models of a new configuration."""
        self._configuration = configuration

    async def stop(self) -> None:
        """Stops giving orders and releases all leases."""
        await self.__aexit__()
        for name in self._leases.get_held_names():
            await self._leases.release(name)

    async def _reconcile_models(self) -> None:
        models = self._configuration.models
        configured = [name for name, model in models.items() if model.ranges]
        await self._slots.renew()
        await asyncio.gather(
            *(self._reconcile_model(name) for name in configured)
        )
        model_leases = {_make_lease_name(name) for name in configured}
        for name in self._leases.get_held_names():
            is_slot = name.startswith(slots.SLOT_PREFIX)
            if name not in model_leases and not is_slot:
                await self._leases.release(name)

    async def _reconcile_model(self, model: str) -> None:
        lease_name = _make_lease_name(model)
        may_acquire = self._peers.find_remote_owner(lease_name) is None
        await self._leases.renew_or_acquire(lease_name, may_acquire)
        loop = asyncio.get_running_loop()
        is_poll_due = loop.time() >= self._next_read_s.get(model, 0.0)
        if self._leases.get_fence(lease_name) is None or not is_poll_due:
            return
        engine_count = len(self._routing.get_model_engines(model))
        period_s = engine_count / self._settings.reads_per_s
        self._next_read_s[model] = loop.time() + period_s
        found = await self._read_engines(model)
        layout = _make_layout(model, self._configuration.models[model])
        plan = plans.make_plan(
            [layout], [engine for engine, _ in found], self._settings.loads
        )
        await self._slots.release_idle(
            {engine.instance_id for engine, _ in found if engine.is_loading},
            {
                instance.instance_id
                for instance in self._routing.get_model_engines(model)
            },
        )
        listed_by_id = {engine.instance_id: listed for engine, listed in found}
        for instance_id, assignment in plan:
            if not await self._slots.take(instance_id):
                return
            await self._give_order(
                lease_name, listed_by_id[instance_id], assignment
            )

    async def _read_engines(self, model: str):
        """Returns the engines of a model that answer, with their instances.

        An engine belongs to the model that the instance list names for it, even
        if it holds layers of another model.
        """
        listed = self._routing.get_model_engines(model)
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
            self._routing.publish_held_layers(instance, state)
        return state

    async def _give_order(
        self,
        lease_name: str,
        instance: instances.Instance,
        assignment: plans.Assignment,
    ) -> None:
        fence = self._leases.get_fence(lease_name)
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


def _make_lease_name(model: str) -> str:
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
