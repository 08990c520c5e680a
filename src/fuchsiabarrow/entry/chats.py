"""HTTP handlers for chat completions and the list of models."""

import time
import uuid

import aiohttp.web
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import calls
from fuchsiabarrow.actions import keys
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.entry import outcomes
from fuchsiabarrow.entry import problems
from fuchsiabarrow.entry import requests
from fuchsiabarrow.entry import sse
from fuchsiabarrow.kernel import registry
from fuchsiabarrow.limits import crashing_parts
from fuchsiabarrow.limits import suspects
from fuchsiabarrow.streams import events
from fuchsiabarrow.streams import streams
from fuchsiabarrow.streams import tokenizers
from fuchsiabarrow.utils import clocks

__all__ = ["ChatHandlers"]


class Message(msgspec.Struct, frozen=True):
    """A message of a chat."""

    role: str
    content: str


MAX_SHARED_PARTS = 16
# Accepted roles of messages, as documented in docs/api.md.
ROLES = frozenset(("system", "user", "assistant"))


class TriggeredAction(msgspec.Struct, frozen=True):
    """An action to run once the answer is complete."""

    name: str
    body: dict = {}


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of a chat completion request; unknown fields are ignored."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None
    action: TriggeredAction | None = None


class ChatHandlers:
    """Serves chat completions and the list of models.

    Args:
        kernel: Registry of the services of this entry.
        entry_name: Name of the entry, which prefixes request ids.
        action_keys: Settings of idempotency keys.
    """

    def __init__(
        self,
        kernel: registry.Kernel,
        entry_name: str,
        action_keys: keys.Settings,
    ):
        self._entry_name = entry_name
        self._action_keys = action_keys
        self._configuration = kernel.get("configuration")
        self._key_index = kernel.get("key_index")
        self._admission = kernel.get("admission")
        self._streams = kernel.get("streams")
        self._actions = kernel.get("actions")
        self._metrics = kernel.get("metrics")
        self._state = kernel.get("state")

    def add_routes(self, app: aiohttp.web.Application) -> None:
        """Registers the routes of the handlers."""
        app.router.add_post("/v1/chat/completions", self.complete_chat)
        app.router.add_get("/v1/models", self.list_models)

    async def complete_chat(self, request: aiohttp.web.Request):
        """Serves ``POST /v1/chat/completions``."""
        try:
            name, organisation = requests.authenticate(request, self._key_index)
            requests.check_not_draining(self._state, "not_run")
            body = requests.decode_body(await request.read(), ChatRequest)
            stream_request = self._make_stream_request(name, organisation, body)
            action = self._make_action_request(
                request, name, organisation, body
            )
            stream, resume_after = await self._find_stream(
                request, organisation, stream_request
            )
        except requests.RefusalError as refusal:
            self._metrics.requests.labels("chat", "refused").inc()
            return refusal.response
        if body.stream:
            return await self._send_events(
                request, stream, resume_after, action
            )
        return await self._send_completion(stream, action)

    async def list_models(self, request: aiohttp.web.Request):
        """Serves ``GET /v1/models``."""
        try:
            _, organisation = requests.authenticate(request, self._key_index)
        except requests.RefusalError as refusal:
            return refusal.response
        data = [
            {"id": name, "object": "model", "owned_by": "fuchsiabarrow"}
            for name in organisation.pipelines
        ]
        return aiohttp.web.json_response({"object": "list", "data": data})

    async def _send_events(self, request, stream, resume_after, action):
        async def run_triggered_action() -> dict | None:
            return await self._run_triggered_action(action)

        writer = sse.EventWriter(
            request, stream, resume_after, self._metrics, run_triggered_action
        )
        outcome = await writer.write_all(time.monotonic())
        self._metrics.requests.labels("chat", outcome).inc()
        return writer.response

    async def _send_completion(self, stream: streams.Stream, action):
        try:
            async for _ in stream.read(0):
                pass
        except exceptions.StreamFailedError as error:
            self._metrics.requests.labels("chat", error.outcome).inc()
            status = 503 if error.retry_after_s is not None else 422
            return problems.make_problem(
                status,
                "stream-failed",
                str(error),
                error.outcome,
                error.retry_after_s,
            )
        self._metrics.requests.labels("chat", "completed").inc()
        body = sse.make_completion(stream)
        action_outcome = await self._run_triggered_action(action)
        if action_outcome is not None:
            body["action"] = action_outcome
        return aiohttp.web.json_response(body)

    async def _run_triggered_action(
        self, action: calls.ActionRequest | None
    ) -> dict | None:
        """Runs the action of a complete answer, if any; returns its outcome."""
        if action is None:
            return None
        try:
            outcome = await self._actions.run(action)
        except exceptions.IdempotencyKeyError as error:
            # The key is well-formed but was sent before with another body.
            return {"outcome": "not_run", "detail": str(error)}
        self._metrics.requests.labels("action", outcome.state.value).inc()
        return outcomes.describe(outcome, action.key.text)

    async def _find_stream(self, request, organisation, stream_request):
        """Returns the stream to send and the id of the event to resume after.

        A stream that this entry does not hold is generated again.
        """
        resume_after = _parse_last_event_id(request)
        if resume_after is not None:
            stream = self._streams.find(
                resume_after.request_id, stream_request.organisation
            )
            if stream is not None:
                return stream, resume_after
        return await self._start_stream(
            organisation, stream_request
        ), resume_after

    async def _start_stream(
        self, organisation, stream_request
    ) -> streams.Stream:
        try:
            ticket = await self._admission.acquire(
                stream_request.organisation, organisation.share
            )
        except exceptions.OverloadedError as error:
            raise requests.RefusalError(
                problems.make_problem(
                    429,
                    "overloaded",
                    str(error),
                    retry_after_s=error.retry_after_s,
                )
            ) from None
        try:
            return self._streams.start(
                stream_request, lambda: self._admission.release(ticket)
            )
        except exceptions.StreamFailedError as error:
            self._admission.release(ticket)
            raise requests.make_refusal(
                422, "request-blocked", str(error)
            ) from None

    def _make_stream_request(
        self,
        name: str,
        organisation: documents.Organisation,
        body: ChatRequest,
    ) -> streams.StreamRequest:
        configuration = self._configuration.configuration
        pipeline = configuration.pipelines.get(body.model)
        if pipeline is None or body.model not in organisation.pipelines:
            raise requests.make_refusal(
                404,
                "unknown-model",
                f"no model {body.model!r}; GET /v1/models lists the models",
            )
        unknown_roles = [m.role for m in body.messages if m.role not in ROLES]
        if unknown_roles:
            known_roles = ", ".join(sorted(ROLES))
            raise requests.make_refusal(
                422,
                "unknown-role",
                f"no role {unknown_roles[0]!r}; use one of {known_roles}",
            )
        model = configuration.models[pipeline.model]
        prompt_text = "\n".join(f"{m.role}: {m.content}" for m in body.messages)
        prompt = tokenizers.encode_text(prompt_text)
        limit = pipeline.max_answer_tokens
        max_tokens = limit if body.max_tokens is None else body.max_tokens
        _check_lengths(body, len(prompt), max_tokens, limit, model)
        return streams.StreamRequest(
            f"{self._entry_name}-{uuid.uuid4().hex}",
            name,
            body.model,
            pipeline.model,
            model.layers,
            tuple(prompt),
            max_tokens,
            tuple(organisation.regions),
            suspects.compute_prompt_fingerprint(name, pipeline.model, prompt),
            _compute_shared_parts(pipeline.model, body.messages),
        )

    def _make_action_request(
        self, request, name: str, organisation, body: ChatRequest
    ) -> calls.ActionRequest | None:
        """Validates and returns the action that the answer triggers, if any."""
        if body.action is None:
            return None
        configuration = self._configuration.configuration
        action_name = body.action.name
        action = requests.find_action(action_name, organisation, configuration)
        if action_name not in configuration.pipelines[body.model].actions:
            raise requests.make_refusal(
                404,
                "unknown-action",
                f"model {body.model!r} may not trigger action"
                f" {action_name!r}; an operator can add the action to the"
                " pipeline of that name",
            )
        key_text = request.headers.get("Idempotency-Key")
        if key_text is None:
            raise requests.make_refusal(
                400,
                "key-missing",
                "send an Idempotency-Key header with a UUIDv7 for the action",
            )
        key = requests.parse_key(key_text, name, action_name, self._action_keys)
        return calls.ActionRequest(
            action,
            key,
            msgspec.json.encode(body.action.body, order="deterministic"),
            clocks.read_wall_time_s(),
            tuple(organisation.regions),
            request.headers.get("Idempotency-Attempt") == "1",
        )


