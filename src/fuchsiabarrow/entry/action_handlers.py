"""HTTP handlers that run actions and report their outcomes."""

import aiohttp.web
import uuid6

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import calls
from fuchsiabarrow.actions import keys
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.entry import outcomes
from fuchsiabarrow.entry import problems
from fuchsiabarrow.entry import requests
from fuchsiabarrow.kernel import registry
from fuchsiabarrow.utils import clocks

__all__ = ["ActionHandlers"]


class ActionHandlers:
    """Serves action calls and queries for their outcomes.

    Args:
        kernel: Registry of the services of this entry.
        action_keys: Settings of idempotency keys.
    """

    def __init__(self, kernel: registry.Kernel, action_keys: keys.Settings):
        self._action_keys = action_keys
        self._configuration = kernel.get("configuration")
        self._key_index = kernel.get("key_index")
        self._actions = kernel.get("actions")
        self._metrics = kernel.get("metrics")
        self._state = kernel.get("state")

    def add_routes(self, app: aiohttp.web.Application) -> None:
        """Registers the routes of the handlers."""
        app.router.add_post("/v1/actions/{action}", self.run_action)
        app.router.add_get("/v1/actions/{action}/{key}", self.look_up_action)

    async def run_action(self, request: aiohttp.web.Request):
        """Serves ``POST /v1/actions/{action}``."""
        try:
            name, organisation = requests.authenticate(request, self._key_index)
            action_request = await self._parse_action_request(
                request, name, organisation
            )
            # An earlier attempt may have run, so only the refusal of a first
            # attempt proves that the action did not run.
            refused_outcome = (
                "not_run" if action_request.is_first_attempt else "unknown"
            )
            requests.check_not_draining(self._state, refused_outcome)
            outcome = await self._actions.run(action_request)
        except requests.RefusalError as refusal:
            self._metrics.requests.labels("action", "refused").inc()
            return refusal.response
        except exceptions.IdempotencyKeyError as error:
            # The key is well-formed but was sent before with another body.
            return problems.make_problem(422, "key-reused", str(error))
        self._metrics.requests.labels("action", outcome.state.value).inc()
        return outcomes.make_response(outcome, action_request.key.text)

    async def look_up_action(self, request: aiohttp.web.Request):
        """Serves ``GET /v1/actions/{action}/{key}``."""
        try:
            name, organisation = requests.authenticate(request, self._key_index)
            action = request.match_info["action"]
            self._find_action(action, organisation)
            key = requests.parse_key(
                request.match_info["key"], name, action, self._action_keys
            )
            outcome = await self._actions.look_up(key)
        except requests.RefusalError as refusal:
            return refusal.response
        except exceptions.StoreError as error:
            return problems.make_problem(
                503,
                "store-down",
                f"{error}; repeat the query",
                "unknown",
                requests.RETRY_AFTER_S,
            )
        return outcomes.make_response(outcome, key.text)

    async def _parse_action_request(
        self, request, name: str, organisation: documents.Organisation
    ) -> calls.ActionRequest:
        requested_at_s = clocks.read_wall_time_s()
        action_name = request.match_info["action"]
        action = self._find_action(action_name, organisation)
        key_text = request.headers.get("Idempotency-Key")
        if key_text is None and action.guard == "repeatable":
            key_text = str(uuid6.uuid7())
        if key_text is None:
            raise requests.make_refusal(
                400,
                "key-missing",
                "send an Idempotency-Key header with a UUIDv7",
            )
        key = requests.parse_key(key_text, name, action_name, self._action_keys)
        body = await request.read()
        requests.decode_body(body, object, "unknown")
        return calls.ActionRequest(
            action,
            key,
            body,
            requested_at_s,
            tuple(organisation.regions),
            request.headers.get("Idempotency-Attempt") == "1",
        )

    def _find_action(
        self, name: str, organisation: documents.Organisation
    ) -> documents.Action:
        configuration = self._configuration.configuration
        return requests.find_action(name, organisation, configuration)
