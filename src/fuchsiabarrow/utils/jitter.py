"""Random jitter for periods and retry delays."""

import random

__all__ = ["compute_backoff_s", "spread_period_s"]

# Periods are varied by up to this fraction in either direction.
PERIOD_SPREAD = 0.2


def spread_period_s(period_s: float, source: random.Random) -> float:
    """Returns a random period, distributed uniformly around `period_s`.

    Example:
        >>> 0.8 <= spread_period_s(1.0, random.Random(1)) <= 1.2
        True
    """
    return period_s * source.uniform(1 - PERIOD_SPREAD, 1 + PERIOD_SPREAD)


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
    ceiling_s = min(limit_s, base_s * 2 ** min(attempt, 16))
    return source.uniform(0, ceiling_s)
