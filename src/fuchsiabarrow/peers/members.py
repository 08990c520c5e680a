"""SWIM membership of entries; free of I/O.

In each period an entry probes one other entry, in shuffled round-robin order.
If that one does not answer, a few others are asked to probe it before it is
marked suspect. A suspected entry has a limited time to refute the suspicion
with a larger incarnation number (Das, Gupta, Motivala, "SWIM: Scalable
Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002).
The cost per entry does not grow with the number of entries.
"""

import enum
import random

import msgspec

from fuchsiabarrow.peers import items

__all__ = ["Member", "MemberList", "Status", "decode_member"]

KIND = "member"
# Item versions reserved per incarnation, one for each status.
STATUS_COUNT = 4


class Status(enum.IntEnum):
    """Status of a member.

    Within an incarnation a larger value overrides a smaller one.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True):
    """An entry, as described to the other entries.

    Attributes:
        name: Unique name.
        address: ``ip:port`` for other entries.
        operator_address: ``ip:port`` of the operators' API.
        region: Region in which it runs.
        failure_domain: Failure domain in which it runs.
        incarnation: Increases when the entry restarts or refutes a suspicion.
        status: Last known status.
    """

    name: str
    address: str
    operator_address: str = ""
    region: str = ""
    failure_domain: str = ""
    incarnation: int = 0
    status: Status = Status.ALIVE


def make_item(member: Member, expires_at_s: float) -> items.Item:
    """Returns the replicated item that describes a member."""
    version = member.incarnation * STATUS_COUNT + member.status
    value = msgspec.msgpack.encode(member)
    return items.Item(f"{KIND}/{member.name}", version, value, expires_at_s)


def decode_member(item: items.Item) -> Member:
    """Returns the member that an item describes."""
    return msgspec.msgpack.decode(item.value, type=Member)


class MemberList:
    """The known members, and which of them to probe next.

    Attributes:
        own: This entry.

    Args:
        own: This entry.
        random_source: Random number generator.
    """

    def __init__(self, own: Member, random_source: random.Random):
        self.own = own
        self._random_source = random_source
        self._members: dict[str, Member] = {}
        self._suspected_at_s: dict[str, float] = {}
        self._probe_order: list[str] = []

    def update(self, member: Member, now_s: float) -> Member | None:
        """Applies a newer item about a member.

        Returns:
            This entry with a larger incarnation, if it has to refute that it is
            suspect or dead; else None.
        """
        if member.name == self.own.name:
            self._members[self.own.name] = self.own
            return self._refute(member)
        self._members[member.name] = member
        if member.status is Status.SUSPECT:
            self._suspected_at_s.setdefault(member.name, now_s)
        else:
            self._suspected_at_s.pop(member.name, None)
        return None

    def _refute(self, member: Member) -> Member | None:
        needs_no_refutation = (
            member.incarnation < self.own.incarnation
            or member.status in (Status.ALIVE, Status.LEFT)
        )
        if needs_no_refutation:
            return None
        self.own = msgspec.structs.replace(
            self.own, incarnation=member.incarnation + 1
        )
        self._members[self.own.name] = self.own
        return self.own

    def find(self, name: str) -> Member | None:
        """Returns the member with a name, None if there is none."""
        return self._members.get(name)

    def remove(self, name: str) -> None:
        """Removes a member whose item expired; this entry is kept."""
        if name != self.own.name:
            self._members.pop(name, None)
            self._suspected_at_s.pop(name, None)

    def get_all(self) -> list[Member]:
        """Returns all members, dead and departed ones included."""
        return list(self._members.values())

    def get_live(self) -> list[Member]:
        """Returns the alive and the suspect members, this entry included."""
        return [
            member
            for member in self._members.values()
            if member.status in (Status.ALIVE, Status.SUSPECT)
        ]

    def get_dead(self) -> list[Member]:
        """Returns the members that were declared dead."""
        return [
            member
            for member in self._members.values()
            if member.status is Status.DEAD
        ]

    def choose_probe_target(self) -> Member | None:
        """Returns the member to probe next, None if there is no other."""
        while True:
            if not self._probe_order:
                self._probe_order = [
                    member.name
                    for member in self.get_live()
                    if member.name != self.own.name
                ]
                self._random_source.shuffle(self._probe_order)
            if not self._probe_order:
                return None
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.status <= Status.SUSPECT:
                return member

    def sample_live(self, count: int, excluded: set[str]) -> list[Member]:
        """Returns a random sample of live members, without this entry.

        Args:
            count: Size of the sample; smaller if fewer members qualify.
            excluded: Names of members to leave out.
        """
        candidates = [
            member
            for member in self.get_live()
            if member.name != self.own.name and member.name not in excluded
        ]
        return self._random_source.sample(
            candidates, min(count, len(candidates))
        )

    def make_suspect(self, name: str) -> Member | None:
        """Returns a copy of a member with status suspect.

        Returns None if the member is unknown or not alive. The list changes
        only when the copy is passed to `update`.
        """
        member = self._members.get(name)
        if member is None or member.status is not Status.ALIVE:
            return None
        return msgspec.structs.replace(member, status=Status.SUSPECT)

    def find_expired_suspects(
        self, now_s: float, limit_s: float
    ) -> list[Member]:
        """Returns copies, with status dead, of suspects past the time limit.

        Args:
            now_s: Loop time.
            limit_s: Time in which a suspicion can be refuted.
        """
        return [
            msgspec.structs.replace(self._members[name], status=Status.DEAD)
            for name, since_s in self._suspected_at_s.items()
            if now_s - since_s > limit_s
        ]
