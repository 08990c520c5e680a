"""Exchanges the load of entries over UDP.

Reports are not acknowledged: a lost one is replaced by the next. Every report
lists contacts, so that a new entry only needs one address that answers.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
import dataclasses
import random

import logbook
import xxhash

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import upstream_limits
from fuchsiabarrow.peers import aggregation
from fuchsiabarrow.peers import report_codec
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.scheduling import shares
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import addresses as addresses_module
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import jitter
from fuchsiabarrow.utils import tasks

__all__ = ["LoadReports", "Settings"]

MILLISECONDS_PER_S = 1000.0
MAX_CRASHES_SENT = 8
# Maximum number of failed upstreams in a report of evidence.
MAX_SUSPECTS_SENT = 32
# Delay in which changes of evidence are collected, and least time between two
# reports of it.
EVIDENCE_DELAY_S = 0.02
MIN_EVIDENCE_INTERVAL_S = 0.1
# An entry with an older list of upstreams is not eligible as leader.
MAX_LIST_AGE_S = 3.2
# Time that a new process needs to discover all entries, also if all start
# together and the first report to a seed is lost.
DISCOVERY_S = 4.0
# The same once it has heard of others.
ACQUAINTANCE_S = 1.5
# Time for which an entry must have been the leader before it acts as such: the
# one before it has learned of it by then, and its last orders have arrived.
HANDOVER_S = 1.5
# Longest time for which an entry waits for a report that covers an earlier one
# which others name: the link between the two may be cut.
MAX_UNKNOWN_S = 6.0
# A process that did not check its leadership for this long was held up, and
# others may have taken over meanwhile.
MAX_CHECK_INTERVAL_S = 1.0
# Mean delay, in periods, of a report that goes through aggregators: half a
# period at each of three hops.
AGGREGATION_LAG_PERIODS = 1.5
# Limit on the rate at which an aggregator sends totals to one member: the
# period grows with the size of the total. The requirements allow 18 KB/s per
# node for all control traffic.
AGGREGATE_BYTES_PER_S = 6000.0

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the load reports.

    Attributes:
        name: Name of this entry.
        failure_domain: Its failure domain.
        address: ``ip:port`` on which it receives reports over UDP.
        seeds: ``ip:port`` of entries to contact first.
        period_s: Mean time between reports.
        idle_period_s: Mean time between reports while no work is in flight.
        aggregation_period_s: Mean time between reports among many entries,
            which report through aggregators.
        liveness_timeout_s: An entry that sent no report for this time counts
            as dead.
        expiry_timeout_s: An entry that no report named for this time is
            removed.
        seed_retry_period_s: Time between reports to a seed that does not
            answer.
    """

    name: str
    failure_domain: str
    address: str
    seeds: tuple[str, ...] = ()
    period_s: float = 0.25
    idle_period_s: float = 0.5
    aggregation_period_s: float = 0.4
    liveness_timeout_s: float = 1.6
    expiry_timeout_s: float = 6.0
    seed_retry_period_s: float = 2.0


