"""Decides which heads may come into force; free of I/O."""

import enum

from fuchsiabarrow.configuration import parts

__all__ = ["Verdict", "judge_head"]


class Verdict(enum.Enum):
    """What to do about a head that was read."""

    ADOPT = "adopt"
    KEEP = "keep"
    ALARM_REVERTED = "reverted"
    ALARM_DIVERGED = "diverged"


def judge_head(in_force: parts.Head, found: parts.Head) -> Verdict:
    """Compares a head that was read with the one in force.

    A smaller number is a stale read or a store restored from a copy. The same
    number with other parts means that a restored store was patched again. In
    neither case does the configuration in force change.
    """
    if found.number > in_force.number:
        return Verdict.ADOPT
    if found.number < in_force.number:
        return Verdict.ALARM_REVERTED
    if found.parts != in_force.parts:
        return Verdict.ALARM_DIVERGED
    return Verdict.KEEP
