"""Serves one request to a service without a language model.

Tries one upstream after another, within the limits of the route and the retry
budget. The events of a stream are passed on as they arrive; other answers only
once they are complete, so that another upstream may be tried until then.
"""

import asyncio

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import attempts
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import event_relays
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import retries
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.telemetry import logs

__all__ = ["PlainRequestHandler"]

MAX_ANSWER_BYTES = 16 * 1_048_576
HTTP_SERVER_ERROR = 500
# Time reserved for a refusal to reach the caller before its deadline.
REFUSAL_MARGIN_S = 0.02

_log = logbook.Logger(__name__)


class PlainRequestHandler:
    """Serves one request to a service without a language model.

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
        self._service = exchange.service
        self._fingerprint = exchange.fingerprint
        self._tried: set[tuple[str, int]] = set()
        self._run_count = 0
        self._send_count = 0
        self._retry = retries.HeldRetry(
            context.retry_budgets, exchange.service.name
        )
        self._relay = event_relays.EventRelay(
            context, exchange, MAX_ANSWER_BYTES
        )
        # Id of the last upstream that was tried; empty before the first.
        self._last_tried = ""
        self._lost_upstream: upstreams.Upstream | None = None
        # Last whole answer; that of a failure is kept while others are tried.
        self._answer: tuple[messages.ResponseHead, bytes] | None = None
        self._failed_upstream: upstreams.Upstream | None = None

    async def serve(self) -> messages.StreamSummary | None:
        """Forwards the request until the caller has a final answer.

        The time limit is that of the upstreams: a caller may take longer to
        read a whole answer.

        Returns:
            How it was served if events have arrived, else None.
        """
        request = self._request
        until_s = request.answer_deadline_s - REFUSAL_MARGIN_S
        try:
            async with self._context.ledger.limit_time(until_s, self._writer):
                refusal = await self._run()
        except TimeoutError:
            tried = (
                f"last upstream tried: {self._last_tried}"
                if self._last_tried
                else "no upstream tried"
            )
            refusal = self._context.ledger.make_time_refusal(
                request, self._run_count == 0, tried
            )
        finally:
            self._retry.put_back()
        if self._answer is not None:
            await self._writer.answer(*self._answer)
        elif refusal is None:
            await self._relay.finish()
        elif self._writer.is_started:
            self._record_abort(refusal)
            self._writer.abort()
        else:
            await self._writer.refuse(refusal)
        return self._summarise() if self._relay.event_count else None

    def _summarise(self) -> messages.StreamSummary:
        progress, generation = self._relay.progress, self._request.generation
        return messages.StreamSummary(
            path=self._last_tried,
            kinds="",
            crossings=0,
            sends=self._send_count,
            size_tokens=(
                generation.prompt_tokens + generation.max_answer_tokens
                if generation
                else 0
            ),
            first_event_s=round(progress.first_event_s, 4),
            longest_gap_s=round(progress.longest_gap_s, 4),
            gap_cause=progress.gap_cause.value if progress.gap_cause else "",
        )

    def _record_abort(self, refusal: messages.Refusal) -> None:
        """Logs and counts a stream that has begun and cannot continue."""
        request, context = self._request, self._context
        now_s = asyncio.get_running_loop().time()
        context.metrics.incomplete_answers.labels(refusal.reason.value).inc()
        _log.info(
            logs.format_event(
                "stream_aborted",
                request_id=request.request_id,
                path=self._last_tried,
                events=self._relay.event_count,
                reason=refusal.reason.value,
                why=refusal.detail,
                version=request.catalog_version,
                current_version=context.get_catalog().version,
                silent_s=round(now_s - self._relay.progress.last_event_s, 4),
                took_s=round(now_s - request.arrived_s, 4),
                limit_s=round(request.answer_deadline_s - request.arrived_s, 4),
                sends=self._send_count,
                may_repeat=request.route.may_repeat,
            )
        )

    async def _run(self) -> messages.Refusal | None:
        """Tries upstreams; returns a refusal, or None if one answered."""
        context = self._context
        detail = "no upstream available"
        while True:
            upstream = self._choose_upstream()
            if upstream is None:
                break
            if self._send_count and not self._retry.try_take():
                detail = "retry budget exhausted"
                break
            self._tried.add(upstream.key)
            context.upstream_limits.take(upstream.key)
            events_before = self._relay.event_count
            load = {upstream.key: loads.Load(1, 1)}
            with loads.Reservation(context.load_table, load):
                detail = await self._attempt(upstream)
            if detail is not None:
                self._log_failure(upstream, detail)
            else:
                return None
            has_progressed = self._relay.event_count > events_before
            if has_progressed:
                context.evidence.clear_crashes(self._fingerprint)
            has_crashed = (
                self._lost_upstream is not None and await self._has_crashed()
            )
            if has_crashed and not has_progressed:
                count = context.evidence.count_crash(
                    self._fingerprint, self._lost_upstream
                )
                if count >= crash_counts.CRASH_LIMIT:
                    return context.ledger.make_crash_refusal(False)
            if not self._may_try_again():
                break
        is_not_run = self._run_count == 0
        reason = messages.RefusalReason.UPSTREAM_FAILED
        if is_not_run:
            reason = messages.RefusalReason.NO_UPSTREAM
        retry_after_s = context.ledger.draw_retry_after_s()
        limited = [u for u in self._find_usable() if not self._has_permit(u)]
        if limited and not self._tried:
            detail = "all upstreams are at the limits that they announced"
            retry_after_s = max(
                retry_after_s,
                min(
                    context.upstream_limits.get_wait_s(upstream.key)
                    for upstream in limited
                ),
            )
        else:
            retry_after_s = max(retry_after_s, self._get_pause_wait_s())
        return messages.Refusal(reason, is_not_run, retry_after_s, detail)

    def _may_try_again(self) -> bool:
        """Returns whether the request may be sent to another upstream."""
        if self._run_count == 0:
            return True
        route = self._request.route
        return (
            route.may_repeat
            and self._run_count < route.max_attempts
            and self._relay.can_resume
        )

    def _get_pause_wait_s(self) -> float:
        """Returns the time until the first of the paused upstreams takes work.

        Returns:
            The time in seconds; 0 if an upstream is usable or none is paused.
        """
        directory, name = self._context.directory, self._service.name
        if directory.get_usable_upstreams(name):
            return 0.0
        return min(
            (
                directory.get_pause_s(upstream)
                for upstream in directory.get_upstreams(name)
                if not upstream.is_leaving and directory.is_paused(upstream)
            ),
            default=0.0,
        )

    def _log_failure(self, upstream: upstreams.Upstream, why: str) -> None:
        _log.info(
            logs.format_event(
                "attempt_failed",
                request_id=self._request.request_id,
                instance=upstream.instance_id,
                ran=self._run_count,
                why=why,
                list_age_s=round(self._context.directory.get_age_s(), 3),
            )
        )

    async def _has_crashed(self) -> bool:
        """Returns whether the upstream that lost the answer is unreachable.

        It is avoided then. An entry that reaches no upstream cannot tell.
        """
        context, upstream = self._context, self._lost_upstream
        try:
            connection = await context.pool.open(upstream.address, False)
        except exceptions.UpstreamUnreachableError as error:
            if context.pool.is_isolated():
                return False
            context.evidence.record_unreachable(upstream, error)
            return True
        connection.close()
        return False

    def _has_permit(self, upstream: upstreams.Upstream) -> bool:
        return self._context.upstream_limits.has_permit(upstream.key)

    def _find_usable(self) -> list[upstreams.Upstream]:
        """Returns the upstreams that were not tried yet."""
        context = self._context
        usable = [
            u
            for u in context.directory.get_usable_upstreams(self._service.name)
            if u.key not in self._tried
        ]
        if not usable and not self._tried:
            # If all upstreams are suspected, the fault is probably elsewhere:
            # any that is not leaving may be tried.
            usable = [
                u
                for u in context.directory.get_upstreams(self._service.name)
                if not u.is_leaving and not context.directory.is_paused(u)
            ]
        return usable

    def _choose_upstream(self) -> upstreams.Upstream | None:
        """Returns the least loaded of the usable upstreams with a permit."""
        context = self._context
        own_domain = context.failure_domain

        def compute_cost(upstream: upstreams.Upstream) -> tuple:
            requests = context.load_table.get(upstream.key).requests
            is_remote = upstream.failure_domain != own_domain
            utilisation = requests / max(1, upstream.slots)
            return (utilisation, is_remote, context.random_source.random())

        permitted = [u for u in self._find_usable() if self._has_permit(u)]
        return min(permitted, key=compute_cost, default=None)

    async def _attempt(self, upstream: upstreams.Upstream) -> str | None:
        """Sends the request once; returns the error, or None on success."""
        context, request = self._context, self._request
        self._last_tried = upstream.instance_id
        self._lost_upstream = None
        may_reuse = request.route.may_repeat
        try:
            connection = await context.pool.open(upstream.address, may_reuse)
        except exceptions.UpstreamUnreachableError as error:
            context.evidence.record_unreachable(upstream, error)
            return str(error)
        async with connection:
            try:
                return await self._send_and_receive(connection, upstream)
            except exceptions.UpstreamUnreachableError as error:
                return str(error)
            except exceptions.UpstreamResponseLostError as error:
                context.directory.record_unsuccessful_request(upstream)
                self._lost_upstream = upstream
                return str(error)

    async def _send_and_receive(
        self,
        connection: connections.Connection,
        upstream: upstreams.Upstream,
    ) -> str | None:
        context, request = self._context, self._request
        target = messages.AttemptTarget(upstream)
        attempts.send(
            context,
            connection,
            request,
            target,
            self._relay.last_event_id,
            self._send_count > 0,
        )
        self._send_count += 1
        self._retry.use()
        self._run_count += 1
        head = await attempts.read_head(context, connection, request, upstream)
        context.evidence.record_pause(upstream, head.pause_s)
        if self._is_stream(head):
            # The failure of an earlier attempt is not the answer any more.
            self._answer = None
            await self._relay.relay(connection, head)
            self._record_success(upstream)
            return None
        body = await connection.read_body(MAX_ANSWER_BYTES)
        if head.is_not_run:
            self._run_count -= 1
            return (
                f"{upstream.instance_id} did not run the request:"
                f" status {head.status}"
            )
        if head.status < HTTP_SERVER_ERROR:
            self._record_success(upstream)
        if self._writer.is_started:
            return f"status {head.status} instead of the rest of the stream"
        self._answer = (head, body)
        may_retry = (
            head.status >= HTTP_SERVER_ERROR
            and request.route.may_repeat
            and self._run_count < request.route.max_attempts
        )
        if may_retry:
            self._failed_upstream = upstream
            return f"status {head.status}"
        return None

    def _is_stream(self, head: messages.ResponseHead) -> bool:
        """Returns whether the answer is passed on event by event."""
        return (
            self._request.route.kind is documents.RequestKind.STREAM
            and self._request.method != "HEAD"
            and head.is_success
            and head.has_events
            and not head.is_not_run
        )

    def _record_success(self, upstream: upstreams.Upstream) -> None:
        context = self._context
        context.directory.record_success(upstream)
        context.evidence.clear_crashes(self._fingerprint)
        if self._failed_upstream is not None:
            # The failure is recorded against the upstream only once another
            # one served the request: some requests fail everywhere.
            context.directory.record_unsuccessful_request(self._failed_upstream)
