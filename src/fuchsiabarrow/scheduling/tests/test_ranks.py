from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.scheduling import ranks

MIXED = documents.RankOrder(((0, 0), (0, 1), (1, 0)))


def test_most_urgent_position_changes_no_decision():
    # Guards against changed decisions where ranks are not mixed.
    assert ranks.get_memory_fraction(0.0) == 1.0
    assert ranks.get_retry_reserve(0.0) == 0.0
    assert ranks.scale_retry_after(0.0, 0.7) == 0.7


def test_less_urgent_requests_yield_more():
    # Guards against an overload in which all ranks are late alike.
    positions = [MIXED.get_position(rank) for rank in MIXED.ranks]
    memory = [ranks.get_memory_fraction(p) for p in positions]
    assert memory == sorted(memory, reverse=True)
    assert memory[-1] == 0.85
    reserves = [ranks.get_retry_reserve(p) for p in positions]
    assert reserves == sorted(set(reserves)) and reserves[-1] < 1.0
    delays_s = [ranks.scale_retry_after(p, 0.6) for p in positions]
    assert delays_s == sorted(set(delays_s))


def test_upstreams_get_a_priority_only_if_ranks_are_mixed():
    # Guards against a priority that puts the requests of a service with equal
    # ranks before or behind those that state none.
    assert (
        ranks.get_wire_priority(documents.RankOrder(((3, 3),)), (3, 3)) is None
    )
    assert ranks.get_wire_priority(documents.RankOrder(), (3, 3)) is None
    assert [ranks.get_wire_priority(MIXED, r) for r in MIXED.ranks] == [0, 1, 2]


def test_priority_on_the_wire_is_bounded():
    # Guards against a header that upstreams reject as malformed: ranks are
    # stated by their order.
    order = documents.RankOrder(tuple((p, p) for p in range(-4, 500, 30)))
    found = [ranks.get_wire_priority(order, rank) for rank in order.ranks]
    assert found == [*range(10), *[9] * (len(order.ranks) - 10)]
