"""Stand-in for a model engine that holds a range of layers.

It serves a WebSocket at ``/v1/steps``. A frame from the client is a MessagePack
list of steps, cancellations and probes; a frame to the client is a list of
answers to steps and probes. Steps that arrive while a batch runs form the next
batch.
"""

import asyncio
import os
import time

import aiohttp
import aiohttp.web
import msgspec

from fuchsiabarrow.ports import engines
from fuchsiabarrow.ports import orders
from fuchsiabarrow.standins import faults as faults_module
from fuchsiabarrow.standins import models
from fuchsiabarrow.standins import servers

__all__ = ["EngineProfile", "EngineStandin"]

HTTP_OK = 200
# A prompt that contains these bytes crashes the engine that processes it.
CRASH_PROMPT = list(b"crash-the-engine")


class EngineProfile(msgspec.Struct, frozen=True):
    """Identity, layers and performance of a stand-in engine.

    Attributes:
        instance_id: Id in the instance list.
        model: Model name.
        first_layer: First layer held.
        end_layer: One past the last layer held.
        batch_s: Fixed time per batch in seconds.
        position_s: Additional time per position of a batch in seconds.
        link_s: One-way delay of the link in seconds.
        accelerator: Kind of accelerator.
        load_s: Time to load the weights of a model in seconds.
        import_position_s: Time to import one position of a KV cache in
            seconds.
    """

    instance_id: str
    model: str
    first_layer: int
    end_layer: int
    batch_s: float = 0.0005
    position_s: float = 0.000002
    link_s: float = 0.0
    accelerator: str = "a"
    load_s: float = 0.2
    import_position_s: float = 0.0000005


def _contains_crash_prompt(tokens: list[int]) -> bool:
    return bytes(CRASH_PROMPT) in bytes(token % 256 for token in tokens)


