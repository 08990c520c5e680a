"""Adapter to a model engine: one WebSocket that carries batches of steps.

All streams of an entry share one connection to each engine. Steps made in one
turn of the loop travel in one frame, so that a hop costs one small message and
no request of its own. An answer is matched by the request, attempt, position
and layer that it echoes; any other is dropped.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

import aiohttp
import logbook
import msgspec

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import engines
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.utils import deadlines

__all__ = ["EngineLink", "Settings"]


_log = logbook.Logger(__name__)

# A silent peer does not answer a closing handshake either.
CLOSE_TIMEOUT_S = 0.05
HTTP_OK = 200
STEPS_PATH = "/v1/steps"
# Answered by an engine at once, whatever it is busy with.
PROBE = ["probe", 0]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the connections to engines.

    Attributes:
        connect_timeout_s: Bound on opening and probing a connection.
        silence_timeout_s: A connection with steps outstanding and no frame
            for this long is probed, and a new one beside it.
        probe_grace_s: Once the new connection answered, the old one has this
            long to answer as well.
        step_timeout_s: Bound on one step; covers filling a long prompt.
        import_timeout_s: Bound on the import of a KV cache.
    """

    connect_timeout_s: float = 0.3
    silence_timeout_s: float = 0.1
    probe_grace_s: float = 0.05
    step_timeout_s: float = 10.0
    import_timeout_s: float = 5.0


@dataclasses.dataclass(slots=True)
class _Pending:
    step: engines.Step
    future: asyncio.Future
    sent_at_s: float


def _make_key(item: engines.Step | engines.StepAnswer) -> tuple:
    return (item.request_id, item.attempt, item.position, item.first_layer)


