import asyncio
import contextlib
import errno
import random
import socket
import struct
import threading
import time

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import links
from fuchsiabarrow.utils import loops

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
FRAMED = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nbody\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nbody"


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


class ScriptedUpstream:
    """Runs the same script on each connection.

    A step is ``"request"`` (reads a request), bytes to send, a pause in seconds
    or ``"reset"``. At the end of the script the connection is closed.
    """

    def __init__(self, *script):
        self.script = script
        self.accepted = 0

    async def serve(self, reader, writer):
        self.accepted += 1
        for step in self.script:
            if step == "request":
                await reader.readuntil(b"\r\n\r\n")
            elif step == "reset":
                await asyncio.sleep(0)
                reset(writer)
                return
            elif isinstance(step, bytes):
                writer.write(step)
                await writer.drain()
            else:
                await asyncio.sleep(step)
        writer.close()


@contextlib.asynccontextmanager
async def open_pool(*script):
    upstream = ScriptedUpstream(*script)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with connection_pools.ConnectionPool(0.5) as pool:
        yield pool, f"{host}:{port}", upstream
    server.close()


async def exchange(pool, address) -> bytes:
    connection = await pool.open(address)
    async with connection:
        connection.send(REQUEST)
        await connection.read_head()
        return await connection.read_body(1000)


@pytest.mark.parametrize("answer", [FRAMED, CHUNKED, UNFRAMED])
def test_complete_response_is_read(answer):
    async def run():
        async with open_pool("request", answer) as (pool, address, _):
            return await exchange(pool, address)

    assert loops.run(run()) == b"body"


@pytest.mark.parametrize(
    "script",
    [
        (FRAMED[:-1],),
        (CHUNKED[:-5],),
        (CHUNKED[:-8],),
        (FRAMED[:10],),
        (),
        (b"garbage\r\n\r\n",),
        (UNFRAMED, "reset"),
        (UNFRAMED, 0.05, "reset"),
        (UNFRAMED[:-2], 0.01, b"dy", "reset"),
        (FRAMED[:-1], "reset"),
        ("reset",),
    ],
)
def test_truncated_response_raises_upstream_lost(script):
    async def run():
        async with open_pool("request", *script) as (pool, address, _):
            await exchange(pool, address)

    with pytest.raises(exceptions.UpstreamResponseLostError):
        loops.run(run())


@pytest.mark.parametrize("answer", [UNFRAMED, UNFRAMED[:-2]])
def test_reset_received_with_the_last_bytes_raises_upstream_lost(answer):
    # Blocks the event loop while the last bytes and the reset arrive, so that
    # one read finds both.
    listening = socket.create_server(("127.0.0.1", 0))

    def answer_and_reset():
        accepted, _ = listening.accept()
        accepted.recv(1000)
        accepted.sendall(answer)
        time.sleep(0.02)
        accepted.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        accepted.close()

    async def run():
        host, port = listening.getsockname()
        async with connection_pools.ConnectionPool(0.5) as pool:
            connection = await pool.open(f"{host}:{port}")
            async with connection:
                connection.send(REQUEST)
                time.sleep(0.2)
                await connection.read_head()
                await connection.read_body(1000)

    thread = threading.Thread(target=answer_and_reset)
    thread.start()
    with listening, pytest.raises(exceptions.UpstreamResponseLostError):
        loops.run(run())
    thread.join()


class EofTransport(asyncio.Transport):
    """Has a pending socket error, as after libuv reports a reset as EOF."""

    def __init__(self, pending_error: int):
        super().__init__()
        self._pending_error = pending_error
        self._is_closed = False

    def get_extra_info(self, name, default=None):
        return self if name == "socket" else default

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = socket.IPPROTO_TCP

    def setsockopt(self, *details) -> None:
        pass

    def getsockopt(self, level: int, option: int) -> int:
        assert (level, option) == (socket.SOL_SOCKET, socket.SO_ERROR)
        return self._pending_error

    def is_closing(self) -> bool:
        return self._is_closed

    def write(self, data: bytes) -> None:
        pass

    def close(self) -> None:
        self._is_closed = True

    abort = close


