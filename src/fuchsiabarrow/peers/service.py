"""Gossip of items among entries, and their membership.

Changed items are sent at once to a few random entries, which forward them. For
anti-entropy, each periodic probe carries the digest of the item table; if the
digests differ, the tables are compared, so that an item that gossip missed
arrives within a few periods.
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
# Effectively unlimited: a live entry is kept until it is declared dead or
# leaves.
LIVE_MEMBER_LIFETIME_S = 10 * 365 * 86400.0

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the communication between entries.

    Attributes:
        address: ``ip:port`` on which other entries call this one.
        key: Shared secret of all entries; empty for none.
        seeds: ``ip:port`` of entries to contact at start, in addition to those
            registered in the store, which may be down.
        timeout_s: Timeout of a call; allow for more than two round trips
            between regions.
        probe_period_s: Mean time between probes.
        helpers: Number of entries asked to probe one that did not answer.
        suspicion_s: Time that a suspected entry has to refute the suspicion
            before it is declared dead.
        fanout: Number of entries that a change is sent to at once.
        rejoin_period_s: Mean time between attempts to reach entries that were
            declared dead or, if no other entry is live, the seeds and those
            registered in the store.
        member_expiry_s: How long a dead or departed entry is kept in the
            member list.
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
# Returns the answer to another entry's question, None if it has none.
QuestionHandler = Callable[[bytes], Awaitable[bytes | None]]


class PeersService:
    """Membership of this entry, and its communication with other entries.

    Attributes:
        members: Known members.
        client: Client for calls to other entries.

    Args:
        session: HTTP session, owned by the caller.
        own: This entry; its address and incarnation are set at start.
        store: Object store, in which entries register their addresses.
        settings: Addresses and periods.
        random_source: Random number generator.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        own: members_module.Member,
        store: objects.ObjectStore,
        settings: Settings,
        random_source: random.Random,
    ):
        self.members = members_module.MemberList(own, random_source)
        self._table = items_module.ItemTable()
        self._store = store
        self._settings = settings
        self._random_source = random_source
        self.client = transport.PeerClient(
            session, settings.timeout_s, settings.key
        )
        self._listeners: dict[str, list[Listener]] = {}
        self._tasks: set[asyncio.Task] = set()
        handlers = transport.Handlers(
            self._handle_exchange,
            self._table.compare,
            self._probe_directly,
            self._handle_question,
        )
        self._question_handlers: dict[str, QuestionHandler] = {}
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
        """Announces this entry, contacts others and starts to probe them.

        Args:
            operator_address: ``ip:port`` to which the operators' API is bound.
        """
        self.members.own = msgspec.structs.replace(
            self.members.own, operator_address=operator_address
        )
        self._publish_member(self.members.own)
        await self._contact_known_addresses()
        self._repeat(
            "peer_probe", self._run_probe_period, self._settings.probe_period_s
        )
        self._repeat("rejoin", self._rejoin, self._settings.rejoin_period_s)

    async def leave(self) -> None:
        """Announces to a few entries that this one stops.

        Waits until these calls end, then removes its address from the store.
        """
        left = msgspec.structs.replace(
            self.members.own, status=members_module.Status.LEFT
        )
        item = self._make_member_item(left)
        self._table.merge([item], clocks.read_wall_time_s())
        targets = self.members.sample_live(self._settings.fanout, set())
        await asyncio.gather(*(self._send(m, [item]) for m in targets))
        try:
            await self._store.delete(ENTRY_KIND, self.members.own.name)
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("leave_without_store", error=error))

    def compute_shared_period_s(
        self, fleet_rate_per_s: float, min_period_s: float
    ) -> float:
        """Returns the period per entry of a task that all entries perform.

        Args:
            fleet_rate_per_s: Rate of the task over all entries together.
            min_period_s: Lower bound of the period.
        """
        return max(min_period_s, self.count_live() / fleet_rate_per_s)

    def count_live(self) -> int:
        """Returns the number of live entries, including this one."""
        return len(self.members.get_live())

    def add_listener(self, kind: str, listener: Listener) -> None:
        """Registers a listener for new and changed items of a kind."""
        self._listeners.setdefault(kind, []).append(listener)

    def publish(
        self, key: str, version: int, value: bytes, lifetime_s: float
    ) -> None:
        """Publishes an item to all entries.

        It has no effect if an item with this key and the same or a larger
        version is known.

        Args:
            key: Kind and name, as ``kind/name``.
            version: Version of the item.
            value: Content in bytes.
            lifetime_s: Time after which the item expires.
        """
        now_s = clocks.read_wall_time_s()
        item = items_module.Item(key, version, value, now_s + lifetime_s)
        self._merge_items([item])

    def get_item(self, key: str) -> items_module.Item | None:
        """Returns the item with a key, None if there is none."""
        return self._table.get(key)

    def get_table_digest(self) -> int:
        """Returns the digest of the item table."""
        return self._table.digest

    def _make_member_item(self, member) -> items_module.Item:
        lifetime_s = LIVE_MEMBER_LIFETIME_S
        if member.status > members_module.Status.SUSPECT:
            lifetime_s = self._settings.member_expiry_s
        now_s = clocks.read_wall_time_s()
        return members_module.make_item(member, now_s + lifetime_s)

    def _publish_member(self, member: members_module.Member) -> None:
        self._merge_items([self._make_member_item(member)])

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _repeat(self, name: str, action, period_s: float) -> None:
        def get_delay_s() -> float:
            return jitter.spread_period_s(period_s, self._random_source)

        self._start_task(
            tasks.run_periodically(name, action, get_delay_s, delay_first=True)
        )

    # Items.

    def _merge_items(self, items: list[items_module.Item]) -> None:
        """Merges items, processes those that changed and forwards them."""
        changed = self._table.merge(items, clocks.read_wall_time_s())
        if not changed:
            return
        for item in changed:
            if item.kind == members_module.KIND:
                self._update_member(item)
            for listener in self._listeners.get(item.kind, ()):
                listener(item)
        for member in self.members.sample_live(self._settings.fanout, set()):
            self._start_task(self._send(member, changed))

    def _update_member(self, item: items_module.Item) -> None:
        now_s = asyncio.get_running_loop().time()
        member = members_module.decode_member(item)
        refutation = self.members.update(member, now_s)
        if refutation is not None:
            self._publish_member(refutation)
        elif member.name != self.members.own.name:
            _log.info(
                logs.format_event(
                    "member",
                    name=member.name,
                    status=member.status.name.lower(),
                )
            )

    def _handle_exchange(self, digest: int, items: list[items_module.Item]):
        del digest  # The caller compares the digests.
        self._merge_items(items)
        own = self._table.get(f"{members_module.KIND}/{self.members.own.name}")
        return self._table.digest, [own] if own is not None else []

    async def _send(
        self, member: members_module.Member, items: list[items_module.Item]
    ) -> bool:
        """Sends items to an entry; returns whether it answered."""
        return await self._exchange(member.address, items)

    async def _exchange(
        self, address: str, items: list[items_module.Item]
    ) -> bool:
        """Sends items to an address; returns whether an entry answered.

        Without items this is a probe, which also compares the tables if their
        digests differ.
        """
        own_digest = self._table.digest
        try:
            digest, received = await self.client.exchange(
                address, own_digest, items
            )
            self._merge_items(received)
            if not items and digest != self._table.digest:
                await self._compare_tables(address)
        except exceptions.PeerError:
            return False
        return True

    async def _compare_tables(self, address: str) -> None:
        missing_here, wanted = await self.client.compare(
            address, self._table.get_versions()
        )
        self._merge_items(missing_here)
        items = [self._table.get(key) for key in wanted]
        present = [item for item in items if item is not None]
        if present:
            await self.client.exchange(address, self._table.digest, present)

    # Questions.

    def add_question_handler(
        self, service: str, handler: QuestionHandler
    ) -> None:
        """Registers the handler of questions to a service."""
        self._question_handlers[service] = handler

    async def _handle_question(self, service: str, body: bytes):
        handler = self._question_handlers.get(service)
        return None if handler is None else await handler(body)

    async def ask_any(self, service: str, body: bytes) -> bytes | None:
        """Asks a few random entries in turn, until one has an answer.

        Returns:
            The answer, None if none of them has one.
        """
        for member in self.members.sample_live(self._settings.fanout, set()):
            try:
                return await self.client.ask(member.address, service, body)
            except exceptions.PeerError:
                continue
        return None

    def find_remote_owner(self, name: str) -> members_module.Member | None:
        """Returns the entry that owns a name, such as that of a journal.

        Returns None if this entry owns it or knows of no alive entry. The owner
        is found by rendezvous hashing over the alive entries, so that all
        entries with the same membership view agree on it
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

    async def _run_probe_period(self) -> None:
        """Performs the work of one probe period.

        Removes expired items, probes one entry, and declares dead those that
        did not refute a suspicion in time.
        """
        self._expire(clocks.read_wall_time_s())
        await self._probe_next_member()
        now_s = asyncio.get_running_loop().time()
        for dead in self.members.find_expired_suspects(
            now_s, self._settings.suspicion_s
        ):
            self._publish_member(dead)

    def _expire(self, now_s: float) -> None:
        for item in self._table.expire(now_s):
            if item.kind == members_module.KIND:
                self.members.remove(item.name)

    async def _probe_next_member(self) -> None:
        member = self.members.choose_probe_target()
        if member is None or await self._exchange(member.address, []):
            return
        helpers = self.members.sample_live(
            self._settings.helpers, {member.name}
        )
        results = await asyncio.gather(
            *(self._probe_indirectly(helper, member) for helper in helpers)
        )
        if any(results):
            return
        suspect = self.members.make_suspect(member.name)
        if suspect is not None:
            self._publish_member(suspect)

    async def _probe_indirectly(self, helper, member) -> bool:
        try:
            return await self.client.probe(helper.address, member.address)
        except exceptions.PeerError:
            return False

    async def _probe_directly(self, address: str) -> bool:
        return await self._exchange(address, [])

    # Joining.

    async def _contact_known_addresses(self) -> None:
        """Contacts entries from the seeds and the store and compares tables.

        This entry writes its address before it reads those of the others, so
        that of two that start at once, the one that writes later finds the
        other.
        """
        addresses = set(self._settings.seeds)
        try:
            await self._register()
            stored = await self._store.list(ENTRY_KIND)
            addresses.update(item.value.decode() for item in stored)
        except exceptions.StoreError as error:
            _log.warning(logs.format_event("join_without_store", error=error))
        addresses.discard(self._server.address)
        chosen = self._random_source.sample(
            sorted(addresses), min(self._settings.fanout, len(addresses))
        )
        await asyncio.gather(*(self._exchange(a, []) for a in chosen))

    async def _register(self) -> None:
        """Writes this entry's address to the store, for joining entries."""
        name = self.members.own.name
        own = await self._store.get(ENTRY_KIND, name)
        version = own.version if own else objects.ABSENT_VERSION
        value = self._server.address.encode()
        if own is None or own.value != value:
            await self._store.put(ENTRY_KIND, name, value, version)

    async def _rejoin(self) -> None:
        """Contacts a dead entry, in case a partition has healed.

        If no entry is known to be dead and no other is live, contacts the seeds
        and the entries in the store.
        """
        dead = self.members.get_dead()
        if dead:
            await self._exchange(self._random_source.choice(dead).address, [])
        elif self.count_live() == 1:
            await self._contact_known_addresses()
