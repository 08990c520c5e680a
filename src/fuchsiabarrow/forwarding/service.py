"""Forwards requests to upstreams and answers their callers.

Holds what all requests share: retry budgets, connections, load, probes of
upstreams and counts of crashes.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import math
import random

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import request_rates
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import generations
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import plain_requests
from fuchsiabarrow.limits import budgets
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import left_instances
from fuchsiabarrow.limits import upstream_limits
from fuchsiabarrow.ports import pipelines
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import loop_lags

__all__ = ["ForwardingService", "Settings"]

# Pauses of upstreams are longer by up to this part of them, so that entries do
# not come back together.
PAUSE_SPREAD = 0.1
PROBE_TIMEOUT_S = 0.25
# Minimum time between a probe that an upstream answered and the next one. It
# doubles with each further answer in a row, up to the maximum.
MIN_PROBE_INTERVAL_S = 0.3
MAX_PROBE_INTERVAL_S = 1.2
# Answers at least this far apart reset the interval to the minimum.
PROBE_BACKOFF_RESET_S = 3.0
# ``Retry-After`` for a request that crashes its upstreams.
CRASH_RETRY_S = 60.0
# ``Retry-After`` for a request that another entry can serve.
OTHER_ENTRY_RETRY_S = 0.05

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of request forwarding.

    Attributes:
        failure_domain: Failure domain of this entry. Upstreams in the same
            failure domain are preferred.
        budget_ratio: Retries that each request adds to the retry budget of its
            service, as a fraction.
        budget_extra: Additional retries of a service in each window, for all
            entries together.
        budget_window_s: Length of the retry budget's window.
        connect_timeout_s: Timeout for opening a connection to an upstream.
        least_left_s: Minimum time before the deadline at which a request would
            still be sent; not enforced at present.
        retry_after_s: Mean time after which callers of refused requests may
            retry. The actual time is drawn from 50 to 150 % of it.
    """

    failure_domain: str
    budget_ratio: float = 0.2
    budget_extra: float = 100.0
    budget_window_s: float = 10.0
    connect_timeout_s: float = 0.4
    least_left_s: float = 0.02
    retry_after_s: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class _ProbeResult:
    """Last answer of an upstream to a probe, and the pause before the next."""

    report: pipelines.EngineReport
    received_s: float
    min_interval_s: float


