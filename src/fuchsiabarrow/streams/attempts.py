"""One attempt to generate the tokens of a stream on a chain of stages."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from opentelemetry import trace

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import engines
from fuchsiabarrow.routing import chains
from fuchsiabarrow.streams import connections

__all__ = ["Attempt"]

# Positions of a long prompt that are sent in one step. The prefill is split so
# that it does not delay the other streams of a stage.
PREFILL_CHUNK_POSITIONS = 256


class Attempt:
    """Sends the steps of an attempt; owns its KV caches and trace spans.

    Each step names the attempt, its position and its exact layer range, and is
    sent only once. Leaving the context frees the KV caches.

    Args:
        request_id: Id of the request.
        number: Number of the attempt, unique within the request.
        stages: Stages in order.
        tracer: Creates a span for each hop.
        report_hop: Called with the instance id and the latency in seconds of
            each hop that processed a single position.
        handle_silence: Called with the instance id while an instance with an
            outstanding step is silent; returns whether to give the attempt up.
    """

    def __init__(
        self,
        request_id: str,
        number: int,
        stages: connections.StageSet,
        tracer: trace.Tracer,
        report_hop: Callable[[str, float], None],
        handle_silence: Callable[[str], bool],
    ):
        self._request_id = request_id
        self._number = number
        self._stages = stages
        self._tracer = tracer
        self._report_hop = report_hop
        self._handle_silence = handle_silence
        self._position = 0
        self._spans: list[trace.Span] = []
        self._busy_s = [0.0] * len(stages.hops)
        self._step_count = 0
        # asyncio.Lock is fair, so the chunks pass each stage in order.
        self._stage_locks = [asyncio.Lock() for _ in stages.hops]

    async def __aenter__(self) -> "Attempt":
        parent = self._tracer.start_span(
            "attempt",
            attributes={
                "request_id": self._request_id,
                "attempt": self._number,
            },
        )
        context = trace.set_span_in_context(parent)
        self._spans = [parent]
        for hop in self._stages.hops:
            span = self._tracer.start_span(
                "hop",
                context=context,
                attributes={
                    "request_id": self._request_id,
                    "instance": hop.instance_id,
                    "first_layer": hop.first_layer,
                    "end_layer": hop.end_layer,
                },
            )
            self._spans.append(span)
        return self

    async def __aexit__(self, *details) -> None:
        for engine in self._stages.engines:
            engine.cancel(self._request_id, self._number)
        for span, busy_s in zip(self._spans[1:], self._busy_s, strict=True):
            span.set_attribute("steps", self._step_count)
            span.set_attribute("busy_s", round(busy_s, 6))
            span.end()
        self._spans[0].end()

    async def advance(self, tokens: Sequence[int]) -> int:
        """Applies all layers to tokens and returns the next token.

        Args:
            tokens: Token ids at the positions that follow those applied so far.
        """
        if len(tokens) <= PREFILL_CHUNK_POSITIONS:
            token = await self._run_chunk(list(tokens), self._position, True)
        else:
            token = await self._prefill(tokens)
        self._position += len(tokens)
        return token

    async def _prefill(self, tokens: Sequence[int]) -> int:
        """Runs the chunks of a long prompt through the stages as a pipeline.

        A stage gets a chunk as soon as it has answered the previous one, while
        the next stage processes that previous chunk.
        """
        chunk_tasks = []
        try:
            async with asyncio.TaskGroup() as group:
                for start in range(0, len(tokens), PREFILL_CHUNK_POSITIONS):
                    chunk = list(
                        tokens[start : start + PREFILL_CHUNK_POSITIONS]
                    )
                    is_last = start + len(chunk) == len(tokens)
                    chunk_run = self._run_chunk(
                        chunk, self._position + start, is_last
                    )
                    chunk_tasks.append(group.create_task(chunk_run))
        except* exceptions.InstanceError as errors:
            raise errors.exceptions[0] from None
        return chunk_tasks[-1].result()

    async def migrate_stage(self, index: int, hop: chains.Hop) -> None:
        """Moves a stage and its KV cache to another instance.

        Args:
            index: Index of the stage.
            hop: The same layers on another instance.

        Raises:
            InstanceError: The cache was not moved; the old instance keeps it.
        """
        old_hop = self._stages.hops[index]
        old_engine = self._stages.engines[index]
        engine = await self._stages.connect_engine(hop)
        await engine.import_cache(
            engines.CacheImport(
                old_hop.address,
                self._request_id,
                self._number,
                self._position,
                hop.first_layer,
                hop.end_layer,
            )
        )
        await self._stages.replace_stage(index, hop)
        self._spans[1 + index].set_attribute("moved_to", hop.instance_id)
        names = {hop.instance_id for hop in self._stages.hops}
        if old_hop.instance_id not in names:
            old_engine.cancel(self._request_id, self._number)

    async def _run_chunk(
        self, chunk: list[int], position: int, samples_token: bool
    ) -> int:
        """Runs consecutive positions through all stages.

        Args:
            chunk: Token ids.
            position: Position of the first one.
            samples_token: Whether the last stage is to sample the next token.
        """
        loop = asyncio.get_running_loop()
        hidden: list[bytes] = []
        token = -1
        self._step_count += 1
        stages = self._stages
        for index, hop in enumerate(stages.hops):
            is_final = index == len(stages.hops) - 1
            step = engines.Step(
                self._request_id,
                self._number,
                position,
                hop.first_layer,
                hop.end_layer,
                [] if hidden else chunk,
                hidden,
                is_final and samples_token,
            )
            async with self._stage_locks[index]:
                started_s = loop.time()
                answer = await stages.engines[index].step(
                    step, self._handle_silence
                )
                elapsed_s = loop.time() - started_s
            self._busy_s[index] += elapsed_s
            if len(chunk) == 1:
                self._report_hop(hop.instance_id, elapsed_s)
            token = answer.token
            hidden = answer.hidden
            if not is_final and len(hidden) != len(chunk):
                raise exceptions.InstanceTimeoutError(
                    hop.instance_id,
                    "answered with the wrong number of hidden states; start a"
                    " new attempt",
                )
        return token
