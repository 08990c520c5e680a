"""Who tells whom, and what is known of all entries together. Free of I/O.

A few entries tell each other directly. Among many, each tells its work to two
speakers of its failure domain, the first two by name that answer; speakers
exchange the sums of their domains and tell their members the sum of all. So
the datagrams that an entry sends and gets do not grow with the number of
entries, and bytes between domains only with that of domains.
"""

from collections.abc import Callable
import dataclasses

from fuchsiabarrow.peers import report_codec
from fuchsiabarrow.peers import summaries

__all__ = ["Groups", "Message"]

# From so many entries on they speak through speakers, and until they are fewer
# than the second figure.
MANY_ENTRIES = 16
FEW_ENTRIES = 12
SPEAKERS_PER_DOMAIN = 2
# Addresses told by an entry among few, so that a report fits in one packet.
MAX_CONTACTS_TOLD = 16
# Own reports kept, to take them off sums that they are part of.
MAX_OWN_KEPT = 32
# Least share of the entries in a sum that one of another speaker must hold.
LEAST_SHARE = 0.5
# Time between two reports to speakers that fell silent: they may be back.
RECALL_PERIOD_S = 2.0
# Least time between two answers to the same misdirected entry.
ANSWER_REST_S = 1.0

# Name of the sum over all entries among the sources.
ALL = "all entries"

