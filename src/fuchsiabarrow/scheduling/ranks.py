"""Decisions by the rank of a request; without I/O.

The rank of a request and the ranks that share a service follow from the
configuration (`fuchsiabarrow.catalogs.documents`). The functions here take the
position of a rank in the order of its service. It is 0.0 for the most urgent
rank and wherever ranks are not mixed; each function is the identity there, so
that ranks change decisions only between requests that compete.
"""

from fuchsiabarrow.catalogs import documents

__all__ = [
    "get_memory_fraction",
    "get_retry_reserve",
    "get_wire_priority",
    "scale_retry_after",
]

# Least urgent priority that can be stated to an upstream.
MAX_WIRE_PRIORITY = 9
# Fraction of an instance's usable context memory that the least urgent requests
# leave free. It is given by the requirements (docs/hard-load.md).
MAX_FREE_FRACTION = 0.15
# Part of the retry budget beyond one retry that the least urgent requests
# leave: four retries of nine with nine entries.
MAX_RETRY_RESERVE = 0.5
# By how much later than the most urgent requests the least urgent ones return,
# as a fraction. Callers honour a time only up to a third of what they have
# left, so that a much longer one has no further effect.
MAX_RETRY_DELAY = 0.5


def get_wire_priority(
    order: documents.RankOrder, rank: documents.RankKey
) -> int | None:
    """Returns the priority to state to upstreams, None to state none.

    Args:
        order: Ranks of the requests of the service.
        rank: Rank of the request.
    """
    if not order.is_mixed:
        return None
    return min(MAX_WIRE_PRIORITY, order.get_index(rank))


def get_memory_fraction(position: float) -> float:
    """Returns the fraction of the context memory that a request may fill.

    Args:
        position: Position of its rank, from 0.0 to 1.0.
    """
    return 1.0 - MAX_FREE_FRACTION * position


def get_retry_reserve(position: float) -> float:
    """Returns the part of the retry budget that a request must leave.

    Args:
        position: Position of its rank, from 0.0 to 1.0.

    Returns:
        The reserve for `limits.budgets.SharedRetryBudget.try_withdraw`.
    """
    return MAX_RETRY_RESERVE * position


def scale_retry_after(position: float, retry_after_s: float) -> float:
    """Returns after what time a caller may retry, later if less urgent.

    Args:
        position: Position of the request's rank, from 0.0 to 1.0.
        retry_after_s: The time for the most urgent requests.
    """
    return retry_after_s * (1.0 + MAX_RETRY_DELAY * position)
