"""Load in flight at upstreams, of this entry and of other entries; without I/O.

The load from this entry is known exactly, that from other entries as of their
last reports.
"""

from collections.abc import Iterable
import contextlib
import dataclasses

__all__ = ["IDLE", "Load", "LoadTable", "Reservation"]

UpstreamKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load in flight at one upstream.

    Attributes:
        requests: Number of requests whose path contains it; fractional if it
            is an expected number.
        path_starts: Number of requests whose path begins at it.
        context: Reserved context (KV cache), in tokens times layers.
        prefill: Prompt tokens not yet prefilled, in tokens times layers.
    """

    requests: float = 0
    path_starts: int = 0
    context: float = 0.0
    prefill: float = 0.0

    def add(self, other: "Load", sign: int = 1) -> "Load":
        """Returns the sum with another load; the difference for sign -1."""
        return Load(
            self.requests + sign * other.requests,
            self.path_starts + sign * other.path_starts,
            self.context + sign * other.context,
            self.prefill + sign * other.prefill,
        )


IDLE = Load()


class Reservation:
    """Load of one request at its upstreams, counted in a ``with`` block.

    Args:
        load_table: Table in which it is counted.
        loads: Load at each upstream.
    """

    def __init__(self, load_table: "LoadTable", loads: dict[UpstreamKey, Load]):
        self._load_table = load_table
        self._loads = loads

    def __enter__(self) -> "Reservation":
        self._load_table.add_own(self._loads, 1)
        return self

    def __exit__(self, *details) -> None:
        self._load_table.add_own(self._loads, -1)
        self._loads = {}

    @contextlib.contextmanager
    def suspend(self):
        """Leaves the load out of the table in a ``with`` block."""
        self._load_table.add_own(self._loads, -1)
        try:
            yield
        finally:
            self._load_table.add_own(self._loads, 1)

    def finish_prefill(self, keys: Iterable[UpstreamKey] | None = None) -> None:
        """Removes the load of prefilling the prompt.

        Args:
            keys: Upstreams that have finished; None for all.
        """
        finished = self._loads.keys() if keys is None else set(keys)
        remaining = {}
        for key, load in self._loads.items():
            if key not in finished:
                remaining[key] = load
                continue
            self._load_table.add_own({key: Load(prefill=load.prefill)}, -1)
            remaining[key] = dataclasses.replace(load, prefill=0.0)
        self._loads = remaining


class LoadTable:
    """Sums of the load in flight, by upstream."""

    def __init__(self):
        self._own: dict[UpstreamKey, Load] = {}
        self._reports: dict[str, dict[UpstreamKey, Load]] = {}
        # Sums over the reports of requests, path_starts, context and prefill.
        self._others: dict[UpstreamKey, list[float]] = {}

    def add_own(self, loads: dict[UpstreamKey, Load], sign: int) -> None:
        """Adds load of this entry; subtracts it for sign -1."""
        for key, load in loads.items():
            total = self._own.get(key, IDLE).add(load, sign)
            if total.requests <= 0 and total.prefill <= 0:
                self._own.pop(key, None)
            else:
                self._own[key] = total

    def set_report(
        self, reporter: str, loads: Iterable[tuple[UpstreamKey, Load]]
    ) -> None:
        """Replaces the load that another entry reports."""
        self.drop_report(reporter)
        reported = dict(loads)
        self._reports[reporter] = reported
        self._add_others(reported, 1)

    def drop_report(self, reporter: str) -> None:
        """Removes the load that a reporter has reported."""
        self._add_others(self._reports.pop(reporter, {}), -1)

    def _add_others(self, loads: dict[UpstreamKey, Load], sign: int) -> None:
        for key, load in loads.items():
            sums = self._others.setdefault(key, [0.0] * 4)
            sums[0] += sign * load.requests
            sums[1] += sign * load.path_starts
            sums[2] += sign * load.context
            sums[3] += sign * load.prefill
            if sums[0] <= 0 and sums[2] <= 0:
                del self._others[key]

    def get_own(self) -> dict[UpstreamKey, Load]:
        """Returns the load of this entry."""
        return self._own

    def get(self, key: UpstreamKey) -> Load:
        """Returns the load of all entries at an upstream, as far as known."""
        own = self._own.get(key, IDLE)
        others = self._others.get(key)
        if others is None:
            return own
        return Load(
            own.requests + int(others[0]),
            own.path_starts + int(others[1]),
            own.context + others[2],
            own.prefill + others[3],
        )
