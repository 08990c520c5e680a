"""Runs streams to their end, through failures and planned moves."""

import asyncio
from collections.abc import Callable
import random

import logbook
import msgspec
from opentelemetry import trace

from fuchsiabarrow import exceptions
from fuchsiabarrow.limits import budgets
from fuchsiabarrow.limits import suspects as suspects_module
from fuchsiabarrow.peers import items
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import service as routing_service
from fuchsiabarrow.streams import attempts
from fuchsiabarrow.streams import links
from fuchsiabarrow.streams import recovery
from fuchsiabarrow.streams import streams
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import clocks

__all__ = ["Settings", "StreamsService"]

END_TOKEN = 0
# Entries tell each other which requests crash their upstreams.
BLOCKED_KIND = "blocked"
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


class StreamsService:
    """The streams of one entry.

    Attributes:
        suspects: Requests that may crash their upstreams.
        budget: Retry budget of the entry.

    Args:
        routing: Chooses chains and keeps the evidence.
        directory: Connections to engines.
        peers: Other entries.
        tracer: Makes spans.
        metrics: Metrics of the entry.
        settings: Limits and delays.
        source: Random source.
    """

    def __init__(
        self,
        routing: routing_service.RoutingService,
        directory: links.LinkDirectory,
        peers: peers_service.PeersService,
        tracer: trace.Tracer,
        metrics: metrics_module.Metrics,
        settings: Settings,
        source: random.Random,
    ):
        self.suspects = suspects_module.Suspects(settings.suspects)
        self.budget = budgets.RetryBudget(ratio=0.2, reserve=1024)
        self._routing = routing
        self._directory = directory
        self._peers = peers
        self._tracer = tracer
        self._metrics = metrics
        self._settings = settings
        self._source = source
        self._streams: dict[str, streams.Stream] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._sweeper: asyncio.Task | None = None

    async def __aenter__(self) -> "StreamsService":
        self._peers.add_listener(BLOCKED_KIND, self._accept_blocked)
        self._sweeper = asyncio.create_task(self._sweep())
        return self

    async def __aexit__(self, *details) -> None:
        self._sweeper.cancel()
        tasks = [self._sweeper, *self._tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(
        self, request: streams.StreamRequest, on_end: Callable[[], None]
    ) -> streams.Stream:
        """Starts a stream and returns it.

        Args:
            request: What is asked for.
            on_end: Called once when the stream no longer runs.

        Raises:
            StreamFailedError: The request crashed its upstreams before.
        """
        now_s = asyncio.get_running_loop().time()
        if self.suspects.is_blocked(request.fingerprint, now_s):
            raise self._make_poison_error()
        stream = streams.Stream(request)
        self._streams[request.request_id] = stream
        self.budget.earn()
        task = asyncio.create_task(self._run(stream))
        task.add_done_callback(lambda done: on_end())
        self._tasks[request.request_id] = task
        return stream

    def find(self, request_id: str, organisation: str) -> streams.Stream | None:
        """Returns a stream of an organisation, None if it is not here."""
        stream = self._streams.get(request_id)
        if stream is None or stream.request.organisation != organisation:
            return None
        return stream

    def count_running(self) -> int:
        """Returns how many streams have not ended."""
        return len(self._tasks)

    def hand_on_all(self) -> None:
        """Ends the running streams; their callers resume them elsewhere."""
        for request_id in list(self._tasks):
            self._streams[request_id].fail(
                exceptions.StreamFailedError(
                    "this entry stops; resume with Last-Event-ID",
                    "unknown",
                    0.0,
                )
            )
            self._tasks[request_id].cancel()

    async def _run(self, stream: streams.Stream) -> None:
        request = stream.request
        self._metrics.streams.inc()
        try:
            await self._run_attempts(stream)
        except exceptions.StreamFailedError as failure:
            stream.fail(failure)
            _log.warning(
                logs.format_event(
                    "stream_failed",
                    request_id=request.request_id,
                    why=failure,
                )
            )
        except Exception as error:
            _log.exception(logs.format_event("stream_error", error=error))
            stream.fail(self._make_failure("internal error; try again"))
        finally:
            self._metrics.streams.dec()
            self.suspects.end_probation(request.fingerprint)
            self._tasks.pop(request.request_id, None)
            stream.idle_since_s = asyncio.get_running_loop().time()

    async def _run_attempts(self, stream: streams.Stream) -> None:
        request = stream.request
        loop = asyncio.get_running_loop()
        avoid: set[str] = set()
        number = 0
        failures = 0
        failed_at_s: float | None = None
        while not stream.is_ended():
            chain = await self._find_chain(stream, avoid)
            cause = recovery.Cause.MOVED
            try:
                await self._run_attempt(stream, chain, number, failed_at_s)
                if stream.is_ended():
                    return
            except exceptions.InstanceError as error:
                cause = recovery.find_cause(error)
                failed_at_s = loop.time()
                failures += 1
                self._note_failure(request, error, cause)
                decision = recovery.decide(
                    cause, failures, self._settings.attempts
                )
                if decision.avoids:
                    avoid.add(error.instance_id)
                self._check_goes_on(request, decision)
            number += 1
            self._metrics.attempts.labels(cause.value).inc()

    def _check_goes_on(self, request, decision: recovery.Decision) -> None:
        now_s = asyncio.get_running_loop().time()
        if self.suspects.is_blocked(request.fingerprint, now_s):
            raise self._make_poison_error()
        if not decision.goes_on:
            raise self._make_failure("too many attempts failed")
        if decision.costs_retry and not self.budget.spend():
            raise self._make_failure("the retry budget is spent")

    def _note_failure(self, request, error, cause: recovery.Cause) -> None:
        """Updates the evidence about the instance and the request."""
        now_s = asyncio.get_running_loop().time()
        evidence = self._routing.evidence
        if cause is recovery.Cause.DIED:
            is_given_up = self.suspects.record_crash(
                error.instance_id, request.fingerprint, now_s
            )
            if is_given_up:
                self._tell_blocked(request.fingerprint)
        if cause in recovery.FAILURES:
            evidence.record_failure(error.instance_id, now_s)
        elif cause is recovery.Cause.DRAINING:
            self._routing.record_leaving(error.instance_id)
        elif cause is recovery.Cause.BUSY:
            evidence.record_busy(error.instance_id, now_s)
        _log.info(
            logs.format_event(
                "attempt_failed",
                request_id=request.request_id,
                cause=cause.value,
                instance=error.instance_id,
            )
        )

    async def _find_chain(self, stream, avoid: set[str]):
        """Waits for a chain, on probation for one without other suspects."""
        request = stream.request
        loop = asyncio.get_running_loop()
        limit_s = loop.time() + self._settings.no_chain_limit_s
        while True:
            now_s = loop.time()
            on_probation = self.suspects.is_on_probation(
                request.fingerprint, now_s
            )
            try:
                chain = self._choose_chain(request, avoid)
            except exceptions.ChainUnavailableError:
                chain = None
            names = [hop.instance_id for hop in chain or ()]
            occupied = self.suspects.find_occupied(request.fingerprint)
            if chain and not (on_probation and occupied & set(names)):
                if on_probation:
                    self.suspects.start_probation(request.fingerprint, names)
                return chain
            if now_s > limit_s:
                raise self._make_failure("no chain of live instances")
            await asyncio.sleep(self._settings.no_chain_poll_s)

    def _choose_chain(self, request, avoid: set[str]):
        return self._routing.choose_chain(
            request.model,
            request.layers,
            list(request.regions),
            frozenset(avoid),
        )

    async def _run_attempt(
        self,
        stream: streams.Stream,
        chain: tuple[chains.Hop, ...],
        number: int,
        failed_at_s: float | None,
    ) -> None:
        """Runs an attempt until the answer is whole or the stream moves."""
        request = stream.request
        loop = asyncio.get_running_loop()
        checked_at_s = loop.time()
        pending = [*request.prompt, *stream.tokens]
        async with (
            self._directory.use(chain) as engines,
            attempts.Attempt(
                request.request_id,
                number,
                chain,
                engines,
                self._tracer,
                self._report_hop,
            ) as attempt,
        ):
            while not stream.is_ended():
                token = await attempt.advance(pending)
                self.suspects.clear(request.fingerprint)
                if failed_at_s is not None:
                    now_s = asyncio.get_running_loop().time()
                    self._metrics.recovery_s.observe(now_s - failed_at_s)
                    failed_at_s = None
                if token == END_TOKEN:
                    stream.finish("stop")
                    return
                stream.add_token(token)
                self._metrics.tokens.inc()
                if len(stream.tokens) >= request.max_tokens:
                    stream.finish("length")
                    return
                pending = [token]
                if self._should_move(request, chain, checked_at_s):
                    return
                now_s = loop.time()
                if now_s - checked_at_s > SLOWNESS_CHECK_S:
                    checked_at_s = now_s

    def _tell_blocked(self, fingerprint: str) -> None:
        """Tells the other entries to refuse a request."""
        self._peers.publish(
            f"{BLOCKED_KIND}/{fingerprint}",
            int(clocks.read_wall_time_s()),
            b"",
            self._settings.suspects.block_s,
        )

    def _accept_blocked(self, item: items.Item) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self.suspects.is_blocked(item.name, now_s):
            limit = self._settings.suspects.strike_limit
            self.suspects.add_strikes(item.name, limit, now_s)

    def _report_hop(self, instance_id: str, hop_s: float) -> None:
        now_s = asyncio.get_running_loop().time()
        self._routing.evidence.record_success(instance_id, hop_s, now_s)

    def _should_move(self, request, chain, checked_at_s: float) -> bool:
        """Tells whether a stream does better on another chain."""
        if self._has_leaving_stage(request, chain):
            return True
        age_s = asyncio.get_running_loop().time() - checked_at_s
        return age_s > SLOWNESS_CHECK_S and self._is_slow(request, chain)

    def _is_slow(self, request, chain) -> bool:
        """Tells whether a chain became much slower than another one.

        Only some of its streams move at a time, so that they do not all meet
        again on the next.
        """
        if self._source.random() > MOVE_PROBABILITY:
            return False
        slowest = max(
            chain,
            key=lambda hop: self._routing.estimate_chain_s((hop,)),
        )
        try:
            other = self._choose_chain(request, {slowest.instance_id})
        except exceptions.ChainUnavailableError:
            return False
        if slowest.instance_id in {hop.instance_id for hop in other}:
            return False
        before_s = self._routing.estimate_chain_s(chain)
        after_s = self._routing.estimate_chain_s(other)
        return before_s > SLOWNESS_FACTOR * after_s + MOVE_COST_S

    def _has_leaving_stage(self, request, chain) -> bool:
        """Tells whether a stage is leaving and another chain exists."""
        evidence = self._routing.evidence
        leaving = {
            hop.instance_id
            for hop in chain
            if evidence.is_leaving(hop.instance_id)
        }
        if not leaving:
            return False
        try:
            self._choose_chain(request, leaving)
        except exceptions.ChainUnavailableError:
            return False
        return True

    def _make_failure(self, why: str) -> exceptions.StreamFailedError:
        retry_after_s = self._settings.retry_after_s
        return exceptions.StreamFailedError(
            f"{why}; try again after {retry_after_s} s", "failed", retry_after_s
        )

    def _make_poison_error(self) -> exceptions.StreamFailedError:
        return exceptions.StreamFailedError(
            "this request crashed its upstreams; change it before sending it"
            " again",
            "failed",
            None,
        )

    async def _sweep(self) -> None:
        """Forgets streams that nobody reads or resumes."""
        linger_s = self._settings.linger_s
        while True:
            await asyncio.sleep(linger_s / 4)
            now_s = asyncio.get_running_loop().time()
            for request_id, stream in list(self._streams.items()):
                if stream.readers or now_s - stream.idle_since_s < linger_s:
                    continue
                stream.fail(self._make_failure("nobody read the answer"))
                task = self._tasks.get(request_id)
                if task is not None:
                    task.cancel()
                del self._streams[request_id]
