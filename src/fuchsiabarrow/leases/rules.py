"""When a lease is held and when it may be taken over; free of I/O.

No two clocks are compared. A holder counts its term from before it sent the
write that renewed the lease; another entry counts the same term from when it
first saw that write, which is later. When the second has counted the term and a
margin for clocks that run unlike, the first has passed its end (Gray and
Cheriton, "Leases: An Efficient Fault-Tolerant Mechanism for Distributed File
Cache Consistency", SOSP 1989). Both clocks count suspension.
"""

import dataclasses

import msgspec

__all__ = ["Holding", "LeaseRecord", "Observation", "may_take_over"]

# Largest difference in rate of two clocks, and time between the last check of a
# lease and the first byte of what it allows, as a part of the term.
MARGIN_FRACTION = 0.25


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as stored.

    Attributes:
        holder: Entry that holds it; empty if it was given up.
        nonce: Unique to one holder's run.
        fence: Fencing number; grows with each change of holder.
        count: Renewals by this holder.
    """

    holder: str
    nonce: str
    fence: int
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A lease that this entry holds.

    Attributes:
        record: The lease as written.
        version: Version of the object.
        started_s: Time before the write was sent.
    """

    record: LeaseRecord
    version: int
    started_s: float

    def is_valid(self, now_s: float, term_s: float) -> bool:
        """Tells whether the holder may act."""
        return now_s - self.started_s < term_s * (1 - MARGIN_FRACTION)


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """Another entry's lease as first seen by this one.

    Attributes:
        record: The lease.
        version: Version of the object.
        seen_at_s: Time after it was first read.
    """

    record: LeaseRecord
    version: int
    seen_at_s: float


def may_take_over(
    observation: Observation, now_s: float, term_s: float
) -> bool:
    """Tells whether a lease was given up or has lapsed for certain."""
    if not observation.record.holder:
        return True
    return now_s - observation.seen_at_s > term_s * (1 + MARGIN_FRACTION)
