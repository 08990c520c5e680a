"""Tests that item tables converge in any order, and of the member list."""

import random

import pytest

from fuchsiabarrow.peers import items
from fuchsiabarrow.peers import members

SEEDS = 50


def make_item(key, version, expires_at_s=100.0):
    return items.Item(key, version, b"%d" % version, expires_at_s)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_tables_converge_after_reordering_losses_and_one_comparison(seed):
    source = random.Random(seed)
    updates = [
        make_item(f"k/{source.randrange(8)}", source.randrange(20))
        for _ in range(60)
    ]
    first, second = items.ItemTable(), items.ItemTable()
    for table in (first, second):
        order = [update for update in updates if source.random() < 0.7]
        source.shuffle(order)
        for item in order:
            table.merge([item], 0.0)
    missing, wanted = second.compare(first.get_versions())
    first.merge(missing, 0.0)
    second.merge([first.get(key) for key in wanted], 0.0)
    assert first.get_versions() == second.get_versions()
    assert first.digest == second.digest


def test_older_version_never_replaces_a_newer_one():
    table = items.ItemTable()
    assert table.merge([make_item("k/a", 5)], 0.0)
    assert table.merge([make_item("k/a", 4), make_item("k/a", 5)], 0.0) == []
    assert table.get("k/a").version == 5


def test_expired_item_is_removed_and_not_merged_again():
    table = items.ItemTable()
    table.merge([make_item("k/a", 1, expires_at_s=10.0)], 0.0)
    table.expire(10.0)
    assert table.get("k/a") is None
    assert table.digest == 0
    assert table.merge([make_item("k/a", 1, expires_at_s=10.0)], 11.0) == []


def make_member_list():
    own = members.Member("own", "10.0.0.1:1", incarnation=5)
    member_list = members.MemberList(own, random.Random(1))
    member_list.update(own, 0.0)
    for number in range(4):
        member_list.update(
            members.Member(f"m{number}", f"10.0.0.{number}:1"), 0.0
        )
    return member_list


def test_entry_declared_dead_refutes_with_a_larger_incarnation():
    member_list = make_member_list()
    dead = members.Member(
        "own", "10.0.0.1:1", incarnation=5, status=members.Status.DEAD
    )
    refutation = member_list.update(dead, 1.0)
    assert refutation.incarnation == 6
    assert refutation.status is members.Status.ALIVE
    old = members.Member(
        "own", "10.0.0.1:1", incarnation=4, status=members.Status.DEAD
    )
    assert member_list.update(old, 1.0) is None


def test_suspect_without_refutation_in_time_is_dead():
    member_list = make_member_list()
    member_list.update(member_list.make_suspect("m1"), 10.0)
    assert member_list.find_expired_suspects(12.0, 3.0) == []
    (dead,) = member_list.find_expired_suspects(13.5, 3.0)
    assert (dead.name, dead.status) == ("m1", members.Status.DEAD)
    member_list.update(members.Member("m1", "10.0.0.1:1", incarnation=1), 11.0)
    assert member_list.find_expired_suspects(13.5, 3.0) == []


def test_each_live_member_is_probed_once_a_round():
    member_list = make_member_list()
    for _ in range(3):
        targets = {member_list.choose_probe_target().name for _ in range(4)}
        assert targets == {"m0", "m1", "m2", "m3"}
