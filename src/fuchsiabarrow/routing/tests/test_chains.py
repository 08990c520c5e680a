"""Tests that chains apply each layer once, in order, on usable instances."""

import random

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import instances
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import health

LAYERS = 24
SEEDS = 300


def make_state(name, first, end, **fields) -> health.InstanceState:
    instance = instances.Instance(name, "10.0.0.1:1", "engine", "m", first, end)
    return health.InstanceState(instance, **fields)


def choose(states, seed=1, avoid=frozenset(), layers=LAYERS):
    return chains.choose_chain(
        states,
        layers,
        0.0,
        lambda state: 0.001 * (1 + state.in_flight),
        random.Random(seed),
        avoid,
    )


@pytest.mark.parametrize("seed", range(SEEDS))
def test_any_chain_covers_each_layer_once_within_the_held_ranges(seed):
    source = random.Random(seed)
    states = [make_state("all", 0, LAYERS, in_flight=9)]
    for number in range(source.randrange(1, 12)):
        first = source.randrange(LAYERS)
        end = source.randrange(first + 1, LAYERS + 1)
        states.append(make_state(f"i{number}", first, end))
    chain = choose(states, seed)
    held = {s.instance.instance_id: s.instance for s in states}
    applied = []
    for hop in chain:
        applied += range(hop.first_layer, hop.end_layer)
        holder = held[hop.instance_id]
        assert holder.first_layer <= hop.first_layer
        assert hop.end_layer <= holder.end_layer
    assert applied == list(range(LAYERS))


def test_leaving_instance_is_not_used_even_if_no_other_holds_a_layer():
    states = [make_state("a", 0, LAYERS, is_leaving=True)]
    with pytest.raises(exceptions.ChainUnavailableError, match="retry"):
        choose(states)


def test_excluded_instance_is_used_only_if_no_other_holds_a_layer():
    excluded = make_state("a", 0, LAYERS, excluded_until_s=5.0)
    (hop,) = choose([excluded])
    assert hop.instance_id == "a"
    other = make_state("b", 0, LAYERS, in_flight=50)
    for seed in range(50):
        (hop,) = choose([excluded, other], seed)
        assert hop.instance_id == "b"


def test_avoided_instance_is_used_only_if_no_other_holds_a_layer():
    states = [make_state("a", 0, LAYERS), make_state("b", 0, LAYERS)]
    (hop,) = choose(states, avoid=frozenset({"a"}))
    assert hop.instance_id == "b"
    choose(states, avoid=frozenset({"a", "b"}))


def test_entries_with_the_same_loads_do_not_all_choose_the_same_instance():
    states = [make_state(f"i{n}", 0, LAYERS, in_flight=n) for n in range(20)]
    chosen = [choose(states, seed)[0].instance_id for seed in range(400)]
    most = max(chosen.count(name) for name in set(chosen))
    # The best of two random candidates gives the least loaded of 20 instances
    # a tenth of all requests.
    assert most < len(chosen) * 0.2
    assert len(set(chosen)) > 10


def test_cheaper_path_over_more_hops_is_preferred_to_an_overloaded_one():
    states = [
        make_state("all", 0, LAYERS, in_flight=100),
        make_state("a", 0, 12),
        make_state("b", 12, LAYERS),
    ]
    assert [hop.instance_id for hop in choose(states)] == ["a", "b"]
