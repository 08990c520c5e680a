"""Detects streams that stop sending events or send them too slowly.

The timer is not reset by each event but checks the time of the last event when
it expires, so that the timer is not set again for each event.
"""

import asyncio
from collections.abc import Callable
import math

__all__ = ["StreamMonitor"]

# Minimum silence that is reported.
MIN_SILENCE_S = 0.12
# Limit before the first event, which comes only after the prompt's prefill.
FIRST_EVENT_SILENCE_S = 0.3
# Silence is reported from this multiple of the mean time between events, within
# the minimum and the maximum.
SILENCE_FACTOR = 4.0
MAX_SILENCE_S = 1.0
# Time that it takes to change the path and to prefill the context again there.
# A gap objective is kept if the delay is reported this much earlier.
MOVE_TIME_S = 0.11
# Multiple of the mean time between events below which no delay is reported:
# single gaps vary by that much.
MIN_DELAY_FACTOR = 1.5
# Shortest timer: the difference of two times may round to less than the clock
# can represent, and a timer would then expire at the same time again.
MIN_TIMER_S = 0.001
# Minimum time between two reports of silence of a stream.
MIN_REPORT_INTERVAL_S = 0.4
# Weight of the latest sample in the moving average of time between events.
INTERVAL_SMOOTHING = 0.2
# A stream this many times slower than expected is reported as slow.
SLOW_FACTOR = 2.5
# A stream with a shorter mean time between events is never reported as slow.
MIN_SLOW_INTERVAL_S = 0.06


class StreamMonitor:
    """Monitors the events of one stream over all its attempts.

    Args:
        on_silence: Called with the seconds since the last progress.
        on_slowness: Called when events arrive much slower than expected; each
            call doubles the interval that triggers the next one.
        on_delay: Called before a silence is reported, when the next event is
            about to miss the gap objective.
        gap_objective_s: Objective for the longest time between two events;
            None if there is none.
    """

    def __init__(
        self,
        on_silence: Callable[[float], None],
        on_slowness: Callable[[], None],
        on_delay: Callable[[], None] = lambda: None,
        gap_objective_s: float | None = None,
    ):
        self._on_silence = on_silence
        self._on_slowness = on_slowness
        self._on_delay = on_delay
        self._gap_objective_s = gap_objective_s
        self._is_delay_reported = False
        self._event_count = 0
        self._last_progress_s = 0.0
        self._mean_interval_s = 0.0
        self._slow_interval_s = MIN_SLOW_INTERVAL_S
        self._timer: asyncio.TimerHandle | None = None

    def set_expected_interval(self, interval_s: float) -> None:
        """Sets the time between events that is expected of the path."""
        self._slow_interval_s = max(
            MIN_SLOW_INTERVAL_S, SLOW_FACTOR * interval_s
        )

    def start(self) -> None:
        """Starts monitoring an attempt."""
        self.reset_silence()
        self._set_timer(FIRST_EVENT_SILENCE_S)

    def stop(self) -> None:
        """Stops monitoring an attempt."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def get_silence_s(self) -> float:
        """Returns the time since the last progress."""
        return asyncio.get_running_loop().time() - self._last_progress_s

    def record_events(self, count: int) -> None:
        """Records the arrival of some events."""
        if self._event_count:
            interval_s = self.get_silence_s() / count
            self._mean_interval_s += INTERVAL_SMOOTHING * (
                interval_s - self._mean_interval_s
            )
            if self._mean_interval_s > self._slow_interval_s:
                self._slow_interval_s *= 2
                self._on_slowness()
        self._event_count += count
        self.reset_silence()

    def reset_silence(self) -> None:
        """Measures silence from now on.

        Called after each write, so that the time that a slow caller takes is
        not attributed to the upstream.
        """
        self._last_progress_s = asyncio.get_running_loop().time()

    def _set_timer(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check)

    def _get_silence_limit_s(self) -> float:
        if not self._event_count:
            return FIRST_EVENT_SILENCE_S
        return min(
            MAX_SILENCE_S,
            max(MIN_SILENCE_S, SILENCE_FACTOR * self._mean_interval_s),
        )

    def _get_delay_limit_s(self) -> float:
        """Returns the silence that counts as a delay; infinite for none."""
        if not self._gap_objective_s or not self._event_count:
            return math.inf
        return max(
            self._gap_objective_s - MOVE_TIME_S,
            MIN_SILENCE_S,
            MIN_DELAY_FACTOR * self._mean_interval_s,
        )

    def _check(self) -> None:
        limit_s, silent_s = self._get_silence_limit_s(), self.get_silence_s()
        if silent_s < limit_s:
            delay_s = self._get_delay_limit_s()
            if silent_s < delay_s:
                self._is_delay_reported = False
            elif not self._is_delay_reported:
                self._is_delay_reported = True
                self._on_delay()
            if silent_s < delay_s < limit_s:
                limit_s = delay_s
            self._set_timer(max(MIN_TIMER_S, limit_s - silent_s))
            return
        self._on_silence(silent_s)
        self._set_timer(max(MIN_REPORT_INTERVAL_S, limit_s))
