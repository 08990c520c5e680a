"""Handlers of chat completions and models."""

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
from fuchsiabarrow.limits import suspects
from fuchsiabarrow.streams import events
from fuchsiabarrow.streams import streams
from fuchsiabarrow.streams import tokenizers
from fuchsiabarrow.utils import clocks

__all__ = ["ChatHandlers"]


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


# Roles of messages, by docs/api.md.
ROLES = frozenset(("system", "user", "assistant"))


class TriggeredAction(msgspec.Struct, frozen=True):
    """An action that the whole answer triggers."""

    name: str
    body: dict = {}


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of a chat completion; other members are passed over."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None
    action: TriggeredAction | None = None


class ChatHandlers:
    """Serves chat completions.

    Args:
        kernel: Services by name.
        entry_name: Name of the entry, part of request ids.
        action_keys: Retention and journals of action keys.
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
        self._index = kernel.get("key_index")
        self._admission = kernel.get("admission")
        self._streams = kernel.get("streams")
        self._actions = kernel.get("actions")
        self._metrics = kernel.get("metrics")
        self._state = kernel.get("state")

    def add_routes(self, app: aiohttp.web.Application) -> None:
        """Adds the routes."""
        app.router.add_post("/v1/chat/completions", self.complete_chat)
        app.router.add_get("/v1/models", self.list_models)

    async def complete_chat(self, request: aiohttp.web.Request):
        """Serves ``POST /v1/chat/completions``."""
        try:
            name, organisation = requests.authenticate(request, self._index)
            requests.check_taking_work(self._state, "not_run")
            body = requests.decode_body(await request.read(), ChatRequest)
            wanted = self._make_stream_request(name, organisation, body)
            action = self._make_action_request(
                request, name, organisation, body
            )
            stream, resumed = await self._find_stream(
                request, organisation, wanted
            )
        except requests.RefusalError as refusal:
            self._metrics.requests.labels("chat", "refused").inc()
            return refusal.response
        if body.stream:
            return await self._answer_events(request, stream, resumed, action)
        return await self._answer_whole(stream, action)

    async def list_models(self, request: aiohttp.web.Request):
        """Serves ``GET /v1/models``."""
        try:
            _, organisation = requests.authenticate(request, self._index)
        except requests.RefusalError as refusal:
            return refusal.response
        data = [
            {"id": name, "object": "model", "owned_by": "fuchsiabarrow"}
            for name in organisation.pipelines
        ]
        return aiohttp.web.json_response({"object": "list", "data": data})

    async def _answer_events(self, request, stream, resumed, action):
        async def trigger() -> dict | None:
            return await self._trigger(action)

        writer = sse.EventWriter(
            request, stream, resumed, self._metrics, trigger
        )
        outcome = await writer.write_all(time.monotonic())
        self._metrics.requests.labels("chat", outcome).inc()
        return writer.response

    async def _answer_whole(self, stream: streams.Stream, action):
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
        triggered = await self._trigger(action)
        if triggered is not None:
            body["action"] = triggered
        return aiohttp.web.json_response(body)

    async def _trigger(self, action: calls.ActionRequest | None) -> dict | None:
        """Runs the action that a whole answer triggers; returns its outcome."""
        if action is None:
            return None
        try:
            outcome = await self._actions.run(action)
        except exceptions.KeyFormatError as error:
            return {"outcome": "not_run", "detail": str(error)}
        self._metrics.requests.labels("action", outcome.state.value).inc()
        return outcomes.describe(outcome, action.key.text)

    async def _find_stream(self, request, organisation, wanted):
        """Returns the stream to send and the event to resume after."""
        resumed = _parse_resumption(request)
        if resumed is not None:
            stream = self._streams.find(resumed.request_id, wanted.organisation)
            if stream is not None:
                return stream, resumed
        return await self._start_stream(organisation, wanted), resumed

    async def _start_stream(self, organisation, wanted) -> streams.Stream:
        try:
            ticket = await self._admission.acquire(
                wanted.organisation, organisation.share
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
                wanted, lambda: self._admission.release(ticket)
            )
        except exceptions.StreamFailedError as error:
            self._admission.release(ticket)
            raise requests.refuse(422, "request-blocked", str(error)) from None

    def _make_stream_request(
        self,
        name: str,
        organisation: documents.Organisation,
        body: ChatRequest,
    ) -> streams.StreamRequest:
        configuration = self._configuration.configuration
        pipeline = configuration.pipelines.get(body.model)
        if pipeline is None or body.model not in organisation.pipelines:
            raise requests.refuse(
                404,
                "unknown-model",
                f"no model {body.model!r}; GET /v1/models lists them",
            )
        unknown = [m.role for m in body.messages if m.role not in ROLES]
        if unknown:
            known = ", ".join(sorted(ROLES))
            raise requests.refuse(
                422,
                "unknown-role",
                f"no role {unknown[0]!r}; use one of {known}",
            )
        model = configuration.models[pipeline.model]
        text = "\n".join(f"{m.role}: {m.content}" for m in body.messages)
        prompt = tokenizers.encode_text(text)
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
            suspects.compute_fingerprint(name, pipeline.model, prompt),
        )

    def _make_action_request(
        self, request, name: str, organisation, body: ChatRequest
    ) -> calls.ActionRequest | None:
        """Returns the action that the answer triggers, checked beforehand."""
        if body.action is None:
            return None
        configuration = self._configuration.configuration
        action_name = body.action.name
        action = requests.find_action(action_name, organisation, configuration)
        if action_name not in configuration.pipelines[body.model].actions:
            raise requests.refuse(
                404,
                "unknown-action",
                f"{body.model!r} may not trigger {action_name!r}; an operator"
                " can add it to the pipeline's actions",
            )
        text = request.headers.get("Idempotency-Key")
        if text is None:
            raise requests.refuse(
                400,
                "key-missing",
                "send an Idempotency-Key header with a UUIDv7 for the action",
            )
        key = requests.parse_key(text, name, action_name, self._action_keys)
        return calls.ActionRequest(
            action,
            key,
            msgspec.json.encode(body.action.body, order="deterministic"),
            clocks.read_wall_time_s(),
            tuple(organisation.regions),
            request.headers.get("Idempotency-Attempt") == "1",
        )


def _check_lengths(body, prompt_tokens, max_tokens, limit, model) -> None:
    problem = None
    if not body.messages:
        problem = "messages is empty; send at least one"
    elif not 1 <= max_tokens <= limit:
        problem = f"max_tokens must be from 1 to {limit}"
    elif prompt_tokens + max_tokens > model.context_tokens:
        problem = (
            f"prompt and answer need {prompt_tokens + max_tokens} tokens of"
            f" {model.context_tokens}; shorten the messages or max_tokens"
        )
    if problem is not None:
        raise requests.refuse(400, "bad-length", problem)


def _parse_resumption(request) -> events.EventId | None:
    text = request.headers.get("Last-Event-ID")
    if text is None:
        return None
    found = events.parse_id(text)
    if found is None:
        raise requests.refuse(
            400,
            "malformed-event-id",
            "send the id of the last event that was received",
        )
    return found
