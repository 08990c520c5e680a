"""HTTP application for callers: chat completions, models and actions."""

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
    """Returns the HTTP application for callers.

    Args:
        kernel: Registry of the services of this entry.
        entry_name: Name of the entry.
        max_body_bytes: Limit on the size of a request body.
        action_keys: Settings of idempotency keys.
    """
    app = aiohttp.web.Application(
        client_max_size=max_body_bytes,
        middlewares=[problems.make_middleware()],
    )
    chats.ChatHandlers(kernel, entry_name, action_keys).add_routes(app)
    action_handlers.ActionHandlers(kernel, action_keys).add_routes(app)
    return app
