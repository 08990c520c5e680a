import pytest

from fuchsiabarrow.commands import explanations

PREFIX = "time=2026-03-31T06:55:{:06.3f} level=info logger=any "


def write_log(path, entry, *events) -> str:
    lines = [f"  1.0 {entry} " + PREFIX.format(s) + text for s, text in events]
    path.write_text("\n".join(lines) + "\n")
    return str(path)


def explain(tmp_path, *events, request_id="r1"):
    path = write_log(tmp_path / "a.log", "entry-a", *events)
    return explanations.explain(request_id, explanations.read_files([path]))


def test_refusal_names_status_reason_and_detail(tmp_path):
    history = explain(
        tmp_path,
        (
            1.0,
            "event=refused request_id=r1 status=503"
            ' reason=overloaded detail="no path has free capacity"',
        ),
    )
    assert (
        history[-1] == "refused with 503: overloaded, no path has free capacity"
    )


def test_events_of_an_upstream_on_the_path_are_included(tmp_path):
    history = explain(
        tmp_path,
        (1.0, "event=upstream_avoided instance=i-1 why=stalled"),
        (1.1, "event=upstream_avoided instance=i-9 why=stalled"),
        (1.2, 'event=attempt_lost request_id=r1 path="i-1=0-40,i-2=40-80"'),
        (1.3, "event=stream_aborted request_id=r1 why=reset"),
    )
    assert len(history) == 4
    assert "i-1" in history[0]
    assert history[-1] == "stream_aborted: reset"


def test_events_of_other_requests_and_much_earlier_ones_are_omitted(tmp_path):
    history = explain(
        tmp_path,
        (1.0, "event=store_lost kind=config"),
        (20.0, "event=refused request_id=other status=503"),
        (20.1, "event=served request_id=r1 outcome=200"),
    )
    assert len(history) == 2
    assert history[-1] == "answered with 200"


def test_events_of_several_entries_are_sorted_by_time(tmp_path):
    first = write_log(
        tmp_path / "a.log",
        "entry-a",
        (1.0, "event=refused request_id=r1 status=503 reason=stopping"),
    )
    second = write_log(
        tmp_path / "b.log",
        "entry-b",
        (0.5, "event=attempt_lost request_id=r1 why=reset"),
    )
    lines = explanations.read_files([first, second])
    history = explanations.explain("r1", lines)
    assert "entry-b" in history[0]
    assert "entry-a" in history[1]


@pytest.mark.parametrize(
    ("is_started", "state"), [("True", "during"), ("False", "before")]
)
def test_summary_of_a_caller_that_left_says_if_the_answer_had_started(
    tmp_path, is_started, state
):
    history = explain(
        tmp_path,
        (
            1.0,
            "event=caller_left request_id=r1 route=quote organisation=o"
            f" is_started={is_started} after_s=0.21",
        ),
    )
    assert (
        history[-1]
        == f"the caller disconnected after 0.21 s, {state} its answer"
    )


@pytest.mark.parametrize(
    ("event", "pairs", "expected"),
    [
        (
            "connection_closed",
            "cause=shutdown_limit",
            "this entry closed the connection: shutdown_limit",
        ),
        ("request_error", "error=ValueError()", "not handled: ValueError()"),
    ],
)
def test_summary_of_a_request_that_this_entry_cut_names_the_cause(
    tmp_path, event, pairs, expected
):
    history = explain(
        tmp_path, (1.0, f"event={event} request_id=r1 route=quote {pairs}")
    )
    assert history[-1] == expected


def test_failed_attempts_are_included(tmp_path):
    history = explain(
        tmp_path,
        (1.0, "event=upstream_avoided instance=desk-1 why=connect"),
        (1.1, "event=attempt_failed request_id=r1 instance=desk-1 why=reset"),
        (1.2, "event=served request_id=r1 outcome=500"),
    )
    assert len(history) == 4
    assert "desk-1" in history[1]
    assert history[-1] == "answered with 500"


@pytest.mark.parametrize(
    "text", ["", "no log line", "time=x", "event=alone", "\x00\xff"]
)
def test_lines_that_are_not_events_are_ignored(text):
    assert explanations.parse_line(text, "entry") is None


def test_unknown_request_has_no_history(tmp_path):
    assert explain(tmp_path, (1.0, "event=started")) == []


def test_context_before_midnight_is_included(tmp_path):
    path = tmp_path / "a.log"
    path.write_text(
        "entry-a time=2026-03-31T23:59:59.900 event=store_lost kind=config\n"
        "entry-a time=2026-04-01T00:00:00.100 event=refused request_id=r1"
        " status=503 reason=stale_configuration\n"
    )
    history = explanations.explain("r1", explanations.read_files([str(path)]))
    assert "store_lost" in history[0]
