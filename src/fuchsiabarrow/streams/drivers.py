"""Runs one stream: its attempts, recoveries and planned moves."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

import logbook
import msgspec
from opentelemetry import trace

from fuchsiabarrow import exceptions
from fuchsiabarrow.limits import budgets
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import suspects as suspects_module
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import service as routing_service
from fuchsiabarrow.streams import attempts
from fuchsiabarrow.streams import connections
from fuchsiabarrow.streams import recovery
from fuchsiabarrow.streams import streams
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import clocks

__all__ = [
    "DriverContext",
    "Settings",
    "StreamDriver",
    "make_crashing_request_error",
]

END_TOKEN = 0
# Time between checks of a stream for a faster chain, and the probability that
# such a check may move it.
SLOWNESS_CHECK_PERIOD_S = 0.25
MOVE_PROBABILITY = 0.5
# A stream moves if its chain's token latency exceeds SLOWNESS_FACTOR times that
# of another chain plus MOVE_COST_S, the cost per token of the prefill there.
SLOWNESS_FACTOR = 2.0
MOVE_COST_S = 0.01

_log = logbook.Logger(__name__)


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of token streams.

    Attributes:
        no_chain_limit_s: Time after which a stream fails if no chain of
            instances is available.
        no_chain_poll_s: Time between two searches for a chain.
        linger_s: Time for which a stream continues, or its answer is kept,
            without a reader; the caller can resume it within this time.
        retry_after_s: Delay after which callers of failed streams are told to
            retry.
        attempts: Number of failed attempts after which a stream fails; planned
            moves do not count.
        suspects: Limits for requests that crash upstreams.
    """

    no_chain_limit_s: float = 5.0
    no_chain_poll_s: float = 0.05
    linger_s: float = 10.0
    retry_after_s: float = 1.0
    attempts: int = 12
    suspects: suspects_module.Settings = suspects_module.Settings()


@dataclasses.dataclass(frozen=True, slots=True)
class DriverContext:
    """Dependencies shared by all stream drivers of an entry (router process).

    Attributes:
        routing: Chooses chains and tracks the health of instances.
        engine_connections: Connections to engines.
        suspects: Requests that may crash their upstreams.
        part_crashes: Evidence for and against parts of prompts.
        budget: Retry budget of the entry.
        tracer: Creates trace spans.
        metrics: Metrics of the entry.
        settings: Limits and delays.
        source: Random number generator.
        publish_blocked: Tells the other entries to refuse requests with a
            fingerprint.
    """

    routing: routing_service.RoutingService
    engine_connections: connections.EngineConnections
    suspects: suspects_module.CrashSuspects
    part_crashes: crashing_parts.PartCrashes
    budget: budgets.RetryBudget
    tracer: trace.Tracer
    metrics: metrics_module.PipelineMetrics
    settings: Settings
    source: random.Random
    publish_blocked: Callable[[str], None]


def make_crashing_request_error() -> exceptions.StreamFailedError:
    """Returns the error for a request that repeatedly crashed upstreams."""
    return exceptions.StreamFailedError(
        "this request crashed its upstreams; change it before sending it again",
        "failed",
        None,
    )


