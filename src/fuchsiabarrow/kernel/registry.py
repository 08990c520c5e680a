"""Ordered start and stop of named services."""

import contextlib
from typing import Any

__all__ = ["Kernel"]


class Kernel:
    """Owns the services, that is the long-lived components, of one process.

    Services are async context managers. They are entered in the order in which
    they are added and exited in reverse order.

    Example:
        >>> async def main():
        ...     async with Kernel() as kernel:
        ...         await kernel.add("clock", make_clock_service())
        ...         kernel.get("clock")
    """

    def __init__(self):
        self._services: dict[str, Any] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Kernel":
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self._stack.__aexit__(*exc_info)
        self._services.clear()

    async def add(self, name: str, service: Any) -> Any:
        """Starts a service and registers it.

        Args:
            name: Name under which other services look it up.
            service: An async context manager.

        Returns:
            The value returned by the service's ``__aenter__``.

        Raises:
            ValueError: The name is already registered.
        """
        if name in self._services:
            raise ValueError(
                f"service {name} is already registered; choose another name"
            )
        started = await self._stack.enter_async_context(service)
        self._services[name] = started
        return started

    def __contains__(self, name: str) -> bool:
        return name in self._services

    def get(self, name: str) -> Any:
        """Returns the service registered under a name.

        Raises:
            KeyError: No service is registered under the name.
        """
        try:
            return self._services[name]
        except KeyError:
            raise KeyError(
                f"no service named {name}; add it before the services that"
                " use it"
            ) from None