class EngineStandin:
    """One simulated engine instance.

    Attributes:
        crashes: Number of crashes.
        applied_positions: Number of positions run through its layers.
        batches: Number of batches run.
        busy_s: Total time spent on batches in seconds.
        imports: Number of KV caches imported.
        orders: Load orders accepted, in order.
        is_alive: Whether the engine has not crashed.

    Args:
        profile: Identity, layers and performance.
        port: Port on the loopback interface; 0 picks a free one.
        crash_ends_process: Whether a crash ends the process; otherwise the
            server resets its connections and closes.
    """

    def __init__(
        self,
        profile: EngineProfile,
        port: int = 0,
        crash_ends_process: bool = False,
    ):
        self.profile = profile
        self.faults = faults_module.Faults()
        self.crashes = 0
        self.applied_positions = 0
        self.batches = 0
        self.busy_s = 0.0
        self.imports = 0
        self.orders: list[orders.LoadOrder] = []
        self._loading: orders.LoadOrder | None = None
        self._fence = 0
        self.is_alive = True
        self._caches: dict[tuple[str, int], models.Cache] = {}
        self._queue: asyncio.Queue = asyncio.Queue()
        self._silenced_sockets: set[int] = set()
        self._sockets: dict[int, aiohttp.web.WebSocketResponse] = {}
        self._previous_answers: list[engines.StepAnswer] = []
        self._crash_ends_process = crash_ends_process
        self._tasks: set[asyncio.Task] = set()
        app = aiohttp.web.Application()
        app.router.add_get("/v1/steps", self._serve_steps)
        app.router.add_get("/v1/state", self._serve_state)
        app.router.add_get("/v1/assignment", self._serve_assignment)
        app.router.add_put("/v1/assignment", self._serve_order)
        app.router.add_get("/v1/caches/{request}/{attempt}", self._serve_export)
        app.router.add_post("/v1/cache-imports", self._serve_import)
        faults_module.add_routes(app, self.faults)
        self.server = servers.Server(app, port)

    async def __aenter__(self) -> "EngineStandin":
        await self.server.__aenter__()
        self._start_task(self._run_batches())
        return self

    async def __aexit__(self, *exc_info) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self.is_alive:
            await self.server.__aexit__(*exc_info)

    async def crash(self) -> None:
        """Stops the engine abruptly, without closing WebSockets properly."""
        self.crashes += 1
        self.is_alive = False
        if self._crash_ends_process:
            os._exit(1)
        await self.server.kill()

    def _start_task(self, work) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_state(self, request: aiohttp.web.Request):
        return aiohttp.web.json_response(
            {
                "instance_id": self.profile.instance_id,
                "sessions": len(self._caches),
                "queued": self._queue.qsize(),
                "applied_positions": self.applied_positions,
                "batches": self.batches,
                "busy_s": self.busy_s,
                "draining": self.faults.draining,
                "orders": [order.fence for order in self.orders],
            }
        )

    async def _serve_assignment(self, request: aiohttp.web.Request):
        assignment = self._loading or self.profile
        is_idle = assignment.first_layer == assignment.end_layer
        state = orders.EngineState(
            "" if is_idle else assignment.model,
            assignment.first_layer,
            assignment.end_layer,
            self._loading is not None,
        )
        return aiohttp.web.Response(
            body=msgspec.json.encode(state), content_type="application/json"
        )

    async def _serve_order(self, request: aiohttp.web.Request):
        body = await request.read()
        order = msgspec.json.decode(body, type=orders.LoadOrder)
        if self.faults.check_fence and order.fence < self._fence:
            return aiohttp.web.Response(status=409)
        self._fence = max(self._fence, order.fence)
        self.orders.append(order)
        if self._loading is None:
            self._loading = order
            self._start_task(self._load(order))
        return aiohttp.web.Response()

    async def _serve_export(self, request: aiohttp.web.Request):
        name = request.match_info["request"]
        key = (name, int(request.match_info["attempt"]))
        if key not in self._caches or self.faults.refuse_export:
            raise aiohttp.web.HTTPNotFound()
        body = msgspec.msgpack.encode(self._caches[key])
        return aiohttp.web.Response(body=body)

    async def _serve_import(self, request: aiohttp.web.Request):
        body = await request.read()
        order = msgspec.json.decode(body, type=engines.CacheImport)
        url = (
            f"http://{order.source_address}/v1/caches/{order.request_id}"
            f"/{order.attempt}"
        )
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as answer,
        ):
            if answer.status != HTTP_OK:
                raise aiohttp.web.HTTPBadGateway()
            content = await answer.read()
        source = msgspec.msgpack.decode(content, type=models.Cache)
        held = range(self.profile.first_layer, self.profile.end_layer)
        wanted = range(order.first_layer, order.end_layer)
        is_complete = all(
            layer in held and source.positions.get(layer) == order.position
            for layer in wanted
        )
        if not is_complete:
            raise aiohttp.web.HTTPConflict()
        cache = self._caches.setdefault(
            (order.request_id, order.attempt), models.Cache()
        )
        for layer in wanted:
            cache.digests[layer] = source.digests[layer]
            cache.positions[layer] = source.positions[layer]
        await asyncio.sleep(order.position * self.profile.import_position_s)
        self.imports += 1
        return aiohttp.web.Response()

    async def _load(self, order: orders.LoadOrder) -> None:
        """Simulates loading weights, then serves only the new layers."""
        await asyncio.sleep(self.profile.load_s)
        self.profile = msgspec.structs.replace(
            self.profile,
            model=order.model,
            first_layer=order.first_layer,
            end_layer=order.end_layer,
        )
        self._caches.clear()
        self._loading = None

    async def _serve_steps(self, request: aiohttp.web.Request):
        socket = aiohttp.web.WebSocketResponse(max_msg_size=0)
        await socket.prepare(request)
        self._sockets[id(socket)] = socket
        try:
            async for message in socket:
                if message.type is aiohttp.WSMsgType.BINARY:
                    self._accept_frame(socket, message.data)
        finally:
            self._sockets.pop(id(socket), None)
        return socket

    def _accept_frame(self, socket, data: bytes) -> None:
        if self.faults.silent:
            self._silenced_sockets.update(self._sockets)
            self.faults.silent = False
        if id(socket) in self._silenced_sockets:
            return
        for item in msgspec.msgpack.decode(data):
            if item[0] == "cancel":
                self._caches.pop((item[1], item[2]), None)
            elif item[0] == "probe":
                self._start_task(self._send(socket, [["probe", item[1]]]))
            else:
                step = msgspec.convert(item[1], engines.Step)
                self._queue.put_nowait((socket, step))

    async def _run_batches(self) -> None:
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty():
                batch.append(self._queue.get_nowait())
            positions = sum(
                len(step.tokens) + len(step.hidden) for _, step in batch
            )
            busy_s = self.profile.batch_s + positions * self.profile.position_s
            started_s = time.monotonic()
            await asyncio.sleep(busy_s)
            self.batches += 1
            await self._answer_batch(batch)
            self.busy_s += time.monotonic() - started_s

    async def _answer_batch(self, batch) -> None:
        answers: dict[int, list] = {}
        for socket, step in batch:
            if await self._crash_if_due(step):
                return
            answer = self._apply(step)
            if self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                continue
            answers.setdefault(id(socket), []).append(answer)
        for socket_id, socket_answers in answers.items():
            socket = self._sockets.get(socket_id)
            if socket is not None and socket_id not in self._silenced_sockets:
                self._start_task(self._send_answers(socket, socket_answers))

    async def _crash_if_due(self, step: engines.Step) -> bool:
        is_prefill = len(step.tokens) + len(step.hidden) > 1
        must_crash = self.faults.die_while_filling and is_prefill
        if self.faults.die_after_steps > 0:
            self.faults.die_after_steps -= 1
            must_crash = must_crash or self.faults.die_after_steps == 0
        if must_crash or _contains_crash_prompt(step.tokens):
            if self.faults.die_applies:
                self._apply(step)
            self._start_task(self.crash())
            return True
        return False

    def _apply(self, step: engines.Step) -> engines.StepAnswer:
        status = self._find_refusal(step)
        if status != "ok":
            return self._make_answer(step, status, [], -1)
        cache = self._caches.setdefault(
            (step.request_id, step.attempt), models.Cache()
        )
        layers = range(step.first_layer, step.end_layer)
        try:
            cache.check(layers, step.position)
        except models.PositionError:
            return self._make_answer(step, "position", [], -1)
        inputs = step.hidden or [models.embed_token(t) for t in step.tokens]
        hidden = []
        for offset, item in enumerate(inputs):
            hidden.append(cache.apply(layers, step.position + offset, item))
        self.applied_positions += len(inputs)
        if step.sample:
            return self._make_answer(
                step, "ok", [], models.sample_token(hidden[-1])
            )
        return self._make_answer(step, "ok", hidden, -1)

    def _find_refusal(self, step: engines.Step) -> str:
        profile = self.profile
        is_held = (
            profile.first_layer <= step.first_layer
            and step.end_layer <= profile.end_layer
        )
        if not is_held:
            return "layers"
        is_new = (step.request_id, step.attempt) not in self._caches
        if self.faults.draining and is_new:
            return "draining"
        if self.faults.busy:
            return "busy"
        return "ok"

    def _make_answer(self, step, status, hidden, token) -> engines.StepAnswer:
        return engines.StepAnswer(
            step.request_id,
            step.attempt,
            step.position,
            step.first_layer,
            status,
            hidden,
            token,
        )

    async def _send_answers(self, socket, answers: list) -> None:
        to_send = list(answers)
        if self.faults.swap_answers:
            to_send.reverse()
        if self.faults.repeat_answers:
            to_send = self._previous_answers + to_send
            self._previous_answers = list(answers)
        await self._send(socket, [["answer", item] for item in to_send])

    async def _send(self, socket, items: list) -> None:
        if id(socket) in self._silenced_sockets:
            return
        delay_s = 2 * self.profile.link_s + self.faults.delay_s
        if delay_s:
            await asyncio.sleep(delay_s)
        if not socket.closed:
            try:
                await socket.send_bytes(msgspec.msgpack.encode(items))
            except ConnectionError:
                return
