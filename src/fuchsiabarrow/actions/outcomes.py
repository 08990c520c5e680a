"""Outcomes of requests for an action."""

import dataclasses
import math

from fuchsiabarrow.actions import journals

__all__ = ["Outcome", "make_from_record", "make_not_run", "make_unknown"]

# Longer than the clock skew between entries (``journals.CLOCK_SKEW_S``), so
# that a retry may claim a key whose claim was released.
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a request.

    Attributes:
        state: ``COMPLETED``, ``FAILED``, ``NOT_RUN`` or ``UNKNOWN``.
        status: HTTP status of the service's response, 0 if there is none.
        body: Body of the service's response in bytes.
        detail: Explanation for the caller.
        retry_after_s: Time in seconds after which to ask or send again, None
            if the outcome is final.
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
        detail=f"{detail}; ask for the outcome by its key, or send the request"
        " again with the same key",
        retry_after_s=RETRY_AFTER_S,
    )


def make_not_run(detail: str) -> Outcome:
    """Returns the outcome of a call that did not run.

    It runs later only if the request is sent again.
    """
    return Outcome(
        journals.State.NOT_RUN,
        detail=f"{detail}; send the request again with the same key",
        retry_after_s=RETRY_AFTER_S,
    )


def make_not_run_by_entry(is_first_attempt: bool, reason: str) -> Outcome:
    """Returns the outcome of a request whose call this entry did not run.

    Only the caller knows whether it sent an earlier request with the same key
    to another entry, which may have run the call.

    Args:
        is_first_attempt: Whether the caller states that it never sent the
            key before.
        reason: Why the call was not run.
    """
    if is_first_attempt:
        return make_not_run(reason)
    return make_unknown(f"{reason}; an earlier request may have run the call")


def make_from_record(
    record: journals.Record, requested_at_s: float = math.inf
) -> Outcome:
    """Returns the outcome of a request according to the record of its key.

    "Not run" is reported only if it was recorded after the request arrived:
    then neither this request nor an earlier one can claim the key any more.

    Args:
        record: Record of the key.
        requested_at_s: Wall time at which the request arrived.
    """
    if record.state in journals.FINAL_STATES:
        return Outcome(record.state, record.status, record.body)
    if record.state is journals.State.NOT_RUN:
        if record.settled_at_s >= requested_at_s:
            return make_not_run("the call was not sent")
        return make_unknown("an earlier request may still be in progress")
    if record.state is journals.State.CLAIMED:
        return make_unknown("another request with this key is in progress")
    return make_unknown("the response of the service was lost")
