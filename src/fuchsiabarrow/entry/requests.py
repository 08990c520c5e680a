"""What the handlers of the callers' interface share."""

import aiohttp.web
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import keys
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.entry import authentication
from fuchsiabarrow.entry import problems
from fuchsiabarrow.entry import state as state_module
from fuchsiabarrow.utils import clocks

__all__ = ["RefusalError", "authenticate", "check_taking_work", "decode_body"]

RETRY_AFTER_DRAIN_S = 1.0


class RefusalError(exceptions.FuchsiabarrowError):
    """Carries a finished response out of nested checks.

    Attributes:
        response: The response to send.
    """

    def __init__(self, response: aiohttp.web.Response):
        super().__init__("the request was refused; see the response")
        self.response = response


def refuse(
    status: int, kind: str, detail: str, outcome: str = "not_run"
) -> RefusalError:
    """Returns an error that carries a problem document."""
    return RefusalError(problems.make_problem(status, kind, detail, outcome))


def authenticate(
    request: aiohttp.web.Request, index: authentication.KeyIndex
) -> tuple[str, documents.Organisation]:
    """Returns the organisation of a request's bearer key.

    Raises:
        RefusalError: There is none.
    """
    found = index.find(authentication.get_digest(request))
    if found is None:
        error = refuse(
            401, "unknown-key", "send the bearer key of an organisation"
        )
        error.response.headers["WWW-Authenticate"] = "Bearer"
        raise error
    return found


def check_taking_work(state: state_module.EntryState, outcome: str) -> None:
    """Refuses new work while the entry stops.

    Args:
        state: State of the entry.
        outcome: What a caller may be told of a request that is not taken.

    Raises:
        RefusalError: The entry stops.
    """
    if not state.is_draining:
        return
    response = problems.make_problem(
        503,
        "entry-stopping",
        "this entry stops; send the request again to reach another",
        outcome,
        RETRY_AFTER_DRAIN_S,
    )
    response.force_close()
    raise RefusalError(response)


def decode_body(body: bytes, kind: type, outcome: str = "not_run"):
    """Returns a decoded JSON body.

    Raises:
        RefusalError: It is malformed.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise refuse(
            400, "malformed-body", f"{error}; see docs/api.md", outcome
        ) from None


def find_action(
    name: str,
    organisation: documents.Organisation,
    configuration: documents.Configuration,
) -> documents.Action:
    """Returns an action that an organisation may call.

    Raises:
        RefusalError: There is none of that name.
    """
    action = configuration.actions.get(name)
    if action is None or name not in organisation.actions:
        raise refuse(
            404,
            "unknown-action",
            f"no action {name!r}; ask an operator for its name",
        )
    return action


def parse_key(
    text: str, organisation: str, action: str, settings: keys.Settings
) -> keys.ActionKey:
    """Returns a checked idempotency key.

    Raises:
        RefusalError: It is malformed, or too old.
    """
    now_s = clocks.read_wall_time_s()
    try:
        return keys.parse_key(text, organisation, action, now_s, settings)
    except exceptions.KeyExpiredError as error:
        raise refuse(410, "key-expired", str(error), "unknown") from None
    except exceptions.KeyFormatError as error:
        raise refuse(400, "malformed-key", str(error)) from None
