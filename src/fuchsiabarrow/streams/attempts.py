"""One attempt of a stream over a chain of stages."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence

from opentelemetry import trace

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import engines
from fuchsiabarrow.routing import chains
from fuchsiabarrow.streams import links

__all__ = ["Attempt"]

# Positions of a long prompt that travel in one step, so that filling does not
# hold up the other streams of a stage.
FILL_POSITIONS = 256


class Attempt:
    """Drives the steps of an attempt; owns its KV caches and spans.

    Every step names the attempt, its position and its exact range of layers,
    and is sent once. Leaving the context frees the KV caches.

    Args:
        request_id: Request that is served.
        number: Number of the attempt, unique within the request.
        stages: Stages in order.
        tracer: Makes a span for each hop.
        report_hop: Called with an instance id and the time of a hop.
    """

    def __init__(
        self,
        request_id: str,
        number: int,
        stages: links.StageSet,
        tracer: trace.Tracer,
        report_hop: Callable[[str, float], None],
    ):
        self._request_id = request_id
        self._number = number
        self._stages = stages
        self._tracer = tracer
        self._report_hop = report_hop
        self._position = 0
        self._spans: list[trace.Span] = []
        self._busy_s = [0.0] * len(stages.hops)
        self._steps = 0
        # First come, first served: the pieces pass each stage in order.
        self._turns = [asyncio.Lock() for _ in stages.hops]

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
            span.set_attribute("steps", self._steps)
            span.set_attribute("busy_s", round(busy_s, 6))
            span.end()
        self._spans[0].end()

    async def advance(self, tokens: Sequence[int]) -> int:
        """Runs tokens through all layers and returns the next token.

        Args:
            tokens: Ids at the positions that follow those run so far.
        """
        if len(tokens) <= FILL_POSITIONS:
            token = await self._run_piece(list(tokens), self._position, True)
        else:
            token = await self._fill(tokens)
        self._position += len(tokens)
        return token

    async def _fill(self, tokens: Sequence[int]) -> int:
        """Runs the pieces of a long prompt through the stages as a pipeline.

        A stage takes a piece as soon as it has answered the one before, while
        the next stage works on that one.
        """
        works = []
        try:
            async with asyncio.TaskGroup() as group:
                for start in range(0, len(tokens), FILL_POSITIONS):
                    piece = list(tokens[start : start + FILL_POSITIONS])
                    is_last = start + len(piece) == len(tokens)
                    work = self._run_piece(
                        piece, self._position + start, is_last
                    )
                    works.append(group.create_task(work))
        except* exceptions.InstanceError as errors:
            raise errors.exceptions[0] from None
        return works[-1].result()

    async def exchange_stage(self, index: int, hop: chains.Hop) -> None:
        """Moves a stage's KV cache to another instance and goes on there.

        Args:
            index: Number of the stage.
            hop: The same layers on another instance.

        Raises:
            InstanceError: The cache was not moved; the old stage still has it.
        """
        old_hop = self._stages.hops[index]
        old_engine = self._stages.engines[index]
        engine = await self._stages.find_engine(hop)
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
        await self._stages.exchange(index, hop)
        self._spans[1 + index].set_attribute("moved_to", hop.instance_id)
        names = {hop.instance_id for hop in self._stages.hops}
        if old_hop.instance_id not in names:
            old_engine.cancel(self._request_id, self._number)

    async def _run_piece(
        self, piece: list[int], position: int, samples: bool
    ) -> int:
        """Runs consecutive positions through all stages, in turn at each."""
        loop = asyncio.get_running_loop()
        hidden: list[bytes] = []
        token = -1
        self._steps += 1
        stages = self._stages
        for index, hop in enumerate(stages.hops):
            is_final = index == len(stages.hops) - 1
            step = engines.Step(
                self._request_id,
                self._number,
                position,
                hop.first_layer,
                hop.end_layer,
                [] if hidden else piece,
                hidden,
                is_final and samples,
            )
            async with self._turns[index]:
                started_s = loop.time()
                answer = await stages.engines[index].step(step)
                elapsed_s = loop.time() - started_s
            self._busy_s[index] += elapsed_s
            if len(piece) == 1:
                self._report_hop(hop.instance_id, elapsed_s)
            token = answer.token
            hidden = answer.hidden
            if not is_final and len(hidden) != len(piece):
                raise exceptions.InstanceSilentError(
                    hop.instance_id, "answered with too few states; start again"
                )
        return token
