"""Tests that a connection to an engine recovers from protocol violations."""

import asyncio
import contextlib

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


class SilentEngine:
    """An engine that can be silent on all connections.

    Attributes:
        steps: Steps received, in order.

    Args:
        old_delay_s: Time by which answers on connections that were open before
            the engine went on are later than others.
    """

    def __init__(self, old_delay_s=0.0):
        self.steps = []
        self._old_delay_s = old_delay_s
        self._is_on = asyncio.Event()
        app = aiohttp.web.Application()
        app.router.add_get("/v1/steps", self._serve)
        self.server = servers.Server(app)

    def stop(self):
        self._is_on.clear()

    def go_on(self):
        self._is_on.set()

    async def _serve(self, request):
        socket = aiohttp.web.WebSocketResponse()
        await socket.prepare(request)
        async for message in socket:
            if not self._is_on.is_set():
                await self._is_on.wait()
                await asyncio.sleep(self._old_delay_s)
            answers = []
            for item in msgspec.msgpack.decode(message.data):
                if item[0] == "step":
                    step = msgspec.convert(item[1], ports.Step)
                    self.steps.append(step)
                    answer = msgspec.structs.replace(
                        ANSWER, request_id=step.request_id
                    )
                    answers.append(["answer", answer])
                elif item[0] == "probe":
                    answers.append(["probe", 0])
            if not socket.closed:
                await socket.send_bytes(msgspec.msgpack.encode(answers))
        return socket


@contextlib.asynccontextmanager
async def connect(engine, count=lambda event: None):
    async with (
        engine.server,
        sessions.make_session() as session,
        engines.EngineConnection(
            session, "e", engine.server.address, engines.Settings(), count
        ) as link,
        asyncio.timeout(TEST_TIMEOUT_S),
    ):
        yield link


def wait_on(instance_id):
    return False


@pytest.mark.parametrize("old_delay_s", [0.0, 0.3])
@pytest.mark.parametrize("is_connected", [False, True])
def test_step_that_waits_for_a_silent_engine_is_sent_once(
    is_connected, old_delay_s
):
    # It failed after 0.4 s; sent again on a new connection, it would be refused
    # because of its position.
    async def check():
        engine = SilentEngine(old_delay_s)
        async with connect(engine) as link:
            if is_connected:
                engine.go_on()
                await link.step(STEP)
                engine.stop()
            waiting = msgspec.structs.replace(STEP, request_id="w")
            step_task = asyncio.create_task(link.step(waiting, wait_on))
            await asyncio.sleep(1.0)
            assert not step_task.done()
            engine.go_on()
            assert (await step_task).token == 7
        assert engine.steps == [STEP, waiting][not is_connected :]

    loops.run(check())


def test_late_answer_to_a_step_that_was_given_up_is_dropped():
    async def check():
        engine = SilentEngine()
        engine.go_on()
        events = []
        async with connect(engine, events.append) as link:
            await link.step(STEP)
            engine.stop()
            waiting = msgspec.structs.replace(STEP, request_id="w")
            waiting_task = asyncio.create_task(link.step(waiting, wait_on))
            given_up = msgspec.structs.replace(STEP, request_id="g")
            with pytest.raises(exceptions.InstanceTimeoutError):
                await link.step(given_up, lambda instance_id: True)
            assert not waiting_task.done()
            engine.go_on()
            assert (await waiting_task).request_id == "w"
        assert events.count("unmatched_answer") == 1

    loops.run(check())


def test_step_given_up_before_the_first_connection_is_never_sent():
    async def check():
        engine = SilentEngine()
        async with connect(engine) as link:
            waiting = msgspec.structs.replace(STEP, request_id="w")
            waiting_task = asyncio.create_task(link.step(waiting, wait_on))
            with pytest.raises(exceptions.InstanceTimeoutError):
                await link.step(STEP, lambda instance_id: True)
            engine.go_on()
            await waiting_task
        assert engine.steps == [waiting]

    loops.run(check())


def test_reset_ends_a_step_that_waits_for_a_silent_engine():
    async def check():
        engine = SilentEngine()
        engine.go_on()
        async with connect(engine) as link:
            await link.step(STEP)
            engine.stop()
            step_task = asyncio.create_task(link.step(STEP, wait_on))
            await asyncio.sleep(1.0)
            assert not step_task.done()
            engine.server.reset_connections()
            # Of the connection, or of the one that is being opened beside it.
            with pytest.raises(exceptions.InstanceUnreachableError):
                await step_task

    loops.run(check())
