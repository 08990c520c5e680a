"""Path of one language model request and the capacity reserved on it."""

from collections.abc import Callable
import itertools
import math

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import expected_loads
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import path_selection
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import shortages
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import messages

__all__ = ["StreamPath", "count_crossings", "format_kinds", "format_path"]

# Weight of the maximum answer length in the estimate of an answer's length: the
# expected length is a median, so that half of the answers are longer and need
# more memory.
MAX_ANSWER_WEIGHT = 0.3

# Limits on the requests in progress at the first instance of a path that is to
# share it with few of them, in the order in which they are tried.
QUIET_REQUESTS = (0, 2, 8)
MS_PER_S = 1000.0

# Instance id and incarnation.
UpstreamKey = tuple[str, int]


class StreamPath:
    """Chooses paths for one request and reserves capacity on the current one.

    Attributes:
        segments: Segments of the current path, in order; empty until one is
            reserved.
        excluded: Keys of instances that are not chosen for this request.
        is_prefilling: Whether instances of the current path have yet to read
            the prompt, or what was generated before a change of the path.

    Args:
        context: What the handlers of all requests share.
        exchange: The request and its service.
    """

    def __init__(
        self,
        context: contexts.Context,
        exchange: messages.Exchange,
    ):
        self.segments: tuple[paths.PathSegment, ...] = ()
        self.excluded: set[UpstreamKey] = set()
        self.is_prefilling = False
        self._context = context
        self._service = exchange.service
        self._request = exchange.request
        self._size = _estimate_size(exchange.request, exchange.service)
        self._reservation: loads.Reservation | None = None
        self._first_instances: dict[UpstreamKey, upstreams.Upstream] = {}

    @property
    def size_tokens(self) -> float:
        """Expected context of the request."""
        return self._size.context_tokens

    def __enter__(self) -> "StreamPath":
        return self

    def __exit__(self, *details) -> None:
        self.release()

    def release(self) -> None:
        """Releases the capacity that is reserved on the current path."""
        if self._reservation is not None:
            self._reservation.__exit__()
            self._reservation = None

    def choose(
        self,
        prefix: tuple[paths.PathSegment, ...] = (),
        is_isolated: bool = False,
        memory_fraction: float = 1.0,
    ) -> tuple[paths.PathSegment, ...] | None:
        """Returns the cheapest complete path, if any.

        Args:
            prefix: Segments of the current path that the path must begin with.
                Other instances of both paths keep the memory of the request.
            is_isolated: Whether the path should begin at an instance with as
                few requests in progress as possible.
            memory_fraction: Fraction of the instances' context memory that the
                request may fill.
        """
        for limit in QUIET_REQUESTS if is_isolated and not prefix else ():
            segments = self._choose(prefix, limit, memory_fraction)
            if segments is not None:
                return segments
        if prefix and self._reservation is not None:
            with self._reservation.suspend():
                return self._choose(prefix, math.inf, memory_fraction)
        return self._choose(prefix, math.inf, memory_fraction)

    def _choose(
        self,
        prefix: tuple[paths.PathSegment, ...],
        max_requests: float,
        memory_fraction: float,
    ) -> tuple[paths.PathSegment, ...] | None:
        """Returns the cheapest path that begins at an instance with less load.

        Args:
            prefix: Segments that the path must begin with.
            max_requests: Maximum number of requests at the first instance.
            memory_fraction: Fraction of the memory that it may fill.
        """
        context, model = self._context, self._service.engine
        directory, load_table = context.directory, context.load_table
        first_instances = self._get_allowed_first_instances()
        candidates = self._make_candidates(
            [
                upstream
                for upstream in directory.get_usable_upstreams(
                    self._service.name
                )
                if upstream.layers is not None and upstream.kind in model.kinds
            ],
            lambda upstream: (
                (first_instances is None or upstream.key in first_instances)
                and load_table.get(upstream.key).requests <= max_requests
                and context.upstream_limits.has_permit(upstream.key)
            ),
            memory_fraction,
        )
        return path_selection.select_path(
            [
                candidate
                for candidate in candidates
                if candidate.upstream.key not in self.excluded
                and not directory.is_full(candidate.upstream)
            ],
            model,
            self._size,
            context.failure_domain,
            context.ledger.estimate_unreported_requests(self._service.name),
            context.random_source,
            prefix,
        )

    def _make_candidates(
        self,
        instances: list[upstreams.Upstream],
        may_be_first: Callable[[upstreams.Upstream], bool],
        memory_fraction: float = 1.0,
    ) -> list[paths.Candidate]:
        """Returns instances that hold layers with their expected load."""
        context, model = self._context, self._service.engine
        expected = expected_loads.estimate_loads(
            instances,
            model,
            context.load_table,
            context.ledger.estimate_unreported_requests(self._service.name),
        )
        return [
            paths.make_candidate(
                instance,
                model,
                self._size,
                expected.loads[instance.key],
                context.directory.get_slowdown(instance),
                may_be_first(instance),
                expected.sensitivity,
                expected.deviations.get(instance.key, 0.0),
                memory_fraction,
            )
            for instance in instances
        ]

    def is_usable(self, segments: tuple[paths.PathSegment, ...]) -> bool:
        """Returns whether the request may still be sent on a chosen path."""
        directory = self._context.directory
        for segment in segments:
            upstream = segment.upstream
            known = directory.get(upstream.instance_id)
            if (
                known is None
                or known.key != upstream.key
                or known.is_leaving
                or known.layers is None
                or not known.layers.first <= segment.first
                or not segment.end <= known.layers.end
                or directory.is_replaced(upstream)
                or directory.is_avoided(upstream)
                or directory.is_full(upstream)
                or directory.is_paused(upstream)
            ):
                return False
        return True

    def hold(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> loads.Reservation:
        """Reserves capacity on a path beside that on the current one."""
        reservation = paths.reserve_path(
            self._context.load_table, list(segments), self._size
        )
        reservation.__enter__()
        return reservation

    def adopt(
        self,
        segments: tuple[paths.PathSegment, ...],
        reservation: loads.Reservation,
    ) -> None:
        """Makes a path the current one and releases the previous one.

        Args:
            segments: The path.
            reservation: Its capacity, as returned by `hold`.
        """
        self.release()
        self.segments = segments
        self._reservation = reservation
        self.is_prefilling = True

    def finish_prefill(self) -> None:
        """Releases the capacity reserved for prefilling the prompt."""
        if self._reservation is not None and self.is_prefilling:
            self._reservation.finish_prefill()
        self.is_prefilling = False

    def adopt_change(
        self,
        segments: tuple[paths.PathSegment, ...],
        reservation: loads.Reservation,
    ) -> None:
        """Makes a path the current one on which a stream goes on.

        Only instances that were not on the previous path read the context.

        Args:
            segments: The path.
            reservation: Its capacity, as returned by `hold`.
        """
        kept = {segment.upstream.key for segment in self.segments}
        self.adopt(segments, reservation)
        reservation.finish_prefill(kept)

    def estimate_event_ms(self) -> float:
        """Returns the expected time between two events on the current path."""
        model = self._service.engine
        return model.tokens_per_event * paths.compute_token_ms(
            list(self.segments), model, self._context.load_table
        )

    def estimate_event_gap_s(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> float:
        """Returns the expected time between two events on a path.

        In contrast to `estimate_event_ms`, the slowdowns that the instances
        report count.
        """
        model, directory = self._service.engine, self._context.directory
        token_ms = paths.compute_token_ms(
            list(segments),
            model,
            self._context.load_table,
            directory.get_slowdown,
        )
        return model.tokens_per_event * token_ms / MS_PER_S

    def find_slowest(
        self, segments: tuple[paths.PathSegment, ...]
    ) -> UpstreamKey:
        """Returns the key of the instance that adds most to each token."""
        model, context = self._service.engine, self._context
        slowest = max(
            segments,
            key=lambda segment: paths.compute_token_ms(
                [segment],
                model,
                context.load_table,
                context.directory.get_slowdown,
            ),
        )
        return slowest.upstream.key

    def get_slowdown(self) -> float:
        """Returns the greatest slowdown on the current path."""
        directory = self._context.directory
        return max(
            (directory.get_slowdown(s.upstream) for s in self.segments),
            default=1.0,
        )

    def record_first_instance(self, upstream: upstreams.Upstream) -> bool:
        """Records that the request was sent to a first instance of a path.

        Returns:
            Whether the request is sent to it for the first time.
        """
        is_first_send = upstream.key not in self._first_instances
        self._first_instances[upstream.key] = upstream
        return is_first_send

    def remove_first_instance(self, upstream: upstreams.Upstream) -> None:
        """Undoes `record_first_instance` for an instance that ran nothing."""
        self._first_instances.pop(upstream.key, None)

    def _get_allowed_first_instances(self) -> set[UpstreamKey] | None:
        """Returns the instances at which a path may begin; None for any.

        The route limits the number of instances to which a request is sent.
        Those that are no longer registered do not count.
        """
        directory = self._context.directory
        registered = {
            key
            for key, upstream in self._first_instances.items()
            if (known := directory.get(upstream.instance_id)) is not None
            and known.key == key
        }
        if len(registered) < self._request.route.max_attempts:
            return None
        return registered

    def get_permit_wait_s(self) -> float:
        """Returns the time until a limited instance may be sent a request.

        Returns:
            The time in seconds; 0 if no usable instance is limited.
        """
        context = self._context
        limits = context.upstream_limits
        return min(
            (
                limits.get_wait_s(upstream.key)
                for upstream in context.directory.get_usable_upstreams(
                    self._service.name
                )
                if limits.is_limited(upstream.key)
            ),
            default=0.0,
        )

    def get_pause_wait_s(self) -> float:
        """Returns the time until paused instances hold all layers again.

        Returns:
            The time in seconds; 0 if they are not what is missing for a path.
        """
        directory = self._context.directory
        waits_s = [math.inf] * self._service.engine.layers
        for upstream in directory.get_upstreams(self._service.name):
            if (
                upstream.layers is None
                or upstream.is_leaving
                or directory.is_avoided(upstream)
            ):
                continue
            pause_s = directory.get_pause_s(upstream)
            for layer, wait_s in enumerate(waits_s):
                if upstream.layers.covers(layer, layer + 1):
                    waits_s[layer] = min(wait_s, pause_s)
        longest_s = max(waits_s)
        return longest_s if math.isfinite(longest_s) else 0.0

    def describe_missing_path(self) -> str:
        """Describes why no path was found."""
        directory = self._context.directory
        holder_counts = [0] * self._service.engine.layers
        usable = [
            upstream
            for upstream in directory.get_usable_upstreams(self._service.name)
            if upstream.layers is not None
        ]
        for upstream in usable:
            # An instance may hold layers that the model does not have.
            for layer in range(len(holder_counts)):
                holder_counts[layer] += upstream.layers.covers(layer, layer + 1)
        full = sum(directory.is_full(upstream) for upstream in usable)
        model = self._service.engine
        lacking = shortages.find_full_layers(
            self._make_candidates(
                [u for u in usable if u.kind in model.kinds], lambda _: True
            ),
            model.layers,
            self._size,
        )
        limits = self._context.upstream_limits
        limited = sum(not limits.has_permit(u.key) for u in usable)
        domains = {upstream.failure_domain for upstream in usable}
        complete = path_selection.find_complete_domains(usable, model)
        return (
            f"no path has free capacity: {len(usable)} usable instances,"
            f" {full} full, {limited} at their announced limits,"
            f" {len(self.excluded)} excluded,"
            f" {holder_counts.count(0)} layers on no instance,"
            " layers without free memory"
            f" ({shortages.describe_ranges(lacking)}),"
            f" {len(complete)} of {len(domains)} failure domains complete"
            f" ({' '.join(complete)}),"
            f" {self._size.context_tokens:.0f} tokens needed,"
            f" instance list {directory.get_age_s():.2f} s old"
        )


def _estimate_size(
    request: messages.Request, service: documents.Service
) -> paths.RequestSize:
    generation = request.generation
    expected = generation.expected_answer_tokens
    if expected is None:
        expected = service.engine.mean_answer_tokens
    expected = (1 - MAX_ANSWER_WEIGHT) * expected + (
        MAX_ANSWER_WEIGHT * generation.max_answer_tokens
    )
    answer = max(1.0, min(float(generation.max_answer_tokens), expected))
    return paths.RequestSize(float(generation.prompt_tokens), answer)


def format_path(segments: tuple[paths.PathSegment, ...]) -> str:
    """Formats a path for the log."""
    return ",".join(
        f"{segment.upstream.instance_id}={segment.first}-{segment.end}"
        for segment in segments
    )


def format_kinds(segments: tuple[paths.PathSegment, ...]) -> str:
    """Formats the kinds of accelerators of a path for the log."""
    return ",".join(segment.upstream.kind for segment in segments)


def count_crossings(segments: tuple[paths.PathSegment, ...]) -> int:
    """Returns the number of hops of a path between failure domains."""
    domains = [segment.upstream.failure_domain for segment in segments]
    return sum(a != b for a, b in itertools.pairwise(domains))
