"""Seeded schedules of retries, pauses, crashes, outages and lost responses."""

import asyncio
import dataclasses
import random

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import calls
from fuchsiabarrow.actions import claims
from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import keys
from fuchsiabarrow.actions import writers
from fuchsiabarrow.actions.tests import fakes
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.ports import instances
from fuchsiabarrow.utils.tests import virtual_time

ENTRIES = 3
KEYS = 4
SENDS = 4
DURATION_S = 20.0
RECOVERY_S = 120.0
FORWARD_TIMEOUT_S = 0.5
# Fraction of schedules in which entries forward operations to the first entry.
FORWARDING_RATE = 0.5
INSTANCE = instances.Instance("w-1", "10.0.0.1:1", "service", "workshop")


@dataclasses.dataclass
class Received:
    """An answer that a caller received.

    Attributes:
        key: Digest of the key.
        sent_at_s: Time at which the request was sent.
        at_s: Time at which the answer arrived.
        state: Reported outcome.
    """

    key: str
    sent_at_s: float
    at_s: float
    state: journals.State


@dataclasses.dataclass
class Result:
    """Result of a schedule.

    Attributes:
        received: Answers that callers received.
        sent: Keys and times of all requests.
        runs: Times, keys and senders of all runs.
        final: Outcome reported to a last request after all faults, by key.
        causes: Injected faults that may leave the outcome of a call unknown if
            the service has no guard.
    """

    received: list[Received]
    sent: list[tuple[str, float]]
    runs: list[tuple[float, str, str]]
    final: dict[str, journals.State]
    causes: set[str]


class Entry:
    """Action runner of one entry, which can be paused and crashed."""

    def __init__(self, name, store, service, source):
        loop = asyncio.get_running_loop()
        self.gate = fakes.Gate()
        self.is_alive = True
        self.tasks: set[asyncio.Task] = set()
        self.writer = writers.JournalWriter(
            fakes.GatedStore(store, self.gate),
            writers.Settings(),
            source,
            self._forward,
            loop.time,
        )
        self.others: list[Entry] = []
        self.runner = claims.ActionRunner(
            name,
            self.writer,
            calls.CallSender(
                fakes.GatedService(service, self.gate, name),
                lambda service, regions, avoid: (
                    None if INSTANCE.instance_id in avoid else INSTANCE
                ),
                claims.Settings().sends,
            ),
            claims.Settings(),
            loop.time,
            loop.time,
        )

    async def _forward(self, journal, operation):
        """Forwards an operation; returns None if it is to be applied here."""
        await self.gate.wait()
        owner = self.others[0] if self.others else self
        if owner is self or not owner.is_alive:
            return None
        commit_task = asyncio.create_task(
            owner.commit_forwarded(journal, operation)
        )
        owner.tasks.add(commit_task)
        done, _ = await asyncio.wait({commit_task}, timeout=FORWARD_TIMEOUT_S)
        await self.gate.wait()
        if not done or commit_task.cancelled() or commit_task.exception():
            raise exceptions.PeerError("no response; commit it here")
        return (commit_task.result(),)

    async def commit_forwarded(self, journal, operation):
        await self.gate.wait()
        record = await self.writer.commit(journal, operation)
        await self.gate.wait()
        return record

    def send(self, request) -> asyncio.Task:
        task = asyncio.create_task(self.runner.run(request))
        self.tasks.add(task)
        return task

    async def crash(self) -> None:
        self.is_alive = False
        for task in self.tasks:
            task.cancel()
        await self.runner.__aexit__(None, None, None)
        await self.writer.__aexit__(None, None, None)


