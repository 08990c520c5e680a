"""Spreads items among entries and keeps their membership.

News go at once to a few entries at random, which pass them on; a probe a period
carries the digest of the whole table, and where it differs the tables are
compared, so that what the news missed arrives within a few periods.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import aiohttp
import logbook
import msgspec
import xxhash

from fuchsiabarrow import exceptions
from fuchsiabarrow.peers import items as items_module
from fuchsiabarrow.peers import members as members_module
from fuchsiabarrow.peers import transport
from fuchsiabarrow.ports import objects
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import listeners
from fuchsiabarrow.utils import tasks

__all__ = ["PeersService", "Settings"]

ENTRY_KIND = "entry"
MILLISECONDS_PER_S = 1000
# A live entry is remembered until it is declared dead or leaves.
LIVE_MEMBER_LIFETIME_S = 10 * 365 * 86400.0

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the messages between entries.

    Attributes:
        address: ``ip:port`` for other entries.
        key: Key that all entries share; empty for none.
        seeds: Addresses of entries to ask first, if the store is down.
        timeout_s: Bound on a call; two round trips between regions, and more.
        probe_period_s: Mean time between probes.
        helpers: Entries asked to probe one that did not answer.
        suspicion_s: Time for a suspected entry to object.
        fanout: Entries that news are sent to at once.
        rejoin_period_s: Mean time between calls to entries that were declared
            dead, or to those in the store.
        member_expiry_s: How long a dead or departed entry is remembered.
    """

    address: str = "127.0.0.1:0"
    key: str = ""
    seeds: list[str] = []
    timeout_s: float = 1.0
    probe_period_s: float = 1.0
    helpers: int = 2
    suspicion_s: float = 3.0
    fanout: int = 4
    rejoin_period_s: float = 10.0
    member_expiry_s: float = 3600.0


Listener = Callable[[items_module.Item], None]
# Answers a question of another entry; None if it cannot tell.
Answer = Callable[[bytes], Awaitable[bytes | None]]


