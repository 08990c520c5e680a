"""The actions of one entry: settings, and one run for each key at a time."""

import asyncio

import msgspec

from fuchsiabarrow.actions import calls
from fuchsiabarrow.actions import claims as claims_module
from fuchsiabarrow.actions import keys as keys_module
from fuchsiabarrow.actions import outcomes
from fuchsiabarrow.actions import writers as writers_module

__all__ = ["ActionsService", "Settings"]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the actions; the same on all entries.

    Attributes:
        keys: Retention and journals.
        claims: Times of the claims.
        writer: Delays and bounds of the journal writer.
    """

    keys: keys_module.Settings = keys_module.Settings()
    claims: claims_module.Settings = claims_module.Settings()
    writer: writers_module.Settings = writers_module.Settings()


class ActionsService:
    """Runs actions; requests with the same key at one entry share a run.

    Args:
        runner: Runs actions under claims.
    """

    def __init__(self, runner: claims_module.ClaimRunner):
        self._runner = runner
        self._running: dict[tuple[str, bytes], asyncio.Task] = {}

    async def __aenter__(self) -> "ActionsService":
        return self

    async def __aexit__(self, *details) -> None:
        await asyncio.gather(*self._running.values(), return_exceptions=True)

    def count_running(self) -> int:
        """Returns how many actions are under way."""
        return len(self._running)

    async def run(self, request: calls.ActionRequest) -> outcomes.Outcome:
        """Runs an action to its outcome, also if the caller goes away."""
        key = (request.key.digest, request.body)
        task = self._running.get(key)
        if task is None:
            task = asyncio.create_task(self._runner.run(request))
            self._running[key] = task
            task.add_done_callback(lambda done: self._running.pop(key, None))
        return await asyncio.shield(task)

    async def look_up(self, key: keys_module.ActionKey) -> outcomes.Outcome:
        """Returns what is recorded of a key."""
        return await self._runner.look_up(key)

    async def finish_writes(self) -> None:
        """Waits until running actions and their records are written."""
        await asyncio.gather(*self._running.values(), return_exceptions=True)
        await self._runner.finish_writes()
