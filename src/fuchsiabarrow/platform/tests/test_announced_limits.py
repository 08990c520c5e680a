"""Engines that announce how many requests a second they take."""

import asyncio
import collections

import pytest

from fuchsiabarrow.platform.tests import entry_simulation

# Bounds of the platform: from this time after an engine first announced a
# limit, it gets in each window at most a multiple of what the limit allows and
# some more requests from the entries that know the limit.
STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
KNOWN_AFTER_S = 0.5
BEFORE_S = 6.0
LIMITED_S = 14.0
SIZES = pytest.mark.parametrize(
    ("entries", "engines", "per_s", "seed", "share", "factor"),
    [
        (9, 24, 40, 1, 0.7, 0.5),
        (9, 24, 40, 2, 0.5, 0.2),
        (76, 60, 120, 1, 0.7, 0.5),
        (76, 60, 120, 1, 0.5, 0.2),
        (400, 90, 200, 1, 0.5, 0.2),
    ],
)


def count_excess(cluster) -> dict[str, float]:
    """Returns the largest share of its bound that each engine received."""
    shares = {}
    by_engine = collections.defaultdict(list)
    for arrival in cluster.arrivals:
        by_engine[arrival.engine].append(arrival)
    for engine, known in cluster.announced.items():
        limit_per_s = cluster.limits[engine]
        allowed = LIMIT_FACTOR * limit_per_s * WINDOW_S + EXTRA_REQUESTS
        begin_s = min(known.values()) + STABLE_WINDOW_S
        times = [
            a.at_s
            for a in by_engine[engine]
            if a.at_s >= begin_s
            and a.at_s >= known.get(a.entry, float("inf")) + KNOWN_AFTER_S
        ]
        most = max(
            (sum(t <= u < t + WINDOW_S for u in times) for t in times),
            default=0,
        )
        shares[engine] = most / allowed
    return shares


def limit_engines(cluster, share: float, factor: float) -> None:
    """Has engines announce a part of the rate at which they got requests."""
    now_s = asyncio.get_running_loop().time()
    counts = collections.Counter(
        a.engine for a in cluster.arrivals if a.at_s > now_s - WINDOW_S
    )
    engines = [
        e for e in cluster.engines.values() if e.upstream.layers.first == 0
    ]
    cluster.random.shuffle(engines)
    for engine in engines[: round(share * len(engines))]:
        engine.limit_per_s = max(
            0.5, factor * counts[engine.upstream.instance_id] / WINDOW_S
        )


async def run_day(cluster, per_s, share, factor, weights=None):
    await asyncio.sleep(entry_simulation.WARM_UP_S)
    await cluster.send_at_rate(per_s, BEFORE_S, lambda: ("shared",), weights)
    limit_engines(cluster, share, factor)
    answers = await cluster.send_at_rate(
        per_s, LIMITED_S, lambda: ("shared",), weights
    )
    await asyncio.sleep(2.0)
    return answers


@SIZES
def test_engine_gets_no_more_than_the_limit_that_it_announced(
    entries, engines, per_s, seed, share, factor
):
    # Each entry knows the limit, but not how many requests the others send.
    async def main():
        async with entry_simulation.Cluster(entries, engines, seed) as cluster:
            answers = await run_day(cluster, per_s, share, factor)
            return cluster, answers

    cluster, answers = entry_simulation.run(main)
    excess = count_excess(cluster)
    assert len(excess) > 1
    assert max(excess.values()) <= 1.0
    begun = sum(answer.has_begun for answer in answers)
    assert begun / len(answers) > 0.97


def test_limit_holds_for_entries_with_uneven_load():
    async def main():
        async with entry_simulation.Cluster(9, 24, 3) as cluster:
            weights = [8, 4, 2, 1, 1, 1, 1, 1, 1]
            answers = await run_day(cluster, 40, 0.7, 0.4, weights)
            return cluster, answers

    cluster, answers = entry_simulation.run(main)
    assert max(count_excess(cluster).values()) <= 1.0
    begun = sum(answer.has_begun for answer in answers)
    assert begun / len(answers) > 0.97
