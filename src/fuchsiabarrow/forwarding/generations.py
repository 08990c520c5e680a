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
from typing import TYPE_CHECKING

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import events
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import part_checks
from fuchsiabarrow.forwarding import stream_monitors
from fuchsiabarrow.forwarding import stream_paths
from fuchsiabarrow.forwarding import stream_progress
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.telemetry import logs

if TYPE_CHECKING:
    from fuchsiabarrow.forwarding import service as service_module

__all__ = ["GenerationHandler"]

MS_PER_S = 1000.0
PATH_CHANGE_TIMEOUT_S = 0.25
# Pause between searches for a path, for a stream that has begun.
PATH_RETRY_S = 0.1
# Number of instances without a way to them after which no other is tried: this
# entry, and those that could help, are probably cut off.
MAX_MISSING_WAYS = 3
# Time for which a running attempt is kept after the request was sent on another
# path: an instance that refuses a request does so at once.
REFUSAL_TIMEOUT_S = 0.25
# Pause between attempts to replace suspected instances of a running stream.
PATH_CHANGE_RETRY_S = 0.4
MAX_ERROR_BYTES = 1_048_576
# Maximum number of times that one request is sent, including sends that an
# upstream refused.
MAX_SENDS = 5
HTTP_MISDIRECTED = 421

_log = logbook.Logger(__name__)


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
class _SentRequest:
    """The request as sent to the first instance of a path.

    Attributes:
        segments: The path.
        is_first_send: Whether that instance had not been sent it before.
        event_count: Number of events received before it was sent.
    """

    segments: tuple[paths.PathSegment, ...]
    is_first_send: bool
    event_count: int


@dataclasses.dataclass(slots=True)
class _NextAttempt:
    """An attempt that is started while another one still runs.

    Attributes:
        segments: Its path.
        reservation: Capacity reserved on the path.
        connection: Connection to the first instance.
        sent: The sent request; None before it is sent.
        head_task: Reads the head of the response; None before it is sent.
    """

    segments: tuple[paths.PathSegment, ...]
    reservation: loads.Reservation
    connection: connections.Connection
    sent: _SentRequest | None = None
    head_task: asyncio.Task[messages.ResponseHead] | None = None

    def is_refused(self) -> bool:
        """Returns whether the instance is known to have refused the request."""
        task = self.head_task
        return (
            task is not None
            and task.done()
            and task.exception() is None
            and task.result().is_not_run
        )

    def discard(self) -> None:
        """Closes the connection and releases the reserved capacity."""
        if self.head_task is not None:
            self.head_task.cancel()
        self.connection.close()
        self.reservation.__exit__()


