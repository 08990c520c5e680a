"""Pytest fixtures that several subpackages share."""

import pytest

from fuchsiabarrow.entry.tests import process_fleets


@pytest.fixture
def fleet(tmp_path):
    with process_fleets.Fleet(tmp_path) as started:
        yield started
