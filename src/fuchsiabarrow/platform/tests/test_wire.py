import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.platform import wire
from fuchsiabarrow.platform.tests import sample_objects


def test_listed_object_is_decoded_as_upstream():
    found = wire.decode_upstream(
        sample_objects.make_stored("i-1", sample_objects.make_server())
    )
    assert found.instance_id == "i-1"
    assert found.incarnation == 1787784881110
    assert found.failure_domain == "a"
    assert (found.layers.first, found.layers.end) == (10, 20)
    assert not found.is_leaving


@pytest.mark.parametrize(
    "changes",
    [
        {"layers": None},
        {"layers": {"start_key": 0, "to": 0, "version": 0}},
    ],
)
def test_upstream_without_layers(changes):
    server = sample_objects.make_server(**changes)
    assert (
        wire.decode_upstream(sample_objects.make_stored("i", server)).layers
        is None
    )


def test_upstream_of_plain_service_needs_no_model_fields():
    server = {
        "service": "desk",
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "v1",
        "slots": 6,
        "state": "draining",
        "cold_left_ms": 12.5,
        "sequence": 0,
    }
    found = wire.decode_upstream(sample_objects.make_stored("i", server))
    assert found.is_leaving
    assert found.kind == ""


@pytest.mark.parametrize(
    "spec",
    [
        b"\xff\xfe not text",
        b"{",
        b"null",
        b"[]",
        {},
        sample_objects.make_server(state="odd"),
        sample_objects.make_server(state=3),
        sample_objects.make_server(address="nowhere"),
        sample_objects.make_server(address="10.0.0.1:x"),
        sample_objects.make_server(address=None),
        sample_objects.make_server(slots="many"),
        sample_objects.make_server(born="yesterday"),
        sample_objects.make_server(born=1.5),
        sample_objects.make_server(zone=None),
        sample_objects.make_server(layers=[1, 2]),
        sample_objects.make_server(layers={"start_key": "x", "to": 2}),
    ],
)
def test_invalid_listed_object_is_rejected(spec):
    with pytest.raises(exceptions.InvalidObjectError):
        wire.decode_upstream(sample_objects.make_stored("i", spec))


# Bookings were sent to a server that is no upstream, and ended with 502.
@pytest.mark.parametrize(
    "field",
    [
        "service",
        "address",
        "zone",
        "version",
        "slots",
        "state",
        "cold_left_ms",
        "sequence",
    ],
)
def test_entry_that_lacks_a_field_or_has_it_of_another_type_is_rejected(field):
    server = sample_objects.make_server()
    for changed in (
        {k: v for k, v in server.items() if k != field},
        server | {field: None},
        server | {field: ["x"]},
    ):
        with pytest.raises(exceptions.InvalidObjectError):
            wire.decode_upstream(sample_objects.make_stored("i", changed))


def test_configuration_is_decoded_as_catalog():
    catalog = wire.decode_catalog(
        sample_objects.make_stored("main", sample_objects.make_config())
    )
    assert catalog.version == 7
    route = catalog.find_route("SHOP.example", "/quotes/2f")
    assert route.kind is documents.RequestKind.STREAM
    assert route.timeout_s == 20.0
    assert route.event_gap_objective_s == 0.2
    assert route.services == (("model", 1.0),)
    assert catalog.find_organisation("key-2").name == "org"
    assert catalog.find_organisation("key-3") is None
    assert catalog.services["desk"].engine is None
    model = catalog.services["model"].engine
    assert model.kinds["l4"].step_factor == 16.0
    assert model.domain_delay_ms == 0.75
    assert catalog.limits.idle_timeout_s == 15.0


def test_longest_prefix_wins():
    routes = [
        sample_objects.make_route(name="short", path_prefix="/a/"),
        sample_objects.make_route(name="long", path_prefix="/a/b/"),
        sample_objects.make_route(name="root", path_prefix="/"),
    ]
    config = sample_objects.make_config(routes=routes)
    catalog = wire.decode_catalog(sample_objects.make_stored("main", config))
    assert catalog.find_route("shop.example", "/a/b/c").name == "long"
    assert catalog.find_route("shop.example", "/a/c").name == "short"
    assert catalog.find_route("shop.example", "/x").name == "root"
    assert catalog.find_route("other.example", "/x") is None


def test_route_with_traffic_split_has_weighted_services():
    split = [
        {"service": "x", "weight": 90},
        {"service": "y", "weight": 10},
    ]
    route = sample_objects.make_route(traffic_split=split)
    del route["service"]
    config = sample_objects.make_config(routes=[route])
    catalog = wire.decode_catalog(sample_objects.make_stored("main", config))
    found = catalog.find_route("shop.example", "/quotes/")
    assert found.services == (("x", 90.0), ("y", 10.0))


@pytest.mark.parametrize(
    "spec",
    [
        b"{",
        {},
        sample_objects.make_config(version="7"),
        sample_objects.make_config(
            routes=[sample_objects.make_route(kind="odd")]
        ),
        sample_objects.make_config(routes=[{"name": "x"}]),
        sample_objects.make_config(tenants=[{"api_keys": ["k"]}]),
    ],
)
def test_invalid_configuration_is_rejected(spec):
    with pytest.raises(exceptions.InvalidObjectError):
        wire.decode_catalog(sample_objects.make_stored("main", spec))


# Numbers beyond those that an instance can have: the entry is of another
# writer, and what computes with them may fail or never end.
@pytest.mark.parametrize(
    "changes",
    [
        {"layers": {"start_key": -1, "to": 80}},
        {"layers": {"start_key": 0, "to": 2**31}},
        {"layers": {"start_key": 0, "to": 2**64}},
        {"layers": {"start_key": -(2**64), "to": 80}},
        {"slots": -1},
        {"slots": 2**31},
        {"born": -1},
        {"born": 2**63},
    ],
)
def test_entry_with_absurd_numbers_is_rejected(changes):
    server = sample_objects.make_server(**changes)
    with pytest.raises(exceptions.InvalidObjectError):
        wire.decode_upstream(sample_objects.make_stored("i", server))


# An empty list was taken for a configuration without keys: every key opened
# every route once the last organisation was taken away.
def test_empty_list_of_organisations_is_not_a_configuration_without_keys():
    config = sample_objects.make_config(tenants=[])
    stored = sample_objects.make_stored("main", config)
    assert wire.decode_catalog(stored).requires_keys
    del config["tenants"]
    stored = sample_objects.make_stored("main", config)
    assert not wire.decode_catalog(stored).requires_keys


def test_configuration_whose_organisations_are_no_list_is_rejected():
    for tenants in (None, {}, "", 0):
        config = sample_objects.make_config(tenants=tenants)
        with pytest.raises(exceptions.InvalidObjectError):
            wire.decode_catalog(sample_objects.make_stored("main", config))
