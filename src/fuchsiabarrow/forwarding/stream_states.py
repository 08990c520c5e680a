"""State of one request to a language model, over all its attempts.

The handler of the request and the object that moves its stream to other paths
share it: both send the request.
"""

import asyncio
import dataclasses

import logbook

from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import attempts
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import part_checks
from fuchsiabarrow.forwarding import retries
from fuchsiabarrow.forwarding import stream_paths
from fuchsiabarrow.forwarding import stream_progress
from fuchsiabarrow.scheduling import room
from fuchsiabarrow.telemetry import logs

__all__ = ["NextAttempt", "SentRequest", "StreamState"]

# Maximum number of times that one request is sent, including sends that an
# upstream refused.
MAX_SENDS = 5
# Maximum number of slow instances without which another path is searched for,
# as each search looks at all instances.
MAX_LEFT_OUT = 3
HTTP_MISDIRECTED = 421

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class SentRequest:
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
class NextAttempt:
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
    sent: SentRequest | None = None
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


class StreamState:
    """What was sent and received for one request to a language model.

    Attributes:
        request: The request.
        path: Its current path and the capacity reserved there.
        part_check: Check of the parts of its prompt.
        progress: Its first event and longest gap.
        claim: Its claim to the capacity of the service; None if requests of
            unlike ranks do not compete there.
        retry: The retry that it has taken from the budget and not used yet.
        connection: Connection of the present attempt; None between attempts.
        was_disconnected: Whether this entry itself ended the connection of the
            attempt.
        following: The next attempt, prepared before the connection of the
            present one was ended; None if there is none.
        run_count: Number of times that it was sent and may have run.
        send_count: Number of times that it was sent.
        event_count: Number of events received.
        last_event_id: Id of the last event received; at first that after which
            the caller resumes the stream.
        misses_event: Whether a part of the next event has been received in an
            attempt.
        is_writing: Whether a write to the caller is in progress.
        failure_detail: Why the last attempt has failed.

    Args:
        context: What the handlers of all requests share.
        exchange: The request and its service.
    """

    def __init__(self, context: contexts.Context, exchange: messages.Exchange):
        self.request = exchange.request
        self.path = stream_paths.StreamPath(context, exchange)
        self.part_check = part_checks.PartCheck(context, exchange.request)
        self.progress = stream_progress.StreamProgress(
            exchange.request.arrived_s, context.loop_lags
        )
        self.claim = context.scheduler.make_claim(
            exchange.request, exchange.service, self.path.size_tokens
        )
        self.retry = retries.HeldRetry(
            context.retry_budgets,
            exchange.service.name,
            self.claim.retry_reserve if self.claim else 0.0,
        )
        self.connection: connections.Connection | None = None
        self.was_disconnected = False
        self.following: NextAttempt | None = None
        self.run_count = 0
        self.send_count = 0
        self.event_count = 0
        self.last_event_id = exchange.request.last_event_id
        self.misses_event = False
        self.is_writing = False
        self.failure_detail = ""
        self._context = context
        self._service = exchange.service

    def log(self, event: str, **fields: object) -> None:
        """Logs an event with the request, its path and its progress."""
        _log.info(
            logs.format_event(
                event,
                request_id=self.request.request_id,
                path=stream_paths.format_path(self.path.segments),
                events=self.event_count,
                **fields,
            )
        )

    def choose_path(
        self,
        prefix: tuple[paths.PathSegment, ...] = (),
        memory_fraction: float = 1.0,
    ) -> tuple[paths.PathSegment, ...] | None:
        """Returns the cheapest complete path, if any.

        Args:
            prefix: Segments of the current path that the path must begin with.
            memory_fraction: Fraction of the instances' context memory that the
                request may fill.
        """
        segments = self.path.choose(
            prefix, self.part_check.is_test, memory_fraction
        )
        if segments is None:
            return None
        if not paths.is_complete_path(
            list(segments), self._service.engine.layers
        ):
            self.log("path_invalid", found=stream_paths.format_path(segments))
            return None
        return segments

    def choose_steady_path(
        self, memory_fraction: float
    ) -> tuple[paths.PathSegment, ...] | None:
        """Returns the cheapest path that keeps the gaps of the route.

        If none does, the cheapest one: a late answer is better than none.

        Args:
            memory_fraction: Fraction of the instances' context memory that the
                request may fill.
        """
        path, gap_s = self.path, self.request.route.event_gap_objective_s
        cheapest = segments = self.choose_path((), memory_fraction)
        left_out = []
        while segments is not None and not room.keeps_gaps(
            path.estimate_event_gap_s(segments), gap_s
        ):
            slowest = path.find_slowest(segments)
            if len(left_out) == MAX_LEFT_OUT or slowest in path.excluded:
                segments = None
                break
            left_out.append(slowest)
            path.excluded.add(slowest)
            segments = self.choose_path((), memory_fraction)
        path.excluded.difference_update(left_out)
        return segments or cheapest

    def get_following_path(self) -> tuple[paths.PathSegment, ...] | None:
        """Returns the path of the next attempt, if it is still usable."""
        following = self.following
        if following is None:
            return None
        if (
            following.sent is None
            # It would repeat events that were received since.
            or following.sent.event_count != self.event_count
            or not self.path.is_usable(following.segments)
        ):
            self.discard_following()
            return None
        return following.segments

    def discard_following(self) -> None:
        """Ends the next attempt, if one was started."""
        if self.following is not None:
            self.following.discard()
            self.following = None

    def send(
        self,
        connection: connections.Connection,
        segments: tuple[paths.PathSegment, ...],
    ) -> SentRequest:
        """Sends the request over a path.

        Raises:
            UpstreamUnreachableError: The connection was closed before.
        """
        context, first = self._context, segments[0].upstream
        attempts.send(
            context,
            connection,
            self.request,
            messages.AttemptTarget(
                first,
                segments,
                self.claim.wire_priority if self.claim else None,
            ),
            self.last_event_id,
            self.send_count > 0,
        )
        self.send_count += 1
        self.retry.use()
        context.metrics.domain_crossings.inc(
            stream_paths.count_crossings(segments)
        )
        sent = SentRequest(
            segments,
            self.path.record_first_instance(first),
            self.event_count,
        )
        self.run_count += 1
        return sent

    def record_not_sent(
        self, first: upstreams.Upstream, error: Exception
    ) -> None:
        """Records that a first instance could not be sent the request."""
        self.failure_detail = str(error)
        self.log(
            "attempt_not_run",
            at_fault=first.instance_id,
            why=self.failure_detail,
            list_age_s=round(self._context.directory.get_age_s(), 3),
        )

    def handle_not_run(
        self, head: messages.ResponseHead, sent: SentRequest
    ) -> None:
        """Excludes the instance that refused its segment of the path.

        Args:
            head: Head of the response, which states that nothing has run.
            sent: The request that it answers.
        """
        directory = self._context.directory
        first = sent.segments[0].upstream
        self.run_count -= 1
        if sent.is_first_send:
            self.path.remove_first_instance(first)
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
        self.path.excluded.add(at_fault.key)
        self._context.evidence.record_pause(at_fault, head.pause_s)
        if head.status == HTTP_MISDIRECTED:
            self._context.evidence.record_misdirected(at_fault)
        elif not directory.is_paused(at_fault):
            directory.record_full(at_fault)
            if at_fault is not first:
                self._context.pool.record_reported(at_fault.address)
            self._context.evidence.start_probe(
                at_fault, f"status {head.status}"
            )
        self.failure_detail = (
            f"not run: status {head.status} because of {at_fault.address}"
        )
        self.log(
            "attempt_not_run",
            status=head.status,
            sent_path=stream_paths.format_path(sent.segments),
            at_fault=at_fault.instance_id,
            list_age_s=round(directory.get_age_s(), 3),
        )
