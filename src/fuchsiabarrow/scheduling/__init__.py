"""Which request gets capacity first when there is not enough of it."""

__all__ = []
