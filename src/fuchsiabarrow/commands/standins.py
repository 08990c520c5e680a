"""Runs a stand-in for an external system as a separate process."""

from fuchsiabarrow.standins import engines
from fuchsiabarrow.standins import instances
from fuchsiabarrow.standins import objects
from fuchsiabarrow.standins import services
from fuchsiabarrow.utils import signals

__all__ = ["run_engine", "run_instances", "run_objects", "run_service"]


async def _run(standin) -> None:
    async with standin:
        print(standin.server.address, flush=True)
        await signals.wait_for_stop()


async def run_objects(port: int) -> None:
    """Runs a stand-in for the object API."""
    await _run(objects.StoreStandin(port))


async def run_instances(port: int) -> None:
    """Runs a stand-in for the instance list."""
    await _run(instances.ListStandin(port))


async def run_service(port: int) -> None:
    """Runs a stand-in for a service that runs actions."""
    await _run(services.ServiceStandin(port))


async def run_engine(profile: engines.EngineProfile, port: int) -> None:
    """Runs a stand-in for an engine; a simulated crash ends the process."""
    await _run(engines.EngineStandin(profile, port, crash_ends_process=True))
