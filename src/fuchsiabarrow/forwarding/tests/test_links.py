import random

from fuchsiabarrow.forwarding import links

FIRST, SECOND, THIRD, FOURTH = (f"10.0.0.{n}:80" for n in range(1, 5))
DIRECT, DOUBTFUL, UNCERTAIN, CUT = links.LinkState


class Clock:
    now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


def make_table():
    clock = Clock()
    return links.LinkTable(clock, random.Random(1)), clock


def isolate(table):
    for address in (FIRST, SECOND, THIRD):
        table.record_unreachable(address)


def test_unreachable_upstream_alone_does_not_change_its_link():
    # It may be dead: only another entry that reaches it shows a cut.
    table, clock = make_table()
    table.record_unreachable(FIRST)
    clock.now_s += 0.1
    table.record_reached(SECOND)
    assert table.get_state(FIRST) is DIRECT
    assert table.get_unexplained() == []
    assert table.record_cut(FIRST)
    assert not table.record_cut(FIRST)
    assert table.get_state(FIRST) is CUT
    assert table.get_state(SECOND) is DOUBTFUL


def test_entry_that_reached_no_upstream_lately_doubts_its_links():
    # An idle entry is cut off without noticing it.
    table, clock = make_table()
    table.record_reached(FIRST)
    assert table.get_state(FIRST) is DIRECT
    clock.now_s += links.IDLE_DOUBT_S + 0.1
    assert table.get_state(FIRST) is DOUBTFUL


def test_failures_without_a_success_raise_doubts():
    table, clock = make_table()
    table.record_reached(FIRST)
    clock.now_s += 0.1
    table.record_unreachable(SECOND)
    assert table.get_state(FIRST) is DOUBTFUL
    assert table.get_unexplained() == [SECOND]


def test_many_failures_raise_doubts_beside_successes():
    # Some links may be cut while the entry reaches other upstreams.
    table, clock = make_table()
    isolate(table)
    clock.now_s += 0.1
    table.record_reached(FOURTH)
    assert table.get_state(FIRST) is DOUBTFUL


def test_confirmed_death_ends_doubts_for_a_time():
    # A failure domain of upstreams that dies must not make every entry ask
    # about each of them.
    table, clock = make_table()
    table.record_reached(FOURTH)
    clock.now_s += 0.1
    isolate(table)
    table.record_dead(FIRST)
    assert table.get_state(SECOND) is DIRECT
    clock.now_s += links.MIN_TRUST_S + 0.1
    assert table.get_state(SECOND) is DOUBTFUL


def test_upstream_that_another_entry_reached_too_late_is_not_cut():
    table, _ = make_table()
    table.record_unreachable(FIRST)
    assert not table.record_reached(FIRST)
    assert not table.record_cut(FIRST)
    assert table.get_state(FIRST) is DIRECT


def test_several_unreachable_upstreams_isolate_the_entry():
    table, clock = make_table()
    isolate(table)
    assert table.is_isolated()
    assert table.get_state(FOURTH) is DOUBTFUL
    clock.now_s += links.MIN_ISOLATION_S
    assert table.get_state(FOURTH) is UNCERTAIN


def test_dead_upstreams_do_not_isolate_the_entry():
    # The upstreams of a failure domain die together: other entries say so.
    table, _ = make_table()
    isolate(table)
    for address in (FIRST, SECOND, THIRD):
        table.record_dead(address)
    assert not table.is_isolated()


def test_entry_that_reaches_an_upstream_is_not_isolated():
    table, clock = make_table()
    isolate(table)
    clock.now_s += 0.1
    table.record_reached(FOURTH)
    assert not table.is_isolated()
    assert table.get_state(FOURTH) is not UNCERTAIN


def test_isolation_expires_without_further_failures():
    table, clock = make_table()
    isolate(table)
    clock.now_s += links.FAILURE_EXPIRY_S + 0.1
    assert not table.is_isolated()
    assert table.get_unexplained() == []


