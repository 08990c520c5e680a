"""Pytest fixtures and the distribution of tests over worker processes."""

import pytest

from fuchsiabarrow.entry.tests import process_fleets

# Modules whose tests run on virtual time without sockets or processes. How busy
# the machine is does not change their results, so that they may run beside
# each other. All other tests run one after another in one worker.
VIRTUAL_TIME_MODULES = frozenset(
    {
        "test_aggregation",
        "test_announced_limits",
        "test_configuration_days",
        "test_crashing_parts",
        "test_cut_off_entries",
        "test_path_selection",
        "test_placement_duty",
        "test_relayed_copies",
        "test_shared_failures",
        "test_silent_upstreams",
        "test_store_followers",
    }
)


def pytest_collection_modifyitems(items):
    for item in items:
        name = item.module.__name__.rpartition(".")[2]
        if name not in VIRTUAL_TIME_MODULES:
            item.add_marker(pytest.mark.xdist_group("real time"))


@pytest.fixture
def fleet(tmp_path):
    with process_fleets.Fleet(tmp_path) as started:
        yield started
