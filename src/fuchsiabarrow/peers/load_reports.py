"""Tells other entries what this one has in flight, over UDP.

A lost report is replaced by the next one. Entries learn of each other from any
report, so that one address that answers is enough to join.
"""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import random

import logbook
import xxhash

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.limits import crashes as crashes_module
from fuchsiabarrow.peers import groups
from fuchsiabarrow.peers import report_codec
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import addresses as addresses_module
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["LoadReports", "Settings"]

MILLISECONDS_PER_S = 1000.0
MAX_CRASHES_TOLD = 8
# An entry whose list is older gives no orders.
CURRENT_S = 3.2
# Time in which a new process hears of all entries, and how many it assumes
# until then.
HEARING_S = 1.5
ASSUMED_ENTRIES = 16
# Periods after which others know in the mean of work told by way of speakers:
# half of one on each of three hops.
GROUPED_LAG_PERIODS = 1.5
# Bytes of sums that one entry is sent a second by a speaker; with longer sums
# the period grows (letter 1 allows 18 KB/s a node for all control).
SUM_BYTES_PER_S = 6000.0

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the load reports.

    Attributes:
        name: Name of this entry.
        failure_domain: Its failure domain.
        address: ``ip:port`` for UDP.
        seeds: Addresses of entries that may be up.
        period_s: Time between two reports.
        idle_period_s: The same while nothing is in flight.
        grouped_period_s: The same among many entries.
        alive_s: An entry that was heard within this time is alive.
        forget_s: An entry that was not heard for this time is forgotten.
        seed_period_s: Time between two calls to silent seeds.
    """

    name: str
    failure_domain: str
    address: str
    seeds: tuple[str, ...] = ()
    period_s: float = 0.25
    idle_period_s: float = 0.5
    grouped_period_s: float = 0.4
    alive_s: float = 1.6
    forget_s: float = 6.0
    seed_period_s: float = 2.0


class LoadReports(asyncio.DatagramProtocol):
    """Exchanges load reports with other entries.

    Args:
        directory: Upstreams.
        ledger: Takes in what others have in flight.
        crashes: Takes in which requests crashed their upstreams elsewhere.
        note_suspect: Told the upstreams that others avoid.
        get_configuration_age_s: Returns the age of the configuration.
        settings: Addresses and periods.
        source: Random source.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        ledger: loads.Ledger,
        crashes: crashes_module.CrashCounts,
        note_suspect: Callable[[upstreams.Upstream, str], None],
        get_configuration_age_s: Callable[[], float],
        settings: Settings,
        source: random.Random,
    ):
        self.is_stopping = False
        self._directory = directory
        self._ledger = ledger
        self._crashes = crashes
        self._note_suspect = note_suspect
        self._get_configuration_age_s = get_configuration_age_s
        self._settings = settings
        self._source = source
        self._incarnation = int(clocks.read_wall_time_s() * MILLISECONDS_PER_S)
        self._sequence = 0
        loop = asyncio.get_running_loop()
        self._read_time_s = loop.time
        self._started_s = loop.time()
        self._groups = groups.Groups(
            report_codec.Contact(
                settings.name, settings.failure_domain, settings.address
            ),
            settings.alive_s,
            settings.forget_s,
            _log_peer,
        )
        # Sums taken over into the ledger, by who told them.
        self._taken: dict[str, summaries.Summary] = {}
        self._sum_bytes = 0
        # Addresses that may belong to an entry, and when they were called.
        self._called_s: dict[str, float] = {
            seed: float("-inf")
            for seed in settings.seeds
            if seed != settings.address
        }
        self._marks: dict[int, upstreams.Upstream] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "LoadReports":
        loop = asyncio.get_running_loop()
        host, port = addresses_module.parse_address(self._settings.address)
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._directory.add_listener(self._index)
        self._index()
        self._task = asyncio.create_task(
            tasks.repeat("load_reports", self._tell, self._get_period_s)
        )
        return self

    async def __aexit__(self, *details) -> None:
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()

    # Who is there.

    def count_live(self) -> int:
        """Returns how many entries are alive, this one included."""
        return self._groups.count_live(self._read_time_s())

    def count_sharing(self) -> int:
        """Returns how many entries to divide a common allowance by.

        A process that has just started may not have heard the others yet.
        """
        if self._read_time_s() - self._started_s < HEARING_S:
            return max(ASSUMED_ENTRIES, self.count_live())
        return self.count_live()

    def is_first(self) -> bool:
        """Tells whether this entry has duties that one entry performs.

        It is the first by name of those that are alive, do not stop and know
        the current list of upstreams.
        """
        if self.is_stopping:
            return False
        sources = self._groups.get_sources(self._read_time_s())
        return all(
            not summary.first or summary.first >= self._settings.name
            for summary in sources.values()
        )

    def find_list_informed(self, limit_s: float) -> list[str]:
        """Returns entries whose list of upstreams is younger.

        The one with the youngest comes first.
        """
        return self._find_younger(limit_s, lambda s: s.list_informed)

    def find_configuration_informed(self, limit_s: float) -> list[str]:
        """Returns entries whose configuration is younger, youngest first."""
        return self._find_younger(limit_s, lambda s: s.configuration_informed)

    def _find_younger(
        self,
        limit_s: float,
        get_informed: Callable[
            [summaries.Summary], tuple[summaries.Informed, ...]
        ],
    ) -> list[str]:
        now_s = self._read_time_s()
        found = [
            informed
            for summary in self._groups.get_sources(now_s).values()
            for informed in get_informed(summary)
            if informed.current_s > now_s - limit_s
            and informed.address != self._settings.address
        ]
        return [informed.address for informed in sorted(found, reverse=True)]

    # Sending.

    def get_lag_s(self) -> float:
        """Returns how late others know in the mean of work of this entry.

        What a few entries tell directly counts as known at once.
        """
        if not self._groups.is_grouped():
            return 0.0
        return GROUPED_LAG_PERIODS * self._get_grouped_period_s()

    def _get_grouped_period_s(self) -> float:
        return max(
            self._settings.grouped_period_s, self._sum_bytes / SUM_BYTES_PER_S
        )

    def _get_period_s(self) -> float:
        settings = self._settings
        if self._groups.is_grouped():
            period_s = self._get_grouped_period_s()
        elif self._ledger.get_own():
            period_s = settings.period_s
        else:
            period_s = settings.idle_period_s
        return jitter.spread_period_s(period_s, self._source)

    async def _tell(self) -> None:
        """Sends what is due in this period."""
        now_s = self._read_time_s()
        self._groups.expire(now_s)
        self._take_over(now_s)
        own = self._summarise(now_s)
        self._sequence += 1
        self._groups.note_sent(self._sequence, own)
        for message in self._groups.plan(now_s):
            self._send(message, own, now_s)
        self._call_silent(own, now_s)

    async def tell_now(self) -> None:
        """Sends a report out of turn."""
        await self._tell()

    def _call_silent(self, own: summaries.Summary, now_s: float) -> None:
        """Sends a report to addresses that may belong to an entry."""
        known = set(self._groups.get_addresses())
        due = [
            address
            for address, called_s in self._called_s.items()
            if address not in known
            and now_s - called_s > self._settings.seed_period_s
        ]
        for address in due:
            self._called_s[address] = now_s
        entry = report_codec.Scope.ENTRY
        self._send(groups.Message(entry, tuple(due)), own, now_s)

    def _send(
        self, message: groups.Message, own: summaries.Summary, now_s: float
    ) -> None:
        if not message.addresses:
            return
        scope = message.scope
        report = report_codec.Report(
            self._settings.name,
            self._settings.failure_domain,
            self._incarnation,
            self._sequence,
            scope,
            self._groups.sum_up(scope, own, now_s),
            self._groups.select_contacts(scope, self._source.sample, now_s),
        )
        data = report_codec.encode(report, now_s)
        if scope is report_codec.Scope.ALL:
            self._sum_bytes = len(data)
        for address in message.addresses:
            self._transport.sendto(
                data, addresses_module.parse_address(address)
            )

    def _summarise(self, now_s: float) -> summaries.Summary:
        """Returns what this entry tells of itself."""
        settings, directory = self._settings, self._directory
        list_age_s = directory.get_age_s()
        configuration_age_s = self._get_configuration_age_s()
        is_able = not self.is_stopping and list_age_s < CURRENT_S
        return summaries.Summary(
            1,
            settings.name if is_able else "",
            {
                compute_mark(key): load
                for key, load in self._ledger.get_own().items()
            },
            {
                compute_mark(upstream.key): now_s + left_s
                for upstream, left_s in directory.get_avoided()
            },
            dict(self._crashes.get_own(MAX_CRASHES_TOLD)),
            (summaries.Informed(now_s - list_age_s, settings.address),),
            (
                summaries.Informed(
                    now_s - configuration_age_s, settings.address
                ),
            ),
        )

    # Receiving.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Implements `asyncio.DatagramProtocol.connection_made`."""
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Implements `asyncio.DatagramProtocol.error_received`.

        A closed port of an entry that stopped; its silence says the same.
        """

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Implements `asyncio.DatagramProtocol.datagram_received`."""
        now_s = self._read_time_s()
        try:
            report = report_codec.decode(data, now_s)
        except exceptions.PeerError as error:
            _log.warning(
                logs.format_event(
                    "load_report_invalid", sender=addr[0], error=error
                )
            )
            return
        if report.scope is report_codec.Scope.ALL:
            self._sum_bytes = len(data)
        address = f"{addr[0]}:{addr[1]}"
        answer = self._groups.take(report, address, now_s)
        self._take_over(now_s)
        if answer is not None:
            self._send(answer, summaries.Summary(0), now_s)

    def _take_over(self, now_s: float) -> None:
        """Brings ledger and crash counts to what is known now."""
        sources = self._groups.get_sources(now_s)
        for reporter in [r for r in self._taken if r not in sources]:
            del self._taken[reporter]
            self._ledger.drop_report(reporter)
        for reporter, summary in sources.items():
            if self._taken.get(reporter) is not summary:
                self._taken[reporter] = summary
                self._take_summary(reporter, summary, now_s)
        # One count whoever tells it, as the same crash comes by several ways
        # where speakers change.
        crashed: collections.Counter[int] = collections.Counter()
        for summary in sources.values():
            crashed.update(summary.crashes)
        self._crashes.take_report("others", crashed.items())

    def _take_summary(
        self, reporter: str, summary: summaries.Summary, now_s: float
    ) -> None:
        marks = self._marks
        self._ledger.take_report(
            reporter,
            (
                (marks[mark].key, load)
                for mark, load in summary.loads.items()
                if mark in marks
            ),
        )
        for mark, until_s in summary.suspects.items():
            upstream = marks.get(mark)
            if (
                upstream is not None
                and until_s > now_s
                and not self._directory.is_avoided(upstream)
            ):
                self._note_suspect(upstream, reporter)

    def _index(self) -> None:
        self._marks = {
            compute_mark(u.key): u for u in self._directory.get_all()
        }


def _log_peer(contact: report_codec.Contact, is_new: bool) -> None:
    _log.info(
        logs.format_event(
            "entry_heard" if is_new else "entry_silent",
            name=contact.name,
            address=contact.address,
        )
    )


def compute_mark(key: tuple[str, int]) -> int:
    """Returns a short name of an upstream's incarnation."""
    return xxhash.xxh3_64_intdigest(f"{key[0]}/{key[1]}".encode())
