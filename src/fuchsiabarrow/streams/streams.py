"""State of one stream, which its readers follow."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses

from fuchsiabarrow import exceptions
from fuchsiabarrow.streams import events

__all__ = ["Stream", "StreamRequest"]


@dataclasses.dataclass(frozen=True, slots=True)
class StreamRequest:
    """A request for an answer of a model.

    Attributes:
        request_id: Unique id.
        organisation: Organisation of the caller.
        pipeline: Pipeline asked for.
        model: Model of the pipeline.
        layers: Number of layers of the model.
        prompt: Token ids.
        max_tokens: Largest answer in tokens.
        regions: Regions whose instances may serve it; empty for all.
        fingerprint: Identifies the request, whoever carries it.
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


class Stream:
    """The tokens of an answer so far, and how it ended.

    Attributes:
        request: What was asked for.
        tokens: Tokens so far.
        digests: Digest of the tokens up to each one.
        finish_reason: ``stop`` or ``length`` once the answer is whole.
        failure: Why it ended without its whole answer.
        readers: Readers that follow it now.
        idle_since_s: Loop time since which nobody reads it.
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
        """Tells whether no more tokens follow."""
        return bool(self.finish_reason) or self.failure is not None

    def add_token(self, token: int) -> None:
        """Appends a token."""
        self.tokens.append(token)
        self.digests.append(self._digest.add(token))
        self._notify()

    def finish(self, reason: str) -> None:
        """Marks the answer as whole, unless it has ended."""
        if not self.is_ended():
            self.finish_reason = reason
            self._notify()

    def fail(self, failure: exceptions.StreamFailedError) -> None:
        """Marks the answer as given up, unless it has ended."""
        if not self.is_ended():
            self.failure = failure
            self._notify()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def read(self, start: int) -> AsyncIterator[tuple[int, int]]:
        """Yields (index, token) from a start until the answer is whole.

        Raises:
            StreamFailedError: The answer was given up.
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
