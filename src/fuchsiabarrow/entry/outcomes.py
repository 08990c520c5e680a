"""Renders outcomes of actions as JSON and HTTP responses for callers."""

import aiohttp.web
import msgspec

from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import outcomes
from fuchsiabarrow.entry import problems

__all__ = ["describe", "make_response"]

STATUS_BY_STATE = {
    journals.State.COMPLETED: 200,
    journals.State.FAILED: 502,
    journals.State.NOT_RUN: 503,
    journals.State.UNKNOWN: 409,
}


def describe(outcome: outcomes.Outcome, key: str) -> dict:
    """Returns an outcome as a JSON object.

    Args:
        outcome: Outcome of the action.
        key: Idempotency key of the action.
    """
    document = {
        "outcome": outcome.state.value,
        "key": key,
        "status": outcome.status,
        "answer": _decode_answer(outcome.body),
    }
    if outcome.state is not journals.State.COMPLETED:
        document["detail"] = _make_detail(outcome)
        document["retry_after_s"] = outcome.retry_after_s
    return document


def make_response(outcome: outcomes.Outcome, key: str) -> aiohttp.web.Response:
    """Returns the HTTP response for an outcome.

    Args:
        outcome: Outcome of the action.
        key: Idempotency key of the action.
    """
    if outcome.state is journals.State.COMPLETED:
        return aiohttp.web.json_response(describe(outcome, key))
    return problems.make_problem(
        STATUS_BY_STATE[outcome.state],
        f"action-{outcome.state.value.replace('_', '-')}",
        _make_detail(outcome),
        outcome.state.value,
        outcome.retry_after_s,
        key=key,
        service_status=outcome.status,
        service_answer=_decode_answer(outcome.body),
    )


def _make_detail(outcome: outcomes.Outcome) -> str:
    return outcome.detail or "the service rejected the call; see its answer"


def _decode_answer(body: bytes) -> object:
    try:
        return msgspec.json.decode(body) if body else None
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return body.decode(errors="replace")
