"""Entries that all choose at once, with late knowledge of each other's work."""

import heapq
import random

import pytest

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import thinning
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.placement import plans
from fuchsiabarrow.placement.tests import test_plans

DEMAND = paths.Demand(774.0, 200.0)
MODEL = fleets.make_model(
    tokens_per_event=5, read_tokens_per_s=164_000.0, pipe_mbps=10_400.0
)


def make_placed() -> list:
    """Returns placed instances in three times the users' numbers."""
    empty = [
        fleets.make_instance(
            f"{kind}-{domain}-{index}", domain, kind, address=f"h{kind}:{index}"
        )
        for kind, by_domain in fleets.COUNTS.items()
        for domain, count in by_domain.items()
        for index in range(3 * count)
    ]
    return test_plans.apply(empty, plans.plan_assignments(empty, MODEL, {}))


class Deciders:
    """Entries that learn of the work of the others some time later."""

    def __init__(self, count: int, lag_s: float, seed: int):
        self.lag_s = lag_s
        self.source = random.Random(seed)
        self.placed = make_placed()
        self.entries = [loads.Ledger() for _ in range(count)]
        self.truth = loads.Ledger()
        self.running: list = []
        # Bookings that the others have not heard of yet, by time.
        self.unheard: list = []
        self.heard = loads.Ledger()
        self.refused = self.served = 0

    def play(self, rate_per_s: float, duration_s: float, is_thinned: bool):
        now_s = 0.0
        while now_s < duration_s:
            now_s += self.source.expovariate(rate_per_s)
            self.end_requests(now_s)
            unseen = rate_per_s * self.lag_s if is_thinned else 0.0
            self.choose(now_s, unseen)
        return self.refused / (self.refused + self.served)

    def end_requests(self, now_s: float) -> None:
        while self.running and self.running[0][0] <= now_s:
            _, _, entry, taken = heapq.heappop(self.running)
            self.book(now_s, entry, taken, -1)
        while self.unheard and self.unheard[0][0] <= now_s:
            _, _, taken, sign = heapq.heappop(self.unheard)
            self.heard.book(taken, sign)

    def book(self, now_s, entry: int, taken: dict, sign: int) -> None:
        self.truth.book(taken, sign)
        self.entries[entry].book(taken, sign)
        heard_s = now_s + self.lag_s
        item = (heard_s, self.source.random(), taken, sign)
        heapq.heappush(self.unheard, item)

    def choose(self, now_s: float, unseen: float) -> None:
        entry = self.source.randrange(len(self.entries))
        candidates = [
            paths.make_candidate(
                instance, MODEL, DEMAND, self.heard.get(instance.key), 1.0
            )
            for instance in self.placed
        ]
        used = thinning.thin_out(candidates, DEMAND, unseen, self.source.random)
        found = self.find(used, entry) or self.find(candidates, entry)
        if found is None or not self.has_room(found):
            self.refused += 1
            return
        self.served += 1
        taken = {}
        total_ms = 0.0
        for index, part in enumerate(found):
            layers = part.end - part.first
            load = self.truth.get(part.upstream.key)
            taken[part.upstream.key] = loads.Load(
                1, int(index == 0), DEMAND.context_tokens * layers
            )
            step_ms = MODEL.compute_step_ms(
                part.upstream.kind,
                1 + load.requests,
                load.context / len(part.upstream.layers),
            )
            total_ms += step_ms * layers / MODEL.layers * DEMAND.answer_tokens
        self.book(now_s, entry, taken, 1)
        end = (now_s + total_ms / 1000, self.source.random(), entry, taken)
        heapq.heappush(self.running, end)

    def find(self, candidates, entry: int):
        domain = fleets.DOMAINS[entry % len(fleets.DOMAINS)]
        return paths.choose_path(
            candidates,
            MODEL,
            DEMAND,
            domain,
            lambda: 0.05 * self.source.random(),
        )

    def has_room(self, found) -> bool:
        for part in found:
            held = len(part.upstream.layers)
            kind = part.upstream.kind
            capacity = MODEL.count_context_tokens(kind, held) * held
            need = DEMAND.context_tokens * (part.end - part.first)
            if self.truth.get(part.upstream.key).context + need > capacity:
                return False
        return True


@pytest.mark.parametrize("lag_s", [0.3, 0.7])
def test_herd_of_entries_that_see_the_same_room_is_refused_far_less(lag_s):
    herding = Deciders(70, lag_s, 1).play(150.0, 2.0, False)
    spread = Deciders(70, lag_s, 1).play(150.0, 2.0, True)
    assert herding > 0.05
    assert spread < 0.4 * herding


def test_candidates_with_room_for_all_are_kept():
    instance = fleets.make_instance("i", layers=(0, 20))
    candidate = paths.make_candidate(instance, MODEL, DEMAND, loads.IDLE, 1.0)
    kept = thinning.thin_out([candidate], DEMAND, 5.0, lambda: 1.0)
    assert kept == [candidate]


def test_candidate_is_kept_as_often_as_its_room_allows():
    source = random.Random(1)
    candidate = paths.Candidate(
        fleets.make_instance("i", layers=(0, 10)),
        1.0,
        DEMAND.context_tokens * 10 * 20,
        True,
    )
    kept = sum(
        len(thinning.thin_out([candidate], DEMAND, 100.0, source.random))
        for _ in range(4000)
    )
    assert kept / 4000 == pytest.approx(20 / 100, abs=0.03)


def test_rate_follows_a_burst_and_its_end():
    now_s = 0.0
    meter = thinning.RateMeter(lambda: now_s)
    assert meter.get_per_s() == 0.0
    for step in range(400):
        now_s = step * 0.05
        meter.add()
    assert meter.get_per_s() == pytest.approx(20.0, rel=0.05)
    now_s += 10.0
    assert meter.get_per_s() < 0.5
