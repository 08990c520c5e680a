"""Metrics of a process, in a registry of its own."""

import prometheus_client

__all__ = ["Metrics"]

LATENCY_BUCKETS_S = (
    0.001, 0.002, 0.005, 0.01, 0.02, 0.029, 0.05, 0.1, 0.2, 0.4, 0.78, 1.5, 3,
    10,
)  # fmt: skip


class Metrics:
    """The counters, gauges and histograms of one entry.

    Attributes:
        registry: Registry that ``/metrics`` exposes.
    """

    def __init__(self):
        self.registry = prometheus_client.CollectorRegistry()
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

    def count_event(self, event: str) -> None:
        """Counts an event by its name."""
        self.events.labels(event).inc()
