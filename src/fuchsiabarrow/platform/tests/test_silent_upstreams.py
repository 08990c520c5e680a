"""Upstreams that are silent for a second or so and go on, and real deaths."""

import asyncio
import collections
import dataclasses
import functools

import pytest

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.platform.tests import entry_simulation

SILENCES_S = (0.5, 1.0, 1.5, 2.5)
LENGTHS = pytest.mark.parametrize("silence_s", SILENCES_S)
POSITIONS = pytest.mark.parametrize("position", ["first", "later"])
# Bounds of the platform: callers leave a stream after this time without an
# event, or after four times the latency objective if that is longer.
PATIENCE_S = 2.0
PATIENCE_FACTOR = 4.0
EVENT_GAP_S = 0.05
EVENTS = 30
# Time reserved for a refusal at the deadline, and the steps of timers.
DEADLINE_MARGIN_S = 0.03
# Requests beside a change of the configuration are sent up to this long after
# it; entries must not cut over three times as many of them as of others.
BESIDE_S = 3.0
MAX_RATE_FACTOR = 3.0


def make_route(name, kind, service=fleets.SERVICE, **changes):
    is_plain = service == entry_simulation.PLAIN_SERVICE
    route = documents.Route(
        name,
        "host",
        f"/{name}/",
        kind,
        0.6 if is_plain else 20.0,
        0.3 if is_plain else 0.5,
        None if is_plain else 0.2,
        1,
        ((service, 1.0),),
        2,
        False,
        False,
    )
    return dataclasses.replace(route, **changes)


RESUMABLE = make_route(
    "resumable", documents.RequestKind.STREAM, is_resumable=True
)
ONCE = make_route("once", documents.RequestKind.STREAM)
# Its callers wait for four seconds.
PATIENT = make_route(
    "patient", documents.RequestKind.STREAM, latency_objective_s=1.0
)
LOOKUP = make_route(
    "lookup",
    documents.RequestKind.IDEMPOTENT,
    entry_simulation.PLAIN_SERVICE,
)
BOOKING = make_route(
    "booking", documents.RequestKind.ONCE, entry_simulation.PLAIN_SERVICE
)
SLOW_BOOKING = make_route(
    "slow-booking",
    documents.RequestKind.ONCE,
    entry_simulation.PLAIN_SERVICE,
    timeout_s=4.0,
)
ROUTES = (RESUMABLE, ONCE, PATIENT, LOOKUP, BOOKING, SLOW_BOOKING)


def make_catalog(version=1, routes=ROUTES, services=None, limits=None):
    if services is None:
        services = [
            documents.Service(fleets.SERVICE, "/", 10, entry_simulation.MODEL),
            documents.Service(entry_simulation.PLAIN_SERVICE, "/", 10, None),
        ]
    return documents.make_catalog(
        version,
        list(routes),
        services,
        None,
        limits or documents.RequestLimits(),
    )


def make_cluster(entries=9, engines=24, seed=1, plain_upstreams=0):
    cluster = entry_simulation.Cluster(
        entries, engines, seed, plain_upstreams=plain_upstreams
    )
    cluster.catalog = make_catalog()
    cluster.event_gap_s = EVENT_GAP_S
    cluster.is_resuming = True
    return cluster


def call(cluster, route, **options):
    patience_s = float("inf")
    if route.kind is documents.RequestKind.STREAM:
        patience_s = max(
            PATIENCE_S, PATIENCE_FACTOR * route.latency_objective_s
        )
    options.setdefault("event_count", EVENTS)
    return cluster.call(route, patience_s, **options)


async def call_at_rate(cluster, routes, per_s, for_s):
    """Sends requests at random times, to each of the routes in turn."""
    answers = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + for_s
    while True:
        await asyncio.sleep(cluster.random.expovariate(per_s))
        if loop.time() >= end_s:
            return answers
        answers.append(call(cluster, routes[len(answers) % len(routes)]))


async def wait_until_ended(answers):
    while not all(answer.is_ended for answer in answers):
        await asyncio.sleep(0.1)


def find_engines(cluster, position):
    """Returns the engines that are first or later instances, or plain."""
    return [
        engine
        for engine in cluster.engines.values()
        if (position == "plain") == engine.is_plain
        and (position == "plain" or engine.is_first == (position == "first"))
    ]


def draw_busy(cluster, position, count):
    """Returns the engines with the most streams through them."""
    counts = collections.Counter(
        later.address
        for engine in cluster.engines.values()
        for connection in engine.connections
        for later in (engine, *connection.later_engines)
    )
    engines = find_engines(cluster, position)
    engines.sort(key=lambda engine: (-counts[engine.address], engine.address))
    return engines[:count]


