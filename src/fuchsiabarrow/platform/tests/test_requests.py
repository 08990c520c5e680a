import types

import multidict
import pytest

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.forwarding.tests import fakes
from fuchsiabarrow.platform import requests


@pytest.mark.parametrize(
    ("organisation", "rank"),
    [
        (None, 1),
        (documents.Organisation("org", ("k",), None), 1),
        (documents.Organisation("org", ("k",), 0), 0),
        (documents.Organisation("org", ("k",), 12), 12),
    ],
)
def test_rank_follows_from_the_configuration_and_not_from_the_caller(
    organisation, rank
):
    # Guards against a caller that makes its own requests urgent.
    http_request = types.SimpleNamespace(
        method="GET",
        raw_path="/x",
        headers=multidict.CIMultiDict(
            {"Attempt-Id": "r1", "Request-Priority": "5"}
        ),
    )
    request = requests.decode_request(
        http_request, fakes.make_route(), organisation, 0.0, b"", 1
    )
    assert request.rank == rank
    assert "Request-Priority" not in dict(request.headers)
