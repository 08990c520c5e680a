"""Runs one action under a claim, at most once where repeats do harm.

The claim of a key is settled before the first byte of the call leaves. What
happens next depends on the guard of the action (see docs/actions.md):

* ``none``: the call is sent once. If its answer is lost the outcome is unknown
  and stays so.
* ``deduplicates``: the call is sent again with the same key.
* ``fences``: a new claim with a larger fencing number is made, the service is
  asked with it what became of the key, and only if it did not run, and with
  the older sender fenced off, is the call sent again.
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

__all__ = ["ClaimRunner", "Settings"]

GUARDS_WITH_TAKEOVER = ("deduplicates", "fences")


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the claims; the same on all entries.

    Attributes:
        claim_timeout_s: Longest wait for the store before a claim is given up.
        send_window_s: A claim older than this is given back instead of sent.
        settle_timeout_s: Longest wait for the store to take an outcome before
            the caller is answered; it is written later then.
        lapse_s: A claim without an outcome for this long may be taken over.
        join_timeout_s: Longest wait for another entry's outcome.
        join_poll_s: Time between looks at another entry's outcome.
        sends: Most sends of one call to services where repeats do no harm,
            and most instances tried where no byte had left.
    """

    claim_timeout_s: float = 2.0
    send_window_s: float = 3.0
    settle_timeout_s: float = 0.5
    lapse_s: float = 10.0
    join_timeout_s: float = 3.0
    join_poll_s: float = 0.2
    sends: int = 3