def count_crash_counts(cluster):
    """Returns how many requests entries hold for crashing upstreams."""
    return sum(
        len(entry.kernel.get("forwarding").crash_counts.get_own(1024))
        for entry in cluster.entries.values()
    )


@dataclasses.dataclass(repr=False)
class Day:
    """What became of the requests of one simulated run.

    Attributes:
        answers: Answers in the order of their requests.
        runs: Number of upstreams that each attempt was sent to.
        most_crash_counts: Largest number of requests that were held for
            crashing upstreams at any time.
        change_times_s: Loop times of the changes of the configuration.
    """

    answers: list
    runs: collections.Counter
    most_crash_counts: int = 0
    change_times_s: tuple = ()

    def select(self, *routes):
        names = {route.name for route in routes}
        return [a for a in self.answers if a.route in names]

    def describe(self):
        """Returns figures by route, for the message of a failed test."""
        lines = []
        for route in ROUTES:
            answers = self.select(route)
            if not answers:
                continue
            reasons = collections.Counter(
                f"{a.refusal.reason.value}"
                f"/{'not_run' if a.is_not_run else 'failed'}"
                for a in answers
                if a.refusal is not None
            )
            counts = {
                "requests": len(answers),
                "complete": sum(a.is_complete for a in answers),
                "cut": sum(a.is_cut for a in answers),
                "unanswered": sum(a.is_unanswered for a in answers),
                "left": sum(a.has_left for a in answers),
                "refused": dict(reasons),
                "longest_gap_s": round(
                    max(a.longest_gap_s for a in answers), 2
                ),
            }
            lines.append(f"{route.name}: {counts}")
        lines.append(f"crash_counts: {self.most_crash_counts}")
        return "; ".join(lines)


async def run_with_faults(cluster, routes, per_s, for_s, make_faults):
    """Sends requests while upstreams fall silent; returns the `Day`."""
    await asyncio.sleep(entry_simulation.WARM_UP_S)
    begin = len(cluster.arrivals)
    most = 0
    is_done = False

    async def watch_crash_counts():
        nonlocal most
        while not is_done:
            most = max(most, count_crash_counts(cluster))
            await asyncio.sleep(0.1)

    watching = asyncio.create_task(watch_crash_counts())
    faults = asyncio.create_task(make_faults(cluster))
    answers = await call_at_rate(cluster, routes, per_s, for_s)
    extra = await faults
    answers += extra or []
    await wait_until_ended(answers)
    is_done = True
    await watching
    runs = collections.Counter(a.attempt for a in cluster.arrivals[begin:])
    return Day(answers, runs, most)


@functools.cache
def run_silences(position, silence_s):
    """Streams while three upstreams are silent, thrice.

    They accept connections in the first and third silence.
    """

    async def make_faults(cluster):
        await asyncio.sleep(1.5)
        for is_accepting in (True, False, True):
            for engine in draw_busy(cluster, position, 3):
                engine.fall_silent(silence_s, is_accepting)
            await asyncio.sleep(silence_s + 0.7)

    async def main():
        async with make_cluster(5) as cluster:
            return await run_with_faults(
                cluster,
                (RESUMABLE, ONCE, PATIENT),
                30,
                2.0 + 3 * (silence_s + 0.7),
                make_faults,
            )

    return entry_simulation.run(main)


def assert_events_in_order(answers):
    for answer in answers:
        expected = list(range(1, len(answer.event_ids) + 1))
        assert answer.event_ids == expected, answer.attempt
        if answer.is_complete:
            assert len(expected) == answer.event_count, answer.attempt


def assert_complete(day, answers, silence_s):
    """Asserts that no answer is cut or fails, and that most are complete."""
    assert not any(a.is_cut for a in answers), day.describe()
    assert not any(a.is_unanswered for a in answers), day.describe()
    assert not any(a.is_failed for a in answers), day.describe()
    if silence_s + 0.3 < PATIENCE_S:
        assert not any(a.has_left for a in answers), day.describe()
    not_run = sum(a.is_not_run for a in answers)
    assert not_run <= len(answers) / 50, day.describe()


@POSITIONS
@LENGTHS
def test_answer_that_may_run_once_outlives_silence(position, silence_s):
    # The connection to a silent upstream was ended, and with it an answer that
    # could have gone on, as its request must not be sent again.
    day = run_silences(position, silence_s)
    answers = day.select(ONCE, PATIENT)
    assert_complete(day, answers, silence_s)
    assert not any(a.has_left for a in day.select(PATIENT)), day.describe()
    assert max(day.runs[a.attempt] for a in answers) == 1
    assert_events_in_order(answers)