@pytest.mark.parametrize(
    ("pending_error", "is_lost"), [(0, False), (errno.ECONNRESET, True)]
)
def test_eof_with_a_pending_socket_error_raises_upstream_lost(
    pending_error, is_lost
):
    async def run():
        loop = asyncio.get_running_loop()
        protocol = connections.make_protocol(loop)
        protocol.connection_made(EofTransport(pending_error))
        pool = connection_pools.ConnectionPool(0.5)
        connection = connections.Connection(
            pool.release, "x:1", protocol, False
        )
        connection.send(REQUEST)
        protocol.data_received(UNFRAMED)
        protocol.eof_received()
        protocol.connection_lost(None)
        await connection.read_head()
        return await connection.read_body(1000)

    if is_lost:
        with pytest.raises(exceptions.UpstreamResponseLostError):
            loops.run(run())
    else:
        assert loops.run(run()) == b"body"


def test_closed_port_is_unreachable():
    async def run():
        async with connection_pools.ConnectionPool(0.5) as pool:
            await pool.open("127.0.0.1:1")

    with pytest.raises(exceptions.UpstreamUnreachableError):
        loops.run(run())


# Guards against failures of different kinds that read the same in the log.
def test_refusal_reset_and_hang_are_told_apart():
    async def fail(pool, address):
        with pytest.raises(exceptions.UpstreamError) as failure:
            await exchange(pool, address)
        return str(failure.value)

    async def run():
        async with connection_pools.ConnectionPool(0.5) as pool:
            refused = await fail(pool, "127.0.0.1:1")
        async with open_pool("request", "reset") as (pool, address, _):
            reset_before_head = await fail(pool, address)
        script = ("request", UNFRAMED, 0.05, "reset")
        async with open_pool(*script) as (pool, address, _):
            reset_in_body = await fail(pool, address)
        async with open_pool("request") as (pool, address, _):
            closed = await fail(pool, address)
        with socket.create_server(("127.0.0.1", 0), backlog=0) as full:
            # Connections beyond the backlog hang.
            port = full.getsockname()[1]
            with contextlib.ExitStack() as stack:
                for _ in range(4):
                    client = stack.enter_context(socket.socket())
                    client.setblocking(False)
                    client.connect_ex(("127.0.0.1", port))
                async with connection_pools.ConnectionPool(0.1) as pool:
                    hung = await fail(pool, f"127.0.0.1:{port}")
        return refused, reset_before_head, reset_in_body, closed, hung

    refused, reset_before_head, reset_in_body, closed, hung = loops.run(run())
    assert "cannot connect (ConnectionRefusedError ECONNREFUSED)" in refused
    assert "no response (ClientOSError ECONNRESET)" in reset_before_head
    assert "early (ClientPayloadError ECONNRESET)" in reset_in_body
    assert "no response (ServerDisconnectedError)" in closed
    assert "cannot connect (TimeoutError)" in hung


def test_connection_is_reused_after_a_complete_response():
    script = ("request", FRAMED, "request", FRAMED, 1.0)

    async def run():
        async with open_pool(*script) as (pool, address, upstream):
            await exchange(pool, address)
            await exchange(pool, address)
            return upstream.accepted

    assert loops.run(run()) == 1


@pytest.mark.parametrize("extra", [FRAMED, b"stray"])
@pytest.mark.parametrize("delay_s", [0.0, 0.02])
def test_connection_with_extra_bytes_after_a_response_is_not_reused(
    extra, delay_s
):
    script = ("request", FRAMED, delay_s, extra, "request", FRAMED, 1.0)

    async def run():
        async with open_pool(*script) as (pool, address, upstream):
            await exchange(pool, address)
            await asyncio.sleep(0.05)
            await exchange(pool, address)
            return upstream.accepted

    assert loops.run(run()) == 2


def make_interim(count: int) -> bytes:
    return b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" * count


# Guards against 000 and 099 taken for interim responses, after which the entry
# waited until its time limit, and against 600 and 999 that reached callers.
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
def test_undefined_status_is_a_broken_answer_at_once(status):
    async def run():
        answer = FRAMED.replace(b"200", status)
        async with open_pool("request", answer, "request", FRAMED) as (
            pool,
            address,
            upstream,
        ):
            async with asyncio.timeout(2.0):
                with pytest.raises(
                    exceptions.UpstreamResponseLostError,
                    match=f"status {int(status)}",
                ):
                    await exchange(pool, address)
                # The connection must not be used again.
                with pytest.raises(exceptions.UpstreamResponseLostError):
                    await exchange(pool, address)
            return upstream.accepted

    assert loops.run(run()) == 2


