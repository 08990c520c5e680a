import random

import pytest

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet.tests import fleets

# Small layers, so that one instance can hold many of them.
MODEL = fleets.make_model(layer_mb=200.0)
SIZE = paths.RequestSize(800.0, 200.0)


def make_candidates(instances, load=loads.IDLE, size=SIZE):
    return [
        paths.make_candidate(instance, MODEL, size, load, 1.0)
        for instance in instances
    ]


def choose(instances, **arguments):
    return paths.choose_path(
        make_candidates(instances), MODEL, SIZE, "a", **arguments
    )


def list_layers(segments):
    return [(p.upstream.instance_id, p.first, p.end) for p in segments]


def test_path_covers_all_layers_in_order():
    found = choose(
        [
            fleets.make_instance("last", "a", "fast", (40, 80)),
            fleets.make_instance("first", "a", "fast", (0, 40)),
        ]
    )
    assert list_layers(found) == [("first", 0, 40), ("last", 40, 80)]


def test_path_uses_parts_of_overlapping_ranges():
    found = choose(
        [
            fleets.make_instance("left", "a", "fast", (0, 30)),
            fleets.make_instance("middle", "a", "fast", (20, 60)),
            fleets.make_instance("right", "a", "fast", (50, 80)),
        ]
    )
    assert paths.is_complete_path(found, MODEL.layers)
    assert [p.upstream.instance_id for p in found] == [
        "left",
        "middle",
        "right",
    ]


def test_no_path_if_a_layer_is_held_by_no_instance():
    instances = [
        fleets.make_instance("left", "a", "fast", (0, 39)),
        fleets.make_instance("right", "a", "fast", (40, 80)),
    ]
    assert choose(instances) is None


def test_path_stays_in_one_failure_domain_if_possible():
    instances = [
        fleets.make_instance("near-left", "a", "middle", (0, 40)),
        fleets.make_instance("near-right", "a", "middle", (40, 80)),
        fleets.make_instance("far-right", "b", "middle", (40, 80)),
    ]
    found = choose(instances)
    assert [p.upstream.instance_id for p in found] == [
        "near-left",
        "near-right",
    ]


def test_path_crosses_failure_domains_if_necessary():
    instances = [
        fleets.make_instance("near", "a", "middle", (0, 40)),
        fleets.make_instance("far", "b", "fast", (40, 80)),
    ]
    assert paths.is_complete_path(choose(instances), MODEL.layers)


def test_idle_instance_is_preferred_to_an_equivalent_loaded_one():
    busy = fleets.make_instance("busy", "a", "fast", (0, 80))
    idle = fleets.make_instance("idle", "a", "fast", (0, 80))
    candidates = [
        paths.make_candidate(busy, MODEL, SIZE, loads.Load(20), 1.0),
        paths.make_candidate(idle, MODEL, SIZE, loads.IDLE, 1.0),
    ]
    found = paths.choose_path(candidates, MODEL, SIZE, "a")
    assert found[0].upstream is idle


def test_instance_without_memory_for_the_context_is_not_used():
    model = fleets.make_model(layers=20, layer_mb=200.0)
    full = fleets.make_instance("full", "a", "fast", (0, 20))
    held = model.count_context_tokens("fast", 20) * 20
    candidate = paths.make_candidate(
        full, model, SIZE, loads.Load(5, 5, held), 1.0
    )
    assert paths.choose_path([candidate], model, SIZE, "a") is None


def test_path_does_not_begin_at_an_instance_without_free_slots():
    candidates = make_candidates(
        [fleets.make_instance("only", "a", "fast", (0, 80))],
        loads.Load(MODEL.slots, MODEL.slots),
    )
    assert paths.choose_path(candidates, MODEL, SIZE, "a") is None


def test_slow_instance_is_avoided():
    slow = fleets.make_instance("x-slow", "a", "fast", (0, 80))
    normal = fleets.make_instance("normal", "a", "fast", (0, 80))
    candidates = [
        paths.make_candidate(slow, MODEL, SIZE, loads.IDLE, 3.0),
        paths.make_candidate(normal, MODEL, SIZE, loads.IDLE, 1.0),
    ]
    found = paths.choose_path(candidates, MODEL, SIZE, "a")
    assert found[0].upstream is normal


