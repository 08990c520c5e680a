"""Logging, Prometheus metrics and OpenTelemetry traces of a process."""

__all__ = ["logs", "metrics", "traces"]
