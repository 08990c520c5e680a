"""First event and longest gap of a stream, with what is known of its cause."""

from collections.abc import Callable
import enum

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.utils import loop_lags

__all__ = ["GapCause", "StreamProgress", "is_late"]

# Reported slowdown of an instance above which it explains a gap.
SLOW_PATH_FACTOR = 1.5
# Part of a gap that the entry has to spend waiting for the caller for it to
# count as the caller's.
SLOW_WRITE_SHARE = 0.5


class GapCause(enum.Enum):
    """What the entry knows about a gap; the first that applies is given.

    Attributes:
        MOVED: An attempt began, or the path was changed.
        SLOW_WRITE: The entry waited for the caller for most of the gap.
        LOOP_LAG: The entry's own event loop was late.
        SLOW_PATH: An instance of the path reports that it is slow.
        STALLED: The first instance reported stalled instances.
        ENGINE: None of these: a preemption, or unexplained.
    """

    MOVED = "moved"
    SLOW_WRITE = "slow_write"
    LOOP_LAG = "loop_lag"
    SLOW_PATH = "slow_path"
    STALLED = "stalled"
    ENGINE = "engine"


class StreamProgress:
    """Records the events of one stream over all its attempts.

    Attributes:
        first_event_s: Time from the arrival of the request to its first event;
            None before it.
        longest_gap_s: Longest time between two events.
        gap_cause: Cause of this gap; None before the second event.
        last_event_s: Loop time of the last event, or of the arrival.
        last_progress_s: The same, or when the caller had taken the last event.
            A change of the path is no progress.

    Args:
        arrived_s: Loop time at which the request arrived.
        lag_meter: Tells when the event loop was late.
    """

    def __init__(self, arrived_s: float, lag_meter: loop_lags.LoopLagMeter):
        self.first_event_s: float | None = None
        self.longest_gap_s = 0.0
        self.gap_cause: GapCause | None = None
        self.last_event_s = arrived_s
        self._lag_meter = lag_meter
        # Of the present gap.
        self._has_moved = False
        self._has_stalled = False
        self.last_progress_s = arrived_s

    def record_move(self) -> None:
        """Records that an attempt begins or that the path has changed."""
        self._has_moved = True

    def record_stall(self) -> None:
        """Records that the first instance waits for stalled instances."""
        self._has_stalled = True

    def record_written(self, now_s: float) -> None:
        """Records that the caller has taken the last events."""
        self.last_progress_s = now_s

    def record_events(
        self, now_s: float, get_slowdown: Callable[[], float]
    ) -> None:
        """Records that events have arrived.

        Args:
            now_s: Loop time.
            get_slowdown: Returns the greatest slowdown that the instances of
                the path report.
        """
        gap_s = now_s - self.last_event_s
        if self.first_event_s is None:
            self.first_event_s = gap_s
        elif gap_s > self.longest_gap_s:
            self.longest_gap_s = gap_s
            self.gap_cause = self._find_cause(gap_s, get_slowdown)
        self.last_event_s = self.last_progress_s = now_s
        self._has_moved = self._has_stalled = False

    def _find_cause(
        self, gap_s: float, get_slowdown: Callable[[], float]
    ) -> GapCause:
        if self._has_moved:
            return GapCause.MOVED
        if self.last_progress_s - self.last_event_s > SLOW_WRITE_SHARE * gap_s:
            return GapCause.SLOW_WRITE
        if self._lag_meter.late_s > self.last_event_s:
            return GapCause.LOOP_LAG
        if get_slowdown() > SLOW_PATH_FACTOR:
            return GapCause.SLOW_PATH
        if self._has_stalled:
            return GapCause.STALLED
        return GapCause.ENGINE


def is_late(
    route: documents.Route,
    took_s: float,
    summary: messages.StreamSummary | None,
) -> bool:
    """Returns whether an answer missed an objective of its route.

    As far as the entry sees it: earlier attempts of the caller, and the time
    that events take from the engine to the entry, are not known to it.

    Args:
        route: The route; an objective of 0 is none.
        took_s: Time from the arrival to the end of the answer.
        summary: Events of a stream; None for a plain request.
    """
    if summary is None:
        return 0 < route.latency_objective_s < took_s
    first_event_s = summary.first_event_s
    gap_objective_s = route.event_gap_objective_s
    return (
        first_event_s is not None
        and 0 < route.latency_objective_s < first_event_s
    ) or (
        gap_objective_s is not None
        and 0 < gap_objective_s < summary.longest_gap_s
    )
