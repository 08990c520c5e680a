"""Unusual use of connections by callers and upstreams."""

import asyncio
import socket

from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import entry_harness

STREAM_REQUEST = (
    "POST /draft/x HTTP/1.1\r\n"
    f"Host: {entry_harness.HOST}\r\n"
    f"{wire_names.ATTEMPT_ID}: slow\r\n"
    f"{wire_names.AUTHORIZATION}: Token key-1\r\n"
    f"{wire_names.DEADLINE_MS}: 20000\r\n"
    f"{wire_names.TOKEN_COUNTS}: 800,60\r\n"
    f"{wire_names.LENGTH_HINT}: 60\r\n"
    "Content-Length: 1\r\n\r\np"
)
SMALL_BUFFER_BYTES = 4096


def run(test):
    async def main():
        async with entry_harness.EntryHarness() as harness:
            return await test(harness)

    return asyncio.run(main())


async def read_to_end(sock: socket.socket, is_complete) -> bytes:
    loop = asyncio.get_running_loop()
    received = b""
    async with asyncio.timeout(10.0):
        while not is_complete(received):
            data = await loop.sock_recv(sock, 65_536)
            assert data, "connection closed before the end of the response"
            received += data
    return received


def test_slow_reader_gets_complete_stream_without_delaying_others():
    async def test(harness):
        left = harness.upstreams["left"]
        left.event_count, left.gap_s, left.padding = 400, 0.0, 8000
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", harness.ports[0]))
            await loop.sock_sendall(sock, STREAM_REQUEST.encode())
            # Long enough for the upstream to count as silent if the slow
            # reading of the caller were mistaken for a silent upstream.
            for _ in range(4):
                await asyncio.sleep(0.4)
                began_s = loop.time()
                status, _, _ = await harness.fetch("/read/x")
                assert status == 200
                assert loop.time() - began_s < 0.3
            received = await read_to_end(
                sock, lambda data: data.endswith(b"0\r\n\r\n")
            )
        assert received.count(b"id: ") == 400
        assert [run[0] for run in left.runs] == ["slow"]
        assert not harness.entry.kernel.get("directory").get_shared_failures()

    run(test)


def test_disconnect_of_slow_reader_cancels_its_request():
    async def test(harness):
        left = harness.upstreams["left"]
        left.event_count, left.gap_s, left.padding = 4000, 0.0, 8000
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", harness.ports[0]))
            await loop.sock_sendall(sock, STREAM_REQUEST.encode())
            await harness.wait(lambda: left.runs)
            await asyncio.sleep(0.5)
        await harness.wait(lambda: left.cancelled, 0.5)

    run(test)


def test_upstream_that_closes_after_each_response_stays_in_use():
    async def test(harness):
        for name in ("desk-1", "desk-2"):
            harness.upstreams[name].closes = True
        for number in range(10):
            status, _, body = await harness.fetch(
                "/book/x", "POST", data=b"%d" % number
            )
            assert status == 200
            assert body.endswith(b":b'%d'" % number)
        runs = (
            harness.upstreams["desk-1"].runs + harness.upstreams["desk-2"].runs
        )
        assert len(runs) == 10

    run(test)


def test_connection_close_is_honoured_after_complete_response():
    async def test(harness):
        request = (
            f"GET /open/x HTTP/1.1\r\nHost: {entry_harness.HOST}\r\n"
            f"{wire_names.ATTEMPT_ID}: one\r\n"
            f"{wire_names.DEADLINE_MS}: 2000\r\n"
            "Connection: close\r\n\r\n"
        )
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.ports[0]
        )
        writer.write(request.encode())
        async with asyncio.timeout(2.0):
            answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        )
        assert len(body) == length

    run(test)


def test_pipelined_requests_are_answered_in_order():
    async def test(harness):
        request = (
            f"GET /open/%s HTTP/1.1\r\nHost: {entry_harness.HOST}\r\n"
            f"{wire_names.ATTEMPT_ID}: %s\r\n"
            f"{wire_names.DEADLINE_MS}: 2000\r\n"
            "\r\n"
        )
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", harness.ports[0]
        )
        ids = ["a", "b", "c"]
        writer.write("".join(request % (i, i) for i in ids).encode())
        received = b""
        async with asyncio.timeout(3.0):
            while received.count(b"HTTP/1.1 200") < len(ids):
                received += await reader.read(65_536)
        writer.close()
        found = [
            received.find(f"{wire_names.ATTEMPT_ID}: {i}\r\n".encode())
            for i in ids
        ]
        assert -1 not in found
        assert found == sorted(found)

    run(test)


# Guards against the end of a process that still holds a part of an answer, as
# its handler has ended.
def test_shutdown_waits_until_a_slow_caller_has_the_whole_answer(monkeypatch):
    monkeypatch.setattr(forwarding_entry, "DEREGISTRATION_DELAY_S", 0.1)
    body = b"x" * 60_000

    async def test(harness):
        loop = asyncio.get_running_loop()
        kernel = harness.entry.kernel
        server = kernel.get("frontend_listener")._server
        with socket.socket() as sock:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
            )
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", harness.ports[0]))
            await harness.wait(lambda: server.connections)
            (connection,) = server.connections
            transport = connection.transport
            transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES
            )
            await loop.sock_sendall(
                sock,
                (
                    f"POST /open/x HTTP/1.1\r\nHost: {entry_harness.HOST}\r\n"
                    f"{wire_names.ATTEMPT_ID}: slow\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n"
                ).encode()
                + body,
            )
            busy = kernel.get("frontend").busy_connections
            await harness.wait(
                lambda: transport.get_write_buffer_size() and not busy
            )
            draining = asyncio.create_task(harness.entry.drain())
            await asyncio.sleep(1.0)
            assert not draining.done()
            received = await read_to_end(sock, lambda data: body in data)
            await asyncio.wait_for(draining, 2.0)
        return received

    assert run(test).startswith(b"HTTP/1.1 200")