class ForwardingService:
    """Forwards each request to upstreams until it has a final answer.

    Attributes:
        running: Number of requests being served.
        is_ended: Whether requests are ended because the entry exits.
        crash_counts: Number of upstreams that each request has crashed.
        part_crashes: Evidence for and against parts of prompts.
        upstream_limits: Rate limits that upstreams announced.
        loop_lags: Tells when the event loop was late, while streams run.

    Args:
        directory: Registered upstreams and recent evidence of their failures.
        load_table: Load in flight at each upstream.
        codec: Encodes requests and decodes responses.
        pool: Connections to upstreams.
        control: Reads status reports of upstreams and changes the paths of
            running streams.
        get_catalog: Returns the configuration in force.
        count_entries: Returns how many entries share the retry budget; None
            while that is unknown.
        get_report_delay_s: Returns the mean delay with which other entries'
            load reports arrive.
        settings: Timeouts and retry limits.
        random_source: Random number generator.
        metrics: Metrics of the entry.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        load_table: loads.LoadTable,
        codec: messages.Codec,
        pool: connections.ConnectionPool,
        control: pipelines.EngineControl,
        get_catalog: Callable[[], documents.Catalog | None],
        count_entries: Callable[[], int | None],
        get_report_delay_s: Callable[[], float],
        settings: Settings,
        random_source: random.Random,
        metrics: metrics_module.ForwardingMetrics,
    ):
        self.running = 0
        self.is_ended = False
        self.metrics = metrics
        self.directory = directory
        self.load_table = load_table
        self.codec = codec
        self.pool = pool
        self.control = control
        self.settings = settings
        self.random_source = random_source
        self._get_catalog = get_catalog
        self._count_entries = count_entries
        self._get_report_delay_s = get_report_delay_s
        self._rate_meters: dict[str, request_rates.RateMeter] = {}
        self.loop_lags = loop_lags.LoopLagMeter()
        self._started_s = asyncio.get_running_loop().time()
        self.crash_counts = crash_counts.CrashCounts(
            asyncio.get_running_loop().time
        )
        self.part_crashes = crashing_parts.PartCrashes(
            asyncio.get_running_loop().time, random_source
        )
        self.upstream_limits = upstream_limits.UpstreamLimits(
            asyncio.get_running_loop().time, count_entries, random_source
        )
        self._left_instances = left_instances.LeftInstances(
            asyncio.get_running_loop().time,
            directory.is_replaced,
            self.count_crash,
        )
        directory.add_listener(self._left_instances.check)
        self._budgets: dict[str, budgets.SharedRetryBudget] = {}
        self._streams: dict[generations.GenerationHandler, None] = {}
        # Time limits of the requests that are being read or served.
        self._limits: dict[asyncio.Timeout, messages.ResponseWriter] = {}
        self._probe_results: dict[tuple[str, int], _ProbeResult] = {}
        self._probes: dict[tuple[str, int], asyncio.Task] = {}
        # Upstreams whose last probe had no answer although it was not refused.
        self._silent: set[tuple[str, int]] = set()
        # First instances that reported an upstream as stalled, for those that
        # are avoided only because of it.
        self._stall_reporters: dict[tuple[str, int], set] = {}
        # Upstreams that refused the last connection to them.
        self._unreachable: set[tuple[str, int]] = set()

    async def __aenter__(self) -> "ForwardingService":
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._probes.values()):
            task.cancel()
        await asyncio.gather(*self._probes.values(), return_exceptions=True)

    def set_retry_budget(self, ratio: float, extra: float) -> None:
        """Changes the bounds of the retry budgets."""
        self.settings = dataclasses.replace(
            self.settings, budget_ratio=ratio, budget_extra=extra
        )
        for budget in self._budgets.values():
            budget.set_limits(ratio, extra)

    def make_crash_refusal(
        self,
        is_not_run: bool,
        retry_after_s: float = CRASH_RETRY_S,
        detail: str = "request crashed its upstreams repeatedly",
    ) -> messages.Refusal:
        """Returns the refusal of a request that may crash upstreams."""
        return messages.Refusal(
            messages.RefusalReason.CRASHES_UPSTREAMS,
            is_not_run,
            retry_after_s,
            detail,
        )

    @contextlib.asynccontextmanager
    async def limit_time(
        self, until_s: float, writer: messages.ResponseWriter
    ) -> AsyncIterator[None]:
        """Ends the work on a request at a loop time, or once the entry exits.

        Raises:
            TimeoutError: The work was ended; `is_ended` tells why.
        """
        if self.is_ended:
            raise TimeoutError
        async with asyncio.timeout_at(until_s) as limit:
            self._limits[limit] = writer
            try:
                yield
            finally:
                del self._limits[limit]

    def end_requests(self) -> int:
        """Ends the work on the requests whose answer has not begun.

        Returns:
            Their number. They are refused, and so are later ones.
        """
        self.is_ended = True
        now_s = asyncio.get_running_loop().time()
        waiting = [
            limit
            for limit, writer in self._limits.items()
            if not writer.is_started and not limit.expired()
        ]
        for limit in waiting:
            limit.reschedule(now_s)
        return len(waiting)

    def make_time_refusal(
        self, request: messages.Request, is_not_run: bool, detail: str
    ) -> messages.Refusal:
        """Returns the refusal of a request whose time limit has ended it."""
        if self.is_ended:
            return self.make_stop_refusal(is_not_run, detail)
        return messages.Refusal(
            messages.RefusalReason.TIMEOUT,
            is_not_run,
            self.draw_retry_after_s(),
            f"no complete answer before the deadline"
            f" (route timeout {request.route.timeout_s} s); {detail}",
        )

    def make_stop_refusal(
        self, is_not_run: bool, detail: str
    ) -> messages.Refusal:
        """Returns the refusal of a request that this entry cannot finish."""
        return messages.Refusal(
            messages.RefusalReason.STOPPING,
            is_not_run,
            OTHER_ENTRY_RETRY_S,
            f"entry is shutting down; {detail}",
        )

    def watch_left_instance(
        self, upstream: upstreams.Upstream, fingerprint: int
    ) -> None:
        """Counts a crash if an instance that a request has left is replaced."""
        self._left_instances.record(upstream, fingerprint)

    def count_crash(
        self, fingerprint: int, upstream: upstreams.Upstream
    ) -> int:
        """Counts a crash under a request.

        Returns:
            The number of its crashes that the entries know of.
        """
        count = self.crash_counts.add(fingerprint)
        _log.info(
            logs.format_event(
                "request_crash_counted",
                instance=upstream.instance_id,
                fingerprint=f"{fingerprint:016x}",
                crashes=count,
            )
        )
        return count

    def clear_crashes(self, fingerprint: int) -> None:
        """Removes the evidence against a request that has made progress."""
        self.crash_counts.clear(fingerprint)
        self._left_instances.remove(fingerprint)

    async def check_alive(
        self, upstream: upstreams.Upstream, is_urgent: bool = False
    ) -> bool:
        """Returns whether an upstream that lost an answer is still usable.

        Probes it first, unless it is avoided because a probe or a connection
        failed. One that is avoided for another reason may answer.

        Args:
            upstream: The upstream.
            is_urgent: Whether it is probed even if the next probe is not due
                yet; its last answer does not show whether it has crashed since.
        """
        is_forced = not self._has_failed(upstream)
        await self._wait_for_probe(upstream, "lost", is_urgent, is_forced)
        return not (
            self.directory.is_avoided(upstream) and self._has_failed(upstream)
        )

    def _has_failed(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether the last probe or connection has failed."""
        return upstream.key in self._silent or upstream.key in self._unreachable

    def get_catalog_version(self) -> int:
        """Returns the version of the configuration in force."""
        return self._get_catalog().version

    def is_silent(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether the last probe of an upstream had no answer at all.

        It may be sound then; one that has ended refuses connections.
        """
        return upstream.key in self._silent

    # Used by the handlers of both kinds of requests.

    def send(
        self,
        connection: connections.Connection,
        request: messages.Request,
        target: messages.AttemptTarget,
        last_event_id: str,
        is_retry: bool,
    ) -> None:
        """Sends a request to an upstream with the time left to its deadline.

        Raises:
            UpstreamUnreachableError: The connection was closed before anything
                was sent.
        """
        remaining_s = request.deadline_s - asyncio.get_running_loop().time()
        connection.send(
            self.codec.encode_request(
                request, target, remaining_s, last_event_id
            )
        )
        self.metrics.sends.labels("retry" if is_retry else "first").inc()

    async def read_head(
        self,
        connection: connections.Connection,
        request: messages.Request,
        upstream: upstreams.Upstream,
    ) -> messages.ResponseHead:
        """Returns status and headers of the response to a sent request.

        Raises:
            UndefinedStatusError: Its status is not within 200 to 599.
            UpstreamResponseLostError: No response arrived, or it does not
                belong to the request.
        """
        try:
            message = await connection.read_head()
        except exceptions.UndefinedStatusError as error:
            _log.warning(
                logs.format_event(
                    "upstream_status_invalid",
                    request_id=request.request_id,
                    instance=upstream.instance_id,
                    status=error.status,
                    address=upstream.address,
                )
            )
            raise
        head = self.codec.decode_head(message)
        messages.verify_response(head, request, upstream.address)
        if head.is_success or head.rate_limit_per_s is not None:
            self.upstream_limits.record(upstream.key, head.rate_limit_per_s)
        if head.is_leaving and self.directory.record_leaving(upstream):
            _log.info(
                logs.format_event(
                    "upstream_leaving",
                    instance=upstream.instance_id,
                    address=upstream.address,
                    list_age_s=round(self.directory.get_age_s(), 3),
                )
            )
        return head

    def record_pause(
        self, upstream: upstreams.Upstream, pause_s: float | None
    ) -> None:
        """Sends an upstream nothing for a time, as it has asked.

        Args:
            upstream: The upstream that refused a request.
            pause_s: The time in seconds; None if it asked for none.
        """
        if not pause_s:
            return
        pause_s *= self.random_source.uniform(1.0, 1.0 + PAUSE_SPREAD)
        self.directory.record_pause(upstream, pause_s)
        _log.info(
            logs.format_event(
                "upstream_paused",
                instance=upstream.instance_id,
                address=upstream.address,
                for_s=round(pause_s, 3),
            )
        )

    def try_take_retry(self, service: str) -> bool:
        """Takes one retry from the budget of a service, if one is left."""
        return self._get_budget(service).try_withdraw()

    def return_retry(self, service: str) -> None:
        """Returns a retry to the budget of a service, as it was not used."""
        self._get_budget(service).put_back()

    def _get_budget(self, service: str) -> budgets.SharedRetryBudget:
        settings = self.settings
        budget = self._budgets.get(service)
        if budget is None:
            budget = budgets.SharedRetryBudget(
                settings.budget_ratio,
                settings.budget_extra,
                settings.budget_window_s,
                asyncio.get_running_loop().time,
                self._started_s,
            )
            self._budgets[service] = budget
        budget.set_entry_count(self._count_entries())
        return budget

    def _get_rate_meter(self, service: str) -> request_rates.RateMeter:
        meter = self._rate_meters.get(service)
        if meter is None:
            meter = request_rates.RateMeter(asyncio.get_running_loop().time)
            self._rate_meters[service] = meter
        return meter

    def estimate_unreported_requests(self, service: str) -> float:
        """Estimates the requests of other entries not reported to this one yet.

        Assumes that callers are spread evenly over the entries, so that each
        entry receives requests at about the same rate. Unlimited while this
        entry does not know the others: all may have started together.
        """
        entries = self._count_entries()
        if entries is None:
            return math.inf
        report_delay_s = self._get_report_delay_s()
        rate_per_s = self._get_rate_meter(service).get_per_s()
        return rate_per_s * (entries - 1) * report_delay_s

    def choose_service(self, request: messages.Request) -> str:
        """Draws the service of a request by the weights in its route."""
        names = [name for name, _ in request.route.services]
        weights = [weight for _, weight in request.route.services]
        if len(names) == 1:
            return names[0]
        return self.random_source.choices(names, weights)[0]

    def draw_retry_after_s(self) -> float:
        """Returns a random ``Retry-After`` time, so that retries are spread."""
        mean_s = self.settings.retry_after_s
        return self.random_source.uniform(0.5 * mean_s, 1.5 * mean_s)

    def record_failure(
        self, upstream: upstreams.Upstream, why: str, is_shared: bool = False
    ) -> None:
        """Avoids an upstream for a time and reroutes the streams through it.

        Args:
            upstream: The upstream.
            why: Observed failure, for the log.
            is_shared: Whether the failure is reported to other entries.
        """
        self._stall_reporters.pop(upstream.key, None)
        was_avoided = self.directory.is_avoided(upstream)
        avoid_s = self.directory.record_failure(upstream, is_shared)
        if was_avoided:
            return
        self._forget_failure(upstream)
        self.metrics.exclusions.inc()
        _log.info(
            logs.format_event(
                "upstream_avoided",
                instance=upstream.instance_id,
                address=upstream.address,
                why=why,
                for_s=avoid_s,
                list_age_s=round(self.directory.get_age_s(), 3),
            )
        )
        self.notify_streams(upstream)

    def record_stall(
        self, upstream: upstreams.Upstream, reporter: upstreams.Upstream
    ) -> None:
        """Avoids an upstream for which another one waits.

        Args:
            upstream: The upstream.
            reporter: The one that waits, as first instance of a stream.
        """
        reporters = self._stall_reporters.get(upstream.key)
        if reporters is None and not self.directory.is_avoided(upstream):
            reporters = set()
        self.pool.record_reported(upstream.address)
        self.record_failure(upstream, "stalled", is_shared=True)
        if reporters is not None:
            # Nothing else speaks against it.
            self._stall_reporters[upstream.key] = reporters | {reporter.key}

    def record_reported(
        self, upstream: upstreams.Upstream, reporter: str
    ) -> None:
        """Avoids an upstream that another entry reports as failed."""
        self.pool.record_reported(upstream.address)
        self.record_failure(upstream, f"reported by {reporter}")

    def record_life(
        self, upstream: upstreams.Upstream, first: upstreams.Upstream
    ) -> None:
        """Uses an upstream again that was avoided because it was silent.

        One that was reported as stalled is used again when streams from all
        that reported it have gone on: the link of one of them may be cut.

        Args:
            upstream: The upstream.
            first: First instance of a stream that has gone on through it.
        """
        if upstream.key in self._silent:
            self._silent.discard(upstream.key)
            self.directory.record_success(upstream)
        reporters = self._stall_reporters.get(upstream.key)
        if reporters is None:
            return
        reporters.discard(first.key)
        if not reporters:
            del self._stall_reporters[upstream.key]
            self.directory.record_success(upstream)

    def _forget_failure(self, upstream: upstreams.Upstream) -> None:
        self._silent.discard(upstream.key)
        self._unreachable.discard(upstream.key)

    def record_unreachable(
        self,
        upstream: upstreams.Upstream,
        error: exceptions.UpstreamUnreachableError,
    ) -> None:
        """Avoids an upstream that did not accept a connection.

        Not if only the links of this entry are known to be at fault.
        """
        if not isinstance(error, exceptions.NoHelperError):
            self.record_failure(upstream, f"connect: {error}")
            self._forget_failure(upstream)
            self._unreachable.add(upstream.key)

    def record_misdirected(self, upstream: upstreams.Upstream) -> None:
        """Avoids an upstream that rejected a request as misdirected (421).

        The directory's data about it is out of date. Streams that pass through
        it continue: the layers that it no longer holds may be others than those
        that they use.
        """
        self._forget_failure(upstream)
        if self.directory.is_avoided(upstream):
            return
        avoid_s = self.directory.record_failure(upstream)
        _log.info(
            logs.format_event(
                "upstream_misdirected",
                instance=upstream.instance_id,
                address=upstream.address,
                for_s=avoid_s,
                list_age_s=round(self.directory.get_age_s(), 3),
            )
        )

    def start_probe(
        self,
        upstream: upstreams.Upstream,
        cause: str,
        is_urgent: bool = False,
        is_forced: bool = False,
    ) -> None:
        """Starts a probe; an upstream that does not answer it is avoided.

        A broken connection alone is weak evidence: a single answer can be lost
        at an upstream that serves all other requests.

        Args:
            upstream: The upstream.
            cause: Reason of the probe, for the log.
            is_urgent: Whether it does not wait until the next probe is due.
            is_forced: Whether an upstream that is avoided is probed as well.
        """
        now_s = asyncio.get_running_loop().time()
        result = self._probe_results.get(upstream.key)
        if (
            upstream.key in self._probes
            or (self.directory.is_avoided(upstream) and not is_forced)
            or (
                not is_urgent
                and result is not None
                and now_s - result.received_s < result.min_interval_s
            )
        ):
            return
        task = asyncio.create_task(self._probe(upstream, cause))
        self._probes[upstream.key] = task

        def remove_probe(_: asyncio.Task) -> None:
            self._probes.pop(upstream.key, None)

        task.add_done_callback(remove_probe)

    async def get_fresh_report(
        self, upstream: upstreams.Upstream, cause: str
    ) -> pipelines.EngineReport | None:
        """Returns a recent report of an upstream; callers share one probe.

        Returns:
            The report; None if the upstream did not answer, or if the last
            report is too old and the next probe is not due yet.
        """
        await self._wait_for_probe(upstream, cause)
        result = self._probe_results.get(upstream.key)
        now_s = asyncio.get_running_loop().time()
        if result is None or now_s - result.received_s > MIN_PROBE_INTERVAL_S:
            return None
        return result.report

    async def _wait_for_probe(
        self,
        upstream: upstreams.Upstream,
        cause: str,
        is_urgent: bool = False,
        is_forced: bool = False,
    ) -> None:
        self.start_probe(upstream, cause, is_urgent, is_forced)
        task = self._probes.get(upstream.key)
        if task is not None:
            await asyncio.wait({task})

    async def _probe(self, upstream: upstreams.Upstream, cause: str) -> None:
        self.metrics.probes.labels(cause.partition(" ")[0]).inc()
        try:
            report = await self.control.read_report(upstream, PROBE_TIMEOUT_S)
        except exceptions.NoHelperError:
            return  # The links of this entry are at fault.
        except exceptions.UpstreamError as error:
            self._probe_results.pop(upstream.key, None)
            self.record_failure(
                upstream,
                f"{cause}; probe failed: {error}",
                self._is_confirmed_dead(upstream, error),
            )
            self._forget_failure(upstream)
            if isinstance(error, exceptions.UpstreamUnreachableError):
                self._unreachable.add(upstream.key)
            else:
                self._silent.add(upstream.key)
            return
        self._forget_failure(upstream)
        now_s = asyncio.get_running_loop().time()
        previous = self._probe_results.get(upstream.key)
        min_interval_s = MIN_PROBE_INTERVAL_S
        if (
            previous is not None
            and now_s - previous.received_s < PROBE_BACKOFF_RESET_S
        ):
            min_interval_s = min(
                MAX_PROBE_INTERVAL_S, 2 * previous.min_interval_s
            )
        self._probe_results[upstream.key] = _ProbeResult(
            report, now_s, min_interval_s
        )
        self.directory.set_slowdown(upstream, report.slowdown)

    def _is_confirmed_dead(
        self, upstream: upstreams.Upstream, error: exceptions.UpstreamError
    ) -> bool:
        """Returns whether an upstream refuses this entry and another one.

        One that is only silent accepts connections.
        """
        return isinstance(
            error.__cause__, ConnectionRefusedError
        ) and self.pool.is_reported(upstream.address)

    def notify_streams(self, upstream: upstreams.Upstream) -> None:
        """Notifies the streams of a suspected upstream."""
        for stream in list(self._streams):
            stream.handle_suspect(upstream)

    def add_stream(self, stream: generations.GenerationHandler) -> None:
        """Notifies a stream of suspected upstreams from now on."""
        self._streams[stream] = None

    def remove_stream(self, stream: generations.GenerationHandler) -> None:
        """Stops notifying a stream of suspected upstreams."""
        self._streams.pop(stream, None)

    async def serve(
        self, request: messages.Request, writer: messages.ResponseWriter
    ) -> messages.StreamSummary | None:
        """Serves one request until its caller has a final answer.

        Returns:
            How it was served if it was sent over a path, else None.
        """
        self.running += 1
        self.metrics.running.set(self.running)
        try:
            fingerprint = _compute_fingerprint(request)
            if self.crash_counts.is_blocked(fingerprint):
                await writer.refuse(self.make_crash_refusal(True))
                return None
            service_name = self.choose_service(request)
            self._get_budget(service_name).deposit()
            catalog = self._get_catalog()
            service = catalog.services.get(service_name)
            if service is None:
                await writer.refuse(
                    messages.Refusal(
                        messages.RefusalReason.NO_UPSTREAM,
                        True,
                        self.draw_retry_after_s(),
                        f"service {service_name} is not configured",
                    )
                )
                return None
            exchange = messages.Exchange(request, writer, service, fingerprint)
            self._get_rate_meter(service_name).add()
            if service.engine is not None and request.generation:
                return await generations.GenerationHandler(
                    self, exchange
                ).serve()
            await plain_requests.PlainRequestHandler(self, exchange).serve()
            return None
        finally:
            self.running -= 1
            self.metrics.running.set(self.running)


def _compute_fingerprint(request: messages.Request) -> int:
    organisation = request.organisation
    return crash_counts.compute_request_fingerprint(
        organisation.name if organisation else "",
        request.method,
        request.target,
        request.body,
    )
