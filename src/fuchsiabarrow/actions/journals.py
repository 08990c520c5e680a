"""Journals of claims and outcomes, and what may be done to them; no I/O.

A journal is one object of the store that holds the records of many keys. It is
only changed by conditional writes, so the operations below are applied to the
version that is replaced, and one that found the key claimed by another never
runs the call.
"""

import enum

import msgspec

__all__ = [
    "FINAL_STATES",
    "Claim",
    "Claimant",
    "ConfirmNotRun",
    "GiveBack",
    "Journal",
    "Operation",
    "Record",
    "Settle",
    "State",
    "TakeOver",
    "apply_operations",
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


class Claimant(msgspec.Struct, frozen=True, array_like=True):
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


class _Operation(msgspec.Struct, frozen=True, array_like=True, tag=True):
    digest: str


class Claim(_Operation):
    """Claims a key that nobody holds, or whose call was given back unrun.

    A caller that was told "not run" may rely on it, so a request that was on
    its way before that may no longer claim the key; only one that came in
    later may. Applying the operation again after a lost answer finds the same
    nonce and changes nothing.

    An operation that lay with an entry that was paused is not applied after
    its time: its sender may have given up by then.

    Attributes:
        digest: Key digest.
        claimant: Who claims it.
        valid_until_s: Wall time from which it is not applied any more.
    """

    claimant: Claimant
    valid_until_s: float

    def change(self, found: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the one found."""
        if now_s > self.valid_until_s:
            return found
        if found is None:
            return _make_record(State.CLAIMED, self.claimant, found)
        settled_at_s = found.settled_at_s + CLOCK_SKEW_S
        is_later = self.claimant.requested_at_s > settled_at_s
        is_free = found.state is State.NOT_RUN and is_later
        if not is_free or found.nonce == self.claimant.nonce:
            return found
        return _make_record(State.CLAIMED, self.claimant, found)


class TakeOver(_Operation):
    """Claims a key whose claim lapsed, or ended in an unknown outcome.

    Only for services that check fencing numbers or deduplicate by key: the
    former holder may still wake and send.

    Attributes:
        digest: Key digest.
        claimant: Who claims it.
        lapse_s: Age from which a claim without an outcome has lapsed.
    """

    claimant: Claimant
    lapse_s: float

    def change(self, found: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the one found."""
        if found is None or found.nonce == self.claimant.nonce:
            return found
        has_lapsed = (
            found.state is State.CLAIMED
            and self.claimant.now_s - found.claimed_at_s >= self.lapse_s
        )
        if not has_lapsed and found.state is not State.UNKNOWN:
            return found
        return _make_record(State.CLAIMED, self.claimant, found)


class GiveBack(_Operation):
    """Ends a claim whose write may or may not have taken effect.

    It always writes, so that a conditional write that is in doubt fails, and
    is to be applied only when the claim is no longer valid.

    Attributes:
        digest: Key digest.
        claimant: Who claimed it.
        state: ``NOT_RUN`` if nothing was sent, else ``UNKNOWN``.
        now_s: Wall time in seconds.
    """

    claimant: Claimant
    state: State
    now_s: float

    def change(self, found: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the one found."""
        if found is None:
            record = _make_record(self.state, self.claimant, found)
            return msgspec.structs.replace(record, settled_at_s=self.now_s)
        is_own = found.nonce == self.claimant.nonce
        is_own_claim = is_own and found.state is State.CLAIMED
        if is_own_claim or found.state is State.NOT_RUN:
            return _renew(found, self.state, self.now_s)
        return msgspec.structs.replace(found)


class ConfirmNotRun(_Operation):
    """Makes "not run" hold against all requests that came in before now.

    Attributes:
        digest: Key digest.
        now_s: Wall time in seconds.
    """

    now_s: float

    def change(self, found: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the one found."""
        if found is None or found.state is not State.NOT_RUN:
            return found
        return _renew(found, State.NOT_RUN, self.now_s)


class Settle(_Operation):
    """Records the outcome of a claim that still stands under a nonce.

    Attributes:
        digest: Key digest.
        nonce: Nonce of the claim.
        state: Outcome.
        now_s: Wall time in seconds.
        status: Status that the service answered.
        body: Answer of the service in bytes.
    """

    nonce: str
    state: State
    now_s: float
    status: int = 0
    body: bytes = b""

    def change(self, found: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the one found."""
        if found is None or found.nonce != self.nonce:
            return found
        if found.state not in (State.CLAIMED, State.UNKNOWN):
            return found
        return msgspec.structs.replace(
            found,
            state=self.state,
            status=self.status,
            body=self.body,
            settled_at_s=self.now_s,
        )


Operation = Claim | TakeOver | GiveBack | ConfirmNotRun | Settle


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


def _renew(found: Record, state: State, now_s: float) -> Record:
    """Returns the record with a state that holds from now on."""
    settled_at_s = max(now_s, found.settled_at_s)
    return msgspec.structs.replace(
        found, state=state, settled_at_s=settled_at_s
    )


def apply_operations(
    journal: Journal, operations: list[Operation], now_s: float
) -> tuple[Journal, list[Record | None]]:
    """Returns the changed journal and the record after each operation.

    The same journal object is returned when nothing changed.

    Args:
        journal: Journal as stored.
        operations: Operations in order.
        now_s: Wall time in seconds.
    """
    records = dict(journal.records)
    results = []
    is_changed = False
    for operation in operations:
        before = records.get(operation.digest)
        after = operation.change(before, now_s)
        results.append(after)
        if after is not before:
            records[operation.digest] = after
            is_changed = True
    return (Journal(records) if is_changed else journal), results