class GenerationHandler:
    """Serves one request to a language model.

    Args:
        forwarding: Forwarding service that owns the handler.
        exchange: The request, its service and its response writer.
    """

    def __init__(
        self,
        forwarding: "service_module.ForwardingService",
        exchange: messages.Exchange,
    ):
        self._forwarding = forwarding
        self._request = exchange.request
        self._writer = exchange.writer
        self._service = exchange.service
        self._fingerprint = exchange.fingerprint
        self._path = stream_paths.StreamPath(forwarding, exchange)
        self._part_check = part_checks.PartCheck(forwarding, exchange.request)
        # Whether this entry itself ended the connection of the attempt.
        self._was_disconnected = False
        # Prepared before the connection of the present attempt was ended.
        self._next: _NextAttempt | None = None
        # Addresses in path changes that got no answer.
        self._unanswered_addresses: set[str] = set()
        # Suspected instances of the path that the stream could not leave yet.
        self._suspects: dict[tuple[str, int], upstreams.Upstream] = {}
        self._has_retry = False
        # Instances that neither this nor another entry could connect to,
        # because of links between them.
        self._missing_ways = 0
        self._connection: connections.Connection | None = None
        # Number of times that it was sent and may have run.
        self._run_count = 0
        self._send_count = 0
        self._last_event_id = exchange.request.last_event_id
        self._event_count = 0
        self._monitor = stream_monitors.StreamMonitor(
            self._start_silence_check, self._probe_slow_path
        )
        self._silence_check_task: asyncio.Task | None = None
        self._path_change_task: asyncio.Task | None = None
        self._move_task: asyncio.Task | None = None
        self._failure_detail = ""
        # Sent after the last attempt: the whole answer of a failure, or the
        # last events of a stream.
        self._failure: tuple[messages.ResponseHead, bytes] | None = None
        self._rest = b""
        self._is_writing = False
        self._progress = stream_progress.StreamProgress(
            exchange.request.arrived_s, forwarding.loop_lags
        )

    # Attempts until the final answer.

    async def serve(self) -> messages.StreamSummary:
        """Forwards the request until the caller has a final answer.

        The time limit is that of the instances: a caller may take longer to
        read the rest of an answer that has arrived as a whole.
        """
        request, forwarding = self._request, self._forwarding
        forwarding.add_stream(self)
        try:
            async with forwarding.limit_time(
                request.answer_deadline_s, self._writer
            ):
                with self._path, self._part_check, forwarding.loop_lags:
                    refusal = await self._run()
        except TimeoutError:
            refusal = forwarding.make_time_refusal(
                request,
                self._run_count == 0,
                f"last path {stream_paths.format_path(self._path.segments)}",
            )
        finally:
            forwarding.remove_stream(self)
            self._stop_monitoring()
            self._discard_next()
            self._return_retry()
        if refusal is None:
            await self._finish()
        elif self._writer.is_started:
            self._record_abort(refusal)
            self._writer.abort()
        else:
            await self._writer.refuse(refusal)
        return self._summarise()

    def _summarise(self) -> messages.StreamSummary:
        progress, segments = self._progress, self._path.segments
        generation = self._request.generation
        first_event_s, cause = progress.first_event_s, progress.gap_cause
        return messages.StreamSummary(
            stream_paths.format_path(segments),
            stream_paths.format_kinds(segments),
            stream_paths.count_crossings(segments),
            self._send_count,
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
        request, forwarding = self._request, self._forwarding
        now_s = asyncio.get_running_loop().time()
        forwarding.metrics.incomplete_answers.labels(refusal.reason.value).inc()
        self._log(
            "stream_aborted",
            reason=refusal.reason.value,
            why=refusal.detail,
            version=request.catalog_version,
            current_version=forwarding.get_catalog_version(),
            silent_s=round(now_s - self._progress.last_event_s, 4),
            took_s=round(now_s - request.arrived_s, 4),
            limit_s=round(request.answer_deadline_s - request.arrived_s, 4),
            sends=self._send_count,
            may_repeat=request.route.may_repeat,
        )

    async def _run(self) -> messages.Refusal | None:
        """Tries paths; returns a refusal, or None if an answer has arrived."""
        forwarding = self._forwarding
        while True:
            refusal = await self._check_parts()
            if refusal is not None:
                return refusal
            segments = self._get_next_path() or self._choose_path()
            if segments is None or self._missing_ways >= MAX_MISSING_WAYS:
                if not self._writer.is_started:
                    return self._make_path_refusal()
                self._return_retry()
                await asyncio.sleep(PATH_RETRY_S)
                self._path.excluded.clear()
                self._missing_ways = 0
                continue
            is_sent = self._next is not None
            if not is_sent and self._send_count >= MAX_SENDS:
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED, self._failure_detail
                )
            if not is_sent and self._send_count and not self._try_take_retry():
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED,
                    f"retry budget exhausted; {self._failure_detail}",
                )
            events_before = self._event_count
            result = await self._attempt(segments)
            # Nothing runs on the path any more, and the next one may need it.
            self._path.release()
            has_progressed = self._event_count > events_before
            if has_progressed:
                forwarding.clear_crashes(self._fingerprint)
            if result is _AttemptResult.DONE:
                return None
            # A silent instance whose connection this entry ended itself may
            # be sound.
            has_crashed = (
                result is _AttemptResult.LOST
                and not self._was_disconnected
                and await self._has_crashed()
            )
            if has_crashed and not has_progressed:
                self._record_part_crash()
                count = forwarding.count_crash(
                    self._fingerprint, self._path.segments[0].upstream
                )
                if count >= crash_counts.CRASH_LIMIT:
                    return forwarding.make_crash_refusal(False)
            if (
                result is not _AttemptResult.NOT_RUN
                and not self._request.route.may_repeat
            ):
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED, self._failure_detail
                )

    async def _check_parts(self) -> messages.Refusal | None:
        """Waits while parts of the prompt are under suspicion.

        Returns:
            The refusal of a request that must not be sent, else None.
        """
        if self._event_count:
            return None  # An answer has begun on this prompt.
        judgement = await self._part_check.wait_until_clear()
        if (
            judgement.verdict is crashing_parts.Verdict.CLEAR
            or self._part_check.is_test
        ):
            return None
        self._log("parts_blocked", verdict=judgement.verdict.name.lower())
        return self._forwarding.make_crash_refusal(
            self._run_count == 0,
            judgement.remaining_s or self._forwarding.draw_retry_after_s(),
            "a part of the prompt has crashed upstreams",
        )

    def _record_part_crash(self) -> None:
        """Counts a crash of the first instance, which writes the answer.

        An attempt that this entry ended itself, such as a slow one, shows no
        crash, and parts on which the answer has begun before are not its cause.
        """
        if self._event_count:
            return
        first = self._path.segments[0].upstream
        if not self._was_disconnected and self._forwarding.directory.is_avoided(
            first
        ):
            self._part_check.record_crash(first)
            self._log(
                "crash_counted",
                instance=first.instance_id,
                prompt_parts=",".join(self._request.generation.shared_parts),
            )

    async def _has_crashed(self) -> bool:
        """Returns whether an instance of the path has ended.

        The first one has lost the answer. A later one that is only silent may
        be sound.
        """
        forwarding = self._forwarding
        instances = [segment.upstream for segment in self._path.segments]
        answers = await asyncio.gather(
            *(
                forwarding.check_alive(instance, instance is instances[0])
                for instance in instances
            )
        )
        if forwarding.pool.is_isolated():
            return False  # This entry cannot tell.
        return not answers[0] or any(
            not is_alive
            and (
                not forwarding.is_silent(instance)
                or forwarding.directory.is_replaced(instance)
            )
            for instance, is_alive in zip(
                instances[1:], answers[1:], strict=True
            )
        )

    def _make_path_refusal(self) -> messages.Refusal:
        """Returns the refusal of a request for which there is no path."""
        if self._missing_ways >= MAX_MISSING_WAYS:
            return self._make_refusal(
                messages.RefusalReason.NO_UPSTREAM, self._failure_detail
            )
        return self._make_refusal(
            messages.RefusalReason.OVERLOADED,
            self._path.describe_missing_path(),
            max(self._path.get_permit_wait_s(), self._path.get_pause_wait_s()),
        )

    def _make_refusal(
        self,
        reason: messages.RefusalReason,
        detail: str,
        min_retry_s: float = 0.0,
    ) -> messages.Refusal:
        return messages.Refusal(
            reason,
            self._run_count == 0,
            max(min_retry_s, self._forwarding.draw_retry_after_s()),
            detail,
        )

    def _log(self, event: str, **fields: object) -> None:
        _log.info(
            logs.format_event(
                event,
                request_id=self._request.request_id,
                path=stream_paths.format_path(self._path.segments),
                events=self._event_count,
                **fields,
            )
        )

    # Path selection.

    def _choose_path(
        self, prefix: tuple[paths.PathSegment, ...] = ()
    ) -> tuple[paths.PathSegment, ...] | None:
        segments = self._path.choose(prefix, self._part_check.is_test)
        if segments is None:
            return None
        if not paths.is_complete_path(
            list(segments), self._service.engine.layers
        ):
            self._log("path_invalid", found=stream_paths.format_path(segments))
            return None
        return segments

    def _get_next_path(self) -> tuple[paths.PathSegment, ...] | None:
        """Returns the path of the next attempt, if it is still usable."""
        following = self._next
        if following is None:
            return None
        if (
            following.sent is None
            # It would repeat events that were received since.
            or following.sent.event_count != self._event_count
            or not self._path.is_usable(following.segments)
        ):
            self._discard_next()
            return None
        return following.segments

    def _discard_next(self) -> None:
        if self._next is not None:
            self._next.discard()
            self._next = None

    def _find_suspects(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> list[upstreams.Upstream]:
        """Returns the instances of a path that are avoided."""
        directory = self._forwarding.directory
        return [
            segment.upstream
            for segment in segments
            if directory.is_avoided(segment.upstream)
        ]

    def _try_take_retry(self) -> bool:
        """Takes a retry from the budget unless one was taken before."""
        if not self._has_retry:
            self._has_retry = self._forwarding.try_take_retry(
                self._service.name
            )
        return self._has_retry

    def _return_retry(self) -> None:
        """Returns a retry that is not used soon.

        Those of many streams, used together in a later window, would exceed
        the limit of that window.
        """
        if self._has_retry:
            self._has_retry = False
            self._forwarding.return_retry(self._service.name)

    def _adopt_path(
        self,
        segments: tuple[paths.PathSegment, ...],
        reservation: loads.Reservation,
    ) -> None:
        """Makes a path with reserved capacity the current one."""
        self._suspects.clear()
        self._path.adopt(segments, reservation)
        self._progress.record_move()
        event_ms = self._path.estimate_event_ms()
        self._monitor.set_expected_interval(event_ms / MS_PER_S)

    # Single attempts.

    async def _attempt(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> _AttemptResult:
        """Sends the request over a path and relays the response."""
        forwarding, request = self._forwarding, self._request
        self._was_disconnected = False
        first = segments[0].upstream
        following, self._next = self._next, None
        try:
            connection = await self._open_connection(segments, following)
        except exceptions.UpstreamUnreachableError as error:
            self._log_not_sent(first, error)
            forwarding.record_unreachable(first, error)
            self._path.excluded.add(first.key)
            self._missing_ways += isinstance(error, exceptions.NoHelperError)
            return _AttemptResult.NOT_RUN
        async with connection:
            self._connection = connection
            try:
                if following is None:
                    sent = self._send(connection, segments)
                    head_reader = self._forwarding.read_head(
                        connection, request, first
                    )
                else:
                    sent, head_reader = following.sent, following.head_task
                return await self._receive(connection, sent, head_reader)
            except exceptions.UpstreamUnreachableError as error:
                self._log_not_sent(first, error)
                return _AttemptResult.NOT_RUN
            except exceptions.UpstreamResponseLostError as error:
                self._failure_detail = str(error)
                self._log(
                    "attempt_lost",
                    why=self._failure_detail,
                    prompt_parts=",".join(request.generation.shared_parts),
                )
                if not isinstance(error, exceptions.UndefinedStatusError):
                    return _AttemptResult.LOST
                self._path.excluded.add(first.key)
                forwarding.directory.record_unsuccessful_request(first)
                forwarding.start_probe(first, f"status {error.status}")
                return _AttemptResult.BROKEN
            finally:
                self._connection = None
                self._stop_monitoring()

    async def _open_connection(
        self,
        segments: tuple[paths.PathSegment, ...],
        following: _NextAttempt | None,
    ) -> connections.Connection:
        """Reserves a path and connects to its first instance.

        Args:
            segments: The path.
            following: The attempt over it, if it was started before.

        Raises:
            UpstreamUnreachableError: It does not accept connections.
        """
        forwarding, first = self._forwarding, segments[0].upstream
        if following is not None:
            self._adopt_path(segments, following.reservation)
            return following.connection
        self._adopt_path(segments, self._path.hold(segments))
        forwarding.upstream_limits.take(first.key)
        return await forwarding.pool.open(
            first.address, self._request.route.may_repeat
        )

    def _log_not_sent(
        self, first: upstreams.Upstream, error: Exception
    ) -> None:
        self._failure_detail = str(error)
        self._log(
            "attempt_not_run",
            at_fault=first.instance_id,
            why=self._failure_detail,
            list_age_s=round(self._forwarding.directory.get_age_s(), 3),
        )

    def _send(
        self,
        connection: connections.Connection,
        segments: tuple[paths.PathSegment, ...],
    ) -> _SentRequest:
        """Sends the request over a path.

        Raises:
            UpstreamUnreachableError: The connection was closed before.
        """
        forwarding, first = self._forwarding, segments[0].upstream
        forwarding.send(
            connection,
            self._request,
            messages.AttemptTarget(first, segments),
            self._last_event_id,
            self._send_count > 0,
        )
        self._send_count += 1
        self._has_retry = False
        forwarding.metrics.domain_crossings.inc(
            stream_paths.count_crossings(segments)
        )
        sent = _SentRequest(
            segments,
            self._path.record_first_instance(first),
            self._event_count,
        )
        self._run_count += 1
        return sent

    async def _receive(
        self,
        connection: connections.Connection,
        sent: _SentRequest,
        head_reader: Awaitable[messages.ResponseHead],
    ) -> _AttemptResult:
        self._monitor.start()
        head = await head_reader
        if head.is_not_run:
            return self._handle_not_run(head, sent)
        if not head.is_success:
            return await self._forward_failure(connection, head)
        return await self._relay(connection, head)

    def _handle_not_run(
        self, head: messages.ResponseHead, sent: _SentRequest
    ) -> _AttemptResult:
        """Excludes the instance that refused its segment of the path."""
        directory = self._forwarding.directory
        first = sent.segments[0].upstream
        self._run_count -= 1
        if sent.is_first_send:
            self._path.remove_first_instance(first)
        # Only instances of the path are considered: another instance may have
        # taken over the address since.
        at_fault = next(
            (
                segment.upstream
                for segment in sent.segments
                if segment.upstream.address == head.at_fault
            ),
            first,
        )
        self._path.excluded.add(at_fault.key)
        self._forwarding.record_pause(at_fault, head.pause_s)
        if head.status == HTTP_MISDIRECTED:
            self._forwarding.record_misdirected(at_fault)
        elif not directory.is_paused(at_fault):
            directory.record_full(at_fault)
            if at_fault is not first:
                self._forwarding.pool.record_reported(at_fault.address)
            self._forwarding.start_probe(at_fault, f"status {head.status}")
        self._failure_detail = (
            f"not run: status {head.status} because of {at_fault.address}"
        )
        self._log(
            "attempt_not_run",
            status=head.status,
            sent_path=stream_paths.format_path(sent.segments),
            at_fault=at_fault.instance_id,
            list_age_s=round(directory.get_age_s(), 3),
        )
        return _AttemptResult.NOT_RUN

    async def _forward_failure(
        self, connection: connections.Connection, head: messages.ResponseHead
    ) -> _AttemptResult:
        """Forwards an upstream's error response, or has another path tried."""
        self._forwarding.record_pause(
            self._path.segments[0].upstream, head.pause_s
        )
        body = await connection.read_body(MAX_ERROR_BYTES)
        self._failure_detail = f"status {head.status}"
        self._path.excluded.add(self._path.segments[0].upstream.key)
        may_repeat = self._request.route.may_repeat
        if self._writer.is_started or (may_repeat and self._send_count == 1):
            return _AttemptResult.LOST
        self._failure = (head, body)
        return _AttemptResult.DONE

    async def _relay(
        self, connection: connections.Connection, head: messages.ResponseHead
    ) -> _AttemptResult:
        parser = events.EventParser()
        loop = asyncio.get_running_loop()
        while data := await connection.read_chunk():
            if self._connection is None and self._next is not None:
                raise exceptions.UpstreamResponseLostError(
                    "the next attempt repeats what was received late"
                )
            now_s = loop.time()
            if received := parser.feed(data):
                self._record_progress(now_s, len(received))
                if not self._writer.is_started:
                    await self._writer.start(head)
                self._last_event_id = (
                    received[-1].event_id or self._last_event_id
                )
                self._event_count += len(received)
                data = b"".join(event.data for event in received)
                if connection.is_received() and not parser.remainder:
                    self._rest = data
                    continue
                self._is_writing = True
                await self._writer.write(data)
                self._is_writing = False
                self._progress.record_written(loop.time())
                self._monitor.reset_silence()
        if parser.remainder:
            raise exceptions.UpstreamResponseLostError(
                "response ended inside an event"
            )
        has_begun = bool(self._event_count or self._last_event_id)
        if head.ends_with_connection and not has_begun:
            # An instance that crashes closes its connections as well.
            raise exceptions.UpstreamResponseLostError(
                "connection closed before the first event"
            )
        if not self._writer.is_started:
            await self._writer.start(head)
        return _AttemptResult.DONE

    # Detection of silent and slow streams.

    def _record_progress(self, now_s: float, count: int) -> None:
        metrics = self._forwarding.metrics
        self._progress.record_events(now_s, self._path.get_slowdown)
        instances = [segment.upstream for segment in self._path.segments]
        for upstream in self._suspects.values():
            if upstream in instances:
                self._forwarding.record_life(upstream, instances[0])
        self._suspects.clear()
        if self._event_count == 0:
            self._path.finish_prefill()
            self._part_check.record_begin()
            metrics.first_event_s.observe(now_s - self._request.arrived_s)
        else:
            metrics.event_gap_s.observe(self._monitor.get_silence_s())
        self._monitor.record_events(count)

    def _probe_slow_path(self) -> None:
        """Probes the instances of a slow stream to update their slowdowns."""
        for segment in self._path.segments:
            self._forwarding.start_probe(segment.upstream, "slow")

    def _start_silence_check(self, silent_s: float) -> None:
        if self._is_writing:
            return  # The caller is slow; more events may have arrived.
        if self._silence_check_task is None or self._silence_check_task.done():
            self._silence_check_task = asyncio.create_task(
                self._probe_silent_path(silent_s)
            )

    def _stop_monitoring(self) -> None:
        self._monitor.stop()
        for task in (
            self._silence_check_task,
            self._path_change_task,
            self._move_task,
        ):
            if task is not None:
                task.cancel()
        self._silence_check_task = self._path_change_task = None
        self._move_task = None

    async def _probe_silent_path(self, silent_s: float) -> None:
        """Probes the instances of a silent stream and avoids stalled ones.

        All are probed at once: the first instance reports for which other one
        it waits, but only after a delay.
        """
        forwarding = self._forwarding
        first = self._path.segments[0].upstream
        if forwarding.directory.get(first.instance_id) is None:
            # It has left or is dead; probes would tell nothing new.
            await self._try_move("the first instance is not listed", [first])
            return
        self._check_suspects()
        if self._connection is None:
            return
        for segment in self._path.segments[1:]:
            forwarding.start_probe(segment.upstream, "silent")
        report = await forwarding.get_fresh_report(first, "silent")
        if report is None:
            return
        addresses = {address for _, address in report.stalled}
        if addresses:
            self._progress.record_stall()
        self._log(
            "stream_silent",
            silent_s=round(silent_s, 3),
            stalled=",".join(sorted(addresses)),
            pace_factor=report.slowdown,
        )
        if self._connection is None:
            return
        # The instance answers, though perhaps not on this connection.
        if forwarding.pool.is_way_lost(self._connection):
            if await self._try_move("the way to it is lost", [first]):
                return
        for address in addresses:
            upstream = forwarding.directory.find_by_address(address)
            if upstream is not None:
                forwarding.record_stall(upstream, first)
        self._replace_unknown_instances(report.stalled)

    def _check_suspects(self) -> None:
        """Leaves instances that the stream could not leave before."""
        directory = self._forwarding.directory
        first = self._path.segments[0].upstream
        if directory.is_replaced(first):
            self._disconnect("the first instance was replaced", [first])
        for upstream in list(self._suspects.values()):
            if directory.is_avoided(upstream):
                self.handle_suspect(upstream)

    def _replace_unknown_instances(
        self, stalled: tuple[tuple[str, str], ...]
    ) -> None:
        """Changes the path if this stream waits for an instance outside it.

        A change of the path that got no answer was carried out then.

        Args:
            stalled: Ids of stalled requests at the first instance, and the
                addresses that they wait for.
        """
        known = {segment.upstream.address for segment in self._path.segments}
        unknown = [
            upstream
            for request_id, address in stalled
            if request_id == self._request.request_id
            and address in self._unanswered_addresses - known
            and (
                upstream := self._forwarding.directory.find_by_address(address)
            )
        ]
        is_changing = (
            self._path_change_task is not None
            and not self._path_change_task.done()
        )
        if unknown and self._connection is not None and not is_changing:
            self._path_change_task = asyncio.create_task(
                self._change_path(self._connection, unknown)
            )

    def handle_suspect(self, upstream: upstreams.Upstream) -> None:
        """Moves the stream off an instance that is suspected to have failed.

        A sound instance may be silent for seconds and then go on. So the
        connection is ended only if the request is sent elsewhere at once;
        otherwise the stream waits until its next report of silence.
        """
        segments, connection = self._path.segments, self._connection
        keys = [segment.upstream.key for segment in segments]
        if upstream.key not in keys or connection is None:
            return
        self._suspects[upstream.key] = upstream
        if self._gets_events():
            return
        if keys[0] == upstream.key:
            # Others may test the parts of the prompt elsewhere.
            self._part_check.end_test()
            if self._move_task is None or self._move_task.done():
                self._move_task = asyncio.create_task(
                    self._try_move(
                        "the first instance is suspected", [upstream]
                    )
                )
            return
        if self._path_change_task is None or self._path_change_task.done():
            self._path_change_task = asyncio.create_task(
                self._replace_suspects(connection)
            )

    def _gets_events(self) -> bool:
        """Returns whether an event has just shown that the path works."""
        return (
            self._event_count > 0
            and self._monitor.get_silence_s() < stream_monitors.MIN_SILENCE_S
        )

    async def _try_move(
        self, why: str, suspects: list[upstreams.Upstream]
    ) -> bool:
        """Ends the attempt once the request was sent on another path.

        If it is refused there, the attempt goes on: its instances may be sound.

        Args:
            why: The reason, for the log.
            suspects: Instances of the path that are suspected.

        Returns:
            Whether the attempt was ended.
        """
        connection = self._connection
        if (
            connection is None
            or self._next is not None
            or not self._request.route.may_repeat
            or self._send_count >= MAX_SENDS
            or not self._is_prompt_clear()
        ):
            return False
        segments = self._choose_path()
        if segments is None or not self._try_take_retry():
            return False
        next_attempt = await self._prepare_attempt(segments)
        if self._connection is not connection or self._next is not None:
            # Another move may have ended the attempt or sent the request.
            if next_attempt is not None:
                next_attempt.discard()
            return False
        if (
            next_attempt is None
            or self._gets_events()
            or not self._path.is_usable(segments)
            or not self._is_prompt_clear()
            # Another move may have failed and returned the retry.
            or not self._try_take_retry()
        ):
            self._return_retry()
            if next_attempt is not None:
                next_attempt.discard()
            return False
        if not await self._start_next(next_attempt):
            # Another path may have room.
            return next_attempt.is_refused() and await self._try_move(
                why, suspects
            )
        first = self._path.segments[0].upstream
        self._was_disconnected = self._disconnect(why, suspects)
        if self._event_count == 0 and self._was_disconnected:
            self._forwarding.watch_left_instance(first, self._fingerprint)
        return True

    async def _start_next(self, next_attempt: _NextAttempt) -> bool:
        """Sends the request for the next attempt beside the present one.

        Returns:
            Whether the present attempt is to be ended.
        """
        forwarding, connection = self._forwarding, next_attempt.connection
        first = next_attempt.segments[0].upstream
        try:
            next_attempt.sent = self._send(connection, next_attempt.segments)
        except exceptions.UpstreamUnreachableError as error:
            self._log_not_sent(first, error)
            self._return_retry()
            next_attempt.discard()
            return False
        next_attempt.head_task = asyncio.create_task(
            forwarding.read_head(connection, self._request, first)
        )
        next_attempt.head_task.add_done_callback(_retrieve_exception)
        self._next = next_attempt
        await asyncio.wait({next_attempt.head_task}, timeout=REFUSAL_TIMEOUT_S)
        if next_attempt.is_refused():
            self._handle_not_run(
                next_attempt.head_task.result(), next_attempt.sent
            )
            self._discard_next()
        # Discards it if the present attempt has gone on.
        return self._get_next_path() is not None

    def _is_prompt_clear(self) -> bool:
        """Returns whether the prompt may be sent without a wait."""
        return self._event_count > 0 or self._part_check.is_clear()

    async def _prepare_attempt(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> "_NextAttempt | None":
        """Reserves a path and connects to its first instance, if possible."""
        forwarding, first = self._forwarding, segments[0].upstream
        reservation = self._path.hold(segments)
        forwarding.upstream_limits.take(first.key)
        connection = None
        try:
            connection = await forwarding.pool.open(first.address, True)
        except exceptions.UpstreamUnreachableError as error:
            self._log_not_sent(first, error)
            self._path.excluded.add(first.key)
            forwarding.record_unreachable(first, error)
            return None
        finally:
            if connection is None:
                reservation.__exit__()
        return _NextAttempt(segments, reservation, connection)

    def _disconnect(self, why: str, suspects: list[upstreams.Upstream]) -> bool:
        """Ends the connection of the attempt, which is lost then.

        Returns:
            Whether the upstream had not closed it before.
        """
        if self._connection is None:
            return False
        was_open = self._connection.disconnect(why)
        self._connection = None
        self._log(
            "attempt_disconnected",
            instance=self._path.segments[0].upstream.instance_id,
            why=why,
            suspects=_format_instances(suspects),
            was_open=was_open,
            silent_s=round(self._monitor.get_silence_s(), 4),
            may_repeat=self._request.route.may_repeat,
        )
        return was_open

    async def _replace_suspects(
        self, connection: connections.Connection
    ) -> None:
        """Changes the path until no instance after the first is suspected."""
        while self._connection is connection:
            suspects = self._find_suspects(self._path.segments[1:])
            if not suspects:
                return
            # Orders to an instance that is silent itself would be carried out
            # one after another when it goes on.
            if self._find_suspects(
                self._path.segments[:1]
            ) or not await self._change_path(connection, suspects):
                await asyncio.sleep(PATH_CHANGE_RETRY_S)

    async def _change_path(
        self,
        connection: connections.Connection,
        suspects: list[upstreams.Upstream],
    ) -> bool:
        """Tells the first instance to continue over other instances.

        Returns:
            Whether it does so. If not, the request is sent elsewhere if that
            is possible.
        """
        segments = self._choose_path(self._path.segments[:1])
        if segments is None:
            await self._try_move(
                "no other path begins at the first instance", suspects
            )
            return False
        outcome = await self._forwarding.control.change_path(
            segments[0].upstream,
            self._request.request_id,
            segments,
            PATH_CHANGE_TIMEOUT_S,
        )
        self._log(
            "path_changed",
            suspects=_format_instances(suspects),
            new_path=stream_paths.format_path(segments),
            is_accepted=outcome.is_accepted,
            detail=outcome.detail,
        )
        self._forwarding.metrics.path_changes.labels(
            "accepted" if outcome.is_accepted else "refused"
        ).inc()
        if self._connection is not connection:
            return False
        if not outcome.is_accepted:
            self._unanswered_addresses.update(
                segment.upstream.address for segment in segments
            )
            at_fault = self._forwarding.directory.find_by_address(
                outcome.unreachable_address
            )
            if at_fault is not None:
                self._path.excluded.add(at_fault.key)
            await self._try_move("path change failed", suspects)
            return False
        self._adopt_path(segments, self._path.hold(segments))
        if self._event_count:
            self._path.finish_prefill()
        self._monitor.reset_silence()
        return True


def _retrieve_exception(task: asyncio.Task) -> None:
    """Keeps the failure of a discarded attempt from being reported as lost."""
    if not task.cancelled():
        task.exception()


def _format_instances(instances: list[upstreams.Upstream]) -> str:
    return ",".join(instance.instance_id for instance in instances)
