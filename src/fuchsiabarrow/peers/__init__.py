"""Communication among entries: membership, shared items and load reports."""

__all__ = ["items", "load_reports", "members", "relays", "service", "transport"]
