"""Upstreams that serve whole requests: who they are, what is known of them."""

from fuchsiabarrow.fleet import directory
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams

__all__ = ["directory", "loads", "paths", "upstreams"]
