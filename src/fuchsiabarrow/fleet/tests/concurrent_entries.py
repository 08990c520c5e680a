"""Simulation of many entries that choose paths with late load reports.

Virtual time, no network: engines with context memory and a queue of prompts,
links between failure domains that carry one transfer after another, and entries
that learn of each other's load after a delay. The choices are those of
`fuchsiabarrow.fleet.path_selection`.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import random

from fuchsiabarrow.fleet import expected_loads
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import path_selection
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.placement import plans
from fuchsiabarrow.placement.tests import test_plans

COUNTS = {
    "fast": {"a": 2, "b": 2, "c": 4},
    "middle": {"a": 9, "b": 15, "c": 6},
    "slow": {"a": 22, "b": 12, "c": 14},
}
MODEL = fleets.make_model(
    kv_bytes_per_token=1_180_000.0,
    step_per_request_ms=0.00918,
    step_per_k_context_ms=0.0123,
    prefill_tokens_per_s=164_000.0,
    tokens_per_event=5,
    mean_prompt_tokens=775.0,
    mean_answer_tokens=221.0,
    activation_bytes_per_token=59_000.0,
    link_mbps=10_400.0,
)
# What callers expect of a stream.
FIRST_EVENT_LIMIT_S = 0.5
GAP_LIMIT_S = 0.25
TIME_LIMIT_S = 20.0
MAX_SENDS = 2
PROMPT_SPREAD, ANSWER_SPREAD, HINT_SPREAD = 0.8, 0.8, 0.5
MAX_PROMPT_TOKENS, MAX_ANSWER_TOKENS = 2280.0, 600.0
MS_PER_S = 1000.0


def place_layers(counts=None, model=MODEL) -> list:
    """Returns instances with the layers that the planner gives them."""
    empty = [
        fleets.make_instance(
            f"{kind}-{domain}-{index}", domain, kind, address=f"h{kind}:{index}"
        )
        for kind, by_domain in (counts or COUNTS).items()
        for domain, count in by_domain.items()
        for index in range(count)
    ]
    return test_plans.apply(empty, plans.plan_assignments(empty, model, {}))


def compute_shares(placed: list, rate_per_s: float, model=MODEL) -> dict:
    """Returns the share of each resource that a request rate needs.

    An instance serves the requests that fit its memory, each for twice the time
    of its steps, as every step waits for the one in progress; ``link`` is the
    share of the links if every request crosses once between failure domains.
    """
    prompt, answer = model.mean_prompt_tokens, model.mean_answer_tokens
    prefill_per_s = slots_per_s = memory_per_s = 0.0
    for instance in placed:
        held = len(instance.layers)
        kind = model.kinds[instance.kind]
        prefill_per_s += model.prefill_tokens_per_s / kind.prefill_factor
        held_s = 2 * kind.step_factor * model.step_ms * answer / MS_PER_S
        slots_per_s += model.slots / held_s
        streams = model.count_context_tokens(instance.kind, held) / (
            prompt + answer
        )
        memory_per_s += streams / held_s * held / model.layers
    domains = {instance.failure_domain for instance in placed}
    links = len(domains) * (len(domains) - 1)
    crossing_s = (prompt + answer) * compute_transfer_s(model)
    return {
        "prefill": rate_per_s * prompt / prefill_per_s,
        "memory": rate_per_s / memory_per_s,
        "slots": rate_per_s / slots_per_s,
        "link": rate_per_s * crossing_s / links,
    }


def compute_transfer_s(model) -> float:
    """Returns the time to send one token's activations over a link."""
    bits = model.activation_bytes_per_token * 8
    return bits / (model.link_mbps * 1e6)


@dataclasses.dataclass
class Outcomes:
    """Number of requests by outcome; `no_path` were never offered."""

    in_time: int = 0
    late: int = 0
    failed: int = 0
    rejected: int = 0
    no_path: int = 0
    crossings: int = 0
    rejections: int = 0

    def compute_share(self, count: int) -> float:
        ended = self.in_time + self.late + self.failed
        return count / (ended + self.rejected + self.no_path)


@dataclasses.dataclass
class _Stream:
    entry: int
    segments: tuple
    events_left: float
    is_late: bool = False


