"""Logs, metrics and traces of a process."""

__all__ = ["logs", "metrics", "traces"]
