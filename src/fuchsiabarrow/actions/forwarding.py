"""Forwards journal operations to the entry that owns the journal.

An operation may be applied twice, or late by an entry that was paused. This is
safe, as operations identify their claim by its nonce, and a ``journals.Claim``
has no effect after its ``valid_until_s``.
"""

import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import writers
from fuchsiabarrow.peers import service as peers_service

__all__ = ["make_forwarder", "register_forward_handler"]

SERVICE = "action-journal"


class _ForwardedOperation(msgspec.Struct, frozen=True, array_like=True):
    journal: str
    operation: journals.Operation


def make_forwarder(
    peers: peers_service.PeersService, timeout_s: float
) -> writers.ForwardOperation:
    """Returns a function that sends an operation to the journal's owner.

    The function returns a tuple with the resulting record, or None if this
    entry is the owner.

    Args:
        peers: Messages to and from other entries.
        timeout_s: Timeout for the owner's response.
    """

    async def forward(
        journal: str, operation: journals.Operation
    ) -> tuple[journals.Record | None] | None:
        owner = peers.find_remote_owner(journal)
        if owner is None:
            return None
        body = msgspec.msgpack.encode(_ForwardedOperation(journal, operation))
        answer = await peers.client.ask(owner.address, SERVICE, body, timeout_s)
        return (msgspec.msgpack.decode(answer, type=journals.Record | None),)

    return forward


def register_forward_handler(
    peers: peers_service.PeersService, writer: writers.JournalWriter
) -> None:
    """Registers the handler for operations forwarded by other entries."""

    async def answer(body: bytes) -> bytes | None:
        forwarded = msgspec.msgpack.decode(body, type=_ForwardedOperation)
        try:
            record = await writer.commit(forwarded.journal, forwarded.operation)
        except exceptions.StoreError:
            return None
        return msgspec.msgpack.encode(record)

    peers.add_question_handler(SERVICE, answer)
