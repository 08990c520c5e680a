"""Counts late, refused and lost requests from the logs of several entries.

Each arrival at an entry counts: a request that its caller repeats counts once
for each time.
"""

import collections
from collections.abc import Iterable
import csv
import dataclasses
import datetime
import io

from fuchsiabarrow.commands import explanations

__all__ = ["Report", "Table", "format_csv", "format_text", "make_report"]

ANSWERED = "answered"
LATE = "late"
REJECTED = "rejected"
BROKEN_OFF = "broken_off"
LEFT = "left"
# Prefixes of the counters that are split by cause or reason.
LATE_PREFIX = "late:"
REFUSED_PREFIX = "refused:"
FIRST_EVENT = "first_event"
ENTRY_RESTARTED = "entry_restarted"
PLAIN_ANSWER = "answer"
# Outcome of an answer that this entry cut off.
ABORTED = "aborted"
# Shown for what the log lines do not tell.
UNKNOWN = "?"
ORGANISATIONS_SHOWN = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """Counters of groups of requests.

    Attributes:
        name: What the requests are grouped by.
        rows: Counters by group, in the order in which they are shown.
    """

    name: str
    rows: dict[str, collections.Counter[str]]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Counters of all requests in the logs.

    Attributes:
        tables: Tables by rank, organisation, kind and second.
        left_out: Answers in time that entries did not log one by one; they are
            in no table.
    """

    tables: tuple[Table, ...]
    left_out: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Groups:
    """Groups that a request belongs to."""

    rank: str = UNKNOWN
    organisation: str = UNKNOWN
    kind: str = UNKNOWN
    second: str = UNKNOWN


class _Counters:
    """Counts events by the groups of their request."""

    def __init__(self):
        self.by_group: dict[str, dict[str, collections.Counter[str]]] = {
            field.name: collections.defaultdict(collections.Counter)
            for field in dataclasses.fields(_Groups)
        }

    def add(self, groups: _Groups, *names: str) -> None:
        for name, by_value in self.by_group.items():
            by_value[getattr(groups, name)].update(names)


def make_report(lines: list[explanations.LogLine]) -> Report:
    """Counts the requests in the log lines of all entries.

    Args:
        lines: Events, sorted by time.
    """
    counters, left_out = _Counters(), 0
    groups_by_id = _find_groups(lines)
    kinds = _find_kinds(lines)
    # Entry and request id of refusals whose line `served` has not come yet, and
    # ids of requests that an entry ended because it stopped.
    refused: dict[tuple[str, str], list[explanations.LogLine]] = {}
    ended_ids: set[str] = set()
    for line in lines:
        fields = line.fields
        request_id = fields.get("request_id", "")
        known = groups_by_id.get(request_id, _Groups())
        groups = dataclasses.replace(known, second=_find_second(line))
        if line.event == "served":
            left_out += int(fields.get("left_out") or 0)
            refused.pop((line.entry, request_id), None)
            counters.add(
                _find_own_groups(line),
                *_classify(line, request_id in ended_ids),
            )
        elif line.event == "refused":
            refused.setdefault((line.entry, request_id), []).append(line)
        elif line.event == "attempt_not_run" and "status" in fields:
            kind = kinds.get(fields.get("at_fault", ""), UNKNOWN)
            counters.add(dataclasses.replace(groups, kind=kind), REJECTED)
        elif line.event == "caller_left":
            counters.add(groups, LEFT)
        elif line.event == "connection_closed" and request_id:
            counters.add(groups, BROKEN_OFF)
        if _is_ended_by_stop(line):
            ended_ids.add(request_id)
    # Those of which the route was not looked up have no line `served`.
    for line in (line for group in refused.values() for line in group):
        groups = _Groups(second=_find_second(line))
        counters.add(groups, REFUSED_PREFIX + line.fields.get("reason", ""))
    return Report(_make_tables(counters), left_out)


def _classify(
    line: explanations.LogLine, was_ended_elsewhere: bool
) -> list[str]:
    """Returns the counters of a request that has ended."""
    outcome = line.fields.get("outcome", "")
    if outcome == ABORTED:
        return [BROKEN_OFF]
    if not outcome.isdecimal():
        return [REFUSED_PREFIX + outcome]
    if line.fields.get("is_late") != "True":
        return [ANSWERED]
    cause = _find_cause(line.fields, was_ended_elsewhere)
    return [ANSWERED, LATE, LATE_PREFIX + cause]


def _find_cause(fields: dict[str, str], was_ended_elsewhere: bool) -> str:
    """Returns why an answer is late; the earliest of several causes."""
    if was_ended_elsewhere:
        return ENTRY_RESTARTED
    if "first_event_s" not in fields:
        return PLAIN_ANSWER
    objective_s = _parse_number(fields.get("objective_s"))
    first_event_s = _parse_number(fields["first_event_s"])
    if 0 < objective_s < first_event_s:
        return FIRST_EVENT
    return fields.get("gap_cause") or UNKNOWN


def _parse_number(text: str | None) -> float:
    """Returns a logged number, 0 if there is none."""
    try:
        return float(text or 0)
    except ValueError:
        return 0.0


def _is_ended_by_stop(line: explanations.LogLine) -> bool:
    """Returns whether an entry ended a request because it stops."""
    fields = line.fields
    return (
        line.event in ("refused", "stream_aborted")
        and fields.get("reason") == "stopping"
    ) or (
        line.event == "connection_closed"
        and fields.get("cause", "").startswith("shutdown")
    )


def _find_groups(
    lines: Iterable[explanations.LogLine],
) -> dict[str, _Groups]:
    """Returns the groups of requests whose rank is logged, by their id."""
    found = {}
    for line in lines:
        if "rank" in line.fields and "request_id" in line.fields:
            request_id = line.fields["request_id"]
            groups = _find_own_groups(line)
            if groups.kind == UNKNOWN and request_id in found:
                groups = dataclasses.replace(
                    groups, kind=found[request_id].kind
                )
            found[request_id] = groups
    return found


def _find_own_groups(line: explanations.LogLine) -> _Groups:
    fields = line.fields
    return _Groups(
        fields.get("rank") or UNKNOWN,
        fields.get("organisation") or UNKNOWN,
        fields.get("kinds", "").partition(",")[0] or UNKNOWN,
        _find_second(line),
    )


def _find_kinds(lines: Iterable[explanations.LogLine]) -> dict[str, str]:
    """Returns the kinds of the instances on logged paths, by their id."""
    kinds = {}
    for line in lines:
        if line.fields.get("kinds"):
            instances = [
                segment.partition("=")[0]
                for segment in line.fields.get("path", "").split(",")
            ]
            kinds.update(
                zip(instances, line.fields["kinds"].split(","), strict=False)
            )
    return kinds


def _find_second(line: explanations.LogLine) -> str:
    """Returns the second in which a request arrived, if its line tells."""
    took_s = line.fields.get("took_s") or line.fields.get("after_s")
    try:
        time = datetime.datetime.fromisoformat(line.time)
        time -= datetime.timedelta(seconds=_parse_number(took_s))
    except (ValueError, OverflowError):
        return UNKNOWN
    return time.strftime("%H:%M:%S")


def _make_tables(counters: _Counters) -> tuple[Table, ...]:
    tables = []
    for name, by_value in counters.by_group.items():
        key = _get_number_or_text
        if name == "organisation":

            def key(organisation: str, by_value=by_value) -> tuple:
                return (-by_value[organisation][LATE], organisation)

        tables.append(
            Table(
                name,
                {value: by_value[value] for value in sorted(by_value, key=key)},
            )
        )
    return tuple(tables)


def _get_number_or_text(value: str) -> tuple[bool, int, str]:
    """Returns a sort key by which ranks are sorted as numbers."""
    is_number = value.isdecimal()
    return (not is_number, int(value) if is_number else 0, value)


def _find_columns(tables: Iterable[Table]) -> list[str]:
    """Returns the counters that occur, in the order of the columns."""
    names = {
        name for table in tables for row in table.rows.values() for name in row
    }
    return [
        ANSWERED,
        LATE,
        *sorted(name for name in names if name.startswith(LATE_PREFIX)),
        *sorted(name for name in names if name.startswith(REFUSED_PREFIX)),
        REJECTED,
        BROKEN_OFF,
        LEFT,
    ]


def format_csv(report: Report) -> str:
    """Returns all rows of all tables as comma-separated values."""
    columns = _find_columns(report.tables)
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(["table", "group", *columns])
    for table in report.tables:
        for value, row in table.rows.items():
            writer.writerow([table.name, value, *(row[c] for c in columns)])
    return output.getvalue()


def format_text(report: Report) -> str:
    """Returns the tables for reading.

    Shows the organisations with most late answers, and only seconds in which
    something other than an answer in time was logged.
    """
    parts = []
    for table in report.tables:
        rows = list(table.rows.items())
        if table.name == "organisation":
            rows = rows[:ORGANISATIONS_SHOWN]
        elif table.name == "second":
            rows = [(v, row) for v, row in rows if set(row) - {ANSWERED}]
        shown = Table(table.name, dict(rows))
        # A column without a number in the table is left out.
        columns = [
            column
            for column in _find_columns([shown])
            if any(row[column] for _, row in rows)
        ]
        cells = [[table.name, *columns]]
        for value, row in rows:
            cells.append([value, *(str(row[column]) for column in columns)])
        parts.append(_align(cells))
    if report.left_out:
        parts.append(
            f"{report.left_out} answers in time were not logged one by one and"
            " are in no table\n"
        )
    return "\n".join(parts)


def _align(cells: list[list[str]]) -> str:
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = []
    for row in cells:
        first, *others = (
            cell.ljust(width) if index == 0 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        lines.append("  ".join([first, *others]).rstrip() + "\n")
    return "".join(lines)
