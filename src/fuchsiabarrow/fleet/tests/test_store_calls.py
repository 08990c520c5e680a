"""Counts of the calls to the store."""

import asyncio

import logbook
import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import store_calls
from fuchsiabarrow.ports import collections
from fuchsiabarrow.ports import objects

CHANGE = collections.Change(objects.VersionedObject("a", b"", 2), False)


class Store:
    """Returns or raises the results of a script in turn."""

    def __init__(self, *script):
        self._script = list(script)

    async def list(self, kind, allow_stale=False):
        return self._next()

    async def watch(self, kind, revision, wait_s):
        return self._next()

    def _next(self):
        result = self._script.pop(0)
        if isinstance(result, BaseException):
            raise result
        return result


def test_calls_are_logged_by_kind_call_and_result():
    store = Store(
        collections.Snapshot((), 1),
        collections.Changes((CHANGE,), 2),
        collections.Changes((), 2),
        collections.Changes((), 2),
        exceptions.StoreHistoryExpiredError("gone"),
        exceptions.StoreUnavailableError("503"),
        asyncio.CancelledError(),
        collections.Snapshot((), 3),
    )
    now_s = [0.0]

    async def run():
        counted = store_calls.CountedStore(store, lambda: now_s[0])
        await counted.list("config")
        for _ in range(3):
            await counted.watch("config", 1, 2.0)
        for error in (
            exceptions.StoreHistoryExpiredError,
            exceptions.StoreUnavailableError,
            asyncio.CancelledError,
        ):
            with pytest.raises(error):
                await counted.watch("servers", 1, 2.0)
        now_s[0] = store_calls.LOG_PERIOD_S
        await counted.list("servers")

    with logbook.TestHandler() as handler:
        asyncio.run(run())
    (line,) = [record.message for record in handler.records]
    fields = dict(field.split("=") for field in line.split())
    assert fields == {
        "event": "store_calls",
        "config.list.answered": "1",
        "config.watch.changed": "1",
        "config.watch.unchanged": "2",
        "servers.list.answered": "1",
        "servers.watch.cancelled": "1",
        "servers.watch.failed": "1",
        "servers.watch.history_gone": "1",
    }
