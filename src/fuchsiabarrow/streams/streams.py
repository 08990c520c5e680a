"""State of one stream, which its readers wait on."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

from fuchsiabarrow import exceptions
from fuchsiabarrow.streams import events

__all__ = ["Stream", "StreamRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRequest:
    """A request to a model.

    Attributes:
        request_id: Unique id.
        organisation: Organisation of the caller.
        pipeline: Name of the requested pipeline.
        model: Model of the pipeline.
        layers: Number of layers of the model.
        prompt: Token ids.
        max_tokens: Maximum length of the answer in tokens.
        regions: Regions whose instances may serve it; empty for all.
        fingerprint: Digest of the request's content; the same on every entry
            (router process) and when the request is sent again.
        shared_parts: Hashes of the parts of the prompt that other requests may
            contain as well.
    """

    request_id: str
    organisation: str
    pipeline: str
    model: str
    layers: int
    prompt: tuple[int, ...]
    max_tokens: int
    regions: tuple[str, ...]
    fingerprint: str
    shared_parts: tuple[int, ...] = ()


class Stream:
    """The tokens of an answer so far, and how it ended.

    Attributes:
        request: The request.
        tokens: Tokens so far.
        digests: For each token, the digest of all tokens up to it.
        finish_reason: ``stop`` or ``length`` once the answer is complete.
        failure: Why it ended before its answer was complete.
        readers: Number of current readers.
        idle_since_s: Event loop time since which it has had no reader.
    """

    def __init__(self, request: StreamRequest):
        self.request = request
        self.tokens: list[int] = []
        self.digests: list[int] = []
        self._digest = events.TokenDigest()
        self.finish_reason = ""
        self.failure: exceptions.StreamFailedError | None = None
        self.readers = 0
        self.idle_since_s = asyncio.get_running_loop().time()
        self._changed = asyncio.Event()

    def is_ended(self) -> bool:
        """Returns whether no more tokens will be added."""
        return bool(self.finish_reason) or self.failure is not None

    def add_token(self, token: int) -> None:
        """Appends a token."""
        self.tokens.append(token)
        self.digests.append(self._digest.add(token))
        self._notify()

    def finish(self, reason: str) -> None:
        """Marks the answer as complete, unless the stream has ended."""
        if not self.is_ended():
            self.finish_reason = reason
            self._notify()

    def fail(self, failure: exceptions.StreamFailedError) -> None:
        """Marks the stream as failed, unless it has ended."""
        if not self.is_ended():
            self.failure = failure
            self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def read(self, start: int) -> AsyncIterator[tuple[int, int]]:
        """Yields (index, token) from index `start` to the end of the answer.

        Raises:
            StreamFailedError: The stream failed.
        """
        self.readers += 1
        index = start
        try:
            while True:
                while index < len(self.tokens):
                    yield index, self.tokens[index]
                    index += 1
                if self.failure is not None:
                    raise self.failure
                if self.finish_reason:
                    return
                changed = self._changed
                await changed.wait()
        finally:
            self.readers -= 1
            self.idle_since_s = asyncio.get_running_loop().time()
