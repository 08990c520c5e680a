"""Requests as callers and upstreams saw them, and checks of invariants."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses

from fuchsiabarrow.platform.tests.soak import callers

__all__ = ["Attempt", "Cut", "History"]

# How long after the store accepted the change a revoked key may still be used
# (bounds.revoke_ms of the settings).
REVOKE_S = 5.0
# How long an upstream may get new requests after it was listed as draining
# (bounds.drain_ms), and the time that a request may take from the entry to the
# upstream through a slow proxy.
DRAIN_S = 2.0
TRANSIT_S = 1.0
# From this time after the start of a cut on (bounds.stable_window_ms), requests
# to entries that are cut off from all upstreams must be served this often,
# compared with those to the other entries. A disturbance of an entry counts for
# the same time after its end.
STABLE_S = 3.0
MIN_CUT_RATIO = 2 / 3
# Fewer requests are not compared.
MIN_COMPARED_REQUESTS = 20
# Put before the body of a large answer: more than the system keeps in sockets
# for a caller that does not read.
PADDING = b"x" * 6_000_000
# What happens to the process of an entry, or of the soak.
KILLED = "killed"
PAUSED = "paused"
STOPPED = "stopped"
SOAK_HELD_UP = "soak_held_up"
UPSTREAM_CUT = "upstream_cut"
# Path prefixes of streams, of a model and of a plain service.
STREAMS = ("draft", "notes")


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller.

    Attributes:
        request_id: Id of the request.
        kind: Path prefix, such as read, book, draft or notes.
        key: API key of the caller.
        entry: Name of the entry that it was sent to.
        sent_s: Loop time at which it was sent.
        status: HTTP status of the response, None if there was none.
        is_complete: Whether the response was received to its end.
        body: Body of the response.
        ended_s: Loop time at which it ended, complete or not.
        ending: How it ended, None while it is running.
        is_large: Whether the answer is a large one.
        limit_s: Time limit that the caller has set.
        pause_s: Time for which the caller did not read.
        turn_s: Loop time at which the requests before it on its connection had
            ended for the caller.
    """

    request_id: str
    kind: str
    key: str
    entry: str
    sent_s: float
    status: int | None = None
    is_complete: bool = False
    body: bytes = b""
    ended_s: float = 0.0
    ending: callers.Ending | None = None
    is_large: bool = False
    limit_s: float = 5.0
    pause_s: float = 0.0
    turn_s: float = 0.0

    def end(self, answer: callers.Answer) -> None:
        """Records how it ended for the caller."""
        self.ending = answer.ending
        self.status = answer.status
        self.is_complete = answer.ending is callers.Ending.ANSWERED
        self.body = answer.body
        self.ended_s = answer.at_s


@dataclasses.dataclass(slots=True)
class Cut:
    """Time in which entries are cut off from all upstreams.

    Attributes:
        entries: Names of the entries.
        began_s: Loop time at which it began.
        ended_s: Loop time at which it ended, infinite until then.
        cause: What happens to the entries.
    """

    entries: frozenset[str]
    began_s: float
    ended_s: float = float("inf")
    cause: str = ""

    def concerns(self, entry: str, begin_s: float, end_s: float) -> bool:
        """Returns whether an entry is concerned in a time span."""
        return (
            entry in self.entries
            and self.began_s < end_s
            and begin_s < self.ended_s
        )


