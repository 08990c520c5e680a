"""Writes log lines without ever holding up the loop.

Lines that the reader of the log does not take in time are kept up to a bound;
beyond it they are left out, and a line says how many.
"""

import asyncio
import collections
import os
import time

__all__ = ["LineWriter", "Sampler"]

MAX_WAITING_BYTES = 1_048_576


class LineWriter:
    """Writes lines to a descriptor that may block.

    Attributes:
        dropped: Lines left out so far.

    Args:
        descriptor: Open descriptor; it is made non-blocking.
        max_waiting_bytes: Bound on what waits to be written.
    """

    def __init__(
        self, descriptor: int, max_waiting_bytes: int = MAX_WAITING_BYTES
    ):
        self.dropped = 0
        self._descriptor = descriptor
        self._max_waiting_bytes = max_waiting_bytes
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._unreported = 0
        self._is_watching = False
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Writes a line, now or later, or leaves it out."""
        data = line.encode("utf-8", "backslashreplace") + b"\n"
        if self._waiting_bytes + len(data) > self._max_waiting_bytes:
            self.dropped += 1
            self._unreported += 1
            return
        self._lines.append(data)
        self._waiting_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        """Writes what can be written without waiting."""
        while self._lines:
            data = self._lines[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._waiting_bytes = 0
                break
            self._waiting_bytes -= written
            if written < len(data):
                self._lines[0] = data[written:]
            else:
                self._lines.popleft()
        self._unwatch()
        if self._unreported:
            count, self._unreported = self._unreported, 0
            self.write(f"event=log_lines_dropped count={count}")

    def _watch(self) -> None:
        if self._is_watching:
            return
        try:
            asyncio.get_running_loop().add_writer(self._descriptor, self.flush)
            self._is_watching = True
        except (RuntimeError, OSError):
            # No loop runs yet or any more: the next line tries again.
            return

    def _unwatch(self) -> None:
        if self._is_watching:
            asyncio.get_running_loop().remove_writer(self._descriptor)
            self._is_watching = False


class Sampler:
    """Lets through a bounded number of ordinary events a second.

    Args:
        per_s: Events let through a second.
    """

    def __init__(self, per_s: int):
        self._per_s = per_s
        self._second = 0
        self._taken = 0
        self._left_out = 0

    def take(self) -> int | None:
        """Returns the events left out since the last one; None to leave out."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._taken = 0
        if self._taken >= self._per_s:
            self._left_out += 1
            return None
        self._taken += 1
        left_out, self._left_out = self._left_out, 0
        return left_out
