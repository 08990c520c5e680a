"""Detects that a stream is silent or slow, and moves it to another path.

A later instance of the path is replaced by an order to the first one. If that
is not possible, or if the first instance is suspected, the request is sent on
another path before the present attempt is ended.
"""

import asyncio

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import attempts
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import stream_monitors
from fuchsiabarrow.forwarding import stream_paths
from fuchsiabarrow.forwarding import stream_states

__all__ = ["PathMover"]

MS_PER_S = 1000.0
PATH_CHANGE_TIMEOUT_S = 0.25
# Time for which a running attempt is kept after the request was sent on another
# path: an instance that refuses a request does so at once.
REFUSAL_TIMEOUT_S = 0.25
# Pause between attempts to replace suspected instances of a running stream.
PATH_CHANGE_RETRY_S = 0.4


class PathMover:
    """Moves one stream off instances that are silent or have failed.

    Implements `fuchsiabarrow.forwarding.ledgers.Stream`.

    Attributes:
        monitor: Reports that the stream is silent or slow.

    Args:
        context: What the handlers of all requests share.
        state: State of the request, shared with its handler.
        fingerprint: Hash of the request, under which crashes are counted.
    """

    def __init__(
        self,
        context: contexts.Context,
        state: stream_states.StreamState,
        fingerprint: int,
    ):
        self.monitor = stream_monitors.StreamMonitor(
            self._start_silence_check,
            self._probe_slow_path,
            self._leave_suspects,
            state.request.route.event_gap_objective_s,
        )
        self._context = context
        self._state = state
        self._request = state.request
        self._path = state.path
        self._part_check = state.part_check
        self._fingerprint = fingerprint
        # Addresses in path changes that got no answer.
        self._unanswered_addresses: set[str] = set()
        # Suspected instances of the path that the stream could not leave yet.
        self._suspects: dict[tuple[str, int], upstreams.Upstream] = {}
        self._silence_check_task: asyncio.Task | None = None
        self._path_change_task: asyncio.Task | None = None
        self._move_task: asyncio.Task | None = None

    def adopt_path(
        self,
        segments: tuple[paths.PathSegment, ...],
        reservation: loads.Reservation,
        is_change: bool = False,
    ) -> None:
        """Makes a path with reserved capacity the current one.

        Args:
            segments: The path.
            reservation: The capacity.
            is_change: Whether the stream has begun and goes on there.
        """
        self._suspects.clear()
        if is_change:
            self._path.adopt_change(segments, reservation)
        else:
            self._path.adopt(segments, reservation)
        self._state.progress.record_move()
        event_ms = self._path.estimate_event_ms()
        self.monitor.set_expected_interval(event_ms / MS_PER_S)

    def stop(self) -> None:
        """Stops watching an attempt and ends moves in progress."""
        self.monitor.stop()
        for task in (
            self._silence_check_task,
            self._path_change_task,
            self._move_task,
        ):
            if task is not None:
                task.cancel()
        self._silence_check_task = self._path_change_task = None
        self._move_task = None

    def record_life(self) -> None:
        """Records an event: the instances that it waited for are alive."""
        instances = [segment.upstream for segment in self._path.segments]
        for upstream in self._suspects.values():
            if upstream in instances:
                self._context.evidence.record_life(upstream, instances[0])
        self._suspects.clear()

    def handle_suspect(self, upstream: upstreams.Upstream) -> None:
        """Moves the stream off an instance that is suspected to have failed.

        A sound instance may be silent for seconds and then go on. So the
        connection is ended only if the request is sent elsewhere at once;
        otherwise the stream waits until its next report of silence.
        """
        segments, connection = self._path.segments, self._state.connection
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

    # Detection of silent and slow streams.

    def _probe_slow_path(self) -> None:
        """Probes the instances of a slow stream to update their slowdowns."""
        for segment in self._path.segments:
            self._context.evidence.start_probe(segment.upstream, "slow")

    def _leave_suspects(self) -> None:
        """Leaves suspected instances before the next event is late.

        An event that arrived after the suspicion may have passed through them
        before they failed.
        """
        if self._state.is_writing:
            return
        for upstream in self._find_suspects(self._path.segments):
            self.handle_suspect(upstream)

    def _start_silence_check(self, silent_s: float) -> None:
        if self._state.is_writing:
            return  # The caller is slow; more events may have arrived.
        if self._silence_check_task is None or self._silence_check_task.done():
            self._silence_check_task = asyncio.create_task(
                self._probe_silent_path(silent_s)
            )

    async def _probe_silent_path(self, silent_s: float) -> None:
        """Probes the instances of a silent stream and avoids stalled ones.

        All are probed at once: the first instance reports for which other one
        it waits, but only after a delay.
        """
        context, state = self._context, self._state
        first = self._path.segments[0].upstream
        if context.directory.get(first.instance_id) is None:
            # It has left or is dead; probes would tell nothing new.
            await self._try_move("the first instance is not listed", [first])
            return
        self._check_suspects()
        if state.connection is None:
            return
        for segment in self._path.segments[1:]:
            context.evidence.start_probe(segment.upstream, "silent")
        report = await context.evidence.get_fresh_report(first, "silent")
        if report is None:
            return
        addresses = {address for _, address in report.stalled}
        if addresses:
            state.progress.record_stall()
        state.log(
            "stream_silent",
            silent_s=round(silent_s, 3),
            stalled=",".join(sorted(addresses)),
            pace_factor=report.slowdown,
        )
        if state.connection is None:
            return
        # The instance answers, though perhaps not on this connection.
        if context.pool.is_way_lost(state.connection):
            if await self._try_move("the way to it is lost", [first]):
                return
        for address in addresses:
            upstream = context.directory.find_by_address(address)
            if upstream is not None:
                context.evidence.record_stall(upstream, first)
        self._replace_unknown_instances(report.stalled)

    def _check_suspects(self) -> None:
        """Leaves instances that the stream could not leave before."""
        directory = self._context.directory
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
            and (upstream := self._context.directory.find_by_address(address))
        ]
        is_changing = (
            self._path_change_task is not None
            and not self._path_change_task.done()
        )
        if unknown and self._state.connection is not None and not is_changing:
            self._path_change_task = asyncio.create_task(
                self._change_path(self._state.connection, unknown)
            )

    def _gets_events(self) -> bool:
        """Returns whether an event has just shown that the path works."""
        now_s = asyncio.get_running_loop().time()
        return (
            self._state.event_count > 0
            and now_s - self._state.progress.last_progress_s
            < stream_monitors.MIN_SILENCE_S
        )

    # Sending the request on another path.

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
        state = self._state
        connection = state.connection
        if (
            connection is None
            or state.following is not None
            or not self._request.route.may_repeat
            or state.send_count >= stream_states.MAX_SENDS
            or not self._is_prompt_clear()
        ):
            return False
        segments = state.choose_path()
        if segments is None or not state.retry.try_take():
            return False
        next_attempt = await self._prepare_attempt(segments)
        if state.connection is not connection or state.following is not None:
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
            or not state.retry.try_take()
        ):
            state.retry.put_back()
            if next_attempt is not None:
                next_attempt.discard()
            return False
        if not await self._start_next(next_attempt):
            # Another path may have room.
            return next_attempt.is_refused() and await self._try_move(
                why, suspects
            )
        first = self._path.segments[0].upstream
        state.was_disconnected = self._disconnect(why, suspects)
        if state.event_count == 0 and state.was_disconnected:
            self._context.evidence.watch_left_instance(first, self._fingerprint)
        return True

    def _is_prompt_clear(self) -> bool:
        """Returns whether the prompt may be sent without a wait."""
        return self._state.event_count > 0 or self._part_check.is_clear()

    async def _prepare_attempt(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> stream_states.NextAttempt | None:
        """Reserves a path and connects to its first instance, if possible."""
        context, first = self._context, segments[0].upstream
        reservation = self._path.hold(segments)
        context.upstream_limits.take(first.key)
        connection = None
        try:
            connection = await context.pool.open(first.address, True)
        except exceptions.UpstreamUnreachableError as error:
            self._state.record_not_sent(first, error)
            self._path.excluded.add(first.key)
            context.evidence.record_unreachable(first, error)
            return None
        finally:
            if connection is None:
                reservation.__exit__()
        return stream_states.NextAttempt(segments, reservation, connection)

    async def _start_next(
        self, next_attempt: stream_states.NextAttempt
    ) -> bool:
        """Sends the request for the next attempt beside the present one.

        Returns:
            Whether the present attempt is to be ended.
        """
        state = self._state
        context, connection = self._context, next_attempt.connection
        first = next_attempt.segments[0].upstream
        try:
            next_attempt.sent = state.send(connection, next_attempt.segments)
        except exceptions.UpstreamUnreachableError as error:
            state.record_not_sent(first, error)
            state.retry.put_back()
            next_attempt.discard()
            return False
        next_attempt.head_task = asyncio.create_task(
            attempts.read_head(context, connection, self._request, first)
        )
        next_attempt.head_task.add_done_callback(_retrieve_exception)
        state.following = next_attempt
        await asyncio.wait({next_attempt.head_task}, timeout=REFUSAL_TIMEOUT_S)
        if next_attempt.is_refused():
            state.handle_not_run(
                next_attempt.head_task.result(), next_attempt.sent
            )
            state.discard_following()
        # Discards it if the present attempt has gone on.
        return state.get_following_path() is not None

    def _disconnect(self, why: str, suspects: list[upstreams.Upstream]) -> bool:
        """Ends the connection of the attempt, which is lost then.

        Returns:
            Whether the upstream had not closed it before.
        """
        state = self._state
        if state.connection is None:
            return False
        was_open = state.connection.disconnect(why)
        state.connection = None
        state.log(
            "attempt_disconnected",
            instance=self._path.segments[0].upstream.instance_id,
            why=why,
            suspects=_format_instances(suspects),
            was_open=was_open,
            silent_s=round(self.monitor.get_silence_s(), 4),
            may_repeat=self._request.route.may_repeat,
        )
        return was_open

    # Changing the path after the first instance.

    async def _replace_suspects(
        self, connection: connections.Connection
    ) -> None:
        """Changes the path until no instance after the first is suspected."""
        while self._state.connection is connection:
            suspects = self._find_suspects(self._path.segments[1:])
            if not suspects:
                return
            # Orders to an instance that is silent itself would be carried out
            # one after another when it goes on.
            if self._find_suspects(
                self._path.segments[:1]
            ) or not await self._change_path(connection, suspects):
                await asyncio.sleep(PATH_CHANGE_RETRY_S)

    def _find_suspects(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> list[upstreams.Upstream]:
        """Returns the instances of a path that are avoided."""
        directory = self._context.directory
        return [
            segment.upstream
            for segment in segments
            if directory.is_avoided(segment.upstream)
        ]

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
        state = self._state
        segments = state.choose_path(self._path.segments[:1])
        if segments is None:
            await self._try_move(
                "no other path begins at the first instance", suspects
            )
            return False
        outcome = await self._context.control.change_path(
            segments[0].upstream,
            self._request.request_id,
            segments,
            PATH_CHANGE_TIMEOUT_S,
        )
        state.log(
            "path_changed",
            suspects=_format_instances(suspects),
            new_path=stream_paths.format_path(segments),
            is_accepted=outcome.is_accepted,
            detail=outcome.detail,
        )
        self._context.metrics.path_changes.labels(
            "accepted" if outcome.is_accepted else "refused"
        ).inc()
        if state.connection is not connection:
            return False
        if not outcome.is_accepted:
            self._unanswered_addresses.update(
                segment.upstream.address for segment in segments
            )
            at_fault = self._context.directory.find_by_address(
                outcome.unreachable_address
            )
            if at_fault is not None:
                self._path.excluded.add(at_fault.key)
            await self._try_move("path change failed", suspects)
            return False
        reservation = self._path.hold(segments)
        if state.event_count:
            self.adopt_path(segments, reservation, is_change=True)
        else:
            self.adopt_path(segments, reservation)
        self.monitor.reset_silence()
        return True


def _retrieve_exception(task: asyncio.Task) -> None:
    """Keeps the failure of a discarded attempt from being reported as lost."""
    if not task.cancelled():
        task.exception()


def _format_instances(instances: list[upstreams.Upstream]) -> str:
    return ",".join(instance.instance_id for instance in instances)