class EngineLink:
    """A connection to one engine that replaces itself when it goes silent.

    Args:
        session: HTTP session, owned by the caller.
        instance_id: Instance behind the address.
        address: ``ip:port`` of the engine.
        settings: Timeouts.
        count: Called with the name of an event to count.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        instance_id: str,
        address: str,
        settings: Settings,
        count: Callable[[str], None] = lambda event: None,
    ):
        self._session = session
        self._instance_id = instance_id
        self._url = f"http://{address}{STEPS_PATH}"
        self._import_url = f"http://{address}/v1/cache-imports"
        self._settings = settings
        self._count = count
        self._pending: dict[tuple, _Pending] = {}
        self._outbox: list = []
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._last_frame_s = 0.0
        self._wakeup = asyncio.Event()
        self._has_pending = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._closed = False

    async def __aenter__(self) -> "EngineLink":
        self._start_task(self._run())
        return self

    async def __aexit__(self, *details) -> None:
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._fail_pending(
            exceptions.InstanceUnreachableError(
                self._instance_id, "its connection was closed; use another"
            )
        )
        if self._socket is not None:
            await self._socket.close()

    async def step(self, step: engines.Step) -> engines.StepAnswer:
        """Implements `fuchsiabarrow.ports.engines.Engine.step`."""
        loop = asyncio.get_running_loop()
        if self._closed:
            raise exceptions.InstanceUnreachableError(
                self._instance_id, "its connection was closed; use another"
            )
        key = _make_key(step)
        future = loop.create_future()
        self._pending[key] = _Pending(step, future, loop.time())
        self._has_pending.set()
        self._send(["step", step])
        try:
            async with asyncio.timeout(self._settings.step_timeout_s):
                answer = await future
        except TimeoutError:
            raise exceptions.InstanceSilentError(
                self._instance_id, "lost the answer to a step; start again"
            ) from None
        finally:
            self._pending.pop(key, None)
        return self._check_answer(answer)

    async def import_cache(self, order: engines.CacheImport) -> None:
        """Implements `fuchsiabarrow.ports.engines.Engine.import_cache`."""
        timeout = aiohttp.ClientTimeout(total=self._settings.import_timeout_s)
        try:
            async with self._session.post(
                self._import_url,
                data=msgspec.json.encode(order),
                timeout=timeout,
            ) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            raise exceptions.InstanceUnreachableError(
                self._instance_id, "did not import a cache; fill it anew"
            ) from error
        if response.status != HTTP_OK:
            raise exceptions.InstanceRefusedError(
                self._instance_id, "import of a cache"
            )

    def cancel(self, request_id: str, attempt: int) -> None:
        """Implements `fuchsiabarrow.ports.engines.Engine.cancel`."""
        if not self._closed and self._socket is not None:
            self._send(["cancel", request_id, attempt])

    def _check_answer(self, answer: engines.StepAnswer) -> engines.StepAnswer:
        if answer.status == "ok":
            return answer
        if answer.status == "position":
            raise exceptions.StepRefusedError(
                self._instance_id,
                "its KV cache is at another position; start a new attempt",
            )
        raise exceptions.InstanceRefusedError(self._instance_id, answer.status)

    def _start_task(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, item: list) -> None:
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._wakeup.set)
        self._outbox.append(item)

    async def _run(self) -> None:
        """Keeps a connection while there is work, and replaces it."""
        socket = None
        while True:
            if socket is None:
                await self._wakeup.wait()
                try:
                    socket = await self._open()
                except (aiohttp.ClientError, TimeoutError, OSError) as error:
                    self._give_up(error)
                    continue
            try:
                socket = await self._serve_connection(socket)
            except Exception as error:
                # Whatever it was, the next connection starts afresh.
                _log.exception(logs.format_event("link_error", error=error))
                socket = None
                self._give_up(error)

    async def _open(self) -> aiohttp.ClientWebSocketResponse:
        """Opens a connection and waits for the answer to a probe."""
        async with (
            asyncio.timeout(self._settings.connect_timeout_s),
            contextlib.AsyncExitStack() as stack,
        ):
            socket = await self._session.ws_connect(
                self._url,
                max_msg_size=0,
                timeout=aiohttp.ClientWSTimeout(ws_close=CLOSE_TIMEOUT_S),
            )
            stack.push_async_callback(socket.close)
            await socket.send_bytes(msgspec.msgpack.encode([PROBE]))
            message = await socket.receive()
            if message.type is not aiohttp.WSMsgType.BINARY:
                raise aiohttp.ClientConnectionError(
                    "the connection was closed before it answered a probe"
                )
            stack.pop_all()
        return socket

    async def _serve_connection(
        self, socket: aiohttp.ClientWebSocketResponse
    ) -> aiohttp.ClientWebSocketResponse | None:
        """Sends and receives until the connection ends or goes silent.

        Returns:
            The connection that replaces a silent one, else None.
        """
        self._socket = socket
        self._last_frame_s = asyncio.get_running_loop().time()
        reader = asyncio.ensure_future(self._receive(socket))
        writer = asyncio.ensure_future(self._write(socket))
        watcher = asyncio.ensure_future(self._watch_silence())
        works = (reader, writer, watcher)
        try:
            await asyncio.wait(works, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for work in works:
                work.cancel()
            results = await asyncio.gather(*works, return_exceptions=True)
            self._socket = None
            await socket.close()
        replacement = results[-1]
        if isinstance(replacement, aiohttp.ClientWebSocketResponse):
            self._count("silent_connection")
            self._resend_pending()
            return replacement
        if isinstance(
            replacement, (aiohttp.ClientError, TimeoutError, OSError)
        ):
            self._give_up(replacement)
            return None
        self._fail_pending(
            exceptions.InstanceDiedError(
                self._instance_id, "closed its connection; use another"
            )
        )
        return None

    def _resend_pending(self) -> None:
        """Queues the outstanding steps for the new connection.

        The engine refuses a step whose position it has passed already, so a
        step that was applied is not applied again.
        """
        self._outbox = [
            ["step", entry.step] for entry in self._pending.values()
        ]
        self._wakeup.set()

    async def _write(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            items, self._outbox = self._outbox, []
            if items:
                await socket.send_bytes(msgspec.msgpack.encode(items))

    async def _receive(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        loop = asyncio.get_running_loop()
        async for message in socket:
            if message.type is not aiohttp.WSMsgType.BINARY:
                return
            self._last_frame_s = loop.time()
            for item in msgspec.msgpack.decode(message.data):
                if item[0] == "answer":
                    answer = msgspec.convert(item[1], engines.StepAnswer)
                    self._accept(answer)

    def _accept(self, answer: engines.StepAnswer) -> None:
        entry = self._pending.get(_make_key(answer))
        if entry is None or entry.future.done():
            self._count("unmatched_answer")
            return
        entry.future.set_result(answer)

    async def _watch_silence(self) -> aiohttp.ClientWebSocketResponse:
        """Returns a replacement once the connection proved to be silent.

        After a pause of this process the frames are still to be read.

        Raises:
            TimeoutError: A new connection made no progress either.
            aiohttp.ClientError: No new connection could be opened.
        """
        limit_s = self._settings.silence_timeout_s
        loop = asyncio.get_running_loop()
        while True:
            await self._has_pending.wait()
            oldest_s = self._find_oldest_s()
            if oldest_s is None:
                self._has_pending.clear()
                continue
            # At least a part of the limit, so that after a pause of this
            # process the frames that came meanwhile are read first.
            due_s = max(oldest_s, self._last_frame_s) + limit_s
            delay_s = max(due_s - loop.time(), limit_s / 4)
            guard = deadlines.StallGuard(delay_s)
            await asyncio.sleep(delay_s)
            if guard.was_stalled() or not self._is_overdue(limit_s):
                continue
            replacement = await self._compare_connections()
            if replacement is not None:
                return replacement

    def _is_overdue(self, limit_s: float) -> bool:
        oldest_s = self._find_oldest_s()
        if oldest_s is None:
            return False
        now_s = asyncio.get_running_loop().time()
        return now_s - max(oldest_s, self._last_frame_s) >= limit_s

    async def _compare_connections(
        self,
    ) -> aiohttp.ClientWebSocketResponse | None:
        """Probes the connection and a new one beside it.

        An engine that is busy with a long batch answers on both. Returns the
        new connection if only that one answers, None if the old one does.
        """
        last_frame_s = self._last_frame_s
        self._send(PROBE)
        try:
            replacement = await self._open()
        except (aiohttp.ClientError, TimeoutError, OSError):
            if self._last_frame_s != last_frame_s:
                return None
            raise
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(replacement.close)
            await asyncio.sleep(self._settings.probe_grace_s)
            if self._last_frame_s == last_frame_s:
                stack.pop_all()
                return replacement
        return None

    def _find_oldest_s(self) -> float | None:
        for entry in self._pending.values():
            return entry.sent_at_s
        return None

    def _give_up(self, error: Exception) -> None:
        self._outbox = []
        self._wakeup.clear()
        if isinstance(error, TimeoutError):
            failure = exceptions.InstanceSilentError(
                self._instance_id, "a new connection made no progress either"
            )
        else:
            failure = exceptions.InstanceUnreachableError(
                self._instance_id, "refused a connection; use another instance"
            )
        self._fail_pending(failure)

    def _fail_pending(self, error: exceptions.InstanceError) -> None:
        for entry in self._pending.values():
            if not entry.future.done():
                entry.future.set_exception(error)
        self._pending = {}
        self._outbox = []
        self._wakeup.clear()
