"""Tests of the checks on how requests ended."""

import pytest

from fuchsiabarrow.platform.tests.soak import callers
from fuchsiabarrow.platform.tests.soak import endings
from fuchsiabarrow.platform.tests.soak import invariants

Ending = callers.Ending
LIMIT_S = 5.0


def make_endings(
    ending: Ending,
    took_s: float = 1.0,
    is_run: bool = True,
    is_beside: bool = False,
    **fields,
) -> endings.Endings:
    """Returns the endings of a request that was sent to entry e at 100 s."""
    history = invariants.History()
    history.entries = {"127.3.0.1": "e", "127.3.0.2": "f"}
    attempt = invariants.Attempt(
        "r1", "read", "key-1", "e", 100.0, **{"turn_s": 100.0, **fields}
    )
    attempt.end(callers.Answer(ending, at_s=100.0 + took_s))
    history.attempts["r1"] = attempt
    if is_run:
        history.runs["r1"] = [(100.1, "desk-1")]
    return endings.Endings(history, lambda *_: is_beside, lambda _: LIMIT_S)


def check(checked: endings.Endings, is_told: bool) -> list[str]:
    """Returns the violations that the check finds."""
    checked.check({"e": {"r1"} if is_told else set(), "f": {"r1"}})
    return checked._history.violations


# Guards against a request that ends without an answer and is not noticed.
@pytest.mark.parametrize("ending", endings.CUT_ENDINGS)
def test_cut_without_a_reason_is_detected(ending):
    [violation] = check(make_endings(ending), True)
    assert "without a reason" in violation
    assert len(check(make_endings(ending), False)) == 2


def test_answered_request_is_no_violation():
    assert not check(make_endings(Ending.ANSWERED), False)


# Guards against a reason that excuses a cut of which no log tells.
@pytest.mark.parametrize(
    ("cause", "needs_line"),
    [
        (invariants.KILLED, False),
        (invariants.PAUSED, True),
        (invariants.STOPPED, True),
        (invariants.UPSTREAM_CUT, True),
    ],
)
def test_cut_with_a_reason_must_be_told(cause, needs_line):
    for is_told in (False, True):
        checked = make_endings(Ending.IN_ANSWER)
        fault = invariants.Cut(frozenset("e"), 100.5, 103.0, cause)
        checked._history.disturbances.append(fault)
        violations = check(checked, is_told)
        assert bool(violations) is (needs_line and not is_told)
        assert checked.without_changes.cuts == {cause: 1}


# Guards against faults of others, or before and after, that excuse a cut.
@pytest.mark.parametrize(
    ("entry", "began_s", "ended_s"),
    [("f", 100.5, 103.0), ("e", 98.0, 99.9), ("e", 101.1, 103.0)],
)
def test_fault_elsewhere_excuses_no_cut(entry, began_s, ended_s):
    checked = make_endings(Ending.NO_HEAD)
    checked._history.upstream_faults.append(
        invariants.Cut(
            frozenset(entry), began_s, ended_s, invariants.UPSTREAM_CUT
        )
    )
    assert check(checked, True)


@pytest.mark.parametrize(
    ("took_s", "fields", "is_violation"),
    [
        (4.95, {}, False),
        (4.85, {}, True),
        # Its turn came only when the answer before it had ended, which a
        # caller that pauses learns late.
        (4.95, {"turn_s": 101.0}, True),
        (4.95, {"turn_s": 101.0, "pause_s": 1.0}, False),
    ],
)
def test_cut_at_the_time_limit_is_allowed(took_s, fields, is_violation):
    checked = make_endings(Ending.IN_ANSWER, took_s, **fields)
    assert bool(check(checked, True)) is is_violation


# Guards against a lost request that passes for one that crossed the close.
@pytest.mark.parametrize(
    ("ending", "took_s", "is_run", "is_violation"),
    [
        (Ending.NO_HEAD, 0.15, False, False),
        (Ending.NO_HEAD, 0.25, False, True),
        (Ending.NO_HEAD, 0.15, True, True),
        (Ending.IN_ANSWER, 0.15, False, True),
    ],
)
def test_request_that_crosses_the_close_is_no_cut(
    ending, took_s, is_run, is_violation
):
    checked = make_endings(ending, took_s, is_run)
    assert bool(check(checked, False)) is is_violation


# Guards against a request that hangs for longer than its caller waits.
@pytest.mark.parametrize("cause", [None, invariants.PAUSED])
def test_request_that_does_not_end_is_detected(cause):
    checked = make_endings(Ending.GIVEN_UP, 6.0)
    if cause:
        fault = invariants.Cut(frozenset("e"), 100.5, 103.0, cause)
        checked._history.disturbances.append(fault)
    assert bool(check(checked, True)) is (cause is None)


@pytest.mark.parametrize("is_run", [False, True])
def test_request_that_ran_behind_the_last_answer_is_detected(is_run):
    checked = make_endings(Ending.BEHIND_LAST, is_run=is_run)
    assert bool(check(checked, True)) is is_run


def test_cuts_are_counted_beside_changes_and_without():
    checked = make_endings(Ending.NO_HEAD, is_beside=True)
    check(checked, True)
    assert checked.beside_changes.requests == 1
    assert checked.beside_changes.cuts.total() == 1
    assert checked.without_changes == endings.Counts()


# Guards against lines of attempts or of other requests that pass for an end.
def test_lines_that_tell_the_end_are_found(tmp_path):
    log = tmp_path / "log"
    log.write_text(
        "time=1 level=info logger=a event=connection_closed request_id=r1"
        " route=read cause=shutdown_limit\n"
        "time=1 level=info logger=a event=stream_aborted reason=x"
        " request_id=r2\n"
        "time=1 level=info logger=a event=request_error request_id=r3\n"
        "time=1 level=info logger=a event=attempt_failed request_id=r4\n"
        "time=1 level=info logger=a event=served request_id=r5\n"
        "time=1 level=info logger=a event=connection_closed\n"
        "Traceback request_id=r6\n"
    )
    assert endings.read_told_requests(log) == {"r1", "r2", "r3"}
