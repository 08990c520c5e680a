"""Tests that a connection to an engine recovers from protocol violations."""

import asyncio

import aiohttp.web
import msgspec
import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.adapters import engines
from fuchsiabarrow.adapters import sessions
from fuchsiabarrow.ports import engines as ports
from fuchsiabarrow.standins import servers
from fuchsiabarrow.utils import loops

STEP = ports.Step("r", 0, 0, 0, 4, [1], [], True)
ANSWER = ports.StepAnswer("r", 0, 0, 0, "ok", [], 7)
TEST_TIMEOUT_S = 5


class FaultyEngine:
    """An engine that misbehaves on its first connections.

    Args:
        misbehave: Handles the sockets of these connections.
        faulty_connections: Number of these connections.
    """

    def __init__(self, misbehave, faulty_connections):
        self.connections = 0
        self._misbehave = misbehave
        self._faulty_connections = faulty_connections
        app = aiohttp.web.Application()
        app.router.add_get("/v1/steps", self._serve)
        self.server = servers.Server(app)

    async def _serve(self, request):
        self.connections += 1
        socket = aiohttp.web.WebSocketResponse()
        await socket.prepare(request)
        if self.connections <= self._faulty_connections:
            await self._misbehave(socket)
            return socket
        async for message in socket:
            for item in msgspec.msgpack.decode(message.data):
                answer = ["probe", 0]
                if item[0] == "step":
                    answer = ["answer", ANSWER]
                await socket.send_bytes(msgspec.msgpack.encode([answer]))
        return socket


async def close_immediately(socket):
    await socket.close()


async def answer_probe_with_text(socket):
    await socket.send_str("hello")
    await socket.close()


async def send_invalid_messagepack(socket):
    await socket.receive()
    await socket.send_bytes(msgspec.msgpack.encode([["probe", 0]]))
    await socket.receive()
    await socket.send_bytes(b"\xc1 noise")
    await asyncio.sleep(1)


async def send_unmatched_answers(socket):
    await socket.receive()
    await socket.send_bytes(msgspec.msgpack.encode([["probe", 0]]))
    await socket.receive()
    other_request = msgspec.structs.replace(ANSWER, request_id="other", token=9)
    other_attempt = msgspec.structs.replace(ANSWER, attempt=9, token=9)
    unmatched = [["answer", other_request], ["answer", other_attempt]]
    await socket.send_bytes(msgspec.msgpack.encode(unmatched))
    await socket.send_bytes(msgspec.msgpack.encode([["answer", ANSWER]]))
    await asyncio.sleep(1)


@pytest.mark.parametrize(
    "misbehave",
    [close_immediately, answer_probe_with_text, send_invalid_messagepack],
)
def test_lost_connection_fails_its_steps_and_is_replaced(misbehave):
    # Guards against a connection whose background task ends for good when its
    # first socket is closed, so that no later step is ever sent.
    async def check():
        engine = FaultyEngine(misbehave, faulty_connections=2)
        async with (
            engine.server,
            sessions.make_session() as session,
            engines.EngineConnection(
                session, "e", engine.server.address, engines.Settings()
            ) as link,
        ):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                for _ in range(2):
                    with pytest.raises(exceptions.InstanceError):
                        await link.step(STEP)
                assert (await link.step(STEP)).token == 7

    loops.run(check())


def test_answers_to_other_requests_and_attempts_are_dropped():
    async def check():
        engine = FaultyEngine(send_unmatched_answers, faulty_connections=1)
        events = []
        async with (
            engine.server,
            sessions.make_session() as session,
            engines.EngineConnection(
                session,
                "e",
                engine.server.address,
                engines.Settings(),
                events.append,
            ) as link,
        ):
            async with asyncio.timeout(TEST_TIMEOUT_S):
                assert (await link.step(STEP)).token == 7
        assert events == ["unmatched_answer", "unmatched_answer"]

    loops.run(check())
