"""What became of a request for an action."""

import dataclasses
import math

from fuchsiabarrow.actions import journals

__all__ = ["Outcome", "describe", "make_not_run", "make_unknown"]

# Longer than the clock skew, so that a resend may claim a key given back.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request.

    Attributes:
        state: ``COMPLETED``, ``FAILED``, ``NOT_RUN`` or ``UNKNOWN``.
        status: Status of the service's answer, 0 without one.
        body: The service's answer in bytes.
        detail: Explanation for the caller.
        retry_after_s: When to ask or send again, None if it is final.
    """

    state: journals.State
    status: int = 0
    body: bytes = b""
    detail: str = ""
    retry_after_s: float | None = None


def make_unknown(detail: str) -> Outcome:
    """Returns the outcome of a call that may have run."""
    return Outcome(
        journals.State.UNKNOWN,
        detail=f"{detail}; ask for the outcome by its key, or send it again"
        " with the same key",
        retry_after_s=RETRY_AFTER_S,
    )


def make_not_run(detail: str) -> Outcome:
    """Returns the outcome of a key that did not run and will not."""
    return Outcome(
        journals.State.NOT_RUN,
        detail=f"{detail}; send it again with the same key",
        retry_after_s=RETRY_AFTER_S,
    )


def make_unclaimed(is_first: bool, why: str) -> Outcome:
    """Returns the outcome of a request that this entry did not send.

    Only its caller knows whether an earlier request with the key went to
    another entry, which may have run it.

    Args:
        is_first: Whether the caller says that it never sent the key before.
        why: Why it was not sent.
    """
    if is_first:
        return make_not_run(why)
    return make_unknown(f"{why}; an earlier send may have run")


def describe(
    record: journals.Record, requested_at_s: float = math.inf
) -> Outcome:
    """Returns what a record says to a request.

    "Not run" is told only if it was settled after the request came in: then no
    earlier request of the same caller can claim the key any more.

    Args:
        record: Record of the key.
        requested_at_s: Wall time at which the request came in.
    """
    if record.state in journals.FINAL_STATES:
        return Outcome(record.state, record.status, record.body)
    if record.state is journals.State.NOT_RUN:
        if record.settled_at_s >= requested_at_s:
            return make_not_run("the call was not sent")
        return make_unknown("an earlier send may still be under way")
    if record.state is journals.State.CLAIMED:
        return make_unknown("another request with this key is in progress")
    return make_unknown("the answer of the service was lost")
