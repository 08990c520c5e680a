"""Writes log lines without blocking the event loop.

Lines are buffered while the reader of the log is slow. Lines that do not fit in
the buffer are dropped, and a later line reports how many.
"""

import asyncio
import collections
import os
import time

__all__ = ["LineWriter", "RateLimiter"]

MAX_BUFFERED_BYTES = 1_048_576


class LineWriter:
    """Writes lines to a descriptor whose reader may be slow, such as a pipe.

    Attributes:
        dropped: Number of lines dropped so far.

    Args:
        descriptor: Open descriptor; it is made non-blocking.
        max_buffered_bytes: Limit of the buffer of unwritten lines.
    """

    def __init__(
        self, descriptor: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES
    ):
        self.dropped = 0
        self._descriptor = descriptor
        self._max_buffered_bytes = max_buffered_bytes
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported_drops = 0
        self._is_writer_added = False
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes or buffers a line; drops it if the buffer is full."""
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self._buffered_bytes + len(data) > self._max_buffered_bytes:
            self.dropped += 1
            self._unreported_drops += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Writes as many buffered lines as possible without blocking."""
        while self._lines:
            data = self._lines[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._add_writer()
                return
            except OSError:
                # The reader closed the pipe, so the loss cannot be logged.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._buffered_bytes = 0
                break
            self._buffered_bytes -= written
            if written < len(data):
                self._lines[0] = data[written:]
            else:
                self._lines.popleft()
        self._remove_writer()
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            self.write(f"event=log_lines_dropped count={count}")

    def _add_writer(self) -> None:
        if self._is_writer_added:
            return
        try:
            asyncio.get_running_loop().add_writer(self._descriptor, self.flush)
            self._is_writer_added = True
        except (RuntimeError, OSError):
            # No event loop is running, or the descriptor cannot be monitored;
            # the next line tries again.
            return

    def _remove_writer(self) -> None:
        if self._is_writer_added:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_writer_added = False


class RateLimiter:
    """Limits the rate at which events of a kind are logged.

    Args:
        per_s: Maximum number of events logged in each clock second.
    """

    def __init__(self, per_s: int):
        self._per_s = per_s
        self._second = 0
        self._logged = 0
        self._suppressed = 0

    def try_acquire(self) -> int | None:
        """Decides whether an event is logged.

        Returns:
            The number of events suppressed since the last logged one, or None
            if this event is to be suppressed too.
        """
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._logged = 0
        if self._logged >= self._per_s:
            self._suppressed += 1
            return None
        self._logged += 1
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
