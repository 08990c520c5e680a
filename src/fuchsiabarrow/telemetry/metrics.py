"""Prometheus metrics, in a separate registry for each entry.

Several entries can therefore run in one process, as in tests and the demo.
"""

import prometheus_client

__all__ = ["ForwardingMetrics", "PipelineMetrics"]

LATENCY_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.2, 0.4, 0.78, 1.5, 3,
    10,
)  # fmt: skip
# Largest rank with a label of its own; less urgent ranks share it, as operators
# may assign any number of ranks.
MAX_RANK_LABEL = 9


class _MetricSet:
    """Creates metrics in a registry that no other metric set shares.

    Attributes:
        registry: Registry that ``/metrics`` exposes.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()

    def _make_counter(self, name: str, description: str, labels: list[str]):
        return prometheus_client.Counter(
            f"fuchsiabarrow_{name}", description, labels, registry=self.registry
        )

    def _make_histogram(
        self, name: str, description: str, labels: tuple[str, ...] = ()
    ):
        return prometheus_client.Histogram(
            f"fuchsiabarrow_{name}",
            description,
            labels,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def _make_gauge(self, name: str, description: str):
        return prometheus_client.Gauge(
            f"fuchsiabarrow_{name}", description, registry=self.registry
        )

    def encode(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)


class ForwardingMetrics(_MetricSet):
    """Metrics of an entry that forwards whole requests to upstreams.

    Labels are request kinds, outcomes, reasons, causes and ranks. Each has a
    small fixed set of values, so that the number of time series does not grow
    with routes, organisations or upstreams.
    """

    def __init__(self):
        super().__init__()
        self.requests = self._make_counter(
            "requests",
            "Requests by kind and outcome.",
            ["kind", "outcome"],
        )
        self.refusals = self._make_counter(
            "refusals",
            "Requests refused by this entry itself, by reason.",
            ["reason"],
        )
        self.incomplete_answers = self._make_counter(
            "incomplete_answers",
            "Requests whose caller got no complete answer, by cause.",
            ["cause"],
        )
        self.sends = self._make_counter(
            "sends",
            "Requests sent to upstreams, by cause: first or retry.",
            ["cause"],
        )
        self.domain_crossings = self._make_counter(
            "domain_crossings",
            "Hops between failure domains on the paths of sent requests.",
            [],
        )
        self.path_changes = self._make_counter(
            "path_changes",
            "Changes of the path of a running stream that were requested from"
            " its first upstream, by outcome.",
            ["outcome"],
        )
        self.probes = self._make_counter(
            "inquiries", "Status requests to upstreams, by cause.", ["cause"]
        )
        self.exclusions = self._make_counter(
            "upstreams_avoided",
            "Times that an upstream was temporarily excluded from selection.",
            [],
        )
        self.answer_s = self._make_histogram(
            "answer_seconds",
            "Time from the arrival of a request to the last byte of its"
            " response.",
        )
        self.first_event_s = self._make_histogram(
            "first_event_seconds",
            "Time from the arrival of a request to the first event of its"
            " stream.",
        )
        self.scheduling = self._make_counter(
            "scheduling",
            "Scheduling decisions by rank and outcome.",
            ["rank", "outcome"],
        )
        self.first_event_by_rank_s = self._make_histogram(
            "first_event_by_rank_seconds",
            "Time from the arrival of a request to the first event of its"
            " stream, by rank.",
            ("rank",),
        )
        self.event_gap_s = self._make_histogram(
            "event_gap_seconds",
            "Time between consecutive events of a stream.",
        )
        self.running = self._make_gauge("running", "Requests in progress.")
        self.configuration_version = self._make_gauge(
            "configuration_version", "Version of the configuration in force."
        )
        self.configuration_age_s = self._make_gauge(
            "configuration_age_seconds",
            "Time since the configuration was last confirmed as current.",
        )
        self.list_age_s = self._make_gauge(
            "list_age_seconds",
            "Time since the list of upstreams was last confirmed as current.",
        )
        self.upstreams = self._make_gauge(
            "upstreams", "Upstreams in the list of upstreams."
        )
        self.avoided_upstreams = self._make_gauge(
            "avoided_upstreams",
            "Upstreams that are excluded from selection at present.",
        )
        self.isolated = self._make_gauge(
            "isolated",
            "1 while this entry reaches no upstream by itself, else 0.",
        )
        self.tunnels = self._make_gauge(
            "tunnels",
            "Connections to upstreams that are open for other entries.",
        )
        self.tunnels_opened = self._make_counter(
            "tunnels_opened",
            "Connections to upstreams that another entry opened for this one.",
            [],
        )
        self.entries = self._make_gauge("entries", "Entries known to be alive.")

    def count_scheduling(self, rank: int, outcome: str) -> None:
        """Counts one scheduling decision.

        Args:
            rank: Rank of the request.
            outcome: Outcome of the decision, one of a fixed set.
        """
        self.scheduling.labels(_format_rank(rank), outcome).inc()

    def observe_first_event(self, rank: int, first_event_s: float) -> None:
        """Records when the first event of a stream arrived, for its rank."""
        self.first_event_by_rank_s.labels(_format_rank(rank)).observe(
            first_event_s
        )


def _format_rank(rank: int) -> str:
    """Returns the label of a rank, one of ten."""
    return str(min(max(rank, 0), MAX_RANK_LABEL))


class PipelineMetrics(_MetricSet):
    """Metrics of an entry that drives pipelines of engines step by step."""

    def __init__(self):
        super().__init__()
        self.requests = self._make_counter(
            "requests",
            "Requests by kind and outcome.",
            ["kind", "outcome"],
        )
        self.tokens = self._make_counter(
            "tokens", "Tokens sent to callers.", []
        )
        self.attempts = self._make_counter(
            "attempts", "Attempts to run a stream, by cause.", ["cause"]
        )
        self.events = self._make_counter(
            "events", "Internal events by name.", ["event"]
        )
        self.first_token_s = self._make_histogram(
            "first_token_seconds",
            "Time from the start of a stream to its first token.",
        )
        self.token_gap_s = self._make_histogram(
            "token_gap_seconds",
            "Time between consecutive tokens of a stream.",
        )
        self.recovery_s = self._make_histogram(
            "recovery_seconds",
            "Time from a failure of a stream to its next token.",
        )
        self.streams = self._make_gauge("streams", "Streams in progress.")
        self.configuration_number = self._make_gauge(
            "configuration_number", "Number of the configuration in force."
        )

    def count_event(self, event: str) -> None:
        """Increments the counter of an internal event."""
        self.events.labels(event).inc()
