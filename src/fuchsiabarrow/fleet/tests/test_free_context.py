"""Free and reserved context of a service, against what paths can reserve."""

import pytest

from fuchsiabarrow.fleet import free_context
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet.tests import fleets

MODEL = fleets.make_model(layer_mb=200.0)


def make_instances(*held: tuple[str, int, int]):
    """Returns instances by failure domain, first layer and end."""
    return [
        fleets.make_instance(f"i-{index}", domain, "slow", (first, end))
        for index, (domain, first, end) in enumerate(held)
    ]


def get_capacity(layers: int) -> float:
    return MODEL.count_context_tokens("slow", layers) * paths.CONTEXT_FRACTION


def estimate(instances, used=()) -> free_context.FreeContext:
    """Estimates with tokens in use by index of the instance."""
    table = loads.LoadTable()
    for index, tokens in used:
        layers = len(instances[index].layers)
        table.set_report(
            str(index),
            [(instances[index].key, loads.Load(1, 1, tokens * layers))],
        )
    return free_context.estimate_free_context(instances, MODEL, table.get)


def test_layer_with_the_least_free_memory_decides():
    # The sum over instances counted memory that no whole request can use.
    instances = make_instances(("a", 0, 40), ("a", 40, 80), ("a", 40, 80))
    assert estimate(instances).free_tokens == pytest.approx(get_capacity(40))


def test_used_context_is_that_of_whole_requests():
    # A request on two instances counted twice.
    instances = make_instances(("a", 0, 40), ("a", 40, 80))
    found = estimate(instances, [(0, 500.0), (1, 500.0)])
    assert found.used_tokens == pytest.approx(500.0)
    assert found.free_tokens == pytest.approx(get_capacity(40) - 500.0)


def test_complete_domains_are_added_up_and_others_left_out():
    # Paths stay in the complete domains while there is one, so that memory of
    # the others does not help.
    instances = make_instances(
        ("a", 0, 80), ("b", 0, 40), ("b", 40, 80), ("c", 0, 40)
    )
    assert estimate(instances).free_tokens == pytest.approx(
        get_capacity(80) + get_capacity(40)
    )


def test_domains_that_are_complete_only_together_count():
    # Without a complete domain, paths cross between them.
    instances = make_instances(("a", 0, 40), ("b", 40, 80))
    assert estimate(instances).free_tokens == pytest.approx(get_capacity(40))


def test_layers_that_overlap_are_counted_for_each_layer():
    # The layers between would be taken for scarce or the ends for plentiful.
    instances = make_instances(("a", 0, 60), ("a", 40, 80), ("a", 60, 80))
    assert estimate(instances).free_tokens == pytest.approx(get_capacity(60))


def test_missing_layer_leaves_nothing_free():
    # Requests waited for memory that no path could use.
    instances = make_instances(("a", 0, 40), ("a", 41, 80))
    found = estimate(instances, [(0, 500.0)])
    assert found.free_tokens == 0.0
    assert found.used_tokens > 0.0


def test_overfull_instance_does_not_reduce_what_others_have():
    # Reports of several entries can exceed the memory of an instance.
    instances = make_instances(("a", 0, 80), ("a", 0, 80))
    found = estimate(instances, [(0, 2 * get_capacity(80))])
    assert found.free_tokens == pytest.approx(get_capacity(80))


def test_layers_beyond_those_of_the_model_and_none_are_ignored():
    # The estimate failed, and with it all requests that waited.
    instances = [
        *make_instances(("a", 0, 90), ("a", 85, 90)),
        fleets.make_instance("empty", "a", "slow"),
    ]
    assert estimate(instances).free_tokens == pytest.approx(get_capacity(90))
    assert estimate([]) == free_context.FreeContext(0.0, 0.0)
