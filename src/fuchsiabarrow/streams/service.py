"""Runs the streams of an entry (router process) through failures and moves."""

import asyncio
from collections.abc import Callable
import random

import logbook
from opentelemetry import trace

from fuchsiabarrow import exceptions
from fuchsiabarrow.limits import budgets
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import suspects as suspects_module
from fuchsiabarrow.peers import items
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.routing import service as routing_service
from fuchsiabarrow.streams import connections
from fuchsiabarrow.streams import drivers
from fuchsiabarrow.streams import part_items
from fuchsiabarrow.streams import streams
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import tasks as tasks_module

__all__ = ["StreamsService"]

# Kind of the items by which entries share the fingerprints of requests that
# crash their upstreams.
BLOCKED_KIND = "blocked"

_log = logbook.Logger(__name__)


class StreamsService:
    """Starts, finds and ends the streams of one entry.

    Attributes:
        suspects: Requests that may crash their upstreams.
        part_crashes: Evidence for and against parts of prompts.
        budget: Retry budget of the entry.

    Args:
        routing: Chooses chains and tracks the health of instances.
        engine_connections: Connections to engines.
        peers: Exchange with the other entries.
        tracer: Creates trace spans.
        metrics: Metrics of the entry.
        settings: Limits and delays.
        source: Random number generator.
    """

    def __init__(
        self,
        routing: routing_service.RoutingService,
        engine_connections: connections.EngineConnections,
        peers: peers_service.PeersService,
        tracer: trace.Tracer,
        metrics: metrics_module.PipelineMetrics,
        settings: drivers.Settings,
        source: random.Random,
    ):
        self.suspects = suspects_module.CrashSuspects(settings.suspects)
        self.part_crashes = crashing_parts.PartCrashes(
            asyncio.get_running_loop().time, source
        )
        self.budget = budgets.RetryBudget(ratio=0.2, reserve=1024)
        self._peers = peers
        self._metrics = metrics
        self._settings = settings
        self._context = drivers.DriverContext(
            routing,
            engine_connections,
            self.suspects,
            self.part_crashes,
            self.budget,
            tracer,
            metrics,
            settings,
            source,
            self._publish_blocked,
        )
        self._streams: dict[str, streams.Stream] = {}
        self._tasks: dict[str, asyncio.Task] = {}
        self._cleanup_task: asyncio.Task | None = None

    async def __aenter__(self) -> "StreamsService":
        self._peers.add_listener(BLOCKED_KIND, self._handle_blocked_item)
        part_items.share_part_crashes(
            self.part_crashes, self._peers, asyncio.get_running_loop().time
        )
        period_s = self._settings.linger_s / 4
        self._cleanup_task = asyncio.create_task(
            tasks_module.run_periodically(
                "stream_sweep", self._remove_idle_streams, lambda: period_s
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        self._cleanup_task.cancel()
        tasks = [self._cleanup_task, *self._tasks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(
        self, request: streams.StreamRequest, on_end: Callable[[], None]
    ) -> streams.Stream:
        """Starts a stream and returns it.

        Args:
            request: The request to answer.
            on_end: Called once when the stream no longer runs.

        Raises:
            StreamFailedError: The request is blocked because it crashed its
                upstreams before.
        """
        now_s = asyncio.get_running_loop().time()
        if self.suspects.is_blocked(request.fingerprint, now_s):
            raise drivers.make_crashing_request_error()
        judgement = self.part_crashes.judge(
            crashing_parts.compute_hash(request.organisation),
            request.shared_parts,
        )
        if judgement.verdict is crashing_parts.Verdict.BLOCKED:
            raise drivers.make_crashing_request_error()
        stream = streams.Stream(request)
        self._streams[request.request_id] = stream
        self.budget.deposit()
        task = asyncio.create_task(self._run(stream))
        task.add_done_callback(lambda done: on_end())
        self._tasks[request.request_id] = task
        return stream

    def find(self, request_id: str, organisation: str) -> streams.Stream | None:
        """Returns an organisation's stream, None if this entry has none."""
        stream = self._streams.get(request_id)
        if stream is None or stream.request.organisation != organisation:
            return None
        return stream

    def count_running(self) -> int:
        """Returns the number of running streams."""
        return len(self._tasks)

    def interrupt_all(self) -> None:
        """Ends the running streams; callers resume them on other entries."""
        for request_id in list(self._tasks):
            self._streams[request_id].fail(
                exceptions.StreamFailedError(
                    "this entry is stopping; resume with Last-Event-ID",
                    "unknown",
                    0.0,
                )
            )
            self._tasks[request_id].cancel()

    async def _run(self, stream: streams.Stream) -> None:
        request = stream.request
        self._metrics.streams.inc()
        try:
            await drivers.StreamDriver(self._context, stream).run()
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
            stream.fail(_make_failure("internal error"))
        finally:
            self._metrics.streams.dec()
            self._tasks.pop(request.request_id, None)
            stream.idle_since_s = asyncio.get_running_loop().time()

    def _publish_blocked(self, fingerprint: str) -> None:
        """Tells the other entries to refuse requests with a fingerprint."""
        self._peers.publish(
            f"{BLOCKED_KIND}/{fingerprint}",
            int(clocks.read_wall_time_s()),
            b"",
            self._settings.suspects.block_s,
        )

    def _handle_blocked_item(self, item: items.Item) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self.suspects.is_blocked(item.name, now_s):
            limit = self._settings.suspects.crash_limit
            self.suspects.add_crashes(item.name, limit, now_s)

    async def _remove_idle_streams(self) -> None:
        """Removes streams that had no reader for `linger_s`."""
        now_s = asyncio.get_running_loop().time()
        for request_id, stream in list(self._streams.items()):
            idle_s = now_s - stream.idle_since_s
            if stream.readers or idle_s < self._settings.linger_s:
                continue
            stream.fail(_make_failure("the answer was not read in time"))
            task = self._tasks.get(request_id)
            if task is not None:
                task.cancel()
            del self._streams[request_id]


def _make_failure(why: str) -> exceptions.StreamFailedError:
    return exceptions.StreamFailedError(
        f"{why}; send the request again", "failed", 0.0
    )
