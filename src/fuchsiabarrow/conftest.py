"""Pytest fixtures and the distribution of tests over worker processes."""

import pathlib

import pytest

from fuchsiabarrow.entry.tests import process_fleets

# Modules whose tests run on virtual time without sockets or processes. How busy
# the machine is does not change their results, so that they may run beside
# each other. All other tests run one after another in one worker.
VIRTUAL_TIME_MODULES = frozenset(
    {
        "test_aggregation",
        "test_announced_limits",
        "test_announcements_among_entries",
        "test_bounded_waits",
        "test_configuration_days",
        "test_crashing_parts",
        "test_cut_off_entries",
        "test_overload_bursts",
        "test_path_selection",
        "test_placement_duty",
        "test_relayed_copies",
        "test_shared_failures",
        "test_share_reports",
        "test_shares",
        "test_silent_upstreams",
        "test_store_followers",
    }
)


@pytest.hookimpl(optionalhook=True)
def pytest_xdist_make_scheduler(config, log):
    """Keeps the tests in real time in one worker, in order."""
    from xdist.scheduler import loadscope

    # Groups set with `xdist_group` have no effect with pytest 9.2: it no longer
    # reads the attribute to which pytest-xdist 3.8.0 adds them.
    class ModuleScheduling(loadscope.LoadScopeScheduling):
        def _split_scope(self, nodeid):
            module = pathlib.PurePosixPath(nodeid.partition("::")[0]).stem
            return nodeid if module in VIRTUAL_TIME_MODULES else "real time"

    return ModuleScheduling(config, log)


@pytest.fixture
def fleet(tmp_path):
    with process_fleets.Fleet(tmp_path) as started:
        yield started