class History:
    """Attempts, runs and faults of one seed.

    Attributes:
        attempts: Attempts by request id.
        runs: Start time and upstream of the runs, by request id.
        violations: Descriptions of violated invariants.
        revoked_s: Time of revocation by key.
        leaving_s: Time at which an upstream was listed as draining, by name;
            only of those that are listed so now.
        disturbed_store_s: Start and end of faults of the store.
        entries: Names of all entries, by the source of their runs.
        cuts: Cuts of entries from all upstreams.
        disturbances: Entries that were killed, paused or stopped, with times.
        store_faults: Entries whose connection to the store had a fault, with
            times; those of the store itself concern all entries.
        upstream_faults: Times in which upstreams broke off, for all entries or
            those that were cut off.
        helped_count: Number of runs that came through another entry than that
            of the caller.
    """

    def __init__(self):
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, list[tuple[float, str]]] = {}
        self.violations: list[str] = []
        self.revoked_s: dict[str, float] = {}
        self.leaving_s: dict[str, float] = {}
        self.disturbed_store_s: list[tuple[float, float]] = []
        self.entries: dict[str, str] = {}
        self.cuts: list[Cut] = []
        self.disturbances: list[Cut] = []
        self.store_faults: list[Cut] = []
        self.upstream_faults: list[Cut] = []
        self.helped_count = 0

    @contextlib.contextmanager
    def record_cut(self, names: frozenset[str], read_time_s: Callable):
        """Records that entries are cut off from all upstreams."""
        cut = Cut(names, read_time_s(), cause=UPSTREAM_CUT)
        self.cuts.append(cut)
        self.upstream_faults.append(cut)
        yield
        cut.ended_s = read_time_s()

    @contextlib.contextmanager
    def record_disturbance(
        self, name: str, read_time_s: Callable, cause: str = ""
    ):
        """Records that the process of an entry is disturbed."""
        disturbance = Cut(frozenset([name]), read_time_s(), cause=cause)
        self.disturbances.append(disturbance)
        yield
        disturbance.ended_s = read_time_s()

    @contextlib.contextmanager
    def record_upstream_fault(self, read_time_s: Callable[[], float]):
        """Records that an upstream breaks off for all entries."""
        names = frozenset(self.entries.values())
        fault = Cut(names, read_time_s(), cause=UPSTREAM_CUT)
        self.upstream_faults.append(fault)
        yield
        fault.ended_s = read_time_s()

    @contextlib.contextmanager
    def record_store_fault(
        self, names: Iterable[str], read_time_s: Callable[[], float]
    ):
        """Records that entries may not reach the store."""
        fault = Cut(frozenset(names), read_time_s())
        self.store_faults.append(fault)
        yield
        fault.ended_s = read_time_s()

    def was_disturbed(self, entry: str, begin_s: float, end_s: float) -> bool:
        """Returns whether an entry, or its way to the store, had a fault."""
        return any(
            fault.concerns(entry, begin_s, end_s)
            for fault in [*self.disturbances, *self.store_faults]
        )

    def was_held_up(self, entry: str, begin_s: float, end_s: float) -> bool:
        """Returns whether the process of an entry or the soak was held up."""
        return any(
            fault.concerns(entry, begin_s, end_s)
            for fault in [*self.disturbances, *self.store_faults]
            if fault.cause in (PAUSED, KILLED, SOAK_HELD_UP)
        )

    def record_run(
        self,
        request_id: str,
        upstream: str,
        now_s: float,
        source_host: str | None = None,
    ) -> None:
        """Records the start of a run at an upstream and checks it."""
        runs = self.runs.setdefault(request_id, [])
        runs.append((now_s, upstream))
        attempt = self.attempts.get(request_id)
        if attempt is None:
            self.violations.append(
                f"{request_id} ran but was not sent by any caller"
            )
            return
        helper = self.entries.get(source_host, attempt.entry)
        self.helped_count += helper != attempt.entry
        if attempt.kind == "book" and len(runs) > 1:
            self.violations.append(
                f"{request_id} is not idempotent but ran more than once: {runs}"
            )
        if attempt.status == 503 and attempt.kind == "book":
            self.violations.append(
                f"{request_id} ran after it was refused as not run"
            )
        revoked_s = self.revoked_s.get(attempt.key)
        if revoked_s is not None and attempt.sent_s > revoked_s + REVOKE_S:
            self.violations.append(
                f"{request_id} ran although sent"
                f" {attempt.sent_s - revoked_s:.2f} s after its key was revoked"
            )
        leaving_s = self.leaving_s.get(upstream)
        if (
            leaving_s is not None
            and attempt.sent_s > leaving_s + DRAIN_S + TRANSIT_S
            and not self._is_store_disturbed(leaving_s, now_s)
        ):
            self.violations.append(
                f"{request_id} reached {upstream} {now_s - leaving_s:.2f} s"
                " after the upstream was listed as draining"
            )

    def _is_store_disturbed(self, from_s: float, to_s: float) -> bool:
        return any(
            began_s < to_s and ended_s > from_s - DRAIN_S
            for began_s, ended_s in self.disturbed_store_s
        )

    def count_during_cuts(self) -> tuple[list[int], list[int]]:
        """Counts requests while some entries were cut off and others were not.

        Returns:
            Served and all requests to the entries that were cut off, from
            `STABLE_S` after the start of the cut on, and the same for the
            others. Not counted: entries that were disturbed, answers to a
            revoked or new key, and entries cut off for a part of the time.
        """
        cut_counts, other_counts = [0, 0], [0, 0]
        for attempt in self.attempts.values():
            began_s, ended_s = attempt.sent_s - STABLE_S, attempt.ended_s
            cuts = [
                cut
                for cut in self.cuts
                if cut.began_s < ended_s and cut.ended_s > began_s
            ]
            # Those cut off all the time.
            names = {
                name
                for cut in cuts
                if cut.began_s <= began_s and cut.ended_s >= ended_s
                for name in cut.entries
            }
            cut_names = {name for cut in cuts for name in cut.entries}
            is_disturbed = any(
                one.concerns(attempt.entry, began_s, ended_s)
                for one in self.disturbances
            )
            if (
                not names
                or cut_names >= set(self.entries.values())
                or is_disturbed
                or attempt.status == 401
                or not ended_s
            ):
                continue
            if attempt.entry in names:
                counts = cut_counts
            elif attempt.entry not in cut_names:
                counts = other_counts
            else:
                continue
            counts[0] += attempt.status == 200 and attempt.is_complete
            counts[1] += 1
        return cut_counts, other_counts

    def check_cuts(self) -> None:
        """Checks that entries cut off from upstreams serve like the others."""
        cut_counts, other_counts = self.count_during_cuts()
        if min(cut_counts[1], other_counts[1]) < MIN_COMPARED_REQUESTS:
            return
        cut_share = cut_counts[0] / cut_counts[1]
        other_share = other_counts[0] / other_counts[1]
        if cut_share < MIN_CUT_RATIO * other_share:
            self.violations.append(
                "entries cut off from upstreams served {} of {} requests, the"
                " others {} of {}".format(*cut_counts, *other_counts)
            )

    def check_answer(self, attempt: Attempt) -> None:
        """Checks one response as its caller received it."""
        runs = self.runs.get(attempt.request_id, [])
        if attempt.status == 503 and attempt.kind == "book" and runs:
            self.violations.append(
                f"{attempt.request_id} was refused as not run but ran: {runs}"
            )
        if attempt.status != 200 or not attempt.is_complete:
            return
        if not runs:
            self.violations.append(
                f"{attempt.request_id} succeeded but never ran"
            )
        elif attempt.kind in STREAMS:
            self._check_stream(attempt)
        elif attempt.body not in [
            PADDING * attempt.is_large
            + f"{upstream}:b'{attempt.request_id}'".encode()
            for _, upstream in runs
        ]:
            self.violations.append(
                f"{attempt.request_id} got the response of another request:"
                f" {len(attempt.body)} bytes, {attempt.body[:100]!r}"
            )

    def _check_stream(self, attempt: Attempt) -> None:
        events = [
            line
            for line in attempt.body.decode().splitlines()
            if line.startswith("id: ")
        ]
        expected = [f"id: {n}" for n in range(1, len(events) + 1)]
        if events != expected:
            self.violations.append(
                f"{attempt.request_id}: events missing, repeated or out of"
                f" order: {events}"
            )
        event_request_ids = {
            line.partition(" ")[2]
            for line in attempt.body.decode().splitlines()
            if line.startswith("data: ")
        }
        if event_request_ids != {attempt.request_id}:
            self.violations.append(
                f"{attempt.request_id}: stream has events of other requests:"
                f" {event_request_ids}"
            )
        if not attempt.body.endswith(b"event: end\n\n"):
            self.violations.append(
                f"{attempt.request_id}: stream ended as complete after"
                f" {len(events)} events, before the last event"
            )
