"""Token streams: attempts on chains of instances, and failure recovery."""

from fuchsiabarrow.streams import drivers
from fuchsiabarrow.streams import events
from fuchsiabarrow.streams import recovery
from fuchsiabarrow.streams import service
from fuchsiabarrow.streams import streams
from fuchsiabarrow.streams import tokenizers

__all__ = ["drivers", "events", "recovery", "service", "streams", "tokenizers"]
