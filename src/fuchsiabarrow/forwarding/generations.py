"""Serves one request to a language model over a path of instances.

Each instance holds a range of the model's layers; a path is a sequence of
instances that together run all layers. The request is sent to the first
instance of the path, with a list of the others, and this instance streams the
events of the answer. If an instance of the path fails, the stream is moved to
another path: the first instance is told to use other instances after it, or, if
that is not possible, the request is sent again and resumes after the last
complete event.
"""

import asyncio
from collections.abc import Awaitable
import dataclasses
import enum

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.forwarding import attempts
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import events
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import path_moves
from fuchsiabarrow.forwarding import stream_paths
from fuchsiabarrow.forwarding import stream_states
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.scheduling import admission
from fuchsiabarrow.scheduling import ranks

__all__ = ["GenerationHandler"]

# Pause between searches for a path, for a stream that has begun.
PATH_RETRY_S = 0.1
# Number of instances without a way to them after which no other is tried: this
# entry, and those that could help, are probably cut off.
MAX_MISSING_WAYS = 3
MAX_ERROR_BYTES = 1_048_576


class _AttemptResult(enum.Enum):
    """Result of one attempt.

    Attributes:
        DONE: A final answer has arrived as a whole.
        NOT_RUN: No instance ran the request.
        LOST: The request may have run, but there is no final answer.
        BROKEN: The same, but the first instance is alive: it has sent a status
            that HTTP does not define.
    """

    DONE = enum.auto()
    NOT_RUN = enum.auto()
    LOST = enum.auto()
    BROKEN = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True)
class _ReservedPath:
    """A path with the capacity reserved on it."""

    segments: tuple[paths.PathSegment, ...]
    reservation: loads.Reservation


