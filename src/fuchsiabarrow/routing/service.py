"""Follows the instance list and chooses chains for streams."""

import asyncio
import random

import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import instances
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import evidence as evidence_module
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import jitter

__all__ = ["RoutingService", "Settings"]

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the routing service.

    Attributes:
        list_period_s: Mean time between reads of the instance list.
        load_weight: Relative cost of each stream that uses an instance.
        evidence: Times and weights of the evidence.
    """

    list_period_s: float = 0.5
    load_weight: float = 0.1
    evidence: evidence_module.Settings = evidence_module.Settings()


class RoutingService:
    """Chooses instances from the list and from own evidence.

    Attributes:
        evidence: What is known of each instance.

    Args:
        listing: The platform's list.
        settings: Periods and weights.
        source: Random source.
    """

    def __init__(
        self,
        listing: instances.InstanceList,
        settings: Settings,
        source: random.Random,
    ):
        self.evidence = evidence_module.Evidence(settings.evidence)
        self._listing = listing
        self._settings = settings
        self._source = source
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "RoutingService":
        await self._read_list()
        self._task = asyncio.create_task(self._follow())
        return self

    async def __aexit__(self, *details) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

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

        return chains.choose_chain(
            self._find_states("engine", model, regions),
            layers,
            now_s,
            estimate_cost,
            self._source,
            avoid,
        )

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
        trusted = [s for s in staying if s.excluded_until_s <= now_s]
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

    async def _follow(self) -> None:
        while True:
            await asyncio.sleep(
                jitter.spread_period_s(
                    self._settings.list_period_s, self._source
                )
            )
            await self._read_list()

    async def _read_list(self) -> None:
        try:
            listed = await self._listing.read()
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("list_down", error=error))
            return
        self.evidence.update_list(listed)
