"""Work in flight at upstreams: this entry's own, and what other entries tell.

Free of I/O. Own work is known exactly; that of other entries as of their last
report.
"""

from collections.abc import Iterable
import dataclasses

__all__ = ["IDLE", "Ledger", "Load", "Reservation"]

UpstreamKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Work in flight at one upstream.

    Attributes:
        requests: Requests that pass through it.
        entered: Requests of which it is the first upstream.
        context: Context reserved, in tokens times layers.
        reading: Prompt tokens times layers that are yet to be read.
    """

    requests: int = 0
    entered: int = 0
    context: float = 0.0
    reading: float = 0.0

    def add(self, other: "Load", sign: int = 1) -> "Load":
        """Returns the sum with another load, or the difference."""
        return Load(
            self.requests + sign * other.requests,
            self.entered + sign * other.entered,
            self.context + sign * other.context,
            self.reading + sign * other.reading,
        )


IDLE = Load()


class Reservation:
    """Room held at the upstreams of one request until it is released.

    Args:
        ledger: Ledger that it is booked in.
        loads: Load at each upstream.
    """

    def __init__(self, ledger: "Ledger", loads: dict[UpstreamKey, Load]):
        self._ledger = ledger
        self._loads = loads

    def __enter__(self) -> "Reservation":
        self._ledger.book(self._loads, 1)
        return self

    def __exit__(self, *details) -> None:
        self._ledger.book(self._loads, -1)
        self._loads = {}

    def finish_reading(self) -> None:
        """Notes that the prompt has been read."""
        rest = {}
        for key, load in self._loads.items():
            self._ledger.book({key: Load(reading=load.reading)}, -1)
            rest[key] = dataclasses.replace(load, reading=0.0)
        self._loads = rest


class Ledger:
    """Sums of work in flight, by upstream."""

    def __init__(self):
        self._own: dict[UpstreamKey, Load] = {}
        self._reports: dict[str, dict[UpstreamKey, Load]] = {}
        # Sums over the reports: requests, entered, context, reading.
        self._others: dict[UpstreamKey, list[float]] = {}

    def book(self, loads: dict[UpstreamKey, Load], sign: int) -> None:
        """Adds or takes off own work."""
        for key, load in loads.items():
            total = self._own.get(key, IDLE).add(load, sign)
            if total.requests <= 0 and total.reading <= 0:
                self._own.pop(key, None)
            else:
                self._own[key] = total

    def take_report(
        self, reporter: str, loads: Iterable[tuple[UpstreamKey, Load]]
    ) -> None:
        """Takes over what another entry has in flight."""
        self.drop_report(reporter)
        told = dict(loads)
        self._reports[reporter] = told
        self._add_others(told, 1)

    def drop_report(self, reporter: str) -> None:
        """Forgets what a reporter told."""
        self._add_others(self._reports.pop(reporter, {}), -1)

    def _add_others(self, loads: dict[UpstreamKey, Load], sign: int) -> None:
        for key, load in loads.items():
            sums = self._others.setdefault(key, [0.0] * 4)
            sums[0] += sign * load.requests
            sums[1] += sign * load.entered
            sums[2] += sign * load.context
            sums[3] += sign * load.reading
            if sums[0] <= 0 and sums[2] <= 0:
                del self._others[key]

    def get_own(self) -> dict[UpstreamKey, Load]:
        """Returns own work in flight."""
        return self._own

    def get(self, key: UpstreamKey) -> Load:
        """Returns all known work in flight at an upstream."""
        own = self._own.get(key, IDLE)
        others = self._others.get(key)
        if others is None:
            return own
        return Load(
            own.requests + int(others[0]),
            own.entered + int(others[1]),
            own.context + others[2],
            own.reading + others[3],
        )
