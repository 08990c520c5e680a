"""One entry instance: its settings, HTTP interfaces and composition."""

__all__ = ["authentication", "callers", "composition", "operators", "settings"]
