"""Streams of plain services over loopback connections."""

import asyncio
import contextlib

import aiohttp
import pytest

from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import fake_upstreams
from fuchsiabarrow.platform.tests import sample_objects

EVENTS = 8
CUT_AT = 4
# Between the halves of an event, and between events.
PAUSE_S = 0.02
ROUTES = [
    *entry_harness.ROUTES,
    sample_objects.make_route(
        name="notes", path_prefix="/notes/", service="notes"
    ),
    sample_objects.make_route(
        name="once", path_prefix="/once/", service="notes", resumable=False
    ),
]


class StreamUpstream:
    """Streams events in halves; the end of the connection ends the answer.

    Attributes:
        name: Instance id.
        cuts: Whether it closes its next stream inside an event.
        last_ids: Event after which each request resumes, in order.
    """

    def __init__(self, name: str):
        self.name = name
        self.cuts = False
        self.last_ids: list[str] = []
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def __aenter__(self) -> "StreamUpstream":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *details) -> None:
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            pairs = (line.partition(":") for line in head.split("\r\n")[1:])
            headers = {name.lower(): text.strip() for name, _, text in pairs}
            last_id = headers.get(wire_names.LAST_EVENT_ID.lower(), "")
            self.last_ids.append(last_id)
            await self._stream(
                writer,
                headers[wire_names.ATTEMPT_ID.lower()],
                int(last_id or 0) + 1,
            )
        writer.close()

    async def _stream(self, writer, request_id: str, first: int) -> None:
        writer.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"{wire_names.ATTEMPT_ID}: {request_id}\r\n"
                f"{wire_names.SEAL}: {fake_upstreams.SEAL}\r\n\r\n"
            ).encode()
        )
        cuts, self.cuts = self.cuts, False
        for number in range(first, EVENTS + 1):
            writer.write(b"id: %d\ndata: to" % number)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            if cuts and number == CUT_AT:
                return
            writer.write(b"ken %d\n\n" % number)
            await writer.drain()
            await asyncio.sleep(PAUSE_S)


def make_events(first: int, end: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: token %d\n\n" % (n, n) for n in range(first, end)
    )


def play(test):
    """Runs a test on an entry and two upstreams of a plain service."""

    async def main():
        async with contextlib.AsyncExitStack() as stack:
            enter = stack.enter_async_context
            harness = await enter(entry_harness.EntryHarness())
            streaming = [
                await enter(StreamUpstream(f"notes-{n}")) for n in range(2)
            ]
            for upstream in streaming:
                await harness.store.put(
                    "servers",
                    upstream.name,
                    sample_objects.make_server(
                        service="notes",
                        address=upstream.address,
                        kind=None,
                        layers=None,
                    ),
                )
            config = sample_objects.make_config(version=8, routes=ROUTES)
            config["services"].append(
                {"name": "notes", "health_path": "/", "max_conns": 48}
            )
            await harness.store.put("config", "main", config)
            kernel = harness.entry.kernel
            await harness.wait(
                lambda: (
                    kernel.get("current_catalog").catalog.version == 8
                    and len(kernel.get("directory").get_all()) == 6
                    # Before, the entry has no retry budget.
                    and kernel.get("load_reports").count_quota_shares() == 1
                ),
                limit_s=20.0,
            )
            return await test(harness, streaming)

    return asyncio.run(main())


# The whole stream arrived at its end (first to last byte 0.00 s).
def test_events_of_a_plain_service_arrive_one_by_one():
    async def test(harness, streaming):
        loop = asyncio.get_running_loop()
        times_s = []
        async with harness.call("/notes/x", "POST", data=b"x") as response:
            async for _ in response.content.iter_any():
                times_s.append(loop.time())
        return times_s

    times_s = play(test)
    assert len(times_s) >= EVENTS // 2
    assert times_s[-1] - times_s[0] > EVENTS * PAUSE_S


# A killed upstream's half of an event was the end of a complete answer.
def test_stream_of_a_plain_service_cut_inside_an_event_goes_on_elsewhere():
    async def test(harness, streaming):
        for upstream in streaming:
            upstream.cuts = True
        reading = asyncio.create_task(
            harness.fetch("/notes/x", "POST", data=b"x")
        )
        await harness.wait(lambda: any(u.last_ids for u in streaming))
        for upstream in streaming:
            if not upstream.last_ids:
                upstream.cuts = False
        status, _, body = await reading
        return status, body, sorted(u.last_ids for u in streaming)

    status, body, last_ids = play(test)
    assert status == 200
    assert body == make_events(1, EVENTS + 1)
    assert last_ids == [[""], [str(CUT_AT - 1)]]


def test_cut_stream_that_may_run_once_does_not_look_complete():
    async def test(harness, streaming):
        for upstream in streaming:
            upstream.cuts = True
        body = b""
        with pytest.raises(aiohttp.ClientPayloadError):
            async with harness.call("/once/x", "POST", data=b"x") as response:
                async for data in response.content.iter_any():
                    body += data
        return body, sum(len(u.last_ids) for u in streaming)

    body, runs = play(test)
    assert body == make_events(1, CUT_AT)
    assert runs == 1
