"""When a lease is valid and when it may be taken over; performs no I/O.

Clocks of different machines are never compared. The holder measures the term
from before it sent the write that renewed the lease; another entry (router
process) measures it from when it first read that write, which is later. When
the other entry has measured the term plus a margin for differing clock rates,
the lease has expired by the holder's clock too (Gray and Cheriton, "Leases: An
Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", SOSP
1989). Both clocks advance while the machine is suspended.
"""

import dataclasses

import msgspec

__all__ = ["HeldLease", "LeaseRecord", "ObservedLease", "can_take_over"]

# Safety margin as a fraction of the term. Covers the largest difference in rate
# of two clocks, and the time between the last check of a lease and the first
# byte sent under it.
MARGIN_FRACTION = 0.25


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as stored.

    Attributes:
        holder: Name of the entry that holds it; empty if it was released.
        nonce: Unique id of the holder's process.
        fence: Fencing token; increases with each change of holder.
        count: Number of renewals by this holder.
    """

    holder: str
    nonce: str
    fence: int
    count: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this entry holds.

    Attributes:
        record: The lease as written.
        version: Version of the stored object.
        started_s: When the term began: just before the write was sent.
    """

    record: LeaseRecord
    version: int
    started_s: float

    def is_valid(self, now_s: float, term_s: float) -> bool:
        """Returns whether the holder may act under the lease."""
        return now_s - self.started_s < term_s * (1 - MARGIN_FRACTION)


@dataclasses.dataclass(frozen=True, slots=True)
class ObservedLease:
    """A stored lease that this entry does not hold, as it last read it.

    Attributes:
        record: The lease as read.
        version: Version of the stored object.
        seen_at_s: Time just after this version was first read.
    """

    record: LeaseRecord
    version: int
    seen_at_s: float


def can_take_over(observed: ObservedLease, now_s: float, term_s: float) -> bool:
    """Returns whether a lease was released or has certainly expired."""
    if not observed.record.holder:
        return True
    return now_s - observed.seen_at_s > term_s * (1 + MARGIN_FRACTION)