class ClaimRunner:
    """Runs actions for one entry.

    Args:
        owner: Name of the entry.
        writer: Commits claims and outcomes.
        sender: Sends calls.
        settings: Times and bounds.
        read_boot_time_s: Clock for the send window; counts suspension.
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

    async def __aenter__(self) -> "ClaimRunner":
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def finish_writes(self) -> None:
        """Waits for the outcomes and given-back claims still to be written."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def run(self, request: calls.ActionRequest) -> outcomes.Outcome:
        """Runs an action and returns what became of it."""
        if request.action.guard == "repeatable":
            return await self._sender.send_repeatedly(request, fence=0)
        claimant = self._make_claimant(request)
        started_s = self._read_boot_time_s()
        valid_until_s = (
            claimant.now_s
            + self._settings.claim_timeout_s
            + journals.CLOCK_SKEW_S
        )
        claim = journals.Claim(request.key.digest, claimant, valid_until_s)
        record = await self._apply_in_time(request.key, claim)
        is_doubtful = self._writer.take_doubt(claimant.nonce)
        if record is None:
            return await self._go_without_claim(request, claimant)
        if record.nonce != claimant.nonce:
            if is_doubtful:
                self._give_back_later(request, claimant)
            return await self._join(request, record)
        return await self._send_claimed(request, record, started_s)

    async def _apply_in_time(
        self, key: keys.ActionKey, operation: journals.Operation
    ) -> journals.Record | None:
        """Applies an operation; None if that is not known to have happened."""
        try:
            async with asyncio.timeout(self._settings.claim_timeout_s):
                return await self._writer.apply(key.journal, operation)
        except (TimeoutError, exceptions.StoreError):
            return None

    async def look_up(self, key: keys.ActionKey) -> outcomes.Outcome:
        """Returns what is recorded of a key.

        Raises:
            StoreError: The store did not answer.
        """
        record = await self._writer.read(key.journal, key.digest)
        if record is None:
            return outcomes.make_unknown("no entry has claimed this key so far")
        if record.state is journals.State.NOT_RUN:
            now_s = self._read_wall_time_s()
            confirm = journals.ConfirmNotRun(key.digest, now_s)
            record = await self._apply_in_time(key, confirm) or record
            return outcomes.describe(record, now_s)
        return outcomes.describe(record)

    def _make_claimant(self, request: calls.ActionRequest) -> journals.Claimant:
        return journals.Claimant(
            self._owner,
            uuid.uuid4().hex,
            xxhash.xxh3_128_hexdigest(request.body),
            request.requested_at_s,
            self._read_wall_time_s(),
        )

    # Without a claim.

    async def _go_without_claim(
        self, request: calls.ActionRequest, claimant: journals.Claimant
    ) -> outcomes.Outcome:
        self._give_back_later(request, claimant)
        is_sent_anyway = request.action.guard == "deduplicates"
        if is_sent_anyway:
            outcome = await self._sender.send_repeatedly(request, fence=0)
            if outcome.state is not journals.State.NOT_RUN:
                return outcome
            return outcomes.make_unclaimed(request.is_first, outcome.detail)
        return outcomes.make_unclaimed(
            request.is_first, "the claim could not be written"
        )

    def _give_back_later(
        self, request: calls.ActionRequest, claimant: journals.Claimant
    ) -> None:
        """Gives a claim back once nobody applies it any more."""
        state = journals.State.NOT_RUN
        if request.action.guard == "deduplicates":
            state = journals.State.UNKNOWN
        delay_s = self._settings.claim_timeout_s + 2 * journals.CLOCK_SKEW_S

        async def give_back() -> None:
            await asyncio.sleep(
                max(0.0, claimant.now_s + delay_s - self._read_wall_time_s())
            )
            operation = journals.GiveBack(
                request.key.digest, claimant, state, self._read_wall_time_s()
            )
            await self._writer.apply(request.key.journal, operation)

        self._keep_task(asyncio.create_task(give_back()))

    def _keep_task(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # With a claim.

    async def _send_claimed(
        self,
        request: calls.ActionRequest,
        record: journals.Record,
        started_s: float,
    ) -> outcomes.Outcome:
        """Sends a call whose claim this entry holds."""
        if self._read_boot_time_s() - started_s > self._settings.send_window_s:
            outcome = outcomes.make_not_run(
                "the entry was paused before sending"
            )
            return await self._settle(request, record, outcome)
        if request.action.guard == "deduplicates":
            return await self._send_claimed_deduplicated(request, record)
        outcome = await self._sender.send_to_any(request, record.fence)
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

        While the store is down such calls are sent without a claim, so a claim
        does not prove that no earlier send is on its way. "Not run" is
        recorded as unknown and told only to a first sender.
        """
        outcome = await self._sender.send_repeatedly(request, record.fence)
        if outcome.state is not journals.State.NOT_RUN:
            return await self._settle(request, record, outcome)
        unknown = outcomes.make_unknown(outcome.detail)
        await self._settle(request, record, unknown)
        return outcomes.make_unclaimed(request.is_first, outcome.detail)

    # Another entry's claim.

    async def _join(
        self, request: calls.ActionRequest, record: journals.Record
    ) -> outcomes.Outcome:
        """Waits for another claim's outcome, or takes it over if it may."""
        if record.request != xxhash.xxh3_128_hexdigest(request.body):
            raise exceptions.KeyFormatError(
                "this Idempotency-Key was sent with another body; make a new"
                " key for a new booking"
            )
        may_take_over = request.action.guard in GUARDS_WITH_TAKEOVER
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + self._settings.join_timeout_s
        while record.state is journals.State.CLAIMED:
            age_s = self._read_wall_time_s() - record.claimed_at_s
            if may_take_over and age_s >= self._settings.lapse_s:
                return await self._take_over(request)
            if loop.time() > limit_s:
                break
            await asyncio.sleep(self._settings.join_poll_s)
            try:
                found = await self._writer.read(
                    request.key.journal, request.key.digest
                )
            except exceptions.StoreError:
                continue
            record = found or record
        if record.state is journals.State.UNKNOWN and may_take_over:
            return await self._take_over(request)
        return outcomes.describe(record, request.requested_at_s)

    async def _take_over(
        self, request: calls.ActionRequest
    ) -> outcomes.Outcome:
        """Claims with a larger fencing number and finds out what happened."""
        claimant = self._make_claimant(request)
        started_s = self._read_boot_time_s()
        operation = journals.TakeOver(
            request.key.digest, claimant, self._settings.lapse_s
        )
        record = await self._apply_in_time(request.key, operation)
        if record is None:
            self._write_later(
                request,
                journals.Settle(
                    request.key.digest,
                    claimant.nonce,
                    journals.State.UNKNOWN,
                    self._read_wall_time_s(),
                ),
            )
            return outcomes.make_unknown("the store did not take the claim")
        if record.nonce != claimant.nonce:
            return outcomes.describe(record, request.requested_at_s)
        if request.action.guard == "fences":
            found = await self._sender.ask(request, record.fence)
            if found is not None:
                return await self._settle(request, record, found)
        if self._read_boot_time_s() - started_s > self._settings.send_window_s:
            outcome = outcomes.make_unknown(
                "the entry was paused before sending"
            )
            return await self._settle(request, record, outcome)
        if request.action.guard == "fences":
            outcome = await self._sender.send_to_any(request, record.fence)
        else:
            return await self._send_claimed_deduplicated(request, record)
        return await self._settle(request, record, outcome)

    # Writing outcomes.

    async def _settle(
        self,
        request: calls.ActionRequest,
        record: journals.Record,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome:
        """Records an outcome, and returns what the caller may be told.

        If the claim was taken over meanwhile, "not run" is no longer this
        entry's to say.
        """
        operation = journals.Settle(
            request.key.digest,
            record.nonce,
            outcome.state,
            self._read_wall_time_s(),
            outcome.status,
            outcome.body,
        )
        task = self._write_later(request, operation)
        try:
            async with asyncio.timeout(self._settings.settle_timeout_s):
                written = await asyncio.shield(task)
        except TimeoutError:
            written = None
        is_ours = written is not None and written.nonce == record.nonce
        may_be_taken = request.action.guard in GUARDS_WITH_TAKEOVER
        if outcome.state is journals.State.NOT_RUN and not is_ours:
            if written is not None:
                return outcomes.describe(written, request.requested_at_s)
            if may_be_taken:
                return outcomes.make_unknown(outcome.detail)
        return outcome

    def _write_later(
        self, request: calls.ActionRequest, operation: journals.Operation
    ) -> asyncio.Task:
        task = asyncio.create_task(
            self._writer.apply(request.key.journal, operation)
        )
        self._keep_task(task)
        return task
