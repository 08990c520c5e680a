"""Settings of an entry, read from a TOML file."""

import pathlib
import tomllib

import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import service as actions_service
from fuchsiabarrow.adapters import engines as engine_adapter
from fuchsiabarrow.configuration import service as configuration_service
from fuchsiabarrow.leases import service as leases_service
from fuchsiabarrow.orders import service as orders_service
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.routing import service as routing_service
from fuchsiabarrow.streams import drivers
from fuchsiabarrow.telemetry import logs as logs_module
from fuchsiabarrow.telemetry import traces as traces_module
from fuchsiabarrow.utils import addresses as addresses_module

__all__ = [
    "EntrySettings",
    "PlatformSettings",
    "Settings",
    "convert",
    "read_file",
]


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Place and addresses of the entry.

    Attributes:
        name: Unique name of the entry.
        caller_address: ``ip:port`` for callers.
        operator_address: ``ip:port`` for operators and metrics.
        region: Region of the entry.
        failure_domain: Failure domain of the entry.
        stop_limit_s: Longest graceful stop.
        max_body_bytes: Largest body of a request.
    """

    name: str
    caller_address: str
    operator_address: str
    region: str = ""
    failure_domain: str = ""
    stop_limit_s: float = 20.0
    max_body_bytes: int = 262_144


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of the platform.

    Attributes:
        objects_address: ``ip:port`` of the object API.
        instances_address: ``ip:port`` of the instance list.
        timeout_s: Bound on a call to either.
    """

    objects_address: str
    instances_address: str
    timeout_s: float = 1.0


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Access of operators before the first configuration.

    Attributes:
        bootstrap_key_sha256: Hex digest of a key that always may operate;
            empty for none.
    """

    bootstrap_key_sha256: str = ""


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of an entry, by the section of the file.

    Attributes:
        entry: Place and addresses.
        platform: Addresses of the platform.
        operators: Access before the first configuration.
        peers: Messages between entries.
        engines: Connections to engines.
        routing: Choice of instances.
        streams: Streams.
        actions: Actions.
        configuration: Configuration.
        leases: Leases.
        orders: Orders to engines.
        logs: Logs.
        traces: Traces.
    """

    entry: EntrySettings
    platform: PlatformSettings
    operators: OperatorSettings = OperatorSettings()
    peers: peers_service.Settings = peers_service.Settings()
    engines: engine_adapter.Settings = engine_adapter.Settings()
    routing: routing_service.Settings = routing_service.Settings()
    streams: drivers.Settings = drivers.Settings()
    actions: actions_service.Settings = actions_service.Settings()
    configuration: configuration_service.Settings = (
        configuration_service.Settings()
    )
    leases: leases_service.Settings = leases_service.Settings()
    orders: orders_service.Settings = orders_service.Settings()
    logs: logs_module.Settings = logs_module.Settings()
    traces: traces_module.Settings = traces_module.Settings()


def read_file(path: str) -> Settings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: Names the file, the key, what is wrong and the remedy.
    """
    try:
        sections = tomllib.loads(pathlib.Path(path).read_text())
        return convert(sections)
    except OSError as error:
        raise exceptions.SettingsError(
            f"{path}: cannot be read ({error.strerror}); name a readable file"
        ) from None
    except ValueError as error:
        raise exceptions.SettingsError(
            f"{path}: {error}; write TOML (docs/settings.md has an example)"
        ) from None
    except exceptions.SettingsError as error:
        raise exceptions.SettingsError(f"{path}: {error}") from None


def convert(sections: dict) -> Settings:
    """Checks settings that are given as builtin types.

    Raises:
        SettingsError: Names the key, what is wrong and the remedy.
    """
    try:
        found = msgspec.convert(sections, Settings)
        _check(found)
    except ValueError as error:
        raise exceptions.SettingsError(
            f"{error}; correct it (docs/settings.md lists the keys)"
        ) from None
    return found


def _check(found: Settings) -> None:
    addresses = {
        "entry.caller_address": found.entry.caller_address,
        "entry.operator_address": found.entry.operator_address,
        "peers.address": found.peers.address,
        "platform.objects_address": found.platform.objects_address,
        "platform.instances_address": found.platform.instances_address,
    }
    for path, address in addresses.items():
        try:
            addresses_module.parse_address(address)
        except ValueError as error:
            raise ValueError(f"$.{path}: {error}; write ip:port") from None
    if found.logs.level not in logs_module.LEVELS:
        raise ValueError(
            f"$.logs.level: {found.logs.level!r} is not one of"
            f" {', '.join(logs_module.LEVELS)}"
        )
    if found.traces.exporter not in traces_module.EXPORTERS:
        raise ValueError(
            f"$.traces.exporter: {found.traces.exporter!r} is not one of"
            f" {', '.join(traces_module.EXPORTERS)}"
        )
    _check_positive(msgspec.to_builtins(found), "$")


def _check_positive(section: dict, path: str) -> None:
    """Checks that times and sizes are above 0."""
    for name, value in section.items():
        if isinstance(value, dict):
            _check_positive(value, f"{path}.{name}")
        elif name.endswith(("_s", "_bytes")) and value <= 0:
            raise ValueError(f"{path}.{name}: must be above 0, not {value}")
