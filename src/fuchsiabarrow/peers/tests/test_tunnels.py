"""Tests of tunnels through another entry, on loopback."""

import asyncio
import contextlib
import random
import socket
import struct

import pytest

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import documents
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.peers import tunnels

TIMEOUT_S = 2.0
PART_BYTES = 65_536


class Recorder(asyncio.Protocol):
    """Records what happens on a connection."""

    def __init__(self):
        self.transport = None
        self.received = bytearray()
        self.has_eof = False
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.has_eof = True

    def connection_lost(self, exc):
        self.ended.set_result(exc)

    async def wait_for_bytes(self, count: int) -> bytes:
        async with asyncio.timeout(5.0):
            while len(self.received) < count:
                await asyncio.sleep(0.005)
        return bytes(self.received)


async def connect(address, make_protocol, timeout_s):
    loop = asyncio.get_running_loop()
    try:
        _, protocol = await loop.create_connection(
            make_protocol, *address.split(":")
        )
    except OSError:
        raise exceptions.UpstreamUnreachableError(address) from None
    return protocol


class Setting:
    """An upstream, an entry that helps, and a client that uses it.

    Attributes:
        upstreams: Connections that the upstream accepted, in order.
        known: Addresses to which the entry that helps may connect.
        helpers: Entries that the client may ask.
    """

    def __init__(self):
        self.stack = contextlib.AsyncExitStack()
        self.upstreams: list[Recorder] = []
        self.known: set[str] = set()
        self.helpers: list[summaries.Helper] = []

    async def __aenter__(self):
        loop = asyncio.get_running_loop()

        def accept():
            self.upstreams.append(Recorder())
            return self.upstreams[-1]

        self.upstream_server = await loop.create_server(accept, "127.0.0.1", 0)
        self.stack.callback(self.upstream_server.close)
        port = self.upstream_server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.known.add(self.address)
        self.server = await self.start_helper()
        self.client = tunnels.TunnelClient(
            "a", lambda: list(self.helpers), random.Random(1)
        )
        return self

    async def __aexit__(self, *details):
        await self.stack.aclose()

    async def start_helper(self, domain: str = "a") -> tunnels.TunnelServer:
        server = tunnels.TunnelServer(
            "127.0.0.1:0", lambda: True, self.known.__contains__, connect
        )
        await self.stack.enter_async_context(server)
        self.helpers.append(
            summaries.Helper(0.0, server.address, domain, server.token)
        )
        return server

    async def open(self, address: str | None = None) -> Recorder:
        protocol, _ = await self.client.open(
            address or self.address, Recorder, TIMEOUT_S
        )
        return protocol


def run(main):
    async def run_with_setting():
        async with Setting() as setting:
            async with asyncio.timeout(10.0):
                return await main(setting)

    return asyncio.run(run_with_setting())


def test_bytes_pass_in_both_directions():
    async def main(setting):
        protocol = await setting.open()
        protocol.transport.write(b"x" * 300_000)
        upstream = setting.upstreams[0]
        assert await upstream.wait_for_bytes(300_000) == b"x" * 300_000
        upstream.transport.write(b"y" * 300_000)
        assert await protocol.wait_for_bytes(300_000) == b"y" * 300_000

    run(main)


def test_end_of_file_of_the_upstream_is_passed_on():
    async def main(setting):
        protocol = await setting.open()
        setting.upstreams[0].transport.write(b"whole")
        setting.upstreams[0].transport.close()
        assert await protocol.ended is None
        assert protocol.has_eof
        assert bytes(protocol.received) == b"whole"

    run(main)


@pytest.mark.parametrize("part", ["upstream", "helper"])
def test_reset_is_not_taken_for_an_end_of_file(part):
    # An answer without a length ends with its connection: if the entry that
    # helps is killed in the middle of it, it must not look complete.
    async def main(setting):
        protocol = await setting.open()
        setting.upstreams[0].transport.write(b"half")
        await protocol.wait_for_bytes(4)
        if part == "upstream":
            sock = setting.upstreams[0].transport.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)  # Resets the connection.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            setting.upstreams[0].transport.abort()
        else:
            for tunnel in list(setting.server._tunnels):
                tunnel.transport.close()
        assert isinstance(await protocol.ended, ConnectionError)
        assert not protocol.has_eof

    run(main)


