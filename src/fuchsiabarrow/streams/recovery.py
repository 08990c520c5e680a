"""Decides what follows the failure of an attempt; performs no I/O.

An attempt has its own KV cache on each stage, and each of its steps names the
position that it applies to. When the state of an attempt is uncertain, it is
abandoned, and a new attempt repeats the prefill on all stages from the prompt
and the tokens sent so far. Thus no layer is applied twice to the same position
of a KV cache, and a token that was sent never changes.
"""

import dataclasses
import enum

from fuchsiabarrow import exceptions

__all__ = [
    "INSTANCE_FAILURES",
    "Cause",
    "Decision",
    "classify_error",
    "decide_next_attempt",
]


class Cause(enum.Enum):
    """Why an attempt ended early.

    Attributes:
        DIED: The connection was lost while a step was pending.
        UNREACHABLE: The instance could not be reached.
        SILENT: A step was not answered in time, or incompletely.
        DRAINING: The instance refused the step; it takes no new work.
        BUSY: The instance refused the step, but may accept one soon.
        POSITION: The step did not continue from the position of the KV cache.
        MOVED: The stream was moved to another chain; nothing failed.
    """

    DIED = "died"
    UNREACHABLE = "unreachable"
    SILENT = "silent"
    DRAINING = "draining"
    BUSY = "busy"
    POSITION = "position"
    MOVED = "moved"


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What to do after an attempt has ended.

    Attributes:
        should_continue: Whether another attempt is made.
        avoids_instance: Whether further attempts avoid the instance.
        uses_retry_budget: Whether the next attempt counts against the retry
            budget.
    """

    should_continue: bool
    avoids_instance: bool
    uses_retry_budget: bool


# Causes that are recorded as a failure of the instance.
INSTANCE_FAILURES = frozenset({Cause.DIED, Cause.UNREACHABLE, Cause.SILENT})

# Causes by the reason of a refusal. "layers" means that the engine does not
# hold the layers because it is loading others; like a busy one, it is retried
# soon.
_CAUSES_BY_REASON = {
    "draining": Cause.DRAINING,
    "busy": Cause.BUSY,
    "layers": Cause.BUSY,
}


def classify_error(error: exceptions.InstanceError) -> Cause:
    """Returns the cause of an error of a step."""
    if isinstance(error, exceptions.InstanceRefusedError):
        return _CAUSES_BY_REASON.get(error.reason, Cause.DRAINING)
    if isinstance(error, exceptions.CachePositionError):
        return Cause.POSITION
    if isinstance(error, exceptions.InstanceTimeoutError):
        return Cause.SILENT
    if isinstance(error, exceptions.InstanceConnectionLostError):
        return Cause.DIED
    return Cause.UNREACHABLE


def decide_next_attempt(
    cause: Cause, attempts: int, attempt_limit: int
) -> Decision:
    """Returns what follows the end of an attempt.

    A planned move never ends a stream and is not a retry.

    Args:
        cause: Why the attempt ended.
        attempts: Number of failed attempts so far, without planned moves.
        attempt_limit: Maximum number of such attempts.
    """
    if cause is Cause.MOVED:
        return Decision(
            should_continue=True, avoids_instance=False, uses_retry_budget=False
        )
    return Decision(
        should_continue=attempts < attempt_limit,
        avoids_instance=cause is not Cause.POSITION,
        uses_retry_budget=True,
    )
