"""Reconstructs the history of a request from the logs of several entries."""

from collections.abc import Iterable
import dataclasses
import pathlib
import re

import msgspec

__all__ = ["LogLine", "explain", "parse_line", "read_files"]

_PAIR = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
# Events without a request id that can explain the outcome of requests that were
# in progress at the time.
CONTEXT_EVENTS = frozenset(
    (
        "configuration",
        "relayed",
        "reloaded",
        "started",
        "stopped",
        "stopping",
        "store_lost",
        "store_regained",
        "upstream_avoided",
        "upstream_misdirected",
        "upstream_removed",
    )
)
# Context events are shown from this long before the first event of a request
# to this long after its last event.
CONTEXT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One logged event.

    Attributes:
        time: Date and time as logged, ISO 8601.
        entry: Name of the entry that logged it; the name of the file if the
            line does not name the entry.
        event: Name of the event.
        fields: All other pairs except ``level`` and ``logger``.
    """

    time: str
    entry: str
    event: str
    fields: dict[str, str]


def parse_line(line: str, entry: str) -> LogLine | None:
    """Parses a log line.

    Args:
        line: Text of the line.
        entry: Name of the entry that logged it.

    Returns:
        The event, or None if the line has no time or no event name.
    """
    start = line.find("time=")
    if start < 0:
        return None
    fields = {}
    for name, value in _PAIR.findall(line[start:]):
        fields[name] = _unquote(value)
    time, event = fields.pop("time", ""), fields.pop("event", "")
    if not time or not event:
        return None
    fields.pop("level", None)
    fields.pop("logger", None)
    return LogLine(time, entry, event, fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return msgspec.json.decode(value, type=str)
    except msgspec.MsgspecError:
        return value.strip('"')


def read_files(paths: Iterable[str]) -> list[LogLine]:
    """Returns the events of several log files, sorted by time.

    A file may contain lines of several entries if the word before ``time=`` on
    each line is the name of the entry.
    """
    events = []
    for path in paths:
        name = pathlib.Path(path).stem
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                prefix = text[: max(0, text.find("time="))].split()
                line = parse_line(text, prefix[-1] if prefix else name)
                if line is not None:
                    events.append(line)
    events.sort(key=lambda line: line.time)
    return events


def explain(request_id: str, lines: list[LogLine]) -> list[str]:
    """Returns the history of a request, one line per event.

    Includes the events of the request itself (marked ``*``) and, from the
    entries that handled it, `CONTEXT_EVENTS` from shortly before its first
    event to shortly after its last one: those that concern an upstream which
    the request's events name, and those that concern no upstream. The last
    line summarises the outcome.
    """
    own_lines = [line for line in lines if _has_request_id(line, request_id)]
    if not own_lines:
        return []
    entries = {line.entry for line in own_lines}
    field_text = " ".join(
        value for line in own_lines for value in line.fields.values()
    )
    first, last = own_lines[0].time, own_lines[-1].time
    history = []
    for line in lines:
        if line in own_lines:
            history.append(_format(line, "*"))
        elif (
            line.entry in entries
            and line.event in CONTEXT_EVENTS
            and -CONTEXT_S <= _compute_difference_s(line.time, first)
            and _compute_difference_s(line.time, last) <= CONTEXT_S
            and _is_relevant(line, field_text)
        ):
            history.append(_format(line, " "))
    history.append(_summarise_outcome(own_lines))
    return history


def _has_request_id(line: LogLine, request_id: str) -> bool:
    return line.fields.get("request_id") == request_id


def _is_relevant(line: LogLine, field_text: str) -> bool:
    """Tells whether an event concerns no upstream or one named in the text."""
    instance = line.fields.get("instance")
    return instance is None or instance in field_text


def _compute_difference_s(later: str, earlier: str) -> float:
    """Returns the seconds from one time of day to another.

    The dates are ignored: a difference of more than half a day is taken to
    cross midnight.
    """

    def to_seconds(time: str) -> float:
        hours, minutes, seconds = time.partition("T")[2].split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)

    difference_s = to_seconds(later) - to_seconds(earlier)
    half_day_s = 43_200.0
    if difference_s > half_day_s:
        return difference_s - 2 * half_day_s
    if difference_s < -half_day_s:
        return difference_s + 2 * half_day_s
    return difference_s


def _format(line: LogLine, mark: str) -> str:
    pairs = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name != "request_id" and value != ""
    )
    time = line.time.partition("T")[2]
    return f"{mark} {time} {line.entry} {line.event}: {pairs}"


def _summarise_outcome(own_lines: list[LogLine]) -> str:
    """Describes the event that decided the outcome of the request."""
    for line in reversed(own_lines):
        if line.event == "refused":
            return (
                f"refused with {line.fields.get('status')}:"
                f" {line.fields.get('reason')}, {line.fields.get('detail')}"
            )
        if line.event in ("denied", "stream_aborted"):
            return f"{line.event}: {line.fields.get('why')}"
        if line.event == "connection_closed":
            return f"this entry closed the connection: {line.fields['cause']}"
        if line.event == "request_error":
            return f"not handled: {line.fields.get('error')}"
        if line.event == "caller_left":
            is_started = line.fields.get("is_started") == "True"
            state = "during" if is_started else "before"
            after_s = line.fields.get("after_s")
            return (
                f"the caller disconnected after {after_s} s, {state} its answer"
            )
    last = own_lines[-1]
    if last.event == "served":
        return f"answered with {last.fields.get('outcome')}"
    return f"outcome not logged; the last event is {last.event}"
