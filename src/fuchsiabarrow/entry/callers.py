"""HTTP interface for callers: chat completions, models and actions."""

import time
import uuid

import aiohttp.web
import msgspec
import uuid6

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import claims
from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import keys
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.entry import authentication
from fuchsiabarrow.entry import problems
from fuchsiabarrow.entry import sse
from fuchsiabarrow.kernel import registry
from fuchsiabarrow.limits import suspects
from fuchsiabarrow.streams import events
from fuchsiabarrow.streams import streams
from fuchsiabarrow.streams import tokenizers
from fuchsiabarrow.utils import clocks

__all__ = ["make_app"]

RETRY_AFTER_DRAIN_S = 1.0
STATUS_BY_STATE = {
    journals.State.COMPLETED: 200,
    journals.State.FAILED: 502,
    journals.State.NOT_RUN: 503,
    journals.State.UNKNOWN: 409,
}


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class ChatRequest(msgspec.Struct, frozen=True):
    """Body of a chat completion; other members are passed over."""

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None


class _RefusalError(Exception):
    """Carries a finished response out of nested checks."""

    def __init__(self, response: aiohttp.web.Response):
        super().__init__()
        self.response = response


class CallerInterface:
    """Handlers of the callers' interface.

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
        """Adds the routes of the interface."""
        app.router.add_post("/v1/chat/completions", self.complete_chat)
        app.router.add_get("/v1/models", self.list_models)
        app.router.add_post("/v1/actions/{action}", self.run_action)
        app.router.add_get("/v1/actions/{action}/{key}", self.look_up_action)

    # Chat completions.

    async def complete_chat(self, request: aiohttp.web.Request):
        """Serves ``POST /v1/chat/completions``."""
        try:
            name, organisation = self._authenticate(request)
            self._check_taking_work("not_run")
            body = await self._read_chat(request)
            wanted = self._make_stream_request(name, organisation, body)
            return await self._serve_chat(request, organisation, body, wanted)
        except _RefusalError as refusal:
            self._metrics.requests.labels("chat", "refused").inc()
            return refusal.response

    async def _serve_chat(self, request, organisation, body, wanted):
        resumed = self._parse_resumption(request)
        stream = None
        if resumed is not None:
            stream = self._streams.find(resumed.request_id, wanted.organisation)
        if stream is None:
            stream = await self._start_stream(organisation, wanted)
        started_s = time.monotonic()
        if body.stream:
            writer = sse.EventWriter(request, stream, resumed, self._metrics)
            outcome = await writer.write_all(started_s)
            self._metrics.requests.labels("chat", outcome).inc()
            return writer.response
        return await self._answer_whole(stream)

    async def _start_stream(self, organisation, wanted) -> streams.Stream:
        try:
            ticket = await self._admission.acquire(
                wanted.organisation, organisation.share
            )
        except exceptions.OverloadedError as error:
            raise _RefusalError(
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
            raise _RefusalError(
                problems.make_problem(422, "request-blocked", str(error))
            ) from None

    async def _answer_whole(self, stream: streams.Stream):
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
        return aiohttp.web.json_response(sse.make_completion(stream))

    async def _read_chat(self, request) -> ChatRequest:
        raw = await request.read()
        try:
            return msgspec.json.decode(raw, type=ChatRequest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise _RefusalError(
                problems.make_problem(
                    400, "malformed-body", f"{error}; see docs/api.md"
                )
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
            raise _RefusalError(
                problems.make_problem(
                    404,
                    "unknown-model",
                    f"no model {body.model!r}; GET /v1/models lists them",
                )
            )
        model = configuration.models[pipeline.model]
        text = "\n".join(f"{m.role}: {m.content}" for m in body.messages)
        prompt = tokenizers.encode_text(text)
        limit = pipeline.max_answer_tokens
        max_tokens = limit if body.max_tokens is None else body.max_tokens
        self._check_lengths(body, prompt, max_tokens, limit, model)
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

    def _check_lengths(self, body, prompt, max_tokens, limit, model) -> None:
        problem = None
        if not body.messages:
            problem = "messages is empty; send at least one"
        elif not 1 <= max_tokens <= limit:
            problem = f"max_tokens must be from 1 to {limit}"
        elif len(prompt) + max_tokens > model.context_tokens:
            problem = (
                f"prompt and answer need {len(prompt) + max_tokens} tokens of"
                f" {model.context_tokens}; shorten the messages or max_tokens"
            )
        if problem is not None:
            raise _RefusalError(
                problems.make_problem(400, "bad-length", problem)
            )

    def _parse_resumption(self, request) -> events.EventId | None:
        text = request.headers.get("Last-Event-ID")
        if text is None:
            return None
        found = events.parse_id(text)
        if found is None:
            raise _RefusalError(
                problems.make_problem(
                    400,
                    "malformed-event-id",
                    "send the id of the last event that was received",
                )
            )
        return found

    async def list_models(self, request: aiohttp.web.Request):
        """Serves ``GET /v1/models``."""
        try:
            _, organisation = self._authenticate(request)
        except _RefusalError as refusal:
            return refusal.response
        data = [
            {"id": name, "object": "model", "owned_by": "fuchsiabarrow"}
            for name in organisation.pipelines
        ]
        return aiohttp.web.json_response({"object": "list", "data": data})

    # Actions.

    async def run_action(self, request: aiohttp.web.Request):
        """Serves ``POST /v1/actions/{action}``."""
        try:
            name, organisation = self._authenticate(request)
            wanted = await self._read_action(request, name, organisation)
            unsent = "not_run" if wanted.is_first else "unknown"
            self._check_taking_work(unsent)
            outcome = await self._actions.run(wanted)
        except _RefusalError as refusal:
            self._metrics.requests.labels("action", "refused").inc()
            return refusal.response
        except exceptions.KeyFormatError as error:
            return problems.make_problem(422, "key-reused", str(error))
        self._metrics.requests.labels("action", outcome.state.value).inc()
        return _answer_outcome(outcome, wanted.key.text)

    async def look_up_action(self, request: aiohttp.web.Request):
        """Serves ``GET /v1/actions/{action}/{key}``."""
        try:
            name, organisation = self._authenticate(request)
            action = request.match_info["action"]
            self._find_action(action, organisation)
            key = self._parse_key(request.match_info["key"], name, action)
            outcome = await self._actions.look_up(key)
        except _RefusalError as refusal:
            return refusal.response
        except exceptions.StoreError as error:
            return problems.make_problem(
                503,
                "store-down",
                f"{error}; ask again",
                "unknown",
                RETRY_AFTER_DRAIN_S,
            )
        return _answer_outcome(outcome, key.text)

    async def _read_action(
        self, request, name: str, organisation: documents.Organisation
    ) -> claims.ActionRequest:
        requested_at_s = clocks.read_wall_time_s()
        action_name = request.match_info["action"]
        action = self._find_action(action_name, organisation)
        text = request.headers.get("Idempotency-Key")
        if text is None and action.guard == "repeatable":
            text = str(uuid6.uuid7())
        if text is None:
            raise _RefusalError(
                problems.make_problem(
                    400,
                    "key-missing",
                    "send an Idempotency-Key header with a UUIDv7",
                )
            )
        key = self._parse_key(text, name, action_name)
        body = await request.read()
        try:
            msgspec.json.decode(body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise _RefusalError(
                problems.make_problem(
                    400,
                    "malformed-body",
                    f"{error}; send a JSON body",
                    "unknown",
                )
            ) from None
        is_first = request.headers.get("Idempotency-Attempt") == "1"
        return claims.ActionRequest(
            action,
            key,
            body,
            requested_at_s,
            tuple(organisation.regions),
            is_first,
        )

    def _find_action(
        self, name: str, organisation: documents.Organisation
    ) -> documents.Action:
        action = self._configuration.configuration.actions.get(name)
        if action is None or name not in organisation.actions:
            raise _RefusalError(
                problems.make_problem(
                    404,
                    "unknown-action",
                    f"no action {name!r}; ask an operator for its name",
                )
            )
        return action

    def _parse_key(self, text: str, name: str, action: str) -> keys.ActionKey:
        now_s = clocks.read_wall_time_s()
        try:
            return keys.parse_key(text, name, action, now_s, self._action_keys)
        except exceptions.KeyExpiredError as error:
            raise _RefusalError(
                problems.make_problem(410, "key-expired", str(error), "unknown")
            ) from None
        except exceptions.KeyFormatError as error:
            raise _RefusalError(
                problems.make_problem(400, "malformed-key", str(error))
            ) from None

    # Checks of both.

    def _authenticate(self, request) -> tuple[str, documents.Organisation]:
        found = self._index.find(authentication.get_digest(request))
        if found is None:
            response = problems.make_problem(
                401, "unknown-key", "send the bearer key of an organisation"
            )
            response.headers["WWW-Authenticate"] = "Bearer"
            raise _RefusalError(response)
        return found

    def _check_taking_work(self, outcome: str) -> None:
        if not self._state.is_draining:
            return
        response = problems.make_problem(
            503,
            "entry-stopping",
            "this entry stops; send the request again to reach another",
            outcome,
            RETRY_AFTER_DRAIN_S,
        )
        response.force_close()
        raise _RefusalError(response)


def _answer_outcome(outcome: claims.Outcome, key: str) -> aiohttp.web.Response:
    status = STATUS_BY_STATE[outcome.state]
    if outcome.state is not journals.State.COMPLETED:
        return problems.make_problem(
            status,
            f"action-{outcome.state.value.replace('_', '-')}",
            outcome.detail or "the service refused the call; see its answer",
            outcome.state.value,
            outcome.retry_after_s,
            key=key,
            service_status=outcome.status,
            service_answer=outcome.body.decode(errors="replace"),
        )
    return aiohttp.web.json_response(
        {
            "outcome": outcome.state.value,
            "key": key,
            "status": outcome.status,
            "answer": _decode_answer(outcome.body),
        }
    )


def _decode_answer(body: bytes) -> object:
    try:
        return msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return body.decode(errors="replace")


def make_app(
    kernel: registry.Kernel,
    entry_name: str,
    max_body_bytes: int,
    action_keys: keys.Settings,
) -> aiohttp.web.Application:
    """Returns the callers' application.

    Args:
        kernel: Services by name.
        entry_name: Name of the entry.
        max_body_bytes: Largest body of a request.
        action_keys: Retention and journals of action keys.
    """
    app = aiohttp.web.Application(
        client_max_size=max_body_bytes,
        middlewares=[problems.make_middleware()],
    )
    CallerInterface(kernel, entry_name, action_keys).add_routes(app)
    return app
