"""The versioned configuration: its schema, patches and distribution."""

from fuchsiabarrow.configuration import documents
from fuchsiabarrow.configuration import parts
from fuchsiabarrow.configuration import patches
from fuchsiabarrow.configuration import service

__all__ = ["documents", "parts", "patches", "service"]
