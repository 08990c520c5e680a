"""End-to-end tests with entries and stand-ins as separate processes."""

import asyncio
import signal
import time

import aiohttp
import uuid6

from fuchsiabarrow.entry.tests import process_fleets
from fuchsiabarrow.standins import callers
from fuchsiabarrow.standins import clusters
from fuchsiabarrow.standins import models
from fuchsiabarrow.streams import tokenizers
from fuchsiabarrow.utils import loops

PROFILES = tuple(
    p for p in clusters.PROFILES if p.instance_id in ("a-1", "b-1", "c-1")
)
ENTRIES = ("entry-1", "entry-2")


def compute_expected_answer(text: str, tokens: int) -> list[str]:
    prompt = tokenizers.encode_text(f"user: {text}")
    answer = models.complete(prompt, clusters.LAYERS, tokens)
    return [tokenizers.decode_token(token) for token in answer]


def test_chat_action_patch_and_shutdown_across_processes(fleet):
    async def check():
        async with aiohttp.ClientSession() as session:
            await process_fleets.start_fleet(session, fleet, PROFILES, ENTRIES)
            caller = callers.Caller(
                session, fleet.get_addresses(*ENTRIES), clusters.CALLER_KEY
            )
            answer = await caller.chat(clusters.PIPELINE, "a shelf", 40)
            assert answer.is_complete
            assert answer.token_texts == compute_expected_answer("a shelf", 40)
            await check_action_runs_once(session, caller)
            await check_patch(session)
            await check_stop(caller)

    async def check_action_runs_once(session, caller):
        key = str(uuid6.uuid7())
        for attempt, entry in enumerate(caller.entries, start=1):
            status, found = await caller.call_action(
                "confirm-deposit", key, {"deposit": 1}, entry, attempt
            )
            assert (status, found["outcome"]) == (200, "completed")
        service = fleet.processes["service"]
        runs = await process_fleets.read_json(session, service, "/runs")
        assert runs == {clusters.compute_call_key(key): 1}

    async def check_patch(session):
        change = {"pipelines": {"surveys": {"model": clusters.MODEL}}}
        first = fleet.processes["entry-1"]
        status, found = await process_fleets.patch(session, first, 1, change)
        assert (status, found["number"]) == (200, 2)
        status, found = await process_fleets.patch(session, first, 1, change)
        assert (status, found["in_force"]) == (412, 2)

    async def check_stop(caller):
        chat = asyncio.create_task(
            caller.chat(clusters.PIPELINE, "a rack", 100)
        )
        await asyncio.sleep(0.1)
        stopped = fleet.processes["entry-2"]
        stopped.send(signal.SIGTERM)
        answer = await chat
        assert answer.is_complete
        assert answer.token_texts == compute_expected_answer("a rack", 100)
        loop = asyncio.get_running_loop()
        code = await loop.run_in_executor(None, stopped.wait_exit, 10)
        assert code == 0, stopped.read_log()

    loops.run(check())


# Descriptors are read repeatedly because one may be open only briefly.
DESCRIPTOR_READS = 20
DESCRIPTOR_READ_PERIOD_S = 0.02


def test_running_entry_has_no_io_uring_child_or_shared_memory(fleet):
    async def check():
        async with aiohttp.ClientSession() as session:
            await process_fleets.start_fleet(
                session, fleet, PROFILES, ("entry-1",)
            )
            caller = callers.Caller(
                session, fleet.get_addresses("entry-1"), clusters.CALLER_KEY
            )
            answer = await caller.chat(clusters.PIPELINE, "a shelf", 10)
            assert answer.is_complete
        check_process(fleet.processes["entry-1"].child.pid)

    def check_process(pid: int):
        for _ in range(DESCRIPTOR_READS):
            links = process_fleets.read_descriptors(pid)
            assert any("eventpoll" in link for link in links)
            assert not [link for link in links if "io_uring" in link]
            time.sleep(DESCRIPTOR_READ_PERIOD_S)
        with open(f"/proc/{pid}/task/{pid}/children") as file:
            assert file.read().strip() == ""
        with open(f"/proc/{pid}/maps") as file:
            maps = file.read()
        assert "/dev/shm" not in maps
        assert "/SYSV" not in maps

    loops.run(check())