@POSITIONS
@LENGTHS
def test_resumable_stream_outlives_silence(position, silence_s):
    # A stream that found neither a retry nor a path was cut.
    day = run_silences(position, silence_s)
    answers = day.select(RESUMABLE)
    assert_complete(day, answers, silence_s)
    assert_events_in_order(answers)


@LENGTHS
def test_resumable_streams_outlive_silence_without_retries(silence_s):
    # The retry budget is used up when the first instances of a failure domain
    # are silent together.
    async def make_faults(cluster):
        await asyncio.sleep(1.5)
        for engine in find_engines(cluster, "first"):
            if engine.failure_domain == "a":
                engine.fall_silent(silence_s, is_accepting=True)

    async def main():
        async with make_cluster() as cluster:
            return await run_with_faults(
                cluster, (RESUMABLE,), 70, 2.0 + silence_s, make_faults
            )

    day = entry_simulation.run(main)
    assert_complete(day, day.answers, silence_s)
    assert_events_in_order(day.answers)


def test_resumable_stream_outlives_more_silences_than_sends():
    # Each time that a stream has moved, its new first instance falls silent.
    async def make_faults(cluster):
        followed = [call(cluster, RESUMABLE, event_count=200) for _ in range(6)]
        attempts = {answer.attempt for answer in followed}
        for _ in range(7):
            await asyncio.sleep(1.6)
            for engine in find_engines(cluster, "first"):
                if any(c.attempt in attempts for c in engine.connections):
                    engine.fall_silent(0.9, is_accepting=True)
        return followed

    async def main():
        async with make_cluster(5) as cluster:
            return await run_with_faults(
                cluster, (RESUMABLE,), 10, 11.0, make_faults
            )

    day = entry_simulation.run(main)
    assert_complete(day, day.answers, 0.9)
    assert_events_in_order(day.answers)


@LENGTHS
def test_silence_is_not_counted_as_a_crash(silence_s):
    # A stream that lost its connection to a silent upstream counted as having
    # crashed it, and a request of which three attempts met silence was blocked.
    async def make_faults(cluster):
        repeats = []
        engines = find_engines(cluster, "first")
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 6.0
        followed = [call(cluster, RESUMABLE) for _ in range(10)]
        repeats += followed
        while loop.time() < end_s:
            for engine in cluster.random.sample(engines, 2):
                if not engine.was_silent(loop.time()):
                    engine.fall_silent(silence_s, cluster.random.random() < 0.5)
            await asyncio.sleep(0.4)
            # Their callers repeat the requests that failed.
            for index, answer in enumerate(followed):
                if answer.is_ended and not answer.is_complete:
                    followed[index] = call(
                        cluster, RESUMABLE, number=answer.number
                    )
                    repeats.append(followed[index])
        return repeats

    async def main():
        async with make_cluster(5) as cluster:
            return await run_with_faults(
                cluster, (RESUMABLE, ONCE), 30, 6.0, make_faults
            )

    day = entry_simulation.run(main)
    reasons = {a.refusal.reason for a in day.answers if a.refusal is not None}
    assert messages.RefusalReason.CRASHES_UPSTREAMS not in reasons, (
        day.describe()
    )
    assert day.most_crash_counts == 0, day.describe()


@LENGTHS
def test_plain_request_outlives_silence(silence_s):
    # An upstream without a model answers late; nothing that was sent to it may
    # be refused as not run, or sent again if it may run once.
    async def make_faults(cluster):
        await asyncio.sleep(1.0)
        engines = find_engines(cluster, "plain")
        for is_accepting in (True, False) * 2:
            for engine in cluster.random.sample(engines, 2):
                engine.fall_silent(silence_s, is_accepting)
            await asyncio.sleep(silence_s + 0.3)

    async def main():
        async with make_cluster(5, 0, plain_upstreams=5) as cluster:
            return await run_with_faults(
                cluster,
                (LOOKUP, BOOKING, SLOW_BOOKING),
                60,
                2.0 + 4 * (silence_s + 0.3),
                make_faults,
            )

    day = entry_simulation.run(main)
    once = day.select(BOOKING, SLOW_BOOKING)
    assert not any(a.is_cut or a.is_unanswered for a in day.answers)
    assert max(day.runs[a.attempt] for a in once) == 1, day.describe()
    for answer in day.answers:
        if answer.is_not_run:
            assert day.runs[answer.attempt] == 0, day.describe()
        if answer.is_failed:
            reason = answer.refusal.reason
            assert reason is messages.RefusalReason.TIMEOUT, day.describe()
            took_s = answer.ended_s - answer.at_s
            limit_s = 0.6 if answer.route != SLOW_BOOKING.name else 4.0
            assert took_s >= limit_s - DEADLINE_MARGIN_S, day.describe()
    slow = day.select(SLOW_BOOKING)
    assert all(a.is_complete for a in slow), day.describe()
    assert day.most_crash_counts == 0, day.describe()


