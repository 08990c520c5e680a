"""Parser of the settings file that the platform writes for each process."""

import dataclasses
import os
import pathlib

from fuchsiabarrow import exceptions
from fuchsiabarrow.utils import addresses

__all__ = ["PlatformSettings", "find_path", "parse", "read_file"]

SETTINGS_VARIABLE = "FUCHSIABARROW_SETTINGS"
DEFAULT_PATH = "/etc/fuchsiabarrow/node.conf"
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings that the platform provides for a process.

    Attributes:
        name: Name of the instance.
        ip: IP address of the instance.
        failure_domain: Failure domain of the instance.
        caller_address: ``ip:port`` to listen on for callers.
        ready_address: ``ip:port`` to listen on for readiness checks.
        operator_address: ``ip:port`` to serve metrics on; empty for none.
        entry_port: Port to listen on for other entries.
        tunnel_port: Port to listen on for tunnels of other entries; 0 if the
            platform provides only one internal port.
        seed_ips: IP addresses of instances to contact first; some may be down.
        store_address: ``ip:port`` of the object store.
        drain_s: Time after which a leaving upstream must get no new requests.
        grace_s: Time from SIGTERM to SIGKILL.
        apply_s: Time within which a new configuration must be in force.
        revoke_s: Time after which a revoked key must no longer be accepted;
            infinite if the platform does not enforce a limit.
        budget_ratio: Retries allowed per request, summed over all entries.
        budget_window_s: Time window of the retry budget.
        budget_extra: Retries allowed per window in addition to the ratio.
        stall_s: How long requests may wait for an upstream that is gone.
        max_open_files: Maximum number of open file descriptors.
        memory_mb: Memory limit of the process.
    """

    name: str
    ip: str
    failure_domain: str
    caller_address: str
    ready_address: str
    operator_address: str
    entry_port: int
    tunnel_port: int
    seed_ips: tuple[str, ...]
    store_address: str
    drain_s: float
    grace_s: float
    apply_s: float
    revoke_s: float
    budget_ratio: float
    budget_window_s: float
    budget_extra: float
    stall_s: float
    max_open_files: int
    memory_mb: int


def find_path() -> str:
    """Returns the path of the settings file of this process."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)


def read_file(path: str) -> PlatformSettings:
    """Reads and validates the settings file.

    Raises:
        SettingsError: The file cannot be read or a field is invalid; the
            message names the file and field and says how to correct it.
    """
    try:
        text = pathlib.Path(path).read_text()
    except OSError as error:
        raise exceptions.SettingsError(
            f"{path}: cannot be read ({error.strerror}); set"
            f" {SETTINGS_VARIABLE} to the path of a readable file"
        ) from None
    try:
        return parse(text)
    except exceptions.SettingsError as error:
        raise exceptions.SettingsError(f"{path}: {error}") from None


def parse(text: str) -> PlatformSettings:
    """Parses the text of a settings file; unknown fields are ignored.

    Raises:
        SettingsError: A field is missing or has an invalid value.
    """
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator and not line.lstrip().startswith("#"):
            fields[name.strip()] = value.strip()
    ports = [
        int(_parse_number("internal_ports", port))
        for port in _get_required(fields, "internal_ports").split(",")
    ]
    seeds = [seed for seed in fields.get("seeds", "").split(",") if seed]
    return PlatformSettings(
        name=_get_required(fields, "node_name"),
        ip=_get_required(fields, "ip"),
        failure_domain=_get_required(fields, "zone"),
        caller_address=_get_address(fields, "listen.front"),
        ready_address=_get_address(fields, "listen.ready"),
        operator_address=fields.get("listen.control", ""),
        entry_port=ports[0],
        tunnel_port=ports[0] + 1 if ports[-1] > ports[0] else 0,
        seed_ips=tuple(seed.rpartition(":")[0] for seed in seeds),
        store_address=_get_address(fields, "provider.address"),
        drain_s=_get_number(fields, "bounds.drain_ms") / MS_PER_S,
        grace_s=_get_number(fields, "bounds.grace_s"),
        apply_s=_get_number(fields, "bounds.config_apply_ms") / MS_PER_S,
        revoke_s=_parse_revoke_s(fields),
        budget_ratio=_get_number(fields, "bounds.budget_ratio"),
        budget_window_s=_get_number(fields, "bounds.budget_window_s"),
        budget_extra=_get_number(fields, "bounds.budget_extra"),
        stall_s=_get_number(fields, "bounds.stall_ms") / MS_PER_S,
        max_open_files=int(_get_number(fields, "limits.max_fds")),
        memory_mb=int(_get_number(fields, "limits.memory_mb")),
    )


def _parse_revoke_s(fields: dict[str, str]) -> float:
    """Returns the revocation limit, infinity if it is not enforced."""
    if fields.get("bounds.strict_revoke") != "true":
        return float("inf")
    return _get_number(fields, "bounds.revoke_ms") / MS_PER_S


def _get_required(fields: dict[str, str], name: str) -> str:
    value = fields.get(name, "")
    if not value:
        raise exceptions.SettingsError(
            f"{name} is missing; add a line {name}=VALUE"
        )
    return value


def _get_address(fields: dict[str, str], name: str) -> str:
    value = _get_required(fields, name)
    try:
        addresses.parse_address(value)
    except ValueError as error:
        raise exceptions.SettingsError(
            f"{name}: {error}; write it as ip:port"
        ) from None
    return value


def _get_number(fields: dict[str, str], name: str) -> float:
    return _parse_number(name, _get_required(fields, name))


def _parse_number(name: str, text: str) -> float:
    try:
        number = float(text)
    except ValueError:
        number = -1.0
    if not 0 <= number < float("inf"):
        raise exceptions.SettingsError(
            f"{name} must be a finite, non-negative number, got {text!r}"
        )
    return number
