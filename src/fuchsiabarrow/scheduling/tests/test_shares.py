"""Tests of fair shares between organisations, without a network."""

import random

import pytest

from fuchsiabarrow.scheduling import shares

SERVICE = "chat"
STARTED_S = 100.0
# The table takes reports into account from here on.
NOW_S = STARTED_S + shares.DISCOVERY_S


def make_table(name: str = "entry-1") -> shares.ShareTable:
    return shares.ShareTable(name, STARTED_S)


def make_uses(
    rest=(0.0, 0.0), rest_count=0, **organisations
) -> dict[int, shares.ServiceUse]:
    """Returns a report with used and wanted tokens by organisation."""
    return {
        shares.hash_name(SERVICE): shares.ServiceUse(
            {
                shares.hash_name(name): shares.Use(*use)
                for name, use in organisations.items()
            },
            shares.Use(*rest),
            rest_count,
        )
    }


def get_standing(table, organisation, now_s=NOW_S, **options):
    return table.get_standing(SERVICE, organisation, now_s, **options)


@pytest.mark.parametrize(
    ("demands", "capacity", "expected"),
    [
        ({}, 10, {}),
        ({"a": (1, 5), "b": (1, 3)}, 10, {"a": 5, "b": 3}),
        ({"a": (1, 90), "b": (1, 2), "c": (1, 30)}, 42, {"a": 20, "b": 2}),
        ({"a": (3, 90), "b": (1, 90)}, 40, {"a": 30, "b": 10}),
        ({"a": (3, 6), "b": (1, 90)}, 40, {"a": 6, "b": 34}),
        ({"a": (1, 4)}, -1, {"a": 0}),
        # The sums of the weights are not exact.
        ({n: (0.1, 9) for n in range(10)}, 10, {n: 1 for n in range(10)}),
    ],
)
def test_unused_shares_go_to_others_by_weight(demands, capacity, expected):
    """Guards against capacity that is left over while somebody wants it."""
    found = shares.compute_shares(
        {key: shares.Demand(*demand) for key, demand in demands.items()},
        capacity,
    )
    for key, share in expected.items():
        assert found[key] == pytest.approx(share)
    assert sum(found.values()) == pytest.approx(
        max(0, min(capacity, sum(amount for _, amount in demands.values())))
    )


def test_nobody_is_limited_while_nobody_else_wants_capacity():
    """Guards against capacity that stays free for organisations without use."""
    table = make_table()
    table.hold(SERVICE, "a", 900)
    table.hold(SERVICE, "b", 10)
    table.refuse(SERVICE, "a", 100, NOW_S)
    for tokens in (0.0, 5000.0):
        standing = get_standing(table, "a", tokens=tokens)
        assert standing == shares.Standing(900, 900, 0.0)
    table.refuse(SERVICE, "b", 500, NOW_S)
    assert get_standing(table, "a") == shares.Standing(900, 455, 1.0)
    assert get_standing(table, "b").excess == 0.0
    # The refusal no longer counts.
    later_s = NOW_S + shares.REFUSED_S
    assert get_standing(table, "a", later_s).excess == 0.0


def test_excess_begins_beyond_the_tolerance_and_grows_without_a_step():
    """Guards against decisions that flip with each request."""
    excesses = []
    for used in range(100, 390):
        table = make_table()
        table.hold(SERVICE, "a", used)
        table.hold(SERVICE, "b", 200 - used / 2)
        table.start_waiting(SERVICE, "b", 1000)
        excesses.append(get_standing(table, "a").excess)
    assert excesses[0] == 0.0
    assert excesses[-1] == 1.0
    assert all(
        0 <= b - a < 0.05 for a, b in zip(excesses, excesses[1:], strict=False)
    )


def test_a_heavier_organisation_may_use_more():
    """Guards against weights that are not taken into account."""
    table = make_table()
    table.set_weights({"a": 3.0})
    table.hold(SERVICE, "a", 300)
    table.hold(SERVICE, "b", 100)
    for name in "ab":
        table.refuse(SERVICE, name, 500, NOW_S)
    assert get_standing(table, "a") == shares.Standing(300, 300, 0.0)
    assert get_standing(table, "b") == shares.Standing(100, 100, 0.0)


