"""Tells other entries what this one has in flight, over UDP.

A lost report is replaced by the next one. Entries learn of each other from any
report, so that one address that answers is enough to join.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import pathlib
import random

import capnp
import logbook
import xxhash

from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.limits import crashes as crashes_module
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import addresses as addresses_module
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["LoadReports", "Settings"]

MILLISECONDS_PER_S = 1000.0
MAX_UINT16 = 2**16 - 1
MAX_UINT32 = 2**32 - 1
# Addresses told in one report, so that it fits in one packet.
MAX_ENTRIES_TOLD = 16
MAX_SUSPECTS_TOLD = 16
MAX_CRASHES_TOLD = 8
MAX_LOADS_TOLD = 40
# An entry whose list is older gives no orders.
CURRENT_S = 3.2
MAX_AGE_S = 1e6
# Time in which a new process hears of all entries, and how many it assumes
# until then.
HEARING_S = 1.5
MANY_ENTRIES = 16
# Up to so many entries tell each other at the periods of the settings.
FEW_ENTRIES = 32

_schema = capnp.load(str(pathlib.Path(__file__).with_name("load_report.capnp")))
_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the load reports.

    Attributes:
        name: Name of this entry.
        address: ``ip:port`` for UDP.
        seeds: Addresses of entries that may be up.
        period_s: Time between two reports.
        idle_period_s: The same while nothing is in flight.
        alive_s: An entry that was heard within this time is alive.
        forget_s: An entry that was not heard for this time is forgotten.
        seed_period_s: Time between two calls to silent seeds.
    """

    name: str
    address: str
    seeds: tuple[str, ...] = ()
    period_s: float = 0.25
    idle_period_s: float = 0.5
    alive_s: float = 1.6
    forget_s: float = 6.0
    seed_period_s: float = 2.0


@dataclasses.dataclass(slots=True)
class _Entry:
    name: str
    incarnation: int
    sequence: int
    heard_s: float
    is_stopping: bool
    # Loop times at which its knowledge was current.
    list_current_s: float
    configuration_current_s: float


