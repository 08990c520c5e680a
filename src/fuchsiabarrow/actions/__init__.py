"""Calls to plain services, that is, services that run no model.

A call runs at most once, unless the configuration says that repeated runs do no
harm.
"""

from fuchsiabarrow.actions import calls
from fuchsiabarrow.actions import claims
from fuchsiabarrow.actions import forwarding
from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import keys
from fuchsiabarrow.actions import outcomes
from fuchsiabarrow.actions import retention
from fuchsiabarrow.actions import service
from fuchsiabarrow.actions import writers

__all__ = [
    "calls",
    "claims",
    "forwarding",
    "journals",
    "keys",
    "outcomes",
    "retention",
    "service",
    "writers",
]
