"""Answers as completions and as server-sent events."""

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

DONE = b"data: [DONE]\n\n"


def make_completion(stream: streams.Stream) -> dict:
    """Returns the body of a whole answer."""
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
    prompt, answer = len(stream.request.prompt), len(stream.tokens)
    return {
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "total_tokens": prompt + answer,
    }


class EventWriter:
    """Writes a stream as server-sent events.

    A resumed stream starts after the event that the caller has. If the stream
    was produced anew, its tokens up to there must be those that were sent.

    Args:
        request: The caller's request.
        stream: Stream to write.
        resumed: Last event that the caller has.
        metrics: Metrics of the entry.
        trigger: Runs the action of the whole answer, if there is one, and
            returns its outcome.
    """

    def __init__(
        self,
        request: aiohttp.web.Request,
        stream: streams.Stream,
        resumed: events.EventId | None,
        metrics: metrics_module.Metrics,
        trigger: Callable[[], Awaitable[dict | None]],
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
        self._resumed = resumed
        self._metrics = metrics
        self._trigger = trigger

    async def write_all(self, started_s: float) -> str:
        """Writes the stream to its end and returns the outcome."""
        try:
            await self.response.prepare(self._request)
            return await self._write_events(started_s)
        except (ConnectionError, aiohttp.ClientError):
            return "disconnected"

    async def _write_events(self, started_s: float) -> str:
        stream = self._stream
        start = self._resumed.count if self._resumed is not None else 0
        last_s = started_s
        try:
            async for index, token in stream.read(start):
                if index == start:
                    self._check_digest()
                now_s = time.monotonic()
                is_first = index == 0
                series = (
                    self._metrics.first_token_s
                    if is_first
                    else self._metrics.token_gap_s
                )
                series.observe(now_s - last_s)
                last_s = now_s
                await self.response.write(self._encode_token(index, token))
            self._check_digest()
        except exceptions.StreamFailedError as error:
            await self.response.write(_encode_error(error))
            await self.response.write_eof()
            return error.outcome
        await self.response.write(self._encode_end())
        triggered = await self._trigger()
        if triggered is not None:
            await self.response.write(
                b"event: action\ndata: %b\n\n" % msgspec.json.encode(triggered)
            )
        await self.response.write(DONE)
        await self.response.write_eof()
        return "completed"

    def _check_digest(self) -> None:
        """Compares the tokens that the caller has with those produced here."""
        if self._resumed is None:
            return
        count = self._resumed.count
        digests = self._stream.digests
        is_same = count == 0 or (
            len(digests) >= count and digests[count - 1] == self._resumed.digest
        )
        if not is_same:
            raise exceptions.StreamFailedError(
                "the answer came out differently and cannot be resumed; send"
                " the request again without Last-Event-ID",
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

    def _encode_end(self) -> bytes:
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
