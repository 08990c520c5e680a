"""Sends journal operations to the entry that a journal falls to.

An operation carries the nonce of its claim, so applying it twice, or late, by
an entry that was paused, changes nothing that it may not change.
"""

import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.actions import journals
from fuchsiabarrow.actions import writers
from fuchsiabarrow.peers import service as peers_service

__all__ = ["answer_forwarded", "make_forward"]

SERVICE = "action-journal"


class _Forwarded(msgspec.Struct, frozen=True, array_like=True):
    journal: str
    operation: journals.Operation


def make_forward(
    peers: peers_service.PeersService, timeout_s: float
) -> writers.Forward:
    """Returns a function that lets a journal's owner apply an operation.

    Args:
        peers: Other entries.
        timeout_s: Time for the owner to answer.
    """

    async def forward(
        journal: str, operation: journals.Operation
    ) -> tuple[journals.Record | None] | None:
        owner = peers.find_owner(journal)
        if owner is None:
            return None
        body = msgspec.msgpack.encode(_Forwarded(journal, operation))
        answer = await peers.client.ask(owner.address, SERVICE, body, timeout_s)
        return (msgspec.msgpack.decode(answer, type=journals.Record | None),)

    return forward


def answer_forwarded(
    peers: peers_service.PeersService, writer: writers.JournalWriter
) -> None:
    """Commits the operations that other entries send."""

    async def answer(body: bytes) -> bytes | None:
        found = msgspec.msgpack.decode(body, type=_Forwarded)
        try:
            record = await writer.commit(found.journal, found.operation)
        except exceptions.StoreError:
            return None
        return msgspec.msgpack.encode(record)

    peers.add_answer(SERVICE, answer)
