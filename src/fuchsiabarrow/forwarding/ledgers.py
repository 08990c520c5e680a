"""Requests in progress at this entry, and the refusals that follow from them.

Holds the time limits of the requests, the streams that are notified of
suspected upstreams, and the rates at which requests arrive.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import math
import random
from typing import Protocol

from fuchsiabarrow.fleet import request_rates
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.telemetry import metrics as metrics_module

__all__ = ["Ledger", "Stream"]

# ``Retry-After`` for a request that crashes its upstreams.
CRASH_RETRY_S = 60.0
# ``Retry-After`` for a request that another entry can serve.
OTHER_ENTRY_RETRY_S = 0.05


class Stream(Protocol):
    """A running stream that is notified of suspected upstreams."""

    def handle_suspect(self, upstream: upstreams.Upstream) -> None:
        """Moves the stream off an upstream that may have failed."""


class Ledger:
    """Keeps account of the requests that this entry reads or serves.

    Attributes:
        running: Number of requests being served.
        is_ended: Whether requests are ended because the entry exits.

    Args:
        retry_after_s: Mean time after which callers of refused requests may
            retry. The actual time is drawn from 50 to 150 % of it.
        count_entries: Returns how many entries receive requests; None while
            that is unknown.
        get_report_delay_s: Returns the mean delay with which other entries'
            load reports arrive.
        random_source: Random number generator.
        metrics: Metrics of the entry.
    """

    def __init__(
        self,
        retry_after_s: float,
        count_entries: Callable[[], int | None],
        get_report_delay_s: Callable[[], float],
        random_source: random.Random,
        metrics: metrics_module.ForwardingMetrics,
    ):
        self.running = 0
        self.is_ended = False
        self._retry_after_s = retry_after_s
        self._count_entries = count_entries
        self._get_report_delay_s = get_report_delay_s
        self._random_source = random_source
        self._metrics = metrics
        self._rate_meters: dict[str, request_rates.RateMeter] = {}
        self._streams: dict[Stream, None] = {}
        # Time limits of the requests that are being read or served.
        self._limits: dict[asyncio.Timeout, messages.ResponseWriter] = {}

    # Requests in progress.

    @contextlib.contextmanager
    def count_running(self) -> Iterator[None]:
        """Counts a request as being served."""
        self.running += 1
        self._metrics.running.set(self.running)
        try:
            yield
        finally:
            self.running -= 1
            self._metrics.running.set(self.running)

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

    # Refusals.

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

    def draw_retry_after_s(self) -> float:
        """Returns a random ``Retry-After`` time, so that retries are spread."""
        mean_s = self._retry_after_s
        return self._random_source.uniform(0.5 * mean_s, 1.5 * mean_s)

    # Streams to notify.

    def add_stream(self, stream: Stream) -> None:
        """Notifies a stream of suspected upstreams from now on."""
        self._streams[stream] = None

    def remove_stream(self, stream: Stream) -> None:
        """Stops notifying a stream of suspected upstreams."""
        self._streams.pop(stream, None)

    def notify_streams(self, upstream: upstreams.Upstream) -> None:
        """Notifies the streams of a suspected upstream."""
        for stream in list(self._streams):
            stream.handle_suspect(upstream)

    # Request rates.

    def count_arrival(self, service: str) -> None:
        """Counts a request for a service in the rate of its requests."""
        self._get_rate_meter(service).add()

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

    def _get_rate_meter(self, service: str) -> request_rates.RateMeter:
        meter = self._rate_meters.get(service)
        if meter is None:
            meter = request_rates.RateMeter(asyncio.get_running_loop().time)
            self._rate_meters[service] = meter
        return meter
