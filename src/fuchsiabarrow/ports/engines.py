"""Port to the model engines."""

from typing import Protocol

import msgspec

__all__ = ["CacheImport", "Engine", "Step", "StepAnswer"]


class Step(msgspec.Struct, frozen=True, array_like=True):
    """One pass of consecutive positions through a range of layers.

    Attributes:
        request_id: Request that the KV cache belongs to.
        attempt: Attempt of the request; each has a KV cache of its own.
        position: Position of the first item of the payload.
        first_layer: First layer to apply.
        end_layer: One past the last layer to apply.
        tokens: Token ids, when `first_layer` is 0, one per position.
        hidden: Hidden states, when it is not, one per position.
        sample: Whether to sample a token after the last position.
    """

    request_id: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int
    tokens: list[int]
    hidden: list[bytes]
    sample: bool


class StepAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a `Step`; the first four fields echo it.

    Attributes:
        request_id: Echo.
        attempt: Echo.
        position: Echo.
        first_layer: Echo.
        status: ``ok``, or why nothing was applied: ``position``, ``layers``,
            ``draining`` or ``busy``.
        hidden: Hidden states after `end_layer`, one per position.
        token: Sampled token, -1 when none was asked for.
    """

    request_id: str
    attempt: int
    position: int
    first_layer: int
    status: str
    hidden: list[bytes]
    token: int


class CacheImport(msgspec.Struct, frozen=True):
    """An order to fetch the KV cache of an attempt from another engine.

    Attributes:
        source_address: ``ip:port`` of the engine that holds it.
        request_id: Request of the attempt.
        attempt: Number of the attempt.
        position: Next position of the cache.
        first_layer: First layer to fetch.
        end_layer: One past the last layer to fetch.
    """

    source_address: str
    request_id: str
    attempt: int
    position: int
    first_layer: int
    end_layer: int


class Engine(Protocol):
    """A connection to one engine instance."""

    async def step(self, step: Step) -> StepAnswer:
        """Applies a step and returns its checked answer.

        Raises:
            InstanceUnreachableError: The instance is gone.
            InstanceSilentError: No progress, on a new connection either.
            InstanceRefusedError: The instance takes no such work.
            StepRefusedError: Its KV cache is at another position.
        """

    async def import_cache(self, order: CacheImport) -> None:
        """Lets the instance fetch a KV cache from another instance.

        The cache does not pass through the entry.

        Raises:
            InstanceError: It was not fetched.
        """

    def cancel(self, request_id: str, attempt: int) -> None:
        """Frees the KV cache of an attempt, without waiting."""
