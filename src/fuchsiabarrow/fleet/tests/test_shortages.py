"""What lacked when no path was found."""

import pytest

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import shortages
from fuchsiabarrow.fleet.tests import fleets

MODEL = fleets.make_model()
SIZE = paths.RequestSize(800.0, 200.0)


def make_candidates(*held: tuple[int, int, bool]) -> list[paths.Candidate]:
    """Returns instances by first layer, end and whether they are full."""
    candidates = []
    for index, (first, end, is_full) in enumerate(held):
        instance = fleets.make_instance(f"i-{index}", layers=(first, end))
        capacity = MODEL.count_context_tokens("fast", end - first)
        load = loads.Load(1, 1, capacity * (end - first) if is_full else 0.0)
        candidates.append(
            paths.make_candidate(instance, MODEL, SIZE, load, 1.0)
        )
    return candidates


# A refusal said "0 full, 0 layers on no instance" and did not tell what lacked.
@pytest.mark.parametrize(
    ("held", "ranges"),
    [
        ([(0, 27, False), (27, 54, True), (54, 80, False)], [(27, 54)]),
        ([(0, 27, True), (0, 27, False), (27, 80, True)], [(27, 80)]),
        ([(0, 27, True), (20, 30, False), (30, 40, True)], [(0, 20), (30, 40)]),
        ([(0, 27, False), (54, 80, False)], []),
        ([], []),
    ],
)
def test_layers_whose_holders_are_full_are_named(held, ranges):
    found = shortages.find_full_layers(make_candidates(*held), 80, SIZE)
    assert found == ranges


# A refusal named no layers, as one layer would have had room: paths change the
# instance only where a range begins or ends.
def test_layers_whose_holders_have_room_for_a_part_of_them_are_named():
    instance = fleets.make_instance("i", layers=(0, 80))
    free = 10 * SIZE.context_tokens
    found = shortages.find_full_layers(
        [paths.Candidate(instance, 1.0, free, True)], 80, SIZE
    )
    assert found == [(0, 80)]


def test_layers_beyond_those_of_the_model_are_ignored():
    found = shortages.find_full_layers(
        make_candidates((70, 90, True)), 80, SIZE
    )
    assert found == [(70, 80)]


def test_ranges_are_described():
    assert shortages.describe_ranges([(0, 20), (30, 40)]) == "0-20 30-40"
