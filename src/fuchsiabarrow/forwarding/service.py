"""Serves whole requests: attempts, retries within the budget, final answers."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import thinning
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import generations
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import plain_requests
from fuchsiabarrow.limits import budgets
from fuchsiabarrow.limits import crashes
from fuchsiabarrow.ports import pipelines
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module

__all__ = ["ForwardingService", "Settings"]

REPORT_TIMEOUT_S = 0.25
# An upstream that answered is not asked again within this time, and with each
# answer in a row within twice the time before, up to the longest.
FIRST_REST_S = 0.3
LONGEST_REST_S = 1.2
# Answers that far apart are not in a row.
ROW_GAP_S = 3.0
# When the caller of a request that crashes its upstreams may come back.
CRASH_RETRY_S = 60.0

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """Settings of the forwarding.

    Attributes:
        failure_domain: Failure domain of this entry.
        budget_ratio: Repeats that a request earns, over all entries.
        budget_extra: Repeats beyond that in a window, over all entries.
        budget_window_s: Length of the window of the retry budget.
        connect_timeout_s: Longest time to open a connection.
        least_left_s: A request with less time left is not sent.
        retry_after_s: Mean time after which refused callers may come back.
    """

    failure_domain: str
    budget_ratio: float = 0.2
    budget_extra: float = 100.0
    budget_window_s: float = 10.0
    connect_timeout_s: float = 0.4
    least_left_s: float = 0.02
    retry_after_s: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class _Answer:
    """Last answer of an upstream to a question how it does."""

    report: pipelines.EngineReport
    at_s: float
    rest_s: float


class ForwardingService:
    """Takes each request to its final answer.

    Attributes:
        running: Number of requests being served.
        crashes: Crashes of upstreams by request.

    Args:
        directory: Upstreams.
        ledger: Work in flight.
        codec: Encodes requests and decodes answers.
        pool: Connections.
        control: Reports and orders of engines.
        get_catalog: Returns the configuration in force.
        count_entries: Returns how many entries share the retry budget.
        get_lag_s: Returns how late entries know of each other's work.
        settings: Bounds.
        source: Random source.
        metrics: Counters.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        ledger: loads.Ledger,
        codec: messages.Codec,
        pool: connections.ConnectionPool,
        control: pipelines.EngineControl,
        get_catalog: Callable[[], documents.Catalog | None],
        count_entries: Callable[[], int],
        get_lag_s: Callable[[], float],
        settings: Settings,
        source: random.Random,
        metrics: metrics_module.ForwardingMetrics,
    ):
        self.running = 0
        self.metrics = metrics
        self.directory = directory
        self.ledger = ledger
        self.codec = codec
        self.pool = pool
        self.control = control
        self.settings = settings
        self.source = source
        self._get_catalog = get_catalog
        self._count_entries = count_entries
        self._get_lag_s = get_lag_s
        self._rates: dict[str, thinning.RateMeter] = {}
        self.crashes = crashes.CrashCounts(asyncio.get_running_loop().time)
        self._budgets: dict[str, budgets.WindowBudget] = {}
        self._streams: set[generations.GenerationRun] = set()
        self._answers: dict[tuple[str, int], _Answer] = {}
        self._inquiries: dict[tuple[str, int], asyncio.Task] = {}

    async def __aenter__(self) -> "ForwardingService":
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._inquiries.values()):
            task.cancel()
        await asyncio.gather(*self._inquiries.values(), return_exceptions=True)

    def set_budget(self, ratio: float, extra: float) -> None:
        """Takes over another retry budget."""
        self.settings = dataclasses.replace(
            self.settings, budget_ratio=ratio, budget_extra=extra
        )
        for budget in self._budgets.values():
            budget.change(ratio, extra)

    def make_crash_refusal(self, is_not_run: bool) -> messages.Refusal:
        """Returns the refusal of a request that crashes its upstreams."""
        return messages.Refusal(
            messages.RefusalReason.CRASHES_UPSTREAMS,
            is_not_run,
            CRASH_RETRY_S,
            "its upstreams crashed each time",
        )

    async def check_alive(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether an upstream whose answer was lost still answers."""
        await self._wait_for_inquiry(upstream, "lost")
        return not self.directory.is_avoided(upstream)

    # What both kinds of requests share.

    def send(
        self,
        connection: connections.Connection,
        request: messages.Request,
        target: messages.Target,
        last_event_id: str,
        is_retry: bool,
    ) -> None:
        """Sends a request to an upstream, with the time that is left for it.

        Raises:
            UpstreamUnreachableError: Nothing was sent.
        """
        left_s = request.deadline_s - asyncio.get_running_loop().time()
        connection.send(
            self.codec.encode_request(request, target, left_s, last_event_id)
        )
        self.metrics.sends.labels("retry" if is_retry else "first").inc()

    async def read_head(
        self,
        connection: connections.Connection,
        request: messages.Request,
        upstream: upstreams.Upstream,
    ) -> messages.AnswerHead:
        """Returns the head of the answer to a request that was sent.

        Raises:
            UpstreamLostError: There is none, or it is of another answer.
        """
        head = self.codec.decode_head(await connection.read_head())
        messages.check_origin(head, request, upstream.address)
        return head

    def spend_retry(self, service: str) -> bool:
        """Takes one repeat from the budget of a service."""
        return self._get_budget(service).spend()

    def _get_budget(self, service: str) -> budgets.WindowBudget:
        settings = self.settings
        budget = self._budgets.get(service)
        if budget is None:
            budget = budgets.WindowBudget(
                settings.budget_ratio,
                settings.budget_extra,
                settings.budget_window_s,
                asyncio.get_running_loop().time,
            )
            self._budgets[service] = budget
        budget.divide(self._count_entries())
        return budget

    def _get_rate(self, service: str) -> thinning.RateMeter:
        rate = self._rates.get(service)
        if rate is None:
            rate = thinning.RateMeter(asyncio.get_running_loop().time)
            self._rates[service] = rate
        return rate

    def estimate_unseen(self, service: str) -> float:
        """Returns the requests at others that nothing is known of yet.

        Callers spread over the entries, so that each gets about as many.
        """
        lag_s = self._get_lag_s()
        if not lag_s:
            return 0.0
        others = self._count_entries() - 1
        return self._get_rate(service).get_per_s() * others * lag_s

    def choose_service(self, request: messages.Request) -> str:
        """Draws the service of a request by the weights of its route."""
        names = [name for name, _ in request.route.services]
        weights = [weight for _, weight in request.route.services]
        if len(names) == 1:
            return names[0]
        return self.source.choices(names, weights)[0]

    def draw_retry_after_s(self) -> float:
        """Returns when a refused caller may come back, spread at random."""
        mean_s = self.settings.retry_after_s
        return self.source.uniform(0.5 * mean_s, 1.5 * mean_s)

    def note_failure(
        self, upstream: upstreams.Upstream, why: str, is_told: bool = False
    ) -> None:
        """Avoids an upstream and moves the streams that depend on it.

        Args:
            upstream: The upstream.
            why: Evidence, for the log.
            is_told: Whether other entries are to be told.
        """
        was_avoided = self.directory.is_avoided(upstream)
        avoid_s = self.directory.note_failure(upstream, is_told)
        if was_avoided:
            return
        self.metrics.avoided.inc()
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
        self.move_streams(upstream)

    def note_misdirected(self, upstream: upstreams.Upstream) -> None:
        """Avoids an upstream that is not what the list says.

        What runs there goes on: it may be another part that it gave up.
        """
        if self.directory.is_avoided(upstream):
            return
        avoid_s = self.directory.note_failure(upstream)
        _log.info(
            logs.format_event(
                "upstream_misdirected",
                instance=upstream.instance_id,
                address=upstream.address,
                for_s=avoid_s,
                list_age_s=round(self.directory.get_age_s(), 3),
            )
        )

    def inquire(self, upstream: upstreams.Upstream, why: str) -> None:
        """Avoids an upstream if it does not answer a question now.

        A connection that broke says little: answers are lost at upstreams
        that serve all others well.
        """
        now_s = asyncio.get_running_loop().time()
        answer = self._answers.get(upstream.key)
        if (
            upstream.key in self._inquiries
            or self.directory.is_avoided(upstream)
            or (answer is not None and now_s - answer.at_s < answer.rest_s)
        ):
            return
        task = asyncio.create_task(self._inquire(upstream, why))
        self._inquiries[upstream.key] = task

        def forget(_: asyncio.Task) -> None:
            self._inquiries.pop(upstream.key, None)

        task.add_done_callback(forget)

    async def ask(
        self, upstream: upstreams.Upstream, why: str
    ) -> pipelines.EngineReport | None:
        """Returns what an upstream says now, one question for all who ask.

        Returns:
            Its report; None if it gives none, or gave one a while ago and is
            not to be asked again yet.
        """
        await self._wait_for_inquiry(upstream, why)
        answer = self._answers.get(upstream.key)
        now_s = asyncio.get_running_loop().time()
        if answer is None or now_s - answer.at_s > FIRST_REST_S:
            return None
        return answer.report

    async def _wait_for_inquiry(
        self, upstream: upstreams.Upstream, why: str
    ) -> None:
        self.inquire(upstream, why)
        task = self._inquiries.get(upstream.key)
        if task is not None:
            await asyncio.wait({task})

    async def _inquire(self, upstream: upstreams.Upstream, why: str) -> None:
        self.metrics.inquiries.labels(why.partition(" ")[0]).inc()
        try:
            report = await self.control.read_report(upstream, REPORT_TIMEOUT_S)
        except exceptions.UpstreamError as error:
            self._answers.pop(upstream.key, None)
            self.note_failure(upstream, f"{why}, then {error}")
            return
        now_s = asyncio.get_running_loop().time()
        before = self._answers.get(upstream.key)
        rest_s = FIRST_REST_S
        if before is not None and now_s - before.at_s < ROW_GAP_S:
            rest_s = min(LONGEST_REST_S, 2 * before.rest_s)
        self._answers[upstream.key] = _Answer(report, now_s, rest_s)
        self.directory.set_pace_factor(upstream, report.pace_factor)

    def move_streams(self, upstream: upstreams.Upstream) -> None:
        """Wakes the streams that pass through an upstream."""
        for stream in list(self._streams):
            stream.note_suspect(upstream)

    def add_stream(self, stream: generations.GenerationRun) -> None:
        """Has a stream told about upstreams that fail."""
        self._streams.add(stream)

    def remove_stream(self, stream: generations.GenerationRun) -> None:
        """Stops telling a stream."""
        self._streams.discard(stream)

    async def serve(
        self, request: messages.Request, caller: messages.Caller
    ) -> None:
        """Serves one request to its final answer."""
        self.running += 1
        self.metrics.running.set(self.running)
        try:
            fingerprint = _compute_fingerprint(request)
            if self.crashes.is_blocked(fingerprint):
                await caller.refuse(self.make_crash_refusal(True))
                return
            service_name = self.choose_service(request)
            self._get_budget(service_name).earn()
            catalog = self._get_catalog()
            service = catalog.services.get(service_name)
            if service is None:
                await caller.refuse(
                    messages.Refusal(
                        messages.RefusalReason.NO_UPSTREAM,
                        True,
                        self.draw_retry_after_s(),
                        f"service {service_name} is not configured",
                    )
                )
                return
            exchange = messages.Exchange(request, caller, service, fingerprint)
            self._get_rate(service_name).add()
            if service.engine is not None and request.generation:
                run = generations.GenerationRun(self, exchange)
            else:
                run = plain_requests.PlainRun(self, exchange)
            await run.serve()
        finally:
            self.running -= 1
            self.metrics.running.set(self.running)


def _compute_fingerprint(request: messages.Request) -> int:
    organisation = request.organisation
    return crashes.compute_fingerprint(
        organisation.name if organisation else "",
        request.method,
        request.target,
        request.body,
    )
