"""The path of one request to a language model, and the room booked on it."""

from typing import TYPE_CHECKING

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import thinning
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import messages

if TYPE_CHECKING:
    from fuchsiabarrow.forwarding import service as service_module

__all__ = ["StreamPath", "format_path"]

# Spread of the costs of equal paths among entries that choose at once.
TIE_BREAK = 0.05
# Weight of the longest answer allowed in the estimate of an answer's length:
# a hint is right at the median, and longer answers need more room.
LONGEST_ANSWER_WEIGHT = 0.3

Key = tuple[str, int]


class StreamPath:
    """Chooses paths for one request and holds the room on the last one.

    Attributes:
        parts: Parts of the path in use, in order; empty before the first.
        excluded: Instances that this request no longer uses.

    Args:
        forwarding: Service that the request belongs to.
        exchange: The request and where it goes.
    """

    def __init__(
        self,
        forwarding: "service_module.ForwardingService",
        exchange: messages.Exchange,
    ):
        self.parts: tuple[paths.Part, ...] = ()
        self.excluded: set[Key] = set()
        self._forwarding = forwarding
        self._service = exchange.service
        self._request = exchange.request
        self._demand = _estimate_demand(exchange.request, exchange.service)
        self._reservation: loads.Reservation | None = None
        self._entered: dict[Key, upstreams.Upstream] = {}

    def __enter__(self) -> "StreamPath":
        return self

    def __exit__(self, *details) -> None:
        self._release()

    def _release(self) -> None:
        if self._reservation is not None:
            self._reservation.__exit__()
            self._reservation = None

    def choose(
        self, prefix: tuple[paths.Part, ...] = ()
    ) -> tuple[paths.Part, ...] | None:
        """Returns the best whole path that begins with a prefix, if any."""
        forwarding, model = self._forwarding, self._service.engine
        directory, ledger = forwarding.directory, forwarding.ledger
        entries = self._get_entries()
        candidates = [
            paths.make_candidate(
                upstream,
                model,
                self._demand,
                ledger.get(upstream.key),
                directory.get_pace_factor(upstream),
                entries is None or upstream.key in entries,
            )
            for upstream in directory.get_usable(self._service.name)
            if upstream.layers is not None
            and upstream.key not in self.excluded
            and not directory.is_full(upstream)
            and upstream.kind in model.kinds
        ]
        unseen = 0.0
        if not prefix:
            unseen = forwarding.estimate_unseen(self._service.name)
        if unseen:
            thinned = thinning.thin_out(
                candidates, self._demand, unseen, forwarding.source.random
            )
            if len(thinned) < len(candidates):
                found = self._find(thinned, prefix)
                if found is not None:
                    return found
        return self._find(candidates, prefix)

    def _find(
        self, candidates: list[paths.Candidate], prefix: tuple[paths.Part, ...]
    ) -> tuple[paths.Part, ...] | None:
        forwarding = self._forwarding
        found = paths.choose_path(
            candidates,
            self._service.engine,
            self._demand,
            forwarding.settings.failure_domain,
            lambda: TIE_BREAK * forwarding.source.random(),
            prefix,
        )
        return None if found is None else tuple(found)

    def take(self, parts: tuple[paths.Part, ...]) -> None:
        """Books the room on a path in place of the one before."""
        self._release()
        self.parts = parts
        self._reservation = paths.reserve_path(
            self._forwarding.ledger, list(parts), self._demand
        )
        self._reservation.__enter__()

    def finish_reading(self) -> None:
        """Notes that the prompt has been read."""
        if self._reservation is not None:
            self._reservation.finish_reading()

    def estimate_event_ms(self) -> float:
        """Returns the expected time between two events on the path."""
        model = self._service.engine
        return model.tokens_per_event * paths.compute_token_ms(
            list(self.parts), model, self._forwarding.ledger
        )

    def note_entered(self, upstream: upstreams.Upstream) -> bool:
        """Notes that the request was sent to an instance.

        Returns:
            Whether it was the first time.
        """
        is_new = upstream.key not in self._entered
        self._entered[upstream.key] = upstream
        return is_new

    def forget_entered(self, upstream: upstreams.Upstream) -> None:
        """Takes back `note_entered` for an instance that ran nothing."""
        self._entered.pop(upstream.key, None)

    def _get_entries(self) -> set[Key] | None:
        """Returns the instances at which a path may begin, None for any.

        A request may be sent to a bounded number of instances; those that are
        gone from the list do not count.
        """
        directory = self._forwarding.directory
        alive = {
            key
            for key, upstream in self._entered.items()
            if (known := directory.get(upstream.instance_id)) is not None
            and known.key == key
        }
        if len(alive) < self._request.route.max_attempts:
            return None
        return alive

    def describe_shortage(self) -> str:
        """Says why no path was found."""
        directory = self._forwarding.directory
        holders = [0] * self._service.engine.layers
        usable = [
            upstream
            for upstream in directory.get_usable(self._service.name)
            if upstream.layers is not None
        ]
        for upstream in usable:
            for layer in range(upstream.layers.first, upstream.layers.end):
                holders[layer] += 1
        full = sum(directory.is_full(upstream) for upstream in usable)
        return (
            f"no path has room: {len(usable)} instances, {full} just refused,"
            f" {len(self.excluded)} left out, {holders.count(0)} layers"
            f" without holder, {self._demand.context_tokens:.0f} tokens"
            f" needed, list {directory.get_age_s():.2f} s old"
        )


def _estimate_demand(
    request: messages.Request, service: documents.Service
) -> paths.Demand:
    generation = request.generation
    expected = generation.expected_answer_tokens
    if expected is None:
        expected = service.engine.usual_answer
    expected = (1 - LONGEST_ANSWER_WEIGHT) * expected + (
        LONGEST_ANSWER_WEIGHT * generation.max_answer_tokens
    )
    answer = max(1.0, min(float(generation.max_answer_tokens), expected))
    return paths.Demand(float(generation.prompt_tokens), answer)


def format_path(parts: tuple[paths.Part, ...]) -> str:
    """Returns a path as text for the log."""
    return ",".join(
        f"{part.upstream.instance_id}={part.first}-{part.end}" for part in parts
    )
