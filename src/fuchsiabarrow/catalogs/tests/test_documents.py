import pytest

from fuchsiabarrow.catalogs import documents


def make_route(
    priority: int,
    prefix: str = "/",
    host: str = "shop.example",
    services=(("model", 1.0),),
    is_anonymous: bool = False,
) -> documents.Route:
    return documents.Route(
        f"route-{priority}",
        host,
        prefix,
        documents.RequestKind.STREAM,
        1.0,
        0.1,
        None,
        priority,
        services,
        1,
        is_anonymous,
        True,
    )


def make_organisation(priority: int | None, keys: int = 1):
    name = f"org-{priority}"
    return documents.Organisation(
        name, tuple(f"{name}-{i}" for i in range(keys)), priority
    )


def find_ranks(routes, organisations=None, service="model") -> tuple[int, ...]:
    catalog = documents.make_catalog(
        1,
        list(routes),
        [],
        None if organisations is None else list(organisations),
        documents.RequestLimits(),
    )
    return catalog.get_rank_order(service).ranks


def test_routes_of_one_service_mix_their_ranks():
    # Guards against callers of three ranks that compete as equals.
    routes = [make_route(p, f"/{p}/") for p in (2, 0, 1, 2)]
    assert find_ranks(routes) == ((0, 0), (1, 1), (2, 2))


def test_ranks_are_not_mixed_by_requests_that_the_service_never_gets():
    # Guards against changed decisions in a deployment whose ranks do not
    # compete: another service, no weight, a hidden route, an unused priority.
    split = (("desk", 1.0), ("model", 0.0))
    routes = [
        make_route(1),
        make_route(0, "/desk/", services=(("desk", 1.0),)),
        make_route(2, "/split/", services=split),
        make_route(3, host="Shop.example"),
    ]
    organisations = [make_organisation(None), make_organisation(4, keys=0)]
    assert find_ranks(routes, organisations) == ((1, 1),)
    assert find_ranks(routes, organisations, "desk") == ((0, 0), (2, 2))
    assert find_ranks(routes, organisations, "unknown") == ()


def test_weight_of_a_single_service_has_no_effect():
    route = make_route(1, services=(("model", 0.0),))
    assert find_ranks([route]) == ((1, 1),)


def test_priority_of_an_organisation_goes_before_that_of_the_route():
    # Guards against an urgent organisation that competes by its route's rank,
    # and against routes of unlike priority that compete as equals because
    # their organisation has a priority.
    routes = [make_route(1), make_route(3, "/slow/")]
    urgent, other = make_organisation(0), make_organisation(None)
    assert find_ranks(routes, [urgent, other]) == (
        (0, 1),
        (0, 3),
        (1, 1),
        (3, 3),
    )
    assert find_ranks(routes, [urgent]) == ((0, 1), (0, 3))
    assert documents.get_rank(routes[1], urgent) == 0
    assert documents.get_rank(routes[1], other) == 3


def test_priorities_of_organisations_alone_mix_no_ranks():
    # Guards against changed decisions where all routes to a service have one
    # priority, as in deployments that were not asked to order requests.
    organisations = [make_organisation(p) for p in (0, 1, 2)]
    assert find_ranks([make_route(1)], organisations) == ((0, 1),)


def test_anonymous_route_keeps_its_own_priority():
    # Guards against anonymous requests that count as an organisation's.
    routes = [make_route(5, is_anonymous=True), make_route(1, "/key/")]
    assert find_ranks(routes, [make_organisation(0)]) == ((0, 1), (5, 5))
    assert find_ranks(routes) == ((1, 1), (5, 5))
    assert documents.get_rank(routes[0], None) == 5


@pytest.mark.parametrize("ranks", [(), ((0, 0),), ((7, 7),)])
def test_position_is_most_urgent_where_ranks_are_not_mixed(ranks):
    # Guards against changed decisions where all requests are equal.
    order = documents.RankOrder(ranks)
    assert not order.is_mixed
    assert {order.get_position((rank, 0)) for rank in range(10)} == {0.0}


def test_positions_of_mixed_ranks_depend_on_their_order_only():
    order = documents.RankOrder(((0, 0), (3, 1), (50, 0)))
    assert [order.get_position(rank) for rank in order.ranks] == [0, 0.5, 1]
    # Ranks of requests that arrived before the configuration changed.
    unknown = [order.get_position((rank, 0)) for rank in (-1, 2, 4, 99)]
    assert unknown == [0, 0.5, 1, 1]


def test_without_valid_keys_only_anonymous_routes_have_ranks():
    routes = [make_route(1), make_route(2, "/open/", is_anonymous=True)]
    assert find_ranks(routes, []) == ((2, 2),)
    assert find_ranks(routes[:1], []) == ()
