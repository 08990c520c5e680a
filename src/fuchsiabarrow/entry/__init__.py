"""The entry process: settings, HTTP interfaces and composition roots.

An entry is a gateway that accepts callers' requests and has instances serve
them. `composition` assembles one that generates tokens over chains of engines,
`forwarding_entry` one that forwards whole requests to upstreams.
"""

__all__ = [
    "action_handlers",
    "authentication",
    "callers",
    "chats",
    "composition",
    "operators",
    "outcomes",
    "problems",
    "requests",
    "settings",
    "sse",
    "state",
]
