"""Requests that share a prompt part under which each engine crashes."""

import asyncio

import pytest

from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform.tests import entry_simulation

# Bounds of the platform: three more requests from this time after the fifth
# crash on.
STABLE_WINDOW_S = 3.0
MAX_CRASHES_UNTIL_BLOCKED = 5
MAX_LATE_REQUESTS = 3
BEFORE_S = 8.0
CRASHING_S = 12.0
CRASHING_PER_S = 1.0
DEAD = "dead"
SHARED = "shared"
SIZES = pytest.mark.parametrize(
    ("entries", "engines", "per_s", "seed"),
    [
        (9, 24, 40, 1),
        (9, 24, 40, 2),
        (76, 60, 120, 1),
        (76, 60, 120, 2),
        (400, 90, 200, 1),
    ],
)


def count_begun(answers) -> float:
    return sum(answer.has_begun for answer in answers) / max(1, len(answers))


def find_late_arrivals(cluster) -> list:
    crash_times = sorted({at_s for at_s, _ in cluster.crashes})
    if len(crash_times) < MAX_CRASHES_UNTIL_BLOCKED:
        return []
    late_s = crash_times[MAX_CRASHES_UNTIL_BLOCKED - 1] + STABLE_WINDOW_S
    return [a for a in cluster.arrivals if DEAD in a.parts and a.at_s > late_s]


async def repeat_failed(cluster, answers, organisations) -> None:
    """Sends failed requests once more, as their callers do."""
    repeated = set()
    while True:
        await asyncio.sleep(0.1)
        for answer in [a for a in answers if a.refusal is not None]:
            if answer not in repeated and not answer.refusal.is_not_run:
                repeated.add(answer)
                cluster.send(
                    (SHARED, DEAD), cluster.random.choice(organisations)
                )


async def run_day(cluster, per_s, organisations=("org",), during=None):
    """Returns the answers to sound requests before and after the crashes."""

    def draw_sound_parts():
        # One request in ten has a part that is otherwise rare.
        number = cluster.random.randrange(200)
        return (SHARED,) if number >= 20 else (SHARED, f"rare{number}")

    async def send_crashing():
        answers = []
        repeats = asyncio.create_task(
            repeat_failed(cluster, answers, organisations)
        )
        end_s = asyncio.get_running_loop().time() + CRASHING_S
        while asyncio.get_running_loop().time() < end_s:
            organisation = cluster.random.choice(organisations)
            answers.append(cluster.send((SHARED, DEAD), organisation))
            await asyncio.sleep(cluster.random.expovariate(CRASHING_PER_S))
        repeats.cancel()

    cluster.crashing_part = DEAD
    await asyncio.sleep(entry_simulation.WARM_UP_S)
    before = await cluster.send_at_rate(per_s, BEFORE_S, draw_sound_parts)
    crashing = asyncio.create_task(send_crashing())
    if during is not None:
        during = asyncio.create_task(during(cluster))
    after = await cluster.send_at_rate(per_s, CRASHING_S, draw_sound_parts)
    await crashing
    if during is not None:
        await during
    await asyncio.sleep(1.0)
    return before, after


@SIZES
def test_requests_with_a_crashing_part_are_blocked(
    entries, engines, per_s, seed
):
    # No two of the requests are equal, so that a count of crashes by request
    # never reaches its limit while each crashes several engines.
    async def main():
        async with entry_simulation.Cluster(entries, engines, seed) as cluster:
            before, after = await run_day(cluster, per_s)
            return cluster, before, after

    cluster, before, after = entry_simulation.run(main)
    assert len(cluster.crashes) <= MAX_CRASHES_UNTIL_BLOCKED
    assert len(find_late_arrivals(cluster)) <= MAX_LATE_REQUESTS
    assert count_begun(before) > 0.99
    assert count_begun(after) > 0.95


def test_crashing_part_of_several_organisations_is_blocked():
    # Crashes under the requests of one organisation block only its own
    # requests; they must not crash engines for each organisation anew.
    async def main():
        async with entry_simulation.Cluster(9, 24) as cluster:
            await run_day(cluster, 40, tuple(f"org{n}" for n in range(8)))
            return cluster

    cluster = entry_simulation.run(main)
    assert len(cluster.crashes) <= MAX_CRASHES_UNTIL_BLOCKED
    assert len(find_late_arrivals(cluster)) <= MAX_LATE_REQUESTS


def test_restarted_entry_knows_the_blocked_part():
    # All evidence is at the entries that saw the crashes; these end.
    async def main():
        async with entry_simulation.Cluster(9, 24) as cluster:
            await run_day(cluster, 40)
            known = len(cluster.crashes)
            for index in range(9):
                await cluster.stop_entry(f"entry-{index:03}")
                await cluster.start_entry(index)
                await asyncio.sleep(2.0)
            for index in range(9):
                cluster.send((SHARED, DEAD), entry=f"entry-{index:03}")
            await asyncio.sleep(3.0)
            return len(cluster.crashes) - known

    assert entry_simulation.run(main) == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_crashes_from_other_causes_block_no_part(seed):
    # Engines that crash for another reason are evidence against all parts in
    # use, also against those that are too rare to have begun elsewhere.
    async def crash_engines(cluster):
        engines = list(cluster.engines.values())
        cluster.random.shuffle(engines)
        await asyncio.sleep(3.0)
        burst = [cluster.send((SHARED, "new")) for _ in range(20)]
        await asyncio.sleep(entry_simulation.PREFILL_S / 2)
        for engine in engines[:8]:
            engine.crash()
        for engine in engines[8:16]:
            await asyncio.sleep(0.7)
            cluster.send((SHARED, "series"))
            await asyncio.sleep(entry_simulation.PREFILL_S / 2)
            engine.crash()
        return burst

    async def main():
        async with entry_simulation.Cluster(9, 36, seed) as cluster:
            cluster.crashing_part = ""

            def draw_sound_parts():
                number = cluster.random.randrange(200)
                return (SHARED,) if number >= 20 else (SHARED, f"rare{number}")

            await asyncio.sleep(entry_simulation.WARM_UP_S)
            await cluster.send_at_rate(40, 8.0, draw_sound_parts)
            crashing = asyncio.create_task(crash_engines(cluster))
            answers = await cluster.send_at_rate(40, 12.0, draw_sound_parts)
            burst = await crashing
            answers += [cluster.send((SHARED, "new")) for _ in range(5)]
            answers += [cluster.send((SHARED, "series")) for _ in range(5)]
            await asyncio.sleep(3.0)
            return answers + burst

    answers = entry_simulation.run(main)
    refused = [
        answer
        for answer in answers
        if answer.refusal is not None
        and answer.refusal.reason is messages.RefusalReason.CRASHES_UPSTREAMS
    ]
    assert refused == []
    assert count_begun(answers) > 0.9
