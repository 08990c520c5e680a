"""Hierarchical aggregation of load reports. Free of I/O.

A small number of entries send their reports directly to each other. With many
entries, each sends its report to the two aggregators of its failure domain,
which are the first two of its live entries by name. Aggregators exchange the
aggregates of their domains, and send the total over all entries to the other
entries of their own domain. Hence the number of datagrams that an entry other
than an aggregator sends and receives does not grow with the number of entries,
and the bytes between domains only grow with the number of domains.
"""

from collections.abc import Callable
import dataclasses

from fuchsiabarrow.peers import report_codec
from fuchsiabarrow.peers import summaries

__all__ = ["AggregationState", "OutgoingReport"]

# Reports go through aggregators once there are more entries than the first
# number, until there are fewer than the second.
START_AGGREGATION_ENTRIES = 16
STOP_AGGREGATION_ENTRIES = 12
AGGREGATORS_PER_DOMAIN = 2
# Maximum number of contacts in a report that is sent directly, so that it fits
# in one packet.
MAX_CONTACTS_SENT = 16
# Number of this entry's summaries that are kept, to subtract them from totals
# that include them.
MAX_OWN_SUMMARIES = 32
# An aggregate from another aggregator replaces the current one only if it
# covers at least this fraction of the number of entries of the current one.
MIN_ENTRY_FRACTION = 0.5
# Time between two reports to aggregators that stopped sending reports, in case
# they have recovered.
SILENT_RETRY_PERIOD_S = 2.0
# Time between two redirects to the same entry.
MIN_REDIRECT_INTERVAL_S = 1.0

# Key of the total over all entries in the result of `get_sources`.
TOTAL_SOURCE = "all entries"

