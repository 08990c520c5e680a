"""Communication among entries: membership, shared items and load reports.

An entry is a gateway that accepts callers' requests and has upstreams serve
them.
"""

__all__ = [
    "items",
    "load_reports",
    "members",
    "relays",
    "service",
    "shared_stores",
    "transport",
    "updates",
]
