"""Journals of claims and outcomes, and what may be done to them; no I/O.

A journal is one object of the store that holds the records of many keys. It is
only changed by conditional writes, so the operations below are applied to the
version that is replaced, and one that found the key claimed by another never
runs the call.
"""

from collections.abc import Callable
import dataclasses
import enum

import msgspec

__all__ = [
    "FINAL_STATES",
    "Claimant",
    "Journal",
    "Operation",
    "Record",
    "State",
    "apply_operations",
    "claim",
    "confirm_not_run",
    "give_back",
    "settle",
    "take_over",
]


class State(enum.Enum):
    """State of a key's record."""

    CLAIMED = "claimed"
    COMPLETED = "completed"
    FAILED = "failed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


# Largest difference between the clocks of two entries. Callers that are told
# "not run" are told to wait for longer than this before they send again.
CLOCK_SKEW_S = 0.5

# States after which nothing is ever sent under the same key again.
FINAL_STATES = frozenset({State.COMPLETED, State.FAILED})


class Record(msgspec.Struct, frozen=True, array_like=True):
    """What is known of a key.

    Attributes:
        state: State of the call.
        owner: Entry that holds the claim.
        nonce: Mark of the claim, unique to one execution of one request.
        fence: Fencing number of the claim; grows with each claim.
        claimed_at_s: Wall time of the claim, for operators and takeovers.
        request: Digest of the request's body; a resend must have the same.
        status: Status that the service answered.
        body: Answer of the service, in bytes.
        settled_at_s: Wall time of the outcome.
    """

    state: State
    owner: str
    nonce: str
    fence: int
    claimed_at_s: float
    request: str = ""
    status: int = 0
    body: bytes = b""
    settled_at_s: float = 0.0


class Journal(msgspec.Struct, frozen=True):
    """Records by key digest.

    Attributes:
        records: The records.
    """

    records: dict[str, Record] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Claimant:
    """Who claims a key.

    Attributes:
        owner: Name of the entry.
        nonce: Unique to one execution of one request.
        request: Digest of the request's body.
        requested_at_s: Wall time at which the request came in.
        now_s: Wall time of the claim.
    """

    owner: str
    nonce: str
    request: str
    requested_at_s: float
    now_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One change of one record.

    Attributes:
        digest: Key digest.
        change: Returns the new record for the old one; the same object when
            nothing changes.
        is_claim: Whether it may add a record.
    """

    digest: str
    change: Callable[[Record | None], Record | None]
    is_claim: bool = False


def _make_record(
    state: State, claimant: Claimant, found: Record | None
) -> Record:
    fence = found.fence + 1 if found is not None else 1
    return Record(
        state,
        claimant.owner,
        claimant.nonce,
        fence,
        claimant.now_s,
        claimant.request,
        settled_at_s=claimant.now_s,
    )


def claim(digest: str, claimant: Claimant) -> Operation:
    """Claims a key that nobody holds, or whose call was given back unrun.

    A caller that was told "not run" may rely on it, so a request that was on
    its way before that may no longer claim the key; only one that came in
    later may. Applying the operation again after a lost answer finds the same
    nonce and changes nothing.
    """

    def change(found: Record | None) -> Record | None:
        if found is None:
            return _make_record(State.CLAIMED, claimant, found)
        is_later = claimant.requested_at_s > found.settled_at_s + CLOCK_SKEW_S
        is_free = found.state is State.NOT_RUN and is_later
        if not is_free or found.nonce == claimant.nonce:
            return found
        return _make_record(State.CLAIMED, claimant, found)

    return Operation(digest, change, is_claim=True)


def take_over(digest: str, claimant: Claimant, lapse_s: float) -> Operation:
    """Claims a key whose claim lapsed, or ended in an unknown outcome.

    Only for services that check fencing numbers or deduplicate by key: the
    former holder may still wake and send.
    """

    def change(found: Record | None) -> Record | None:
        if found is None or found.nonce == claimant.nonce:
            return found
        has_lapsed = (
            found.state is State.CLAIMED
            and claimant.now_s - found.claimed_at_s >= lapse_s
        )
        if not has_lapsed and found.state is not State.UNKNOWN:
            return found
        return _make_record(State.CLAIMED, claimant, found)

    return Operation(digest, change)


def give_back(
    digest: str, claimant: Claimant, state: State, now_s: float
) -> Operation:
    """Ends a claim whose write may or may not have taken effect.

    Where the claim could still succeed (no record, or a call given back unrun)
    it writes a record, so that the conditional write in doubt fails.

    Args:
        digest: Key digest.
        claimant: Who claimed it.
        state: ``NOT_RUN`` if nothing was sent, else ``UNKNOWN``.
        now_s: Wall time in seconds.
    """

    def change(found: Record | None) -> Record | None:
        if found is None:
            record = _make_record(state, claimant, found)
            return msgspec.structs.replace(record, settled_at_s=now_s)
        if found.state is State.NOT_RUN:
            return _renew(found, state, now_s)
        if found.nonce != claimant.nonce or found.state is not State.CLAIMED:
            return found
        return _renew(found, state, now_s)

    return Operation(digest, change)


def confirm_not_run(digest: str, now_s: float) -> Operation:
    """Makes "not run" hold against all requests that came in before now."""

    def change(found: Record | None) -> Record | None:
        if found is None or found.state is not State.NOT_RUN:
            return found
        return _renew(found, State.NOT_RUN, now_s)

    return Operation(digest, change)


def _renew(found: Record, state: State, now_s: float) -> Record:
    """Returns the record with a state that holds from now on."""
    settled_at_s = max(now_s, found.settled_at_s)
    return msgspec.structs.replace(
        found, state=state, settled_at_s=settled_at_s
    )


def settle(
    digest: str,
    nonce: str,
    state: State,
    now_s: float,
    status: int = 0,
    body: bytes = b"",
) -> Operation:
    """Records the outcome of a claim that still stands under a nonce."""

    def change(found: Record | None) -> Record | None:
        if found is None or found.nonce != nonce:
            return found
        if found.state not in (State.CLAIMED, State.UNKNOWN):
            return found
        return msgspec.structs.replace(
            found, state=state, status=status, body=body, settled_at_s=now_s
        )

    return Operation(digest, change)


def apply_operations(
    journal: Journal, operations: list[Operation]
) -> tuple[Journal, list[Record | None]]:
    """Returns the changed journal and the record after each operation.

    The same journal object is returned when nothing changed.
    """
    records = dict(journal.records)
    results = []
    is_changed = False
    for operation in operations:
        before = records.get(operation.digest)
        after = operation.change(before)
        results.append(after)
        if after is not before:
            records[operation.digest] = after
            is_changed = True
    return (Journal(records) if is_changed else journal), results
