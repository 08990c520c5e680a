"""Toy model whose output reveals each skipped, repeated or reordered layer.

Instead of a KV cache, each layer keeps a digest of all its inputs so far. The
output of a layer depends on that digest, so a token is correct only if every
layer ran exactly once, and in order, at each earlier position.
"""

import msgspec
import xxhash

__all__ = ["Cache", "PositionError", "complete", "embed_token", "sample_token"]

# Ends an answer; other sampled token ids are never 0.
END_TOKEN = 0
VOCABULARY_SIZE = 256
# On average, one in this many sampled tokens is the end token.
END_INTERVAL = 1021


class PositionError(Exception):
    """The cache of a layer is at another position than the step."""


class Cache(msgspec.Struct):
    """KV caches of one attempt, by layer.

    Attributes:
        digests: Digest of the inputs so far, by layer.
        positions: Next position, by layer.
    """

    digests: dict[int, bytes] = msgspec.field(default_factory=dict)
    positions: dict[int, int] = msgspec.field(default_factory=dict)

    def check(self, layers: range, position: int) -> None:
        """Raises `PositionError` unless all layers are at `position`."""
        for layer in layers:
            if self.positions.get(layer, 0) != position:
                raise PositionError(f"layer {layer} is not at {position}")

    def apply(self, layers: range, position: int, hidden: bytes) -> bytes:
        """Runs one position through the layers; returns the hidden state."""
        for layer in layers:
            previous = self.digests.get(layer, b"")
            label = b"%d/%d" % (layer, position)
            digest = xxhash.xxh3_128_digest(previous + hidden + label)
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
    """Returns the expected answer to a prompt, without the end token.

    Tests compare the answers of engines with it.

    Args:
        prompt: Token ids.
        layers: Number of layers of the model.
        limit: Maximum number of tokens of the answer.
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
