"""Ordered start and stop of named services."""

import contextlib
from typing import Any

__all__ = ["Kernel"]


class Kernel:
    """Owns the services of one process.

    Services are async context managers. They are entered in the order in which
    they are added and closed in the reverse order.

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

    async def __aexit__(self, *details) -> None:
        await self._stack.__aexit__(*details)
        self._services.clear()

    async def add(self, name: str, service: Any) -> Any:
        """Starts a service and registers it.

        Args:
            name: Name under which other services find it.
            service: An async context manager.

        Returns:
            What the service's ``__aenter__`` returned.

        Raises:
            ValueError: The name is taken.
        """
        if name in self._services:
            raise ValueError(f"service {name} exists; give it another name")
        started = await self._stack.enter_async_context(service)
        self._services[name] = started
        return started

    def __contains__(self, name: str) -> bool:
        return name in self._services

    def get(self, name: str) -> Any:
        """Returns the service of that name.

        Raises:
            KeyError: No such service was added.
        """
        try:
            return self._services[name]
        except KeyError:
            raise KeyError(
                f"no service {name}; add it before its users"
            ) from None
