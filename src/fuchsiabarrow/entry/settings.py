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
    "PlatformClientSettings",
    "Settings",
    "parse_sections",
    "read_file",
]


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Identity, location and listening addresses of the entry.

    Attributes:
        name: Name of the entry, unique among all entries.
        caller_address: ``ip:port`` on which callers are served.
        operator_address: ``ip:port`` on which operators are served and
            metrics exposed.
        region: Region in which the entry runs.
        failure_domain: Failure domain (zone) in which the entry runs.
        stop_limit_s: Time limit of a graceful shutdown.
        max_body_bytes: Limit on the size of a request body.
    """

    name: str
    caller_address: str
    operator_address: str
    region: str = ""
    failure_domain: str = ""
    stop_limit_s: float = 20.0
    max_body_bytes: int = 262_144


class PlatformClientSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Addresses of the platform's services.

    Attributes:
        objects_address: ``ip:port`` of the object store.
        instances_address: ``ip:port`` of the service that lists instances.
        timeout_s: Time-out of a call to either service.
    """

    objects_address: str
    instances_address: str
    timeout_s: float = 1.0


class OperatorSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Operator access that does not depend on the configuration.

    Attributes:
        bootstrap_key_sha256: SHA-256 hex digest of a key that is always
            accepted from operators, also before the first configuration;
            empty for none.
    """

    bootstrap_key_sha256: str = ""


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of an entry; each attribute is a section of the file.

    Attributes:
        entry: Identity, location and listening addresses.
        platform: Addresses of the platform's services.
        operators: Operator access that does not depend on the configuration.
        peers: Membership of and messages between entries.
        engines: Connections to inference engines.
        routing: Selection of instances.
        streams: Generation of streamed answers.
        actions: Calls of actions and records of their outcomes.
        configuration: Distribution of the configuration between entries.
        leases: Leases for duties that one entry at a time performs.
        orders: Orders that reassign engines.
        logs: Log output.
        traces: Export of traces.
    """

    entry: EntrySettings
    platform: PlatformClientSettings
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
        SettingsError: The file cannot be read or a setting is invalid; the
            message names the file, the key, the error and the remedy.
    """
    try:
        sections = tomllib.loads(pathlib.Path(path).read_text())
        return parse_sections(sections)
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


def parse_sections(sections: dict) -> Settings:
    """Converts settings from built-in types and validates them.

    Raises:
        SettingsError: A setting is invalid; the message names the key, the
            error and the remedy.
    """
    try:
        settings = msgspec.convert(sections, Settings)
        _validate(settings)
    except ValueError as error:
        raise exceptions.SettingsError(
            f"{error}; correct it (docs/settings.md lists the keys)"
        ) from None
    return settings


def _validate(settings: Settings) -> None:
    addresses = {
        "entry.caller_address": settings.entry.caller_address,
        "entry.operator_address": settings.entry.operator_address,
        "peers.address": settings.peers.address,
        "platform.objects_address": settings.platform.objects_address,
        "platform.instances_address": settings.platform.instances_address,
    }
    for path, address in addresses.items():
        try:
            addresses_module.parse_address(address)
        except ValueError as error:
            raise ValueError(f"$.{path}: {error}; write ip:port") from None
    if settings.logs.level not in logs_module.LEVELS:
        raise ValueError(
            f"$.logs.level: {settings.logs.level!r} is not one of"
            f" {', '.join(logs_module.LEVELS)}"
        )
    if settings.traces.exporter not in traces_module.EXPORTERS:
        raise ValueError(
            f"$.traces.exporter: {settings.traces.exporter!r} is not one of"
            f" {', '.join(traces_module.EXPORTERS)}"
        )
    _check_positive(msgspec.to_builtins(settings), "$")


def _check_positive(section: dict, path: str) -> None:
    """Checks that times (``*_s``) and sizes (``*_bytes``) are above 0."""
    for name, value in section.items():
        if isinstance(value, dict):
            _check_positive(value, f"{path}.{name}")
        elif name.endswith(("_s", "_bytes")) and value <= 0:
            raise ValueError(f"{path}.{name}: must be above 0, not {value}")
