"""Clocks whose choice matters for safety."""

from collections.abc import Callable
import time

__all__ = ["Clock", "read_boot_time_s", "read_wall_time_s"]

Clock = Callable[[], float]


def read_boot_time_s() -> float:
    """Returns seconds since boot, counting the time spent suspended.

    ``CLOCK_MONOTONIC`` stands still while a machine is suspended, so that a
    deadline measured on it can be met long after it passed (clock_gettime(2)).
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_time_s() -> float:
    """Returns the seconds since the Unix epoch."""
    return time.time()
