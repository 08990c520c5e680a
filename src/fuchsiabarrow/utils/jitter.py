"""Retry delays, and random jitter for them and for periods."""

import random

__all__ = ["compute_backoff_s", "compute_ceiling_s", "spread_period_s"]

# Periods are varied by up to this fraction in either direction.
PERIOD_SPREAD = 0.2
# Any limit is reached before; a float cannot hold 2 to the number of failures
# of some hours.
MAX_DOUBLINGS = 16


def spread_period_s(period_s: float, source: random.Random) -> float:
    """Returns a random period, distributed uniformly around `period_s`.

    Example:
        >>> 0.8 <= spread_period_s(1.0, random.Random(1)) <= 1.2
        True
    """
    return period_s * source.uniform(1 - PERIOD_SPREAD, 1 + PERIOD_SPREAD)


def compute_ceiling_s(attempt: int, base_s: float, limit_s: float) -> float:
    """Returns a time that doubles with each attempt, up to a limit.

    Args:
        attempt: Number of earlier failures, from 0; any number.
        base_s: Time for attempt 0 in seconds.
        limit_s: Limit in seconds.
    """
    return min(limit_s, base_s * 2 ** min(attempt, MAX_DOUBLINGS))


def compute_backoff_s(
    attempt: int, base_s: float, limit_s: float, source: random.Random
) -> float:
    """Returns an exponential backoff delay with full jitter.

    Args:
        attempt: Number of earlier failures, from 0; the upper bound of the
            delay doubles with each.
        base_s: Upper bound of the delay for attempt 0 in seconds.
        limit_s: Upper bound of all delays in seconds.
        source: Random number generator.
    """
    return source.uniform(0, compute_ceiling_s(attempt, base_s, limit_s))
