"""Request checks shared by the handlers of the callers' interface."""

import aiohttp.web
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import keys
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.entry import authentication
from fuchsiabarrow.entry import problems
from fuchsiabarrow.entry import state as state_module
from fuchsiabarrow.utils import clocks

__all__ = ["RefusalError", "authenticate", "check_not_draining", "decode_body"]

RETRY_AFTER_S = 1.0


class RefusalError(exceptions.FuchsiabarrowError):
    """A request failed a check; carries the error response.

    Attributes:
        response: Error response to send to the caller.
    """

    def __init__(self, response: aiohttp.web.Response):
        super().__init__("request refused; see the response")
        self.response = response


def make_refusal(
    status: int, kind: str, detail: str, outcome: str = "not_run"
) -> RefusalError:
    """Returns an error whose response is a problem document."""
    return RefusalError(problems.make_problem(status, kind, detail, outcome))


def authenticate(
    request: aiohttp.web.Request, index: authentication.KeyIndex
) -> tuple[str, documents.Organisation]:
    """Returns the name and document of a request's organisation.

    Raises:
        RefusalError: The bearer key is missing or unknown.
    """
    found = index.find(authentication.compute_key_digest(request))
    if found is None:
        error = make_refusal(
            401, "unknown-key", "send the bearer key of an organisation"
        )
        error.response.headers["WWW-Authenticate"] = "Bearer"
        raise error
    return found


def check_not_draining(state: state_module.EntryState, outcome: str) -> None:
    """Checks that the entry accepts new work.

    Args:
        state: State of the entry.
        outcome: Outcome that a refusal reports to the caller.

    Raises:
        RefusalError: The entry is draining.
    """
    if not state.is_draining:
        return
    response = problems.make_problem(
        503,
        "entry-stopping",
        "this entry is shutting down; retry the request on another entry",
        outcome,
        RETRY_AFTER_S,
    )
    response.force_close()
    raise RefusalError(response)


def decode_body(body: bytes, kind: type, outcome: str = "not_run"):
    """Returns a JSON body, decoded and checked against a type.

    Raises:
        RefusalError: The body is malformed.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise make_refusal(
            400, "malformed-body", f"{error}; see docs/api.md", outcome
        ) from None


def find_action(
    name: str,
    organisation: documents.Organisation,
    configuration: documents.Configuration,
) -> documents.Action:
    """Returns an action that an organisation may call.

    Raises:
        RefusalError: There is no such action, or the organisation has no
            access to it.
    """
    action = configuration.actions.get(name)
    if action is None or name not in organisation.actions:
        raise make_refusal(
            404,
            "unknown-action",
            f"no action {name!r}; ask an operator for the available actions",
        )
    return action


def parse_key(
    text: str, organisation: str, action: str, settings: keys.Settings
) -> keys.ActionKey:
    """Parses and validates an idempotency key.

    Raises:
        RefusalError: The key is malformed, its timestamp is in the future,
            or it is older than the retention period of outcomes.
    """
    now_s = clocks.read_wall_time_s()
    try:
        return keys.parse_key(text, organisation, action, now_s, settings)
    except exceptions.KeyExpiredError as error:
        raise make_refusal(410, "key-expired", str(error), "unknown") from None
    except exceptions.IdempotencyKeyError as error:
        raise make_refusal(400, "malformed-key", str(error)) from None