class StreamDriver:
    """Runs a stream to its end.

    Args:
        context: Dependencies that all drivers share.
        stream: The stream.
    """

    def __init__(self, context: DriverContext, stream: streams.Stream):
        self._context = context
        self._stream = stream
        self._request = stream.request
        self._avoid: set[str] = set()
        self._failures = 0
        self._failed_at_s: float | None = None
        self._checked_at_s = 0.0
        self._pending_attempt: suspects_module.PendingAttempt | None = None
        self._organisation_hash = crashing_parts.compute_hash(
            stream.request.organisation
        )
        # Chain and retry that were secured before the attempt was given up.
        self._next_chain: tuple[chains.Hop, ...] | None = None
        self._has_retry = False
        # Whether an attempt was made on instances that had failed this stream,
        # as there were no others, since its last token.
        self._has_returned = False
        # Suspected parts of the prompt that the current attempt tests.
        self._tested: frozenset[int] = frozenset()

    async def run(self) -> None:
        """Makes attempts until the answer is complete.

        Raises:
            StreamFailedError: No further attempt is made.
        """
        try:
            await self._run_attempts()
        finally:
            self._context.suspects.end_attempt(self._pending_attempt)
            self._end_test()

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
                cause = recovery.classify_error(error)
                self._record_failure(error, cause)
                self._check_may_retry(error, cause)
            number += 1
            self._context.metrics.attempts.labels(cause.value).inc()

    # Attempts.

    async def _run_attempt(
        self, chain: tuple[chains.Hop, ...], number: int
    ) -> None:
        """Runs an attempt until the answer is complete or the stream moves."""
        context = self._context
        self._checked_at_s = asyncio.get_running_loop().time()
        pending = [*self._request.prompt, *self._stream.tokens]
        async with (
            context.engine_connections.open_stages(chain) as stages,
            attempts.Attempt(
                self._request.request_id,
                number,
                stages,
                context.tracer,
                self._report_hop,
                self._handle_silence,
            ) as attempt,
        ):
            while not self._stream.is_ended():
                token = await attempt.advance(pending)
                self._record_progress()
                if self._append_token(token):
                    return
                pending = [token]
                if await self._should_switch_chain(attempt, stages):
                    return

    def _append_token(self, token: int) -> bool:
        """Appends a token; returns whether the answer is complete."""
        if token == END_TOKEN:
            self._stream.finish("stop")
            return True
        self._stream.add_token(token)
        self._context.metrics.tokens.inc()
        if len(self._stream.tokens) < self._request.max_tokens:
            return False
        self._stream.finish("length")
        return True

    def _record_progress(self) -> None:
        self._context.suspects.end_attempt(self._pending_attempt)
        self._context.suspects.clear_crashes(self._request.fingerprint)
        if not self._stream.tokens:
            self._context.part_crashes.record_begin(self._request.shared_parts)
        self._has_returned = False
        if self._tested:
            self._end_test()
        if self._failed_at_s is not None:
            now_s = asyncio.get_running_loop().time()
            self._context.metrics.recovery_s.observe(now_s - self._failed_at_s)
            self._failed_at_s = None

    def _report_hop(self, instance_id: str, hop_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self._context.routing.health.record_success(instance_id, hop_s, now_s)

    # Failures.

    def _record_failure(self, error, cause: recovery.Cause) -> None:
        """Updates the records about the instance and the request."""
        now_s = asyncio.get_running_loop().time()
        self._failed_at_s = now_s
        self._failures += 1
        routing, name = self._context.routing, error.instance_id
        if cause is recovery.Cause.DIED:
            self._record_crash(name, now_s)
        if cause in recovery.INSTANCE_FAILURES:
            routing.health.record_failure(name, now_s)
        elif cause is recovery.Cause.DRAINING:
            routing.record_leaving(name)
        elif cause is recovery.Cause.BUSY:
            routing.health.record_busy(name, now_s)
        _log.info(
            logs.format_event(
                "attempt_failed",
                request_id=self._request.request_id,
                cause=cause.value,
                instance=name,
            )
        )

    def _record_crash(self, instance_id: str, now_s: float) -> None:
        if not self._stream.tokens:
            # The second of the crash distinguishes the starts of an instance.
            upstream = f"{instance_id}/{int(clocks.read_wall_time_s())}"
            self._context.part_crashes.record_crash(
                self._organisation_hash,
                self._request.shared_parts,
                crashing_parts.compute_hash(upstream),
            )
        is_blocked = self._context.suspects.record_crash(
            self._pending_attempt, now_s
        )
        if is_blocked:
            self._context.publish_blocked(self._request.fingerprint)

    def _check_may_retry(self, error, cause: recovery.Cause) -> None:
        """Raises StreamFailedError if no further attempt may be made."""
        context = self._context
        now_s = asyncio.get_running_loop().time()
        if context.suspects.is_blocked(self._request.fingerprint, now_s):
            raise make_crashing_request_error()
        decision = recovery.decide_next_attempt(
            cause, self._failures, context.settings.attempts
        )
        if decision.avoids_instance:
            self._avoid.add(error.instance_id)
        if not decision.should_continue:
            raise self._make_failure("too many attempts failed")
        if decision.uses_retry_budget and not self._try_take_retry():
            raise self._make_failure("the retry budget is exhausted")
        self._has_retry = False

    def _try_take_retry(self) -> bool:
        """Takes a retry from the budget unless one was taken before."""
        if not self._has_retry:
            self._has_retry = self._context.budget.try_withdraw()
        return self._has_retry

    def _handle_silence(self, instance_id: str) -> bool:
        """Returns whether to give up the attempt on a silent instance.

        A sound instance may be silent for seconds and then go on. So the
        attempt is given up only once an attempt, a chain and a retry are
        secured for the stream; else it waits for the instance.
        """
        context = self._context
        now_s = asyncio.get_running_loop().time()
        context.routing.health.record_failure(instance_id, now_s)
        if self._next_chain is not None:
            return True
        judgement = self._judge_parts()
        decision = recovery.decide_next_attempt(
            recovery.Cause.SILENT,
            self._failures + 1,
            context.settings.attempts,
        )
        if (
            not decision.should_continue
            or context.suspects.is_blocked(self._request.fingerprint, now_s)
            or not self._may_send_parts(judgement)
        ):
            return False
        chain = self._find_other_chain(
            instance_id, now_s, bool(judgement.suspects)
        )
        if chain is None or not self._try_take_retry():
            return False
        self._next_chain = chain
        return True

    def _make_failure(self, why: str) -> exceptions.StreamFailedError:
        retry_after_s = self._context.settings.retry_after_s
        return exceptions.StreamFailedError(
            f"{why}; try again after {retry_after_s} s", "failed", retry_after_s
        )

    # Chains.

    async def _find_chain(self) -> tuple[chains.Hop, ...]:
        """Waits for a chain on which the next attempt may run.

        At the time limit one attempt is made on instances that failed this
        stream before, if all others are gone: they may only have been silent,
        and go on.

        Raises:
            StreamFailedError: There was none within `no_chain_limit_s`.
        """
        settings = self._context.settings
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + settings.no_chain_limit_s
        while True:
            chain = self._try_place_attempt(loop.time())
            if chain is not None:
                return chain
            if loop.time() > limit_s:
                if self._has_returned:
                    raise self._make_failure("no chain of live instances")
                self._has_returned = True
                chain = self._try_place_attempt(loop.time(), may_return=True)
                if chain is None:
                    raise self._make_failure("no chain of live instances")
                return chain
            await asyncio.sleep(settings.no_chain_poll_s)

    def _try_place_attempt(
        self, now_s: float, may_return: bool = False
    ) -> tuple[chains.Hop, ...] | None:
        """Returns a chain, None if there is none or the attempt must wait.

        Args:
            now_s: Loop time.
            may_return: Whether instances that ended an attempt of this stream
                may be used before they are available again.
        """
        suspects, fingerprint = (
            self._context.suspects,
            self._request.fingerprint,
        )
        suspects.end_attempt(self._pending_attempt)
        if not self._try_clear_parts():
            return None
        chain = self._take_next_chain(now_s)
        try:
            chain = chain or self._choose_chain(
                self._avoid | suspects.find_isolated_instances()
            )
        except exceptions.ChainUnavailableError:
            return None
        names = [hop.instance_id for hop in chain]
        if not may_return and any(
            self._is_still_unavailable(name, now_s) for name in names
        ):
            return None
        self._pending_attempt = suspects.start_attempt(
            fingerprint, names, now_s, bool(self._tested)
        )
        return None if self._pending_attempt is None else chain

    def _take_next_chain(self, now_s: float) -> tuple[chains.Hop, ...] | None:
        """Returns the chain secured by `_handle_silence`, if still usable."""
        chain, self._next_chain = self._next_chain, None
        if chain is None or not self._is_available(chain, now_s):
            return None
        return chain

    def _is_available(
        self, chain: tuple[chains.Hop, ...], now_s: float
    ) -> bool:
        """Returns whether all instances of a chain may be preferred."""
        health = self._context.routing.health
        states = [health.find(hop.instance_id) for hop in chain]
        return all(
            state is not None and state.is_available(now_s) for state in states
        )

    def _find_other_chain(
        self, silent_id: str, now_s: float, must_isolate: bool
    ) -> tuple[chains.Hop, ...] | None:
        """Returns an available chain without a silent instance, if any.

        Instances that failed this stream before are used if they are available
        again and no other chain exists.

        Args:
            silent_id: Id of the silent instance.
            now_s: Loop time.
            must_isolate: Whether the next attempt is isolated in any case.
        """
        suspects = self._context.suspects
        avoid = {silent_id} | suspects.find_isolated_instances(
            self._pending_attempt
        )
        for avoided in (avoid | self._avoid, avoid):
            try:
                chain = self._choose_chain(avoided)
            except exceptions.ChainUnavailableError:
                return None
            names = [hop.instance_id for hop in chain]
            if (
                silent_id not in names
                and self._is_available(chain, now_s)
                and suspects.may_start(
                    self._request.fingerprint,
                    names,
                    now_s,
                    must_isolate,
                    self._pending_attempt,
                )
            ):
                return chain
        return None

    def _judge_parts(self) -> crashing_parts.Judgement:
        """Returns what the parts of the prompt say on another attempt."""
        if self._stream.tokens:
            return crashing_parts.Judgement(crashing_parts.Verdict.CLEAR)
        return self._context.part_crashes.judge(
            self._organisation_hash, self._request.shared_parts
        )

    def _may_send_parts(self, judgement: crashing_parts.Judgement) -> bool:
        """Returns whether the next attempt may start, by the prompt's parts."""
        if judgement.verdict is crashing_parts.Verdict.SUSPECT:
            return self._context.part_crashes.may_test(
                judgement.suspects - self._tested
            )
        return judgement.verdict is crashing_parts.Verdict.CLEAR

    def _try_clear_parts(self) -> bool:
        """Returns whether the request may be sent, by the parts of its prompt.

        Raises:
            StreamFailedError: A part is blocked because it crashed upstreams.
        """
        self._end_test()
        part_crashes = self._context.part_crashes
        judgement = self._judge_parts()
        if judgement.verdict is crashing_parts.Verdict.BLOCKED:
            raise make_crashing_request_error()
        if judgement.verdict is crashing_parts.Verdict.SUSPECT:
            if part_crashes.try_start_test(judgement.suspects):
                self._tested = judgement.suspects
            return bool(self._tested)
        return judgement.verdict is crashing_parts.Verdict.CLEAR

    def _end_test(self) -> None:
        self._context.part_crashes.end_test(self._tested)
        self._tested = frozenset()

    def _is_still_unavailable(self, instance_id: str, now_s: float) -> bool:
        """Returns whether an instance ended an attempt and is unavailable.

        If no other instance holds its layers, the stream waits for it or for
        another holder instead of using up its attempts on it.
        """
        state = self._context.routing.health.find(instance_id)
        is_back = state is not None and state.is_available(now_s)
        return instance_id in self._avoid and not is_back

    def _choose_chain(self, avoid: set[str]) -> tuple[chains.Hop, ...]:
        return self._context.routing.choose_chain(
            self._request.model,
            self._request.layers,
            list(self._request.regions),
            frozenset(avoid),
        )

    # Planned moves.

    async def _should_switch_chain(
        self, attempt: attempts.Attempt, stages: connections.StageSet
    ) -> bool:
        """Returns whether to end the attempt and start one on another chain.

        Stages on leaving instances are first moved one by one, with their KV
        caches, to other instances with the same layers. Only if that fails
        does the stream switch chains, which repeats the prefill.
        """
        health = self._context.routing.health
        leaving = {
            hop.instance_id
            for hop in stages.hops
            if health.is_leaving(hop.instance_id)
        }
        if leaving:
            if await self._migrate_leaving_stages(attempt, stages, leaving):
                return False
            return self._has_other_chain(leaving)
        now_s = asyncio.get_running_loop().time()
        if now_s - self._checked_at_s < SLOWNESS_CHECK_PERIOD_S:
            return False
        self._checked_at_s = now_s
        return self._is_slow(stages.hops)

    async def _migrate_leaving_stages(self, attempt, stages, leaving) -> bool:
        """Moves the leaving stages; returns whether all were moved."""
        for index, hop in enumerate(stages.hops):
            if hop.instance_id not in leaving:
                continue
            other = self._context.routing.choose_replacement(
                self._request.model, hop, list(self._request.regions)
            )
            if other is None:
                return False
            try:
                await attempt.migrate_stage(index, other)
            except exceptions.InstanceError as error:
                _log.info(logs.format_event("cache_not_moved", error=error))
                return False
            self._context.metrics.count_event("cache_moved")
        return True

    def _has_other_chain(self, leaving: set[str]) -> bool:
        try:
            self._choose_chain(leaving)
        except exceptions.ChainUnavailableError:
            return False
        return True

    def _is_slow(self, chain: list[chains.Hop]) -> bool:
        """Returns whether a chain without the slowest hop is much faster.

        Only a random part of the streams is considered at a time, so that not
        all of them move to the same chain.
        """
        routing = self._context.routing
        if self._context.source.random() > MOVE_PROBABILITY:
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
