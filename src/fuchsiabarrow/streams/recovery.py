"""Decides what follows the failure of an attempt; free of I/O.

An attempt has a KV cache of its own on each stage, and each of its steps is
sent with the position that it is for. When anything about an attempt is in
doubt it is abandoned, and a new attempt fills all stages from the prompt and
the tokens sent so far. No layer is then applied twice in the same KV cache, and
no token that was sent can change.
"""

import dataclasses
import enum

from fuchsiabarrow import exceptions

__all__ = ["FAILURES", "Cause", "Decision", "decide", "find_cause"]


class Cause(enum.Enum):
    """Why an attempt ended early."""

    DIED = "died"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    DRAINING = "draining"
    BUSY = "busy"
    POSITION = "position"
    MOVED = "moved"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do next.

    Attributes:
        goes_on: Whether another attempt is made.
        avoids: Whether the next attempt avoids the instance.
        costs_retry: Whether the next attempt takes from the retry budget.
    """

    goes_on: bool
    avoids: bool
    costs_retry: bool


# Causes that count against the instance.
FAILURES = frozenset({Cause.DIED, Cause.UNREACHABLE, Cause.SILENT})

# An engine without the layers is loading others; it is tried again soon.
_CAUSES = {
    "draining": Cause.DRAINING,
    "busy": Cause.BUSY,
    "layers": Cause.BUSY,
}


def find_cause(error: exceptions.InstanceError) -> Cause:
    """Returns the cause behind an error of a step."""
    if isinstance(error, exceptions.InstanceRefusedError):
        return _CAUSES.get(error.reason, Cause.DRAINING)
    if isinstance(error, exceptions.StepRefusedError):
        return Cause.POSITION
    if isinstance(error, exceptions.InstanceSilentError):
        return Cause.SILENT
    if isinstance(error, exceptions.InstanceDiedError):
        return Cause.DIED
    return Cause.UNREACHABLE


def decide(cause: Cause, attempts: int, attempt_limit: int) -> Decision:
    """Returns what follows the end of an attempt.

    A planned move never ends a stream and is not a retry.

    Args:
        cause: Why the attempt ended.
        attempts: Attempts made so far that were not planned moves.
        attempt_limit: Most such attempts.
    """
    if cause is Cause.MOVED:
        return Decision(goes_on=True, avoids=False, costs_retry=False)
    return Decision(
        goes_on=attempts < attempt_limit,
        avoids=cause is not Cause.POSITION,
        costs_retry=True,
    )
