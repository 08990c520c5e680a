"""Conversion between text and token ids.

Text is encoded as its bytes, which needs no vocabulary file; a model with its
own vocabulary needs a module with the same two functions.
"""

__all__ = ["decode_token", "encode_text"]

# Texts of sampled tokens: token id n stands for entry n modulo their number.
_WORDS = (
    "oak pine shelf bracket plank finish varnish measure span depth width"
    " board joint dowel screw level corner wall rack post bolt weld crew site"
    " survey quote letter check install anchor paint steel tube loop base"
    " plate drill curb plaza school street council bench frame rail hook"
    " mount fit cut sand glue clamp edge panel back side top order stock"
    " grain veneer lath tenon"
).split()


def encode_text(text: str) -> list[int]:
    """Returns the token ids of a text: its UTF-8 bytes."""
    return list(text.encode())


def decode_token(token: int) -> str:
    """Returns the text of a sampled token, including a trailing space."""
    return f"{_WORDS[token % len(_WORDS)]} "