def test_capacity_that_failed_lowers_the_shares():
    """Guards against shares of memory that crashed instances had."""
    table = make_table()
    table.hold(SERVICE, "a", 300)
    table.hold(SERVICE, "b", 300)
    table.refuse(SERVICE, "b", 100, NOW_S)
    assert get_standing(table, "a", capacity=200).due == 100
    assert get_standing(table, "a", capacity=9000).due == 300


def test_late_reports_count_half_and_then_not():
    """Guards against decisions by reports that were lost long ago."""
    table = make_table()
    table.hold(SERVICE, "a", 100)
    table.set_report("entry-2", make_uses(a=(200, 0), b=(100, 400)), NOW_S)
    assert get_standing(table, "a").used == 300
    late_s = NOW_S + shares.FULL_AGE_S + 0.1
    assert get_standing(table, "a", late_s).used == 200
    assert get_standing(table, "a", late_s).excess > 0.0
    lost_s = NOW_S + shares.MAX_AGE_S + 0.1
    assert get_standing(table, "a", lost_s) == shares.Standing(100, 100, 0.0)


def test_a_source_that_vanishes_is_not_counted():
    """Guards against use by streams of an entry that has ended."""
    table = make_table()
    table.hold(SERVICE, "a", 100)
    table.set_report("entry-2", make_uses(b=(0, 400)), NOW_S)
    assert get_standing(table, "a").excess > 0.0
    table.drop_report("entry-2")
    assert get_standing(table, "a") == shares.Standing(100, 100, 0.0)


def test_an_entry_without_use_replaces_its_last_report():
    """Guards against demand that lasts after its requests have ended."""
    table = make_table()
    table.hold(SERVICE, "a", 100)
    table.set_report("entry-2", make_uses(b=(0, 400)), NOW_S)
    table.set_report("entry-2", {}, NOW_S)
    assert get_standing(table, "a").excess == 0.0


def test_foreign_hashes_count_as_demand_only():
    """Guards against errors by, or no room for, unknown organisations."""
    table = make_table()
    table.hold(SERVICE, "a", 400)
    uses = make_uses(a=(200, 0))
    service = uses[shares.hash_name(SERVICE)]
    uses[shares.hash_name(SERVICE)] = shares.ServiceUse(
        dict(service.organisations) | {17: shares.Use(100, 900)}
    )
    uses[18] = shares.ServiceUse({19: shares.Use(2**32 - 1, 2**32 - 1)})
    table.set_report("entry-2", uses, NOW_S)
    assert get_standing(table, "a").used == 600
    assert get_standing(table, "a").due == 350
    assert get_standing(table, "other") == shares.Standing(0, 0, 0.0)


def test_a_new_process_grants_by_its_own_callers():
    """Guards against limits by the reports of the first few entries."""
    table = make_table()
    table.hold(SERVICE, "a", 100)
    table.set_report("entry-2", make_uses(a=(900, 0), b=(0, 400)), STARTED_S)
    early_s = STARTED_S + shares.DISCOVERY_S / 2
    assert get_standing(table, "a", early_s).excess == 0.0
    assert get_standing(table, "a", NOW_S).excess > 0.0


def test_organisations_without_a_row_are_satisfied_as_a_group():
    """Guards against one share for thousands of small organisations."""
    table = make_table()
    table.hold(SERVICE, "a", 500)
    table.set_report("total", make_uses(rest=(400, 200), rest_count=600), NOW_S)
    assert get_standing(table, "a").due == 300
    table.set_report("total", make_uses(rest=(400, 200), rest_count=2), NOW_S)
    assert get_standing(table, "a").due == 300
    table.set_report("total", make_uses(rest=(400, 200), rest_count=1), NOW_S)
    assert get_standing(table, "a").due == 450


