"""The settings page of the documentation, from the settings themselves."""

from collections.abc import Iterator
import inspect
import re

import msgspec

from fuchsiabarrow.entry import settings

__all__ = ["make_settings_page"]

INTRODUCTION = """\
# Settings of an entry

`fuchsiabarrow entry --settings FILE` reads a TOML file; `fuchsiabarrow check
FILE` validates it and names file, key, what is wrong and the remedy (exit 2).
The units are in the names: `_s` seconds, `_bytes` bytes, `_per_s` a second.
Only `entry` and `platform` are needed. `examples/` has a file for each user.
Sections marked *same on all entries* must not differ between entries.

This page is printed by `fuchsiabarrow settings`.
"""
SHARED_SECTIONS = ("actions", "leases", "orders")


def make_settings_page() -> str:
    """Returns the page in Markdown."""
    return INTRODUCTION + "".join(_describe_section(settings.Settings, ""))


def _describe_section(section: type, path: str) -> Iterator[str]:
    fields = msgspec.structs.fields(section)
    meanings = _read_meanings(section)
    rows = [
        _describe_key(field, meanings[field.name])
        for field in fields
        if not _is_section(field.type)
    ]
    if rows:
        title = inspect.getdoc(section).partition("\n")[0]
        is_shared = path.partition(".")[0] in SHARED_SECTIONS
        mark = " *Same on all entries.*" if is_shared else ""
        yield f"\n## [{path}]\n\n{title}{mark}\n\n"
        yield "| key | type | default | meaning |\n"
        yield "| --- | --- | --- | --- |\n"
        yield from rows
    for field in fields:
        if _is_section(field.type):
            name = f"{path}.{field.name}" if path else field.name
            yield from _describe_section(field.type, name)


def _is_section(kind: object) -> bool:
    return inspect.isclass(kind) and issubclass(kind, msgspec.Struct)


def _describe_key(field, meaning: str) -> str:
    kind = field.type.__name__ if inspect.isclass(field.type) else field.type
    default = "needed"
    if field.default is not msgspec.NODEFAULT:
        default = repr(field.default)
    elif field.default_factory is not msgspec.NODEFAULT:
        default = repr(field.default_factory())
    return f"| `{field.name}` | {kind} | {default} | {meaning} |\n"


def _read_meanings(section: type) -> dict[str, str]:
    """Returns the text of each attribute in a class docstring."""
    text = inspect.getdoc(section).partition("Attributes:\n")[2]
    found = re.findall(r"^    (\w+): (.*(?:\n        .*)*)", text, re.MULTILINE)
    return {name: " ".join(meaning.split()) for name, meaning in found}
