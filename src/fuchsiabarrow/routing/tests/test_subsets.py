"""Tests that subsets are small, evenly spread and stable."""

import collections

import pytest

from fuchsiabarrow.ports import instances
from fuchsiabarrow.routing import health
from fuchsiabarrow.routing import subsets


def make_states(count):
    return [
        health.InstanceState(
            instances.Instance(f"i{n}", f"10.0.0.{n}:1", "engine", "m", 0, 4)
        )
        for n in range(count)
    ]


@pytest.mark.parametrize(("group", "entries"), [(10, 9), (30, 9), (21, 40)])
def test_subsets_of_few_entries_cover_the_group(group, entries):
    states = make_states(group)
    counts = collections.Counter()
    for number in range(entries):
        chosen = subsets.choose_subset(states, f"entry-{number}", entries)
        counts.update(state.instance.instance_id for state in chosen)
    assert len(counts) == group
    assert (
        min(counts.values()) >= min(entries, subsets.ENTRIES_PER_INSTANCE) / 2
    )


def test_subsets_of_many_entries_are_small_and_evenly_spread():
    states = make_states(21)
    counts = collections.Counter()
    for number in range(400):
        chosen = subsets.choose_subset(states, f"entry-{number}", 400)
        assert len(chosen) == subsets.MIN_SUBSET_SIZE
        counts.update(state.instance.instance_id for state in chosen)
    mean = 400 * subsets.MIN_SUBSET_SIZE / 21
    assert max(counts.values()) < 1.4 * mean
    assert min(counts.values()) > 0.6 * mean


def test_removal_of_an_instance_changes_few_subsets():
    states = make_states(21)
    changed = 0
    for number in range(400):
        entry = f"entry-{number}"
        before = subsets.choose_subset(states, entry, 400)
        after = subsets.choose_subset(states[1:], entry, 400)
        kept = {s.instance.instance_id for s in before} & {
            s.instance.instance_id for s in after
        }
        changed += subsets.MIN_SUBSET_SIZE - len(kept)
        assert len(kept) >= subsets.MIN_SUBSET_SIZE - 1
    assert changed < 400 * subsets.MIN_SUBSET_SIZE / 21 * 1.4
