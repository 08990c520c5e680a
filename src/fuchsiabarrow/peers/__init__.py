"""What entries tell each other: membership, configuration and evidence."""

__all__ = ["items", "load_reports", "members", "relays", "service", "transport"]
