"""Outcomes of actions as callers read them."""

import aiohttp.web
import msgspec

from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import outcomes
from fuchsiabarrow.entry import problems

__all__ = ["answer", "describe"]

STATUS_BY_STATE = {
    journals.State.COMPLETED: 200,
    journals.State.FAILED: 502,
    journals.State.NOT_RUN: 503,
    journals.State.UNKNOWN: 409,
}


def describe(outcome: outcomes.Outcome, key: str) -> dict:
    """Returns an outcome as a JSON object.

    Args:
        outcome: The outcome.
        key: Idempotency key of the action.
    """
    found = {
        "outcome": outcome.state.value,
        "key": key,
        "status": outcome.status,
        "answer": _decode_answer(outcome.body),
    }
    if outcome.state is not journals.State.COMPLETED:
        found["detail"] = _explain(outcome)
        found["retry_after_s"] = outcome.retry_after_s
    return found


def answer(outcome: outcomes.Outcome, key: str) -> aiohttp.web.Response:
    """Returns the response to a request for an action."""
    if outcome.state is journals.State.COMPLETED:
        return aiohttp.web.json_response(describe(outcome, key))
    return problems.make_problem(
        STATUS_BY_STATE[outcome.state],
        f"action-{outcome.state.value.replace('_', '-')}",
        _explain(outcome),
        outcome.state.value,
        outcome.retry_after_s,
        key=key,
        service_status=outcome.status,
        service_answer=_decode_answer(outcome.body),
    )


def _explain(outcome: outcomes.Outcome) -> str:
    return outcome.detail or "the service refused the call; see its answer"


def _decode_answer(body: bytes) -> object:
    try:
        return msgspec.json.decode(body) if body else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return body.decode(errors="replace")
