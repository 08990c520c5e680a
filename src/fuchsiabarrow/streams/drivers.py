"""Drives one stream through its attempts, recoveries and planned moves."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

import logbook
import msgspec
from opentelemetry import trace

from fuchsiabarrow import exceptions
from fuchsiabarrow.limits import budgets
from fuchsiabarrow.limits import suspects as suspects_module
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import service as routing_service
from fuchsiabarrow.streams import attempts
from fuchsiabarrow.streams import links
from fuchsiabarrow.streams import recovery
from fuchsiabarrow.streams import streams
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module

__all__ = ["Settings", "StreamDriver", "Tools", "make_poison_error"]

END_TOKEN = 0
# Time between looks of a stream for a faster chain, and the part of the streams
# that move at once.
SLOWNESS_CHECK_S = 0.25
MOVE_PROBABILITY = 0.5
# A chain is left if it is slower than another by this factor, and by more than
# a token's share of filling the other one anew.
SLOWNESS_FACTOR = 2.0
MOVE_COST_S = 0.01

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the streams.

    Attributes:
        no_chain_limit_s: A stream without any chain for this long ends.
        no_chain_poll_s: Time between searches for a chain.
        linger_s: How long a stream runs on, or its answer is kept, while
            nobody reads it; a caller can resume it meanwhile.
        retry_after_s: Advice to callers of streams that were given up.
        attempts: Most attempts of a stream, planned moves not counted.
        suspects: Limits for requests that crash upstreams.
    """

    no_chain_limit_s: float = 5.0
    no_chain_poll_s: float = 0.05
    linger_s: float = 10.0
    retry_after_s: float = 1.0
    attempts: int = 12
    suspects: suspects_module.Settings = suspects_module.Settings()


@dataclasses.dataclass(frozen=True, slots=True)
class Tools:
    """What the drivers of an entry share.

    Attributes:
        routing: Chooses chains and keeps the evidence.
        directory: Connections to engines.
        suspects: Requests that may crash their upstreams.
        budget: Retry budget of the entry.
        tracer: Makes spans.
        metrics: Metrics of the entry.
        settings: Limits and delays.
        source: Random source.
        tell_blocked: Tells other entries a fingerprint to refuse.
    """

    routing: routing_service.RoutingService
    directory: links.LinkDirectory
    suspects: suspects_module.CrashSuspects
    budget: budgets.RetryBudget
    tracer: trace.Tracer
    metrics: metrics_module.Metrics
    settings: Settings
    source: random.Random
    tell_blocked: Callable[[str], None]


def make_poison_error() -> exceptions.StreamFailedError:
    """Returns the final answer to a request that crashes its upstreams."""
    return exceptions.StreamFailedError(
        "this request crashed its upstreams; change it before sending it again",
        "failed",
        None,
    )


