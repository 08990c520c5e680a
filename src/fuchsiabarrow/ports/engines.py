"""Port to the model engines, which run ranges of model layers."""

from collections.abc import Callable
from typing import Protocol

import msgspec

__all__ = ["CacheImport", "Engine", "Step", "StepAnswer"]


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A forward pass of consecutive positions through a range of layers.

    Attributes:
        request_id: Request that the KV cache belongs to.
        attempt: Attempt of the request; each has a KV cache of its own.
        position: Position of the first token or hidden state.
        first_layer: First layer to apply.
        end_layer: One past the last layer to apply.
        tokens: Token ids, one per position; empty unless `first_layer` is 0.
        hidden: Hidden states, one per position; empty if `first_layer` is 0.
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
    """Answer to a `Step`; the first four fields repeat those of the step.

    Attributes:
        request_id: Request id of the step.
        attempt: Attempt of the step.
        position: Position of the step.
        first_layer: First layer of the step.
        status: ``ok``, or why the step was not applied: ``position`` (the KV
            cache is at another position), ``layers`` (not all layers are
            held), ``draining`` or ``busy``.
        hidden: Hidden states after the last layer of the step, one per
            position; empty if a token was sampled or the step refused.
        token: Sampled token; -1 if none was sampled.
    """

    request_id: str
    attempt: int
    position: int
    first_layer: int
    status: str
    hidden: list[bytes]
    token: int


class CacheImport(msgspec.Struct, frozen=True):
    """Request to fetch the KV cache of an attempt from another engine.

    Attributes:
        source_address: ``ip:port`` of the engine that holds the cache.
        request_id: Request that the attempt belongs to.
        attempt: Number of the attempt.
        position: Number of positions in the cache.
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

    async def step(
        self, step: Step, handle_silence: Callable[[str], bool]
    ) -> StepAnswer:
        """Applies a step and returns the answer, whose status is ``ok``.

        Args:
            step: The step; sent again only on a connection that replaces the
                one that it was sent on.
            handle_silence: Called with the instance id each time the instance
                has answered neither on its connection nor on a new one;
                returns whether the step is given up. If not, the answer is
                waited for.

        Raises:
            InstanceUnreachableError: The connection was refused or lost.
            InstanceTimeoutError: The step timed out, or it was given up
                because the instance is silent.
            InstanceRefusedError: The instance is draining, is busy or does
                not hold the layers.
            CachePositionError: The KV cache is at another position.
        """

    async def import_cache(self, order: CacheImport) -> None:
        """Has the instance fetch a KV cache from another instance.

        The data goes directly from instance to instance.

        Raises:
            InstanceError: The import failed.
        """

    def cancel(self, request_id: str, attempt: int) -> None:
        """Asks the instance to free a KV cache; does not wait for it."""
