"""Adapter to a model engine: one WebSocket that carries batches of steps.

All response streams of an entry (a router process) share one connection to each
engine. Steps queued in the same iteration of the event loop are sent in one
frame, so that a step costs one small message instead of an HTTP request. An
answer is matched to its step by the request, attempt, position and first layer
that it repeats; an answer that matches no outstanding step is dropped.
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

__all__ = ["EngineConnection", "Settings"]


_log = logbook.Logger(__name__)

# Short, as an unresponsive peer does not answer the closing handshake either.
CLOSE_TIMEOUT_S = 0.05
HTTP_OK = 200
STEPS_PATH = "/v1/steps"
# An engine answers a probe at once, even while it runs a batch.
PROBE = ["probe", 0]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the connections to engines.

    Attributes:
        connect_timeout_s: Timeout for opening a connection and receiving the
            answer to a first probe on it.
        silence_timeout_s: If steps are outstanding and nothing arrives on the
            connection for this long, it is probed, and so is a second
            connection that is opened to the same engine.
        probe_grace_s: Once the second connection has answered its probe, the
            first one is replaced unless it answers within this time.
        step_timeout_s: Timeout of one step; must allow for the prefill of a
            long prompt.
        import_timeout_s: Timeout for the import of a KV cache.
    """

    connect_timeout_s: float = 0.3
    silence_timeout_s: float = 0.1
    probe_grace_s: float = 0.05
    step_timeout_s: float = 10.0
    import_timeout_s: float = 5.0


@dataclasses.dataclass(slots=True)
class _PendingStep:
    step: engines.Step
    future: asyncio.Future
    sent_at_s: float
    handle_silence: Callable[[str], bool]


def _give_up(instance_id: str) -> bool:
    return True


def _get_match_key(item: engines.Step | engines.StepAnswer) -> tuple:
    return (item.request_id, item.attempt, item.position, item.first_layer)


