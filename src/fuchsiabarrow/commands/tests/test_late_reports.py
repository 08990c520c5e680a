import csv

import pytest

from fuchsiabarrow.commands import explanations
from fuchsiabarrow.commands import late_reports
from fuchsiabarrow.commands import program

SERVED = (
    "event=served request_id={0} route=r organisation={1} rank={2}"
    " outcome={3} took_s={4} objective_s=0.5 gap_objective_s=0.25 is_late={5}"
    ' left_out={6} path="i-1=0-40,i-2=40-80" kinds="{7}" first_event_s={8}'
    " gap_cause={9}"
)


def serve(
    request_id="r1",
    organisation="o1",
    rank=0,
    outcome="200",
    took_s=1.0,
    is_late=False,
    left_out=0,
    kinds="fast,slow",
    first_event_s=0.1,
    gap_cause="engine",
) -> str:
    return SERVED.format(
        request_id, organisation, rank, outcome, took_s, is_late, left_out,
        kinds, first_event_s, gap_cause,
    )  # fmt: skip


def make_report(tmp_path, *events, entry="entry-a"):
    path = tmp_path / "a.log"
    path.write_text(
        "".join(
            f"{entry} time=2026-03-31T06:55:{s:06.3f} level=info {text}\n"
            for s, text in events
        )
    )
    lines = explanations.read_files([str(path)])
    return late_reports.make_report(lines)


def get_rows(report, name) -> dict:
    (table,) = (table for table in report.tables if table.name == name)
    return {value: dict(row) for value, row in table.rows.items()}


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"first_event_s": 0.6}, "first_event"),
        ({"first_event_s": 0.6, "gap_cause": "moved"}, "first_event"),
        ({"gap_cause": "moved"}, "moved"),
        ({"gap_cause": "loop_lag"}, "loop_lag"),
    ],
)
def test_late_answer_counts_once_by_its_earliest_cause(tmp_path, fields, cause):
    """Guards against causes that do not add up to the late answers."""
    report = make_report(
        tmp_path, (1.0, serve(is_late=True, **fields)), (1.5, serve("r2"))
    )
    assert get_rows(report, "rank") == {
        "0": {"answered": 2, "late": 1, f"late:{cause}": 1}
    }


def test_refused_request_counts_once_with_its_rank(tmp_path):
    """Guards against counting the lines `refused` and `served` of one twice."""
    report = make_report(
        tmp_path,
        (1.0, "event=refused request_id=r1 status=503 reason=overloaded"),
        (1.0, serve(rank=2, outcome="overloaded", kinds="")),
        (1.1, "event=refused request_id=r2 status=503 reason=stopping"),
    )
    assert get_rows(report, "rank") == {
        "2": {"refused:overloaded": 1},
        "?": {"refused:stopping": 1},
    }


def test_rejection_counts_for_the_kind_of_the_instance_at_fault(tmp_path):
    """Guards against blaming the card that served the request in the end."""
    report = make_report(
        tmp_path,
        (1.0, "event=attempt_not_run request_id=r1 at_fault=i-2 status=503"),
        # Not reached: no instance has rejected it.
        (1.1, 'event=attempt_not_run request_id=r1 at_fault=i-2 why="x"'),
        (1.2, serve()),
    )
    assert get_rows(report, "kind") == {
        "slow": {"rejected": 1},
        "fast": {"answered": 1},
    }
    assert get_rows(report, "rank") == {"0": {"rejected": 1, "answered": 1}}


def test_cut_and_abandoned_answers_are_told_apart(tmp_path):
    """Guards against counting callers that left as failures of the entry."""
    common = "route=r organisation=o1 rank=1 after_s=0.5"
    report = make_report(
        tmp_path,
        (1.0, f"event=caller_left request_id=r1 {common}"),
        (2.0, f"event=connection_closed request_id=r2 cause=server {common}"),
        (3.0, "event=connection_closed request_id= cause=idle_limit"),
        (4.0, serve("r3", rank=1, outcome="aborted", took_s=0.5)),
    )
    assert get_rows(report, "rank") == {"1": {"left": 1, "broken_off": 2}}
    assert get_rows(report, "second") == {
        "06:55:00": {"left": 1},
        "06:55:01": {"broken_off": 1},
        "06:55:03": {"broken_off": 1},
    }


def test_stream_that_a_stopping_entry_cut_is_late_because_of_it(tmp_path):
    """Guards against blaming engines for the gap of a restart."""
    report = make_report(
        tmp_path,
        (1.0, "event=stream_aborted request_id=r1 reason=stopping"),
        (1.0, serve(outcome="aborted")),
        (3.0, serve(is_late=True, gap_cause="engine")),
    )
    assert get_rows(report, "rank")["0"]["late:entry_restarted"] == 1


def test_text_shows_the_organisations_with_most_late_answers(tmp_path):
    """Guards against a few bad organisations lost among thousands."""
    events = [(0.1 * n, serve(f"r{n}", f"o{n:02}")) for n in range(12)]
    events.append((2.0, serve("late", "o11", is_late=True, left_out=7)))
    report = make_report(tmp_path, *events)
    text = late_reports.format_text(report)
    lines = [line.split() for line in text.splitlines()]
    start = lines.index(["organisation", "answered", "late", "late:engine"])
    assert lines[start + 1] == ["o11", "2", "1", "1"]
    assert lines[start + 11] == []
    assert "7 answers in time" in text


def test_command_prints_all_rows_as_csv(tmp_path, capsys, monkeypatch):
    """Guards against rows without the columns that only other rows have."""
    path = tmp_path / "b.log"
    path.write_text(
        f"time=2026-03-31T06:55:01.000 {serve(is_late=True)}\n"
        f"time=2026-03-31T06:55:01.000 {serve('r2', outcome='timeout')}\n"
    )
    arguments = ["fuchsiabarrow", "report", "--log", str(path), "--csv"]
    monkeypatch.setattr("sys.argv", arguments)
    program.main()
    rows = list(csv.DictReader(capsys.readouterr().out.splitlines()))
    assert [row["table"] for row in rows] == [
        "rank", "organisation", "kind", "second",
    ]  # fmt: skip
    assert rows[0]["refused:timeout"] == rows[0]["late:engine"] == "1"


def test_logs_without_requests_are_an_error(tmp_path, capsys, monkeypatch):
    """Guards against an empty report that reads like a day without faults."""
    path = tmp_path / "b.log"
    path.write_text("time=2026-03-31T06:55:01.000 event=started\n")
    monkeypatch.setattr(
        "sys.argv", ["fuchsiabarrow", "report", "--log", str(path)]
    )
    with pytest.raises(SystemExit):
        program.main()
    assert "pass more log files" in capsys.readouterr().out
