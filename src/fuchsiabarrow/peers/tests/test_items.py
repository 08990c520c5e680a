"""Entries come to the same items in whatever order they learn them."""

import random

import pytest

from fuchsiabarrow.peers import items
from fuchsiabarrow.peers import members

SEEDS = 50


def make_item(key, version, expires_at_s=100.0):
    return items.Item(key, version, b"%d" % version, expires_at_s)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_tables_agree_after_any_order_with_losses_and_one_comparison(seed):
    source = random.Random(seed)
    news = [
        make_item(f"k/{source.randrange(8)}", source.randrange(20))
        for _ in range(60)
    ]
    first, second = items.ItemTable(), items.ItemTable()
    for table in (first, second):
        order = [n for n in news if source.random() < 0.7]
        source.shuffle(order)
        for item in order:
            table.merge([item], 0.0)
    lacking, wanted = second.compare(first.get_versions())
    first.merge(lacking, 0.0)
    second.merge([first.get(key) for key in wanted], 0.0)
    assert first.get_versions() == second.get_versions()
    assert first.digest == second.digest


def test_older_version_never_replaces_a_newer_one():
    table = items.ItemTable()
    assert table.merge([make_item("k/a", 5)], 0.0)
    assert table.merge([make_item("k/a", 4), make_item("k/a", 5)], 0.0) == []
    assert table.get("k/a").version == 5


def test_expired_item_is_forgotten_and_not_taken_over_again():
    table = items.ItemTable()
    table.merge([make_item("k/a", 1, expires_at_s=10.0)], 0.0)
    table.expire(10.0)
    assert table.get("k/a") is None
    assert table.digest == 0
    assert table.merge([make_item("k/a", 1, expires_at_s=10.0)], 11.0) == []


def make_list():
    own = members.Member("own", "10.0.0.1:1", incarnation=5)
    found = members.MemberList(own, random.Random(1))
    found.update(own, 0.0)
    for number in range(4):
        found.update(members.Member(f"m{number}", f"10.0.0.{number}:1"), 0.0)
    return found


def test_entry_called_dead_objects_with_a_larger_incarnation():
    found = make_list()
    dead = members.Member(
        "own", "10.0.0.1:1", incarnation=5, status=members.Status.DEAD
    )
    objection = found.update(dead, 1.0)
    assert objection.incarnation == 6
    assert objection.status is members.Status.ALIVE
    old = members.Member(
        "own", "10.0.0.1:1", incarnation=4, status=members.Status.DEAD
    )
    assert found.update(old, 1.0) is None


def test_suspect_that_does_not_object_in_time_is_dead():
    found = make_list()
    found.update(found.suspect("m1"), 10.0)
    assert found.find_lapsed(12.0, 3.0) == []
    (dead,) = found.find_lapsed(13.5, 3.0)
    assert (dead.name, dead.status) == ("m1", members.Status.DEAD)
    found.update(members.Member("m1", "10.0.0.1:1", incarnation=1), 11.0)
    assert found.find_lapsed(13.5, 3.0) == []


def test_each_live_member_is_probed_once_a_round():
    found = make_list()
    for _ in range(3):
        turns = {found.take_turn().name for _ in range(4)}
        assert turns == {"m0", "m1", "m2", "m3"}
