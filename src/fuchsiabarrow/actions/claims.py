"""Runs an action under a claim, at most once if a repeated run does harm.

Except as stated below, the claim of a key is written before the first byte of
the call is sent. What happens next depends on the guard of the action (see
docs/actions.md):

* ``none``: the call is sent again only if it certainly did not run. If the
  response is lost, the outcome is unknown and stays so.
* ``deduplicates``: if the response is lost, the call is sent again with the
  same key. If the claim cannot be written, the call is sent without one.
* ``fences``: if the response is lost, the entry makes a new claim with a larger
  fencing token and asks the service with this token for the outcome of the key.
  From then on the service refuses calls with a smaller token. The call is sent
  again only if it has not run.
* ``repeatable``: the call is sent without a claim, and sent again if the
  response is lost.
"""

import asyncio
import uuid

import msgspec
import xxhash

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import calls
from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import keys
from fuchsiabarrow.actions import outcomes
from fuchsiabarrow.actions import writers
from fuchsiabarrow.utils import clocks

__all__ = ["ActionRunner", "Settings"]

GUARDS_WITH_TAKEOVER = ("deduplicates", "fences")


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the claims; must be the same on all entries.

    Attributes:
        claim_timeout_s: Timeout for writing a claim to the store.
        send_window_s: Maximum age of a claim when its call is sent; the call
            of an older claim is not sent.
        settle_timeout_s: Maximum time for writing an outcome to the store
            before the caller is answered; the write then continues in the
            background.
        lapse_s: Age from which a claim without an outcome may be taken over.
        join_timeout_s: Maximum time to wait for the outcome of a request with
            the same key on another entry.
        join_poll_s: Time between reads of that outcome.
        sends: Maximum number of times that a call is sent. For services where
            repeated runs do harm, it is sent again only if it certainly did
            not run.
    """

    claim_timeout_s: float = 2.0
    send_window_s: float = 3.0
    settle_timeout_s: float = 0.5
    lapse_s: float = 10.0
    join_timeout_s: float = 3.0
    join_poll_s: float = 0.2
    sends: int = 3


class ActionRunner:
    """Runs actions for one entry.

    Args:
        owner: Name of the entry.
        writer: Writes claims and outcomes to the journals.
        sender: Sends calls.
        settings: Timeouts and limits.
        read_boot_time_s: Clock for the send window, which must include the time
            for which the machine is suspended.
        read_wall_time_s: Clock for the records.
    """

    def __init__(
        self,
        owner: str,
        writer: writers.JournalWriter,
        sender: calls.CallSender,
        settings: Settings,
        read_boot_time_s: clocks.Clock = clocks.read_boot_time_s,
        read_wall_time_s: clocks.Clock = clocks.read_wall_time_s,
    ):
        self._owner = owner
        self._writer = writer
        self._sender = sender
        self._settings = settings
        self._read_boot_time_s = read_boot_time_s
        self._read_wall_time_s = read_wall_time_s
        self._tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> "ActionRunner":
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def finish_writes(self) -> None:
        """Waits until pending outcomes and releases of claims are written."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def run(self, request: calls.ActionRequest) -> outcomes.Outcome:
        """Runs an action and returns its outcome.

        Raises:
            IdempotencyKeyError: The key was sent before with another body.
        """
        if request.action.guard == "repeatable":
            return await self._sender.send_with_retries(request, fence=0)
        claimant = self._make_claimant(request)
        started_s = self._read_boot_time_s()
        valid_until_s = (
            claimant.now_s
            + self._settings.claim_timeout_s
            + journals.CLOCK_SKEW_S
        )
        claim = journals.Claim(request.key.digest, claimant, valid_until_s)
        record = await self._apply_with_timeout(request.key, claim)
        is_uncertain = self._writer.pop_uncertain(claimant.nonce)
        if record is None:
            return await self._handle_missing_claim(request, claimant)
        if record.nonce != claimant.nonce:
            if is_uncertain:
                self._release_in_background(request, claimant)
            return await self._wait_for_other_claim(request, record)
        return await self._send_claimed(request, record, started_s)

    async def _apply_with_timeout(
        self, key: keys.ActionKey, operation: journals.Operation
    ) -> journals.Record | None:
        """Applies an operation; None if it may or may not have been applied."""
        try:
            async with asyncio.timeout(self._settings.claim_timeout_s):
                return await self._writer.apply(key.journal, operation)
        except (TimeoutError, exceptions.StoreError):
            return None

    async def look_up(self, key: keys.ActionKey) -> outcomes.Outcome:
        """Returns the recorded outcome of a key.

        Raises:
            StoreError: The store did not answer.
        """
        record = await self._writer.read(key.journal, key.digest)
        if record is None:
            return outcomes.make_unknown("no entry has claimed this key yet")
        if record.state is journals.State.NOT_RUN:
            now_s = self._read_wall_time_s()
            confirm = journals.ConfirmNotRun(key.digest, now_s)
            record = await self._apply_with_timeout(key, confirm) or record
            return outcomes.make_from_record(record, now_s)
        return outcomes.make_from_record(record)

    def _make_claimant(self, request: calls.ActionRequest) -> journals.Claimant:
        return journals.Claimant(
            self._owner,
            uuid.uuid4().hex,
            xxhash.xxh3_128_hexdigest(request.body),
            request.requested_at_s,
            self._read_wall_time_s(),
        )

    # Requests whose claim could not be written.

    async def _handle_missing_claim(
        self, request: calls.ActionRequest, claimant: journals.Claimant
    ) -> outcomes.Outcome:
        self._release_in_background(request, claimant)
        sends_without_claim = request.action.guard == "deduplicates"
        if sends_without_claim:
            outcome = await self._sender.send_with_retries(request, fence=0)
            if outcome.state is not journals.State.NOT_RUN:
                return outcome
            return outcomes.make_not_run_by_entry(
                request.is_first_attempt, outcome.detail
            )
        return outcomes.make_not_run_by_entry(
            request.is_first_attempt,
            "the claim could not be written to the object store",
        )

    def _release_in_background(
        self, request: calls.ActionRequest, claimant: journals.Claimant
    ) -> None:
        """Releases a claim in the background, after the claim has expired."""
        state = journals.State.NOT_RUN
        if request.action.guard == "deduplicates":
            state = journals.State.UNKNOWN
        delay_s = self._settings.claim_timeout_s + 2 * journals.CLOCK_SKEW_S

        async def release() -> None:
            await asyncio.sleep(
                max(0.0, claimant.now_s + delay_s - self._read_wall_time_s())
            )
            operation = journals.GiveBack(
                request.key.digest, claimant, state, self._read_wall_time_s()
            )
            await self._writer.apply(request.key.journal, operation)

        self._track_task(asyncio.create_task(release()))

    def _track_task(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Requests whose claim was written.

    async def _send_claimed(
        self,
        request: calls.ActionRequest,
        record: journals.Record,
        started_s: float,
    ) -> outcomes.Outcome:
        """Sends a call under a claim that this entry holds."""
        if self._read_boot_time_s() - started_s > self._settings.send_window_s:
            outcome = outcomes.make_not_run(
                "the claim became too old to send the call, for example because"
                " the entry was paused"
            )
            return await self._settle(request, record, outcome)
        if request.action.guard == "deduplicates":
            return await self._send_claimed_deduplicated(request, record)
        outcome = await self._sender.send_with_safe_retries(
            request, record.fence
        )
        if (
            outcome.state is journals.State.UNKNOWN
            and request.action.guard == "fences"
        ):
            await self._settle(request, record, outcome)
            return await self._take_over(request)
        return await self._settle(request, record, outcome)

    async def _send_claimed_deduplicated(
        self, request: calls.ActionRequest, record: journals.Record
    ) -> outcomes.Outcome:
        """Sends a claimed call to a service that deduplicates.

        While the store is down, such calls are sent without a claim, so a claim
        does not prove that no earlier call is still in flight. "Not run" is
        therefore recorded as unknown, and reported only to a caller that has
        not sent the key before.
        """
        outcome = await self._sender.send_with_retries(request, record.fence)
        if outcome.state is not journals.State.NOT_RUN:
            return await self._settle(request, record, outcome)
        unknown = outcomes.make_unknown(outcome.detail)
        await self._settle(request, record, unknown)
        return outcomes.make_not_run_by_entry(
            request.is_first_attempt, outcome.detail
        )

    # Requests whose key has another claim.

    async def _wait_for_other_claim(
        self, request: calls.ActionRequest, record: journals.Record
    ) -> outcomes.Outcome:
        """Waits for the outcome of another claim, or takes the claim over.

        Raises:
            IdempotencyKeyError: The other claim is for another body.
        """
        if record.request != xxhash.xxh3_128_hexdigest(request.body):
            raise exceptions.IdempotencyKeyError(
                "this Idempotency-Key was sent with another body; create a new"
                " key for a new operation"
            )
        may_take_over = request.action.guard in GUARDS_WITH_TAKEOVER
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._settings.join_timeout_s
        while record.state is journals.State.CLAIMED:
            age_s = self._read_wall_time_s() - record.claimed_at_s
            if may_take_over and age_s >= self._settings.lapse_s:
                return await self._take_over(request)
            if loop.time() > deadline_s:
                break
            await asyncio.sleep(self._settings.join_poll_s)
            try:
                current = await self._writer.read(
                    request.key.journal, request.key.digest
                )
            except exceptions.StoreError:
                continue
            record = current or record
        if record.state is journals.State.UNKNOWN and may_take_over:
            return await self._take_over(request)
        return outcomes.make_from_record(record, request.requested_at_s)

    async def _take_over(
        self, request: calls.ActionRequest
    ) -> outcomes.Outcome:
        """Claims a key with a larger fencing token, and resolves its outcome.

        A service with the guard ``fences`` is asked for the outcome first. If
        the call has not run, or if the service deduplicates, it is sent again.
        """
        claimant = self._make_claimant(request)
        started_s = self._read_boot_time_s()
        operation = journals.TakeOver(
            request.key.digest, claimant, self._settings.lapse_s
        )
        record = await self._apply_with_timeout(request.key, operation)
        if record is None:
            self._write_in_background(
                request,
                journals.Settle(
                    request.key.digest,
                    claimant.nonce,
                    journals.State.UNKNOWN,
                    self._read_wall_time_s(),
                ),
            )
            return outcomes.make_unknown(
                "the claim could not be written to the object store"
            )
        if record.nonce != claimant.nonce:
            return outcomes.make_from_record(record, request.requested_at_s)
        if request.action.guard == "fences":
            reported = await self._sender.query_outcome(request, record.fence)
            if reported is not None:
                return await self._settle(request, record, reported)
        if self._read_boot_time_s() - started_s > self._settings.send_window_s:
            outcome = outcomes.make_unknown(
                "the claim became too old to send the call again, for example"
                " because the entry was paused"
            )
            return await self._settle(request, record, outcome)
        if request.action.guard == "fences":
            outcome = await self._sender.send_with_safe_retries(
                request, record.fence
            )
        else:
            return await self._send_claimed_deduplicated(request, record)
        return await self._settle(request, record, outcome)

    # Recording outcomes.

    async def _settle(
        self,
        request: calls.ActionRequest,
        record: journals.Record,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome:
        """Records an outcome, and returns the outcome to report to the caller.

        "Not run" is not reported if the claim was or may have been taken over
        in the meantime, as the new holder may run the call.
        """
        operation = journals.Settle(
            request.key.digest,
            record.nonce,
            outcome.state,
            self._read_wall_time_s(),
            outcome.status,
            outcome.body,
        )
        task = self._write_in_background(request, operation)
        try:
            async with asyncio.timeout(self._settings.settle_timeout_s):
                written = await asyncio.shield(task)
        except TimeoutError:
            written = None
        is_own_claim = written is not None and written.nonce == record.nonce
        may_be_taken_over = request.action.guard in GUARDS_WITH_TAKEOVER
        if outcome.state is journals.State.NOT_RUN and not is_own_claim:
            if written is not None:
                return outcomes.make_from_record(
                    written, request.requested_at_s
                )
            if may_be_taken_over:
                return outcomes.make_unknown(outcome.detail)
        return outcome

    def _write_in_background(
        self, request: calls.ActionRequest, operation: journals.Operation
    ) -> asyncio.Task:
        task = asyncio.create_task(
            self._writer.apply(request.key.journal, operation)
        )
        self._track_task(task)
        return task
