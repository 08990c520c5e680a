"""Calls between entries: Cap'n Proto messages over HTTP.

Each call opens a new connection. An entry makes about one call a second, to an
entry chosen at random, so that there is little to gain from keep-alive, and a
connection that was kept open may have been lost without notice.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import hmac
import pathlib

import aiohttp
import aiohttp.web
import capnp

from fuchsiabarrow import exceptions
from fuchsiabarrow.peers import items

__all__ = ["Handlers", "PeerClient", "make_app"]

HTTP_OK = 200
KEY_HEADER = "Peer-Key"
MAX_BODY_BYTES = 4 * 1024 * 1024

_schema = capnp.load(str(pathlib.Path(__file__).with_name("peer.capnp")))


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """Callbacks that handle the messages of other entries.

    Attributes:
        exchange: Takes the sender's table digest and items; returns this
            entry's table digest and its own member item.
        compare: Takes the sender's versions by key; returns the items that are
            newer here and the keys that are newer there.
        probe: Takes an address; returns whether an entry answers there.
        answer: Takes the name of a service and a question; returns the answer,
            None if there is none.
    """

    exchange: Callable[[int, list[items.Item]], tuple[int, list[items.Item]]]
    compare: Callable[[dict[str, int]], tuple[list[items.Item], list[str]]]
    probe: Callable[[str], Awaitable[bool]]
    answer: Callable[[str, bytes], Awaitable[bytes | None]]


def _encode_items(item_list: list[items.Item]) -> list[dict]:
    return [
        {
            "key": item.key,
            "version": item.version,
            "value": item.value,
            "expiresAtS": item.expires_at_s,
        }
        for item in item_list
    ]


def _decode_items(item_list) -> list[items.Item]:
    return [
        items.Item(
            str(item.key),
            int(item.version),
            bytes(item.value),
            float(item.expiresAtS),
        )
        for item in item_list
    ]


def make_app(handlers: Handlers, key: str) -> aiohttp.web.Application:
    """Returns the web application that serves other entries.

    Args:
        handlers: Handle the messages.
        key: Key that other entries must send; empty if none is required.
    """

    def add_route(path: str, struct, answer) -> None:
        async def serve(request: aiohttp.web.Request):
            sent = request.headers.get(KEY_HEADER, "")
            if not hmac.compare_digest(sent, key):
                raise aiohttp.web.HTTPUnauthorized()
            try:
                body = await request.read()
                with struct.from_bytes(body) as message:
                    reply = await answer(message)
            except capnp.KjException as error:
                raise aiohttp.web.HTTPBadRequest() from error
            return aiohttp.web.Response(body=reply.to_bytes())

        app.router.add_post(path, serve)

    async def exchange(message):
        digest, item_list = handlers.exchange(
            message.digest, _decode_items(message.items)
        )
        return _schema.Exchange.new_message(
            digest=digest, items=_encode_items(item_list)
        )

    async def compare(message):
        versions = {str(v.key): int(v.version) for v in message.versions}
        missing, wanted = handlers.compare(versions)
        return _schema.Difference.new_message(
            items=_encode_items(missing), wanted=wanted
        )

    async def probe(message):
        is_alive = await handlers.probe(str(message.address))
        return _schema.ProbeResult.new_message(isAlive=is_alive)

    async def answer(message):
        body = await handlers.answer(str(message.service), bytes(message.body))
        return _schema.Answer.new_message(
            isAnswered=body is not None, body=body or b""
        )

    app = aiohttp.web.Application(client_max_size=MAX_BODY_BYTES)
    add_route("/exchange", _schema.Exchange, exchange)
    add_route("/compare", _schema.Comparison, compare)
    add_route("/probe", _schema.Probe, probe)
    add_route("/ask", _schema.Question, answer)
    return app


class PeerClient:
    """Calls other entries.

    Attributes:
        calls: Calls made so far.
        transferred_bytes: Total size of the bodies sent and received in
            successful calls.

    Args:
        session: HTTP session, owned by the caller.
        timeout_s: Timeout of a call, including that of its connection.
        key: Key that other entries require.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float, key: str
    ):
        self.calls = 0
        self.transferred_bytes = 0
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._headers = {KEY_HEADER: key, "Connection": "close"}

    async def _call(
        self, address: str, path: str, message, timeout_s: float | None = None
    ) -> bytes:
        """Sends a message and returns the body of the answer.

        Raises:
            PeerError: The entry did not answer, or refused the call.
        """
        self.calls += 1
        sent = message.to_bytes()
        timeout = self._timeout
        if timeout_s is not None:
            timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._session.post(
                f"http://{address}{path}",
                data=sent,
                headers=self._headers,
                timeout=timeout,
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.PeerError(
                f"entry at {address} did not answer"
                f" ({type(error).__name__}); it will be probed again"
            ) from error
        if response.status != HTTP_OK:
            raise exceptions.PeerError(
                f"entry at {address} refused with status {response.status};"
                " give all entries the same peers.key and release"
            )
        self.transferred_bytes += len(sent) + len(body)
        return body

    async def exchange(
        self, address: str, digest: int, item_list: list[items.Item]
    ) -> tuple[int, list[items.Item]]:
        """Sends items; returns the receiver's table digest and member item."""
        message = _schema.Exchange.new_message(
            digest=digest, items=_encode_items(item_list)
        )
        body = await self._call(address, "/exchange", message)
        with _schema.Exchange.from_bytes(body) as answer:
            return int(answer.digest), _decode_items(answer.items)

    async def compare(
        self, address: str, versions: dict[str, int]
    ) -> tuple[list[items.Item], list[str]]:
        """Compares tables with another entry.

        Args:
            address: ``ip:port`` of the entry.
            versions: Version of every key in this entry's table.

        Returns:
            The items that are newer there, and the keys of those that are newer
            here.
        """
        message = _schema.Comparison.new_message(
            versions=[
                {"key": key, "version": version}
                for key, version in versions.items()
            ]
        )
        body = await self._call(address, "/compare", message)
        with _schema.Difference.from_bytes(body) as answer:
            wanted = [str(key) for key in answer.wanted]
            return _decode_items(answer.items), wanted

    async def probe(self, address: str, target: str) -> bool:
        """Asks an entry to probe another; returns whether that one answered."""
        message = _schema.Probe.new_message(address=target)
        body = await self._call(address, "/probe", message)
        with _schema.ProbeResult.from_bytes(body) as answer:
            return bool(answer.isAlive)

    async def ask(
        self,
        address: str,
        service: str,
        body: bytes,
        timeout_s: float | None = None,
    ) -> bytes:
        """Sends a question to a service of another entry.

        Args:
            address: ``ip:port`` of the entry.
            service: Name of the service.
            body: Question.
            timeout_s: Timeout of the call, None for the client's default.

        Raises:
            PeerError: The entry did not answer, or has no answer.
        """
        message = _schema.Question.new_message(service=service, body=body)
        response = await self._call(address, "/ask", message, timeout_s)
        with _schema.Answer.from_bytes(response) as answer:
            if not answer.isAnswered:
                raise exceptions.PeerError(
                    f"entry at {address} has no answer for {service}; ask"
                    " another entry"
                )
            return bytes(answer.body)
