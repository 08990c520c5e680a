"""Runs the actions of one entry; concurrent duplicates share one run."""

import asyncio

import msgspec

from fuchsiabarrow.actions import calls
from fuchsiabarrow.actions import claims as claims_module
from fuchsiabarrow.actions import keys as keys_module
from fuchsiabarrow.actions import outcomes
from fuchsiabarrow.actions import writers as writers_module

__all__ = ["ActionsService", "Settings"]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the actions; must be the same on all entries.

    Attributes:
        keys: Settings of the idempotency keys.
        claims: Settings of the claims.
        writer: Settings of the journal writer.
    """

    keys: keys_module.Settings = keys_module.Settings()
    claims: claims_module.Settings = claims_module.Settings()
    writer: writers_module.Settings = writers_module.Settings()


class ActionsService:
    """Runs actions; concurrent requests with the same key share one run.

    Requests share a run only if their bodies are equal too.

    Args:
        runner: Runs single actions.
    """

    def __init__(self, runner: claims_module.ActionRunner):
        self._runner = runner
        self._running: dict[tuple[str, bytes], asyncio.Task] = {}

    async def __aenter__(self) -> "ActionsService":
        return self

    async def __aexit__(self, *details) -> None:
        await asyncio.gather(*self._running.values(), return_exceptions=True)

    def count_running(self) -> int:
        """Returns the number of actions that are running."""
        return len(self._running)

    async def run(self, request: calls.ActionRequest) -> outcomes.Outcome:
        """Runs an action to its outcome, even if the caller disconnects."""
        key = (request.key.digest, request.body)
        task = self._running.get(key)
        if task is None:
            task = asyncio.create_task(self._runner.run(request))
            self._running[key] = task
            task.add_done_callback(lambda done: self._running.pop(key, None))
        return await asyncio.shield(task)

    async def look_up(self, key: keys_module.ActionKey) -> outcomes.Outcome:
        """Returns the recorded outcome of a key.

        Raises:
            StoreError: The store did not answer.
        """
        return await self._runner.look_up(key)

    async def finish_writes(self) -> None:
        """Waits until running actions are finished and recorded."""
        await asyncio.gather(*self._running.values(), return_exceptions=True)
        await self._runner.finish_writes()