def _compute_shared_parts(
    model: str, messages: list[Message]
) -> tuple[int, ...]:
    """Returns hashes of all messages but the last, which is the request's own.

    Only the latest of a long conversation are included.
    """
    return tuple(
        crashing_parts.compute_hash(f"{model}/{m.role}: {m.content}")
        for m in messages[:-1][-MAX_SHARED_PARTS:]
    )


def _check_lengths(body, prompt_tokens, max_tokens, limit, model) -> None:
    problem = None
    if not body.messages:
        problem = "messages is empty; send at least one"
    elif not 1 <= max_tokens <= limit:
        problem = f"max_tokens must be from 1 to {limit}"
    elif prompt_tokens + max_tokens > model.context_tokens:
        problem = (
            f"prompt and answer need up to {prompt_tokens + max_tokens} tokens,"
            f" but the context holds {model.context_tokens}; shorten the"
            " messages or reduce max_tokens"
        )
    if problem is not None:
        raise requests.make_refusal(400, "bad-length", problem)


def _parse_last_event_id(request) -> events.EventId | None:
    text = request.headers.get("Last-Event-ID")
    if text is None:
        return None
    event_id = events.parse_id(text)
    if event_id is None:
        raise requests.make_refusal(
            400,
            "malformed-event-id",
            "send the id of the last event received",
        )
    return event_id