Scope = report_codec.Scope


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A report to send, and where.

    Attributes:
        scope: What it is to sum up.
        addresses: Where it goes.
    """

    scope: Scope
    addresses: tuple[str, ...]


@dataclasses.dataclass(slots=True)
class _Peer:
    """Another entry, as it told itself or as others told of it."""

    contact: report_codec.Contact
    told_s: float
    heard_s: float = float("-inf")
    chosen_s: float | None = None
    orders: dict[Scope, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    # Its own work, while it tells that directly.
    report: report_codec.Report | None = None
    report_s: float = float("-inf")


@dataclasses.dataclass(frozen=True, slots=True)
class _Digest:
    report: report_codec.Report
    heard_s: float
    # The sum without what this entry itself told.
    rest: summaries.Summary


class Groups:
    """What one entry knows of the others.

    Attributes:
        own: This entry.

    Args:
        own: This entry.
        alive_s: An entry or sum that was heard within this time counts.
        forget_s: An entry of which nobody told for this time is forgotten.
        note_peer: Called with the name and whether the entry is new or lost.
    """

    def __init__(
        self,
        own: report_codec.Contact,
        alive_s: float,
        forget_s: float,
        note_peer: Callable[[report_codec.Contact, bool], None],
    ):
        self.own = own
        self._alive_s = alive_s
        self._forget_s = forget_s
        self._note_peer = note_peer
        self._peers: dict[str, _Peer] = {}
        self._domains: dict[str, _Digest] = {}
        self._all: _Digest | None = None
        self._sent: dict[int, summaries.Summary] = {}
        self._answered_s: dict[str, float] = {}
        self._recalled_s = float("-inf")
        self._is_grouped = False

    # Receiving.

    def take(
        self, report: report_codec.Report, address: str, now_s: float
    ) -> Message | None:
        """Takes a report in; returns an answer to send, if any."""
        peer = self._peers.get(address)
        order = (report.incarnation, report.sequence)
        if peer is not None and order <= peer.orders.get(report.scope, (0, 0)):
            return None
        contact = report_codec.Contact(report.sender, report.domain, address)
        peer = self._learn(contact, now_s)
        peer.heard_s = now_s
        peer.orders[report.scope] = order
        for told in report.contacts:
            if told.address != self.own.address:
                self._learn(told, now_s)
        if report.scope is Scope.ENTRY:
            peer.report, peer.report_s = report, now_s
        elif report.scope is Scope.DOMAIN:
            known = self._domains.get(report.domain)
            if report.domain != self.own.domain and (
                self._is_better(report, known, now_s)
            ):
                self._domains[report.domain] = _Digest(
                    report, now_s, report.summary
                )
        elif report.scope is Scope.ALL:
            if self._is_better(report, self._all, now_s):
                self._all = _Digest(report, now_s, self._subtract_own(report))
        return self._make_answer(report, address, now_s)

    def _is_better(
        self, report: report_codec.Report, known: _Digest | None, now_s: float
    ) -> bool:
        """Returns whether a sum is to replace the one that is known.

        One entry that is cut off may take itself for a speaker.
        """
        if known is None or now_s - known.heard_s > self._alive_s:
            return True
        if known.report.sender == report.sender:
            return True
        count = report.summary.entry_count
        return count >= LEAST_SHARE * known.report.summary.entry_count

    def _learn(self, contact: report_codec.Contact, now_s: float) -> _Peer:
        peer = self._peers.get(contact.address)
        if peer is None:
            peer = self._peers[contact.address] = _Peer(contact, now_s)
            self._note_peer(contact, True)
        peer.contact, peer.told_s = contact, now_s
        return peer

    def _make_answer(
        self, report: report_codec.Report, address: str, now_s: float
    ) -> Message | None:
        """Tells an entry that wrote to the wrong one whom to write to."""
        if not self._is_grouped or report.scope not in (
            Scope.ENTRY,
            Scope.DOMAIN,
        ):
            return None
        is_member = report.domain == self.own.domain
        is_expected = is_member == (report.scope is Scope.ENTRY)
        if is_expected and self.is_speaker(now_s):
            return None
        if now_s - self._answered_s.get(address, float("-inf")) < ANSWER_REST_S:
            return None
        self._answered_s[address] = now_s
        return Message(Scope.CONTACTS, (address,))

    def expire(self, now_s: float) -> None:
        """Forgets entries of which nobody told for long."""
        for address, peer in list(self._peers.items()):
            if now_s - max(peer.told_s, peer.heard_s) > self._forget_s:
                del self._peers[address]
                self._note_peer(peer.contact, False)
        self._answered_s = {
            address: at_s
            for address, at_s in self._answered_s.items()
            if now_s - at_s < ANSWER_REST_S
        }
        count = self.count_live(now_s)
        if count > MANY_ENTRIES:
            self._is_grouped = True
        elif count < FEW_ENTRIES:
            self._is_grouped = False

    # Who is there.

    def is_grouped(self) -> bool:
        """Returns whether entries speak through speakers."""
        return self._is_grouped

    def get_addresses(self) -> list[str]:
        """Returns the addresses of all entries that are known."""
        return list(self._peers)

    def count_live(self, now_s: float) -> int:
        """Returns how many entries are alive, this one included."""
        told = self.get_sources(now_s)
        if ALL in told:
            return max(1, told[ALL].entry_count)
        return 1 + sum(summary.entry_count for summary in told.values())

    def is_speaker(self, now_s: float) -> bool:
        """Returns whether this entry speaks for its failure domain."""
        return self.own.address in self._find_speakers(self.own.domain, now_s)

    def _find_speakers(self, domain: str, now_s: float) -> list[str]:
        """Returns the first entries of a domain by name that answer.

        One that was chosen and stays silent is passed over until it is heard
        again.
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
            if len(found) == SPEAKERS_PER_DOMAIN:
                if peer is not None:
                    peer.chosen_s = None
                continue
            if peer is not None:
                if peer.chosen_s is None:
                    peer.chosen_s = now_s
                if self._is_silent(peer, now_s):
                    continue
            found.append(address)
        return found

    def _is_silent(self, peer: _Peer, now_s: float) -> bool:
        if peer.chosen_s is None:
            return False
        return now_s - max(peer.chosen_s, peer.heard_s) > self._alive_s

    def _find_silent(self, is_speaker: bool, now_s: float) -> tuple[str, ...]:
        """Returns the speakers that fell silent, when they are due.

        Those of other domains write to speakers only.
        """
        if now_s - self._recalled_s < RECALL_PERIOD_S:
            return ()
        self._recalled_s = now_s
        return tuple(
            address
            for address, peer in self._peers.items()
            if self._is_silent(peer, now_s)
            and (is_speaker or peer.contact.domain == self.own.domain)
        )

    # What is known of all.

    def get_sources(self, now_s: float) -> dict[str, summaries.Summary]:
        """Returns what is known of the others, by who told it.

        No entry is part of two of the sums, and this one of none.
        """
        least_s = now_s - self._alive_s
        is_told = self._all is not None and self._all.heard_s > least_s
        if is_told and not self.is_speaker(now_s):
            return {ALL: self._all.rest}
        sources = {
            f"domain {domain}": digest.report.summary
            for domain, digest in self._domains.items()
            if digest.heard_s > least_s
        }
        for peer in self._peers.values():
            if (
                peer.report is not None
                and peer.report_s > least_s
                and f"domain {peer.contact.domain}" not in sources
            ):
                sources[peer.contact.name] = peer.report.summary
        return sources

    def _subtract_own(self, report: report_codec.Report) -> summaries.Summary:
        for contact in report.contacts:
            if contact.address == self.own.address:
                part = self._sent.get(contact.sequence)
                if part is not None:
                    return summaries.subtract(report.summary, part)
        return report.summary

    # Sending.

    def note_sent(self, sequence: int, summary: summaries.Summary) -> None:
        """Notes an own report that sums may come to hold."""
        self._sent[sequence] = summary
        while len(self._sent) > MAX_OWN_KEPT:
            del self._sent[next(iter(self._sent))]

    def plan(self, now_s: float) -> list[Message]:
        """Returns what to send in this period, and to whom."""
        if not self._is_grouped:
            return [Message(Scope.ENTRY, tuple(self._peers))]
        speakers = self._find_speakers(self.own.domain, now_s)
        is_speaker = self.own.address in speakers
        others = tuple(a for a in speakers if a != self.own.address)
        others += self._find_silent(is_speaker, now_s)
        if not is_speaker:
            return [Message(Scope.ENTRY, others)]
        domains = {peer.contact.domain for peer in self._peers.values()}
        abroad = tuple(
            address
            for domain in sorted(domains - {self.own.domain})
            for address in self._find_speakers(domain, now_s)
        )
        members = tuple(
            address
            for address in self._find_members(now_s)
            if address not in speakers
        )
        return [
            Message(Scope.ENTRY, others),
            Message(Scope.DOMAIN, abroad),
            Message(Scope.ALL, members),
        ]

    def _find_members(self, now_s: float) -> list[str]:
        """Returns the entries of the own domain that tell their work here."""
        return [
            address
            for address, peer in self._peers.items()
            if peer.contact.domain == self.own.domain
            and peer.report is not None
            and now_s - peer.report_s < self._alive_s
        ]

    def sum_up(
        self, scope: Scope, own: summaries.Summary, now_s: float
    ) -> summaries.Summary:
        """Returns what to tell.

        Args:
            scope: What to sum up.
            own: Own work.
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
            least_s = now_s - self._alive_s
            parts += (
                digest.report.summary
                for digest in self._domains.values()
                if digest.heard_s > least_s
            )
        return summaries.merge(parts)

    def select_contacts(
        self,
        scope: Scope,
        sample: Callable[[list[str], int], list[str]],
        now_s: float,
    ) -> tuple[report_codec.Contact, ...]:
        """Returns the entries to tell of.

        Args:
            scope: What the report sums up.
            sample: Draws some of a list at random.
            now_s: Loop time.
        """
        least_s = now_s - self._alive_s
        heard = [a for a, p in self._peers.items() if p.heard_s > least_s]
        if not self._is_grouped:
            drawn = sample(heard, min(MAX_CONTACTS_TOLD, len(heard)))
            return tuple(self._peers[address].contact for address in drawn)
        told: set[str] = set()
        domains = {peer.contact.domain for peer in self._peers.values()}
        for domain in domains | {self.own.domain}:
            told.update(self._find_speakers(domain, now_s))
        if scope is Scope.ALL:
            told.update(self._find_members(now_s))
        # What others tell is not told on: an entry that is gone would be told
        # of without end.
        return tuple(
            self._make_contact(self._peers[address])
            for address in heard
            if address in told
        )

    def _make_contact(self, peer: _Peer) -> report_codec.Contact:
        sequence = peer.report.sequence if peer.report is not None else 0
        return dataclasses.replace(peer.contact, sequence=sequence)
