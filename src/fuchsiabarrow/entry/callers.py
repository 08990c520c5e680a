"""The callers' application: chat completions, models and actions."""

import aiohttp.web

from fuchsiabarrow.actions import keys
from fuchsiabarrow.entry import action_handlers
from fuchsiabarrow.entry import chats
from fuchsiabarrow.entry import problems
from fuchsiabarrow.kernel import registry

__all__ = ["make_app"]


def make_app(
    kernel: registry.Kernel,
    entry_name: str,
    max_body_bytes: int,
    action_keys: keys.Settings,
) -> aiohttp.web.Application:
    """Returns the callers' application.

    Args:
        kernel: Services by name.
        entry_name: Name of the entry.
        max_body_bytes: Largest body of a request.
        action_keys: Retention and journals of action keys.
    """
    app = aiohttp.web.Application(
        client_max_size=max_body_bytes,
        middlewares=[problems.make_middleware()],
    )
    chats.ChatHandlers(kernel, entry_name, action_keys).add_routes(app)
    action_handlers.ActionHandlers(kernel, action_keys).add_routes(app)
    return app
