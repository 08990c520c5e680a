"""Prevents entries from overloading an instance between load reports.

Entries learn of each other's load with a delay: all of them see free memory on
the same best instance, and until the next report each of them fills it (herd
effect). Therefore each choice considers an instance only with the probability
at which the requests that all entries place meanwhile just fill its free
memory. Without I/O.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

from fuchsiabarrow.fleet import paths

__all__ = ["RateMeter", "sample_candidates"]

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


def sample_candidates(
    candidates: Iterable[paths.Candidate],
    size: paths.RequestSize,
    unreported_requests: float,
    draw: Callable[[], float],
) -> list[paths.Candidate]:
    """Returns a random subset of the candidates for one choice.

    Args:
        candidates: Instances that a path may use.
        size: Expected size of the request.
        unreported_requests: Expected number of requests that other entries
            have placed but not yet reported.
        draw: Returns a random number from 0 to 1.
    """
    kept = []
    for candidate in candidates:
        held = len(candidate.upstream.layers)
        room = candidate.free_context / (size.context_tokens * held)
        if room >= unreported_requests or draw() * unreported_requests < room:
            kept.append(candidate)
    return kept
