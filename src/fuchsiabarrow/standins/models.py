"""A toy model whose output shows every missing, doubled or reordered layer.

Each layer keeps a digest of all its inputs so far in place of a KV cache. A
layer's output depends on that digest, so a token depends on each layer having
run exactly once, in order, at every earlier position.
"""

import msgspec
import xxhash

__all__ = ["Cache", "PositionError", "complete", "embed_token", "sample_token"]

# Sampled ids avoid 0, which ends an answer.
END_TOKEN = 0
VOCABULARY_SIZE = 256
# One sampled digest in this many ends the answer early.
END_INTERVAL = 1021


class PositionError(Exception):
    """A layer's cache is at another position than the step."""


class Cache(msgspec.Struct):
    """KV caches of one attempt, by layer.

    Attributes:
        digests: Digest of the inputs so far, by layer.
        positions: Next position, by layer.
    """

    digests: dict[int, bytes] = msgspec.field(default_factory=dict)
    positions: dict[int, int] = msgspec.field(default_factory=dict)

    def check(self, layers: range, position: int) -> None:
        """Raises PositionError unless all layers are at `position`."""
        for layer in layers:
            if self.positions.get(layer, 0) != position:
                raise PositionError(f"layer {layer} is not at {position}")

    def apply(self, layers: range, position: int, hidden: bytes) -> bytes:
        """Runs one position through the layers and returns its output."""
        for layer in layers:
            past = self.digests.get(layer, b"")
            mark = b"%d/%d" % (layer, position)
            digest = xxhash.xxh3_128_digest(past + hidden + mark)
            self.digests[layer] = digest
            self.positions[layer] = position + 1
            hidden = xxhash.xxh3_128_digest(digest + hidden)
        return hidden


def embed_token(token: int) -> bytes:
    """Returns the input of layer 0 for a token."""
    return xxhash.xxh3_128_digest(b"token %d" % token)


def sample_token(hidden: bytes) -> int:
    """Returns the token that follows a final hidden state."""
    number = int.from_bytes(hidden, "big")
    if number % END_INTERVAL == 0:
        return END_TOKEN
    return 1 + number % (VOCABULARY_SIZE - 1)


def complete(prompt: list[int], layers: int, limit: int) -> list[int]:
    """Returns the undisturbed answer to a prompt, without its end token.

    Args:
        prompt: Token ids.
        layers: Number of layers of the model.
        limit: Largest number of tokens of the answer.
    """
    cache = Cache()
    answer: list[int] = []
    pending = list(prompt)
    position = 0
    while len(answer) < limit:
        for token in pending:
            hidden = cache.apply(range(layers), position, embed_token(token))
            position += 1
        token = sample_token(hidden)
        if token == END_TOKEN:
            break
        answer.append(token)
        pending = [token]
    return answer