def test_the_largest_rows_are_kept_and_the_rest_is_summed():
    """Guards against reports that grow with the organisations."""
    table = make_table()
    for number in range(100):
        table.hold(SERVICE, f"o{number}", 10 + number)
        table.refuse(SERVICE, f"o{number}", 1, NOW_S)
    (use,) = table.summarise(NOW_S).values()
    assert set(use.organisations) == {
        shares.hash_name(f"o{n}") for n in range(100 - shares.MAX_ROWS, 100)
    }
    assert use.rest_count == 100 - shares.MAX_ROWS
    used = sum(u.used for u in use.organisations.values())
    assert used + use.rest.used == sum(10 + n for n in range(100))
    wanted = sum(u.wanted for u in use.organisations.values())
    assert wanted + use.rest.wanted == 100


def test_services_beyond_the_limit_are_left_out():
    """Guards against reports that grow with the services."""
    uses = {n: shares.ServiceUse({1: shares.Use(n)}) for n in range(1, 60)}
    selected = shares.select_largest(uses)
    assert set(selected) == set(range(60 - shares.MAX_SERVICES, 60))


def test_an_ended_organisation_leaves_no_row():
    """Guards against memory that grows with all organisations ever seen."""
    table = make_table()
    for tokens in (0.1, 0.2, 0.3):
        table.hold(SERVICE, "a", tokens)
    table.start_waiting(SERVICE, "b", 50)
    table.stop_waiting(SERVICE, "b", 50)
    for _ in range(1000):
        table.refuse(SERVICE, "c", 1, NOW_S)
    for tokens in (0.3, 0.2, 0.1):
        table.release(SERVICE, "a", tokens)
    (use,) = table.summarise(NOW_S).values()
    assert set(use.organisations) == {shares.hash_name("c")}
    assert table.summarise(NOW_S + shares.REFUSED_S) == {}


def test_the_own_part_of_a_total_is_removed_also_from_the_rest():
    """Guards against own use that is counted twice."""
    tables = [make_table(f"entry-{n}") for n in range(3)]
    random_source = random.Random(1)
    for table in tables:
        for number in random_source.sample(range(60), 30):
            table.hold(SERVICE, f"o{number}", random_source.randint(1, 99))
            table.refuse(SERVICE, f"o{number}", 7, NOW_S)
    parts = [table.summarise(NOW_S) for table in tables]
    total = shares.select_largest(shares.merge_uses(parts))
    assert total[shares.hash_name(SERVICE)].rest_count > 0

    def sum_all(uses):
        (use,) = uses.values()
        rows = [*use.organisations.values(), use.rest]
        return sum(u.used for u in rows), sum(u.wanted for u in rows)

    others = shares.subtract_uses(total, parts[0])
    assert sum_all(others) == sum_all(shares.merge_uses(parts[1:]))
    for part in parts:
        total = shares.subtract_uses(total, part)
    assert total == {}


