from fuchsiabarrow.limits import crash_counts

POISON = crash_counts.compute_request_fingerprint(
    "org", "POST", "/x", b"poison"
)


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def test_request_is_blocked_after_its_third_crash():
    counts = crash_counts.CrashCounts(Clock())
    assert [counts.add(POISON) for _ in range(3)] == [1, 2, 3]
    assert counts.is_blocked(POISON)


def test_crashes_seen_by_other_entries_are_counted():
    first = crash_counts.CrashCounts(Clock())
    second = crash_counts.CrashCounts(Clock())
    first.add(POISON)
    first.add(POISON)
    second.merge_report("first", first.get_own(8))
    second.merge_report("first", first.get_own(8))
    assert second.count(POISON) == 2
    second.add(POISON)
    assert second.is_blocked(POISON)


def test_request_that_makes_progress_is_cleared():
    counts = crash_counts.CrashCounts(Clock())
    counts.add(POISON)
    counts.add(POISON)
    counts.clear(POISON)
    counts.add(POISON)
    assert not counts.is_blocked(POISON)


def test_reported_crashes_are_kept_when_the_reporting_entry_restarts():
    second = crash_counts.CrashCounts(Clock())
    second.merge_report("first", [(POISON, 3)])
    second.merge_report("first", [])
    assert second.is_blocked(POISON)


def test_crashes_expire():
    clock = Clock()
    counts = crash_counts.CrashCounts(clock)
    for _ in range(3):
        counts.add(POISON)
    clock.now_s = crash_counts.EXPIRY_S + 1
    assert not counts.is_blocked(POISON)
    assert counts.get_own(8) == []


def test_number_of_counted_requests_is_bounded():
    counts = crash_counts.CrashCounts(Clock())
    for number in range(crash_counts.MAX_COUNTED + 50):
        counts.add(number)
    counts.merge_report(
        "x", [(n, 1) for n in range(crash_counts.MAX_COUNTED + 50)]
    )
    assert len(counts.get_own(10_000)) == crash_counts.MAX_COUNTED


def test_same_request_of_another_organisation_has_another_fingerprint():
    other = crash_counts.compute_request_fingerprint(
        "org-2", "POST", "/x", b"poison"
    )
    assert other != POISON
