"""Membership of entries by probes and suspicion; free of I/O.

Each entry probes one other a period, in shuffled turns, and asks a few to probe
it in its place before it suspects it; a suspected entry has time to object with
a larger incarnation (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", DSN 2002). The cost for an
entry does not grow with their number.
"""

import enum
import random

import msgspec

from fuchsiabarrow.peers import items

__all__ = ["Member", "MemberList", "Status", "decode_member"]

KIND = "member"
# Versions of one incarnation, by status.
STATUS_COUNT = 4


class Status(enum.IntEnum):
    """Status of a member; a later one overrides an earlier one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Member(msgspec.Struct, frozen=True):
    """An entry as others know it.

    Attributes:
        name: Unique name.
        address: ``ip:port`` for peers.
        operator_address: ``ip:port`` for operators.
        region: Region.
        failure_domain: Failure domain.
        incarnation: Grows when the entry restarts or objects.
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
    """Returns the item that tells others about a member."""
    version = member.incarnation * STATUS_COUNT + member.status
    value = msgspec.msgpack.encode(member)
    return items.Item(f"{KIND}/{member.name}", version, value, expires_at_s)


def decode_member(item: items.Item) -> Member:
    """Returns the member that an item tells about."""
    return msgspec.msgpack.decode(item.value, type=Member)


class MemberList:
    """The members that an entry knows, and whom it probes next.

    Attributes:
        own: This entry.

    Args:
        own: This entry.
        source: Random source.
    """

    def __init__(self, own: Member, source: random.Random):
        self.own = own
        self._source = source
        self._members: dict[str, Member] = {}
        self._suspected_at_s: dict[str, float] = {}
        self._turns: list[str] = []

    def update(self, member: Member, now_s: float) -> Member | None:
        """Takes over news about a member.

        Returns:
            This entry with a larger incarnation, if it was called suspect or
            dead and has to object; else None.
        """
        if member.name == self.own.name:
            self._members[self.own.name] = self.own
            return self._object(member)
        self._members[member.name] = member
        if member.status is Status.SUSPECT:
            self._suspected_at_s.setdefault(member.name, now_s)
        else:
            self._suspected_at_s.pop(member.name, None)
        return None

    def _object(self, member: Member) -> Member | None:
        is_own_news = (
            member.incarnation < self.own.incarnation
            or member.status in (Status.ALIVE, Status.LEFT)
        )
        if is_own_news:
            return None
        self.own = msgspec.structs.replace(
            self.own, incarnation=member.incarnation + 1
        )
        self._members[self.own.name] = self.own
        return self.own

    def find(self, name: str) -> Member | None:
        """Returns a member."""
        return self._members.get(name)

    def forget(self, name: str) -> None:
        """Drops a member of whom no item is left."""
        if name != self.own.name:
            self._members.pop(name, None)
            self._suspected_at_s.pop(name, None)

    def get_all(self) -> list[Member]:
        """Returns all members that are remembered."""
        return list(self._members.values())

    def get_live(self) -> list[Member]:
        """Returns the members that are alive or only suspect, own included."""
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

    def take_turn(self) -> Member | None:
        """Returns the member to probe next, None if there is no other."""
        while True:
            if not self._turns:
                self._turns = [
                    member.name
                    for member in self.get_live()
                    if member.name != self.own.name
                ]
                self._source.shuffle(self._turns)
            if not self._turns:
                return None
            member = self._members.get(self._turns.pop())
            if member is not None and member.status <= Status.SUSPECT:
                return member

    def draw(self, count: int, excluded: set[str]) -> list[Member]:
        """Returns some live members at random, never this entry."""
        usable = [
            member
            for member in self.get_live()
            if member.name != self.own.name and member.name not in excluded
        ]
        return self._source.sample(usable, min(count, len(usable)))

    def suspect(self, name: str) -> Member | None:
        """Returns the member as suspect, None if it is not alive."""
        member = self._members.get(name)
        if member is None or member.status is not Status.ALIVE:
            return None
        return msgspec.structs.replace(member, status=Status.SUSPECT)

    def find_lapsed(self, now_s: float, limit_s: float) -> list[Member]:
        """Returns as dead the suspects that did not object in time."""
        return [
            msgspec.structs.replace(self._members[name], status=Status.DEAD)
            for name, since_s in self._suspected_at_s.items()
            if now_s - since_s > limit_s
        ]
