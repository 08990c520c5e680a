"""Requests as callers and upstreams saw them, and checks of invariants."""

import dataclasses

__all__ = ["Attempt", "History"]

# How long after the store accepted the change a revoked key may still be used
# (bounds.revoke_ms of the settings).
REVOKE_S = 5.0
# How long an upstream may get new requests after it was listed as draining
# (bounds.drain_ms), and the time that a request may take from the entry to the
# upstream through a slow proxy.
DRAIN_S = 2.0
TRANSIT_S = 1.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller.

    Attributes:
        request_id: Id of the request.
        kind: Path prefix: read, book or draft.
        key: API key of the caller.
        entry: Name of the entry that it was sent to.
        sent_s: Loop time at which it was sent.
        status: HTTP status of the response, None if there was none.
        is_complete: Whether the response was received to its end.
        body: Body of the response.
        ended_s: Loop time at which it ended, complete or not.
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
    """

    def __init__(self):
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, list[tuple[float, str]]] = {}
        self.violations: list[str] = []
        self.revoked_s: dict[str, float] = {}
        self.leaving_s: dict[str, float] = {}
        self.disturbed_store_s: list[tuple[float, float]] = []

    def record_run(self, request_id: str, upstream: str, now_s: float) -> None:
        """Records the start of a run at an upstream and checks it."""
        runs = self.runs.setdefault(request_id, [])
        runs.append((now_s, upstream))
        attempt = self.attempts.get(request_id)
        if attempt is None:
            self.violations.append(
                f"{request_id} ran but was not sent by any caller"
            )
            return
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
        elif attempt.kind == "draft":
            self._check_stream(attempt)
        elif not attempt.body.endswith(f":b'{attempt.request_id}'".encode()):
            self.violations.append(
                f"{attempt.request_id} got the response of another request:"
                f" {attempt.body!r}"
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
