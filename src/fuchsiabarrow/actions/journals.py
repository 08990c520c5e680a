"""Journals of claims and outcomes, and the operations on them, without I/O.

A journal is an object in the store that holds the records of many keys. It is
changed only by conditional writes, so that the operations below always apply to
the version that they replace. A request that finds its key claimed by another
one does not run the call.
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


# Assumed maximum difference between the clocks of two entries. The retry delay
# that callers get with the outcome "not run" is longer than this.
CLOCK_SKEW_S = 0.5

# States after which no call is sent again with the same key.
FINAL_STATES = frozenset({State.COMPLETED, State.FAILED})


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Claim and outcome of a key.

    Attributes:
        state: State of the call.
        owner: Entry that holds the claim.
        nonce: Identifier of the claim, unique to one execution of one request.
        fence: Fencing token of the claim; increases with each claim.
        claimed_at_s: Wall time of the claim, for operators and takeovers.
        request: Digest of the request's body; a retry must have the same.
        status: HTTP status of the service's response.
        body: Body of the service's response in bytes.
        settled_at_s: Wall time at which the outcome was recorded; that of the
            claim if there is no outcome yet.
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
    """Contents of a journal.

    Attributes:
        records: Records by key digest.
    """

    records: dict[str, Record] = {}


class Claimant(msgspec.Struct, frozen=True, array_like=True):
    """The entry and the request that claim a key.

    Attributes:
        owner: Name of the entry.
        nonce: Identifier that is unique to one execution of one request.
        request: Digest of the request's body.
        requested_at_s: Wall time at which the request arrived.
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
    """Claims a key that has no record, or whose call was recorded as not run.

    A caller may rely on the outcome "not run", so a request that arrived before
    it was recorded may no longer claim the key; only a later request may. The
    operation is idempotent: if it is applied again after a lost response, it
    finds its own nonce and changes nothing.

    An entry that was paused does not apply the operation after it has expired,
    as its sender may have given up by then.

    Attributes:
        digest: Key digest.
        claimant: Entry and request that claim the key.
        valid_until_s: Wall time after which the operation has no effect.
    """

    claimant: Claimant
    valid_until_s: float

    def apply(self, current: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the current one."""
        if now_s > self.valid_until_s:
            return current
        if current is None:
            return _make_record(State.CLAIMED, self.claimant, current)
        settled_at_s = current.settled_at_s + CLOCK_SKEW_S
        is_later = self.claimant.requested_at_s > settled_at_s
        is_claimable = current.state is State.NOT_RUN and is_later
        if not is_claimable or current.nonce == self.claimant.nonce:
            return current
        return _make_record(State.CLAIMED, self.claimant, current)


class TakeOver(_Operation):
    """Claims a key whose claim has expired or has an unknown outcome.

    Only for services that check fencing tokens or deduplicate by key, because
    the previous holder may have been paused and may still send the call.

    Attributes:
        digest: Key digest.
        claimant: Entry and request that claim the key.
        lapse_s: Age from which a claim without an outcome has expired.
    """

    claimant: Claimant
    lapse_s: float

    def apply(self, current: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the current one."""
        if current is None or current.nonce == self.claimant.nonce:
            return current
        has_expired = (
            current.state is State.CLAIMED
            and self.claimant.now_s - current.claimed_at_s >= self.lapse_s
        )
        if not has_expired and current.state is not State.UNKNOWN:
            return current
        return _make_record(State.CLAIMED, self.claimant, current)


class GiveBack(_Operation):
    """Releases a claim that may or may not have been written.

    It always changes the journal, even if the record stays as it is, so that a
    conditional write of the claim that is still in flight fails. It may be
    applied only after the claim has expired (``Claim.valid_until_s``).

    Attributes:
        digest: Key digest.
        claimant: Entry and request that made the claim.
        state: ``NOT_RUN`` if no call was sent, else ``UNKNOWN``.
        now_s: Wall time in seconds.
    """

    claimant: Claimant
    state: State
    now_s: float

    def apply(self, current: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the current one."""
        if current is None:
            record = _make_record(self.state, self.claimant, current)
            return msgspec.structs.replace(record, settled_at_s=self.now_s)
        is_own = current.nonce == self.claimant.nonce
        is_own_claim = is_own and current.state is State.CLAIMED
        if is_own_claim or current.state is State.NOT_RUN:
            return _update_state(current, self.state, self.now_s)
        return msgspec.structs.replace(current)


class ConfirmNotRun(_Operation):
    """Confirms that a call that was recorded as not run is not run later.

    Requests that arrived until now can no longer claim the key.

    Attributes:
        digest: Key digest.
        now_s: Wall time in seconds.
    """

    now_s: float

    def apply(self, current: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the current one."""
        if current is None or current.state is not State.NOT_RUN:
            return current
        return _update_state(current, State.NOT_RUN, self.now_s)


class Settle(_Operation):
    """Records the outcome of a claim, unless it was taken over.

    Attributes:
        digest: Key digest.
        nonce: Nonce of the claim.
        state: Outcome.
        now_s: Wall time in seconds.
        status: HTTP status of the service's response.
        body: Body of the service's response in bytes.
    """

    nonce: str
    state: State
    now_s: float
    status: int = 0
    body: bytes = b""

    def apply(self, current: Record | None, now_s: float) -> Record | None:
        """Returns the record that replaces the current one."""
        if current is None or current.nonce != self.nonce:
            return current
        if current.state not in (State.CLAIMED, State.UNKNOWN):
            return current
        return msgspec.structs.replace(
            current,
            state=self.state,
            status=self.status,
            body=self.body,
            settled_at_s=self.now_s,
        )


Operation = Claim | TakeOver | GiveBack | ConfirmNotRun | Settle


def _make_record(
    state: State, claimant: Claimant, current: Record | None
) -> Record:
    fence = current.fence + 1 if current is not None else 1
    return Record(
        state,
        claimant.owner,
        claimant.nonce,
        fence,
        claimant.now_s,
        claimant.request,
        settled_at_s=claimant.now_s,
    )


def _update_state(current: Record, state: State, now_s: float) -> Record:
    """Returns the record with a state recorded now."""
    settled_at_s = max(now_s, current.settled_at_s)
    return msgspec.structs.replace(
        current, state=state, settled_at_s=settled_at_s
    )


def apply_operations(
    journal: Journal, operations: list[Operation], now_s: float
) -> tuple[Journal, list[Record | None]]:
    """Returns the resulting journal and the record after each operation.

    If nothing changed, the journal is the object that was passed.

    Args:
        journal: Journal as stored.
        operations: Operations in the order in which to apply them.
        now_s: Wall time in seconds.
    """
    records = dict(journal.records)
    results = []
    is_changed = False
    for operation in operations:
        before = records.get(operation.digest)
        after = operation.apply(before, now_s)
        results.append(after)
        if after is not before:
            records[operation.digest] = after
            is_changed = True
    return (Journal(records) if is_changed else journal), results
