"""What callers and runners saw, and the promises that it must keep."""

import dataclasses

__all__ = ["Attempt", "Record"]

# A revoked key may be used for so long after the store took the change
# (bounds.revoke_ms of the settings).
REVOKE_S = 5.0
# The same for a runner that says it leaves (bounds.drain_ms), and what a
# request may take from the entry to the runner through a slow proxy.
DRAIN_S = 2.0
PASSAGE_S = 1.0


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request of a caller.

    Attributes:
        request_id: Its id.
        kind: Path prefix: read, book, draft.
        key: Key of the caller.
        entry: Entry that it was sent to.
        sent_s: When it was sent.
        status: Status of the answer, None if there was none.
        is_whole: Whether the answer came to its end.
        body: The answer.
        ended_s: When it ended, whole or not.
    """

    request_id: str
    kind: str
    key: str
    entry: str
    sent_s: float
    status: int | None = None
    is_whole: bool = False
    body: bytes = b""
    ended_s: float = 0.0


class Record:
    """Attempts, runs and faults of one soak.

    Attributes:
        attempts: Attempts by id.
        runs: Runs by id: when they began, and the runner.
        broken: Promises that were broken, as text.
        revoked_s: When keys were taken away.
        leaving_s: When runners that are leaving said so.
        disturbed_store_s: Begin and end of faults of the store.
    """

    def __init__(self):
        self.attempts: dict[str, Attempt] = {}
        self.runs: dict[str, list[tuple[float, str]]] = {}
        self.broken: list[str] = []
        self.revoked_s: dict[str, float] = {}
        self.leaving_s: dict[str, float] = {}
        self.disturbed_store_s: list[tuple[float, float]] = []

    def note_run(self, request_id: str, runner: str, now_s: float) -> None:
        """Notes that a runner began to work on a request, and checks it."""
        runs = self.runs.setdefault(request_id, [])
        runs.append((now_s, runner))
        attempt = self.attempts.get(request_id)
        if attempt is None:
            self.broken.append(f"{request_id} runs, though nobody sent it")
            return
        if attempt.kind == "book" and len(runs) > 1:
            self.broken.append(f"{request_id} may run once and ran {runs}")
        if attempt.status == 503 and attempt.kind == "book":
            self.broken.append(f"{request_id} runs after it was refused")
        revoked_s = self.revoked_s.get(attempt.key)
        if revoked_s is not None and attempt.sent_s > revoked_s + REVOKE_S:
            self.broken.append(
                f"{request_id} runs {attempt.sent_s - revoked_s:.2f} s after"
                " its key was taken away"
            )
        leaving_s = self.leaving_s.get(runner)
        if (
            leaving_s is not None
            and attempt.sent_s > leaving_s + DRAIN_S + PASSAGE_S
            and not self._is_store_disturbed(leaving_s, now_s)
        ):
            self.broken.append(
                f"{request_id} reaches {runner} {now_s - leaving_s:.2f} s"
                " after it said that it leaves"
            )

    def _is_store_disturbed(self, from_s: float, to_s: float) -> bool:
        return any(
            began_s < to_s and ended_s > from_s - DRAIN_S
            for began_s, ended_s in self.disturbed_store_s
        )

    def check_answer(self, attempt: Attempt) -> None:
        """Checks one answer as its caller saw it."""
        runs = self.runs.get(attempt.request_id, [])
        if attempt.status == 503 and attempt.kind == "book" and runs:
            self.broken.append(
                f"{attempt.request_id} was refused as not run and ran {runs}"
            )
        if attempt.status != 200 or not attempt.is_whole:
            return
        if not runs:
            self.broken.append(f"{attempt.request_id} succeeded and never ran")
        elif attempt.kind == "draft":
            self._check_stream(attempt)
        elif not attempt.body.endswith(f":b'{attempt.request_id}'".encode()):
            self.broken.append(
                f"{attempt.request_id} got another answer: {attempt.body!r}"
            )

    def _check_stream(self, attempt: Attempt) -> None:
        events = [
            line
            for line in attempt.body.decode().splitlines()
            if line.startswith("id: ")
        ]
        expected = [f"id: {n}" for n in range(1, len(events) + 1)]
        if events != expected:
            self.broken.append(
                f"{attempt.request_id}: events out of order {events}"
            )
        owners = {
            line.partition(" ")[2]
            for line in attempt.body.decode().splitlines()
            if line.startswith("data: ")
        }
        if owners != {attempt.request_id}:
            self.broken.append(
                f"{attempt.request_id}: events of other requests {owners}"
            )
        if not attempt.body.endswith(b"event: end\n\n"):
            self.broken.append(
                f"{attempt.request_id} ends as complete after {len(events)}"
                " events, before the last one"
            )
