import asyncio
import random

import logbook
import pytest

from fuchsiabarrow.peers import summaries
from fuchsiabarrow.peers import tunnels
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness
from fuchsiabarrow.platform.tests import sample_objects

GRACE_S = 2.0
LARGE_BODY = b"x" * 4_000_000
GENERATION = {wire_names.TOKEN_COUNTS: "800,60"}
# A time limit that ends after any shutdown here.
LONG_ROUTES = [
    {**route, "timeout_ms": 20_000} for route in entry_harness.ROUTES
]


class Caller:
    """One request on a connection of its own.

    Attributes:
        reader: Reads what the entry answers.
        writer: Writes to the entry.
    """

    def __init__(self, harness, request_id: str):
        self._harness = harness
        self._request_id = request_id
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        length: int | None = None,
        headers=(),
    ) -> None:
        """Sends a request; its body is incomplete if ``length`` says more."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self._harness.ports[0], limit=2**14
            )
        fields = {
            "Host": entry_harness.HOST,
            wire_names.ATTEMPT_ID: self._request_id,
            wire_names.AUTHORIZATION: "Token key-1",
            wire_names.DEADLINE_MS: "20000",
            "Content-Length": len(body) if length is None else length,
            **dict(headers),
        }
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        self.writer.write(head.encode() + b"\r\n" + body)
        await self.writer.drain()

    async def read_rest(self) -> bytes:
        """Returns what arrives until the entry closes the connection."""
        received = b""
        try:
            while data := await self.reader.read(2**20):
                received += data
        except ConnectionResetError:
            pass  # A cut as well.
        return received


async def use_long_limits(harness) -> None:
    config = sample_objects.make_config(
        8,
        routes=LONG_ROUTES,
        limits={
            **sample_objects.make_config()["limits"],
            "max_body_bytes": 2 * len(LARGE_BODY),
        },
    )
    await harness.store.put("config", "main", config)
    current_catalog = harness.entry.kernel.get("current_catalog")
    await harness.wait(lambda: current_catalog.catalog.version == 8)


async def send_plain(harness, caller, path: str) -> None:
    for name in ("desk-1", "desk-2"):
        harness.upstreams[name].delay_s = 60.0
    await caller.send("POST", path)
    await harness.wait(lambda: count_runs(harness, "desk-1", "desk-2"))


async def send_idempotent(harness, caller) -> None:
    await send_plain(harness, caller, "/read/x")


async def send_once(harness, caller) -> None:
    await send_plain(harness, caller, "/book/x")


async def send_half_a_body(harness, caller) -> None:
    await caller.send("POST", "/book/x", b"half", length=100)


async def send_silent_stream(harness, caller) -> None:
    harness.upstreams["left"].gap_s = 60.0
    await caller.send("POST", "/draft/x", headers=GENERATION)
    await harness.wait(lambda: count_runs(harness, "left"))


async def begin_stream(harness, caller) -> None:
    left = harness.upstreams["left"]
    left.event_count, left.gap_s = 100_000, 0.01
    await caller.send("POST", "/draft/x", headers=GENERATION)
    await caller.reader.readuntil(b"id: 1\n")


async def begin_hanging_stream(harness, caller) -> None:
    await begin_stream(harness, caller)
    harness.upstreams["left"].gap_s = 60.0


async def begin_stream_that_loses_its_path(harness, caller) -> None:
    await begin_stream(harness, caller)
    await harness.store.remove("servers", "left")
    directory = harness.entry.kernel.get("directory")
    await harness.wait(lambda: directory.get("left") is None)
    harness.upstreams["left"].cut()


async def leave_large_answer_unread(harness, caller) -> None:
    await caller.send("POST", "/read/x", LARGE_BODY)
    # The entry waits then for its caller to read.
    await caller.reader.readuntil(b"\r\n\r\n")


async def leave_sent_answer_unread(harness, caller) -> None:
    """The entry has passed the whole answer on, but not to the kernel."""
    await caller.send("GET", "/none/x")
    await caller.reader.readuntil(b"\r\n\r\n")
    (connection,) = harness.entry.kernel.get("frontend_listener").connections
    connection.transport.set_write_buffer_limits(4 * len(LARGE_BODY))
    await caller.send("POST", "/read/x", LARGE_BODY)
    await harness.wait(lambda: connection.transport.get_write_buffer_size() > 0)
    await harness.wait(
        lambda: not harness.entry.kernel.get("frontend").busy_connections
    )


def count_runs(harness, *names: str) -> int:
    return sum(len(harness.upstreams[name].runs) for name in names)


NOT_RUN = b"503"
MAY_HAVE_RUN = b"504"
CUT = None
ENDS = {
    send_idempotent: MAY_HAVE_RUN,
    send_once: MAY_HAVE_RUN,
    send_half_a_body: NOT_RUN,
    send_silent_stream: MAY_HAVE_RUN,
    begin_hanging_stream: CUT,
    begin_stream_that_loses_its_path: CUT,
    leave_large_answer_unread: CUT,
}


async def stop(harness) -> float:
    """Stops the entry as its process does; returns how long that took."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    await harness.entry.drain()
    await harness.entry.__aexit__(None, None, None)
    return loop.time() - began_s


