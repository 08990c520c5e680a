import itertools
import random

import pytest

from fuchsiabarrow.limits import crashing_parts

DEAD, SHARED, OTHER = 1, 2, 3
ORG, OTHER_ORG = 10, 11
Verdict = crashing_parts.Verdict


class Clock:
    def __init__(self):
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


def make(clock, busy: bool = True):
    crashes = crashing_parts.PartCrashes(clock, random.Random(1))
    for _ in range(40 if busy else 0):
        crashes.record_begin([SHARED])
    return crashes


def crash_repeatedly(crashes, clock, part, count, organisation=ORG, gap_s=1.0):
    for number in range(count):
        crashes.record_crash(organisation, [part], 100 * organisation + number)
        clock.now_s += gap_s


def judge(crashes, part, organisation=ORG) -> Verdict:
    return crashes.judge(organisation, [part]).verdict


def exchange(sender, receiver) -> None:
    receiver.merge_report(sender.get_crashes(100), sender.get_acquittals(100))


def test_part_is_blocked_after_two_separate_crashes(clock):
    crashes = make(clock)
    crash_repeatedly(crashes, clock, DEAD, 1)
    assert judge(crashes, DEAD) is Verdict.SUSPECT
    crash_repeatedly(crashes, clock, DEAD, 2)
    judgement = crashes.judge(ORG, [SHARED, DEAD])
    assert judgement.verdict is Verdict.BLOCKED
    assert 0 < judgement.remaining_s <= crashing_parts.BLOCK_S
    assert judge(crashes, SHARED) is Verdict.CLEAR


def test_suspect_waits_for_objections_of_others(clock):
    crashes = make(clock)
    crashes.record_crash(ORG, [DEAD], 1)
    assert judge(crashes, DEAD) is Verdict.UNDECIDED
    clock.now_s += crashing_parts.OBJECTION_S
    assert judge(crashes, DEAD) is Verdict.SUSPECT


def test_upstreams_that_crash_together_count_once(clock):
    crashes = make(clock)
    for upstream in range(10):
        crashes.record_crash(ORG, [DEAD], upstream)
        clock.now_s += 0.04
    clock.now_s += 1.0
    assert judge(crashes, DEAD) is Verdict.SUSPECT


def test_more_crashes_are_needed_while_others_crash_upstreams_too(clock):
    crashes = make(clock)
    for upstream in range(10):
        crashes.record_crash(ORG, [SHARED], 500 + upstream)
    crash_repeatedly(crashes, clock, DEAD, 3)
    assert judge(crashes, DEAD) is Verdict.SUSPECT
    clock.now_s += 1.0
    crash_repeatedly(crashes, clock, DEAD, 5)
    assert judge(crashes, DEAD) is Verdict.BLOCKED


def test_neighbours_on_the_same_upstreams_do_not_excuse_the_part(clock):
    crashes = make(clock)
    for number in range(3):
        crashes.record_crash(ORG, [DEAD], number)
        for _ in range(6):
            crashes.record_crash(ORG, [SHARED], number)
        clock.now_s += 1.0
    assert judge(crashes, DEAD) is Verdict.BLOCKED


def test_only_part_in_use_needs_the_most_crashes(clock):
    # Without requests that lack the part nothing shows that it is the cause.
    crashes = make(clock, busy=False)
    crash_repeatedly(crashes, clock, SHARED, 4)
    assert judge(crashes, SHARED) is Verdict.SUSPECT
    crash_repeatedly(crashes, clock, SHARED, 6)
    assert judge(crashes, SHARED) is Verdict.BLOCKED


def test_answer_that_begins_acquits_its_parts(clock):
    crashes = make(clock)
    crash_repeatedly(crashes, clock, OTHER, 2)
    crashes.record_begin([OTHER])
    assert judge(crashes, OTHER) is Verdict.CLEAR
    crash_repeatedly(crashes, clock, OTHER, 3)
    assert judge(crashes, OTHER) is Verdict.CLEAR


def test_other_entry_objects_to_a_suspicion(clock):
    first, second = make(clock), make(clock)
    second.record_begin([OTHER])
    first.record_crash(ORG, [OTHER], 1)
    exchange(first, second)
    assert judge(second, OTHER) is Verdict.CLEAR
    exchange(second, first)
    assert judge(first, OTHER) is Verdict.CLEAR
    # The crash is not accepted again from an entry that has not heard of it.
    third = make(clock)
    third.merge_report(
        {(OTHER, ORG, 1): crashing_parts.CrashReport(1000.0)}, {}
    )
    exchange(third, first)
    assert judge(first, OTHER) is Verdict.CLEAR


