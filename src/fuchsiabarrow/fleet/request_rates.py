"""Mean rate of requests; without I/O."""

from collections.abc import Callable
import math

__all__ = ["RateMeter"]

# Time constant of the mean request rate.
RATE_WINDOW_S = 2.0


class RateMeter:
    """Exponentially weighted mean rate of events.

    Args:
        read_time_s: Monotonic clock.
        window_s: Time constant of the mean, in seconds.
    """

    def __init__(
        self,
        read_time_s: Callable[[], float],
        window_s: float = RATE_WINDOW_S,
    ):
        self._read_time_s = read_time_s
        self._window_s = window_s
        self._count = 0.0
        self._counted_s = read_time_s()

    def add(self) -> None:
        """Counts one event."""
        self._decay()
        self._count += 1.0

    def get_per_s(self) -> float:
        """Returns the rate in events per second."""
        self._decay()
        return self._count / self._window_s

    def _decay(self) -> None:
        now_s = self._read_time_s()
        self._count *= math.exp((self._counted_s - now_s) / self._window_s)
        self._counted_s = now_s