class EngineConnection:
    """Connection to one engine; replaces its socket if that stops responding.

    Args:
        session: HTTP session, owned by the caller.
        instance_id: Instance at the address.
        address: ``ip:port`` of the engine.
        settings: Timeouts.
        count: Callback that counts an event, given its name.
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
        self._pending: dict[tuple, _PendingStep] = {}
        self._send_queue: list = []
        self._socket: aiohttp.ClientWebSocketResponse | None = None
        self._last_frame_s = 0.0
        self._wakeup = asyncio.Event()
        self._has_pending = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()
        self._closed = False

    async def __aenter__(self) -> "EngineConnection":
        self._start_task(self._run())
        return self

    async def __aexit__(self, *exc_info) -> None:
        self._closed = True
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._fail_pending(
            exceptions.InstanceUnreachableError(
                self._instance_id,
                "the connection to it was closed; use another instance",
            )
        )
        if self._socket is not None:
            await self._socket.close()

    async def step(
        self,
        step: engines.Step,
        handle_silence: Callable[[str], bool] = _give_up,
    ) -> engines.StepAnswer:
        """Implements `fuchsiabarrow.ports.engines.Engine.step`."""
        loop = asyncio.get_running_loop()
        if self._closed:
            raise exceptions.InstanceUnreachableError(
                self._instance_id,
                "the connection to it was closed; use another instance",
            )
        key = _get_match_key(step)
        future = loop.create_future()
        self._pending[key] = _PendingStep(
            step, future, loop.time(), handle_silence
        )
        self._has_pending.set()
        self._send(["step", step])
        try:
            async with asyncio.timeout(self._settings.step_timeout_s):
                answer = await future
        except TimeoutError:
            raise exceptions.InstanceTimeoutError(
                self._instance_id,
                "no answer to a step before the timeout; start a new attempt",
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
                self._instance_id,
                "import of a KV cache failed; prefill the cache again",
            ) from error
        if response.status != HTTP_OK:
            raise exceptions.InstanceRefusedError(
                self._instance_id, "import of a KV cache"
            )

    def cancel(self, request_id: str, attempt: int) -> None:
        """Implements `fuchsiabarrow.ports.engines.Engine.cancel`."""
        if not self._closed and self._socket is not None:
            self._send(["cancel", request_id, attempt])

    def _check_answer(self, answer: engines.StepAnswer) -> engines.StepAnswer:
        if answer.status == "ok":
            return answer
        if answer.status == "position":
            raise exceptions.CachePositionError(
                self._instance_id,
                "its KV cache is at another position; start a new attempt",
            )
        raise exceptions.InstanceRefusedError(self._instance_id, answer.status)

    def _start_task(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, item: list) -> None:
        if not self._send_queue:
            asyncio.get_running_loop().call_soon(self._wakeup.set)
        self._send_queue.append(item)

    async def _run(self) -> None:
        """Opens a connection for queued steps; replaces it if it fails."""
        socket = None
        while True:
            if socket is None:
                await self._wakeup.wait()
                try:
                    socket = await self._open()
                except TimeoutError as error:
                    if not self._report_silence():
                        self._fail_after_error(error)
                    continue
                except (aiohttp.ClientError, OSError) as error:
                    self._fail_after_error(error)
                    continue
                # Without the steps that were given up meanwhile.
                self._queue_pending()
            try:
                socket = await self._serve_connection(socket)
            except Exception as error:
                # An unexpected error must not end this task; the next step
                # opens a new connection.
                _log.exception(logs.format_event("link_error", error=error))
                socket = None
                self._fail_after_error(error)

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
                    "the connection was closed before the probe was answered"
                )
            stack.pop_all()
        return socket

    async def _serve_connection(
        self, socket: aiohttp.ClientWebSocketResponse
    ) -> aiohttp.ClientWebSocketResponse | None:
        """Sends and receives until the connection ends or stops responding.

        Returns:
            The replacement for an unresponsive connection; None if the
            connection ended.
        """
        self._socket = socket
        self._last_frame_s = asyncio.get_running_loop().time()
        reader = asyncio.ensure_future(self._receive(socket))
        writer = asyncio.ensure_future(self._write(socket))
        watchdog = asyncio.ensure_future(self._watch_silence())
        tasks = (reader, writer, watchdog)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            results = await asyncio.gather(*tasks, return_exceptions=True)
            self._socket = None
            await socket.close()
        replacement = results[-1]
        if isinstance(replacement, aiohttp.ClientWebSocketResponse):
            self._count("silent_connection")
            self._queue_pending()
            return replacement
        if isinstance(replacement, TimeoutError) and self._pending:
            # Steps that were made while the connection was being closed.
            self._queue_pending()
            return None
        if isinstance(
            replacement, (aiohttp.ClientError, TimeoutError, OSError)
        ):
            self._fail_after_error(replacement)
            return None
        self._fail_pending(
            exceptions.InstanceConnectionLostError(
                self._instance_id, "closed its connection; use another instance"
            )
        )
        return None

    def _queue_pending(self) -> None:
        """Queues the outstanding steps to be sent on a new connection.

        The engine refuses a step for a position that its KV cache has already
        passed, so no step is applied twice.
        """
        self._send_queue = [
            ["step", pending.step]
            for pending in self._pending.values()
            if not pending.future.done()
        ]
        self._wakeup.set()

    async def _write(self, socket: aiohttp.ClientWebSocketResponse) -> None:
        while True:
            await self._wakeup.wait()
            self._wakeup.clear()
            items, self._send_queue = self._send_queue, []
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
                    self._resolve_step(answer)

    def _resolve_step(self, answer: engines.StepAnswer) -> None:
        pending = self._pending.get(_get_match_key(answer))
        if pending is None or pending.future.done():
            self._count("unmatched_answer")
            return
        pending.future.set_result(answer)

    async def _watch_silence(self) -> aiohttp.ClientWebSocketResponse:
        """Waits until the connection is unresponsive; returns a replacement.

        While the whole engine is silent, the connection is kept for the steps
        that are not given up.

        A check that ran late because this process was paused is ignored, as the
        frames that arrived during the pause have not been read yet.

        Raises:
            TimeoutError: A new connection did not respond either, and no step
                waits for the engine.
            aiohttp.ClientError: No new connection could be opened.
        """
        limit_s = self._settings.silence_timeout_s
        loop = asyncio.get_running_loop()
        # Time of the last frame before the engine was silent.
        silent_after_s: float | None = None
        while True:
            await self._has_pending.wait()
            oldest_sent_at_s = self._get_oldest_sent_at_s()
            if oldest_sent_at_s is None:
                self._has_pending.clear()
                continue
            # Waits for at least a quarter of the limit, so that after a pause
            # of this process the frames that arrived meanwhile are read first.
            due_s = max(oldest_sent_at_s, self._last_frame_s) + limit_s
            delay_s = max(due_s - loop.time(), limit_s / 4)
            stall_detector = deadlines.StallDetector(delay_s)
            await asyncio.sleep(delay_s)
            if stall_detector.was_stalled() or not self._is_overdue(limit_s):
                continue
            grace_s = 0.0
            if silent_after_s == self._last_frame_s:
                grace_s = self._compute_silence_s()
            try:
                replacement = await self._compare_connections(grace_s)
            except TimeoutError:
                if not self._report_silence():
                    raise
                silent_after_s = self._last_frame_s
                continue
            if replacement is not None:
                return replacement

    def _is_overdue(self, limit_s: float) -> bool:
        return self._compute_silence_s() >= limit_s

    def _compute_silence_s(self) -> float:
        """Returns how long outstanding steps have had no frame in seconds."""
        oldest_sent_at_s = self._get_oldest_sent_at_s()
        if oldest_sent_at_s is None:
            return 0.0
        now_s = asyncio.get_running_loop().time()
        return now_s - max(oldest_sent_at_s, self._last_frame_s)

    def _report_silence(self) -> bool:
        """Fails the outstanding steps that are given up on a silent engine.

        Returns:
            Whether other steps wait for the engine.
        """
        given_up = 0
        for key, pending in list(self._pending.items()):
            if pending.future.done():
                continue
            if pending.handle_silence(self._instance_id):
                pending.future.set_exception(self._make_silence_error())
                del self._pending[key]
                given_up += 1
        self._count("silent_engine")
        _log.info(
            logs.format_event(
                "engine_silent",
                instance=self._instance_id,
                given_up=given_up,
                waiting=len(self._pending),
            )
        )
        return bool(self._pending)

    def _make_silence_error(self) -> exceptions.InstanceTimeoutError:
        return exceptions.InstanceTimeoutError(
            self._instance_id, "did not respond on a new connection"
        )

    async def _compare_connections(
        self, grace_s: float
    ) -> aiohttp.ClientWebSocketResponse | None:
        """Probes the current connection and a new one to the same engine.

        An engine that is busy with a long batch answers on both. After a
        silence of the whole engine, the answers on the current connection may
        arrive later than those on a new one.

        Args:
            grace_s: Time that the current connection has, beyond
                `probe_grace_s`, as long as a step waits for the engine.

        Returns:
            The new connection if only that one answers; None if the current
            one does.
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
            loop = asyncio.get_running_loop()
            limit_s = loop.time() + grace_s
            while (
                self._last_frame_s == last_frame_s
                and loop.time() < limit_s
                and self._report_silence()
            ):
                await asyncio.sleep(self._settings.silence_timeout_s)
            if self._last_frame_s == last_frame_s:
                stack.pop_all()
                return replacement
        return None

    def _get_oldest_sent_at_s(self) -> float | None:
        # Steps are added in the order of sending, so the first is the oldest.
        for pending in self._pending.values():
            return pending.sent_at_s
        return None

    def _fail_after_error(self, error: Exception) -> None:
        self._send_queue = []
        self._wakeup.clear()
        if isinstance(error, TimeoutError):
            failure: exceptions.InstanceError = self._make_silence_error()
        else:
            failure = exceptions.InstanceUnreachableError(
                self._instance_id, "connection failed; use another instance"
            )
        self._fail_pending(failure)

    def _fail_pending(self, error: exceptions.InstanceError) -> None:
        for pending in self._pending.values():
            if not pending.future.done():
                pending.future.set_exception(error)
        self._pending = {}
        self._send_queue = []
        self._wakeup.clear()
