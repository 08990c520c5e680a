"""Decides whether a received configuration takes effect, without I/O."""

import enum

from fuchsiabarrow.configuration import parts

__all__ = ["Verdict", "decide_adoption"]


class Verdict(enum.Enum):
    """What to do with a head that was received.

    The values of the alarms are the keys of ``ConfigurationService.alarms``.
    """

    ADOPT = "adopt"
    KEEP = "keep"
    ALARM_REVERTED = "reverted"
    ALARM_DIVERGED = "diverged"


def decide_adoption(in_force: parts.Head, received: parts.Head) -> Verdict:
    """Compares a head that was received with the one in force.

    A smaller number means a stale read or a store restored from a backup. The
    same number with other parts means that the store was restored from a
    backup and then patched. In neither case does the configuration in force
    change.
    """
    if received.number > in_force.number:
        return Verdict.ADOPT
    if received.number < in_force.number:
        return Verdict.ALARM_REVERTED
    if received.parts != in_force.parts:
        return Verdict.ALARM_DIVERGED
    return Verdict.KEEP