# Guards against an upstream that is alive only by interim responses.
@pytest.mark.parametrize(("count", "is_broken"), [(16, False), (17, True)])
def test_number_of_interim_responses_is_bounded(count, is_broken):
    async def run():
        script = ("request", make_interim(count), 5.0, FRAMED)
        if not is_broken:
            script = ("request", make_interim(count), FRAMED)
        async with open_pool(*script) as (pool, address, _):
            async with asyncio.timeout(2.0):
                return await exchange(pool, address)

    if is_broken:
        with pytest.raises(
            exceptions.UpstreamResponseLostError, match="interim"
        ):
            loops.run(run())
    else:
        assert loops.run(run()) == b"body"


# Guards against a time limit that begins anew with each interim response.
def test_interim_responses_do_not_extend_a_time_limit():
    async def run():
        steps = [make_interim(1), 0.1] * 15
        async with open_pool("request", *steps) as (pool, address, _):
            async with asyncio.timeout(0.3):
                await exchange(pool, address)

    with pytest.raises(TimeoutError):
        loops.run(run())


def test_disconnect_fails_a_pending_read():
    async def run():
        async with open_pool("request", UNFRAMED, 5.0) as (pool, address, _):
            connection = await pool.open(address)
            async with connection:
                connection.send(REQUEST)
                await connection.read_head()
                assert await connection.read_chunk() == b"body"
                loop = asyncio.get_running_loop()
                loop.call_later(0.02, connection.disconnect, "enough")
                await connection.read_chunk()

    with pytest.raises(exceptions.UpstreamResponseLostError, match="early"):
        loops.run(run())


def test_body_over_the_limit_raises_upstream_lost():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000

    async def run():
        async with open_pool("request", answer) as (pool, address, _):
            await exchange(pool, address)

    with pytest.raises(exceptions.UpstreamResponseLostError, match="over"):
        loops.run(run())


class RecordedTunnels:
    """Records for which upstreams other entries are asked; none reaches any."""

    def __init__(self):
        self.asked: list[str] = []

    async def open(self, address, make_protocol, timeout_s):
        self.asked.append(address)
        raise exceptions.NoHelperError(address)

    def is_available(self, helper):
        return False


# Two entries that both lost their links would ask each other without end.
def test_connection_for_another_entry_is_never_opened_through_a_third_one():
    async def run():
        loop = asyncio.get_running_loop()
        table = links.LinkTable(loop.time, random.Random(1))
        tunnels = RecordedTunnels()
        async with connection_pools.ConnectionPool(1.0, table, tunnels) as pool:
            address = find_closed_address()
            table.record_unreachable(address)
            table.record_cut(address)
            with pytest.raises(exceptions.UpstreamUnreachableError):
                await pool.connect_directly(address, asyncio.Protocol, 1.0)
            assert tunnels.asked == []
            with pytest.raises(exceptions.UpstreamUnreachableError):
                await pool.open(address)
            assert tunnels.asked == [address]

    loops.run(run())


def find_closed_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


class SlowTunnels:
    """Opens no connection."""

    async def open(self, address, make_protocol, timeout_s):
        await asyncio.sleep(timeout_s)
        raise exceptions.NoHelperError("no answer")

    def is_available(self, helper):
        return True


# Guards against a caller's connection that is closed without a word, as another
# part cancelled the task that opens a connection to the upstream.
@pytest.mark.parametrize("cancels_before_direct", [True, False])
def test_cancelled_attempts_to_connect_are_unreachable(cancels_before_direct):
    async def run():
        loop = asyncio.get_running_loop()
        table = links.LinkTable(loop.time, random.Random(1))
        async with connection_pools.ConnectionPool(
            5.0, table, SlowTunnels()
        ) as pool:

            async def hang(address, timeout_s):
                await asyncio.sleep(60.0)

            pool._connect = hang
            table.get_state = lambda _: links.LinkState.DOUBTFUL
            opening = asyncio.create_task(pool.open("10.0.0.1:80"))
            delay_s = connection_pools.TUNNEL_DELAY_S
            await asyncio.sleep(delay_s * (0.5 if cancels_before_direct else 2))
            for task in list(pool._attempts):
                task.cancel()
            async with asyncio.timeout(2.0):
                await asyncio.wait({opening})
            assert not opening.cancelled()
            opening.result()

    with pytest.raises(exceptions.UpstreamUnreachableError):
        loops.run(run())
