"""The commands of the command line and their arguments.

The docstrings of the commands are printed as their help.
"""

import pathlib
import sys

import defopt
import msgspec

import fuchsiabarrow
from fuchsiabarrow import exceptions
from fuchsiabarrow.commands import daemons
from fuchsiabarrow.commands import operations
from fuchsiabarrow.commands import pages
from fuchsiabarrow.commands import standins
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.entry import settings as settings_module
from fuchsiabarrow.standins import engines
from fuchsiabarrow.utils import loops

__all__ = ["main"]

EXIT_INVALID = 2
PROGRAM = "fuchsiabarrow"
VERSION_FLAG = "--version"


def entry(*, settings: str) -> None:
    """Run one entry until SIGTERM or SIGINT, then stop it gracefully.

    Args:
        settings: TOML file with the settings of the entry.
    """
    parsed = settings_module.read_file(settings)
    loops.run(daemons.run_entry(parsed))


def route(*, settings: str = "") -> None:
    """Run one forwarding entry until SIGTERM or SIGINT, then stop gracefully.

    A forwarding entry sends whole requests to upstreams and reads the settings
    file that the platform writes for each process.

    Args:
        settings: Settings file written by the platform. The default is the
            file named by the environment variable FUCHSIABARROW_SETTINGS, or
            else /etc/fuchsiabarrow/node.conf.
    """
    from fuchsiabarrow.commands import forwarding

    forwarding.main(settings)


def check(file: str) -> None:
    """Validate a settings file (.toml) or a configuration (.json).

    Args:
        file: File to validate.
    """
    if file.endswith(".toml"):
        settings_module.read_file(file)
    else:
        _check_configuration(file)
    print(f"{file}: valid")


def _check_configuration(file: str) -> None:
    try:
        document = msgspec.json.decode(pathlib.Path(file).read_bytes())
        documents.decode(document)
    except OSError as error:
        raise exceptions.ConfigurationError(
            f"{file}: cannot be read ({error.strerror}); name a readable file"
        ) from None
    except msgspec.MsgspecError as error:
        raise exceptions.ConfigurationError(
            f"{file}: {error}; write a JSON object"
        ) from None
    except exceptions.ConfigurationError as error:
        raise exceptions.ConfigurationError(f"{file}: {error}") from None


def key() -> None:
    """Generate a bearer key and print it with the digest to configure."""
    operations.print_new_key()


def settings() -> None:
    """Print the reference page of all keys of a settings file."""
    print(pages.make_settings_page(), end="")


def show(*, operator: str, key_file: str) -> None:
    """Print the configuration in force and its number.

    Args:
        operator: Operator address of an entry, ip:port.
        key_file: File with the operator's bearer key.
    """
    loops.run(operations.print_configuration(operator, key_file))


def patch(
    file: str,
    *,
    operator: str,
    key_file: str,
    against: int,
    wait: list[str] | None = None,
    wait_all: bool = False,
    wait_s: float = 10.0,
) -> None:
    """Apply a JSON merge patch to the configuration in force.

    Args:
        file: File with the merge patch.
        operator: Operator address of an entry, ip:port.
        key_file: File with the operator's bearer key.
        against: Number of the configuration that the patch is based on.
        wait: Operator addresses of entries to wait for, until the new
            configuration is in force there.
        wait_all: Wait for all entries that the addressed entry reports as
            alive.
        wait_s: Timeout of this wait in seconds.
    """
    loops.run(
        operations.apply_patch(
            file, operator, key_file, against, wait or [], wait_all, wait_s
        )
    )


def status(*, operator: list[str], key_file: str) -> None:
    """Print the status of entries and of the instances known to them.

    Args:
        operator: Operator addresses of entries, ip:port.
        key_file: File with the operator's bearer key.
    """
    loops.run(operations.print_status(operator, key_file))


