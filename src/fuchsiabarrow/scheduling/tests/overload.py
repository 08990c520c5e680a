"""Simulated service with more callers than memory, on virtual time."""

import asyncio
import collections
import dataclasses
import functools
import random

from fuchsiabarrow.scheduling import admission
from fuchsiabarrow.scheduling import room

__all__ = [
    "LARGE_SIZES",
    "SIZES",
    "Attempt",
    "Caller",
    "Service",
    "run_burst",
]

Sizes = tuple[tuple[int, float], ...]

OBJECTIVES_S = {0: 0.503, 1: 0.503, 2: 1.003}
# Sizes in tokens with their weights; the last are the largest tenth. Those of
# LARGE_SIZES need between a quarter and all of the memory of an instance.
SIZES = ((400, 0.7), (800, 0.2), (1600, 0.1))
LARGE_SIZES = ((400, 0.7), (1200, 0.2), (3600, 0.1))
TOKENS_PER_S = 800.0
ORGANISATIONS = 24
LIMIT_S = 12.0
# Memory that the least urgent leave free, as `get_memory_fraction` on the page.
MAX_KEPT_FRACTION = 0.15


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of a caller.

    Attributes:
        at_s: Time of the attempt.
        returned: Whether the caller had been refused before.
        ended_s: Time at which it was started or refused.
        decision: The decision.
    """

    at_s: float
    returned: bool
    ended_s: float = 0.0
    decision: room.Decision | None = None


@dataclasses.dataclass(slots=True)
class Caller:
    """One request with all its attempts.

    Attributes:
        rank: Its rank.
        organisation: Its organisation.
        size: Context that it needs.
        attempts: Its attempts so far.
        started_s: Time at which it was started; None if it never was.
    """

    rank: int
    organisation: str
    size: float
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    started_s: float | None = None


class Service:
    """Instances with memory, each of which holds whole requests."""

    def __init__(self, memories: list[float], seed: int):
        self.memories = memories
        self.free = list(memories)
        self.source = random.Random(seed)
        self.used_by = collections.Counter()
        self.admission = admission.Admission(self.read_capacity, self.source)

    def read_capacity(self) -> room.Capacity:
        free = sum(self.free)
        return room.Capacity(free, sum(self.memories) - free)

    def reserve(self, size: float, position: float) -> int | None:
        kept = MAX_KEPT_FRACTION * position
        fitting = [
            i
            for i, free in enumerate(self.free)
            if free >= size + kept * self.memories[i]
        ]
        if not fitting:
            return None
        best = max(fitting, key=lambda i: self.free[i])
        self.free[best] -= size
        return best

    def release(self, instance: int, size: float) -> None:
        self.free[instance] += size

    def crash(self) -> None:
        """Removes all instances with their memory."""
        self.memories = [0.0] * len(self.memories)
        self.free = list(self.memories)

    def make_ticket(self, caller: Caller, now_s: float) -> room.Ticket:
        used = sum(self.used_by.values())
        excess = 0.0
        if used:
            share = self.used_by[caller.organisation] / used
            excess = max(0.0, share - 1 / ORGANISATIONS)
        return room.Ticket(
            "r",
            caller.organisation,
            caller.rank,
            caller.rank / 2,
            caller.size,
            now_s,
            OBJECTIVES_S[caller.rank],
            now_s - caller.attempts[0].at_s,
            0.1,
            round(excess, 3),
            1.0 - MAX_KEPT_FRACTION * caller.rank / 2,
        )

    async def call(self, caller: Caller, log: list[Caller]) -> None:
        """Repeats a request as told until it starts or time is up."""
        loop = asyncio.get_running_loop()
        first_s = loop.time()
        while True:
            now_s = loop.time()
            attempt = Attempt(now_s, bool(caller.attempts))
            caller.attempts.append(attempt)
            turn = await self.admission.wait_for_turn(
                self.make_ticket(caller, now_s),
                functools.partial(self.reserve, caller.size),
                lambda instance: self.release(instance, caller.size),
            )
            attempt.ended_s, attempt.decision = loop.time(), turn.decision
            if turn.path is not None:
                break
            left_s = first_s + LIMIT_S - loop.time()
            if left_s < 0.5:
                return
            await asyncio.sleep(min(turn.decision.retry_after_s, left_s / 3))
        caller.started_s = loop.time()
        log.append(caller)
        self.used_by[caller.organisation] += caller.size
        held_s = caller.size / TOKENS_PER_S * self.source.uniform(0.6, 1.4)
        await asyncio.sleep(held_s)
        self.used_by[caller.organisation] -= caller.size
        self.release(turn.path, caller.size)
        self.admission.record_released(caller.size, held_s)


def _draw(source: random.Random, sizes: Sizes) -> Caller:
    organisation = min(ORGANISATIONS - 1, int(source.paretovariate(0.8)) - 1)
    values, weights = zip(*sizes, strict=True)
    return Caller(
        source.randrange(3),
        f"o{organisation}",
        source.choices(values, weights)[0] * source.uniform(0.9, 1.1),
    )


def compute_capacity_per_s(memory: float, sizes: Sizes) -> float:
    """Returns the requests per second that fill memory on average."""
    cost = sum(weight * size * size for size, weight in sizes) / TOKENS_PER_S
    return memory / cost


async def run_burst(
    load: float,
    burst_s: float,
    seed: int,
    sizes: Sizes = SIZES,
    calm_s: float = 3.0,
    after_s: float = 6.0,
) -> tuple[Service, list[Caller], list[Caller]]:
    """Runs callers at half load, then a burst, then at half load.

    Returns:
        The service, the callers of the burst, and all callers in the order in
        which they were started.
    """
    memories = [4000.0 + 1500 * (i % 7) for i in range(14)]
    service = Service(memories, seed)
    source = random.Random(seed + 1)
    per_s = compute_capacity_per_s(sum(memories), sizes)
    burst, log, tasks = [], [], []
    loop = asyncio.get_running_loop()
    while (now_s := loop.time()) < calm_s + burst_s + after_s:
        is_burst = calm_s <= now_s < calm_s + burst_s
        caller = _draw(source, sizes)
        if is_burst:
            burst.append(caller)
        tasks.append(asyncio.create_task(service.call(caller, log)))
        rate = per_s * (load if is_burst else 0.5)
        await asyncio.sleep(source.expovariate(rate))
    await asyncio.gather(*tasks)
    return service, burst, log
