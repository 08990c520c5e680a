"""A small simulated platform and a configuration document for it."""

import contextlib

from fuchsiabarrow.actions import keys
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.ports import instances
from fuchsiabarrow.standins import engines
from fuchsiabarrow.standins import instances as instance_standin
from fuchsiabarrow.standins import objects
from fuchsiabarrow.standins import services

__all__ = [
    "CALLER_KEY",
    "OPERATOR_KEY",
    "SimulatedCluster",
    "compute_call_key",
    "make_configuration",
]

LAYERS = 12
MODEL = "joinery-12"
PIPELINE = "quotes"
SERVICE = "workshop"
CALLER_KEY = "caller-key-of-the-order-desk"
OTHER_KEY = "caller-key-of-another-organisation"
OPERATOR_KEY = "operator-key"

# Engines of different speed on links of different delay, with overlapping
# ranges of layers.
PROFILES = (
    engines.EngineProfile("a-1", MODEL, 0, 4, 0.001, link_s=0.0002),
    engines.EngineProfile("a-2", MODEL, 0, 6, 0.002, link_s=0.001),
    engines.EngineProfile("b-1", MODEL, 4, 8, 0.001, link_s=0.0005),
    engines.EngineProfile("b-2", MODEL, 3, 9, 0.0015, link_s=0.0002),
    engines.EngineProfile("c-1", MODEL, 8, 12, 0.0005, link_s=0.002),
    engines.EngineProfile("c-2", MODEL, 6, 12, 0.002, link_s=0.0002),
)


def make_configuration(guard: str = "none") -> dict:
    """Returns a configuration document for the simulated platform.

    Args:
        guard: Guard of the action ``confirm-deposit``.
    """
    hash_key = documents.hash_key
    return {
        "models": {MODEL: {"layers": LAYERS}},
        "pipelines": {
            PIPELINE: {"model": MODEL, "actions": ["confirm-deposit"]}
        },
        "actions": {
            "confirm-deposit": {
                "service": SERVICE,
                "path": "/calls/confirm-deposit",
                "guard": guard,
                "timeout_s": 2.0,
            },
            "read-order": {
                "service": SERVICE,
                "path": "/calls/read-order",
                "guard": "repeatable",
                "timeout_s": 2.0,
            },
        },
        "organisations": {
            "shelfwright": {
                "key_sha256": [hash_key(CALLER_KEY)],
                "pipelines": [PIPELINE],
                "actions": ["confirm-deposit", "read-order"],
                "share": 4.0,
            },
            "school-board": {
                "key_sha256": [hash_key(OTHER_KEY)],
                "pipelines": [PIPELINE],
                "actions": ["confirm-deposit"],
            },
        },
        "operators": {"desk": {"key_sha256": [hash_key(OPERATOR_KEY)]}},
    }


def compute_call_key(
    key: str, organisation: str = "shelfwright", action: str = "confirm-deposit"
) -> str:
    """Returns the key under which the plain service receives a call.

    Args:
        key: Idempotency key sent by the caller.
        organisation: Organisation of the caller.
        action: Name of the action.
    """
    checked = keys.make_key(key, organisation, action, 0.0, keys.Settings())
    return checked.digest


def make_engine_instance(
    profile: engines.EngineProfile, address: str
) -> instances.Instance:
    """Returns the item of the instance list for an engine."""
    return instances.Instance(
        profile.instance_id,
        address,
        "engine",
        profile.model,
        profile.first_layer,
        profile.end_layer,
        region="tt-north",
        accelerator=profile.accelerator,
    )


class SimulatedCluster:
    """A simulated platform: store, instance list, engines and a service.

    All stand-ins run in this process.

    Attributes:
        store: Object API.
        instance_list: Instance list.
        service: Plain service.
        engines: Engines by instance id.

    Args:
        profiles: Engines to start.
    """

    def __init__(self, profiles: tuple[engines.EngineProfile, ...] = PROFILES):
        self.store = objects.StoreStandin()
        self.instance_list = instance_standin.ListStandin()
        self.service = services.ServiceStandin()
        self.engines: dict[str, engines.EngineStandin] = {}
        self._profiles = profiles
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "SimulatedCluster":
        for standin in (self.store, self.instance_list, self.service):
            await self._stack.enter_async_context(standin)
        for profile in self._profiles:
            await self.start_engine(profile)
        self.instance_list.put(
            instances.Instance(
                "w-1",
                self.service.server.address,
                "service",
                SERVICE,
                region="tt-north",
            )
        )
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._stack.aclose()

    async def start_engine(
        self, profile: engines.EngineProfile
    ) -> engines.EngineStandin:
        """Starts an engine and adds it to the instance list."""
        engine = engines.EngineStandin(profile)
        await self._stack.enter_async_context(engine)
        self.engines[profile.instance_id] = engine
        self.instance_list.put(
            make_engine_instance(profile, engine.server.address)
        )
        return engine

    def set_leaving(self, instance_id: str) -> None:
        """Marks an instance as leaving in the instance list."""
        engine = self.engines[instance_id]
        listed = make_engine_instance(engine.profile, engine.server.address)
        self.instance_list.put(
            instances.Instance(
                **{
                    name: getattr(listed, name)
                    for name in listed.__struct_fields__
                    if name != "leaving"
                },
                leaving=True,
            )
        )
