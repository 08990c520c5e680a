"""Encodes answers as JSON completions or as server-sent events."""

from collections.abc import Awaitable
from collections.abc import Callable
import time

import aiohttp.web
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.entry import problems
from fuchsiabarrow.streams import events
from fuchsiabarrow.streams import streams
from fuchsiabarrow.streams import tokenizers
from fuchsiabarrow.telemetry import metrics as metrics_module

__all__ = ["EventWriter", "make_completion"]

DONE_EVENT = b"data: [DONE]\n\n"


def make_completion(stream: streams.Stream) -> dict:
    """Returns the JSON body of a complete answer."""
    text = "".join(tokenizers.decode_token(t) for t in stream.tokens)
    return {
        "id": stream.request.request_id,
        "object": "chat.completion",
        "model": stream.request.pipeline,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": stream.finish_reason,
            }
        ],
        "usage": _make_usage(stream),
    }


def _make_usage(stream: streams.Stream) -> dict:
    prompt_tokens, answer_tokens = (
        len(stream.request.prompt),
        len(stream.tokens),
    )
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": answer_tokens,
        "total_tokens": prompt_tokens + answer_tokens,
    }


class EventWriter:
    """Writes a stream as server-sent events.

    A resumed stream starts after the last event that the caller received. If
    the stream was generated again, its tokens up to that event must equal those
    that were sent, which the digest in the event id shows.

    Attributes:
        response: Response that the handler returns after `write_all`.

    Args:
        request: The caller's request.
        stream: Stream to write.
        resume_after: Id of the last event that the caller received, None for a
            new stream.
        metrics: Metrics of the entry.
        run_triggered_action: Runs the action that the complete answer triggers
            and returns its outcome, None if there is no action.
    """

    def __init__(
        self,
        request: aiohttp.web.Request,
        stream: streams.Stream,
        resume_after: events.EventId | None,
        metrics: metrics_module.PipelineMetrics,
        run_triggered_action: Callable[[], Awaitable[dict | None]],
    ):
        self.response = aiohttp.web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-cache",
                "Request-Id": stream.request.request_id,
            }
        )
        self._request = request
        self._stream = stream
        self._resume_after = resume_after
        self._metrics = metrics
        self._run_triggered_action = run_triggered_action

    async def write_all(self, started_s: float) -> str:
        """Writes the stream until it ends.

        Args:
            started_s: Monotonic time from which the latency of the first token
                is measured.

        Returns:
            The outcome: ``completed``, that of the error that ended the stream,
            or ``disconnected`` if the caller disconnected.
        """
        try:
            await self.response.prepare(self._request)
            return await self._write_events(started_s)
        except (ConnectionError, aiohttp.ClientError):
            # If another connection has failed, the caller's is still open, and
            # the stream would be finished as if it were complete.
            if self._request.transport is not None:
                self._request.transport.close()
            return "disconnected"

    async def _write_events(self, started_s: float) -> str:
        stream = self._stream
        start = (
            self._resume_after.count if self._resume_after is not None else 0
        )
        previous_s = started_s
        try:
            async for index, token in stream.read(start):
                if index == start:
                    self._check_digest()
                now_s = time.monotonic()
                is_first = index == 0
                histogram = (
                    self._metrics.first_token_s
                    if is_first
                    else self._metrics.token_gap_s
                )
                histogram.observe(now_s - previous_s)
                previous_s = now_s
                await self.response.write(self._encode_token(index, token))
            self._check_digest()
        except exceptions.StreamFailedError as error:
            await self.response.write(_encode_error(error))
            await self.response.write_eof()
            return error.outcome
        await self.response.write(self._encode_final_chunk())
        action_outcome = await self._run_triggered_action()
        if action_outcome is not None:
            await self.response.write(
                b"event: action\ndata: %b\n\n"
                % msgspec.json.encode(action_outcome)
            )
        await self.response.write(DONE_EVENT)
        await self.response.write_eof()
        return "completed"

    def _check_digest(self) -> None:
        """Checks that the caller received the same tokens as generated here."""
        if self._resume_after is None:
            return
        count = self._resume_after.count
        digests = self._stream.digests
        is_same = count == 0 or (
            len(digests) >= count
            and digests[count - 1] == self._resume_after.digest
        )
        if not is_same:
            raise exceptions.StreamFailedError(
                "the answer differs from the one sent before and cannot be"
                " resumed; send the request again without Last-Event-ID",
                "failed",
                0.0,
            )

    def _encode_token(self, index: int, token: int) -> bytes:
        stream = self._stream
        event_id = events.EventId(
            stream.request.request_id,
            index + 1,
            stream.digests[index],
        )
        delta = {"content": tokenizers.decode_token(token)}
        body = self._make_chunk(delta, None)
        return b"id: %b\ndata: %b\n\n" % (
            events.format_id(event_id).encode(),
            msgspec.json.encode(body),
        )

    def _encode_final_chunk(self) -> bytes:
        body = self._make_chunk({}, self._stream.finish_reason)
        body["usage"] = _make_usage(self._stream)
        return b"data: %b\n\n" % msgspec.json.encode(body)

    def _make_chunk(self, delta: dict, finish_reason: str | None) -> dict:
        return {
            "id": self._stream.request.request_id,
            "object": "chat.completion.chunk",
            "model": self._stream.request.pipeline,
            "choices": [
                {"index": 0, "delta": delta, "finish_reason": finish_reason}
            ],
        }


def _encode_error(error: exceptions.StreamFailedError) -> bytes:
    problem = problems.encode_problem(
        503,
        "stream-failed",
        str(error),
        error.outcome,
        retry_after_s=error.retry_after_s,
    )
    return b"event: error\ndata: %b\n\n" % problem
