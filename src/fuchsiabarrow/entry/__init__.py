"""One entry instance: its settings, HTTP interfaces and composition."""

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