class PeersService:
    """One entry among others.

    Attributes:
        members: Membership.
        client: Calls other entries.

    Args:
        session: HTTP session, owned by the caller.
        own: This entry; its address is filled in from the settings.
        store: Object API, which names the entries to join.
        settings: Addresses and periods.
        source: Random source.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: members_module.Member,
        store: objects.ObjectStore,
        settings: Settings,
        source: random.Random,
    ):
        self.members = members_module.MemberList(own, source)
        self._table = items_module.ItemTable()
        self._store = store
        self._settings = settings
        self._source = source
        self.client = transport.PeerClient(
            session, settings.timeout_s, settings.key
        )
        self._listeners: dict[str, list[Listener]] = {}
        self._tasks: set[asyncio.Task] = set()
        handlers = transport.Handlers(
            self._answer_exchange,
            self._table.compare,
            self._probe_directly,
            self._answer_question,
        )
        self._answers: dict[str, Answer] = {}
        self._server = listeners.Listener(
            transport.make_app(handlers, settings.key), settings.address
        )

    async def __aenter__(self) -> "PeersService":
        await self._server.__aenter__()
        incarnation = int(clocks.read_wall_time_s() * MILLISECONDS_PER_S)
        self.members.own = msgspec.structs.replace(
            self.members.own,
            address=self._server.address,
            incarnation=incarnation,
        )
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._server.__aexit__(*details)

    async def join(self, operator_address: str) -> None:
        """Makes this entry known and starts to probe others.

        Args:
            operator_address: ``ip:port`` for operators, as bound.
        """
        self.members.own = msgspec.structs.replace(
            self.members.own, operator_address=operator_address
        )
        self._publish_member(self.members.own)
        await self._contact_others()
        self._repeat(
            "peer_probe", self._run_probe, self._settings.probe_period_s
        )
        self._repeat("rejoin", self._rejoin, self._settings.rejoin_period_s)

    async def leave(self) -> None:
        """Tells others that this entry stops, and waits until some know."""
        left = msgspec.structs.replace(
            self.members.own, status=members_module.Status.LEFT
        )
        item = self._make_member_item(left)
        self._table.merge([item], clocks.read_wall_time_s())
        targets = self.members.draw(self._settings.fanout, set())
        await asyncio.gather(*(self._send(m, [item]) for m in targets))
        try:
            await self._store.delete(ENTRY_KIND, self.members.own.name)
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("leave_without_store", error=error))

    def get_period_s(self, fleet_rate_per_s: float, least_s: float) -> float:
        """Returns the period of a task that all entries share.

        Args:
            fleet_rate_per_s: How often all entries together are to do it.
            least_s: Smallest period of one entry.
        """
        return max(least_s, self.count_live() / fleet_rate_per_s)

    def count_live(self) -> int:
        """Returns how many entries are alive, this one included."""
        return len(self.members.get_live())

    def add_listener(self, kind: str, listener: Listener) -> None:
        """Calls a listener with each item of a kind that is news here."""
        self._listeners.setdefault(kind, []).append(listener)

    def publish(
        self, key: str, version: int, value: bytes, lifetime_s: float
    ) -> None:
        """Tells all entries an item, unless a version as new is known."""
        now_s = clocks.read_wall_time_s()
        item = items_module.Item(key, version, value, now_s + lifetime_s)
        self._take_over([item])

    def get_item(self, key: str) -> items_module.Item | None:
        """Returns what is known under a key."""
        return self._table.get(key)

    def get_table_digest(self) -> int:
        """Returns the digest of all that is known here."""
        return self._table.digest

    def _make_member_item(self, member) -> items_module.Item:
        lifetime_s = LIVE_MEMBER_LIFETIME_S
        if member.status > members_module.Status.SUSPECT:
            lifetime_s = self._settings.member_expiry_s
        now_s = clocks.read_wall_time_s()
        return members_module.make_item(member, now_s + lifetime_s)

    def _publish_member(self, member: members_module.Member) -> None:
        self._take_over([self._make_member_item(member)])

    def _start_task(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _repeat(self, name: str, work, period_s: float) -> None:
        def get_pause_s() -> float:
            return jitter.spread_period_s(period_s, self._source)

        self._start_task(
            tasks.repeat(name, work, get_pause_s, pauses_first=True)
        )

    # Items.

    def _take_over(self, found: list[items_module.Item]) -> None:
        """Merges items, acts on the news and passes them on."""
        news = self._table.merge(found, clocks.read_wall_time_s())
        if not news:
            return
        for item in news:
            if item.kind == members_module.KIND:
                self._update_member(item)
            for listener in self._listeners.get(item.kind, ()):
                listener(item)
        for member in self.members.draw(self._settings.fanout, set()):
            self._start_task(self._send(member, news))

    def _update_member(self, item: items_module.Item) -> None:
        now_s = asyncio.get_running_loop().time()
        member = members_module.decode_member(item)
        objection = self.members.update(member, now_s)
        if objection is not None:
            self._publish_member(objection)
        elif member.name != self.members.own.name:
            _log.info(
                logs.format_event(
                    "member",
                    name=member.name,
                    status=member.status.name.lower(),
                )
            )

    def _answer_exchange(self, digest: int, found: list[items_module.Item]):
        del digest  # The caller compares the digests.
        self._take_over(found)
        own = self._table.get(f"{members_module.KIND}/{self.members.own.name}")
        return self._table.digest, [own] if own is not None else []

    async def _send(
        self, member: members_module.Member, found: list[items_module.Item]
    ) -> bool:
        """Sends items to an entry; returns whether it answered."""
        return await self._exchange(member.address, found)

    async def _exchange(
        self, address: str, found: list[items_module.Item]
    ) -> bool:
        before = self._table.digest
        try:
            digest, answered = await self.client.exchange(
                address, before, found
            )
            self._take_over(answered)
            if not found and digest != self._table.digest:
                await self._compare_tables(address)
        except exceptions.PeerError:
            return False
        return True

    async def _compare_tables(self, address: str) -> None:
        lacking, wanted = await self.client.compare(
            address, self._table.get_versions()
        )
        self._take_over(lacking)
        found = [self._table.get(key) for key in wanted]
        known = [item for item in found if item is not None]
        if known:
            await self.client.exchange(address, self._table.digest, known)

    # Questions.

    def add_answer(self, service: str, answer: Answer) -> None:
        """Answers the questions of other entries to a service."""
        self._answers[service] = answer

    async def _answer_question(self, service: str, body: bytes):
        answer = self._answers.get(service)
        return None if answer is None else await answer(body)

    async def ask_some(self, service: str, body: bytes) -> bytes | None:
        """Asks a few entries in turn; None if none of them can tell."""
        for member in self.members.draw(self._settings.fanout, set()):
            try:
                return await self.client.ask(member.address, service, body)
            except exceptions.PeerError:
                continue
        return None

    def find_owner(self, name: str) -> members_module.Member | None:
        """Returns the entry that a name falls to, None for this one.

        All entries with the same view of who is alive find the same one
        (Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
        Rates", IEEE/ACM Transactions on Networking 6(1), 1998).
        """
        alive = [
            member
            for member in self.members.get_live()
            if member.status is members_module.Status.ALIVE
        ]

        def compute_weight(member: members_module.Member) -> int:
            return xxhash.xxh3_64_intdigest(f"{member.name}/{name}".encode())

        owner = max(alive, key=compute_weight, default=None)
        if owner is None or owner.name == self.members.own.name:
            return None
        return owner

    # Membership.

    async def _run_probe(self) -> None:
        """Forgets what expired, probes one entry and declares lapsed ones."""
        self._expire(clocks.read_wall_time_s())
        await self._probe_next()
        now_s = asyncio.get_running_loop().time()
        for dead in self.members.find_lapsed(now_s, self._settings.suspicion_s):
            self._publish_member(dead)

    def _expire(self, now_s: float) -> None:
        for item in self._table.expire(now_s):
            if item.kind == members_module.KIND:
                self.members.forget(item.name)

    async def _probe_next(self) -> None:
        member = self.members.take_turn()
        if member is None or await self._exchange(member.address, []):
            return
        helpers = self.members.draw(self._settings.helpers, {member.name})
        answers = await asyncio.gather(
            *(self._probe_through(helper, member) for helper in helpers)
        )
        if any(answers):
            return
        suspect = self.members.suspect(member.name)
        if suspect is not None:
            self._publish_member(suspect)

    async def _probe_through(self, helper, member) -> bool:
        try:
            return await self.client.probe(helper.address, member.address)
        except exceptions.PeerError:
            return False

    async def _probe_directly(self, address: str) -> bool:
        return await self._exchange(address, [])

    # Joining.

    async def _contact_others(self) -> None:
        """Finds entries from the seeds and the store and compares tables.

        This entry writes its address before it reads those of the others: of
        two that start at once, the one that wrote later sees the other.
        """
        addresses = set(self._settings.seeds)
        try:
            await self._register()
            stored = await self._store.list(ENTRY_KIND)
            addresses.update(item.value.decode() for item in stored)
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("join_without_store", error=error))
        addresses.discard(self._server.address)
        chosen = self._source.sample(
            sorted(addresses), min(self._settings.fanout, len(addresses))
        )
        await asyncio.gather(*(self._exchange(a, []) for a in chosen))

    async def _register(self) -> None:
        """Writes this entry's address to the store for those that join."""
        name = self.members.own.name
        own = await self._store.get(ENTRY_KIND, name)
        version = own.version if own else objects.ABSENT_VERSION
        value = self._server.address.encode()
        if own is None or own.value != value:
            await self._store.put(ENTRY_KIND, name, value, version)

    async def _rejoin(self) -> None:
        """Calls an entry that was declared dead: a partition may be over."""
        dead = self.members.get_dead()
        if dead:
            await self._exchange(self._source.choice(dead).address, [])
        elif self.count_live() == 1:
            await self._contact_others()
