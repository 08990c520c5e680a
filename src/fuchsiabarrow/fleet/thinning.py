"""Spreads the choices of many entries that know each other's work late.

All of them see the same best instance with some room, and until the next report
each fills it anew. So an instance is a candidate with the probability at which
the requests that are chosen for meanwhile, by all entries, just fill its room.
Free of I/O.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math

from fuchsiabarrow.fleet import paths

__all__ = ["RateMeter", "thin_out"]

# Time constant of the rate of requests.
RATE_WINDOW_S = 2.0


class RateMeter:
    """Mean rate of events, with an exponential window.

    Args:
        read_time_s: Monotonic clock.
        window_s: Time constant of the window.
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
        """Returns the rate in events a second."""
        self._decay()
        return self._count / self._window_s

    def _decay(self) -> None:
        now_s = self._read_time_s()
        self._count *= math.exp((self._counted_s - now_s) / self._window_s)
        self._counted_s = now_s


def thin_out(
    candidates: Iterable[paths.Candidate],
    demand: paths.Demand,
    unseen_requests: float,
    draw: Callable[[], float],
) -> list[paths.Candidate]:
    """Returns the candidates that one choice may use.

    Args:
        candidates: Instances that a path may use.
        demand: The request.
        unseen_requests: Requests that others are choosing for of which
            nothing is known yet.
        draw: Returns a random number from 0 to 1.
    """
    kept = []
    for candidate in candidates:
        held = len(candidate.upstream.layers)
        room = candidate.free_context / (demand.context_tokens * held)
        if room >= unseen_requests or draw() * unseen_requests < room:
            kept.append(candidate)
    return kept