SECOND_SERVICE = "model-2"
CHANGED_ROUTES = (RESUMABLE, ONCE, LOOKUP, BOOKING)
# Times of the changes, from the first request on.
CHANGES_S = (2.0, 8.0)
CHANGING_S = 14.0
# A single seed is too little: silences are not spread evenly over its day.
CHANGES_SEEDS = (1, 2)
STORM_VERSIONS = 10
STORM_S = 3.0


def replace_routes(routes=(RESUMABLE, ONCE), **changes):
    return tuple(
        dataclasses.replace(route, **changes) if route in routes else route
        for route in ROUTES
    )


def make_services(*names):
    return [
        documents.Service(
            name,
            "/",
            10,
            None
            if name == entry_simulation.PLAIN_SERVICE
            else entry_simulation.MODEL,
        )
        for name in names
    ]


ALL_SERVICES = make_services(
    fleets.SERVICE, SECOND_SERVICE, entry_simulation.PLAIN_SERVICE
)
SPLIT = ((fleets.SERVICE, 1.0), (SECOND_SERVICE, 1.0))
# Routes, services and limits before and after each kind of change.
BEFORE = (ROUTES, ALL_SERVICES, None)
CHANGES = {
    # A new version with the same contents.
    "none": (BEFORE, BEFORE),
    "route_moved": (
        BEFORE,
        (
            replace_routes(services=((SECOND_SERVICE, 1.0),)),
            ALL_SERVICES,
            None,
        ),
    ),
    "route_dropped": (
        BEFORE,
        (
            tuple(r for r in ROUTES if r not in (RESUMABLE, BOOKING)),
            ALL_SERVICES,
            None,
        ),
    ),
    "weights": (
        (replace_routes(services=SPLIT), ALL_SERVICES, None),
        (
            replace_routes(
                services=((fleets.SERVICE, 0.1), (SECOND_SERVICE, 0.9))
            ),
            ALL_SERVICES,
            None,
        ),
    ),
    "time_limits": (
        BEFORE,
        (replace_routes(timeout_s=8.0), ALL_SERVICES, None),
    ),
    "service_removed_and_added": (
        (replace_routes(services=SPLIT), ALL_SERVICES, None),
        (
            ROUTES,
            make_services(fleets.SERVICE, entry_simulation.PLAIN_SERVICE),
            None,
        ),
    ),
    "limits": (
        BEFORE,
        (
            ROUTES,
            ALL_SERVICES,
            documents.RequestLimits(
                max_body_bytes=1_000_000, idle_timeout_s=1.0
            ),
        ),
    ),
    "storm": (
        BEFORE,
        (
            replace_routes(services=SPLIT, timeout_s=12.0),
            ALL_SERVICES,
            documents.RequestLimits(idle_timeout_s=4.0),
        ),
    ),
}


def run_changes(kind, has_silences, seed=1, per_s=40):
    """Streams and plain requests beside changes of the configuration."""
    versions = [
        make_catalog(1, routes, services, limits)
        for routes, services, limits in CHANGES[kind]
    ]
    change_times_s = []

    async def change(cluster):
        number = 1
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        for at_s in CHANGES_S:
            await asyncio.sleep(begin_s + at_s - loop.time())
            for _ in range(STORM_VERSIONS if kind == "storm" else 1):
                number += 1
                cluster.publish_catalog(
                    dataclasses.replace(
                        versions[(number - 1) % 2], version=number
                    )
                )
                change_times_s.append(loop.time())
                await asyncio.sleep(
                    STORM_S / STORM_VERSIONS if kind == "storm" else 0.0
                )

    async def make_faults(cluster):
        changing = asyncio.create_task(change(cluster))
        engines = find_engines(cluster, "first")
        loop = asyncio.get_running_loop()
        end_s = loop.time() + CHANGING_S
        while loop.time() < end_s:
            await asyncio.sleep(0.3)
            if has_silences:
                cluster.random.choice(engines).fall_silent(1.0, True)
        await changing

    async def main():
        cluster = make_cluster(3, 24, seed, plain_upstreams=3)
        for engine in list(cluster.engines.values())[12:24]:
            engine.move(SECOND_SERVICE)
        cluster.catalog = versions[0]
        async with cluster:
            return await run_with_faults(
                cluster, CHANGED_ROUTES, per_s, CHANGING_S, make_faults
            )

    day = entry_simulation.run(main)
    day.change_times_s = tuple(change_times_s)
    return day


