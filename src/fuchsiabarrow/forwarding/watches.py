"""Notices when a stream falls silent or slow.

A timer is set for a silence, not for each event, so that an event costs nothing
but a note of the time.
"""

import asyncio
from collections.abc import Callable

__all__ = ["StreamWatch"]

# Least silence that is asked about.
LEAST_SILENCE_S = 0.12
# The same before the first event, which waits for the prompt to be read.
FIRST_SILENCE_S = 0.3
# Silence counts from a multiple of the usual time between events.
SILENCE_FACTOR = 4.0
LONGEST_SILENCE_S = 1.0
# Least time to the next inquiry about the same stream.
NEXT_INQUIRY_S = 0.4
# Weight of the newest time between events.
INTERVAL_SMOOTHING = 0.2
# A stream this many times slower than expected has a slow instance.
SLOW_FACTOR = 2.5
LEAST_SLOW_S = 0.06


class StreamWatch:
    """Watches the events of one stream, attempt after attempt.

    Args:
        report_silence: Called with the silence in seconds.
        report_slowness: Called when events come much slower than expected.
    """

    def __init__(
        self,
        report_silence: Callable[[float], None],
        report_slowness: Callable[[], None],
    ):
        self._report_silence = report_silence
        self._report_slowness = report_slowness
        self._event_count = 0
        self._progress_s = 0.0
        self._interval_s = 0.0
        self._slow_interval_s = LEAST_SLOW_S
        self._timer: asyncio.TimerHandle | None = None

    def expect_interval(self, interval_s: float) -> None:
        """Takes over the time between events that a path should give."""
        self._slow_interval_s = max(LEAST_SLOW_S, SLOW_FACTOR * interval_s)

    def start(self) -> None:
        """Begins to watch an attempt."""
        self.note_written()
        self._set_timer(FIRST_SILENCE_S)

    def stop(self) -> None:
        """Ends the watch of an attempt."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def get_silent_s(self) -> float:
        """Returns the time since the last events."""
        return asyncio.get_running_loop().time() - self._progress_s

    def note_events(self, count: int) -> None:
        """Notes that some events came."""
        if self._event_count:
            interval_s = self.get_silent_s() / count
            self._interval_s += INTERVAL_SMOOTHING * (
                interval_s - self._interval_s
            )
            if self._interval_s > self._slow_interval_s:
                self._slow_interval_s *= 2
                self._report_slowness()
        self._event_count += count
        self.note_written()

    def note_written(self) -> None:
        """Counts silence from now: a slow caller is no silent upstream."""
        self._progress_s = asyncio.get_running_loop().time()

    def _set_timer(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check)

    def _get_limit_s(self) -> float:
        if not self._event_count:
            return FIRST_SILENCE_S
        return min(
            LONGEST_SILENCE_S,
            max(LEAST_SILENCE_S, SILENCE_FACTOR * self._interval_s),
        )

    def _check(self) -> None:
        limit_s, silent_s = self._get_limit_s(), self.get_silent_s()
        if silent_s < limit_s:
            self._set_timer(limit_s - silent_s)
            return
        self._report_silence(silent_s)
        self._set_timer(max(NEXT_INQUIRY_S, limit_s))