class LoadReports(asyncio.DatagramProtocol):
    """Exchanges load reports with other entries.

    Attributes:
        is_stopping: Whether this entry is shutting down and gives up
            leadership.

    Args:
        directory: List of upstreams.
        load_table: Load in flight; this entry's part is reported, and that of
            other entries is received.
        crashes: Upstream crashes; this entry's counts are reported, and those
            of other entries are received.
        part_crashes: Evidence about parts of prompts, which all entries share.
        announced_limits: Rate limits that upstreams announced.
        on_suspect: Called with an upstream that other entries avoid and the
            source of the report.
        get_configuration_age_s: Returns the time since the configuration was
            last known to be current.
        settings: Addresses and periods.
        random_source: Random number generator.
        get_helper: Returns how other entries reach upstreams through this
            one; None while it reaches none itself.
        may_lead: Returns whether this entry knows which upstreams are dead.
        share_table: Use of services by organisation; this entry's part is
            reported, and that of other entries is received. None to report
            and read nothing.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        load_table: loads.LoadTable,
        crashes: crash_counts.CrashCounts,
        part_crashes: crashing_parts.PartCrashes,
        announced_limits: upstream_limits.UpstreamLimits,
        on_suspect: Callable[[upstreams.Upstream, str], None],
        get_configuration_age_s: Callable[[], float],
        settings: Settings,
        random_source: random.Random,
        get_helper: Callable[[], summaries.Helper | None] = lambda: None,
        may_lead: Callable[[], bool] = lambda: True,
        share_table: shares.ShareTable | None = None,
    ):
        self.is_stopping = False
        self._get_helper = get_helper
        self._may_lead = may_lead
        self._share_table = share_table
        self._directory = directory
        self._load_table = load_table
        self._crashes = crashes
        self._part_crashes = part_crashes
        self._announced_limits = announced_limits
        self._on_suspect = on_suspect
        self._get_configuration_age_s = get_configuration_age_s
        self._settings = settings
        self._random_source = random_source
        self._incarnation = int(clocks.read_wall_time_s() * MILLISECONDS_PER_S)
        self._sequence = 0
        loop = asyncio.get_running_loop()
        self._read_time_s = loop.time
        self._started_s = loop.time()
        # When another entry was first heard of.
        self._acquainted_s = float("inf")
        # Since when this entry has been the leader, None if it is not, and when
        # that was last checked.
        self._leader_since_s: float | None = None
        self._leader_checked_s = float("-inf")
        # Since when no report has covered an earlier entry that others name.
        self._unknown_since_s: float | None = None
        # When a report was last received.
        self._received_s = float("-inf")
        self._aggregation = aggregation.AggregationState(
            report_codec.Contact(
                settings.name, settings.failure_domain, settings.address
            ),
            settings.liveness_timeout_s,
            settings.expiry_timeout_s,
            _log_peer,
        )
        # Summaries last applied to the load table, by source.
        self._applied: dict[str, summaries.Summary] = {}
        # Sources whose reports are in the share table.
        self._share_sources: set[str] = set()
        # Size of the last total over all entries that was sent or received.
        self._aggregate_bytes = 0
        # Seeds, and when a report was last sent to each while it was unknown.
        self._seed_contacted_at_s: dict[str, float] = {
            seed: float("-inf")
            for seed in settings.seeds
            if seed != settings.address
        }
        self._upstreams_by_hash: dict[int, upstreams.Upstream] = {}
        # Failed upstreams that others sent ahead of the period, and until when
        # they are avoided, by hash.
        self._heard_suspects: dict[int, float] = {}
        self._evidence_timer: asyncio.TimerHandle | None = None
        self._evidence_sent_s = float("-inf")
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task | None = None

    async def __aenter__(self) -> "LoadReports":
        loop = asyncio.get_running_loop()
        host, port = addresses_module.parse_address(self._settings.address)
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._directory.add_listener(self._index_upstreams)
        self._index_upstreams()
        self._part_crashes.add_listener(self._schedule_evidence)
        self._directory.add_failure_listener(self._schedule_evidence)
        self._crashes.add_listener(self._schedule_evidence)
        self._task = asyncio.create_task(
            tasks.run_periodically(
                "load_reports", self._send_reports, self._get_period_s
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        if self._evidence_timer is not None:
            # The crash that ended the last request is lost otherwise.
            self._evidence_timer.cancel()
            self._send_evidence()
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._transport is not None:
            self._transport.close()

    # Liveness and leadership.

    def count_live(self) -> int:
        """Returns the number of live entries, including this one."""
        return self._aggregation.count_live(self._read_time_s())

    def count_quota_shares(self) -> int | None:
        """Returns the number of entries among which to divide a shared quota.

        Returns:
            Their number; None while this process, which has just started, may
            not have discovered all others.
        """
        if self._read_time_s() - self._started_s < DISCOVERY_S:
            return None
        return self.count_live()

    def find_sources(self) -> list[str]:
        """Returns the entries through which this one reads the store.

        They are the aggregators of its failure domain.

        Returns:
            Their addresses; none if there are few entries or this one is an
            aggregator, so that it is to read the store itself.
        """
        if not self._aggregation.uses_aggregators():
            return []
        found = self._aggregation.find_own_aggregators(self._read_time_s())
        return [] if self._settings.address in found else found

    def count_sources(self) -> int:
        """Returns the number of entries that read the store themselves."""
        if not self._aggregation.uses_aggregators():
            return self.count_live()
        return self._aggregation.count_aggregators()

    def is_leader(self) -> bool:
        """Returns whether this entry is the leader.

        The leader performs the tasks that only one entry is to perform. It is
        the first by name of the live entries that are not shutting down, know
        which upstreams are dead and have a current list of them. Entries with
        different views may disagree on it. This entry does not check the age
        of its own list here; it only stops naming itself as a candidate to the
        others.
        """
        if self.is_stopping:
            return False
        sources = self._aggregation.get_sources(self._read_time_s())
        return self._may_lead() and all(
            not summary.leader_candidate
            or summary.leader_candidate >= self._settings.name
            for summary in sources.values()
        )

    def has_duty(self) -> bool:
        """Returns whether this entry is to act as the leader now.

        In contrast to `is_leader`, at most one entry does at a time, as long as
        reports arrive: a new leader waits until the one before it knows, and a
        new process, or one that was held up, until it knows the others. One
        that has heard of an earlier entry waits for a report that covers it.
        """
        now_s = self._read_time_s()
        self._check_leadership(now_s)
        is_acquainted = (
            now_s - self._acquainted_s >= ACQUAINTANCE_S
            or now_s - self._started_s >= DISCOVERY_S
        )
        return (
            is_acquainted
            and self._leader_since_s is not None
            and now_s - self._leader_since_s >= HANDOVER_S
            and self._knows_all_before(now_s)
        )

    def _knows_all_before(self, now_s: float) -> bool:
        """Returns whether earlier entries are known, or were not for long."""
        if self._aggregation.knows_all_before(now_s):
            self._unknown_since_s = None
            return True
        if self._unknown_since_s is None:
            self._unknown_since_s = now_s
        return now_s - self._unknown_since_s >= MAX_UNKNOWN_S

    def _check_leadership(self, now_s: float) -> None:
        was_held_up = now_s - self._leader_checked_s > MAX_CHECK_INTERVAL_S
        self._leader_checked_s = now_s
        if not self.is_leader():
            self._leader_since_s = None
        elif self._leader_since_s is None or was_held_up:
            self._leader_since_s = now_s

    def find_helpers(self) -> list[summaries.Helper]:
        """Returns live entries that connect to upstreams for others."""
        own_ip = self._settings.address.rpartition(":")[0]
        return [
            helper
            for summary in self._aggregation.get_sources(
                self._read_time_s()
            ).values()
            for helper in summary.helpers
            if helper.address.rpartition(":")[0] != own_ip
        ]

    def find_upstream_list_holders(self, limit_s: float) -> list[str]:
        """Returns live entries with a recent copy of the list of upstreams.

        Args:
            limit_s: Maximal age of the copy.

        Returns:
            Their addresses, the one with the most recent copy first.
        """
        return self._find_holders(limit_s, lambda s: s.upstream_list_holders)

    def find_configuration_holders(self, limit_s: float) -> list[str]:
        """Returns live entries with a recent copy of the configuration.

        Args:
            limit_s: Maximal age of the copy.

        Returns:
            Their addresses, the one with the most recent copy first.
        """
        return self._find_holders(limit_s, lambda s: s.configuration_holders)

    def _find_holders(
        self,
        limit_s: float,
        get_holders: Callable[
            [summaries.Summary], tuple[summaries.CopyHolder, ...]
        ],
    ) -> list[str]:
        now_s = self._read_time_s()
        found = [
            holder
            for summary in self._aggregation.get_sources(now_s).values()
            for holder in get_holders(summary)
            if holder.confirmed_at_s > now_s - limit_s
            and holder.address != self._settings.address
        ]
        return [holder.address for holder in sorted(found, reverse=True)]

    # Sending.

    def get_propagation_delay_s(self) -> float:
        """Returns the mean delay until other entries know this entry's load.

        The delay of reports that are sent directly is neglected.
        """
        if not self._aggregation.uses_aggregators():
            return 0.0
        return AGGREGATION_LAG_PERIODS * self._get_aggregation_period_s()

    def _get_aggregation_period_s(self) -> float:
        return max(
            self._settings.aggregation_period_s,
            self._aggregate_bytes / AGGREGATE_BYTES_PER_S,
        )

    def _get_period_s(self) -> float:
        settings = self._settings
        if self._aggregation.uses_aggregators():
            period_s = self._get_aggregation_period_s()
        elif self._load_table.get_own():
            period_s = settings.period_s
        else:
            period_s = settings.idle_period_s
        return jitter.spread_period_s(period_s, self._random_source)

    async def _send_reports(self) -> None:
        """Sends the reports of this period."""
        now_s = self._read_time_s()
        self._check_leadership(now_s)
        self._aggregation.expire(now_s)
        self._apply_summaries(now_s)
        own_summary = self._summarise_own(now_s)
        self._sequence += 1
        self._aggregation.record_sent(self._sequence, own_summary)
        for outgoing in self._aggregation.plan_reports(now_s):
            self._send(outgoing, own_summary, now_s)
        self._contact_silent_seeds(own_summary, now_s)

    async def send_now(self) -> None:
        """Sends the reports at once, ahead of the next period."""
        await self._send_reports()

    def _contact_silent_seeds(
        self, own_summary: summaries.Summary, now_s: float
    ) -> None:
        """Sends a report to the seeds that are not among the known entries."""
        known = set(self._aggregation.get_addresses())
        due = [
            address
            for address, contacted_at_s in self._seed_contacted_at_s.items()
            if address not in known
            and now_s - contacted_at_s > self._settings.seed_retry_period_s
        ]
        for address in due:
            self._seed_contacted_at_s[address] = now_s
        entry = report_codec.Scope.ENTRY
        self._send(
            aggregation.OutgoingReport(entry, tuple(due)), own_summary, now_s
        )

    def _send(
        self,
        outgoing: aggregation.OutgoingReport,
        own_summary: summaries.Summary,
        now_s: float,
    ) -> None:
        if not outgoing.addresses:
            return
        scope = outgoing.scope
        report = report_codec.Report(
            self._settings.name,
            self._settings.failure_domain,
            self._incarnation,
            self._sequence,
            scope,
            self._aggregation.aggregate(scope, own_summary, now_s),
            self._aggregation.select_contacts(
                scope, self._random_source.sample, now_s
            ),
        )
        data = report_codec.encode(report, now_s)
        if scope is report_codec.Scope.ALL:
            self._aggregate_bytes = len(data)
        for address in outgoing.addresses:
            self._transport.sendto(
                data, addresses_module.parse_address(address)
            )

    def _summarise_own(self, now_s: float) -> summaries.Summary:
        """Returns the load of this entry."""
        settings, directory = self._settings, self._directory
        list_age_s = directory.get_age_s()
        configuration_age_s = self._get_configuration_age_s()
        helper = None if self.is_stopping else self._get_helper()
        is_eligible = (
            not self.is_stopping
            and self._may_lead()
            and list_age_s < MAX_LIST_AGE_S
        )
        return summaries.Summary(
            1,
            settings.name if is_eligible else "",
            {
                hash_upstream_key(key): load
                for key, load in self._load_table.get_own().items()
            },
            {
                hash_upstream_key(upstream.key): now_s + remaining_s
                for upstream, remaining_s in directory.get_shared_failures()
            },
            dict(self._crashes.get_own(MAX_CRASHES_SENT)),
            (summaries.CopyHolder(now_s - list_age_s, settings.address),),
            (
                summaries.CopyHolder(
                    now_s - configuration_age_s, settings.address
                ),
            ),
            self._part_crashes.get_crashes(report_codec.MAX_PART_CRASHES_SENT),
            self._part_crashes.get_acquittals(
                report_codec.MAX_PART_BEGINS_SENT
            ),
            {
                hash_upstream_key(key): announcement
                for key, announcement in (
                    self._announced_limits.get_reported().items()
                )
            },
            () if helper is None else (helper,),
            self._crashes.get_reported(report_codec.MAX_REQUEST_CRASHES_SENT),
            self._crashes.get_progress(report_codec.MAX_REQUEST_PROGRESS_SENT),
            {}
            if self._share_table is None
            else self._share_table.summarise(now_s),
        )

    def _schedule_evidence(self) -> None:
        """Sends evidence on upstreams, requests and prompts after a change."""
        if self._evidence_timer is not None:
            return
        due_s = max(
            self._read_time_s() + EVIDENCE_DELAY_S,
            self._evidence_sent_s + MIN_EVIDENCE_INTERVAL_S,
        )
        self._evidence_timer = asyncio.get_running_loop().call_at(
            due_s, self._send_evidence
        )

    def _send_evidence(self) -> None:
        self._evidence_timer = None
        if self._transport is None or self._transport.is_closing():
            return
        now_s = self._evidence_sent_s = self._read_time_s()
        crashes = self._crashes.get_reported(
            report_codec.MAX_REQUEST_CRASHES_SENT
        )
        self._send_evidence_to(
            self._aggregation.plan_evidence(now_s).addresses, crashes, now_s
        )

    def _send_evidence_to(
        self,
        addresses: Iterable[str],
        request_crashes: Mapping[crash_counts.CrashKey, float],
        now_s: float,
    ) -> None:
        summary = summaries.Summary(
            0,
            suspects=self._find_suspects(now_s),
            part_crashes=self._part_crashes.get_crashes(
                report_codec.MAX_PART_CRASHES_SENT
            ),
            part_begins=self._part_crashes.get_acquittals(
                report_codec.MAX_PART_BEGINS_SENT
            ),
            request_crashes=request_crashes,
            request_progress=self._crashes.get_progress(
                report_codec.MAX_REQUEST_PROGRESS_SENT
            ),
        )
        report = report_codec.Report(
            self._settings.name,
            self._settings.failure_domain,
            self._incarnation,
            self._sequence,
            report_codec.Scope.EVIDENCE,
            summary,
        )
        data = report_codec.encode(report, now_s)
        for address in addresses:
            self._transport.sendto(
                data, addresses_module.parse_address(address)
            )

    def _find_suspects(self, now_s: float) -> dict[int, float]:
        """Returns the failed upstreams to send ahead of the next period.

        Aggregators pass on what they were sent.
        """
        self._heard_suspects = {
            upstream_hash: until_s
            for upstream_hash, until_s in self._heard_suspects.items()
            if until_s > now_s
        }
        suspects = self._heard_suspects | {
            hash_upstream_key(upstream.key): now_s + remaining_s
            for upstream, remaining_s in self._directory.get_shared_failures()
        }
        latest = sorted(suspects.items(), key=lambda s: s[1], reverse=True)
        return dict(latest[:MAX_SUSPECTS_SENT])

    # Receiving.

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Implements `asyncio.DatagramProtocol.connection_made`."""
        self._transport = transport

    def error_received(self, exc: OSError) -> None:
        """Implements `asyncio.DatagramProtocol.error_received`.

        Called when an entry stopped and its port is closed. The error is
        ignored, as the missing reports of that entry show the same.
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
        if report.scope is report_codec.Scope.EVIDENCE:
            self._part_crashes.merge_report(
                report.summary.part_crashes, report.summary.part_begins
            )
            self._apply_request_crashes(report.sender, report.summary, now_s)
            self._apply_suspects(report, now_s)
            return
        if report.scope is report_codec.Scope.ALL:
            self._aggregate_bytes = len(data)
        self._acquainted_s = min(self._acquainted_s, now_s)
        if now_s - self._received_s > self._settings.liveness_timeout_s:
            # Others may have taken over while this entry could not hear them.
            self._leader_since_s = None
        self._received_s = now_s
        address = f"{addr[0]}:{addr[1]}"
        is_new_process = self._aggregation.is_new_process(report, address)
        redirect = self._aggregation.receive(report, address, now_s)
        self._apply_summaries(now_s)
        if is_new_process:
            self._inform_new_process(address, now_s)
        if redirect is not None:
            self._send(redirect, summaries.Summary(0), now_s)

    def _inform_new_process(self, address: str, now_s: float) -> None:
        """Sends the known crashes to an entry that has just started.

        It would forward requests that are blocked until the next report.
        """
        crashes = self._crashes.get_all(report_codec.MAX_REQUEST_CRASHES_SENT)
        if crashes:
            self._send_evidence_to([address], crashes, now_s)

    def _apply_request_crashes(
        self, reporter: str, summary: summaries.Summary, now_s: float
    ) -> None:
        """Merges crashes under requests; aggregators pass news on at once."""
        changed = self._crashes.merge_report(
            summary.request_crashes, summary.request_progress
        )
        for fingerprint in changed:
            if self._crashes.is_blocked(fingerprint):
                _log.info(
                    logs.format_event(
                        "request_blocked",
                        fingerprint=f"{fingerprint:016x}",
                        reporter=reporter,
                    )
                )
        if changed and self._aggregation.is_aggregator(now_s):
            self._schedule_evidence()

    def _apply_suspects(
        self, report: report_codec.Report, now_s: float
    ) -> None:
        """Avoids failed upstreams that were sent ahead of the next period."""
        is_news = False
        for upstream_hash, until_s in report.summary.suspects.items():
            heard_until_s = self._heard_suspects.get(upstream_hash, 0.0)
            if until_s <= now_s or heard_until_s > now_s:
                continue
            is_news = True
            self._heard_suspects[upstream_hash] = until_s
            upstream = self._upstreams_by_hash.get(upstream_hash)
            if upstream is not None and not self._directory.is_avoided(
                upstream
            ):
                self._on_suspect(upstream, report.sender)
        if is_news and self._aggregation.is_aggregator(now_s):
            self._schedule_evidence()

    def _apply_summaries(self, now_s: float) -> None:
        """Applies the known summaries that have changed."""
        sources = self._aggregation.get_sources(now_s)
        for reporter in [r for r in self._applied if r not in sources]:
            del self._applied[reporter]
            self._load_table.drop_report(reporter)
        self._drop_shares(sources.keys())
        for reporter, summary in sources.items():
            if self._applied.get(reporter) is not summary:
                self._applied[reporter] = summary
                self._apply_summary(reporter, summary, now_s)
                self._apply_shares(reporter, summary, now_s)
                self._apply_request_crashes(reporter, summary, now_s)
                self._part_crashes.merge_report(
                    summary.part_crashes, summary.part_begins
                )
                self._announced_limits.merge_report(
                    {
                        self._upstreams_by_hash[upstream_hash].key: limit
                        for upstream_hash, limit in (
                            summary.announcements.items()
                        )
                        if upstream_hash in self._upstreams_by_hash
                    }
                )
        self._apply_crash_numbers(sources.values(), now_s)

    def _apply_shares(
        self, reporter: str, summary: summaries.Summary, now_s: float
    ) -> None:
        if self._share_table is not None:
            self._share_table.set_report(reporter, summary.shares, now_s)
            self._share_sources.add(reporter)

    def _drop_shares(self, sources: Set[str]) -> None:
        """Removes the shares reported by former sources.

        While no source is left, the last total over all entries is kept until
        the share table finds it too old: that many entries do not end together,
        so that the reports were lost.
        """
        if self._share_table is None:
            return
        for reporter in self._share_sources - sources:
            if sources or reporter != aggregation.TOTAL_SOURCE:
                self._share_table.drop_report(reporter)
                self._share_sources.discard(reporter)

    def _apply_crash_numbers(
        self, sources: Iterable[summaries.Summary], now_s: float
    ) -> None:
        """Merges the reports of versions that only report numbers of crashes.

        All are merged under the same ids, as the same crash may be reported by
        several sources while aggregators change.
        """
        numbers: collections.Counter[int] = collections.Counter()
        for summary in sources:
            if not summary.request_crashes:
                numbers.update(summary.crashes)
        self._crashes.merge_report(
            {
                (fingerprint, crash_id): now_s
                for fingerprint, number in numbers.items()
                for crash_id in range(min(number, crash_counts.CRASH_LIMIT))
            },
            {},
        )

    def _apply_summary(
        self, reporter: str, summary: summaries.Summary, now_s: float
    ) -> None:
        upstreams_by_hash = self._upstreams_by_hash
        self._load_table.set_report(
            reporter,
            (
                (upstreams_by_hash[upstream_hash].key, load)
                for upstream_hash, load in summary.loads.items()
                if upstream_hash in upstreams_by_hash
            ),
        )
        for upstream_hash, until_s in summary.suspects.items():
            upstream = upstreams_by_hash.get(upstream_hash)
            if (
                upstream is not None
                and until_s > now_s
                and not self._directory.is_avoided(upstream)
            ):
                self._on_suspect(upstream, reporter)

    def _index_upstreams(self) -> None:
        self._upstreams_by_hash = {
            hash_upstream_key(u.key): u for u in self._directory.get_all()
        }


def _log_peer(contact: report_codec.Contact, is_new: bool) -> None:
    _log.info(
        logs.format_event(
            "entry_heard" if is_new else "entry_silent",
            name=contact.name,
            address=contact.address,
        )
    )


def hash_upstream_key(key: tuple[str, int]) -> int:
    """Returns a hash of an upstream's key, which is its id and incarnation."""
    return xxhash.xxh3_64_intdigest(f"{key[0]}/{key[1]}".encode())
