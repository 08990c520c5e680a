"""Polls the instance list and chooses chains for streams."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import random

import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.peers import items
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.ports import instances
from fuchsiabarrow.ports import orders
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import health as health_module
from fuchsiabarrow.routing import subsets
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["RoutingService", "Settings"]

# Kind of the items by which entries (router processes) share which instances
# are leaving.
LEAVING_KIND = "leaving"
# Kind of the items by which entries share which layers the engines report to
# hold after load orders.
HELD_KIND = "held"
HELD_LIFETIME_S = 3600.0
MILLISECONDS_PER_S = 1000
# A list that lacks more than this fraction of the instances that were not
# leaving, and at least this number of them, is implausible.
MAX_LOST_FRACTION = 0.5
MIN_LOST_INSTANCES = 3
# Time between checks for instances that are due for a probe.
PROBE_CHECK_PERIOD_S = 0.1

# Returns whether an instance answers within the probe's own time limit.
Probe = Callable[[instances.Instance], Awaitable[bool]]

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the routing service.

    Attributes:
        list_rate_per_s: Reads of the instance list per second by all entries
            together.
        list_least_s: Minimum time between two reads by one entry.
        implausible_hold_s: Time for which a list that suddenly lacks most
            instances is ignored.
        load_weight: Relative increase of an instance's cost with each stream
            that uses it.
        evidence: Settings of health tracking for instances.
    """

    list_rate_per_s: float = 20.0
    list_least_s: float = 0.5
    implausible_hold_s: float = 30.0
    load_weight: float = 0.1
    evidence: health_module.Settings = health_module.Settings()


class _HeldLayers(msgspec.Struct, frozen=True, array_like=True):
    """Layers that an engine reported to the entry that gives it orders."""

    address: str
    first_layer: int
    end_layer: int