def test_block_is_learnt_from_an_entry_that_did_not_see_the_crashes(clock):
    first, second, third = make(clock), make(clock), make(clock)
    crash_repeatedly(first, clock, DEAD, 2)
    exchange(first, second)
    exchange(second, third)
    assert judge(third, DEAD) is Verdict.BLOCKED


def test_crashes_of_one_organisation_do_not_block_another(clock):
    crashes = make(clock)
    crash_repeatedly(crashes, clock, DEAD, 3)
    assert judge(crashes, DEAD, ORG) is Verdict.BLOCKED
    assert judge(crashes, DEAD, OTHER_ORG) is Verdict.SUSPECT
    crashes.record_crash(OTHER_ORG, [DEAD], 77)
    assert judge(crashes, DEAD, OTHER_ORG) is Verdict.BLOCKED
    assert judge(crashes, DEAD, 12) is Verdict.BLOCKED


def test_part_is_tested_by_one_request_at_a_time(clock):
    crashes = make(clock)
    assert crashes.try_start_test(frozenset([DEAD, OTHER]))
    assert not crashes.try_start_test(frozenset([DEAD]))
    crashes.end_test(frozenset([DEAD, OTHER]))
    assert crashes.try_start_test(frozenset([DEAD]))


def test_block_ends_with_a_test_and_is_extended_by_each_crash(clock):
    crashes = make(clock)
    crash_repeatedly(crashes, clock, DEAD, 2)
    blocked_s = []
    for upstream in range(200, 208):
        remaining_s = crashes.judge(ORG, [DEAD]).remaining_s
        clock.now_s += remaining_s + 1.0
        assert judge(crashes, DEAD) is Verdict.SUSPECT
        crashes.record_crash(ORG, [DEAD], upstream)
        blocked_s.append(crashes.judge(ORG, [DEAD]).remaining_s)
    assert blocked_s[0] == pytest.approx(crashing_parts.BLOCK_S)
    assert blocked_s == sorted(blocked_s)
    assert blocked_s[-1] <= crashing_parts.MAX_BLOCK_S
    # At most three tests on one day after the fifth crash.
    assert sum(itertools.accumulate(blocked_s[3:6])) > 8 * 3600
    crashes.record_begin([DEAD])
    assert judge(crashes, DEAD) is Verdict.CLEAR


def test_single_crash_expires(clock):
    crashes = make(clock)
    crashes.record_crash(ORG, [DEAD], 1)
    clock.now_s += crashing_parts.EXPIRY_S + 1
    assert judge(crashes, DEAD) is Verdict.CLEAR
    assert crashes.get_crashes(10) == {}


def test_memory_and_reports_are_bounded_while_parts_are_made_up(clock):
    crashes = make(clock)
    crash_repeatedly(crashes, clock, DEAD, 3)
    for number in range(3 * crashing_parts.MAX_BEGINS):
        crashes.record_begin([10_000 + number])
        crashes.record_crash(ORG, [10**6 + number], number)
    for upstream in range(1000):
        crashes.record_crash(ORG, [5], upstream)
    assert len(crashes._own_begins) <= crashing_parts.MAX_BEGINS
    assert len(crashes._suspects) <= crashing_parts.MAX_SUSPECTS
    assert len(crashes.get_crashes(32)) == 32


def test_made_up_parts_do_not_displace_a_block(clock):
    crashes = make(clock)
    crash_repeatedly(crashes, clock, DEAD, 3)
    for number in range(2 * crashing_parts.MAX_SUSPECTS):
        crashes.record_crash(OTHER_ORG, [10**6 + number], number)
    assert judge(crashes, DEAD) is Verdict.BLOCKED
    other = make(clock)
    exchange_limited = crashes.get_crashes(32)
    other.merge_report(exchange_limited, {})
    assert judge(other, DEAD) is Verdict.BLOCKED


@pytest.mark.parametrize("seed", range(20))
def test_reports_in_any_order_and_number_give_the_same_state(seed):
    source = random.Random(seed)
    clock = Clock()
    senders = [make(clock) for _ in range(4)]
    reports = []
    for _ in range(30):
        sender = source.choice(senders)
        part = source.randrange(4, 8)
        if source.random() < 0.15:
            sender.record_begin([part])
        else:
            sender.record_crash(
                source.choice([ORG, OTHER_ORG]), [part], source.randrange(6)
            )
        reports.append((sender.get_crashes(100), sender.get_acquittals(100)))
        clock.now_s += source.random()
    verdicts = set()
    for _ in range(3):
        receiver = make(clock)
        for report in source.sample(reports, len(reports)) + reports[:7]:
            receiver.merge_report(*report)
        verdicts.add(
            tuple(judge(receiver, part).value == 3 for part in range(4, 8))
        )
    assert len(verdicts) == 1