class LoadReports(asyncio.DatagramProtocol):
    """Exchanges load reports with all entries.

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
        self._started_s = asyncio.get_running_loop().time()
        self._entries: dict[str, _Entry] = {}
        self._silent: dict[str, float] = {
            seed: float("-inf")
            for seed in settings.seeds
            if seed != settings.address
        }
        self._keys: dict[int, upstreams.Upstream] = {}
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

    def add_addresses(self, found: Iterable[str]) -> None:
        """Learns of entries that may be up."""
        for address in found:
            if address != self._settings.address and (
                address not in self._entries
            ):
                self._silent.setdefault(address, float("-inf"))

    def count_live(self) -> int:
        """Returns how many entries are alive, this one included."""
        return 1 + len(self._get_live())

    def count_sharing(self) -> int:
        """Returns how many entries to divide a common allowance by.

        A process that has just started may not have heard the others yet.
        """
        now_s = asyncio.get_running_loop().time()
        if now_s - self._started_s < HEARING_S:
            return max(MANY_ENTRIES, self.count_live())
        return self.count_live()

    def is_first(self) -> bool:
        """Tells whether this entry has duties that one entry performs.

        It is the first by name of those that are alive, do not stop and know
        the current list of upstreams.
        """
        if self.is_stopping:
            return False
        now_s = asyncio.get_running_loop().time()
        current_s = now_s - CURRENT_S * self._get_stretch()
        return all(
            entry.is_stopping
            or entry.list_current_s < current_s
            or entry.name > self._settings.name
            for entry in self._get_live()
        )

    def find_list_informed(self, limit_s: float) -> list[str]:
        """Returns entries whose list of upstreams is younger.

        The one with the youngest comes first.
        """
        return self._find_younger(limit_s, lambda e: e.list_current_s)

    def find_configuration_informed(self, limit_s: float) -> list[str]:
        """Returns entries whose configuration is younger, youngest first."""
        return self._find_younger(limit_s, lambda e: e.configuration_current_s)

    def _find_younger(
        self, limit_s: float, get_current_s: Callable[[_Entry], float]
    ) -> list[str]:
        least_s = asyncio.get_running_loop().time() - limit_s
        found = [
            (get_current_s(entry), address)
            for address, entry in self._entries.items()
            if get_current_s(entry) > least_s
        ]
        return [address for _, address in sorted(found, reverse=True)]

    def _get_live(self) -> list[_Entry]:
        now_s = asyncio.get_running_loop().time()
        limit_s = self._settings.alive_s * self._get_stretch()
        return [
            e for e in self._entries.values() if now_s - e.heard_s < limit_s
        ]

    # Sending.

    def _get_period_s(self) -> float:
        is_idle = not self._ledger.get_own()
        settings = self._settings
        period_s = settings.idle_period_s if is_idle else settings.period_s
        return jitter.spread_period_s(
            period_s * self._get_stretch(), self._source
        )

    def _get_stretch(self) -> float:
        """Returns how much longer periods are among many entries.

        The rate of datagrams that an entry sends and gets is bounded by it.
        """
        return max(1.0, len(self._entries) / FEW_ENTRIES)

    async def _tell(self) -> None:
        """Sends one report to all known entries."""
        self._ledger.expire(self._get_stretch())
        self._forget()
        now_s = asyncio.get_running_loop().time()
        report = self._encode()
        targets = list(self._entries)
        for address, asked_s in self._silent.items():
            if now_s - asked_s > self._settings.seed_period_s:
                self._silent[address] = now_s
                targets.append(address)
        for address in targets:
            host, port = addresses_module.parse_address(address)
            self._transport.sendto(report, (host, port))

    async def tell_now(self) -> None:
        """Sends a report out of turn."""
        await self._tell()

    def _forget(self) -> None:
        now_s = asyncio.get_running_loop().time()
        for address, entry in list(self._entries.items()):
            forget_s = self._settings.forget_s * self._get_stretch()
            if now_s - entry.heard_s > forget_s:
                del self._entries[address]
                _log.info(
                    logs.format_event(
                        "entry_silent",
                        name=entry.name,
                        heard_ago_s=round(now_s - entry.heard_s, 2),
                    )
                )
                if address in self._settings.seeds:
                    self._silent[address] = now_s

    def _encode(self) -> bytes:
        self._sequence += 1
        message = _schema.LoadReport.new_message(
            sender=self._settings.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            isStopping=self.is_stopping,
            listAgeMs=_encode_age(self._directory.get_age_s()),
            configurationAgeMs=_encode_age(self._get_configuration_age_s()),
        )
        own = sorted(
            self._ledger.get_own().items(), key=lambda item: -item[1].requests
        )[:MAX_LOADS_TOLD]
        told = message.init("loads", len(own))
        for place, (key, load) in zip(told, own, strict=True):
            place.upstream = compute_mark(key)
            place.requests = min(MAX_UINT16, load.requests)
            place.entered = min(MAX_UINT16, load.entered)
            place.context = min(MAX_UINT32, int(load.context))
            place.reading = min(MAX_UINT32, max(0, int(load.reading)))
        self._encode_suspects(message)
        message.crashes = [
            {"fingerprint": fingerprint, "count": min(MAX_UINT16, count)}
            for fingerprint, count in self._crashes.get_own(MAX_CRASHES_TOLD)
        ]
        live = list(self._entries)
        known = self._source.sample(live, min(MAX_ENTRIES_TOLD, len(live)))
        message.entries = [self._settings.address, *known]
        return message.to_bytes_packed()

    def _encode_suspects(self, message) -> None:
        avoided = self._directory.get_avoided()[:MAX_SUSPECTS_TOLD]
        told = message.init("suspects", len(avoided))
        for place, (upstream, left_s) in zip(told, avoided, strict=True):
            place.upstream = compute_mark(upstream.key)
            place.forMs = int(left_s * MILLISECONDS_PER_S)

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
        try:
            report = _schema.LoadReport.from_bytes_packed(data)
            if not report.sender:
                raise ValueError("no sender")
            self._take(report, f"{addr[0]}:{addr[1]}")
        except (capnp.KjException, ValueError) as error:
            _log.warning(
                logs.format_event(
                    "load_report_invalid", sender=addr[0], error=error
                )
            )

    def _take(self, report, address: str) -> None:
        now_s = asyncio.get_running_loop().time()
        known = self._entries.get(address)
        order = (report.incarnation, report.sequence)
        if known is not None and order <= (known.incarnation, known.sequence):
            return
        if known is None:
            _log.info(
                logs.format_event(
                    "entry_heard", name=report.sender, address=address
                )
            )
        self._silent.pop(address, None)
        self._entries[address] = _Entry(
            report.sender,
            report.incarnation,
            report.sequence,
            now_s,
            report.isStopping,
            now_s - report.listAgeMs / MILLISECONDS_PER_S,
            now_s - report.configurationAgeMs / MILLISECONDS_PER_S,
        )
        self._ledger.take_report(report.sender, self._decode_loads(report))
        self._crashes.take_report(
            report.sender, [(c.fingerprint, c.count) for c in report.crashes]
        )
        self.add_addresses(str(entry) for entry in report.entries)
        for suspect in report.suspects:
            upstream = self._keys.get(suspect.upstream)
            if upstream is not None and not (
                self._directory.is_avoided(upstream)
            ):
                self._note_suspect(upstream, report.sender)

    def _decode_loads(self, report):
        for told in report.loads:
            upstream = self._keys.get(told.upstream)
            if upstream is not None:
                yield (
                    upstream.key,
                    loads.Load(
                        told.requests,
                        told.entered,
                        float(told.context),
                        float(told.reading),
                    ),
                )

    def _index(self) -> None:
        self._keys = {compute_mark(u.key): u for u in self._directory.get_all()}


def _encode_age(age_s: float) -> int:
    return min(MAX_UINT32, int(min(age_s, MAX_AGE_S) * MILLISECONDS_PER_S))


def compute_mark(key: tuple[str, int]) -> int:
    """Returns a short name of an upstream's incarnation."""
    return xxhash.xxh3_64_intdigest(f"{key[0]}/{key[1]}".encode())
