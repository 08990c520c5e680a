"""Tests that one entry at a time orders lost layer ranges to be reloaded."""

import asyncio
import signal

import aiohttp
import pytest

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import engines
from fuchsiabarrow.streams.tests import entries as entries_module
from fuchsiabarrow.utils import loops

MODEL = clusters.MODEL
RANGES = [[0, 4], [4, 8], [8, 12]]
HOLDERS = tuple(
    engines.EngineProfile(f"s{first}", MODEL, first, end, 0.001)
    for first, end in RANGES
)
IDLE = tuple(
    engines.EngineProfile(f"idle-{n}", MODEL, 0, 0, 0.001) for n in range(2)
)
ENTRIES = ("entry-1", "entry-2", "entry-3")
EXTRA_SETTINGS = """
[peers]
probe_period_s = 0.3
suspicion_s = 0.5
[leases]
term_s = 1.0
[streams]
no_chain_limit_s = 20.0
"""
TIMEOUT_S = 30


def run(fleet, check):
    async def main():
        async with aiohttp.ClientSession() as session:
            profiles = (*HOLDERS, *IDLE)
            await process_fleets.start_fleet(
                session, fleet, profiles, ENTRIES, extra_settings=EXTRA_SETTINGS
            )
            change = {"models": {MODEL: {"ranges": RANGES, "replicas": 1}}}
            first = fleet.processes["entry-1"]
            status, _ = await process_fleets.patch(session, first, 1, change)
            assert status == 200
            addresses = fleet.get_addresses(*ENTRIES)
            caller = callers.Caller(session, addresses, clusters.CALLER_KEY)
            await check(session, caller)

    loops.run(main())


async def read_holder(session, fleet) -> tuple[str, int]:
    """Returns the holder and fencing token of the model's lease."""
    store = fleet.processes["objects"]
    path = f"/objects/lease/model-{MODEL}"
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            url = f"http://{store.address}{path}"
            async with session.get(url) as answer:
                if answer.status == 200:
                    record = await answer.json(content_type=None)
                    if record["holder"]:
                        return record["holder"], record["fence"]
            await asyncio.sleep(0.05)


async def wait_for_load(session, fleet, first_layer: int) -> str:
    """Returns the idle engine that was ordered to load a range."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            for profile in IDLE:
                process = fleet.processes[profile.instance_id]
                state = await process_fleets.read_json(
                    session, process, "/v1/assignment"
                )
                if state["model"] and state["first_layer"] == first_layer:
                    return profile.instance_id
            await asyncio.sleep(0.05)


def test_killed_only_holder_of_a_range_is_replaced_and_streams_continue(fleet):
    async def check(session, caller):
        await read_holder(session, fleet)
        prompts = [f"caller {number}" for number in range(8)]
        chat_tasks = await entries_module.chat_all(caller, prompts, 100)
        await asyncio.sleep(0.3)
        fleet.processes["s4"].send(signal.SIGKILL)
        await wait_for_load(session, fleet, 4)
        await entries_module.check_answers(prompts, chat_tasks, 100)

    run(fleet, check)


@pytest.mark.parametrize("checks_fence", [True, False])
def test_paused_lease_holder_is_replaced_and_gives_no_orders_when_resumed(
    fleet, checks_fence
):
    async def check(session, caller):
        for profile in IDLE:
            process = fleet.processes[profile.instance_id]
            await process_fleets.set_faults(
                session, process, check_fence=checks_fence
            )
        holder, fence = await read_holder(session, fleet)
        fleet.processes[holder].send(signal.SIGSTOP)
        fleet.processes["s4"].send(signal.SIGKILL)
        loaded = await wait_for_load(session, fleet, 4)
        successor, next_fence = await read_holder(session, fleet)
        assert (successor != holder, next_fence) == (True, fence + 1)
        fleet.processes[holder].send(signal.SIGCONT)
        fleet.processes["s8"].send(signal.SIGKILL)
        other = await wait_for_load(session, fleet, 8)
        assert other != loaded
        for name in (loaded, other):
            process = fleet.processes[name]
            state = await process_fleets.read_json(
                session, process, "/v1/state"
            )
            assert state["orders"] == sorted(state["orders"])
            assert set(state["orders"]) == {next_fence}
        (chat_task,) = await entries_module.chat_all(caller, ["a shelf"], 20)
        await entries_module.check_answers(["a shelf"], [chat_task], 20)

    run(fleet, check)


def test_stopped_lease_holder_releases_its_lease(fleet):
    async def check(session, caller):
        holder, fence = await read_holder(session, fleet)
        process = fleet.processes[holder]
        process.send(signal.SIGTERM)
        loop = asyncio.get_running_loop()
        assert await loop.run_in_executor(None, process.wait_exit, 10) == 0
        async with asyncio.timeout(TIMEOUT_S):
            found = holder
            while found == holder:
                found, next_fence = await read_holder(session, fleet)
        assert next_fence == fence + 1

    run(fleet, check)
