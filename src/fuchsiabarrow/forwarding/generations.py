"""Serves one request to a language model over a path of instances.

The first instance of the path gets the request and streams the events; the
others are named in it. A stream whose path breaks goes on over another one: the
first instance is told to use other instances for the rest, or, where that is
not possible, the request is sent again to resume after the last whole event.
"""

import asyncio
import enum
from typing import TYPE_CHECKING

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import events
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import stream_paths
from fuchsiabarrow.forwarding import watches
from fuchsiabarrow.limits import crashes
from fuchsiabarrow.telemetry import logs

if TYPE_CHECKING:
    from fuchsiabarrow.forwarding import service as service_module

__all__ = ["GenerationRun"]

MS_PER_S = 1000.0
REPATH_TIMEOUT_S = 0.25
# Pause before the next look for a path, for a stream that has begun.
PATH_RETRY_S = 0.1
MAX_ERROR_BYTES = 1_048_576
# Most upstreams that one request is sent to, refusals included.
MAX_SENDS = 5
HTTP_MISDIRECTED = 421

_log = logbook.Logger(__name__)


class _Result(enum.Enum):
    DONE = enum.auto()
    NOT_RUN = enum.auto()
    LOST = enum.auto()


class GenerationRun:
    """One request to a language model.

    Args:
        forwarding: Service that it belongs to.
        exchange: The request, where it goes and who gets the answer.
    """

    def __init__(
        self,
        forwarding: "service_module.ForwardingService",
        exchange: messages.Exchange,
    ):
        self._forwarding = forwarding
        self._request = exchange.request
        self._caller = exchange.caller
        self._service = exchange.service
        self._fingerprint = exchange.fingerprint
        self._path = stream_paths.StreamPath(forwarding, exchange)
        self._connection: connections.Connection | None = None
        self._may_have_run = False
        self._sends = 0
        self._last_event_id = exchange.request.last_event_id
        self._event_count = 0
        self._watch = watches.StreamWatch(
            self._ask_about_silence, self._look_for_slow_instance
        )
        self._inquiry: asyncio.Task | None = None
        self._path_change: asyncio.Task | None = None
        self._detail = ""

    # Final answers.

    async def serve(self) -> None:
        """Takes the request to its final answer."""
        request, forwarding = self._request, self._forwarding
        loop = asyncio.get_running_loop()
        forwarding.add_stream(self)
        try:
            async with asyncio.timeout(
                max(0.0, request.answer_by_s - loop.time())
            ):
                with self._path:
                    refusal = await self._run()
        except TimeoutError:
            refusal = messages.Refusal(
                messages.RefusalReason.TIMEOUT,
                not self._may_have_run,
                forwarding.draw_retry_after_s(),
                f"no whole answer in {request.route.timeout_s} s;"
                f" last path {stream_paths.format_path(self._path.parts)}",
            )
        finally:
            forwarding.remove_stream(self)
            self._stop_watching()
        if refusal is None:
            return
        if self._caller.is_started:
            self._log("stream_aborted", why=refusal.detail)
            self._caller.abort()
        else:
            await self._caller.refuse(refusal)

    async def _run(self) -> messages.Refusal | None:
        forwarding = self._forwarding
        while True:
            parts = self._choose_path()
            if parts is None:
                if not self._caller.is_started:
                    return self._make_refusal(
                        messages.RefusalReason.OVERLOADED,
                        self._path.describe_shortage(),
                    )
                await asyncio.sleep(PATH_RETRY_S)
                self._path.excluded.clear()
                continue
            if self._sends >= MAX_SENDS:
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED, self._detail
                )
            if self._sends and not forwarding.spend_retry(self._service.name):
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED,
                    f"retry budget spent; {self._detail}",
                )
            events_before = self._event_count
            result = await self._attempt(parts)
            if result is _Result.DONE:
                return None
            has_crashed = result is _Result.LOST and await self._has_crashed()
            if self._event_count > events_before:
                forwarding.crashes.clear(self._fingerprint)
            elif has_crashed:
                count = forwarding.crashes.add(self._fingerprint)
                if count >= crashes.CRASH_LIMIT:
                    return forwarding.make_crash_refusal(False)
            if result is _Result.LOST and not self._request.route.may_repeat:
                return self._make_refusal(
                    messages.RefusalReason.UPSTREAM_FAILED, self._detail
                )

    async def _has_crashed(self) -> bool:
        """Returns whether an instance of the path is gone."""
        answers = await asyncio.gather(
            *(
                self._forwarding.check_alive(part.upstream)
                for part in self._path.parts
            )
        )
        return not all(answers)

    def _make_refusal(
        self, reason: messages.RefusalReason, detail: str
    ) -> messages.Refusal:
        return messages.Refusal(
            reason,
            not self._may_have_run,
            self._forwarding.draw_retry_after_s(),
            detail,
        )

    def _log(self, event: str, **fields: object) -> None:
        _log.info(
            logs.format_event(
                event,
                request_id=self._request.request_id,
                path=stream_paths.format_path(self._path.parts),
                events=self._event_count,
                **fields,
            )
        )

    # Paths.

    def _choose_path(
        self, prefix: tuple[paths.Part, ...] = ()
    ) -> tuple[paths.Part, ...] | None:
        parts = self._path.choose(prefix)
        if parts is None:
            return None
        if not paths.is_whole(list(parts), self._service.engine.layers):
            self._log("path_invalid", found=stream_paths.format_path(parts))
            return None
        return parts

    def _take_path(self, parts: tuple[paths.Part, ...]) -> None:
        self._path.take(parts)
        event_ms = self._path.estimate_event_ms()
        self._watch.expect_interval(event_ms / MS_PER_S)

    # Attempts.

    async def _attempt(self, parts: tuple[paths.Part, ...]) -> _Result:
        """Sends the request over a path and passes on what comes."""
        forwarding, request = self._forwarding, self._request
        self._take_path(parts)
        first = parts[0].upstream
        try:
            connection = await forwarding.pool.open(
                first.address, request.route.may_repeat
            )
        except exceptions.UpstreamUnreachableError as error:
            self._detail = str(error)
            forwarding.note_failure(first, "connect")
            return _Result.NOT_RUN
        async with connection:
            self._connection = connection
            try:
                return await self._exchange(connection, first)
            except exceptions.UpstreamUnreachableError as error:
                self._detail = str(error)
                return _Result.NOT_RUN
            except exceptions.UpstreamLostError as error:
                self._detail = str(error)
                self._log("attempt_lost", why=self._detail)
                return _Result.LOST
            finally:
                self._connection = None
                self._stop_watching()

    async def _exchange(
        self, connection: connections.Connection, first: upstreams.Upstream
    ) -> _Result:
        forwarding, request = self._forwarding, self._request
        forwarding.send(
            connection,
            request,
            messages.Target(first, self._path.parts),
            self._last_event_id,
            self._sends > 0,
        )
        self._sends += 1
        is_new = self._path.note_entered(first)
        had_run = self._may_have_run
        self._may_have_run = True
        self._watch.start()
        head = await forwarding.read_head(connection, request, first)
        if head.is_not_run:
            self._may_have_run = had_run
            if is_new:
                self._path.forget_entered(first)
            return self._note_not_run(head, first)
        if not head.is_success:
            return await self._pass_failure(connection, head)
        return await self._relay(connection, head)

    def _note_not_run(
        self, head: messages.AnswerHead, first: upstreams.Upstream
    ) -> _Result:
        """Leaves out the instance that could not take its part."""
        directory = self._forwarding.directory
        # The address may belong to another instance by now.
        at_fault = next(
            (
                part.upstream
                for part in self._path.parts
                if part.upstream.address == head.at_fault
            ),
            first,
        )
        self._path.excluded.add(at_fault.key)
        if head.status == HTTP_MISDIRECTED:
            self._forwarding.note_misdirected(at_fault)
        else:
            directory.note_full(at_fault)
            self._forwarding.inquire(at_fault, f"status {head.status}")
        self._detail = f"not run: status {head.status} of {at_fault.address}"
        self._log(
            "attempt_not_run",
            status=head.status,
            at_fault=at_fault.instance_id,
            list_age_s=round(directory.get_age_s(), 3),
        )
        return _Result.NOT_RUN

    async def _pass_failure(
        self, connection: connections.Connection, head: messages.AnswerHead
    ) -> _Result:
        """Passes an upstream's own failure on, or tries another path."""
        body = await connection.read_all(MAX_ERROR_BYTES)
        self._detail = f"status {head.status}"
        self._path.excluded.add(self._path.parts[0].upstream.key)
        may_repeat = self._request.route.may_repeat
        if self._caller.is_started or (may_repeat and self._sends == 1):
            return _Result.LOST
        await self._caller.answer(head, body)
        return _Result.DONE

    async def _relay(
        self, connection: connections.Connection, head: messages.AnswerHead
    ) -> _Result:
        reader = events.EventReader()
        loop = asyncio.get_running_loop()
        while data := await connection.read_some():
            now_s = loop.time()
            if found := reader.feed(data):
                self._note_progress(now_s, len(found))
                if not self._caller.is_started:
                    await self._caller.start(head)
                self._last_event_id = found[-1].event_id or self._last_event_id
                self._event_count += len(found)
                await self._caller.write(b"".join(e.data for e in found))
                self._watch.note_written()
        if reader.rest:
            raise exceptions.UpstreamLostError("ended inside an event")
        if not self._caller.is_started:
            await self._caller.start(head)
        await self._caller.finish()
        return _Result.DONE

    # Silent and slow streams.

    def _note_progress(self, now_s: float, count: int) -> None:
        metrics = self._forwarding.metrics
        if self._event_count == 0:
            self._path.finish_reading()
            metrics.first_event_s.observe(now_s - self._request.arrived_s)
        else:
            metrics.event_gap_s.observe(self._watch.get_silent_s())
        self._watch.note_events(count)

    def _look_for_slow_instance(self) -> None:
        """Asks the instances of a slow stream how slow they work."""
        for part in self._path.parts:
            self._forwarding.inquire(part.upstream, "slow")

    def _ask_about_silence(self, silent_s: float) -> None:
        if self._inquiry is None or self._inquiry.done():
            self._inquiry = asyncio.create_task(self._inquire(silent_s))

    def _stop_watching(self) -> None:
        self._watch.stop()
        for task in (self._inquiry, self._path_change):
            if task is not None:
                task.cancel()
        self._inquiry = self._path_change = None

    async def _inquire(self, silent_s: float) -> None:
        """Asks the instances of a silent stream whether they are there.

        The first one knows which instance it waits for, but says so late.
        """
        forwarding = self._forwarding
        first = self._path.parts[0].upstream
        for part in self._path.parts[1:]:
            forwarding.inquire(part.upstream, "silent")
        report = await forwarding.ask(first, "silent")
        if report is None:
            return
        addresses = {address for _, address in report.stalled}
        self._log(
            "stream_silent",
            silent_s=round(silent_s, 3),
            stalled=",".join(sorted(addresses)),
            pace_factor=report.pace_factor,
        )
        for address in addresses:
            upstream = forwarding.directory.find_address(address)
            if upstream is not None:
                forwarding.note_failure(upstream, "stalled", is_told=True)

    def note_suspect(self, upstream: upstreams.Upstream) -> None:
        """Leaves an instance that is believed not to answer."""
        keys = [part.upstream.key for part in self._path.parts]
        if upstream.key not in keys or self._connection is None:
            return
        if keys[0] == upstream.key or self._event_count == 0:
            self._break_off("instance suspected")
        elif self._path_change is None or self._path_change.done():
            self._path_change = asyncio.create_task(
                self._leave_suspects(self._connection)
            )

    def _break_off(self, why: str) -> None:
        if self._connection is not None:
            self._connection.break_off(why)

    async def _leave_suspects(self, connection: connections.Connection) -> None:
        """Changes the path until none of its instances is suspected."""
        directory = self._forwarding.directory
        while self._connection is connection:
            parts = self._path.parts[1:]
            suspects = [
                part.upstream.instance_id
                for part in parts
                if directory.is_avoided(part.upstream)
            ]
            if not suspects:
                return
            await self._change_path(connection, suspects)

    async def _change_path(
        self, connection: connections.Connection, suspects: list[str]
    ) -> None:
        """Has the first instance go on over other instances."""
        parts = self._choose_path(self._path.parts[:1])
        if parts is None:
            connection.break_off("no other path from the first instance")
            self._connection = None
            return
        outcome = await self._forwarding.control.change_path(
            parts[0].upstream,
            self._request.request_id,
            parts,
            REPATH_TIMEOUT_S,
        )
        self._log(
            "path_changed",
            suspects=",".join(suspects),
            new_path=stream_paths.format_path(parts),
            is_accepted=outcome.is_accepted,
            detail=outcome.detail,
        )
        self._forwarding.metrics.path_changes.labels(
            "accepted" if outcome.is_accepted else "refused"
        ).inc()
        if self._connection is not connection:
            return
        if outcome.is_accepted:
            self._take_path(parts)
            self._path.finish_reading()
            self._watch.note_written()
        else:
            connection.break_off("path not changed")
            self._connection = None
