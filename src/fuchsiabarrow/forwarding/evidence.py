"""What is known against upstreams, and against requests that crash them.

Upstreams are probed when there is a reason to suspect them. One that has failed
is avoided for a time, and the streams through it are notified.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.limits import crash_counts
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import left_instances
from fuchsiabarrow.ports import pipelines
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module

__all__ = ["Evidence"]

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

_log = logbook.Logger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class _ProbeResult:
    """Last answer of an upstream to a probe, and the pause before the next."""

    report: pipelines.EngineReport
    received_s: float
    min_interval_s: float


class Evidence:
    """Records failures of upstreams and crashes under requests.

    A context manager; leaving it ends the probes that are running.

    Attributes:
        crash_counts: Number of upstreams that each request has crashed.
        part_crashes: Evidence for and against parts of prompts.

    Args:
        directory: Registered upstreams and recent evidence of their failures.
        pool: Connections to upstreams.
        control: Reads status reports of upstreams.
        notify_streams: Called with an upstream once it is avoided.
        random_source: Random number generator.
        metrics: Metrics of the entry.
    """

    def __init__(
        self,
        directory: directory_module.Directory,
        pool: connection_pools.ConnectionPool,
        control: pipelines.EngineControl,
        notify_streams: Callable[[upstreams.Upstream], None],
        random_source: random.Random,
        metrics: metrics_module.ForwardingMetrics,
    ):
        get_time_s = asyncio.get_running_loop().time
        self.crash_counts = crash_counts.CrashCounts(get_time_s)
        self.part_crashes = crashing_parts.PartCrashes(
            get_time_s, random_source
        )
        self._directory = directory
        self._pool = pool
        self._control = control
        self._notify_streams = notify_streams
        self._random_source = random_source
        self._metrics = metrics
        self._left_instances = left_instances.LeftInstances(
            get_time_s, directory.is_replaced, self.count_crash
        )
        directory.add_listener(self._left_instances.check)
        self._probe_results: dict[tuple[str, int], _ProbeResult] = {}
        self._probes: dict[tuple[str, int], asyncio.Task] = {}
        # Upstreams whose last probe had no answer although it was not refused.
        self._silent: set[tuple[str, int]] = set()
        # First instances that reported an upstream as stalled, for those that
        # are avoided only because of it.
        self._stall_reporters: dict[tuple[str, int], set] = {}
        # Upstreams that refused the last connection to them.
        self._unreachable: set[tuple[str, int]] = set()

    async def __aenter__(self) -> "Evidence":
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._probes.values()):
            task.cancel()
        await asyncio.gather(*self._probes.values(), return_exceptions=True)

    # Crashes under requests.

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

    # Failures of upstreams.

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
        pause_s *= self._random_source.uniform(1.0, 1.0 + PAUSE_SPREAD)
        self._directory.record_pause(upstream, pause_s)
        _log.info(
            logs.format_event(
                "upstream_paused",
                instance=upstream.instance_id,
                address=upstream.address,
                for_s=round(pause_s, 3),
            )
        )

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
        was_avoided = self._directory.is_avoided(upstream)
        avoid_s = self._directory.record_failure(upstream, is_shared)
        if was_avoided:
            return
        self._forget_failure(upstream)
        self._metrics.exclusions.inc()
        _log.info(
            logs.format_event(
                "upstream_avoided",
                instance=upstream.instance_id,
                address=upstream.address,
                why=why,
                for_s=avoid_s,
                list_age_s=round(self._directory.get_age_s(), 3),
            )
        )
        self._notify_streams(upstream)

    def record_stall(
        self, upstream: upstreams.Upstream, reporter: upstreams.Upstream
    ) -> None:
        """Avoids an upstream for which another one waits.

        Args:
            upstream: The upstream.
            reporter: The one that waits, as first instance of a stream.
        """
        reporters = self._stall_reporters.get(upstream.key)
        if reporters is None and not self._directory.is_avoided(upstream):
            reporters = set()
        self._pool.record_reported(upstream.address)
        self.record_failure(upstream, "stalled", is_shared=True)
        if reporters is not None:
            # Nothing else speaks against it.
            self._stall_reporters[upstream.key] = reporters | {reporter.key}

    def record_reported(
        self, upstream: upstreams.Upstream, reporter: str
    ) -> None:
        """Avoids an upstream that another entry reports as failed."""
        self._pool.record_reported(upstream.address)
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
            self._directory.record_success(upstream)
        reporters = self._stall_reporters.get(upstream.key)
        if reporters is None:
            return
        reporters.discard(first.key)
        if not reporters:
            del self._stall_reporters[upstream.key]
            self._directory.record_success(upstream)

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
        if self._directory.is_avoided(upstream):
            return
        avoid_s = self._directory.record_failure(upstream)
        _log.info(
            logs.format_event(
                "upstream_misdirected",
                instance=upstream.instance_id,
                address=upstream.address,
                for_s=avoid_s,
                list_age_s=round(self._directory.get_age_s(), 3),
            )
        )

    def is_silent(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether the last probe of an upstream had no answer at all.

        It may be sound then; one that has ended refuses connections.
        """
        return upstream.key in self._silent

    def _has_failed(self, upstream: upstreams.Upstream) -> bool:
        """Returns whether the last probe or connection has failed."""
        return upstream.key in self._silent or upstream.key in self._unreachable

    def _forget_failure(self, upstream: upstreams.Upstream) -> None:
        self._silent.discard(upstream.key)
        self._unreachable.discard(upstream.key)

    # Probes.

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
            self._directory.is_avoided(upstream) and self._has_failed(upstream)
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
            or (self._directory.is_avoided(upstream) and not is_forced)
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
        self._metrics.probes.labels(cause.partition(" ")[0]).inc()
        try:
            report = await self._control.read_report(upstream, PROBE_TIMEOUT_S)
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
        self._directory.set_slowdown(upstream, report.slowdown)

    def _is_confirmed_dead(
        self, upstream: upstreams.Upstream, error: exceptions.UpstreamError
    ) -> bool:
        """Returns whether an upstream refuses this entry and another one.

        One that is only silent accepts connections.
        """
        return isinstance(
            error.__cause__, ConnectionRefusedError
        ) and self._pool.is_reported(upstream.address)
