"""Follows the instance list and chooses chains for streams."""

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
from fuchsiabarrow.routing import evidence as evidence_module
from fuchsiabarrow.routing import subsets
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["RoutingService", "Settings"]

# Entries tell each other which instances leave.
LEAVING_KIND = "leaving"
# Entries tell each other what engines hold that were given orders.
HELD_KIND = "held"
HELD_LIFETIME_S = 3600.0
MILLISECONDS_PER_S = 1000
# Part of the staying instances, and their least number, whose loss at once
# makes a list implausible.
LOSS_LIMIT = 0.5
LOSS_LEAST = 3
# Time between looks for instances that are due for a probe.
PROBE_POLL_S = 0.1

# Tells whether an instance answers; it has a bound of its own on its time.
Probe = Callable[[instances.Instance], Awaitable[bool]]

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the routing service.

    Attributes:
        list_rate_per_s: Reads of the instance list by all entries together.
        list_least_s: Smallest time between reads by one entry.
        implausible_hold_s: A list that lacks most instances at once is not
            believed for this long.
        load_weight: Relative cost of each stream that uses an instance.
        evidence: Times and weights of the evidence.
    """

    list_rate_per_s: float = 20.0
    list_least_s: float = 0.5
    implausible_hold_s: float = 30.0
    load_weight: float = 0.1
    evidence: evidence_module.Settings = evidence_module.Settings()


class _Held(msgspec.Struct, frozen=True, array_like=True):
    """Layers that an engine reported to the holder of a duty."""

    address: str
    first_layer: int
    end_layer: int


class RoutingService:
    """Chooses instances from the list and from own evidence.

    Attributes:
        evidence: What is known of each instance.

    Args:
        listing: The platform's list.
        peers: Other entries.
        entry_name: Name of this entry.
        probe: Tells whether an instance answers, within a bounded time.
        settings: Periods and weights.
        source: Random source.
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
        self.evidence = evidence_module.Evidence(settings.evidence)
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
        self._probed: set[str] = set()

    async def __aenter__(self) -> "RoutingService":
        self._peers.add_listener(LEAVING_KIND, self._accept_leaving)
        self._peers.add_listener(HELD_KIND, self._accept_held)
        await self._read_list()
        self._start_task(
            tasks.repeat(
                "instance_list",
                self._read_list,
                self._get_list_period_s,
                pauses_first=True,
            )
        )
        self._start_task(
            tasks.repeat(
                "instance_probes",
                self._start_probes,
                lambda: jitter.spread_period_s(PROBE_POLL_S, self._source),
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
        """Awaits `listener` after each read of the list."""
        self._list_listeners.append(listener)

    def choose_chain(
        self,
        model: str,
        layers: int,
        regions: list[str],
        avoid: frozenset[str],
    ) -> tuple[chains.Hop, ...]:
        """Returns a chain for a model; see `chains.choose_chain`."""
        now_s = asyncio.get_running_loop().time()

        def estimate_cost(state: evidence_module.InstanceState) -> float:
            hop_s = self.evidence.estimate_hop_s(state, now_s)
            return hop_s * (1 + self._settings.load_weight * state.in_flight)

        states = self._find_states("engine", model, regions)
        preferred = subsets.choose_subset(
            (
                state
                for state in states
                if state.is_trusted(now_s)
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
                pass  # The others are there for this.
        return chains.choose_chain(
            states, layers, now_s, estimate_cost, self._source, avoid
        )

    def choose_replacement(
        self, model: str, hop: chains.Hop, regions: list[str]
    ) -> chains.Hop | None:
        """Returns another instance for exactly the layers of a hop.

        Of two drawn at random the one with fewer streams in flight is taken;
        None if no trusted instance holds these layers.
        """
        now_s = asyncio.get_running_loop().time()
        usable = [
            state
            for state in self._find_states("engine", model, regions)
            if state.instance.instance_id != hop.instance_id
            and state.is_trusted(now_s)
            and state.instance.first_layer <= hop.first_layer
            and hop.end_layer <= state.instance.end_layer
        ]
        if not usable:
            return None
        drawn = self._source.sample(usable, min(chains.CHOICES, len(usable)))
        state = min(drawn, key=lambda found: found.in_flight)
        return chains.Hop(
            state.instance.instance_id,
            state.instance.address,
            hop.first_layer,
            hop.end_layer,
        )

    def estimate_chain_s(self, chain: Iterable[chains.Hop]) -> float:
        """Returns the expected time of a token through a chain in seconds."""
        now_s = asyncio.get_running_loop().time()
        total_s = 0.0
        for hop in chain:
            state = self.evidence.find(hop.instance_id)
            if state is not None:
                total_s += self.evidence.estimate_hop_s(state, now_s)
        return total_s

    def choose_service(
        self, service: str, regions: list[str], avoid: set[str]
    ) -> instances.Instance | None:
        """Returns an instance of a plain service, None if there is none."""
        now_s = asyncio.get_running_loop().time()
        staying = [
            state
            for state in self._find_states("service", service, regions)
            if not state.is_leaving and state.instance.instance_id not in avoid
        ]
        trusted = [s for s in staying if s.is_trusted(now_s)]
        usable = trusted or staying
        if not usable:
            return None
        drawn = self._source.sample(usable, min(chains.CHOICES, len(usable)))
        return min(drawn, key=lambda state: state.in_flight).instance

    def _find_states(self, kind: str, serves: str, regions: list[str]):
        return [
            state
            for state in self.evidence.get_states()
            if state.instance.kind == kind
            and state.instance.serves == serves
            and (not regions or state.instance.region in regions)
        ]

    def _get_list_period_s(self) -> float:
        """Returns the time to the next read, at a rate all entries share."""
        period_s = self._peers.get_period_s(
            self._settings.list_rate_per_s, self._settings.list_least_s
        )
        return jitter.spread_period_s(period_s, self._source)

    async def _start_probes(self) -> None:
        """Starts to look whether instances that failed are back."""
        now_s = asyncio.get_running_loop().time()
        for state in self.evidence.get_states():
            name = state.instance.instance_id
            if state.needs_probe(now_s) and name not in self._probed:
                self._probed.add(name)
                self._start_task(self._probe_once(state.instance))

    async def _probe_once(self, instance: instances.Instance) -> None:
        name = instance.instance_id
        try:
            if await self._probe(instance):
                self.evidence.record_probe_success(name)
            else:
                now_s = asyncio.get_running_loop().time()
                self.evidence.record_failure(name, now_s)
        finally:
            self._probed.discard(name)

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
        current = [self._apply_held(instance) for instance in listed]
        self.evidence.update_list(current, now_s)
        for instance in listed:
            if instance.leaving:
                self._tell_leaving(instance)
                continue
            item = self._peers.get_item(
                f"{LEAVING_KIND}/{instance.instance_id}"
            )
            if item is not None:
                self._accept_leaving(item)
        for listener in self._list_listeners:
            await listener()

    def report_service(self, instance_id: str, took_connection: bool) -> None:
        """Notes whether a plain service's instance took a connection."""
        now_s = asyncio.get_running_loop().time()
        if took_connection:
            self.evidence.record_success(instance_id, 0.0, now_s)
        else:
            self.evidence.record_failure(instance_id, now_s)

    def get_pool(self, model: str) -> list[instances.Instance]:
        """Returns the listed engines that serve a model, leaving ones too."""
        return [
            instance
            for instance in self._listed
            if instance.kind == "engine" and instance.serves == model
        ]

    def tell_held(
        self, instance: instances.Instance, state: orders.EngineState
    ) -> None:
        """Tells all entries what an engine holds, if that is news."""
        held = _Held(instance.address, state.first_layer, state.end_layer)
        value = msgspec.msgpack.encode(held)
        key = f"{HELD_KIND}/{instance.instance_id}"
        known = self._peers.get_item(key)
        if known is not None and known.value == value:
            return
        version = int(MILLISECONDS_PER_S * clocks.read_wall_time_s())
        self._peers.publish(key, version, value, HELD_LIFETIME_S)

    def _apply_held(self, instance: instances.Instance) -> instances.Instance:
        """Returns a listed instance with the layers that it reported."""
        item = self._peers.get_item(f"{HELD_KIND}/{instance.instance_id}")
        if item is None:
            return instance
        held = msgspec.msgpack.decode(item.value, type=_Held)
        if held.address != instance.address:
            return instance
        return msgspec.structs.replace(
            instance, first_layer=held.first_layer, end_layer=held.end_layer
        )

    def _accept_held(self, item: items.Item) -> None:
        state = self.evidence.find(item.name)
        if state is not None:
            state.instance = self._apply_held(state.instance)

    def _is_implausible(
        self, listed: list[instances.Instance], now_s: float
    ) -> bool:
        """Tells whether a list lost too much at once to be believed yet.

        Instances that leave are shown as leaving first. A list that lacks most
        of those that were staying is more likely cut short.
        """
        staying = {i.instance_id for i in self._listed if not i.leaving}
        lost = staying - {i.instance_id for i in listed}
        if len(lost) <= LOSS_LIMIT * len(staying) or len(lost) < LOSS_LEAST:
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
        """Notes a drain answer and tells the other entries."""
        state = self.evidence.find(instance_id)
        if state is not None:
            now_s = asyncio.get_running_loop().time()
            self.evidence.record_leaving(instance_id, now_s)
            self._tell_leaving(state.instance)

    def _tell_leaving(self, instance: instances.Instance) -> None:
        key = f"{LEAVING_KIND}/{instance.instance_id}"
        known = self._peers.get_item(key)
        address = instance.address.encode()
        if known is not None and known.value == address:
            return
        version = int(clocks.read_wall_time_s())
        self._peers.publish(
            key, version, address, self._settings.evidence.drain_hold_s
        )

    def _accept_leaving(self, item: items.Item) -> None:
        """Takes over from another entry that an instance leaves."""
        state = self.evidence.find(item.name)
        if state is not None and state.instance.address == item.value.decode():
            now_s = asyncio.get_running_loop().time()
            self.evidence.record_leaving(item.name, now_s)