Scope = report_codec.Scope


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingReport:
    """A report to send, and its recipients.

    Attributes:
        scope: What the report covers.
        addresses: ``ip:port`` of the recipients.
    """

    scope: Scope
    addresses: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Peer:
    """Another entry, known from its own reports or from those of others.

    Attributes:
        contact: Its name, domain and address.
        mentioned_at_s: When any report last named it.
        last_received_at_s: When a report of its own last arrived.
        selected_at_s: Since when it has been among the aggregators that this
            entry selects; None while it is not.
        latest_versions: Incarnation and sequence number of its latest report,
            by scope.
        report: Its latest report of its own load.
        reported_at_s: When that report arrived.
    """

    contact: report_codec.Contact
    mentioned_at_s: float
    last_received_at_s: float = float("-inf")
    selected_at_s: float | None = None
    latest_versions: dict[Scope, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    report: report_codec.Report | None = None
    reported_at_s: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class _ReceivedSummary:
    """The latest aggregate of a domain, or total over all entries."""

    report: report_codec.Report
    last_received_at_s: float
    # The aggregate less the load of this entry.
    summary_without_own: summaries.Summary


class AggregationState:
    """Load of other entries as known to one entry, and whom it reports to.

    Attributes:
        own: This entry.

    Args:
        own: This entry.
        liveness_timeout_s: Reports and aggregates older than this are ignored.
        expiry_timeout_s: An entry that no report named for this time is
            removed.
        on_peer_change: Called with the contact of an entry, and with True if
            it is new, False if it was removed.
    """

    def __init__(
        self,
        own: report_codec.Contact,
        liveness_timeout_s: float,
        expiry_timeout_s: float,
        on_peer_change: Callable[[report_codec.Contact, bool], None],
    ):
        self.own = own
        self._liveness_timeout_s = liveness_timeout_s
        self._expiry_timeout_s = expiry_timeout_s
        self._on_peer_change = on_peer_change
        self._peers: dict[str, _Peer] = {}
        self._domain_summaries: dict[str, _ReceivedSummary] = {}
        self._total_summary: _ReceivedSummary | None = None
        self._own_summaries: dict[int, summaries.Summary] = {}
        self._redirected_at_s: dict[str, float] = {}
        self._silent_retried_at_s = float("-inf")
        self._uses_aggregators = False

    # Receiving.

    def is_new_process(self, report: report_codec.Report, address: str) -> bool:
        """Returns whether a report is the first one of its sender's process.

        Args:
            report: The report, before it is processed.
            address: ``ip:port`` that it came from.
        """
        peer = self._peers.get(address)
        return peer is None or all(
            incarnation < report.incarnation
            for incarnation, _ in peer.latest_versions.values()
        )

    def receive(
        self, report: report_codec.Report, address: str, now_s: float
    ) -> OutgoingReport | None:
        """Processes a received report.

        Args:
            report: The report.
            address: ``ip:port`` that it came from.
            now_s: Loop time.

        Returns:
            A redirect to send in response, None if none is needed.
        """
        peer = self._peers.get(address)
        version = (report.incarnation, report.sequence)
        if peer is not None and version <= peer.latest_versions.get(
            report.scope, (0, 0)
        ):
            return None
        contact = report_codec.Contact(report.sender, report.domain, address)
        peer = self._record_contact(contact, now_s)
        peer.last_received_at_s = now_s
        peer.latest_versions[report.scope] = version
        for listed in report.contacts:
            if listed.address != self.own.address:
                self._record_contact(listed, now_s)
        if report.scope is Scope.ENTRY:
            peer.report, peer.reported_at_s = report, now_s
        elif report.scope is Scope.DOMAIN:
            known = self._domain_summaries.get(report.domain)
            if report.domain != self.own.domain and (
                self._should_replace(report, known, now_s)
            ):
                self._domain_summaries[report.domain] = _ReceivedSummary(
                    report, now_s, report.summary
                )
        elif report.scope is Scope.ALL:
            if self._should_replace(report, self._total_summary, now_s):
                self._total_summary = _ReceivedSummary(
                    report, now_s, self._subtract_own(report)
                )
        return self._make_redirect(report, address, now_s)

    def _should_replace(
        self,
        report: report_codec.Report,
        known: _ReceivedSummary | None,
        now_s: float,
    ) -> bool:
        """Returns whether a received aggregate replaces the current one.

        The number of entries is compared because an entry that receives no
        reports may consider itself an aggregator, and sends an aggregate that
        lacks most entries.
        """
        if (
            known is None
            or now_s - known.last_received_at_s > self._liveness_timeout_s
        ):
            return True
        if known.report.sender == report.sender:
            return True
        count = report.summary.entry_count
        return count >= MIN_ENTRY_FRACTION * known.report.summary.entry_count

    def _record_contact(
        self, contact: report_codec.Contact, now_s: float
    ) -> _Peer:
        peer = self._peers.get(contact.address)
        if peer is None:
            peer = self._peers[contact.address] = _Peer(contact, now_s)
            self._on_peer_change(contact, True)
        peer.contact, peer.mentioned_at_s = contact, now_s
        return peer

    def _make_redirect(
        self, report: report_codec.Report, address: str, now_s: float
    ) -> OutgoingReport | None:
        """Returns a redirect for an entry that reported to the wrong entry.

        Returns None if it reported to the right one or was redirected within
        the minimum interval.
        """
        if not self._uses_aggregators or report.scope not in (
            Scope.ENTRY,
            Scope.DOMAIN,
        ):
            return None
        is_same_domain = report.domain == self.own.domain
        is_expected = is_same_domain == (report.scope is Scope.ENTRY)
        if is_expected and self.is_aggregator(now_s):
            return None
        if (
            now_s - self._redirected_at_s.get(address, float("-inf"))
            < MIN_REDIRECT_INTERVAL_S
        ):
            return None
        self._redirected_at_s[address] = now_s
        return OutgoingReport(Scope.CONTACTS, (address,))

    def expire(self, now_s: float) -> None:
        """Removes expired entries and switches aggregation on or off."""
        for address, peer in list(self._peers.items()):
            if (
                now_s - max(peer.mentioned_at_s, peer.last_received_at_s)
                > self._expiry_timeout_s
            ):
                del self._peers[address]
                self._on_peer_change(peer.contact, False)
        self._redirected_at_s = {
            address: at_s
            for address, at_s in self._redirected_at_s.items()
            if now_s - at_s < MIN_REDIRECT_INTERVAL_S
        }
        count = self.count_live(now_s)
        if count > START_AGGREGATION_ENTRIES:
            self._uses_aggregators = True
        elif count < STOP_AGGREGATION_ENTRIES:
            self._uses_aggregators = False

    # Liveness and selection of aggregators.

    def uses_aggregators(self) -> bool:
        """Returns whether entries report through aggregators."""
        return self._uses_aggregators

    def get_addresses(self) -> list[str]:
        """Returns the addresses of all other known entries."""
        return list(self._peers)

    def count_live(self, now_s: float) -> int:
        """Returns the number of live entries, including this one."""
        sources = self.get_sources(now_s)
        if TOTAL_SOURCE in sources:
            return max(1, sources[TOTAL_SOURCE].entry_count)
        return 1 + sum(summary.entry_count for summary in sources.values())

    def is_aggregator(self, now_s: float) -> bool:
        """Returns whether this entry is an aggregator of its failure domain."""
        return self.own.address in self._find_aggregators(
            self.own.domain, now_s
        )

    def find_own_aggregators(self, now_s: float) -> list[str]:
        """Returns the addresses of the aggregators of the own domain."""
        return self._find_aggregators(self.own.domain, now_s)

    def count_aggregators(self) -> int:
        """Returns the number of aggregators of all known domains."""
        domains = {peer.contact.domain for peer in self._peers.values()}
        return AGGREGATORS_PER_DOMAIN * len(domains | {self.own.domain})

    def _find_aggregators(self, domain: str, now_s: float) -> list[str]:
        """Returns the addresses of the aggregators of a domain.

        They are its first entries by name. One that, once selected, sends no
        report for the liveness timeout is skipped until one arrives.
        """
        known = [
            (peer.contact.name, address)
            for address, peer in self._peers.items()
            if peer.contact.domain == domain
        ]
        if domain == self.own.domain:
            known.append((self.own.name, self.own.address))
        found = []
        for _, address in sorted(known):
            peer = self._peers.get(address)
            if len(found) == AGGREGATORS_PER_DOMAIN:
                if peer is not None:
                    peer.selected_at_s = None
                continue
            if peer is not None:
                if peer.selected_at_s is None:
                    peer.selected_at_s = now_s
                if self._is_silent(peer, now_s):
                    continue
            found.append(address)
        return found

    def _is_silent(self, peer: _Peer, now_s: float) -> bool:
        if peer.selected_at_s is None:
            return False
        return (
            now_s - max(peer.selected_at_s, peer.last_received_at_s)
            > self._liveness_timeout_s
        )

    def _find_silent_aggregators(
        self, is_aggregator: bool, now_s: float
    ) -> tuple[str, ...]:
        """Returns the silent aggregators if it is time to retry them.

        Only aggregators report to other domains; for any other entry, only the
        silent aggregators of its own domain are returned.
        """
        if now_s - self._silent_retried_at_s < SILENT_RETRY_PERIOD_S:
            return ()
        self._silent_retried_at_s = now_s
        return tuple(
            address
            for address, peer in self._peers.items()
            if self._is_silent(peer, now_s)
            and (is_aggregator or peer.contact.domain == self.own.domain)
        )

    # Load of the other entries.

    def get_sources(self, now_s: float) -> dict[str, summaries.Summary]:
        """Returns the load of the other entries, by the source of the report.

        The summaries are disjoint. Their loads and crashes exclude those of
        this entry; the entry count of the total includes it.
        """
        oldest_s = now_s - self._liveness_timeout_s
        has_total = (
            self._total_summary is not None
            and self._total_summary.last_received_at_s > oldest_s
        )
        if has_total and not self.is_aggregator(now_s):
            return {TOTAL_SOURCE: self._total_summary.summary_without_own}
        sources = {
            f"domain {domain}": received.report.summary
            for domain, received in self._domain_summaries.items()
            if received.last_received_at_s > oldest_s
        }
        for peer in self._peers.values():
            if (
                peer.report is not None
                and peer.reported_at_s > oldest_s
                and f"domain {peer.contact.domain}" not in sources
            ):
                sources[peer.contact.name] = peer.report.summary
        return sources

    def knows_all_before(self, now_s: float) -> bool:
        """Returns whether the load of all earlier entries by name is known.

        That is not so for live entries that others have named, while no report
        that covers them has arrived.
        """
        oldest_s = now_s - self._liveness_timeout_s
        sources = self.get_sources(now_s)
        return TOTAL_SOURCE in sources or not any(
            peer.contact.name < self.own.name
            and max(peer.mentioned_at_s, peer.last_received_at_s) > oldest_s
            and peer.contact.name not in sources
            and f"domain {peer.contact.domain}" not in sources
            for peer in self._peers.values()
        )

    def _subtract_own(self, report: report_codec.Report) -> summaries.Summary:
        for contact in report.contacts:
            if contact.address == self.own.address:
                own_part = self._own_summaries.get(contact.sequence)
                if own_part is not None:
                    return summaries.subtract(report.summary, own_part)
        return report.summary

    # Sending.

    def record_sent(self, sequence: int, summary: summaries.Summary) -> None:
        """Records the summary of this entry with the number of its report.

        It is subtracted from totals that include it.
        """
        self._own_summaries[sequence] = summary
        while len(self._own_summaries) > MAX_OWN_SUMMARIES:
            del self._own_summaries[next(iter(self._own_summaries))]

    def plan_reports(self, now_s: float) -> list[OutgoingReport]:
        """Returns the reports to send in this period."""
        if not self._uses_aggregators:
            return [OutgoingReport(Scope.ENTRY, tuple(self._peers))]
        aggregators = self._find_aggregators(self.own.domain, now_s)
        is_aggregator = self.own.address in aggregators
        recipients = tuple(a for a in aggregators if a != self.own.address)
        recipients += self._find_silent_aggregators(is_aggregator, now_s)
        if not is_aggregator:
            return [OutgoingReport(Scope.ENTRY, recipients)]
        domains = {peer.contact.domain for peer in self._peers.values()}
        remote_aggregators = tuple(
            address
            for domain in sorted(domains - {self.own.domain})
            for address in self._find_aggregators(domain, now_s)
        )
        members = tuple(
            address
            for address in self._find_members(now_s)
            if address not in aggregators
        )
        return [
            OutgoingReport(Scope.ENTRY, recipients),
            OutgoingReport(Scope.DOMAIN, remote_aggregators),
            OutgoingReport(Scope.ALL, members),
        ]

    def plan_evidence(self, now_s: float) -> OutgoingReport:
        """Returns the recipients of a change of evidence.

        Aggregators pass it on, so that each entry receives it after at most
        three hops.
        """
        if not self._uses_aggregators:
            return OutgoingReport(Scope.EVIDENCE, tuple(self._peers))
        domains = {peer.contact.domain for peer in self._peers.values()}
        recipients = set(self._find_aggregators(self.own.domain, now_s))
        if self.own.address in recipients:
            for domain in domains:
                recipients.update(self._find_aggregators(domain, now_s))
            recipients.update(self._find_members(now_s))
        recipients.discard(self.own.address)
        return OutgoingReport(Scope.EVIDENCE, tuple(sorted(recipients)))

    def _find_members(self, now_s: float) -> list[str]:
        """Returns the entries of this entry's domain that report to it."""
        return [
            address
            for address, peer in self._peers.items()
            if peer.contact.domain == self.own.domain
            and peer.report is not None
            and now_s - peer.reported_at_s < self._liveness_timeout_s
        ]

    def aggregate(
        self, scope: Scope, own: summaries.Summary, now_s: float
    ) -> summaries.Summary:
        """Returns the content of a report.

        Args:
            scope: What the report covers.
            own: Load of this entry.
            now_s: Loop time.
        """
        if scope is Scope.CONTACTS:
            return summaries.Summary(0)
        if scope is Scope.ENTRY:
            return own
        parts = [own]
        parts += (
            self._peers[address].report.summary
            for address in self._find_members(now_s)
        )
        if scope is Scope.ALL:
            oldest_s = now_s - self._liveness_timeout_s
            parts += (
                received.report.summary
                for received in self._domain_summaries.values()
                if received.last_received_at_s > oldest_s
            )
        return summaries.merge(parts)

    def select_contacts(
        self,
        scope: Scope,
        sample: Callable[[list[str], int], list[str]],
        now_s: float,
    ) -> tuple[report_codec.Contact, ...]:
        """Returns the contacts to list in a report.

        Args:
            scope: What the report covers.
            sample: Takes a list and a count; returns a random sample of it.
            now_s: Loop time.
        """
        oldest_s = now_s - self._liveness_timeout_s
        recent_addresses = [
            a for a, p in self._peers.items() if p.last_received_at_s > oldest_s
        ]
        if not self._uses_aggregators:
            sampled = sample(
                recent_addresses, min(MAX_CONTACTS_SENT, len(recent_addresses))
            )
            return tuple(self._peers[address].contact for address in sampled)
        selected: set[str] = set()
        domains = {peer.contact.domain for peer in self._peers.values()}
        for domain in domains | {self.own.domain}:
            selected.update(self._find_aggregators(domain, now_s))
        if scope is Scope.ALL:
            selected.update(self._find_members(now_s))
        # Only entries that reported to this one are listed. Otherwise a stopped
        # entry would never expire, as the others would keep naming it.
        return tuple(
            self._make_contact(self._peers[address])
            for address in recent_addresses
            if address in selected
        )

    def _make_contact(self, peer: _Peer) -> report_codec.Contact:
        sequence = peer.report.sequence if peer.report is not None else 0
        return dataclasses.replace(peer.contact, sequence=sequence)
