"""Data types and interfaces of request forwarding."""

import dataclasses
import enum
from typing import Protocol

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.fleet import paths
from fuchsiabarrow.fleet import upstreams

__all__ = [
    "AttemptTarget",
    "Codec",
    "Exchange",
    "GenerationParameters",
    "Headers",
    "Refusal",
    "RefusalReason",
    "Request",
    "ResponseHead",
    "ResponseWriter",
    "verify_response",
]

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class GenerationParameters:
    """Token counts of a language model request.

    Attributes:
        prompt_tokens: Length of the prompt.
        max_answer_tokens: Maximum length of the answer.
        expected_answer_tokens: Length of the answer that the caller expects;
            None if the caller gave no estimate.
        shared_parts: Ids of the parts of the prompt that other requests may
            contain as well, in order; without the part that only this request
            or its session has.
    """

    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int | None = None
    shared_parts: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request as received from a caller.

    Attributes:
        request_id: Id given by the caller.
        method: HTTP method.
        target: Path and query as received.
        headers: Headers to forward.
        body: Complete body.
        route: Route that the request matched.
        organisation: Owner of the API key; None for anonymous requests.
        arrived_s: Loop time at which the request arrived.
        deadline_s: Loop time until which the caller waits.
        last_event_id: Id of the event after which a stream resumes; empty to
            begin with the first event.
        generation: Token counts; None if no language model is requested.
        catalog_version: Version of the configuration in which the route was
            looked up.
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
    generation: GenerationParameters | None = None
    catalog_version: int = 0

    @property
    def rank(self) -> int:
        """Priority of its organisation, else of its route; 0 is the highest."""
        return documents.get_rank(self.route, self.organisation)

    @property
    def answer_deadline_s(self) -> float:
        """Loop time by which the final answer must have been sent."""
        return min(self.deadline_s, self.arrived_s + self.route.timeout_s)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptTarget:
    """Destination of one attempt.

    Attributes:
        upstream: Upstream to which the request is sent.
        segments: Layer ranges and the instances that run them, in order; empty
            for services without a language model.
        wire_priority: Priority by which the upstream is to admit the request, 0
            to 9, 0 first; None to state none.
    """

    upstream: upstreams.Upstream
    segments: tuple[paths.PathSegment, ...] = ()
    wire_priority: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an upstream's response.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers to forward to the caller.
        request_id: Id of the answered request, as stated by the upstream.
        is_not_run: Whether the upstream states that it did not run the request.
        at_fault: ``ip:port`` of the upstream that caused a failure, as stated
            in the response; may be empty.
        has_seal: Whether the response has the seal header that upstreams add
            to mark it as their own.
        content_length: Length of the body; None if not stated.
        ends_with_connection: Whether only the end of the connection shows that
            the body is complete.
        rate_limit_per_s: Requests per second that the upstream takes from all
            entries together; None if it announces no limit.
        is_leaving: Whether the upstream announces that it is leaving.
        pause_s: Time for which the upstream that refused the request asks for
            no others; None if it does not.
        has_events: Whether the body consists of server-sent events.
    """

    status: int
    reason: str
    headers: Headers
    request_id: str
    is_not_run: bool
    at_fault: str
    has_seal: bool
    content_length: int | None
    ends_with_connection: bool = False
    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float | None = None
    has_events: bool = False

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclasses.dataclass(frozen=True, slots=True)
class StreamSummary:
    """How a request to a language model was served, for the log.

    Attributes:
        path: Last path, formatted; empty if none was found.
        kinds: Kinds of accelerators of its instances, in order, formatted.
        crossings: Hops of this path between failure domains.
        sends: Number of times that the request was sent.
        size_tokens: Length of the prompt and maximum length of the answer.
        first_event_s: Time from the arrival of the request to its first event;
            None if there was none.
        longest_gap_s: Longest time between two events.
        gap_cause: What is known of the cause of this gap; empty if there was
            none.
    """

    path: str
    kinds: str
    crossings: int
    sends: int
    size_tokens: int
    first_event_s: float | None
    longest_gap_s: float
    gap_cause: str


class RefusalReason(enum.Enum):
    """Why the entry refuses a request instead of forwarding an answer."""

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
    """An error answer that the entry itself generates.

    Attributes:
        reason: Category of the error.
        is_not_run: Whether it is certain that no upstream has run the request
            or will run it.
        retry_after_s: Time after which the caller may retry; sent only if the
            request has not run.
        detail: Details for the log and the caller.
    """

    reason: RefusalReason
    is_not_run: bool
    retry_after_s: float = 0.0
    detail: str = ""


def verify_response(head: ResponseHead, request: Request, address: str) -> None:
    """Checks that a response is the upstream's response to a request.

    Raises:
        UpstreamResponseLostError: It has the id of another request, or it is a
            success that lacks the upstream's seal or the request id.
    """
    if head.request_id and head.request_id != request.request_id:
        raise exceptions.UpstreamResponseLostError(
            f"{address}: response has the id of another request"
        )
    if head.is_success and not (head.has_seal and head.request_id):
        raise exceptions.UpstreamResponseLostError(
            f"{address}: successful response lacks seal or request id"
        )


class Codec(Protocol):
    """Encodes requests for upstreams and decodes their responses."""

    def encode_request(
        self,
        request: Request,
        target: AttemptTarget,
        remaining_s: float,
        last_event_id: str,
    ) -> bytes:
        """Returns the encoded request, including its body.

        Args:
            request: The request.
            target: Upstream and path to which it is sent.
            remaining_s: Time left until the caller's deadline.
            last_event_id: Id of the event after which a stream resumes; empty
                to begin with the first event.
        """

    def decode_head(self, message: object) -> ResponseHead:
        """Returns the decoded status and headers of a response."""


class ResponseWriter(Protocol):
    """Sends the answer of one request to its caller."""

    @property
    def is_started(self) -> bool:
        """Whether the status and headers were sent."""

    async def start(self, head: ResponseHead) -> None:
        """Sends the status and headers of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the send buffer is full."""

    async def finish(self) -> None:
        """Marks the body as complete."""

    async def answer(self, head: ResponseHead, body: bytes) -> None:
        """Sends a complete answer."""

    async def refuse(self, refusal: Refusal) -> None:
        """Sends an error answer generated by the entry."""

    def abort(self) -> None:
        """Aborts a started answer so that it cannot be taken for complete."""


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """A request with what is needed to answer it.

    Attributes:
        request: The request.
        writer: Sends the answer to the caller.
        service: Service to which the request is sent.
        fingerprint: Hash of organisation, method, target and body; equal for
            retries of a request, whichever entry receives them.
    """

    request: Request
    writer: ResponseWriter
    service: documents.Service
    fingerprint: int
