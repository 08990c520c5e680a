"""In-memory fakes of the store and the plain service, with fault injection."""

import asyncio
import random

from fuchsiabarrow import exceptions
from fuchsiabarrow.ports import objects
from fuchsiabarrow.ports import services


class FakeStore:
    """In-memory store that can lose responses and delay conditional writes."""

    def __init__(self, source: random.Random):
        self.objects: dict[tuple[str, str], objects.VersionedObject] = {}
        self.is_down = False
        self.lose_answer_rate = 0.0
        self.late_write_rate = 0.0
        self.delay_s = 0.002
        self.writes = 0
        self._source = source

    def clear_faults(self) -> None:
        self.lose_answer_rate = self.late_write_rate = 0.0
        self.delay_s = 0.002

    async def _simulate_latency(self) -> None:
        await asyncio.sleep(self.delay_s * self._source.uniform(0.5, 2))

    async def get(self, kind: str, name: str) -> objects.VersionedObject | None:
        await self._simulate_latency()
        if self.is_down:
            raise exceptions.StoreUnavailableError("store is down; retry")
        stored = self.objects.get((kind, name))
        await self._simulate_latency()
        return stored

    async def put(
        self, kind: str, name: str, value: bytes, expected_version: int
    ) -> int:
        await self._simulate_latency()
        if self.is_down:
            raise exceptions.StoreUnavailableError("store is down; retry")
        if self._source.random() < self.late_write_rate:
            asyncio.get_running_loop().call_later(
                self._source.uniform(0.1, 5.0),
                self._write,
                kind,
                name,
                value,
                expected_version,
            )
            await asyncio.sleep(0.3)
            raise exceptions.StoreOutcomeUnknownError(
                "response lost; read the object"
            )
        version = self._write(kind, name, value, expected_version)
        await self._simulate_latency()
        if self._source.random() < self.lose_answer_rate:
            raise exceptions.StoreOutcomeUnknownError(
                "response lost; read the object"
            )
        if version is None:
            raise exceptions.StoreConflictError("version conflict; read again")
        return version

    def _write(self, kind, name, value, expected) -> int | None:
        stored = self.objects.get((kind, name))
        current = stored.version if stored else objects.ABSENT_VERSION
        if current != expected:
            return None
        self.writes += 1
        self.objects[(kind, name)] = objects.VersionedObject(
            name, value, current + 1
        )
        return current + 1


class FakeService:
    """Fake plain service that handles repeated calls according to a guard."""

    def __init__(self, source: random.Random, guard: str):
        self.runs: list[tuple[float, str, str]] = []
        self.refuse_rate = 0.0
        self.not_sent_rate = 0.0
        self.lose_answer_rate = 0.0
        self.slow_rate = 0.0
        self._source = source
        self._guard = guard
        self._answers: dict[str, services.CallAnswer] = {}
        self._fences: dict[str, int] = {}

    def clear_faults(self) -> None:
        self.refuse_rate = self.not_sent_rate = 0.0
        self.lose_answer_rate = self.slow_rate = 0.0

    async def call(self, call: services.Call, sender: str):
        if self._source.random() < self.not_sent_rate:
            raise exceptions.ServiceNotSentError(
                "connection refused; use another instance"
            )
        if self._source.random() < self.slow_rate:
            # The call is still in flight when its sender times out.
            task = asyncio.create_task(self._run_late(call, sender))
            await asyncio.sleep(call.timeout_s)
            del task
            raise exceptions.ServiceOutcomeUnknownError(
                "no response; ask by key"
            )
        await asyncio.sleep(0.01)
        answer = self._run(call, sender)
        await asyncio.sleep(0.01)
        if self._source.random() < self.lose_answer_rate:
            raise exceptions.ServiceOutcomeUnknownError(
                "no response; ask by key"
            )
        return answer

    async def _run_late(self, call: services.Call, sender: str) -> None:
        await asyncio.sleep(self._source.uniform(0, 4 * call.timeout_s))
        self._run(call, sender)

    def _run(self, call: services.Call, sender: str) -> services.CallAnswer:
        refusal = services.CallAnswer(503, b"{}", True)
        if self._guard == "fences":
            if call.fence < self._fences.get(call.key, 0):
                return refusal
            self._fences[call.key] = call.fence
        if self._guard != "none" and call.key in self._answers:
            return self._answers[call.key]
        if self._source.random() < self.refuse_rate:
            return refusal
        now_s = asyncio.get_running_loop().time()
        self.runs.append((now_s, call.key, sender))
        answer = services.CallAnswer(200, b'{"booked":true}', False)
        self._answers[call.key] = answer
        return answer

    async def query_outcome(self, call: services.Call, sender: str):
        del sender
        await asyncio.sleep(0.01)
        if self._source.random() < self.lose_answer_rate:
            raise exceptions.ServiceError("no response; ask again")
        self._fences[call.key] = max(call.fence, self._fences.get(call.key, 0))
        return self._answers.get(call.key)


class Gate:
    """Blocks the calls of an entry while the entry is paused."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    def pause(self) -> None:
        self._open.clear()

    def resume(self) -> None:
        self._open.set()

    async def wait(self) -> None:
        await self._open.wait()


class GatedStore:
    """The store as seen by an entry that may be paused."""

    def __init__(self, store: FakeStore, gate: Gate):
        self._store = store
        self._gate = gate

    async def get(self, kind, name):
        await self._gate.wait()
        stored = await self._store.get(kind, name)
        await self._gate.wait()
        return stored

    async def put(self, kind, name, value, expected_version):
        await self._gate.wait()
        version = await self._store.put(kind, name, value, expected_version)
        await self._gate.wait()
        return version


class GatedService:
    """The service as seen by an entry that may be paused."""

    def __init__(self, service: FakeService, gate: Gate, sender: str):
        self._service = service
        self._gate = gate
        self._sender = sender

    async def call(self, call):
        await self._gate.wait()
        answer = await self._service.call(call, self._sender)
        await self._gate.wait()
        return answer

    async def query_outcome(self, call):
        await self._gate.wait()
        answer = await self._service.query_outcome(call, self._sender)
        await self._gate.wait()
        return answer
