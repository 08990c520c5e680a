"""State of an entry that its HTTP handlers share."""

__all__ = ["EntryState"]


class EntryState:
    """Whether an entry accepts new work.

    Attributes:
        is_draining: True once graceful shutdown has begun; new work is refused.
    """

    def __init__(self):
        self.is_draining = False
