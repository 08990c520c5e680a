"""Whether an entry takes new work."""

__all__ = ["EntryState"]


class EntryState:
    """Readiness of an entry.

    Attributes:
        is_draining: True once a stop has begun.
    """

    def __init__(self):
        self.is_draining = False