class Cluster:
    """Entries whose callers share one service, with late reports.

    Args:
        demands: Tokens that each organisation would use without limits.
    """

    CAPACITY = 100_000
    REQUEST_TOKENS = 100
    HOLD_S = 1.5
    STEP_S = 0.02
    REPORT_STEPS = 20
    # A total over all entries arrives two periods after the reports in it.
    LATE_REPORTS = 2
    RETRY_S = 0.5
    # Memory that requests of an organisation with excess 1.0 may fill.
    MIN_MEMORY_FRACTION = 0.85

    def __init__(self, demands: list[float]):
        self.demands = demands
        self.tables = [
            shares.ShareTable(f"entry-{n}", -10.0) for n in range(len(demands))
        ]
        self.used = [0] * len(demands)
        self._random_source = random.Random(3)
        self._step = 0
        self._due_requests = [0.0] * len(demands)
        self._ends: dict[int, list[tuple[int, int]]] = {}
        self._retries: dict[int, list[tuple[int, int]]] = {}
        self._reports: list[list[dict[int, shares.ServiceUse]]] = []

    def run(self, duration_s: float, active: int) -> list[float]:
        """Returns the mean use by organisation over a period.

        Args:
            duration_s: Length of the period.
            active: Number of organisations that send requests.
        """
        steps = round(duration_s / self.STEP_S)
        sums = [0] * len(self.demands)
        for _ in range(steps):
            self._run_step(active)
            sums = [a + b for a, b in zip(sums, self.used, strict=True)]
        return [total / steps for total in sums]

    def _run_step(self, active: int) -> None:
        self._step += 1
        now_s = self._step * self.STEP_S
        for entry, organisation in self._ends.pop(self._step, ()):
            self.used[organisation] -= self.REQUEST_TOKENS
            self.tables[entry].release(
                SERVICE, f"o{organisation}", self.REQUEST_TOKENS
            )
        if self._step % self.REPORT_STEPS == 0:
            self._report(now_s)
        arrivals = self._retries.pop(self._step, [])
        for organisation, demand in enumerate(self.demands[:active]):
            self._due_requests[organisation] += (
                demand / self.REQUEST_TOKENS / self.HOLD_S * self.STEP_S
            )
            count = int(self._due_requests[organisation])
            self._due_requests[organisation] -= count
            arrivals += [(organisation, 2)] * count
        self._random_source.shuffle(arrivals)
        for organisation, retries in arrivals:
            self._admit(organisation, retries, now_s)

    def _admit(self, organisation: int, retries: int, now_s: float) -> None:
        entry = self._random_source.randrange(len(self.tables))
        table, tokens = self.tables[entry], self.REQUEST_TOKENS
        standing = table.get_standing(
            SERVICE, f"o{organisation}", now_s, tokens
        )
        fraction = 1.0 - (1.0 - self.MIN_MEMORY_FRACTION) * standing.excess
        if sum(self.used) + tokens <= self.CAPACITY * fraction:
            self.used[organisation] += tokens
            table.hold(SERVICE, f"o{organisation}", tokens)
            end = self._step + round(self.HOLD_S / self.STEP_S)
            self._ends.setdefault(end, []).append((entry, organisation))
            return
        table.refuse(SERVICE, f"o{organisation}", tokens, now_s)
        if retries > 0:
            again = self._step + round(self.RETRY_S / self.STEP_S)
            self._retries.setdefault(again, []).append(
                (organisation, retries - 1)
            )

    def _report(self, now_s: float) -> None:
        self._reports.append([t.summarise(now_s) for t in self.tables])
        if len(self._reports) <= self.LATE_REPORTS:
            return
        parts = self._reports.pop(0)
        total = shares.select_largest(shares.merge_uses(parts))
        for table, own in zip(self.tables, parts, strict=True):
            table.set_report("total", shares.subtract_uses(total, own), now_s)


def test_skewed_organisations_converge_to_their_shares_with_late_reports():
    """Guards against entries that together start many times a share.

    Decisions by the use that late reports tell swung between 0 and 4.6 times
    the share of the largest organisation.
    """
    weights = [(n + 1) ** -1.2 for n in range(24)]
    scale = 1.9 * Cluster.CAPACITY / sum(weights)
    demands = [weight * scale for weight in weights]
    cluster = Cluster(demands)
    # Alone, the largest may use what the others leave.
    cluster.run(2.0, 1)
    alone = cluster.run(1.0, 1)
    assert alone[0] > 0.98 * min(demands[0], Cluster.CAPACITY)
    # Context is held for 1.5 s, and callers repeat for 1 s.
    cluster.run(7.0, 24)
    used = cluster.run(5.0, 24)
    due = shares.compute_shares(
        {n: shares.Demand(1.0, d) for n, d in enumerate(demands)},
        Cluster.CAPACITY,
    )
    ratios = [used[n] / due[n] for n in range(24)]
    assert min(ratios) >= 0.9
    assert max(ratios) <= 1.1
    assert sum(used) >= 0.95 * Cluster.CAPACITY
