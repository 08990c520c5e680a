import random

import pytest

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.fleet.tests import fleets
from fuchsiabarrow.placement import plans

MODEL = fleets.make_model()


def count_holders(instances, domain):
    held = [0] * MODEL.layers
    for instance in instances:
        if instance.failure_domain == domain and instance.layers is not None:
            for layer in range(instance.layers.first, instance.layers.end):
                held[layer] += 1
    return held


def apply(instances, assignments):
    layers = {a.upstream.key: a.layers for a in assignments}
    return [
        upstreams.Upstream(
            i.instance_id,
            i.incarnation,
            i.service,
            i.address,
            i.failure_domain,
            i.slots,
            i.is_leaving,
            i.kind,
            layers.get(i.key, i.layers),
        )
        for i in instances
    ]


def test_each_failure_domain_of_the_test_fleet_holds_all_layers():
    fleet = fleets.make_fleet()
    placed = apply(fleet, plans.plan_assignments(fleet, MODEL, {}))
    for domain in fleets.DOMAINS:
        assert 0 not in count_holders(placed, domain)


def test_no_instance_is_assigned_more_layers_than_fit_its_memory():
    fleet = fleets.make_fleet()
    for assignment in plans.plan_assignments(fleet, MODEL, {}):
        kind = MODEL.kinds[assignment.upstream.kind]
        assert len(assignment.layers) * MODEL.layer_mb <= kind.memory_mb


def test_plan_does_not_depend_on_the_order_of_the_list():
    fleet = fleets.make_fleet()
    expected = plans.plan_assignments(fleet, MODEL, {})
    shuffled = list(fleet)
    random.Random(1).shuffle(shuffled)
    found = plans.plan_assignments(shuffled, MODEL, {})
    assert {a.upstream.key: a.layers for a in found} == {
        a.upstream.key: a.layers for a in expected
    }


def test_complete_placement_is_not_changed():
    fleet = fleets.make_fleet()
    placed = apply(fleet, plans.plan_assignments(fleet, MODEL, {}))
    assert plans.plan_assignments(placed, MODEL, {}) == []
    assert plans.plan_moves(placed, MODEL, {}) == []


def test_restarted_instance_is_assigned_the_least_held_layers():
    fleet = fleets.make_fleet()
    placed = apply(fleet, plans.plan_assignments(fleet, MODEL, {}))
    sole_holder = next(
        i
        for i in placed
        if 1
        in count_holders(placed, i.failure_domain)[
            i.layers.first : i.layers.end
        ]
    )
    restarted = fleets.make_instance(
        sole_holder.instance_id,
        sole_holder.failure_domain,
        sole_holder.kind,
        incarnation=2,
    )
    rest = [i for i in placed if i is not sole_holder]
    before = count_holders(rest, sole_holder.failure_domain)
    (assignment,) = plans.plan_assignments([*rest, restarted], MODEL, {})
    assert assignment.upstream is restarted
    window = before[assignment.layers.first : assignment.layers.end]
    assert min(window) == min(before)


def test_instance_that_is_loading_layers_is_not_assigned_again():
    one = fleets.make_instance("one", kind="middle")
    two = fleets.make_instance("two", kind="middle")
    model = fleets.make_model(layers=10, kv_bytes_per_token=229_500.0)
    pending = {one.key: upstreams.LayerRange(0, 10)}
    found = plans.plan_assignments([one, two], model, pending)
    assert [a.upstream for a in found] == [two]


def test_missing_layers_are_loaded_by_a_redundant_instance():
    model = fleets.make_model(layers=20, kv_bytes_per_token=459_000.0)
    instances = [
        fleets.make_instance("a", kind="slow", layers=(0, 7)),
        fleets.make_instance("b", kind="slow", layers=(0, 7)),
        fleets.make_instance("c", kind="slow", layers=(7, 14)),
    ]
    (move,) = plans.plan_moves(instances, model, {})
    assert move.upstream.instance_id == "a"
    assert move.layers.covers(14, 20)


# The instances that most paths share died; others that had to load their layers
# did so only when the streams through them had ended, after up to 6 s.
def test_idle_instance_is_moved_to_missing_layers_before_a_busy_one():
    instances = [
        fleets.make_instance("i1", "a", "fast", (0, 40)),
        fleets.make_instance("i2", "a", "fast", (0, 40)),
        fleets.make_instance("i3", "a", "fast", (0, 40)),
    ]
    requests = {"i1": 4.0, "i2": 0.0, "i3": 9.0}
    (move,) = plans.plan_moves(
        instances,
        fleets.make_model(layer_mb=200.0),
        {},
        lambda instance: requests[instance.instance_id],
    )
    assert move.upstream.instance_id == "i2"
    assert move.layers.covers(40, 80)


def test_only_holder_of_layers_is_not_moved():
    model = fleets.make_model(layers=20, kv_bytes_per_token=459_000.0)
    instances = [
        fleets.make_instance("a", kind="slow", layers=(0, 7)),
        fleets.make_instance("c", kind="slow", layers=(7, 14)),
    ]
    assert plans.plan_moves(instances, model, {}) == []


def test_failure_domains_too_small_for_all_layers_form_one_pool():
    fleet = [
        fleets.make_instance(f"{d}{i}", d, "middle")
        for d in ("a", "b")
        for i in range(3)
    ]
    placed = apply(fleet, plans.plan_assignments(fleet, MODEL, {}))
    held = [
        x + y
        for x, y in zip(
            count_holders(placed, "a"), count_holders(placed, "b"), strict=True
        )
    ]
    assert 0 not in held


@pytest.mark.parametrize("seed", range(30))
def test_random_fleets_with_enough_memory_hold_all_layers(seed):
    source = random.Random(seed)
    fleet = [
        fleets.make_instance(
            f"i{index}",
            source.choice(fleets.DOMAINS),
            source.choice(list(fleets.COUNTS)),
        )
        for index in range(source.randint(8, 40))
    ]
    placed = apply(fleet, plans.plan_assignments(fleet, MODEL, {}))
    capacity = sum(plans.count_target_layers(MODEL, i.kind) for i in fleet)
    candidates = [
        paths.make_candidate(
            i, MODEL, paths.RequestSize(800, 200), loads.IDLE, 1.0
        )
        for i in placed
        if i.layers is not None
    ]
    found = paths.choose_path(
        candidates, MODEL, paths.RequestSize(800, 200), "a"
    )
    if capacity >= MODEL.layers + 25 * len(fleets.DOMAINS):
        assert paths.is_complete_path(found, MODEL.layers)
