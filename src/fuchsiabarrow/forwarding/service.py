"""Forwards requests to upstreams and answers their callers.

Chooses the service of each request and connects what all requests share: the
requests in progress, the evidence against upstreams, and the retry budgets.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import evidence as evidence_module
from fuchsiabarrow.forwarding import generations
from fuchsiabarrow.forwarding import ledgers
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.forwarding import plain_requests
from fuchsiabarrow.forwarding import retries
from fuchsiabarrow.forwarding import schedulers
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import upstream_limits
from fuchsiabarrow.ports import pipelines
from fuchsiabarrow.scheduling import shares
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import loop_lags

__all__ = ["ForwardingService", "Settings"]


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


class ForwardingService:
    """Forwards each request to upstreams until it has a final answer.

    Attributes:
        directory: Registered upstreams and recent evidence of their failures.
        load_table: Load in flight at each upstream.
        evidence: What is known against upstreams and requests.
        crash_counts: Number of upstreams that each request has crashed.
        part_crashes: Evidence for and against parts of prompts.
        upstream_limits: Rate limits that upstreams announced.
        metrics: Metrics of the entry.

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
        share_table: Use of services by organisation, at all entries; None if
            nothing is known of other entries.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        load_table: loads.LoadTable,
        codec: messages.Codec,
        pool: connection_pools.ConnectionPool,
        control: pipelines.EngineControl,
        get_catalog: Callable[[], documents.Catalog | None],
        count_entries: Callable[[], int | None],
        get_report_delay_s: Callable[[], float],
        settings: Settings,
        random_source: random.Random,
        metrics: metrics_module.ForwardingMetrics,
        share_table: shares.ShareTable | None = None,
    ):
        self.directory = directory
        self.load_table = load_table
        self.metrics = metrics
        self._random_source = random_source
        self._get_catalog = get_catalog
        self._ledger = ledgers.Ledger(
            settings.retry_after_s,
            count_entries,
            get_report_delay_s,
            random_source,
            metrics,
        )
        self.evidence = evidence_module.Evidence(
            directory,
            pool,
            control,
            self._ledger.notify_streams,
            random_source,
            metrics,
        )
        self.crash_counts = self.evidence.crash_counts
        self.part_crashes = self.evidence.part_crashes
        self.upstream_limits = upstream_limits.UpstreamLimits(
            asyncio.get_running_loop().time, count_entries, random_source
        )
        self._retry_budgets = retries.RetryBudgets(
            settings.budget_ratio,
            settings.budget_extra,
            settings.budget_window_s,
            count_entries,
        )
        self._scheduler = schedulers.Scheduler(
            directory,
            load_table,
            get_catalog,
            share_table
            or shares.ShareTable("", asyncio.get_running_loop().time()),
            random_source,
            metrics,
        )
        self._context = contexts.Context(
            settings.failure_domain,
            directory,
            load_table,
            codec,
            pool,
            control,
            get_catalog,
            self._ledger,
            self.evidence,
            self._retry_budgets,
            self._scheduler,
            self.upstream_limits,
            loop_lags.LoopLagMeter(),
            random_source,
            metrics,
        )

    async def __aenter__(self) -> "ForwardingService":
        await self.evidence.__aenter__()
        return self

    async def __aexit__(self, *details) -> None:
        self._scheduler.__exit__(*details)
        await self.evidence.__aexit__(*details)

    @property
    def running(self) -> int:
        """Number of requests being served."""
        return self._ledger.running

    @property
    def is_ended(self) -> bool:
        """Whether requests are ended because the entry exits."""
        return self._ledger.is_ended

    def set_retry_budget(self, ratio: float, extra: float) -> None:
        """Changes the bounds of the retry budgets."""
        self._retry_budgets.set_limits(ratio, extra)

    def limit_time(
        self, until_s: float, writer: messages.ResponseWriter
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Ends the work on a request at a loop time, or once the entry exits.

        Entering or leaving it raises TimeoutError if the work was ended;
        `is_ended` tells why.
        """
        return self._ledger.limit_time(until_s, writer)

    def end_requests(self) -> int:
        """Ends the work on the requests whose answer has not begun.

        Returns:
            Their number. They are refused, and so are later ones.
        """
        return self._ledger.end_requests()

    def make_stop_refusal(
        self, is_not_run: bool, detail: str
    ) -> messages.Refusal:
        """Returns the refusal of a request that this entry cannot finish."""
        return self._ledger.make_stop_refusal(is_not_run, detail)

    def draw_retry_after_s(self) -> float:
        """Returns a random ``Retry-After`` time, so that retries are spread."""
        return self._ledger.draw_retry_after_s()

    def record_failure(self, upstream: upstreams.Upstream, why: str) -> None:
        """Avoids an upstream for a time and reroutes the streams through it.

        Args:
            upstream: The upstream.
            why: Observed failure, for the log.
        """
        self.evidence.record_failure(upstream, why)

    def record_reported(
        self, upstream: upstreams.Upstream, reporter: str
    ) -> None:
        """Avoids an upstream that another entry reports as failed."""
        self.evidence.record_reported(upstream, reporter)

    async def serve(
        self, request: messages.Request, writer: messages.ResponseWriter
    ) -> messages.StreamSummary | None:
        """Serves one request until its caller has a final answer.

        Returns:
            How it was served if it was sent over a path or answered by a
            stream, else None.
        """
        with self._ledger.count_running():
            fingerprint = _compute_fingerprint(request)
            if self.crash_counts.is_blocked(fingerprint):
                await writer.refuse(self._ledger.make_crash_refusal(True))
                return None
            service_name = self._choose_service(request)
            self._retry_budgets.deposit(service_name)
            service = self._get_catalog().services.get(service_name)
            if service is None:
                await writer.refuse(
                    messages.Refusal(
                        messages.RefusalReason.NO_UPSTREAM,
                        True,
                        self._ledger.draw_retry_after_s(),
                        f"service {service_name} is not configured",
                    )
                )
                return None
            exchange = messages.Exchange(request, writer, service, fingerprint)
            self._ledger.count_arrival(service_name)
            if service.engine is not None and request.generation:
                return await generations.GenerationHandler(
                    self._context, exchange
                ).serve()
            return await plain_requests.PlainRequestHandler(
                self._context, exchange
            ).serve()

    def _choose_service(self, request: messages.Request) -> str:
        """Draws the service of a request by the weights in its route."""
        names = [name for name, _ in request.route.services]
        weights = [weight for _, weight in request.route.services]
        if len(names) == 1:
            return names[0]
        return self._random_source.choices(names, weights)[0]


def _compute_fingerprint(request: messages.Request) -> int:
    organisation = request.organisation
    return crash_counts.compute_request_fingerprint(
        organisation.name if organisation else "",
        request.method,
        request.target,
        request.body,
    )
