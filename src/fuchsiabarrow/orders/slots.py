"""Slots for loads from the weight store, shared by all entries.

A slot is a lease, so that at most a given number of loads are ordered at once,
whoever orders them. A slot whose holder is gone is free again after its term;
an engine that was ordered to load may then still do so.
"""

from fuchsiabarrow.leases import service as leases_service

__all__ = ["SLOT_PREFIX", "SlotPool"]

SLOT_PREFIX = "weight-slot-"


class SlotPool:
    """The slots that this entry holds, and what it holds them for.

    Args:
        leases: Leases of this entry.
        count: Slots of the fleet.
    """

    def __init__(self, leases: leases_service.LeasesService, count: int):
        self._leases = leases
        self._names = [f"{SLOT_PREFIX}{n}" for n in range(count)]
        self._uses: dict[str, str] = {}

    async def renew(self) -> None:
        """Renews the slots in use."""
        for name in list(self._uses):
            await self._leases.pursue(name, is_wanted=False)

    async def take(self, instance_id: str) -> bool:
        """Takes a slot for a load; returns whether there was one."""
        if instance_id in self._uses.values():
            return True
        for name in self._names:
            if name in self._uses:
                continue
            await self._leases.pursue(name, is_wanted=True)
            if self._leases.get_fence(name) is not None:
                self._uses[name] = instance_id
                return True
        return False

    async def release_ended(self, loading: set[str], known: set[str]) -> None:
        """Gives up the slots of loads that are done.

        Args:
            loading: Instances that report a load.
            known: Instances whose state was asked for.
        """
        for name, instance_id in list(self._uses.items()):
            if instance_id in known and instance_id not in loading:
                del self._uses[name]
                await self._leases.give_up(name)
