"""Sends a request to an upstream once and reads the head of its response."""

import asyncio

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import contexts
from fuchsiabarrow.forwarding import messages
from fuchsiabarrow.telemetry import logs

__all__ = ["read_head", "send"]

_log = logbook.Logger(__name__)


def send(
    context: contexts.Context,
    connection: connections.Connection,
    request: messages.Request,
    target: messages.AttemptTarget,
    last_event_id: str,
    is_retry: bool,
) -> None:
    """Sends a request to an upstream with the time left to its deadline.

    Args:
        context: What the handlers share.
        connection: Connection to the upstream.
        request: The request.
        target: The upstream and the path.
        last_event_id: Id of the event after which a stream resumes; empty to
            begin with the first event.
        is_retry: Whether the request was sent before.

    Raises:
        UpstreamUnreachableError: The connection was closed before anything
            was sent.
    """
    remaining_s = request.deadline_s - asyncio.get_running_loop().time()
    connection.send(
        context.codec.encode_request(
            request, target, remaining_s, last_event_id
        )
    )
    context.metrics.sends.labels("retry" if is_retry else "first").inc()


async def read_head(
    context: contexts.Context,
    connection: connections.Connection,
    request: messages.Request,
    upstream: upstreams.Upstream,
) -> messages.ResponseHead:
    """Returns status and headers of the response to a sent request.

    Raises:
        UndefinedStatusError: Its status is not within 200 to 599.
        UpstreamResponseLostError: No response arrived, or it does not belong
            to the request.
    """
    directory = context.directory
    try:
        message = await connection.read_head()
    except exceptions.UndefinedStatusError as error:
        _log.warning(
            logs.format_event(
                "upstream_status_invalid",
                request_id=request.request_id,
                instance=upstream.instance_id,
                status=error.status,
                address=upstream.address,
            )
        )
        raise
    head = context.codec.decode_head(message)
    messages.verify_response(head, request, upstream.address)
    if head.is_success or head.rate_limit_per_s is not None:
        context.upstream_limits.record(upstream.key, head.rate_limit_per_s)
    if head.is_leaving and directory.record_leaving(upstream):
        _log.info(
            logs.format_event(
                "upstream_leaving",
                instance=upstream.instance_id,
                address=upstream.address,
                list_age_s=round(directory.get_age_s(), 3),
            )
        )
    return head