class Schedule:
    """Runs one seeded schedule."""

    def __init__(self, seed: int, guard: str):
        self._source = random.Random(seed)
        self._guard = guard
        self._action = documents.Action("workshop", "/x", guard, 1.0)
        self._received: list[Received] = []
        self._sent: list[tuple[str, float]] = []
        self._causes: set[str] = set()

    async def run(self) -> Result:
        source = self._source
        store = fakes.FakeStore(source)
        service = fakes.FakeService(source, self._guard)
        self._entries = [
            Entry(f"entry-{n}", store, service, source) for n in range(ENTRIES)
        ]
        settings = keys.Settings()
        if source.random() < FORWARDING_RATE:
            for entry in self._entries[1:]:
                entry.others = self._entries[:1]
        action_keys = [
            keys.make_key(f"key-{n}", "org", "act", 0.0, settings)
            for n in range(KEYS)
        ]
        fault_task = asyncio.create_task(self._inject_faults(store, service))
        await asyncio.gather(*(self._run_caller(key) for key in action_keys))
        await fault_task
        for entry in self._entries:
            entry.gate.resume()
        await asyncio.sleep(RECOVERY_S)
        store.clear_faults()
        service.clear_faults()
        final = {key.digest: await self._resend(key) for key in action_keys}
        for entry in self._entries:
            await entry.crash()
        return Result(
            self._received, self._sent, service.runs, final, self._causes
        )

    async def _resend(self, key: keys.ActionKey) -> journals.State:
        """Sends once more after all faults and returns the outcome."""
        entry = next(e for e in self._entries if e.is_alive)
        now_s = asyncio.get_running_loop().time()
        self._sent.append((key.digest, now_s))
        request = calls.ActionRequest(self._action, key, b"{}", now_s)
        return (await entry.send(request)).state

    async def _run_caller(self, key: keys.ActionKey) -> None:
        """Sends until the outcome is final, each time to a random entry."""
        source = self._source
        loop = asyncio.get_running_loop()
        await asyncio.sleep(source.uniform(0, DURATION_S / 2))
        for number in range(SENDS):
            entry = source.choice(self._entries)
            if not entry.is_alive:
                await asyncio.sleep(0.1)
                continue
            sent_at_s = loop.time()
            self._sent.append((key.digest, sent_at_s))
            task = entry.send(
                calls.ActionRequest(
                    self._action,
                    key,
                    b"{}",
                    sent_at_s,
                    is_first_attempt=number == 0,
                )
            )
            timeout_s = source.choice([0.05, 0.5, 3.0, 30.0])
            done, _ = await asyncio.wait({task}, timeout=timeout_s)
            if not done or task.cancelled():
                continue
            outcome = task.result()
            self._received.append(
                Received(key.digest, sent_at_s, loop.time(), outcome.state)
            )
            if outcome.state in journals.FINAL_STATES:
                return
            await asyncio.sleep(source.uniform(0.9, 3.0))

    async def _inject_faults(self, store, service) -> None:
        source = self._source
        service.refuse_rate = source.choice([0, 0, 0.3])
        service.not_sent_rate = source.choice([0, 0, 0.3])
        service.lose_answer_rate = source.choice([0, 0.3])
        service.slow_rate = source.choice([0, 0, 0.2])
        store.lose_answer_rate = source.choice([0, 0.2])
        store.late_write_rate = source.choice([0, 0, 0.2])
        if service.lose_answer_rate or service.slow_rate:
            self._causes.add("response lost")
        end_s = asyncio.get_running_loop().time() + DURATION_S
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(source.uniform(0.2, 2.0))
            fault = source.choice(["outage", "slow", "pause", "crash"])
            await self._inject_fault(fault, store)

    async def _inject_fault(self, fault: str, store) -> None:
        source = self._source
        entry = source.choice(self._entries)
        if fault == "outage":
            store.is_down = True
            await asyncio.sleep(source.uniform(0.1, 4.0))
            store.is_down = False
        elif fault == "slow":
            store.delay_s = source.choice([0.002, 0.2, 1.0])
        elif fault == "pause":
            entry.gate.pause()
            await asyncio.sleep(source.uniform(0.1, 15.0))
            entry.gate.resume()
        elif sum(e.is_alive for e in self._entries) > 1:
            self._causes.add("entry crashed")
            await entry.crash()


def run_schedule(seed: int, guard: str) -> Result:
    """Runs one schedule in virtual time."""
    return virtual_time.run(Schedule(seed, guard).run())


def find_repeated_runs(result: Result) -> list[str]:
    """Returns the keys that ran more than once."""
    ran = [key for _, key, _ in result.runs]
    return sorted({key for key in ran if ran.count(key) > 1})


def find_false_not_run(result: Result) -> list[Received]:
    """Returns the answers "not run" that were false or became false.

    The call may run after the answer only if another request for the key was
    sent after the answer was received.
    """
    false = []
    for answer in result.received:
        if answer.state is not journals.State.NOT_RUN:
            continue
        for at_s, key, _ in result.runs:
            if key != answer.key:
                continue
            is_resent = any(
                sent_key == key and answer.at_s <= sent_at_s <= at_s
                for sent_key, sent_at_s in result.sent
            )
            if at_s <= answer.at_s or not is_resent:
                false.append(answer)
    return false


def find_false_completed(result: Result) -> list[Received]:
    """Returns the answers "completed" for calls that had not run."""
    return [
        answer
        for answer in result.received
        if answer.state is journals.State.COMPLETED
        and not any(
            key == answer.key and at_s <= answer.at_s
            for at_s, key, _ in result.runs
        )
    ]
