"""Clocks for leases, deadlines and timestamps.

The choice of clock matters for the safety of leases and deadlines.
"""

from collections.abc import Callable
import time

__all__ = ["Clock", "read_boot_time_s", "read_wall_time_s"]

Clock = Callable[[], float]


def read_boot_time_s() -> float:
    """Returns seconds since boot, counting the time spent suspended.

    ``CLOCK_MONOTONIC`` does not advance while a machine is suspended, so a
    deadline measured with it can appear not to have passed long after it has
    (see clock_gettime(2)).
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_time_s() -> float:
    """Returns the seconds since the Unix epoch."""
    return time.time()
