"""Splits JSON text into the texts of its members without decoding them.

A decoder rejects a text as a whole if one string in it is not valid Unicode, or
if one value is nested too deeply. Here such a value stays the text that it is,
so that the others can be decoded.
"""

import re

__all__ = ["split_array", "split_object"]

# Without backtracking, which takes memory in proportion to the text.
_TOKEN = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"|[\[\]{},:]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"


def split_array(text: bytes) -> list[bytes]:
    """Returns the texts of the elements of an array.

    Raises:
        ValueError: It is not an array.
    """
    return [element for _, element in _split(text, b"[", b"]")]


def split_object(text: bytes) -> dict[bytes, bytes]:
    """Returns the texts of the values of an object by their names.

    Names are as they are written, without the quotes.

    Raises:
        ValueError: It is not an object.
    """
    members = {}
    for name, value in _split(text, b"{", b"}"):
        if name is None:
            raise ValueError("member of an object without a name")
        members[name] = value
    return members


def _split(
    text: bytes, opening: bytes, closing: bytes
) -> list[tuple[bytes | None, bytes]]:
    """Returns the texts between the outermost commas, with their names."""
    text = text.strip()
    if not (text.startswith(opening) and text.endswith(closing)):
        raise ValueError(f"not enclosed in {opening!r} and {closing!r}")
    found = []
    name, begin, depth = None, 1, 0
    for match in _TOKEN.finditer(text):
        token = match.group()
        if token in _OPENING:
            depth += 1
        elif token in _CLOSING:
            depth -= 1
            if depth == 0:
                if match.end() != len(text):
                    raise ValueError("text after the end")
                last = text[begin : match.start()].strip()
                if last or name is not None:
                    found.append((name, last))
                return found
        elif depth == 1 and token == b",":
            found.append((name, text[begin : match.start()].strip()))
            name, begin = None, match.end()
        elif depth == 1 and token == b":" and opening == b"{":
            name = text[begin : match.start()].strip().strip(b'"')
            begin = match.end()
    raise ValueError("not closed")
