"""Tells a request's story from the logs of several entries."""

from collections.abc import Iterable
import dataclasses
import pathlib
import re

import msgspec

__all__ = ["LogLine", "explain", "parse_line", "read_files"]

_PAIR = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')
# Events of the whole process that bear on the requests around them.
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
# Context is shown from this long before a request to this long after it.
CONTEXT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One event of a log.

    Attributes:
        time: Time of day as logged, ISO 8601.
        entry: Entry that wrote it, or the name of its file.
        event: Name of the event.
        fields: All other pairs.
    """

    time: str
    entry: str
    event: str
    fields: dict[str, str]


def parse_line(line: str, entry: str) -> LogLine | None:
    """Returns the event of a line, None if the line is none."""
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
    """Returns the events of several logs in the order of their times.

    A log may hold lines of several entries if each begins with their name.
    """
    found = []
    for path in paths:
        name = pathlib.Path(path).stem
        with open(path, encoding="utf-8", errors="replace") as file:
            for text in file:
                prefix = text[: max(0, text.find("time="))].split()
                line = parse_line(text, prefix[-1] if prefix else name)
                if line is not None:
                    found.append(line)
    found.sort(key=lambda line: line.time)
    return found


def explain(request_id: str, lines: list[LogLine]) -> list[str]:
    """Returns the story of a request, a line an event.

    Beside its own events these are what the entries that took it learned
    shortly before and meanwhile, of upstreams on its paths and of the store.
    """
    own = [line for line in lines if _concerns(line, request_id)]
    if not own:
        return []
    entries = {line.entry for line in own}
    named = " ".join(value for line in own for value in line.fields.values())
    first, last = own[0].time, own[-1].time
    story = []
    for line in lines:
        if line in own:
            story.append(_format(line, "*"))
        elif (
            line.entry in entries
            and line.event in CONTEXT_EVENTS
            and -CONTEXT_S <= _subtract(line.time, first)
            and _subtract(line.time, last) <= CONTEXT_S
            and _bears_on(line, named)
        ):
            story.append(_format(line, " "))
    story.append(_conclude(own))
    return story


def _concerns(line: LogLine, request_id: str) -> bool:
    return line.fields.get("request_id") == request_id


def _bears_on(line: LogLine, named: str) -> bool:
    instance = line.fields.get("instance")
    return instance is None or instance in named


def _subtract(later: str, earlier: str) -> float:
    """Returns the seconds between two times of one day or two."""

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


def _conclude(own: list[LogLine]) -> str:
    """Names the event that decided how the request ended."""
    for line in reversed(own):
        if line.event == "refused":
            return (
                f"refused with {line.fields.get('status')}:"
                f" {line.fields.get('reason')}, {line.fields.get('detail')}"
            )
        if line.event in ("denied", "stream_aborted"):
            return f"{line.event}: {line.fields.get('why')}"
        if line.event == "caller_left":
            begun = line.fields.get("is_started") == "True"
            state = "in the middle of" if begun else "before"
            after_s = line.fields.get("after_s")
            return f"the caller left after {after_s} s, {state} its answer"
    last = own[-1]
    if last.event == "served":
        return f"answered with {last.fields.get('outcome')}"
    return f"last event {last.event}; the log ends there"
