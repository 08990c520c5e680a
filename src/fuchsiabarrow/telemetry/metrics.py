"""Metrics of a process, in a registry of its own."""

import prometheus_client

__all__ = ["ForwardingMetrics", "Metrics"]

LATENCY_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.2, 0.4, 0.78, 1.5, 3,
    10,
)  # fmt: skip


class _Registered:
    """Makes metrics in a registry of its own.

    Attributes:
        registry: Registry that ``/metrics`` exposes.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()

    def _count(self, name: str, text: str, labels: list[str]):
        return prometheus_client.Counter(
            f"fuchsiabarrow_{name}", text, labels, registry=self.registry
        )

    def _time(self, name: str, text: str):
        return prometheus_client.Histogram(
            f"fuchsiabarrow_{name}",
            text,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def _gauge(self, name: str, text: str):
        return prometheus_client.Gauge(
            f"fuchsiabarrow_{name}", text, registry=self.registry
        )

    def encode(self) -> bytes:
        """Returns the metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)


class ForwardingMetrics(_Registered):
    """Metrics of an entry that forwards whole requests.

    Labels are kinds of requests, outcomes and reasons, all of which are few and
    fixed; none grows with routes, organisations or upstreams.
    """

    def __init__(self):
        super().__init__()
        self.requests = self._count(
            "requests", "Requests by kind and outcome.", ["kind", "outcome"]
        )
        self.refusals = self._count(
            "refusals", "Refusals of the entry's own by reason.", ["reason"]
        )
        self.sends = self._count(
            "sends", "Requests sent to upstreams.", ["cause"]
        )
        self.path_changes = self._count(
            "path_changes", "Running streams led elsewhere.", ["outcome"]
        )
        self.inquiries = self._count(
            "inquiries", "Questions to upstreams how they do.", ["cause"]
        )
        self.avoided = self._count(
            "upstreams_avoided", "Upstreams avoided for a while.", []
        )
        self.answer_s = self._time(
            "answer_seconds", "Time to the last byte of an answer."
        )
        self.first_event_s = self._time(
            "first_event_seconds", "Time to the first event of a stream."
        )
        self.event_gap_s = self._time(
            "event_gap_seconds", "Time between events of a stream."
        )
        self.running = self._gauge("running", "Requests being served.")
        self.configuration_version = self._gauge(
            "configuration_version", "Configuration in force."
        )
        self.configuration_age_s = self._gauge(
            "configuration_age_seconds", "Time since it was confirmed."
        )
        self.list_age_s = self._gauge(
            "list_age_seconds", "Time since the list was confirmed."
        )
        self.upstreams = self._gauge("upstreams", "Upstreams in the list.")
        self.entries = self._gauge("entries", "Live entries.")


class Metrics(_Registered):
    """The counters, gauges and histograms of one entry."""

    def __init__(self):
        super().__init__()
        self.requests = self._count(
            "requests", "Requests by kind and outcome.", ["kind", "outcome"]
        )
        self.tokens = self._count("tokens", "Tokens sent to callers.", [])
        self.attempts = self._count(
            "attempts", "Attempts of streams by cause.", ["cause"]
        )
        self.events = self._count("events", "Events by name.", ["event"])
        self.first_token_s = self._time(
            "first_token_seconds", "Time to the first token."
        )
        self.token_gap_s = self._time(
            "token_gap_seconds", "Time between tokens."
        )
        self.recovery_s = self._time(
            "recovery_seconds", "Time from a failure to the next token."
        )
        self.streams = self._gauge("streams", "Streams being served.")
        self.configuration_number = self._gauge(
            "configuration_number", "Configuration in force."
        )

    def count_event(self, event: str) -> None:
        """Counts an event by its name."""
        self.events.labels(event).inc()
