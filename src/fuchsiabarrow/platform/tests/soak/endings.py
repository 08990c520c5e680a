"""How requests ended, compared with the faults and the logs of entries."""

import collections
from collections.abc import Callable
import dataclasses
import pathlib
import re

from fuchsiabarrow.platform.tests.soak import callers
from fuchsiabarrow.platform.tests.soak import invariants

__all__ = ["CUT_ENDINGS", "Counts", "Endings", "read_told_requests"]

# A request that did not run may meet the end of its connection for this long
# after it was sent (bounds.loss_slack_ms).
LOSS_SLACK_S = 0.2
# A time limit may be reached this much sooner than the caller's clock shows.
LIMIT_MARGIN_S = 0.1
CUT_ENDINGS = (callers.Ending.NO_HEAD, callers.Ending.IN_ANSWER)
# Events of log lines that tell that a request ended without an answer.
END_LINE = re.compile(
    r"event=(?:connection_closed|request_error|stream_aborted)"
    r" (?:.* )?request_id=(\S+)"
)
# Causes of cuts beside those of `invariants`.
CROSSED = "crossed_close"
TIME_LIMIT = "time_limit"
UNEXPLAINED = "unexplained"


@dataclasses.dataclass(slots=True)
class Counts:
    """Requests while the configuration changed, or while it did not.

    Attributes:
        requests: Number of requests that ended.
        cuts: Number of cuts by cause.
    """

    requests: int = 0
    cuts: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def read_told_requests(log_path: pathlib.Path) -> set[str]:
    """Returns the ids of requests whose end a log tells."""
    text = log_path.read_text(errors="replace")
    return {match[1] for match in END_LINE.finditer(text)}


class Endings:
    """Checks how each request ended.

    Attributes:
        beside_changes: Requests while the configuration changed.
        without_changes: The other ones.

    Args:
        history: Requests and faults of the seed.
        was_changing: Takes a time span; returns whether a change of the
            configuration may have come into force in it.
        get_least_limit_s: Returns the least time limit that may hold for a
            request that has ended.
    """

    def __init__(
        self,
        history: invariants.History,
        was_changing: Callable[[float, float], bool],
        get_least_limit_s: Callable[[invariants.Attempt], float],
    ):
        self.beside_changes = Counts()
        self.without_changes = Counts()
        self._history = history
        self._was_changing = was_changing
        self._get_least_limit_s = get_least_limit_s

    def check(self, told: dict[str, set[str]]) -> None:
        """Checks all requests and counts the cuts by cause.

        Args:
            told: Ids of the requests whose end a log tells, by entry.
        """
        for attempt in list(self._history.attempts.values()):
            if attempt.ending is None:
                continue
            is_beside = self._was_changing(attempt.sent_s, attempt.ended_s)
            counts = self.beside_changes if is_beside else self.without_changes
            counts.requests += 1
            if attempt.ending in CUT_ENDINGS:
                cause = self.find_cause(attempt)
                counts.cuts[cause] += 1
                self._check_cut(attempt, cause, told)
            elif attempt.ending is callers.Ending.GIVEN_UP:
                self._check_given_up(attempt)
            elif attempt.ending is callers.Ending.BEHIND_LAST:
                self._check_behind(attempt)

    def find_cause(self, attempt: invariants.Attempt) -> str:
        """Returns why a request may have been cut, or `UNEXPLAINED`."""
        history = self._history
        took_s = attempt.ended_s - attempt.sent_s
        causes = [
            fault.cause
            for fault in [*history.disturbances, *history.upstream_faults]
            if fault.concerns(attempt.entry, attempt.sent_s, attempt.ended_s)
        ]
        if invariants.KILLED in causes:
            return invariants.KILLED
        if (
            attempt.ending is callers.Ending.NO_HEAD
            and attempt.request_id not in history.runs
            and took_s - attempt.pause_s <= LOSS_SLACK_S
        ):
            return CROSSED
        # A caller that pauses learns late that the answer before has ended.
        begun_s = attempt.sent_s if attempt.pause_s else attempt.turn_s
        limit_s = self._get_least_limit_s(attempt) - LIMIT_MARGIN_S
        if attempt.ended_s - begun_s >= limit_s:
            return TIME_LIMIT
        return min(causes, default=UNEXPLAINED)

    def _describe(self, attempt: invariants.Attempt) -> str:
        runs = self._history.runs.get(attempt.request_id, [])
        return (
            f"{attempt.request_id} ({attempt.kind}, sent to {attempt.entry} at"
            f" {attempt.sent_s:.2f} s, read {attempt.pause_s:.2f} s later,"
            f" runs {runs})"
        )

    def _check_cut(
        self,
        attempt: invariants.Attempt,
        cause: str,
        told: dict[str, set[str]],
    ) -> None:
        took_s = attempt.ended_s - attempt.sent_s
        described = (
            f"{self._describe(attempt)} was cut after {took_s:.2f} s"
            f" ({attempt.ending.value}, {cause})"
        )
        if cause == UNEXPLAINED:
            self._history.violations.append(f"{described} without a reason")
        is_told = attempt.request_id in told.get(attempt.entry, ())
        if cause not in (invariants.KILLED, CROSSED) and not is_told:
            self._history.violations.append(
                f"{described} without a line in the log of {attempt.entry}"
            )

    def _check_given_up(self, attempt: invariants.Attempt) -> None:
        if not self._history.was_held_up(
            attempt.entry, attempt.sent_s, attempt.ended_s
        ):
            waited_s = attempt.ended_s - attempt.turn_s
            self._history.violations.append(
                f"{self._describe(attempt)} had no complete answer and no end"
                f" of its connection after {waited_s:.2f} s"
            )

    def _check_behind(self, attempt: invariants.Attempt) -> None:
        if attempt.request_id in self._history.runs:
            self._history.violations.append(
                f"{self._describe(attempt)} ran although the answer before it"
                " was the last one on its connection"
            )
