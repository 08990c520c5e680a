"""What operators configure for whole-request serving, indexed for look-up."""

from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.catalogs import engines
from fuchsiabarrow.catalogs import service

__all__ = ["documents", "engines", "service"]
