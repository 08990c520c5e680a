"""A connection to an engine outlives whatever the engine does to it."""

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
LIMIT_S = 5


class Engine:
    """An engine that misbehaves on its first connections."""

    def __init__(self, misbehave, times):
        self.connections = 0
        self._misbehave = misbehave
        self._times = times
        app = aiohttp.web.Application()
        app.router.add_get("/v1/steps", self._serve)
        self.server = servers.Server(app)

    async def _serve(self, request):
        self.connections += 1
        socket = aiohttp.web.WebSocketResponse()
        await socket.prepare(request)
        if self.connections <= self._times:
            await self._misbehave(socket)
            return socket
        async for message in socket:
            for item in msgspec.msgpack.decode(message.data):
                answer = ["probe", 0]
                if item[0] == "step":
                    answer = ["answer", ANSWER]
                await socket.send_bytes(msgspec.msgpack.encode([answer]))
        return socket


async def close_at_once(socket):
    await socket.close()


async def send_text_for_the_probe(socket):
    await socket.send_str("hello")
    await socket.close()


async def send_noise_after_the_probe(socket):
    await socket.receive()
    await socket.send_bytes(msgspec.msgpack.encode([["probe", 0]]))
    await socket.receive()
    await socket.send_bytes(b"\xc1 noise")
    await asyncio.sleep(1)


async def answer_another_request(socket):
    await socket.receive()
    await socket.send_bytes(msgspec.msgpack.encode([["probe", 0]]))
    await socket.receive()
    crossed = msgspec.structs.replace(ANSWER, request_id="other", token=9)
    late = msgspec.structs.replace(ANSWER, attempt=9, token=9)
    wrong = [["answer", crossed], ["answer", late]]
    await socket.send_bytes(msgspec.msgpack.encode(wrong))
    await socket.send_bytes(msgspec.msgpack.encode([["answer", ANSWER]]))
    await asyncio.sleep(1)


@pytest.mark.parametrize(
    "misbehave",
    [close_at_once, send_text_for_the_probe, send_noise_after_the_probe],
)
def test_connection_that_ends_fails_its_steps_and_the_next_one_works(misbehave):
    # Guards against a connection whose task ended with the first closed socket.
    async def check():
        engine = Engine(misbehave, times=2)
        async with (
            engine.server,
            sessions.make_session() as session,
            engines.EngineLink(
                session, "e", engine.server.address, engines.Settings()
            ) as link,
        ):
            async with asyncio.timeout(LIMIT_S):
                for _ in range(2):
                    with pytest.raises(exceptions.InstanceError):
                        await link.step(STEP)
                assert (await link.step(STEP)).token == 7

    loops.run(check())


def test_answers_to_other_requests_and_attempts_are_dropped():
    async def check():
        engine = Engine(answer_another_request, times=1)
        events = []
        async with (
            engine.server,
            sessions.make_session() as session,
            engines.EngineLink(
                session,
                "e",
                engine.server.address,
                engines.Settings(),
                events.append,
            ) as link,
        ):
            async with asyncio.timeout(LIMIT_S):
                assert (await link.step(STEP)).token == 7
        assert events == ["unmatched_answer", "unmatched_answer"]

    loops.run(check())
