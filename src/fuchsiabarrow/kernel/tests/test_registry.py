"""Tests the start order, lookup by name and stop order of services."""

import asyncio
import contextlib

import pytest

from fuchsiabarrow.kernel import registry


def test_services_are_looked_up_by_name_and_stopped_in_reverse_order():
    events = []

    @contextlib.asynccontextmanager
    async def make_service(name):
        events.append(f"start {name}")
        yield name.upper()
        events.append(f"stop {name}")

    async def check():
        async with registry.Kernel() as kernel:
            await kernel.add("a", make_service("a"))
            await kernel.add("b", make_service("b"))
            assert kernel.get("a") == "A"
            with pytest.raises(ValueError, match="another name"):
                await kernel.add("a", make_service("a"))
            with pytest.raises(KeyError, match="add it"):
                kernel.get("c")

    asyncio.run(check())
    assert events == ["start a", "start b", "stop b", "stop a"]
