"""What operators configure for whole-request serving, indexed for look-up."""

__all__ = ["access", "documents", "engines", "service"]