def test_prefix_is_kept_when_a_path_changes():
    first = fleets.make_instance("first", "a", "fast", (0, 40))
    dead = fleets.make_instance("dead", "a", "fast", (40, 80))
    other = fleets.make_instance("other", "a", "slow", (30, 80))
    prefix = (paths.PathSegment(first, 0, 40),)
    found = choose([first, other], prefix=prefix)
    assert dead not in [p.upstream for p in found]
    assert list_layers(found) == [("first", 0, 40), ("other", 40, 80)]


def test_path_begins_only_at_instances_that_allow_it():
    near = fleets.make_instance("near", "a", "fast", (0, 80))
    far = fleets.make_instance("far", "b", "fast", (0, 80))
    candidates = [
        paths.make_candidate(near, MODEL, SIZE, loads.IDLE, 1.0, False),
        paths.make_candidate(far, MODEL, SIZE, loads.IDLE, 1.0, True),
    ]
    found = paths.choose_path(candidates, MODEL, SIZE, "a")
    assert found[0].upstream is far


@pytest.mark.parametrize("seed", range(60))
def test_paths_through_random_fleets_are_complete_if_found(seed):
    source = random.Random(seed)
    instances = []
    for index in range(source.randint(1, 30)):
        first = source.randrange(0, 78)
        end = min(80, first + source.randint(2, 40))
        instances.append(
            fleets.make_instance(
                f"i{index}",
                source.choice(fleets.DOMAINS),
                source.choice(list(fleets.COUNTS)),
                (first, end),
            )
        )
    held = [0] * 80
    for instance in instances:
        for layer in range(instance.layers.first, instance.layers.end):
            held[layer] += 1
    found = paths.choose_path(
        make_candidates(instances, size=paths.RequestSize(10, 10)),
        MODEL,
        paths.RequestSize(10, 10),
        "a",
        lambda: 0.05 * source.random(),
    )
    if found is not None:
        assert paths.is_complete_path(found, 80)
    elif 0 not in held:
        # Lack of context memory is the only other reason.
        too_small = [
            i
            for i in instances
            if MODEL.count_context_tokens(i.kind, len(i.layers)) < 22
        ]
        assert too_small


def test_reservation_is_released():
    load_table = loads.LoadTable()
    segments = choose([fleets.make_instance("only", "a", "fast", (0, 80))])
    with paths.reserve_path(load_table, segments, SIZE) as reservation:
        load = load_table.get(("only", 1))
        assert load.requests == 1
        assert load.path_starts == 1
        assert load.context == 1000.0 * 80
        assert load.prefill == 800.0 * 80
        reservation.finish_prefill()
        assert load_table.get(("only", 1)).prefill == 0
    assert load_table.get(("only", 1)) == loads.IDLE


def test_reports_of_other_entries_are_summed_until_dropped():
    load_table = loads.LoadTable()
    load_table.set_report("x", [(("i", 1), loads.Load(2))])
    load_table.set_report("y", [(("i", 1), loads.Load(3))])
    assert load_table.get(("i", 1)).requests == 5
    load_table.set_report("x", [(("i", 1), loads.Load(1))])
    assert load_table.get(("i", 1)).requests == 4
    load_table.set_report("y", [(("i", 1), loads.Load(3))])
    load_table.drop_report("x")
    assert load_table.get(("i", 1)).requests == 3


@pytest.mark.parametrize("seed", range(10))
def test_only_the_last_report_of_each_entry_is_summed(seed):
    source = random.Random(seed)
    load_table = loads.LoadTable()
    last = {}
    for _ in range(200):
        reporter = f"entry-{source.randrange(6)}"
        reported = {
            (f"i{n}", 1): loads.Load(
                source.randrange(1, 9), 1, source.randrange(9000), 5.0
            )
            for n in source.sample(range(8), source.randrange(6))
        }
        if source.random() < 0.1:
            load_table.drop_report(reporter)
            last.pop(reporter, None)
        else:
            load_table.set_report(reporter, reported.items())
            last[reporter] = reported
    for number in range(8):
        key = (f"i{number}", 1)
        expected = [
            reported[key] for reported in last.values() if key in reported
        ]
        found = load_table.get(key)
        assert found.requests == sum(load.requests for load in expected)
        assert found.context == sum(load.context for load in expected)