class RoutingService:
    """Chooses instances by the platform's list and by observed health.

    Attributes:
        health: Health and latency of each instance.

    Args:
        listing: The platform's instance list.
        peers: Exchange with the other entries.
        entry_name: Name of this entry.
        probe: Returns whether an instance answers, within a time limit.
        settings: Periods and weights.
        source: Random number generator.
    """

    def __init__(
        self,
        listing: instances.InstanceList,
        peers: peers_service.PeersService,
        entry_name: str,
        probe: Probe,
        settings: Settings,
        source: random.Random,
    ):
        self.health = health_module.HealthTracker(settings.evidence)
        self._listing = listing
        self._listed: list[instances.Instance] = []
        self._implausible_since_s: float | None = None
        self._list_listeners: list[Callable[[], Awaitable[None]]] = []
        self._peers = peers
        self._entry_name = entry_name
        self._probe = probe
        self._settings = settings
        self._source = source
        self._tasks: set[asyncio.Task] = set()
        self._running_probes: set[str] = set()

    async def __aenter__(self) -> "RoutingService":
        self._peers.add_listener(LEAVING_KIND, self._handle_leaving_item)
        self._peers.add_listener(HELD_KIND, self._handle_held_item)
        await self._read_list()
        self._start_task(
            tasks.run_periodically(
                "instance_list",
                self._read_list,
                self._get_list_period_s,
                delay_first=True,
            )
        )
        self._start_task(
            tasks.run_periodically(
                "instance_probes",
                self._start_probes,
                lambda: jitter.spread_period_s(
                    PROBE_CHECK_PERIOD_S, self._source
                ),
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def add_list_listener(self, listener: Callable[[], Awaitable[None]]):
        """Adds a listener that is awaited after each list that was applied."""
        self._list_listeners.append(listener)

    def choose_chain(
        self,
        model: str,
        layers: int,
        regions: list[str],
        avoid: frozenset[str],
    ) -> tuple[chains.Hop, ...]:
        """Returns a chain for a model; see `chains.choose_chain`.

        Instances of this entry's subset are preferred to all others.
        """
        now_s = asyncio.get_running_loop().time()

        def estimate_cost(state: health_module.InstanceState) -> float:
            hop_s = self.health.estimate_hop_s(state, now_s)
            return hop_s * (1 + self._settings.load_weight * state.in_flight)

        states = self._find_states("engine", model, regions)
        preferred = subsets.choose_subset(
            (
                state
                for state in states
                if state.is_available(now_s)
                and state.instance.instance_id not in avoid
            ),
            self._entry_name,
            self._peers.count_live(),
        )
        if len(preferred) < len(states):
            try:
                return chains.choose_chain(
                    preferred, layers, now_s, estimate_cost, self._source
                )
            except exceptions.ChainUnavailableError:
                pass  # Search again among all instances of the model.
        return chains.choose_chain(
            states, layers, now_s, estimate_cost, self._source, avoid
        )

    def choose_replacement(
        self, model: str, hop: chains.Hop, regions: list[str]
    ) -> chains.Hop | None:
        """Returns a hop on another instance for exactly the layers of a hop.

        Of two instances drawn at random, the one with fewer streams in flight
        is used. Returns None if no available instance holds these layers.
        """
        now_s = asyncio.get_running_loop().time()
        usable = [
            state
            for state in self._find_states("engine", model, regions)
            if state.instance.instance_id != hop.instance_id
            and state.is_available(now_s)
            and state.instance.first_layer <= hop.first_layer
            and hop.end_layer <= state.instance.end_layer
        ]
        if not usable:
            return None
        drawn = self._source.sample(
            usable, min(chains.SAMPLED_CANDIDATES, len(usable))
        )
        state = min(drawn, key=lambda found: found.in_flight)
        return chains.Hop(
            state.instance.instance_id,
            state.instance.address,
            hop.first_layer,
            hop.end_layer,
        )

    def estimate_chain_s(self, chain: Iterable[chains.Hop]) -> float:
        """Returns the expected latency of one token on a chain in seconds."""
        now_s = asyncio.get_running_loop().time()
        total_s = 0.0
        for hop in chain:
            state = self.health.find(hop.instance_id)
            if state is not None:
                total_s += self.health.estimate_hop_s(state, now_s)
        return total_s

    def choose_service_instance(
        self, service: str, regions: list[str], avoid: set[str]
    ) -> instances.Instance | None:
        """Returns an instance of a service (not an engine), None if none."""
        now_s = asyncio.get_running_loop().time()
        active = [
            state
            for state in self._find_states("service", service, regions)
            if not state.is_leaving and state.instance.instance_id not in avoid
        ]
        available = [s for s in active if s.is_available(now_s)]
        usable = available or active
        if not usable:
            return None
        drawn = self._source.sample(
            usable, min(chains.SAMPLED_CANDIDATES, len(usable))
        )
        return min(drawn, key=lambda state: state.in_flight).instance

    def _find_states(self, kind: str, serves: str, regions: list[str]):
        return [
            state
            for state in self.health.get_states()
            if state.instance.kind == kind
            and state.instance.serves == serves
            and (not regions or state.instance.region in regions)
        ]

    def _get_list_period_s(self) -> float:
        """Returns the time to the next read; all entries share one rate."""
        period_s = self._peers.compute_shared_period_s(
            self._settings.list_rate_per_s, self._settings.list_least_s
        )
        return jitter.spread_period_s(period_s, self._source)

    async def _start_probes(self) -> None:
        """Starts probes of the failed instances that are due for one."""
        now_s = asyncio.get_running_loop().time()
        for state in self.health.get_states():
            name = state.instance.instance_id
            if state.needs_probe(now_s) and name not in self._running_probes:
                self._running_probes.add(name)
                self._start_task(self._probe_instance(state.instance))

    async def _probe_instance(self, instance: instances.Instance) -> None:
        name = instance.instance_id
        try:
            if await self._probe(instance):
                self.health.record_probe_success(name)
            else:
                now_s = asyncio.get_running_loop().time()
                self.health.record_failure(name, now_s)
        finally:
            self._running_probes.discard(name)

    async def _read_list(self) -> None:
        try:
            listed = await self._listing.read()
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("list_down", error=error))
            return
        now_s = asyncio.get_running_loop().time()
        if self._is_implausible(listed, now_s):
            return
        self._listed = listed
        current = [self._apply_reported_layers(instance) for instance in listed]
        self.health.update_instances(current, now_s)
        for instance in listed:
            if instance.leaving:
                self._publish_leaving(instance)
                continue
            item = self._peers.get_item(
                f"{LEAVING_KIND}/{instance.instance_id}"
            )
            if item is not None:
                self._handle_leaving_item(item)
        for listener in self._list_listeners:
            await listener()

    def record_connection_result(
        self, instance_id: str, is_connected: bool
    ) -> None:
        """Records whether an instance of a service accepted a connection."""
        now_s = asyncio.get_running_loop().time()
        if is_connected:
            self.health.record_success(instance_id, 0.0, now_s)
        else:
            self.health.record_failure(instance_id, now_s)

    def get_model_engines(self, model: str) -> list[instances.Instance]:
        """Returns the listed engines of a model, including leaving ones."""
        return [
            instance
            for instance in self._listed
            if instance.kind == "engine" and instance.serves == model
        ]

    def publish_held_layers(
        self, instance: instances.Instance, state: orders.EngineState
    ) -> None:
        """Publishes to all entries which layers an engine holds, if changed."""
        held = _HeldLayers(instance.address, state.first_layer, state.end_layer)
        value = msgspec.msgpack.encode(held)
        key = f"{HELD_KIND}/{instance.instance_id}"
        known = self._peers.get_item(key)
        if known is not None and known.value == value:
            return
        version = int(MILLISECONDS_PER_S * clocks.read_wall_time_s())
        self._peers.publish(key, version, value, HELD_LIFETIME_S)

    def _apply_reported_layers(
        self, instance: instances.Instance
    ) -> instances.Instance:
        """Returns a listed instance with the layer range that it reported."""
        item = self._peers.get_item(f"{HELD_KIND}/{instance.instance_id}")
        if item is None:
            return instance
        held = msgspec.msgpack.decode(item.value, type=_HeldLayers)
        if held.address != instance.address:
            return instance
        return msgspec.structs.replace(
            instance, first_layer=held.first_layer, end_layer=held.end_layer
        )

    def _handle_held_item(self, item: items.Item) -> None:
        state = self.health.find(item.name)
        if state is not None:
            state.instance = self._apply_reported_layers(state.instance)

    def _is_implausible(
        self, listed: list[instances.Instance], now_s: float
    ) -> bool:
        """Returns whether a list lacks so many instances that it is ignored.

        Instances are listed as leaving before they are removed. A list that
        lacks most of those that were not leaving is more likely truncated.
        """
        active = {i.instance_id for i in self._listed if not i.leaving}
        lost = active - {i.instance_id for i in listed}
        if (
            len(lost) <= MAX_LOST_FRACTION * len(active)
            or len(lost) < MIN_LOST_INSTANCES
        ):
            self._implausible_since_s = None
            return False
        if self._implausible_since_s is None:
            self._implausible_since_s = now_s
        age_s = now_s - self._implausible_since_s
        _log.error(
            logs.format_event(
                "list_lost_instances", lost=len(lost), age_s=age_s
            )
        )
        return age_s < self._settings.implausible_hold_s

    def record_leaving(self, instance_id: str) -> None:
        """Records that an instance is leaving and informs the other entries."""
        state = self.health.find(instance_id)
        if state is not None:
            now_s = asyncio.get_running_loop().time()
            self.health.record_leaving(instance_id, now_s)
            self._publish_leaving(state.instance)

    def _publish_leaving(self, instance: instances.Instance) -> None:
        key = f"{LEAVING_KIND}/{instance.instance_id}"
        known = self._peers.get_item(key)
        address = instance.address.encode()
        if known is not None and known.value == address:
            return
        version = int(clocks.read_wall_time_s())
        self._peers.publish(
            key, version, address, self._settings.evidence.drain_hold_s
        )

    def _handle_leaving_item(self, item: items.Item) -> None:
        """Applies another entry's report that an instance is leaving."""
        state = self.health.find(item.name)
        if state is not None and state.instance.address == item.value.decode():
            now_s = asyncio.get_running_loop().time()
            self.health.record_leaving(item.name, now_s)
