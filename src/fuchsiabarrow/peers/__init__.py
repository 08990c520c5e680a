"""What entries tell each other: membership, configuration and evidence."""

from fuchsiabarrow.peers import items
from fuchsiabarrow.peers import members
from fuchsiabarrow.peers import service
from fuchsiabarrow.peers import transport

__all__ = ["items", "members", "service", "transport"]