def test_request_with_a_long_prompt_stays_in_its_failure_domain():
    # A short request may cross to the faster instances of other failure
    # domains; for a long one the shared links between them cost too much.
    instances = [
        fleets.make_instance("near", "a", "middle", (0, 80)),
        fleets.make_instance("far-1", "b", "fast", (0, 40)),
        fleets.make_instance("far-2", "c", "fast", (40, 80)),
    ]
    size = paths.RequestSize(4000.0, 20.0)
    found = paths.choose_path(
        make_candidates(instances, size=size), MODEL, size, "a"
    )
    assert [p.upstream.instance_id for p in found] == ["near"]


def test_instance_is_not_added_for_a_small_part_of_its_layers():
    # The step in progress there delays each token by more than it gains.
    instances = [
        fleets.make_instance("first", "a", "fast", (0, 40)),
        fleets.make_instance("part", "a", "fast", (10, 44)),
        fleets.make_instance("last", "a", "middle", (40, 80)),
    ]
    assert list_layers(choose(instances)) == [
        ("first", 0, 40),
        ("last", 40, 80),
    ]


WHOLE = fleets.make_instance("whole", "a", "fast", (0, 20))
SMALL_MODEL = fleets.make_model(layers=20, layer_mb=200.0)
USABLE = (
    SMALL_MODEL.count_context_tokens("fast", 20) * 20 * paths.CONTEXT_FRACTION
)


def fits(size_fraction: float, load_fraction: float, memory_fraction: float):
    """Returns whether a request fits on an instance beside other load.

    Args:
        size_fraction: Context of the request as a fraction of the memory.
        load_fraction: Fraction of the memory that is in use.
        memory_fraction: Fraction that the request may fill.
    """
    size = paths.RequestSize(0.0, size_fraction * USABLE / 20)
    candidate = paths.make_candidate(
        WHOLE,
        SMALL_MODEL,
        size,
        loads.Load(1, 1, load_fraction * USABLE),
        1.0,
        memory_fraction=memory_fraction,
    )
    found = paths.choose_path([candidate], SMALL_MODEL, size, "a")
    return found is not None


def test_less_urgent_requests_leave_memory_for_urgent_ones():
    # Guards against an instance that less urgent requests fill up, so that an
    # urgent one has to wait for the end of their streams.
    assert fits(0.01, 0.80, 0.85)
    assert not fits(0.01, 0.88, 0.85)
    assert fits(0.01, 0.88, 1.0)


@pytest.mark.parametrize("size_fraction", [0.05, 0.3, 0.6, 0.9, 0.999])
def test_large_less_urgent_requests_are_not_starved_by_the_memory_left_free(
    size_fraction,
):
    # Guards against large requests that fit on no instance, not even an idle
    # one, or only on an idle one while small ones of their rank fit everywhere.
    room = 1.0 - size_fraction
    assert fits(size_fraction, 0.0, 0.85)
    assert fits(size_fraction, 0.84 * room, 0.85)
    assert not fits(size_fraction, 0.86 * room, 0.85)


@pytest.mark.parametrize("size_fraction", [0.05, 0.6, 1.2])
def test_full_memory_fraction_changes_no_candidate(size_fraction):
    # Guards against changed decisions where ranks are not mixed.
    size = paths.RequestSize(10.0, size_fraction * USABLE / 20)
    load = loads.Load(2, 1, 0.3 * USABLE, 50.0)
    arguments = (WHOLE, SMALL_MODEL, size, load, 1.3, True, 0.7, 9.0)
    before = paths.make_candidate(*arguments)
    assert paths.make_candidate(*arguments, 1.0) == before
    scaled = paths.make_candidate(*arguments, 0.85)
    assert scaled.layer_cost_ms == before.layer_cost_ms
