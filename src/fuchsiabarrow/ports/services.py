"""Port to the plain services."""

import dataclasses
from typing import Protocol

__all__ = ["Call", "CallAnswer", "PlainService"]


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call to a plain service.

    Attributes:
        address: ``ip:port`` of the instance.
        path: Path of the call.
        key: Digest of organisation, action and idempotency key.
        fence: Fencing number, for services that check it.
        body: JSON body in bytes.
        timeout_s: Bound on the whole call in seconds.
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
        body: Body in bytes.
        did_not_run: True when the service itself says that it did not run.
    """

    status: int
    body: bytes
    did_not_run: bool


class PlainService(Protocol):
    """Calls to plain services."""

    async def call(self, call: Call) -> CallAnswer:
        """Sends a call once.

        Raises:
            ServiceNotSentError: No byte reached the service.
            ServiceUncertainError: It may have run.
        """

    async def ask(self, call: Call) -> CallAnswer | None:
        """Fences off older senders of a key and returns its outcome.

        Only for services that check fencing numbers. After it returns None,
        no sender with a smaller fencing number can make the call run.

        Raises:
            ServiceError: The service did not answer.
        """
