"""Tests of entries that choose paths with delayed load reports."""

import heapq
import random

import pytest

from fuchsiabarrow.fleet import candidate_sampling
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.placement import plans
from fuchsiabarrow.placement.tests import test_plans

SIZE = paths.RequestSize(774.0, 200.0)
MODEL = fleets.make_model(
    tokens_per_event=5, prefill_tokens_per_s=164_000.0, link_mbps=10_400.0
)


def make_placed() -> list:
    """Returns instances with layers, three times as many as in `COUNTS`."""
    empty = [
        fleets.make_instance(
            f"{kind}-{domain}-{index}", domain, kind, address=f"h{kind}:{index}"
        )
        for kind, by_domain in fleets.COUNTS.items()
        for domain, count in by_domain.items()
        for index in range(3 * count)
    ]
    return test_plans.apply(empty, plans.plan_assignments(empty, MODEL, {}))


class DelayedEntries:
    """Simulates entries that learn of changes of the load after a delay."""

    def __init__(self, count: int, lag_s: float, seed: int):
        self.lag_s = lag_s
        self.source = random.Random(seed)
        self.placed = make_placed()
        self.entries = [loads.LoadTable() for _ in range(count)]
        self.actual = loads.LoadTable()
        self.running: list = []
        # Changes of load that the entries do not know of yet, by time.
        self.unreported: list = []
        self.reported = loads.LoadTable()
        self.rejected = self.served = 0

    def run(self, rate_per_s: float, duration_s: float, is_sampled: bool):
        now_s = 0.0
        while now_s < duration_s:
            now_s += self.source.expovariate(rate_per_s)
            self.end_requests(now_s)
            unreported_requests = rate_per_s * self.lag_s if is_sampled else 0.0
            self.choose(now_s, unreported_requests)
        return self.rejected / (self.rejected + self.served)

    def end_requests(self, now_s: float) -> None:
        while self.running and self.running[0][0] <= now_s:
            _, _, entry, taken = heapq.heappop(self.running)
            self.change_load(now_s, entry, taken, -1)
        while self.unreported and self.unreported[0][0] <= now_s:
            _, _, taken, sign = heapq.heappop(self.unreported)
            self.reported.add_own(taken, sign)

    def change_load(self, now_s, entry: int, taken: dict, sign: int) -> None:
        self.actual.add_own(taken, sign)
        self.entries[entry].add_own(taken, sign)
        reported_s = now_s + self.lag_s
        item = (reported_s, self.source.random(), taken, sign)
        heapq.heappush(self.unreported, item)

    def choose(self, now_s: float, unreported_requests: float) -> None:
        entry = self.source.randrange(len(self.entries))
        candidates = [
            paths.make_candidate(
                instance, MODEL, SIZE, self.reported.get(instance.key), 1.0
            )
            for instance in self.placed
        ]
        kept = candidate_sampling.sample_candidates(
            candidates, SIZE, unreported_requests, self.source.random
        )
        found = self.find(kept, entry) or self.find(candidates, entry)
        if found is None or not self.has_room(found):
            self.rejected += 1
            return
        self.served += 1
        taken = {}
        total_ms = 0.0
        for index, segment in enumerate(found):
            layers = segment.end - segment.first
            load = self.actual.get(segment.upstream.key)
            taken[segment.upstream.key] = loads.Load(
                1, int(index == 0), SIZE.context_tokens * layers
            )
            step_ms = MODEL.compute_step_ms(
                segment.upstream.kind,
                1 + load.requests,
                load.context / len(segment.upstream.layers),
            )
            total_ms += step_ms * layers / MODEL.layers * SIZE.answer_tokens
        self.change_load(now_s, entry, taken, 1)
        end = (now_s + total_ms / 1000, self.source.random(), entry, taken)
        heapq.heappush(self.running, end)

    def find(self, candidates, entry: int):
        domain = fleets.DOMAINS[entry % len(fleets.DOMAINS)]
        return paths.choose_path(
            candidates,
            MODEL,
            SIZE,
            domain,
            lambda: 0.05 * self.source.random(),
        )

    def has_room(self, found) -> bool:
        for segment in found:
            held = len(segment.upstream.layers)
            kind = segment.upstream.kind
            capacity = MODEL.count_context_tokens(kind, held) * held
            needed = SIZE.context_tokens * (segment.end - segment.first)
            if (
                self.actual.get(segment.upstream.key).context + needed
                > capacity
            ):
                return False
        return True


@pytest.mark.parametrize("lag_s", [0.3, 0.7])
def test_sampling_reduces_rejections_with_delayed_reports(lag_s):
    without = DelayedEntries(70, lag_s, 1).run(150.0, 2.0, False)
    sampled = DelayedEntries(70, lag_s, 1).run(150.0, 2.0, True)
    assert without > 0.05
    assert sampled < 0.4 * without


def test_candidate_with_room_for_all_unreported_requests_is_kept():
    instance = fleets.make_instance("i", layers=(0, 20))
    candidate = paths.make_candidate(instance, MODEL, SIZE, loads.IDLE, 1.0)
    kept = candidate_sampling.sample_candidates(
        [candidate], SIZE, 5.0, lambda: 1.0
    )
    assert kept == [candidate]


def test_candidate_is_kept_in_proportion_to_its_free_memory():
    source = random.Random(1)
    candidate = paths.Candidate(
        fleets.make_instance("i", layers=(0, 10)),
        1.0,
        SIZE.context_tokens * 10 * 20,
        True,
    )
    kept = sum(
        len(
            candidate_sampling.sample_candidates(
                [candidate], SIZE, 100.0, source.random
            )
        )
        for _ in range(4000)
    )
    assert kept / 4000 == pytest.approx(20 / 100, abs=0.03)


def test_rate_follows_a_burst_and_its_end():
    now_s = 0.0
    meter = candidate_sampling.RateMeter(lambda: now_s)
    assert meter.get_per_s() == 0.0
    for step in range(400):
        now_s = step * 0.05
        meter.add()
    assert meter.get_per_s() == pytest.approx(20.0, rel=0.05)
    now_s += 10.0
    assert meter.get_per_s() < 0.5
