"""Schema of the configuration document, and its validation."""

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
        context_tokens: Maximum length of prompt and answer together, in
            tokens.
        ranges: Layer ranges to assign to engines, each given as its first
            layer and the layer after its last; empty to assign none.
        replicas: Number of engines to assign to each range.
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
        max_answer_tokens: Maximum length of an answer in tokens.
    """

    model: str
    actions: list[str] = []
    max_answer_tokens: int = 1024


class Action(_Document):
    """A call to a plain service, that is, one that runs no model.

    Attributes:
        service: Name of the service in the instance list.
        path: URL path of the call.
        guard: How the service handles repeated calls: ``none`` (runs each),
            ``deduplicates`` (runs one per idempotency key), ``fences``
            (refuses outdated fencing tokens and reports the outcome of a
            key) or ``repeatable`` (repeated runs do no harm).
        timeout_s: Timeout of one call in seconds.
    """

    service: str
    path: str
    guard: str = "none"
    timeout_s: float = 5.0


class Organisation(_Document):
    """A customer whose callers authenticate with a bearer key.

    Attributes:
        key_sha256: Hex SHA-256 digests of its keys.
        pipelines: Pipelines that it may use.
        actions: Actions that it may call.
        share: Relative weight of its share of the capacity under overload.
        regions: Regions whose instances may serve it; empty for all.
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
    """Limits that each entry enforces.

    Attributes:
        streams: Maximum number of concurrent streams of an entry.
        waiting: Maximum number of requests queued for a stream; further ones
            are refused.
        wait_s: Maximum time in the queue in seconds.
        attempts: Maximum number of attempts to serve one stream.
        retry_ratio: Additional attempts that each admitted request adds to
            the retry budget.
        retry_reserve: Maximum number of attempts in the retry budget.
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
        limits: Limits of each entry.
    """

    models: dict[str, Model] = {}
    pipelines: dict[str, Pipeline] = {}
    actions: dict[str, Action] = {}
    organisations: dict[str, Organisation] = {}
    operators: dict[str, Operator] = {}
    limits: Limits = Limits()


def hash_key(key: str) -> str:
    """Returns the digest that is stored in place of a bearer key."""
    return hashlib.sha256(key.encode()).hexdigest()


def matches_key(digest: str, digests: list[str]) -> bool:
    """Compares a key's digest with the stored ones in constant time."""
    return any([hmac.compare_digest(digest, stored) for stored in digests])


def decode(document: object) -> Configuration:
    """Validates a configuration given as builtin types.

    Raises:
        ConfigurationError: It is invalid; the message names the key, what is
            wrong and the remedy.
    """
    configuration = _convert(document, Configuration)
    _check_values(configuration)
    check_organisations(configuration.organisations, configuration)
    return configuration


def decode_organisations(document: object) -> dict[str, Organisation]:
    """Validates the types of some organisations, but not their values.

    Raises:
        ConfigurationError: They are invalid; the message names the key, what
            is wrong and the remedy.
    """
    return _convert(document, dict[str, Organisation])


def _convert(document: object, schema: type):
    try:
        return msgspec.convert(document, schema)
    except msgspec.ValidationError as error:
        raise exceptions.ConfigurationError(
            f"{error}; correct this key and send the patch again"
        ) from None


def _check_values(configuration: Configuration) -> None:
    for name, model in configuration.models.items():
        _require(model.layers > 0, f"models.{name}.layers", "above 0")
        _require(model.replicas > 0, f"models.{name}.replicas", "above 0")
        _check_ranges(model, f"models.{name}.ranges")
        path = f"models.{name}.context_tokens"
        _require(model.context_tokens > 0, path, "above 0")
    for name, action in configuration.actions.items():
        path = f"actions.{name}"
        allowed = ", ".join(GUARDS)
        _require(action.guard in GUARDS, f"{path}.guard", f"one of {allowed}")
        _require(action.timeout_s > 0, f"{path}.timeout_s", "above 0")
        is_path = action.path.startswith("/")
        _require(is_path, f"{path}.path", "a path that starts with /")
    for name, operator in configuration.operators.items():
        _check_digests(operator.key_sha256, f"operators.{name}.key_sha256")
    _require(configuration.limits.streams > 0, "limits.streams", "above 0")
    _require(configuration.limits.attempts > 0, "limits.attempts", "above 0")
    for name, pipeline in configuration.pipelines.items():
        path = f"pipelines.{name}"
        _require_defined(
            [pipeline.model], configuration.models, f"{path}.model"
        )
        _require_defined(
            pipeline.actions, configuration.actions, f"{path}.actions"
        )


def _check_ranges(model: Model, path: str) -> None:
    for first, end in model.ranges:
        _require(
            0 <= first < end <= model.layers,
            path,
            f"non-empty ranges within the {model.layers} layers",
        )
    covered = {
        layer for first, end in model.ranges for layer in range(first, end)
    }
    is_complete = not model.ranges or len(covered) == model.layers
    _require(is_complete, path, "ranges that cover all layers, or empty")


def check_organisations(
    organisations: dict[str, Organisation], configuration: Configuration
) -> None:
    """Checks the values of organisations, including references.

    Args:
        organisations: Organisations by name.
        configuration: Configuration that defines what they refer to.

    Raises:
        ConfigurationError: They are invalid; the message names the key, what
            is wrong and the remedy.
    """
    for name, organisation in organisations.items():
        path = f"organisations.{name}"
        _require(organisation.share > 0, f"{path}.share", "above 0")
        _check_digests(organisation.key_sha256, f"{path}.key_sha256")
        _require_defined(
            organisation.pipelines, configuration.pipelines, f"{path}.pipelines"
        )
        _require_defined(
            organisation.actions, configuration.actions, f"{path}.actions"
        )


def _check_digests(digests: list[str], path: str) -> None:
    expected = (
        "SHA-256 digests of 64 lower-case hex digits; make one with"
        " `fuchsiabarrow key`"
    )
    for digest in digests:
        _require(SHA256_HEX.fullmatch(digest) is not None, path, expected)


def _require(is_valid: bool, path: str, expected: str) -> None:
    if not is_valid:
        raise exceptions.ConfigurationError(f"$.{path}: must be {expected}")


def _require_defined(names: list[str], defined: dict, path: str) -> None:
    for name in names:
        if name not in defined:
            raise exceptions.ConfigurationError(
                f"$.{path}: {name!r} is not defined; define it or remove it"
            )
