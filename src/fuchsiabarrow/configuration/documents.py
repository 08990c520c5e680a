"""Typed documents of the configuration, and their validation."""

import hashlib
import hmac
import re

import msgspec

from fuchsiabarrow import exceptions

__all__ = [
    "Action",
    "Configuration",
    "Limits",
    "Model",
    "Organisation",
    "Pipeline",
    "check_organisations",
    "decode",
    "decode_organisations",
    "hash_key",
    "matches_key",
]

GUARDS = ("none", "deduplicates", "fences", "repeatable")
SHA256_HEX = re.compile("[0-9a-f]{64}")


class _Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pass


class Model(_Document):
    """A language model whose layers are split over engines.

    Attributes:
        layers: Number of layers.
        context_tokens: Largest prompt plus answer in tokens.
        ranges: Layer ranges that engines are ordered to hold, each the first
            layer and one past the last; empty for no orders.
        replicas: Engines wanted for each range.
    """

    layers: int
    context_tokens: int = 4096
    ranges: list[tuple[int, int]] = []
    replicas: int = 1


class Pipeline(_Document):
    """A model offered to callers under a name.

    Attributes:
        model: Name of the model.
        actions: Actions that its answers may trigger.
        max_answer_tokens: Largest answer in tokens.
    """

    model: str
    actions: list[str] = []
    max_answer_tokens: int = 1024


class Action(_Document):
    """A call to a plain service.

    Attributes:
        service: Name of the service in the instance list.
        path: Path of the call.
        guard: What the service does about repeats: ``none`` (runs each),
            ``deduplicates`` (by key), ``fences`` (refuses old fencing
            numbers and tells a key's outcome) or ``repeatable`` (harmless).
        timeout_s: Bound on one call in seconds.
    """

    service: str
    path: str
    guard: str = "none"
    timeout_s: float = 5.0


class Organisation(_Document):
    """A customer whose callers hold a bearer key.

    Attributes:
        key_sha256: Hex SHA-256 digests of its keys.
        pipelines: Pipelines that it may use.
        actions: Actions that it may call.
        share: Weight of its share when capacity is short.
        regions: Regions whose instances do its work; empty for all.
    """

    key_sha256: list[str]
    pipelines: list[str] = []
    actions: list[str] = []
    share: float = 1.0
    regions: list[str] = []


class Operator(_Document):
    """A person or tool that may read and patch the configuration.

    Attributes:
        key_sha256: Hex SHA-256 digests of its keys.
    """

    key_sha256: list[str]


class Limits(_Document):
    """Bounds that each entry enforces.

    Attributes:
        streams: Streams that an entry serves at once.
        waiting: Requests that wait for a stream; more are refused.
        wait_s: Longest wait in seconds.
        attempts: Attempts of one stream.
        retry_ratio: New attempts earned by each admitted request.
        retry_reserve: Most attempts that can be saved up.
    """

    streams: int = 256
    waiting: int = 512
    wait_s: float = 2.0
    attempts: int = 12
    retry_ratio: float = 0.2
    retry_reserve: int = 1024


class Configuration(_Document):
    """The whole configuration.

    Attributes:
        models: Models by name.
        pipelines: Pipelines by name.
        actions: Actions by name.
        organisations: Organisations by name.
        operators: Operators by name.
        limits: Bounds of each entry.
    """

    models: dict[str, Model] = {}
    pipelines: dict[str, Pipeline] = {}
    actions: dict[str, Action] = {}
    organisations: dict[str, Organisation] = {}
    operators: dict[str, Operator] = {}
    limits: Limits = Limits()


def hash_key(key: str) -> str:
    """Returns the digest under which a bearer key is kept."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches_key(digest: str, digests: list[str]) -> bool:
    """Compares a key's digest with the kept ones in constant time."""
    return any([hmac.compare_digest(digest, kept) for kept in digests])


def decode(document: object) -> Configuration:
    """Validates a configuration given as builtin types.

    Raises:
        ConfigurationError: Names the key, what is wrong and the remedy.
    """
    found = _convert(document, Configuration)
    _check_values(found)
    check_organisations(found.organisations, found)
    return found


def decode_organisations(document: object) -> dict[str, Organisation]:
    """Validates some organisations, but for their references.

    Raises:
        ConfigurationError: Names the key, what is wrong and the remedy.
    """
    return _convert(document, dict[str, Organisation])


def _convert(document: object, kind: type):
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        raise exceptions.ConfigurationError(
            f"{error}; correct this key and send the patch again"
        ) from None


def _check_values(found: Configuration) -> None:
    for name, model in found.models.items():
        _require(model.layers > 0, f"models.{name}.layers", "above 0")
        _require(model.replicas > 0, f"models.{name}.replicas", "above 0")
        _check_ranges(model, f"models.{name}.ranges")
        path = f"models.{name}.context_tokens"
        _require(model.context_tokens > 0, path, "above 0")
    for name, action in found.actions.items():
        path = f"actions.{name}"
        allowed = ", ".join(GUARDS)
        _require(action.guard in GUARDS, f"{path}.guard", f"one of {allowed}")
        _require(action.timeout_s > 0, f"{path}.timeout_s", "above 0")
        is_path = action.path.startswith("/")
        _require(is_path, f"{path}.path", "a path that starts with /")
    for name, operator in found.operators.items():
        _check_digests(operator.key_sha256, f"operators.{name}.key_sha256")
    _require(found.limits.streams > 0, "limits.streams", "above 0")
    _require(found.limits.attempts > 0, "limits.attempts", "above 0")
    for name, pipeline in found.pipelines.items():
        path = f"pipelines.{name}"
        _require_known([pipeline.model], found.models, f"{path}.model")
        _require_known(pipeline.actions, found.actions, f"{path}.actions")


def _check_ranges(model: Model, path: str) -> None:
    for first, end in model.ranges:
        _require(0 <= first < end <= model.layers, path, "within the layers")
    held = {layer for first, end in model.ranges for layer in range(first, end)}
    is_whole = not model.ranges or len(held) == model.layers
    _require(is_whole, path, "a cover of all layers, or empty")


def check_organisations(
    organisations: dict[str, Organisation], found: Configuration
) -> None:
    """Checks organisations and what they refer to.

    Raises:
        ConfigurationError: Names the key, what is wrong and the remedy.
    """
    for name, organisation in organisations.items():
        path = f"organisations.{name}"
        _require(organisation.share > 0, f"{path}.share", "above 0")
        _check_digests(organisation.key_sha256, f"{path}.key_sha256")
        _require_known(
            organisation.pipelines, found.pipelines, f"{path}.pipelines"
        )
        _require_known(organisation.actions, found.actions, f"{path}.actions")


def _check_digests(digests: list[str], path: str) -> None:
    remedy = "64 hex digits; make them with `fuchsiabarrow key`"
    for digest in digests:
        _require(SHA256_HEX.fullmatch(digest) is not None, path, remedy)


def _require(holds: bool, path: str, remedy: str) -> None:
    if not holds:
        raise exceptions.ConfigurationError(f"$.{path}: must be {remedy}")


def _require_known(names: list[str], known: dict, path: str) -> None:
    for name in names:
        if name not in known:
            raise exceptions.ConfigurationError(
                f"$.{path}: {name!r} is not defined; define it or remove it"
            )