class _KnownLoads:
    """Load as one entry knows it: all reports, and its own load since."""

    def __init__(self, fleet: "Fleet", entry: int):
        self._reported = fleet.reported
        self._own = fleet.unreported[entry]

    def get(self, key) -> loads.Load:
        return self._reported.get(key).add(self._own.get(key))

    def get_own(self) -> dict:
        return self._own.get_own()


class Fleet:
    """Entries, engines and links in virtual time.

    Args:
        placed: Instances with layers.
        entry_count: Number of entries, spread evenly over the domains.
        lag_s: Time after which entries know of each other's load.
        seed: Seed of all random choices.
        model: Performance model of the engines.
    """

    def __init__(
        self, placed, entry_count: int, lag_s: float, seed: int, model=MODEL
    ):
        self.placed = placed
        self.model = model
        self.lag_s = lag_s
        self.source = random.Random(seed)
        self.entry_count = entry_count
        self.domains = sorted({i.failure_domain for i in placed})
        self.actual = loads.LoadTable()
        self.reported = loads.LoadTable()
        # Own load of each entry that `reported` does not contain yet.
        self.unreported = [loads.LoadTable() for _ in range(entry_count)]
        self.link_free_s = dict.fromkeys(
            itertools.permutations(self.domains, 2), 0.0
        )
        self.link_busy_s = dict.fromkeys(self.link_free_s, 0.0)
        self.prompt_free_s = {i.key: 0.0 for i in placed}
        self.outcomes = Outcomes()
        self.now_s = 0.0
        self._events: list = []
        self._order = itertools.count()

    def schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def run(
        self,
        get_rate_per_s: Callable[[float], float],
        duration_s: float,
    ) -> Outcomes:
        """Runs until all requests of the duration have ended."""
        at_s = 0.0
        while True:
            rate_per_s = get_rate_per_s(at_s)
            at_s += self.source.expovariate(rate_per_s)
            if at_s >= duration_s:
                break
            self.schedule(at_s, lambda rate=rate_per_s: self.arrive(rate))
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        return self.outcomes

    def draw(self, mean: float, spread: float, limit: float) -> float:
        mu = math.log(mean) - spread * spread / 2
        return min(limit, self.source.lognormvariate(mu, spread))

    def arrive(self, rate_per_s: float) -> None:
        model = self.model
        prompt = self.draw(
            model.mean_prompt_tokens, PROMPT_SPREAD, MAX_PROMPT_TOKENS
        )
        answer = self.draw(
            model.mean_answer_tokens, ANSWER_SPREAD, MAX_ANSWER_TOKENS
        )
        hint = self.source.lognormvariate(0.0, HINT_SPREAD)
        expected = paths.RequestSize(
            prompt, min(MAX_ANSWER_TOKENS, answer * hint)
        )
        entry = self.source.randrange(self.entry_count)
        excluded = set()
        unreported = rate_per_s * self.lag_s
        for _ in range(MAX_SENDS):
            segments = self.choose(entry, expected, unreported, excluded)
            if segments is None:
                self.outcomes.no_path += 1
                return
            full = self.find_full(segments, expected)
            if full is None:
                size = paths.RequestSize(prompt, answer)
                self.start(entry, segments, size, expected)
                return
            self.outcomes.rejections += 1
            excluded.add(full.key)
        self.outcomes.rejected += 1

    def choose(self, entry: int, size, unreported: float, excluded: set):
        expected = expected_loads.estimate_loads(
            self.placed, self.model, _KnownLoads(self, entry), unreported
        )
        candidates = [
            paths.make_candidate(
                instance,
                self.model,
                size,
                expected.loads[instance.key],
                1.0,
                sensitivity=expected.sensitivity,
                deviation=expected.deviations.get(instance.key, 0.0),
            )
            for instance in self.placed
            if instance.key not in excluded
        ]
        return path_selection.select_path(
            candidates,
            self.model,
            size,
            self.domains[entry % len(self.domains)],
            unreported,
            self.source,
        )

    def find_full(self, segments, size):
        for segment in segments:
            kind, held = segment.upstream.kind, len(segment.upstream.layers)
            capacity = self.model.count_context_tokens(kind, held) * held
            needed = size.context_tokens * (segment.end - segment.first)
            load = self.actual.get(segment.upstream.key)
            if load.context + needed > capacity:
                return segment.upstream
        return None

    def change_load(self, entry: int, change: dict, sign: int) -> None:
        """Changes the load of an entry; others learn of it later."""
        own = self.unreported[entry]
        self.actual.add_own(change, sign)
        add_signed(own, change, sign)

        def report():
            add_signed(own, change, -sign)
            add_signed(self.reported, change, sign)

        self.schedule(self.now_s + self.lag_s, report)

    def start(self, entry: int, segments, size, expected) -> None:
        """Takes memory, transfers and prefills the prompt at each stage."""
        taken, prefills = {}, {}
        at_s = self.now_s
        for index, segment in enumerate(segments):
            key, layers = segment.upstream.key, segment.end - segment.first
            taken[key] = loads.Load(
                1, int(index == 0), expected.context_tokens * layers
            )
            prefills[key] = loads.Load(prefill=size.prompt_tokens * layers)
            if index:
                at_s = self.hop(
                    segments[index - 1], segment, at_s, size.prompt_tokens
                )
            prefill_ms = self.model.compute_prefill_ms(
                segment.upstream.kind, size.prompt_tokens
            )
            begin_s = max(at_s, self.prompt_free_s[key])
            at_s = begin_s + prefill_ms / MS_PER_S * layers / self.model.layers
            self.prompt_free_s[key] = at_s
        self.outcomes.crossings += count_crossings(segments)
        self.change_load(entry, taken, 1)
        self.change_load(entry, prefills, 1)
        stream = _Stream(
            entry, segments, size.answer_tokens / self.model.tokens_per_event
        )
        started_s = self.now_s
        at_s += self.compute_event_s(segments)

        def begin():
            self.change_load(entry, prefills, -1)
            stream.is_late = self.now_s - started_s > FIRST_EVENT_LIMIT_S
            self.advance(stream, taken, started_s, self.now_s)

        self.schedule(at_s, begin)

    def advance(self, stream, taken, started_s, previous_s) -> None:
        """Handles one event of a stream and schedules the next."""
        stream.is_late |= self.now_s - previous_s > GAP_LIMIT_S
        stream.events_left -= 1
        is_over_time = self.now_s - started_s > TIME_LIMIT_S
        if stream.events_left <= 0 or is_over_time:
            self.change_load(stream.entry, taken, -1)
            if is_over_time:
                self.outcomes.failed += 1
            elif stream.is_late:
                self.outcomes.late += 1
            else:
                self.outcomes.in_time += 1
            return
        at_s = self.now_s + self.compute_event_s(stream.segments)
        for before, after in itertools.pairwise(stream.segments):
            at_s = self.hop(before, after, at_s, self.model.tokens_per_event)
        now_s = self.now_s
        self.schedule(
            at_s, lambda: self.advance(stream, taken, started_s, now_s)
        )

    def hop(self, before, after, at_s: float, tokens: float) -> float:
        """Returns when tokens that leave a stage reach the next one."""
        source = before.upstream.failure_domain
        target = after.upstream.failure_domain
        if source == target:
            return at_s + paths.SAME_DOMAIN_DELAY_MS / MS_PER_S
        transfer_s = tokens * compute_transfer_s(self.model)
        link = source, target
        # One transfer after another, in the order in which they are requested.
        begin_s = max(self.now_s, self.link_free_s[link])
        self.link_free_s[link] = begin_s + transfer_s
        self.link_busy_s[link] += transfer_s
        waited_s = begin_s - self.now_s
        delay_s = self.model.domain_delay_ms / MS_PER_S
        return at_s + waited_s + transfer_s + delay_s

    def compute_event_s(self, segments) -> float:
        """Returns the time of the steps of one event, with the waits for them.

        At each stage, an event waits for half of the step in progress.
        """
        model = self.model
        total_ms = 0.0
        for segment in segments:
            held = len(segment.upstream.layers)
            load = self.actual.get(segment.upstream.key)
            step_ms = model.compute_step_ms(
                segment.upstream.kind, load.requests, load.context / held
            )
            layers = segment.end - segment.first + held / 2
            total_ms += step_ms * layers / model.layers
        return model.tokens_per_event * total_ms / MS_PER_S


def add_signed(table: loads.LoadTable, change: dict, sign: int) -> None:
    """Adds load to a table whose loads may be negative."""
    own = table.get_own()
    for key, load in change.items():
        own[key] = own.get(key, loads.IDLE).add(load, sign)


def count_crossings(segments) -> int:
    domains = [segment.upstream.failure_domain for segment in segments]
    return sum(a != b for a, b in itertools.pairwise(domains))
