"""Messages between entries: Cap'n Proto bodies over HTTP.

Each call has a connection of its own: an entry makes about one call a second,
to an entry chosen at random, and a kept connection may have gone silent.
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
    """What an entry does with each message.

    Attributes:
        exchange: Takes (digest, items) and returns its own.
        compare: Takes versions by key; returns (items, wanted keys).
        probe: Takes an address and tells whether an entry answers there.
        answer: Takes a service's name and a question; returns the answer, None
            if it cannot tell.
    """

    exchange: Callable[[int, list[items.Item]], tuple[int, list[items.Item]]]
    compare: Callable[[dict[str, int]], tuple[list[items.Item], list[str]]]
    probe: Callable[[str], Awaitable[bool]]
    answer: Callable[[str, bytes], Awaitable[bytes | None]]


def _encode_items(found: list[items.Item]) -> list[dict]:
    return [
        {
            "key": item.key,
            "version": item.version,
            "value": item.value,
            "expiresAtS": item.expires_at_s,
        }
        for item in found
    ]


def _decode_items(found) -> list[items.Item]:
    return [
        items.Item(
            str(item.key),
            int(item.version),
            bytes(item.value),
            float(item.expiresAtS),
        )
        for item in found
    ]


def make_app(handlers: Handlers, key: str) -> aiohttp.web.Application:
    """Returns the application that serves other entries.

    Args:
        handlers: What to do with messages.
        key: Key that other entries must send; empty for none.
    """

    def add_route(path: str, struct, answer) -> None:
        async def serve(request: aiohttp.web.Request):
            sent = request.headers.get(KEY_HEADER, "")
            if not hmac.compare_digest(sent, key):
                raise aiohttp.web.HTTPUnauthorized()
            try:
                body = await request.read()
                with struct.from_bytes(body) as message:
                    answered = await answer(message)
            except capnp.KjException as error:
                raise aiohttp.web.HTTPBadRequest() from error
            return aiohttp.web.Response(body=answered.to_bytes())

        app.router.add_post(path, serve)

    async def exchange(message):
        digest, found = handlers.exchange(
            message.digest, _decode_items(message.items)
        )
        return _schema.Exchange.new_message(
            digest=digest, items=_encode_items(found)
        )

    async def compare(message):
        versions = {str(v.key): int(v.version) for v in message.versions}
        lacking, wanted = handlers.compare(versions)
        return _schema.Difference.new_message(
            items=_encode_items(lacking), wanted=wanted
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
        sent_bytes: Bytes of the bodies sent and received so far.

    Args:
        session: HTTP session, owned by the caller.
        timeout_s: Bound on a call, its connection included.
        key: Key that other entries expect.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float, key: str
    ):
        self.calls = 0
        self.sent_bytes = 0
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._headers = {KEY_HEADER: key, "Connection": "close"}

    async def _call(
        self, address: str, path: str, message, timeout_s: float | None = None
    ) -> bytes:
        """Sends a message and returns the body of the answer.

        Raises:
            PeerError: The entry did not answer.
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
                f" ({type(error).__name__}); it is probed again"
            ) from error
        if response.status != HTTP_OK:
            raise exceptions.PeerError(
                f"entry at {address} refused with status {response.status};"
                " give all entries the same peers.key and release"
            )
        self.sent_bytes += len(sent) + len(body)
        return body

    async def exchange(
        self, address: str, digest: int, found: list[items.Item]
    ) -> tuple[int, list[items.Item]]:
        """Sends items and returns the other's digest and items."""
        message = _schema.Exchange.new_message(
            digest=digest, items=_encode_items(found)
        )
        body = await self._call(address, "/exchange", message)
        with _schema.Exchange.from_bytes(body) as answer:
            return int(answer.digest), _decode_items(answer.items)

    async def compare(
        self, address: str, versions: dict[str, int]
    ) -> tuple[list[items.Item], list[str]]:
        """Returns the items lacking here and the keys lacking there."""
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
        """Asks an entry to probe another one."""
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
        """Asks an entry's service and returns its answer.

        Args:
            address: ``ip:port`` of the entry.
            service: Name of the service.
            body: Question in bytes.
            timeout_s: Bound on the call, None for that of all calls.

        Raises:
            PeerError: The entry did not answer, or cannot tell.
        """
        message = _schema.Question.new_message(service=service, body=body)
        found = await self._call(address, "/ask", message, timeout_s)
        with _schema.Answer.from_bytes(found) as answer:
            if not answer.isAnswered:
                raise exceptions.PeerError(
                    f"entry at {address} has no answer for {service}; ask"
                    " another"
                )
            return bytes(answer.body)
