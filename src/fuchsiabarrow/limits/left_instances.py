"""Crashes that show after a request has left the instance; without I/O.

A request that gets no answer from a silent instance is sent elsewhere, though
the instance may be sound. If a newer instance soon runs in its place, the older
one crashed under the request.
"""

from collections.abc import Callable
import dataclasses

from fuchsiabarrow.fleet import upstreams

__all__ = ["LeftInstances"]

# Time for an instance to start again and to be listed.
EXPIRY_S = 15.0
MAX_WATCHED = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class _Departure:
    upstream: upstreams.Upstream
    fingerprint: int
    until_s: float


class LeftInstances:
    """Instances that requests have left before their first event.

    Args:
        read_time_s: Monotonic clock.
        is_replaced: Returns whether a newer instance runs in the place of one.
        count_crash: Called with the fingerprint of a request and the instance
            that crashed under it.
    """

    def __init__(
        self,
        read_time_s: Callable[[], float],
        is_replaced: Callable[[upstreams.Upstream], bool],
        count_crash: Callable[[int, upstreams.Upstream], object],
    ):
        self._read_time_s = read_time_s
        self._is_replaced = is_replaced
        self._count_crash = count_crash
        self._departures: list[_Departure] = []

    def record(self, upstream: upstreams.Upstream, fingerprint: int) -> None:
        """Records that a request has left an instance."""
        until_s = self._read_time_s() + EXPIRY_S
        self._departures.append(_Departure(upstream, fingerprint, until_s))
        del self._departures[:-MAX_WATCHED]

    def remove(self, fingerprint: int) -> None:
        """Removes a request that another instance has served since."""
        self._departures = [
            departure
            for departure in self._departures
            if departure.fingerprint != fingerprint
        ]

    def check(self) -> None:
        """Counts the crashes that the list of upstreams shows by now."""
        if not self._departures:
            return
        now_s = self._read_time_s()
        remaining = []
        for departure in self._departures:
            if self._is_replaced(departure.upstream):
                self._count_crash(departure.fingerprint, departure.upstream)
            elif departure.until_s > now_s:
                remaining.append(departure)
        self._departures = remaining
