import pytest

from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet.tests import fleets


class Clock:
    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def make_directory(*instances):
    clock = Clock()
    directory = directory_module.Directory(clock)
    directory.replace(list(instances))
    return directory, clock


def test_leaving_upstream_gets_no_new_work():
    leaving = fleets.make_instance("x", is_leaving=True)
    staying = fleets.make_instance("y")
    directory, _ = make_directory(leaving, staying)
    assert directory.get_usable_upstreams(fleets.SERVICE) == [staying]
    assert len(directory.get_upstreams(fleets.SERVICE)) == 2


def test_failed_upstream_is_avoided_longer_after_each_failure():
    upstream = fleets.make_instance("x")
    directory, clock = make_directory(upstream)
    first_s = directory.record_failure(upstream)
    assert directory.get_usable_upstreams(fleets.SERVICE) == []
    clock.now_s += first_s + 0.01
    assert directory.get_usable_upstreams(fleets.SERVICE) == [upstream]
    assert directory.record_failure(upstream) > first_s


def test_new_incarnation_is_not_avoided_for_earlier_failures():
    directory, _ = make_directory(fleets.make_instance("x"))
    directory.record_failure(directory.get("x"))
    restarted = fleets.make_instance("x", incarnation=2)
    directory.put(restarted)
    assert directory.get_usable_upstreams(fleets.SERVICE) == [restarted]


def test_only_failures_seen_by_upstreams_are_reported_to_other_entries():
    upstream = fleets.make_instance("x")
    other = fleets.make_instance("y")
    directory, _ = make_directory(upstream, other)
    directory.record_failure(upstream)
    assert directory.get_shared_failures() == []
    directory.record_failure(other, is_shared=True)
    assert [u for u, _ in directory.get_shared_failures()] == [other]


def test_only_consecutive_unsuccessful_requests_count_as_a_failure():
    upstream = fleets.make_instance("x")
    directory, _ = make_directory(upstream)
    for _ in range(directory_module.MAX_UNSUCCESSFUL_REQUESTS - 1):
        directory.record_unsuccessful_request(upstream)
        assert not directory.is_avoided(upstream)
    directory.record_unsuccessful_request(upstream)
    assert directory.is_avoided(upstream)


def test_reported_slowdown_expires():
    upstream = fleets.make_instance("x")
    directory, clock = make_directory(upstream)
    directory.set_slowdown(upstream, 5.0)
    assert directory.get_slowdown(upstream) == 5.0
    clock.now_s += directory_module.SLOWDOWN_EXPIRY_S + 0.1
    assert directory.get_slowdown(upstream) == 1.0


def test_upstream_that_rejected_work_is_full_for_a_short_time():
    upstream = fleets.make_instance("x")
    directory, clock = make_directory(upstream)
    directory.record_full(upstream)
    assert directory.is_full(upstream)
    assert not directory.is_avoided(upstream)
    clock.now_s += directory_module.FULL_EXPIRY_S + 0.01
    assert not directory.is_full(upstream)


def test_success_resets_the_count_of_unsuccessful_requests():
    upstream = fleets.make_instance("x")
    directory, _ = make_directory(upstream)
    for _ in range(directory_module.MAX_UNSUCCESSFUL_REQUESTS):
        directory.record_unsuccessful_request(upstream)
        directory.record_success(upstream)
    assert not directory.is_avoided(upstream)


def test_upstream_whose_address_was_taken_over_gets_no_work():
    old = fleets.make_instance("old", address="10.0.0.9:80")
    new = fleets.make_instance("new", address="10.0.0.9:80", incarnation=2)
    directory, _ = make_directory(old, new)
    assert directory.get_usable_upstreams(fleets.SERVICE) == [new]
    assert directory.get_upstreams(fleets.SERVICE) == [new]
    directory.remove("new")
    assert directory.get_usable_upstreams(fleets.SERVICE) == [old]


def test_reused_address_belongs_to_the_newest_incarnation():
    old = fleets.make_instance("old", address="10.0.0.9:80")
    new = fleets.make_instance("new", address="10.0.0.9:80", incarnation=2)
    directory, _ = make_directory(new, old)
    assert directory.find_by_address("10.0.0.9:80") == new


# An entry of another writer made its failure domain look complete, and paths
# over the sound instances of two domains were not considered any more.
@pytest.mark.parametrize("layers", [(0, 81), (-1, 80), (80, 120), (0, 10**9)])
def test_upstream_with_layers_that_its_model_lacks_is_not_used(layers):
    sound = fleets.make_instance("sound", layers=(0, 80))
    foreign = fleets.make_instance("foreign", "b", layers=layers)
    other = fleets.make_instance(
        "other", "c", layers=layers, service="unlimited"
    )
    directory, _ = make_directory(sound, foreign, other)
    directory.set_services({fleets.SERVICE: 80, "unlimited": None})
    assert directory.get_upstreams(fleets.SERVICE) == [sound]
    assert directory.get_usable_upstreams(fleets.SERVICE) == [sound]
    assert directory.get_upstreams("unlimited") == [other]
    assert directory.get_misfits() == {"foreign"}
    # The entry is replaced by one of an instance of the service.
    returned = fleets.make_instance("foreign", "b", layers=(0, 80))
    directory.put(returned)
    assert returned in directory.get_usable_upstreams(fleets.SERVICE)
    assert not directory.get_misfits()


# Entries of an unnamed service at the addresses of sound upstreams, with the
# time at which they were written as their start, took all of them out of use.
def test_entry_of_an_unnamed_service_takes_no_place():
    sound = fleets.make_instance("sound", address="10.0.0.1:80")
    foreign = fleets.make_instance(
        "note", service="none", address="10.0.0.1:80", incarnation=9
    )
    directory, _ = make_directory(sound, foreign)
    directory.set_services({fleets.SERVICE: 80, "desk": None})
    assert directory.get_upstreams(fleets.SERVICE) == [sound]
    assert directory.get_usable_upstreams(fleets.SERVICE) == [sound]
    assert directory.find_by_address("10.0.0.1:80") == sound
    assert not directory.is_replaced(sound)


def test_address_taken_over_by_another_service_is_that_services():
    ended = fleets.make_instance("ended", address="10.0.0.1:80")
    newer = fleets.make_instance(
        "newer", service="desk", address="10.0.0.1:80", incarnation=9
    )
    directory, _ = make_directory(ended, newer)
    for services in ({}, {fleets.SERVICE: 80, "desk": None}):
        directory.set_services(services)
        assert directory.get_upstreams(fleets.SERVICE) == []
        assert directory.get_usable_upstreams("desk") == [newer]
        assert directory.is_replaced(ended)


# The 1,024th failure without a pause raised OverflowError: the upstream was
# not avoided, and the request that had met the failure ended with 500.
def test_upstream_that_has_failed_for_hours_is_still_avoided():
    upstream = fleets.make_instance("x")
    directory, clock = make_directory(upstream)
    for _ in range(1100):
        avoid_s = directory.record_failure(upstream)
        clock.now_s += avoid_s
    assert avoid_s == directory_module.MAX_AVOID_S


def test_announcement_of_leaving_is_new_once_whatever_the_service():
    upstream = fleets.make_instance("x", service="unnamed")
    directory, _ = make_directory(upstream)
    directory.set_services({fleets.SERVICE: 80})
    assert directory.record_leaving(upstream)
    assert not directory.record_leaving(upstream)
