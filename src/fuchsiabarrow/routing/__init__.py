"""Selection of the engine instances that run the layers of a request."""

from fuchsiabarrow.routing import chains
from fuchsiabarrow.routing import health
from fuchsiabarrow.routing import service
from fuchsiabarrow.routing import subsets

__all__ = ["chains", "health", "service", "subsets"]
