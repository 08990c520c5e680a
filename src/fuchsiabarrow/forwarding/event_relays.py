"""Passes the events of a stream from one upstream at a time to the caller."""

import asyncio

from fuchsiabarrow import exceptions
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import events
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import stream_progress

__all__ = ["EventRelay"]


class EventRelay:
    """Passes events on as they arrive, over all attempts of a request.

    A stream that is cut is resumed by another attempt after the last whole
    event; the caller sees one answer, with the head of the first one.

    Attributes:
        event_count: Number of events received.
        last_event_id: Id of the last event received; at first that after which
            the caller resumes the stream.
        progress: Its first event and longest gap.

    Args:
        context: What the handlers of all requests share.
        exchange: The request and its response writer.
        max_bytes: Maximum size of the events of one attempt.
    """

    def __init__(
        self,
        context: contexts.Context,
        exchange: messages.Exchange,
        max_bytes: int,
    ):
        request = exchange.request
        self.event_count = 0
        self.last_event_id = request.last_event_id
        self.progress = stream_progress.StreamProgress(
            request.arrived_s, context.loop_lags
        )
        self._context = context
        self._writer = exchange.writer
        self._max_bytes = max_bytes
        self._has_position = True
        # Whether a part of the next event has been received in an attempt.
        self._misses_event = False
        # Last bytes of the answer. They are sent after the time limit of the
        # upstreams has ended, as a caller may take longer to read them.
        self._rest = b""

    @property
    def can_resume(self) -> bool:
        """Whether another attempt would neither repeat nor omit an event."""
        return self._has_position

    async def relay(
        self, connection: connections.Connection, head: messages.ResponseHead
    ) -> None:
        """Passes on the events of one attempt, up to the end of the stream.

        Args:
            connection: Connection to the upstream.
            head: Head of its response.

        Raises:
            UpstreamResponseLostError: The stream was cut.
        """
        parser = events.EventParser(self._max_bytes)
        count_before, missed_event = self.event_count, self._misses_event
        if count_before:
            self.progress.record_move()
        try:
            with self._context.loop_lags:
                await self._pass_on(connection, head, parser)
        finally:
            is_inside = parser.is_inside_event
            if is_inside or self.event_count > count_before:
                self._misses_event = is_inside
        self._rest += parser.close()
        has_begun = self.event_count > count_before or (
            self.last_event_id and not missed_event
        )
        if head.ends_with_connection and not has_begun:
            # An upstream that crashes closes its connections as well.
            raise exceptions.UpstreamResponseLostError(
                "connection closed before the first event"
            )
        if not self._writer.is_started:
            await self._writer.start(head)

    async def _pass_on(
        self,
        connection: connections.Connection,
        head: messages.ResponseHead,
        parser: events.EventParser,
    ) -> None:
        """Passes on the events of one attempt as they arrive."""
        loop = asyncio.get_running_loop()
        while data := await connection.read_chunk():
            received = parser.feed(data)
            if not received:
                continue
            self._record(received, loop.time())
            if not self._writer.is_started:
                await self._writer.start(head)
            data = b"".join(event.data for event in received)
            if connection.is_received() and not parser.remainder:
                self._rest = data
                continue
            await self._writer.write(data)
            self.progress.record_written(loop.time())

    async def finish(self) -> None:
        """Sends the end of a stream that has arrived as a whole."""
        if self._rest:
            await self._writer.write(self._rest)
        await self._writer.finish()

    def _record(self, received: list[events.Event], now_s: float) -> None:
        metrics = self._context.metrics
        gap_s = now_s - self.progress.last_event_s
        if self.event_count:
            metrics.event_gap_s.observe(gap_s)
        else:
            metrics.first_event_s.observe(gap_s)
        self.progress.record_events(now_s, lambda: 1.0)
        self.event_count += len(received)
        last_id = received[-1].event_id
        self._has_position = bool(last_id)
        self.last_event_id = last_id or self.last_event_id