class StreamDriver:
    """Runs a stream to its end.

    Args:
        tools: What the drivers of an entry share.
        stream: The stream.
    """

    def __init__(self, tools: Tools, stream: streams.Stream):
        self._tools = tools
        self._stream = stream
        self._request = stream.request
        self._avoid: set[str] = set()
        self._failures = 0
        self._failed_at_s: float | None = None
        self._checked_at_s = 0.0
        self._placement: suspects_module.Placement | None = None

    async def run(self) -> None:
        """Makes attempts until the answer is whole.

        Raises:
            StreamFailedError: The stream is given up.
        """
        try:
            await self._run_attempts()
        finally:
            self._tools.suspects.end(self._placement)

    async def _run_attempts(self) -> None:
        number = 0
        while not self._stream.is_ended():
            chain = await self._find_chain()
            cause = recovery.Cause.MOVED
            try:
                await self._run_attempt(chain, number)
                if self._stream.is_ended():
                    return
            except exceptions.InstanceError as error:
                cause = recovery.find_cause(error)
                self._note_failure(error, cause)
                self._check_goes_on(error, cause)
            number += 1
            self._tools.metrics.attempts.labels(cause.value).inc()

    # Attempts.

    async def _run_attempt(
        self, chain: tuple[chains.Hop, ...], number: int
    ) -> None:
        """Runs an attempt until the answer is whole or the stream moves."""
        tools = self._tools
        self._checked_at_s = asyncio.get_running_loop().time()
        pending = [*self._request.prompt, *self._stream.tokens]
        async with (
            tools.directory.use(chain) as stages,
            attempts.Attempt(
                self._request.request_id,
                number,
                stages,
                tools.tracer,
                self._report_hop,
            ) as attempt,
        ):
            while not self._stream.is_ended():
                token = await attempt.advance(pending)
                self._note_progress()
                if self._take_token(token):
                    return
                pending = [token]
                if await self._should_fill_elsewhere(attempt, stages):
                    return

    def _take_token(self, token: int) -> bool:
        """Adds a token; returns whether the answer is whole."""
        if token == END_TOKEN:
            self._stream.finish("stop")
            return True
        self._stream.add_token(token)
        self._tools.metrics.tokens.inc()
        if len(self._stream.tokens) < self._request.max_tokens:
            return False
        self._stream.finish("length")
        return True

    def _note_progress(self) -> None:
        self._tools.suspects.end(self._placement)
        self._tools.suspects.clear_crashes(self._request.fingerprint)
        if self._failed_at_s is not None:
            now_s = asyncio.get_running_loop().time()
            self._tools.metrics.recovery_s.observe(now_s - self._failed_at_s)
            self._failed_at_s = None

    def _report_hop(self, instance_id: str, hop_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self._tools.routing.evidence.record_success(instance_id, hop_s, now_s)

    # Failures.

    def _note_failure(self, error, cause: recovery.Cause) -> None:
        """Updates the evidence about the instance and the request."""
        now_s = asyncio.get_running_loop().time()
        self._failed_at_s = now_s
        self._failures += 1
        routing, name = self._tools.routing, error.instance_id
        if cause is recovery.Cause.DIED:
            self._note_crash(now_s)
        if cause in recovery.FAILURES:
            routing.evidence.record_failure(name, now_s)
        elif cause is recovery.Cause.DRAINING:
            routing.record_leaving(name)
        elif cause is recovery.Cause.BUSY:
            routing.evidence.record_busy(name, now_s)
        _log.info(
            logs.format_event(
                "attempt_failed",
                request_id=self._request.request_id,
                cause=cause.value,
                instance=name,
            )
        )

    def _note_crash(self, now_s: float) -> None:
        is_given_up = self._tools.suspects.record_crash(self._placement, now_s)
        if is_given_up:
            self._tools.tell_blocked(self._request.fingerprint)

    def _check_goes_on(self, error, cause: recovery.Cause) -> None:
        """Raises StreamFailedError if no other attempt is to be made."""
        tools = self._tools
        now_s = asyncio.get_running_loop().time()
        if tools.suspects.is_blocked(self._request.fingerprint, now_s):
            raise make_poison_error()
        decision = recovery.decide(
            cause, self._failures, tools.settings.attempts
        )
        if decision.avoids:
            self._avoid.add(error.instance_id)
        if not decision.goes_on:
            raise self._make_failure("too many attempts failed")
        if decision.costs_retry and not tools.budget.try_withdraw():
            raise self._make_failure("the retry budget is spent")

    def _make_failure(self, why: str) -> exceptions.StreamFailedError:
        retry_after_s = self._tools.settings.retry_after_s
        return exceptions.StreamFailedError(
            f"{why}; try again after {retry_after_s} s", "failed", retry_after_s
        )

    # Chains.

    async def _find_chain(self) -> tuple[chains.Hop, ...]:
        """Waits for a chain on which the next attempt may run."""
        settings = self._tools.settings
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + settings.no_chain_limit_s
        while True:
            chain = self._try_find_chain(loop.time())
            if chain is not None:
                return chain
            if loop.time() > limit_s:
                raise self._make_failure("no chain of live instances")
            await asyncio.sleep(settings.no_chain_poll_s)

    def _try_find_chain(self, now_s: float) -> tuple[chains.Hop, ...] | None:
        suspects, fingerprint = self._tools.suspects, self._request.fingerprint
        suspects.end(self._placement)
        try:
            chain = self._choose_chain(self._avoid | suspects.find_isolated())
        except exceptions.ChainUnavailableError:
            return None
        names = [hop.instance_id for hop in chain]
        if any(self._has_failed_here(name, now_s) for name in names):
            return None
        self._placement = suspects.place(fingerprint, names, now_s)
        return None if self._placement is None else chain

    def _has_failed_here(self, instance_id: str, now_s: float) -> bool:
        """Tells whether an instance failed this stream and is not back.

        If it is the only holder of some layers, the stream waits for it or for
        another one instead of spending its attempts on it.
        """
        state = self._tools.routing.evidence.find(instance_id)
        is_back = state is not None and state.is_trusted(now_s)
        return instance_id in self._avoid and not is_back

    def _choose_chain(self, avoid: set[str]) -> tuple[chains.Hop, ...]:
        return self._tools.routing.choose_chain(
            self._request.model,
            self._request.layers,
            list(self._request.regions),
            frozenset(avoid),
        )

    # Planned moves.

    async def _should_fill_elsewhere(
        self, attempt: attempts.Attempt, stages: links.StageSet
    ) -> bool:
        """Tells whether the attempt is to end for one on another chain.

        Stages that are leaving are first exchanged one by one, with their KV
        caches, for others with the same layers.
        """
        evidence = self._tools.routing.evidence
        leaving = {
            hop.instance_id
            for hop in stages.hops
            if evidence.is_leaving(hop.instance_id)
        }
        if leaving:
            if await self._exchange_stages(attempt, stages, leaving):
                return False
            return self._has_other_chain(leaving)
        now_s = asyncio.get_running_loop().time()
        if now_s - self._checked_at_s < SLOWNESS_CHECK_S:
            return False
        self._checked_at_s = now_s
        return self._is_slow(stages.hops)

    async def _exchange_stages(self, attempt, stages, leaving) -> bool:
        """Returns whether all leaving stages were exchanged."""
        for index, hop in enumerate(stages.hops):
            if hop.instance_id not in leaving:
                continue
            other = self._tools.routing.choose_replacement(
                self._request.model, hop, list(self._request.regions)
            )
            if other is None:
                return False
            try:
                await attempt.exchange_stage(index, other)
            except exceptions.InstanceError as error:
                _log.info(logs.format_event("cache_not_moved", error=error))
                return False
            self._tools.metrics.count_event("cache_moved")
        return True

    def _has_other_chain(self, leaving: set[str]) -> bool:
        try:
            self._choose_chain(leaving)
        except exceptions.ChainUnavailableError:
            return False
        return True

    def _is_slow(self, chain: list[chains.Hop]) -> bool:
        """Tells whether a chain became much slower than another one.

        Only some of its streams move at a time, so that they do not all meet
        again on the next.
        """
        routing = self._tools.routing
        if self._tools.source.random() > MOVE_PROBABILITY:
            return False
        slowest = max(chain, key=lambda hop: routing.estimate_chain_s([hop]))
        try:
            other = self._choose_chain({slowest.instance_id})
        except exceptions.ChainUnavailableError:
            return False
        if slowest.instance_id in {hop.instance_id for hop in other}:
            return False
        before_s = routing.estimate_chain_s(chain)
        after_s = routing.estimate_chain_s(other)
        return before_s > SLOWNESS_FACTOR * after_s + MOVE_COST_S