def test_entry_with_cut_links_knows_that_it_has_a_fault():
    # It must not plan the placement of layers as if the upstreams were dead.
    table, clock = make_table()
    assert not table.has_fault()
    table.record_unreachable(FIRST)
    assert not table.has_fault()
    isolate(table)
    table.record_reached(FOURTH)
    assert table.has_fault()
    clock.now_s += links.VERDICT_S + 0.1
    assert not table.has_fault()
    table.record_cut(FIRST)
    assert table.has_fault()


# The instances that most paths share died together: each entry took its own
# links for the cause, and no entry had lost layers loaded again for 2.6 s.
def test_upstreams_that_others_do_not_reach_are_no_fault_of_the_links():
    table, _ = make_table()
    isolate(table)
    assert table.has_fault()
    table.record_reported(FIRST)
    assert not table.has_fault()
    assert not table.has_lasting_fault()
    table.record_cut(THIRD)
    assert table.has_fault()


def test_reports_of_others_on_dead_upstreams_expire():
    table, clock = make_table()
    for address in (FIRST, SECOND, THIRD):
        table.record_reported(address)
    assert table.is_reported(FIRST)
    clock.now_s += links.DOUBT_WINDOW_S + 0.1
    assert not table.is_reported(FIRST)
    isolate(table)
    assert table.has_fault()


def test_entry_with_a_fault_does_not_confirm_that_upstreams_are_dead():
    table, _ = make_table()
    isolate(table)
    table.record_reported(FOURTH)
    assert not table.is_reported(FOURTH)


def test_doubt_about_links_is_a_lasting_fault_only_after_some_time():
    # The leader would wait for the hand-over of its duty to itself.
    table, clock = make_table()
    table.record_reached(FOURTH)
    for _ in range(round(links.LASTING_FAULT_S / 0.1)):
        clock.now_s += 0.1
        isolate(table)
        assert table.has_fault()
        assert not table.has_lasting_fault()
    clock.now_s += 0.2
    isolate(table)
    assert table.has_lasting_fault()
    table.record_reached(FOURTH)
    clock.now_s += links.VERDICT_S + 0.1
    assert not table.has_lasting_fault()
    isolate(table)
    assert not table.has_lasting_fault()


def test_cut_link_is_a_lasting_fault_at_once():
    table, _ = make_table()
    table.record_unreachable(FIRST)
    assert not table.has_lasting_fault()
    table.record_cut(FIRST)
    assert table.has_lasting_fault()


def test_cut_link_is_tried_again_after_a_pause():
    table, clock = make_table()
    table.record_unreachable(FIRST)
    table.record_cut(FIRST)
    assert not table.try_start_trial(FIRST)
    clock.now_s += links.RETRY_S[1]
    assert table.try_start_trial(FIRST)
    assert not table.try_start_trial(FIRST)
    assert table.record_reached(FIRST)
    assert table.get_state(FIRST) is DIRECT


def test_trials_of_an_isolated_entry_are_limited():
    # Every request would open a connection in vain.
    table, clock = make_table()
    isolate(table)
    others = [f"10.0.1.{n}:80" for n in range(100)]
    trials = 0
    for address in others:
        trials += table.try_start_trial(address)
        clock.now_s += 0.01
    assert trials <= 1.0 / links.MIN_TRIAL_INTERVAL_S + 1


def test_links_are_tried_at_different_times_after_isolation():
    # Otherwise all cut links would be tried, and used, at the same moment.
    table, clock = make_table()
    isolate(table)
    addresses = (FIRST, SECOND, THIRD)
    for address in addresses:
        table.record_cut(address)
    clock.now_s += 1.0
    table.record_reached(FOURTH)
    due_at_s = {}
    for _ in range(100):
        clock.now_s += 0.01
        for address in addresses:
            if table.try_start_trial(address):
                due_at_s.setdefault(address, clock.now_s)
    assert set(due_at_s) == set(addresses)
    assert len(set(due_at_s.values())) > 1