def run_stop(prepare, grace_s: float = GRACE_S):
    """Stops an entry with requests; returns what callers got, time, log.

    Args:
        prepare: Functions that each send a request, by its id.
        grace_s: Grace period of the entry.
    """

    async def main():
        async with entry_harness.EntryHarness(grace_s=grace_s) as harness:
            await use_long_limits(harness)
            callers = {name: Caller(harness, name) for name in prepare}
            for name, begin in prepare.items():
                await begin(harness, callers[name])
            took_s = await stop(harness)
            async with asyncio.timeout(3.0):
                received = {
                    name: await caller.read_rest()
                    for name, caller in callers.items()
                }
            for caller in callers.values():
                caller.writer.close()
            return received, took_s

    with logbook.TestHandler() as handler:
        received, took_s = asyncio.run(main())
    return received, took_s, [record.message for record in handler.records]


def check_end(begin, received: bytes, lines: list[str], name: str) -> None:
    """Checks what one caller got, and that the log tells of it."""
    expected = ENDS[begin]
    if expected is CUT:
        (line,) = find_lines(lines, "connection_closed", name)
        assert "cause=shutdown_limit" in line
        assert "is_started=True" in line
        assert not received.endswith(b"0\r\n\r\n")
        assert len(received) < len(LARGE_BODY)
        return
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.split()[1] == expected
    assert b"Connection: close" in head
    assert f"Content-Length: {len(body)}".encode() in head
    is_not_run = expected == NOT_RUN
    assert (wire_names.RETRY_AFTER.encode() in head) == is_not_run
    (line,) = find_lines(lines, "refused", name)
    assert "reason=stopping" in line
    assert f"is_not_run={is_not_run}" in line


def find_lines(lines: list[str], event: str, request_id: str) -> list[str]:
    prefix = f"event={event} request_id={request_id} "
    return [line for line in lines if line.startswith(prefix)]


# Guards against an entry that is killed before it tells its callers anything.
@pytest.mark.parametrize("begin", ENDS)
def test_request_that_runs_at_the_limit_is_ended_within_the_grace_period(begin):
    received, took_s, lines = run_stop({"r1": begin})
    assert took_s < GRACE_S
    check_end(begin, received["r1"], lines, "r1")
    (line,) = [line for line in lines if line.startswith("event=stopped ")]
    is_cut = ENDS[begin] is CUT
    assert f" refused={int(not is_cut)} cut={int(is_cut)}" in line


# Guards against waits that add up with the number of requests.
def test_requests_that_run_at_the_limit_are_all_ended_in_time():
    together = {
        f"r{i}": begin
        for i, begin in enumerate([*ENDS, *ENDS])
        # These change what the upstreams do for all streams.
        if begin not in (send_silent_stream, begin_stream_that_loses_its_path)
    }
    # An upstream that never answers would not answer this one either.
    together = dict(
        sorted(
            together.items(),
            key=lambda item: item[1] is not leave_large_answer_unread,
        )
    )
    received, took_s, lines = run_stop(together)
    assert took_s < GRACE_S
    for name, begin in together.items():
        check_end(begin, received[name], lines, name)
    (line,) = [line for line in lines if line.startswith("event=stopped ")]
    assert " refused=6 cut=4" in line


# Guards against the end of an answer that is lost as the process exits.
def test_shutdown_waits_until_answers_are_sent():
    async def main():
        async with entry_harness.EntryHarness(grace_s=5.0) as harness:
            await use_long_limits(harness)
            caller = Caller(harness, "r1")
            await leave_sent_answer_unread(harness, caller)
            stopping = asyncio.create_task(harness.entry.drain())
            await asyncio.sleep(3.6)
            assert not stopping.done()
            received = await caller.read_rest()
            await stopping
            caller.writer.close()
            return received

    with logbook.TestHandler() as handler:
        received = asyncio.run(main())
    assert received.endswith(LARGE_BODY + b"'")
    lines = [record.message for record in handler.records]
    assert not any("event=connection_closed" in line for line in lines)
    assert any(" refused=0 cut=0" in line for line in lines)


# Guards against an answer that is cut after its handler has ended, unnoticed.
def test_answer_that_its_caller_leaves_unread_is_logged_as_cut():
    received, took_s, lines = run_stop({"r1": leave_sent_answer_unread})
    assert took_s < GRACE_S
    (line,) = find_lines(lines, "connection_closed", "r1")
    assert "cause=shutdown_limit" in line
    assert len(received) < len(LARGE_BODY)
    assert any(" refused=0 cut=1" in line for line in lines)


# Guards against another entry that learns only by the exit that a tunnel ends.
def test_tunnels_are_closed_at_the_limit():
    async def main():
        async with entry_harness.EntryHarness(grace_s=GRACE_S) as harness:
            server = await harness.entry.kernel.add(
                "tunnel_server",
                tunnels.TunnelServer(
                    "127.0.0.1:0",
                    lambda: True,
                    lambda _: True,
                    harness.entry.kernel.get(
                        "connection_pool"
                    ).connect_directly,
                ),
            )
            helper = summaries.Helper(0.0, server.address, "a", server.token)
            ended = asyncio.get_running_loop().create_future()

            class Protocol(asyncio.Protocol):
                def connection_lost(self, exc):
                    ended.set_result(exc)

            client = tunnels.TunnelClient(
                "a", lambda: [helper], random.Random(1)
            )
            await client.open(harness.upstreams["left"].address, Protocol, 1.0)
            await harness.entry.drain()
            async with asyncio.timeout(0.1):
                return await ended

    with logbook.TestHandler() as handler:
        assert isinstance(asyncio.run(main()), ConnectionResetError)
    lines = [record.message for record in handler.records]
    assert any(" cut=0 tunnels=1" in line for line in lines)
