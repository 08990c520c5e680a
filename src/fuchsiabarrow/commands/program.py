"""The commands and their arguments."""

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
    """Run one entry until SIGTERM, then stop it gracefully.

    Args:
        settings: TOML file with the settings of the entry.
    """
    found = settings_module.read_file(settings)
    loops.run(daemons.run_entry(found))


def route(*, settings: str = "") -> None:
    """Run one entry on the platform until SIGTERM, then stop it gracefully.

    Args:
        settings: Settings file of the platform; the environment names it
            otherwise.
    """
    from fuchsiabarrow.commands import routing

    routing.main(settings)


def check(file: str) -> None:
    """Check a settings file (.toml) or a configuration (.json).

    Args:
        file: File to check.
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
    """Make a bearer key and print it with the digest to configure."""
    operations.make_key()


def settings() -> None:
    """Print the page that lists every key of a settings file."""
    print(pages.make_settings_page(), end="")


def show(*, operator: str, key_file: str) -> None:
    """Print the configuration in force and its number.

    Args:
        operator: Operator address of an entry, ip:port.
        key_file: File with the operator's bearer key.
    """
    loops.run(operations.show(operator, key_file))


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
        against: Number that the patch was written against.
        wait: Operator addresses of entries that must have it in force.
        wait_all: Wait for all entries that the asked one knows to be alive.
        wait_s: Longest wait for these entries in seconds.
    """
    loops.run(
        operations.patch(
            file, operator, key_file, against, wait or [], wait_all, wait_s
        )
    )


def status(*, operator: list[str], key_file: str) -> None:
    """Print the status of entries and of the instances that they know.

    Args:
        operator: Operator addresses of entries, ip:port.
        key_file: File with the operator's bearer key.
    """
    loops.run(operations.print_status(operator, key_file))


def explain(request_id: str, log: list[str]) -> None:
    """Tell a request's story from the logs of one or more entries.

    Args:
        request_id: Id of the request, as its caller sent it.
        log: Log files; lines may begin with the name of their entry.
    """
    from fuchsiabarrow.commands import explanations

    story = explanations.explain(request_id, explanations.read_files(log))
    if not story:
        print(f"no line names request {request_id}; give more logs")
        sys.exit(EXIT_INVALID)
    print("\n".join(story))


def demo(*, hold: bool = False) -> None:
    """Run the whole path on embedded stand-ins and report what happened.

    Args:
        hold: Keep serving after the report, until SIGINT.
    """
    from fuchsiabarrow.commands import demonstration

    sys.exit(loops.run(demonstration.run(hold)))


def standin_objects(*, port: int = 0) -> None:
    """Run a stand-in of the object API and print its address.

    Args:
        port: Port on loopback, 0 for a free one.
    """
    loops.run(standins.run_objects(port))


def standin_instances(*, port: int = 0) -> None:
    """Run a stand-in of the instance list and print its address.

    Args:
        port: Port on loopback, 0 for a free one.
    """
    loops.run(standins.run_instances(port))


def standin_service(*, port: int = 0) -> None:
    """Run a stand-in of a plain service and print its address.

    Args:
        port: Port on loopback, 0 for a free one.
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
    """Run a stand-in of a model engine and print its address.

    Args:
        instance_id: Name in the instance list.
        model: Model name.
        first_layer: First layer held.
        end_layer: One past the last layer held.
        batch_s: Time of one batch in seconds.
        position_s: Extra time per position in seconds.
        link_s: One-way delay of its link in seconds.
        port: Port on loopback, 0 for a free one.
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
    demo,
    standin_objects,
    standin_instances,
    standin_service,
    standin_engine,
]


def main() -> None:
    """Runs the command named on the command line."""
    version = f"{PROGRAM} {fuchsiabarrow.__version__}"
    if VERSION_FLAG in sys.argv[1:]:
        # The library takes it before the command only.
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
