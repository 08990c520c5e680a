"""Journal of the changes of a collection, without network."""

from fuchsiabarrow.peers import updates
from fuchsiabarrow.ports import objects


def make_objects(**versions: int) -> list[objects.VersionedObject]:
    return [objects.VersionedObject(n, b"", v) for n, v in versions.items()]


def test_changes_after_a_number_are_found():
    journal = updates.ChangeJournal()
    journal.record(make_objects(a=1, b=1))
    first = journal.sequence
    journal.record(make_objects(a=1, b=2, c=3))
    assert journal.find_changed(first) == {"b", "c"}
    assert journal.find_removed(first) == []
    assert journal.find_changed(0) == {"a", "b", "c"}


def test_removal_is_found_until_the_object_returns():
    journal = updates.ChangeJournal()
    journal.record(make_objects(a=1, b=1))
    journal.record(make_objects(b=1))
    removed = journal.sequence
    assert journal.find_removed(removed - 1) == ["a"]
    assert journal.find_removed(removed) == []
    journal.record(make_objects(a=4, b=1))
    assert journal.find_removed(0) == []
    assert journal.find_changed(removed) == {"a"}


def test_same_state_is_no_change():
    journal = updates.ChangeJournal()
    assert journal.record(make_objects(a=1))
    assert not journal.record(make_objects(a=1))
    assert journal.sequence == 1


# A follower that missed removals which are forgotten would keep what is gone.
def test_number_before_forgotten_removals_is_not_known():
    journal = updates.ChangeJournal()
    names = {f"n{i}": 1 for i in range(updates.MAX_REMOVED_NAMES + 1)}
    journal.record(make_objects(**names))
    for number in range(updates.MAX_REMOVED_NAMES + 1):
        del names[f"n{number}"]
        journal.record(make_objects(**names))
    assert not journal.knows(0)
    assert journal.knows(journal.sequence)
    assert not journal.knows(journal.sequence + 1)
