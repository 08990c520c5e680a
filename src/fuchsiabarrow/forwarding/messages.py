"""Requests, answers and refusals as the forwarding sees them."""

import dataclasses
import enum
from typing import Protocol

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams

__all__ = [
    "Exchange",
    "AnswerHead",
    "Caller",
    "Codec",
    "Generation",
    "Headers",
    "Refusal",
    "RefusalReason",
    "Request",
    "Target",
    "check_origin",
]

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Generation:
    """What a request asks of a language model.

    Attributes:
        prompt_tokens: Length of the prompt.
        max_answer_tokens: Longest answer.
        expected_answer_tokens: The caller's estimate, or None.
    """

    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One attempt of a caller.

    Attributes:
        request_id: Id that the caller gave it.
        method: HTTP method.
        target: Path and query as received.
        headers: Headers to pass on.
        body: Whole body.
        route: Route that it matched.
        organisation: Holder of the key, or None.
        arrived_s: Loop time at which it was read.
        deadline_s: Loop time until which the caller waits.
        last_event_id: Event after which a stream is to go on; empty for all.
        generation: What it asks of a model, None for plain requests.
        catalog_version: Version of the configuration that it was matched by.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    route: documents.Route
    organisation: documents.Organisation | None
    arrived_s: float
    deadline_s: float
    last_event_id: str = ""
    generation: Generation | None = None
    catalog_version: int = 0

    @property
    def answer_by_s(self) -> float:
        """Loop time at which it gets its final answer at the latest."""
        return min(self.deadline_s, self.arrived_s + self.route.timeout_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where one attempt goes.

    Attributes:
        upstream: Upstream that the request is sent to.
        parts: Path through the layers; empty for plain services.
    """

    upstream: upstreams.Upstream
    parts: tuple[paths.Part, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an upstream's answer.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers to pass on to the caller.
        request_id: Request that it answers, as the upstream says.
        is_not_run: Whether the upstream says that it did not run the request.
        at_fault: ``ip:port`` of the upstream that it blames; may be empty.
        is_proven: Whether it bears the upstream's proof of origin.
        content_length: Length of the body, None if not told.
    """

    status: int
    reason: str
    headers: Headers
    request_id: str
    is_not_run: bool
    at_fault: str
    is_proven: bool
    content_length: int | None

    @property
    def is_success(self) -> bool:
        """Whether the status says that it went well."""
        return 200 <= self.status < 300


class RefusalReason(enum.Enum):
    """Why an entry itself ends a request."""

    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no_upstream"
    STALE_CONFIGURATION = "stale_configuration"
    NO_CONFIGURATION = "no_configuration"
    STOPPING = "stopping"
    TIMEOUT = "timeout"
    UPSTREAM_FAILED = "upstream_failed"
    CRASHES_UPSTREAMS = "crashes_upstreams"


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """How an entry itself ends a request.

    Attributes:
        reason: Why.
        is_not_run: Whether it certainly has not run and never will.
        retry_after_s: When to come back, if it has not run.
        detail: More for the log and the caller.
    """

    reason: RefusalReason
    is_not_run: bool
    retry_after_s: float = 0.0
    detail: str = ""


def check_origin(head: AnswerHead, request: Request, address: str) -> None:
    """Makes sure that an answer is the upstream's answer to a request.

    Raises:
        UpstreamLostError: It answers another request, or it is a success
            without the upstream's proof of origin.
    """
    if head.request_id and head.request_id != request.request_id:
        raise exceptions.UpstreamLostError(
            f"{address}: answer to another request"
        )
    if head.is_success and not (head.is_proven and head.request_id):
        raise exceptions.UpstreamLostError(
            f"{address}: success without proof of origin"
        )


class Codec(Protocol):
    """Encodes requests for upstreams and decodes their answers."""

    def encode_request(
        self,
        request: Request,
        target: Target,
        left_s: float,
        last_event_id: str,
    ) -> bytes:
        """Returns a request as sent, body included."""

    def decode_head(self, message: object) -> AnswerHead:
        """Returns the head of an answer."""


class Caller(Protocol):
    """The caller's side of a request."""

    @property
    def is_started(self) -> bool:
        """Whether the head of the answer was sent."""

    async def start(self, head: AnswerHead) -> None:
        """Sends the head of an answer that comes in parts."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller reads slowly."""

    async def finish(self) -> None:
        """Ends the body as complete."""

    async def answer(self, head: AnswerHead, body: bytes) -> None:
        """Sends a whole answer."""

    async def refuse(self, refusal: Refusal) -> None:
        """Sends an answer of the entry's own."""

    def abort(self) -> None:
        """Cuts an answer off so that it does not look complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request on its way to an answer.

    Attributes:
        request: The request.
        caller: Gets the answer.
        service: Where the request goes.
        fingerprint: Identifies the request, whoever carries it.
    """

    request: Request
    caller: Caller
    service: documents.Service
    fingerprint: int
