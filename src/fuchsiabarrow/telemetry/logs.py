"""Structured logging: one line of key=value pairs per event.

Records of the standard library's loggers, which the dependencies use, are
written in the same format.
"""

import logging
import sys
from typing import TextIO

import logbook
import logbook.compat
import msgspec

from fuchsiabarrow.telemetry import writers

__all__ = ["Settings", "format_event", "set_up_logs"]

LEVELS = ("debug", "info", "warning", "error")


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logging.

    Attributes:
        level: Minimum level that is logged: ``debug``, ``info``, ``warning`` or
            ``error``.
    """

    level: str = "info"


def format_event(event: str, **fields: object) -> str:
    """Returns one line of key=value pairs.

    Example:
        >>> format_event("stop", limit_s=5.0, why="SIGTERM")
        'event=stop limit_s=5.0 why=SIGTERM'
    """
    pairs = [f"event={event}"]
    for name, value in fields.items():
        pairs.append(f"{name}={_quote(str(value))}")
    return " ".join(pairs)


def _quote(text: str) -> str:
    is_plain = text != "" and not any(c in text for c in " \"'=\n\r\t\\")
    if is_plain:
        return text
    return msgspec.json.encode(text).decode()


def _format_record(record: logbook.LogRecord, handler: object) -> str:
    time = record.time.isoformat(timespec="milliseconds")
    level = record.level_name.lower()
    message = record.message
    if not message.startswith("event="):
        message = format_event("log", message=message)
    line = f"time={time} level={level} logger={record.channel} {message}"
    if record.exc_info:
        line += f" exception={_quote(record.formatted_exception or '')}"
    return line


class _LineHandler(logbook.Handler):
    """Formats each record as one line and passes it to a line writer."""

    def __init__(self, writer: writers.LineWriter, level: int):
        super().__init__(level)
        self.formatter = _format_record
        self._writer = writer

    def emit(self, record: logbook.LogRecord) -> None:
        self._writer.write(self.format(record))


def set_up_logs(settings: Settings, stream: TextIO | None = None) -> None:
    """Routes all log records of the process to a stream, one line per event.

    Records of the standard library's loggers are included from level warning.

    Args:
        settings: Minimum level.
        stream: Stream whose descriptor is made non-blocking, so that a slow
            reader does not block the event loop; if None, standard error with
            blocking writes.
    """
    level = logbook.lookup_level(settings.level.upper())
    if stream is None:
        handler = logbook.StreamHandler(sys.stderr, level=level)
        handler.formatter = _format_record
    else:
        handler = _LineHandler(writers.LineWriter(stream.fileno()), level)
    handler.push_application()
    logbook.compat.redirect_logging()
    logging.getLogger().setLevel(logging.WARNING)