def count_lost(day):
    """Counts the requests that were cut or got no answer.

    Returns:
        Lost requests and all requests beside changes, then at other times.
    """
    counts = [0, 0, 0, 0]
    for answer in day.answers:
        is_beside = any(
            0.0 <= answer.at_s - at_s <= BESIDE_S for at_s in day.change_times_s
        )
        offset = 0 if is_beside else 2
        counts[offset] += answer.is_cut or answer.is_unanswered
        counts[offset + 1] += 1
    return counts


@pytest.mark.parametrize("kind", [kind for kind in CHANGES if kind != "none"])
def test_change_of_the_configuration_cuts_no_request(kind):
    day = run_changes(kind, has_silences=False, per_s=20)
    lost, sent, other_lost, other_sent = count_lost(day)
    assert min(sent, other_sent) > 20
    assert (lost, other_lost) == (0, 0), day.describe()


@pytest.mark.parametrize("kind", CHANGES)
def test_changes_beside_silences_cut_no_more_requests(kind):
    # A request beside a change of the configuration got neither an answer nor
    # a refusal.
    totals = [0, 0, 0, 0]
    for seed in CHANGES_SEEDS:
        counts = count_lost(run_changes(kind, has_silences=True, seed=seed))
        totals = [sum(pair) for pair in zip(totals, counts, strict=True)]
    lost, sent, other_lost, other_sent = totals
    rate, other_rate = lost / sent, other_lost / other_sent
    assert rate <= MAX_RATE_FACTOR * other_rate, totals


# Longest times on the code of e4e2650 over the seeds 1 to 6, rounded up: until
# the entries avoided the engine, and until the next events of the streams,
# except those that moved on to a silent engine.
DEATHS = {
    ("first", False): (0.01, 0.15),
    ("first", True): (0.45, 0.55),
    ("later", False): (0.2, 0.4),
    ("later", True): (0.45, 0.5),
}
DEATH_SEEDS = (1, 2)
DEATH_POLL_S = 0.005


def run_death(position, is_dark, seed):
    """An engine dies while others are silent.

    Returns:
        Times from its death until each entry with streams through it avoided
        it, and until the next event of each of these streams.
    """

    async def main():
        async with make_cluster(seed=seed) as cluster:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(entry_simulation.WARM_UP_S)
            sending = asyncio.create_task(
                call_at_rate(cluster, (RESUMABLE,), 25, 4.0)
            )
            await asyncio.sleep(2.0)
            busy = draw_busy(cluster, position, 3)
            engine, silent = busy[0], busy[1:]
            upstream = engine.upstream
            affected = {
                connection.attempt
                for first in cluster.engines.values()
                for connection in first.connections
                if engine in (first, *connection.later_engines)
            }
            died_s = loop.time()
            engine.die(is_dark)
            for other in silent:
                other.fall_silent(1.0, is_accepting=True)
            avoided_s = {}
            while loop.time() < died_s + 2.9:
                for name, entry in cluster.entries.items():
                    directory = entry.kernel.get("directory")
                    if directory.is_avoided(upstream):
                        avoided_s.setdefault(name, loop.time() - died_s)
                await asyncio.sleep(DEATH_POLL_S)
            answers = await sending
            await wait_until_ended(answers)
            found = [a for a in answers if a.attempt in affected]
            names = {a.entry for a in found}
            # A stream that had all its events only ends.
            next_s = [
                min(
                    (t - died_s for t in a.event_times_s if t > died_s),
                    default=a.ended_s - died_s
                    if a.is_complete
                    else float("inf"),
                )
                for a in found
            ]
            return [avoided_s.get(n, float("inf")) for n in names], next_s

    return entry_simulation.run(main)


@pytest.mark.parametrize(("position", "is_dark"), DEATHS)
def test_death_beside_silence_is_found_no_later(position, is_dark):
    max_avoided_s, max_next_s = DEATHS[position, is_dark]
    avoided_s, next_s = [], []
    for seed in DEATH_SEEDS:
        found = run_death(position, is_dark, seed)
        avoided_s += found[0]
        next_s += found[1]
    assert len(next_s) >= 6
    assert max(avoided_s) <= max_avoided_s + DEATH_POLL_S
    # Some of the others move on to an engine that is silent.
    slow = [time_s for time_s in next_s if time_s > max_next_s]
    assert len(slow) <= len(next_s) / 4, sorted(next_s)
