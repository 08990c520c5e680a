"""Limits concurrent loads from the weight store across all entries.

A load needs a slot. Each slot is a lease, so the number of slots limits the
concurrent loads of all entries (router processes) together. The slot of an
entry that died is free again after the lease term, even if the engine that was
ordered to load is still loading.
"""

from fuchsiabarrow.leases import service as leases_service

__all__ = ["SLOT_PREFIX", "SlotPool"]

SLOT_PREFIX = "weight-slot-"


class SlotPool:
    """Slots that this entry holds, and the instances that load under them.

    Args:
        leases: Leases of this entry.
        count: Number of slots in the fleet.
    """

    def __init__(self, leases: leases_service.LeasesService, count: int):
        self._leases = leases
        self._names = [f"{SLOT_PREFIX}{n}" for n in range(count)]
        self._instances_by_slot: dict[str, str] = {}

    async def renew(self) -> None:
        """Renews the slots in use."""
        for name in list(self._instances_by_slot):
            await self._leases.renew_or_acquire(name, may_acquire=False)

    async def take(self, instance_id: str) -> bool:
        """Takes a slot for a load; returns whether the instance has one."""
        if instance_id in self._instances_by_slot.values():
            return True
        for name in self._names:
            if name in self._instances_by_slot:
                continue
            await self._leases.renew_or_acquire(name, may_acquire=True)
            if self._leases.get_fence(name) is not None:
                self._instances_by_slot[name] = instance_id
                return True
        return False

    async def release_idle(self, loading: set[str], polled: set[str]) -> None:
        """Releases the slots of polled instances that did not report loading.

        Args:
            loading: Instances that reported that they are loading.
            polled: Instances whose state was requested.
        """
        for name, instance_id in list(self._instances_by_slot.items()):
            if instance_id in polled and instance_id not in loading:
                del self._instances_by_slot[name]
                await self._leases.release(name)
