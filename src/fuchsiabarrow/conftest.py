"""Pytest fixtures that several subpackages share."""

import pytest

from fuchsiabarrow.entry.tests import fleets


@pytest.fixture
def fleet(tmp_path):
    with fleets.Fleet(tmp_path) as started:
        yield started