class GenerationHandler:
    """Serves one request to a language model.

    Args:
        context: What the handlers of all requests share.
        exchange: The request, its service and its response writer.
    """

    def __init__(
        self,
        context: contexts.Context,
        exchange: messages.Exchange,
    ):
        self._context = context
        self._request = exchange.request
        self._writer = exchange.writer
        self._fingerprint = exchange.fingerprint
        self._state = stream_states.StreamState(context, exchange)
        self._path = self._state.path
        self._part_check = self._state.part_check
        self._mover = path_moves.PathMover(
            context, self._state, exchange.fingerprint
        )
        # Instances that neither this nor another entry could connect to,
        # because of links between them.
        self._missing_ways = 0
        # Sent after the last attempt: the whole answer of a failure, or the
        # last events of a stream.
        self._failure: tuple[messages.ResponseHead, bytes] | None = None
        self._rest = b""
        # Result of the wait for the first path, and since when the context is
        # held; None where ranks do not compete.
        self._turn: admission.Turn[_ReservedPath] | None = None
        self._held_since_s: float | None = None

    # Attempts until the final answer.

    async def serve(self) -> messages.StreamSummary:
        """Forwards the request until the caller has a final answer.

        The time limit is that of the instances: a caller may take longer to
        read the rest of an answer that has arrived as a whole.
        """
        state = self._state
        request, context = self._request, self._context
        context.ledger.add_stream(self._mover)
        try:
            async with context.ledger.limit_time(
                request.answer_deadline_s, self._writer
            ):
                with self._path, self._part_check, context.loop_lags:
                    refusal = await self._run()
        except TimeoutError:
            refusal = context.ledger.make_time_refusal(
                request,
                state.run_count == 0,
                f"last path {stream_paths.format_path(self._path.segments)}",
            )
        finally:
            context.ledger.remove_stream(self._mover)
            self._mover.stop()
            state.discard_following()
            state.retry.put_back()
            self._release_claim()
        if refusal is None:
            await self._finish()
        elif self._writer.is_started:
            self._record_abort(refusal)
            self._writer.abort()
        else:
            await self._writer.refuse(refusal)
        return self._summarise()

    def _summarise(self) -> messages.StreamSummary:
        progress, segments = self._state.progress, self._path.segments
        generation = self._request.generation
        first_event_s, cause = progress.first_event_s, progress.gap_cause
        return messages.StreamSummary(
            stream_paths.format_path(segments),
            stream_paths.format_kinds(segments),
            stream_paths.count_crossings(segments),
            self._state.send_count,
            generation.prompt_tokens + generation.max_answer_tokens,
            None if first_event_s is None else round(first_event_s, 4),
            round(progress.longest_gap_s, 4),
            cause.value if cause else "",
        )

    async def _finish(self) -> None:
        """Sends the answer of a failure, or the end of a stream."""
        if self._failure is not None:
            await self._writer.answer(*self._failure)
            return
        if self._rest:
            await self._writer.write(self._rest)
        await self._writer.finish()

    def _record_abort(self, refusal: messages.Refusal) -> None:
        """Logs and counts an answer that has begun and cannot continue."""
        request, context = self._request, self._context
        now_s = asyncio.get_running_loop().time()
        context.metrics.incomplete_answers.labels(refusal.reason.value).inc()
        self._state.log(
            "stream_aborted",
            reason=refusal.reason.value,
            why=refusal.detail,
            version=request.catalog_version,
            current_version=context.get_catalog().version,
            silent_s=round(now_s - self._state.progress.last_event_s, 4),
            took_s=round(now_s - request.arrived_s, 4),
            limit_s=round(request.answer_deadline_s - request.arrived_s, 4),
            sends=self._state.send_count,
            may_repeat=request.route.may_repeat,
        )

    async def _run(self) -> messages.Refusal | None:
        """Tries paths; returns a refusal, or None if an answer has arrived."""
        context, state = self._context, self._state
        while True:
            refusal = await self._check_parts()
            if refusal is not None:
                return refusal
            segments = await self._find_path()
            if segments is None or self._missing_ways >= MAX_MISSING_WAYS:
                if not self._writer.is_started:
                    return self._make_path_refusal()
                state.retry.put_back()
                await asyncio.sleep(PATH_RETRY_S)
                self._path.excluded.clear()
                self._missing_ways = 0
                continue
            is_sent = state.following is not None
            if not is_sent and state.send_count >= stream_states.MAX_SENDS:
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED,
                    state.failure_detail,
                )
            if not is_sent and state.send_count and not state.retry.try_take():
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED,
                    f"retry budget exhausted; {state.failure_detail}",
                )
            events_before = state.event_count
            result = await self._attempt(segments)
            # Nothing runs on the path any more, and the next one may need it.
            self._path.release()
            has_progressed = state.event_count > events_before
            if has_progressed:
                context.evidence.clear_crashes(self._fingerprint)
            if result is _AttemptResult.DONE:
                return None
            # A silent instance whose connection this entry ended itself may
            # be sound.
            has_crashed = (
                result is _AttemptResult.LOST
                and not state.was_disconnected
                and await self._has_crashed()
            )
            if has_crashed and not has_progressed:
                self._record_part_crash()
                count = context.evidence.count_crash(
                    self._fingerprint, self._path.segments[0].upstream
                )
                if count >= crash_counts.CRASH_LIMIT:
                    return context.ledger.make_crash_refusal(False)
            if (
                result is not _AttemptResult.NOT_RUN
                and not self._request.route.may_repeat
            ):
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED,
                    state.failure_detail,
                )

    async def _find_path(self) -> tuple[paths.PathSegment, ...] | None:
        """Returns the path of the next attempt; None if there is none.

        Where requests of unlike ranks compete, one that no instance has run may
        have to wait, also after an attempt that an instance refused.
        """
        state = self._state
        segments = state.get_following_path()
        if segments is not None:
            return segments
        if state.claim is None or not self._prepare_to_wait():
            return state.choose_path()
        self._release_claim()
        self._turn = await self._context.scheduler.wait_for_path(
            state.claim,
            self._request,
            self._path.size_tokens,
            self._reserve_path,
            lambda found: found.reservation.__exit__(),
        )
        found = self._turn.path
        if found is None:
            return None
        self._path.adopt(found.segments, found.reservation)
        self._context.scheduler.hold(state.claim, self._path.size_tokens)
        self._held_since_s = asyncio.get_running_loop().time()
        return found.segments

    def _prepare_to_wait(self) -> bool:
        """Takes the retry that the request needs if it is sent again.

        Returns:
            Whether it may wait for a path. What an instance has run does not
            yield to more urgent requests, and one that cannot be sent again
            is refused without a wait.
        """
        state = self._state
        return (
            state.run_count == 0
            and self._missing_ways < MAX_MISSING_WAYS
            and state.send_count < stream_states.MAX_SENDS
            and (state.send_count == 0 or state.retry.try_take())
        )

    def _reserve_path(self, memory_fraction: float) -> _ReservedPath | None:
        """Reserves capacity on a path for the first attempt, if there is one.

        Args:
            memory_fraction: Fraction of the instances' context memory that the
                request may fill.
        """
        segments = self._state.choose_steady_path(memory_fraction)
        if segments is None:
            return None
        return _ReservedPath(segments, self._path.hold(segments))

    def _release_claim(self) -> None:
        """Tells the scheduler that the request holds no context any more."""
        if self._held_since_s is not None:
            now_s = asyncio.get_running_loop().time()
            self._context.scheduler.release(
                self._state.claim,
                self._path.size_tokens,
                now_s - self._held_since_s,
                self._state.run_count > 0,
            )
            self._held_since_s = None

    async def _check_parts(self) -> messages.Refusal | None:
        """Waits while parts of the prompt are under suspicion.

        Returns:
            The refusal of a request that must not be sent, else None.
        """
        state = self._state
        if state.event_count:
            return None  # An answer has begun on this prompt.
        judgement = await self._part_check.wait_until_clear()
        if (
            judgement.verdict is crashing_parts.Verdict.CLEAR
            or self._part_check.is_test
        ):
            return None
        state.log("parts_blocked", verdict=judgement.verdict.name.lower())
        return self._context.ledger.make_crash_refusal(
            state.run_count == 0,
            judgement.remaining_s or self._context.ledger.draw_retry_after_s(),
            "a part of the prompt has crashed upstreams",
        )

    def _record_part_crash(self) -> None:
        """Counts a crash of the first instance, which writes the answer.

        An attempt that this entry ended itself, such as a slow one, shows no
        crash, and parts on which the answer has begun before are not its cause.
        """
        state = self._state
        if state.event_count:
            return
        first = self._path.segments[0].upstream
        if not state.was_disconnected and self._context.directory.is_avoided(
            first
        ):
            self._part_check.record_crash(first)
            state.log(
                "crash_counted",
                instance=first.instance_id,
                prompt_parts=",".join(self._request.generation.shared_parts),
            )

    async def _has_crashed(self) -> bool:
        """Returns whether an instance of the path has ended.

        The first one has lost the answer. A later one that is only silent may
        be sound.
        """
        context = self._context
        instances = [segment.upstream for segment in self._path.segments]
        answers = await asyncio.gather(
            *(
                context.evidence.check_alive(instance, instance is instances[0])
                for instance in instances
            )
        )
        if context.pool.is_isolated():
            return False  # This entry cannot tell.
        return not answers[0] or any(
            not is_alive
            and (
                not context.evidence.is_silent(instance)
                or context.directory.is_replaced(instance)
            )
            for instance, is_alive in zip(
                instances[1:], answers[1:], strict=True
            )
        )

    def _make_path_refusal(self) -> messages.Refusal:
        """Returns the refusal of a request for which there is no path."""
        if self._missing_ways >= MAX_MISSING_WAYS:
            return self._make_refusal(
                messages.RefusalReason.NO_UPSTREAM, self._state.failure_detail
            )
        least_s = max(
            self._path.get_permit_wait_s(), self._path.get_pause_wait_s()
        )
        refusal = self._make_refusal(
            messages.RefusalReason.OVERLOADED,
            self._path.describe_missing_path(),
            least_s,
        )
        if self._turn is None or self._turn.path is not None:
            return refusal
        # The scheduler expects the caller after the time that it has drawn
        # from its estimate.
        return dataclasses.replace(
            refusal,
            retry_after_s=max(least_s, self._turn.decision.retry_after_s),
        )

    def _make_refusal(
        self,
        reason: messages.RefusalReason,
        detail: str,
        min_retry_s: float = 0.0,
    ) -> messages.Refusal:
        retry_after_s = self._context.ledger.draw_retry_after_s()
        claim = self._state.claim
        if claim is not None:
            retry_after_s = ranks.scale_retry_after(
                claim.position, retry_after_s
            )
        return messages.Refusal(
            reason,
            self._state.run_count == 0,
            max(min_retry_s, retry_after_s),
            detail,
        )

    # Single attempts.

    async def _attempt(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> _AttemptResult:
        """Sends the request over a path and relays the response."""
        context, state = self._context, self._state
        request = self._request
        state.was_disconnected = False
        first = segments[0].upstream
        following, state.following = state.following, None
        try:
            connection = await self._open_connection(segments, following)
        except exceptions.UpstreamUnreachableError as error:
            state.record_not_sent(first, error)
            context.evidence.record_unreachable(first, error)
            self._path.excluded.add(first.key)
            self._missing_ways += isinstance(error, exceptions.NoHelperError)
            return _AttemptResult.NOT_RUN
        async with connection:
            state.connection = connection
            try:
                if following is None:
                    sent = state.send(connection, segments)
                    head_reader = attempts.read_head(
                        self._context, connection, request, first
                    )
                else:
                    sent, head_reader = following.sent, following.head_task
                return await self._receive(connection, sent, head_reader)
            except exceptions.UpstreamUnreachableError as error:
                state.record_not_sent(first, error)
                return _AttemptResult.NOT_RUN
            except exceptions.UpstreamResponseLostError as error:
                state.failure_detail = str(error)
                state.log(
                    "attempt_lost",
                    why=state.failure_detail,
                    prompt_parts=",".join(request.generation.shared_parts),
                )
                if not isinstance(error, exceptions.UndefinedStatusError):
                    return _AttemptResult.LOST
                self._path.excluded.add(first.key)
                context.directory.record_unsuccessful_request(first)
                context.evidence.start_probe(first, f"status {error.status}")
                return _AttemptResult.BROKEN
            finally:
                state.connection = None
                self._mover.stop()

    async def _open_connection(
        self,
        segments: tuple[paths.PathSegment, ...],
        following: stream_states.NextAttempt | None,
    ) -> connections.Connection:
        """Reserves a path and connects to its first instance.

        Args:
            segments: The path.
            following: The attempt over it, if it was started before.

        Raises:
            UpstreamUnreachableError: It does not accept connections.
        """
        context, first = self._context, segments[0].upstream
        if following is not None:
            self._mover.adopt_path(segments, following.reservation)
            return following.connection
        self._mover.adopt_path(segments, self._path.hold(segments))
        context.upstream_limits.take(first.key)
        return await context.pool.open(
            first.address, self._request.route.may_repeat
        )

    async def _receive(
        self,
        connection: connections.Connection,
        sent: stream_states.SentRequest,
        head_reader: Awaitable[messages.ResponseHead],
    ) -> _AttemptResult:
        self._mover.monitor.start()
        head = await head_reader
        if head.is_not_run:
            self._state.handle_not_run(head, sent)
            return _AttemptResult.NOT_RUN
        if not head.is_success:
            return await self._forward_failure(connection, head)
        return await self._relay(connection, head)

    async def _forward_failure(
        self, connection: connections.Connection, head: messages.ResponseHead
    ) -> _AttemptResult:
        """Forwards an upstream's error response, or has another path tried."""
        self._context.evidence.record_pause(
            self._path.segments[0].upstream, head.pause_s
        )
        body = await connection.read_body(MAX_ERROR_BYTES)
        self._state.failure_detail = f"status {head.status}"
        self._path.excluded.add(self._path.segments[0].upstream.key)
        may_repeat = self._request.route.may_repeat
        if self._writer.is_started or (
            may_repeat and self._state.send_count == 1
        ):
            return _AttemptResult.LOST
        self._failure = (head, body)
        return _AttemptResult.DONE

    async def _relay(
        self, connection: connections.Connection, head: messages.ResponseHead
    ) -> _AttemptResult:
        state = self._state
        count_before, missed_event = state.event_count, state.misses_event
        parser = events.EventParser()
        try:
            await self._pass_on(connection, head, parser)
        finally:
            is_inside = parser.is_inside_event
            if is_inside or state.event_count > count_before:
                state.misses_event = is_inside
        self._rest += parser.close()
        has_begun = state.event_count > count_before or (
            state.last_event_id and not missed_event
        )
        if head.ends_with_connection and not has_begun:
            # An instance that crashes closes its connections as well.
            raise exceptions.UpstreamResponseLostError(
                "connection closed before the first event"
            )
        if not self._writer.is_started:
            await self._writer.start(head)
        return _AttemptResult.DONE

    async def _pass_on(
        self,
        connection: connections.Connection,
        head: messages.ResponseHead,
        parser: events.EventParser,
    ) -> None:
        """Passes on the events of one attempt as they arrive."""
        state = self._state
        loop = asyncio.get_running_loop()
        while data := await connection.read_chunk():
            if state.connection is None and state.following is not None:
                raise exceptions.UpstreamResponseLostError(
                    "the next attempt repeats what was received late"
                )
            now_s = loop.time()
            if received := parser.feed(data):
                self._record_progress(now_s, len(received))
                if not self._writer.is_started:
                    await self._writer.start(head)
                state.last_event_id = (
                    received[-1].event_id or state.last_event_id
                )
                state.event_count += len(received)
                data = b"".join(event.data for event in received)
                if connection.is_received() and not parser.remainder:
                    self._rest = data
                    continue
                state.is_writing = True
                await self._writer.write(data)
                state.is_writing = False
                state.progress.record_written(loop.time())
                self._mover.monitor.reset_silence()

    def _record_progress(self, now_s: float, count: int) -> None:
        metrics = self._context.metrics
        self._state.progress.record_events(now_s, self._path.get_slowdown)
        self._mover.record_life()
        self._path.finish_prefill()
        if self._state.event_count == 0:
            self._part_check.record_begin()
            first_event_s = now_s - self._request.arrived_s
            metrics.first_event_s.observe(first_event_s)
            if self._state.claim is not None:
                self._context.scheduler.record_first_event(
                    self._state.claim,
                    first_event_s,
                    now_s - self._held_since_s,
                )
        else:
            metrics.event_gap_s.observe(self._mover.monitor.get_silence_s())
        self._mover.monitor.record_events(count)
