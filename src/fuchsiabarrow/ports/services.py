"""Port to the plain services, which carry out actions and run no model."""

import dataclasses
from typing import Protocol

__all__ = ["Call", "CallAnswer", "PlainService"]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to a plain service.

    Attributes:
        address: ``ip:port`` of the instance.
        path: URL path of the call.
        key: Digest of organisation, action and idempotency key.
        fence: Fencing token, for services that check it.
        body: JSON body.
        timeout_s: Timeout of the whole call in seconds.
    """

    address: str
    path: str
    key: str
    fence: int
    body: bytes
    timeout_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CallAnswer:
    """Answer of a plain service.

    Attributes:
        status: HTTP status.
        body: Response body.
        did_not_run: Whether the service states that it did not run the call.
    """

    status: int
    body: bytes
    did_not_run: bool


class PlainService(Protocol):
    """Calls to plain services."""

    async def call(self, call: Call) -> CallAnswer:
        """Sends a call without retrying it.

        Raises:
            ServiceNotSentError: No byte reached the service.
            ServiceOutcomeUnknownError: The call may have run.
        """

    async def query_outcome(self, call: Call) -> CallAnswer | None:
        """Invalidates smaller fencing tokens of a key; returns its outcome.

        Only for services that check fencing tokens. Once this has returned
        None, no sender with a smaller fencing token can make the call run.

        Returns:
            The outcome; None if the call has not run.

        Raises:
            ServiceError: The service did not answer or refused the query.
        """
