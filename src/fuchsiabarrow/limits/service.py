"""Asynchronous admission control: requests wait here for a stream."""

import asyncio

from fuchsiabarrow import exceptions
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.limits import admission

__all__ = ["AdmissionService"]


class AdmissionService:
    """Limits the concurrent streams of an entry.

    Args:
        limits: Initial limits.
    """

    def __init__(self, limits: documents.Limits):
        self._admission = admission.Admission(
            limits.streams, limits.waiting, limits.wait_s
        )
        self._limits = limits
        self._waiters: dict[admission.Ticket, asyncio.Future] = {}

    async def __aenter__(self) -> "AdmissionService":
        return self

    async def __aexit__(self, *details) -> None:
        for future in self._waiters.values():
            future.cancel()

    def set_limits(self, limits: documents.Limits) -> None:
        """Applies the limits of a new configuration."""
        self._limits = limits
        self._wake(
            self._admission.set_limits(
                limits.streams,
                limits.waiting,
                limits.wait_s,
                asyncio.get_running_loop().time(),
            )
        )

    async def acquire(
        self, organisation: str, weight: float
    ) -> admission.Ticket:
        """Waits for a free stream and returns the ticket that holds it.

        Raises:
            OverloadedError: The request was rejected immediately, or no stream
                became free within the maximum wait.
        """
        loop = asyncio.get_running_loop()
        ticket = self._admission.request(organisation, weight, loop.time())
        if ticket.is_admitted:
            return ticket
        future = loop.create_future()
        self._waiters[ticket] = future
        try:
            async with asyncio.timeout(self._limits.wait_s):
                await future
        except BaseException as error:
            self.release(ticket)
            if isinstance(error, TimeoutError):
                raise exceptions.OverloadedError(
                    "no stream became free in time; retry after the delay",
                    self._limits.wait_s,
                ) from None
            raise
        finally:
            self._waiters.pop(ticket, None)
        return ticket

    def release(self, ticket: admission.Ticket) -> None:
        """Releases a stream, or the place in the queue."""
        now_s = asyncio.get_running_loop().time()
        self._wake(self._admission.release(ticket, now_s))

    def get_used(self) -> int:
        """Returns the number of streams in use."""
        return self._admission.get_used()

    def _wake(self, tickets: list[admission.Ticket]) -> None:
        for ticket in tickets:
            future = self._waiters.get(ticket)
            if future is not None and not future.done():
                future.set_result(None)
            elif future is None or future.cancelled():
                self.release(ticket)