def test_end_of_the_caller_side_ends_the_upstream_side():
    async def main(setting):
        protocol = await setting.open()
        protocol.transport.write(b"request")
        await setting.upstreams[0].wait_for_bytes(7)
        protocol.transport.abort()
        await asyncio.wait_for(setting.upstreams[0].ended, 0.5)
        assert setting.server.count() == 0

    run(main)


def test_unread_data_pauses_its_sender():
    async def main(setting):
        protocol = await setting.open()
        protocol.transport.pause_reading()
        upstream = setting.upstreams[0]
        paused = asyncio.Event()
        upstream.pause_writing = paused.set
        for _ in range(1000):
            if paused.is_set():
                break
            upstream.transport.write(b"z" * PART_BYTES)
            await asyncio.sleep(0.002)
        assert paused.is_set()
        protocol.transport.resume_reading()
        await protocol.wait_for_bytes(PART_BYTES)

    run(main)


def test_unreachable_upstream_is_told_from_a_missing_helper():
    async def main(setting):
        setting.upstream_server.close()
        await setting.upstream_server.wait_closed()
        with pytest.raises(exceptions.UpstreamUnreachableError) as dead:
            await setting.open()
        setting.helpers.clear()
        with pytest.raises(exceptions.NoHelperError):
            await setting.open()
        assert not isinstance(dead.value, exceptions.NoHelperError)

    run(main)


def refuse_by_token(setting):
    helper = setting.helpers[0]
    setting.helpers[0] = summaries.Helper(
        0.0, helper.address, helper.domain, helper.token ^ 1
    )


def refuse_by_upstream(setting):
    setting.known.clear()


def refuse_by_stop(setting):
    setting.server.is_stopping = True


@pytest.mark.parametrize(
    "refuse", [refuse_by_token, refuse_by_upstream, refuse_by_stop]
)
def test_tunnel_is_refused(refuse):
    # Without its token, which only entries know from load reports, an entry
    # connects nobody to an upstream.
    async def main(setting):
        refuse(setting)
        with pytest.raises(exceptions.NoHelperError):
            await setting.open()
        assert setting.upstreams == []

    run(main)


@pytest.mark.parametrize(
    "data",
    [b"\xff\xff", b"\x00\x03abc", b"\x00\x01\x90more", b"GET / HTTP/1.1"],
)
def test_other_bytes_are_refused(data):
    async def main(setting):
        loop = asyncio.get_running_loop()
        port = int(setting.server.address.rpartition(":")[2])
        _, protocol = await loop.create_connection(Recorder, "127.0.0.1", port)
        protocol.transport.write(data)
        await asyncio.wait_for(protocol.ended, 2.0)
        assert bytes(protocol.received) in (b"", b"\x02")
        assert setting.upstreams == []

    run(main)


def test_another_helper_is_asked_if_the_first_does_not_answer():
    async def main(setting):
        loop = asyncio.get_running_loop()
        silent = await loop.create_server(Recorder, "127.0.0.1", 0)
        setting.stack.callback(silent.close)
        port = silent.sockets[0].getsockname()[1]
        setting.helpers.append(
            summaries.Helper(0.0, f"127.0.0.1:{port}", "a", 1)
        )
        # Helpers are asked in a random order; one that failed is left out then.
        for _ in range(6):
            await setting.client.open(setting.address, Recorder, 0.4)
        assert len(setting.upstreams) == 6

    run(main)


def test_helper_of_the_own_failure_domain_comes_first():
    async def main(setting):
        await setting.start_helper("b")
        for _ in range(10):
            _, helper = await setting.client.open(
                setting.address, Recorder, TIMEOUT_S
            )
            assert helper == setting.server.address

    run(main)


def test_caller_that_leaves_during_an_upload_is_noticed():
    # The entry that helps does not read from the tunnel while the upstream does
    # not read the body, and an upstream may be at work before it has read it.
    async def main(setting):
        protocol = await setting.open()
        upstream = setting.upstreams[0]
        upstream.transport.pause_reading()
        protocol.transport.write(
            b"z" * documents.RequestLimits().max_body_bytes
        )
        await asyncio.sleep(0.5)
        protocol.transport.abort()
        await asyncio.sleep(0.5)
        assert setting.server.count() == 0

    run(main)