def explain(request_id: str, log: list[str]) -> None:
    """Print the history of a request from the logs of one or more entries.

    Args:
        request_id: Id of the request, as sent by the caller.
        log: Log files. The word before the time on a line, if any, is taken as
            the name of the entry, else the name of the file.
    """
    from fuchsiabarrow.commands import explanations

    history = explanations.explain(request_id, explanations.read_files(log))
    if not history:
        print(f"no log line has request id {request_id}; pass more log files")
        sys.exit(EXIT_INVALID)
    print("\n".join(history))


def report(*, log: list[str], csv: bool = False) -> None:
    """Print which requests were late, refused or lost, and why.

    Counts the arrivals in the logs of one or more entries by rank, by
    organisation, by kind of the first instance and by second.

    Args:
        log: Log files. The word before the time on a line, if any, is taken as
            the name of the entry, else the name of the file.
        csv: Print all rows as comma-separated values.
    """
    from fuchsiabarrow.commands import explanations
    from fuchsiabarrow.commands import late_reports

    result = late_reports.make_report(explanations.read_files(log))
    if not any(table.rows for table in result.tables):
        print("no log line tells how a request ended; pass more log files")
        sys.exit(EXIT_INVALID)
    make_text = late_reports.format_csv if csv else late_reports.format_text
    print(make_text(result), end="")


def demo(*, hold: bool = False) -> None:
    """Run two entries on embedded stand-ins and check the guarantees.

    Args:
        hold: Keep serving after the report, until SIGTERM or SIGINT.
    """
    from fuchsiabarrow.commands import demo as demo_module

    sys.exit(loops.run(demo_module.run(hold)))


def standin_objects(*, port: int = 0) -> None:
    """Run a stand-in for the object API and print its address.

    Args:
        port: Port on the loopback interface; 0 selects a free one.
    """
    loops.run(standins.run_objects(port))


def standin_instances(*, port: int = 0) -> None:
    """Run a stand-in for the instance list and print its address.

    Args:
        port: Port on the loopback interface; 0 selects a free one.
    """
    loops.run(standins.run_instances(port))


def standin_service(*, port: int = 0) -> None:
    """Run a stand-in for a service that runs actions and print its address.

    Args:
        port: Port on the loopback interface; 0 selects a free one.
    """
    loops.run(standins.run_service(port))


def standin_engine(
    *,
    instance_id: str,
    model: str,
    first_layer: int,
    end_layer: int,
    batch_s: float = 0.0005,
    position_s: float = 0.000002,
    link_s: float = 0.0,
    port: int = 0,
) -> None:
    """Run a stand-in for a model engine and print its address.

    Args:
        instance_id: Name in the instance list.
        model: Model name.
        first_layer: First layer that the engine holds.
        end_layer: One past the last layer that the engine holds.
        batch_s: Fixed time of a batch in seconds.
        position_s: Additional time per position of a batch in seconds.
        link_s: One-way delay of the engine's network link in seconds.
        port: Port on the loopback interface; 0 selects a free one.
    """
    profile = engines.EngineProfile(
        instance_id, model, first_layer, end_layer, batch_s, position_s, link_s
    )
    loops.run(standins.run_engine(profile, port))


COMMANDS = [
    entry,
    route,
    check,
    key,
    settings,
    show,
    patch,
    status,
    explain,
    report,
    demo,
    standin_objects,
    standin_instances,
    standin_service,
    standin_engine,
]


def main() -> None:
    """Runs the command given on the command line."""
    version = f"{PROGRAM} {fuchsiabarrow.__version__}"
    if VERSION_FLAG in sys.argv[1:]:
        # defopt accepts the flag only before the command.
        print(version)
        return
    try:
        defopt.run(
            {f.__name__.replace("_", "-"): f for f in COMMANDS},
            version=version,
            no_negated_flags=True,
            argparse_kwargs={"prog": PROGRAM},
        )
    except exceptions.FuchsiabarrowError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_INVALID)
