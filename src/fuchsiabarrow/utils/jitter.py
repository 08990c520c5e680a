"""Random spread for periods and delays."""

import random

__all__ = ["compute_backoff_s", "spread_period_s"]

# Fraction of a period by which it is spread to either side.
PERIOD_SPREAD = 0.2


def spread_period_s(period_s: float, source: random.Random) -> float:
    """Returns a period spread evenly around `period_s`.

    Example:
        >>> 0.8 <= spread_period_s(1.0, random.Random(1)) <= 1.2
        True
    """
    return period_s * source.uniform(1 - PERIOD_SPREAD, 1 + PERIOD_SPREAD)


def compute_backoff_s(
    attempt: int, base_s: float, limit_s: float, source: random.Random
) -> float:
    """Returns an exponential delay with full jitter.

    Args:
        attempt: Number of failures so far, from 0.
        base_s: Mean delay scale of the first retry in seconds.
        limit_s: Upper bound of the delay in seconds.
        source: Random source.
    """
    ceiling_s = min(limit_s, base_s * 2 ** min(attempt, 16))
    return source.uniform(0, ceiling_s)
