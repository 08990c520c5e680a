import asyncio
import functools
import socket

import pytest

from fuchsiabarrow.platform.tests import simulated_network

Shape = simulated_network.Shape
CLIENT, SERVER, OTHER = "10.0.0.1", "10.0.0.2", "10.0.0.3"
PORT = 80
CONNECTIONS = 100


class Recorder(asyncio.Protocol):
    """Records what happens to one side of a connection."""

    def __init__(self):
        self.transport = None
        self.data = b""
        self.received_s: list[float] = []
        self.is_paused = False
        self.lost: list = []

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data
        self.received_s.append(asyncio.get_running_loop().time())

    def connection_lost(self, error):
        self.lost.append(error)

    def pause_writing(self):
        self.is_paused = True

    def resume_writing(self):
        self.is_paused = False


class Pair:
    """A client and a server host, and a listener on the latter."""

    def __init__(self, network):
        self.network = network
        self.client = network.add_host(CLIENT, "a")
        self.server = network.add_host(SERVER, "b")
        self.other = network.add_host(OTHER, "b")
        self.accepted: list[Recorder] = []

    async def listen(self):
        def accept():
            self.accepted.append(Recorder())
            return self.accepted[-1]

        await self.server.start(
            asyncio.get_running_loop().create_server(accept, SERVER, PORT)
        )

    async def connect(self, timeout_s=0.5, host=None) -> Recorder:
        async def connect():
            loop = asyncio.get_running_loop()
            async with asyncio.timeout(timeout_s):
                return await loop.create_connection(Recorder, SERVER, PORT)

        _, protocol = await (host or self.client).start(connect())
        return protocol


def run(main):
    async def run_main(network):
        pair = Pair(network)
        await pair.listen()
        await main(pair)

    simulated_network.run(run_main)


def test_data_arrives_in_order_after_the_delay():
    async def main(pair):
        client = await pair.connect()
        sent_s = asyncio.get_running_loop().time()
        for number in range(100):
            client.transport.write(b"%d," % number)
        await asyncio.sleep(0.01)
        server = pair.accepted[0]
        assert server.data == b"".join(b"%d," % n for n in range(100))
        delay_s = simulated_network.BETWEEN_DOMAINS_DELAY_S
        assert server.received_s[0] == pytest.approx(sent_s + delay_s)
        assert pair.network.count_crossing_bytes() == len(server.data)
        assert server.transport.get_extra_info("peername")[0] == CLIENT

    run(main)


def test_close_sends_what_was_written_and_abort_resets():
    async def main(pair):
        closing, aborting = await pair.connect(), await pair.connect()
        closing.transport.write(b"last")
        closing.transport.close()
        aborting.transport.abort()
        await asyncio.sleep(0.01)
        assert closing.lost == aborting.lost == [None]
        assert pair.accepted[0].data == b"last"
        assert pair.accepted[0].lost == [None]
        assert isinstance(pair.accepted[1].lost[0], ConnectionResetError)

    run(main)


def test_hanging_connections_go_on_after_the_cut():
    async def main(pair):
        client = await pair.connect()
        with pair.network.cut(Shape.HANG, [CLIENT], [SERVER]):
            client.transport.write(b"held")
            pair.accepted[0].transport.write(b"answer")
            with pytest.raises(TimeoutError):
                await pair.connect()
            await pair.connect(host=pair.other)
            assert pair.accepted[0].data == client.data == b""
        await asyncio.sleep(0.01)
        assert pair.accepted[0].data == b"held"
        assert client.data == b"answer"

    run(main)


def test_unacknowledged_data_ends_a_connection_with_a_user_timeout():
    async def main(pair):
        client = await pair.connect()
        client.transport.get_extra_info("socket").setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3000
        )
        with pair.network.cut(Shape.HANG, [CLIENT], [SERVER]):
            client.transport.write(b"held")
            await asyncio.sleep(2.9)
            assert client.lost == []
            await asyncio.sleep(0.2)
            assert isinstance(client.lost[0], TimeoutError)
        await asyncio.sleep(0.01)
        assert pair.accepted[0].data == b""

    run(main)


@pytest.mark.parametrize("shape", [Shape.RESET, Shape.REFUSE])
def test_cut_refuses_new_connections(shape):
    async def main(pair):
        client = await pair.connect()
        with pair.network.cut(shape, [CLIENT], [SERVER]):
            with pytest.raises(ConnectionRefusedError):
                await pair.connect()
            client.transport.write(b"data")
            await asyncio.sleep(0.01)
            is_reset = shape is Shape.RESET
            assert [bool(client.lost), bool(pair.accepted[0].lost)] == (
                [is_reset, is_reset]
            )
            assert pair.accepted[0].data == (b"" if is_reset else b"data")
        await pair.connect()
        states = [record.is_open() for record in pair.network.connections]
        assert states == [shape is Shape.REFUSE, False, True]

    run(main)


def test_killed_host_resets_and_refuses_until_it_starts_again():
    async def main(pair):
        client = await pair.connect()
        pair.network.kill(pair.server)
        await asyncio.sleep(0.01)
        assert isinstance(client.lost[0], ConnectionResetError)
        with pytest.raises(ConnectionRefusedError):
            await pair.connect()
        pair.server = pair.network.add_host(SERVER, "b")
        await pair.listen()
        await pair.connect()

    run(main)


def test_frozen_host_receives_and_sends_later():
    async def main(pair):
        client = await pair.connect()
        pair.network.freeze(pair.server)
        client.transport.write(b"held")
        pair.accepted[0].transport.write(b"answer")
        later = await pair.connect()
        later.transport.write(b"early")
        await asyncio.sleep(1.0)
        assert len(pair.accepted) == 1
        assert pair.accepted[0].data == client.data == b""
        pair.network.thaw(pair.server)
        await asyncio.sleep(0.01)
        assert [server.data for server in pair.accepted] == [b"held", b"early"]
        assert client.data == b"answer"

    run(main)


def test_writer_waits_for_a_reader_that_paused():
    async def main(pair):
        client = await pair.connect()
        await asyncio.sleep(0.01)
        server = pair.accepted[0]
        server.transport.pause_reading()
        size = simulated_network.WINDOW_BYTES
        client.transport.write(bytes(size))
        assert not client.is_paused
        client.transport.write(bytes(simulated_network.HIGH_WATER_BYTES + 1))
        assert client.is_paused
        await asyncio.sleep(0.01)
        assert server.data == b""
        server.transport.resume_reading()
        await asyncio.sleep(0.01)
        assert len(server.data) > size
        assert not client.is_paused

    run(main)


def test_asyncio_streams_work_on_the_network():
    async def main(pair):
        async def call():
            reader, writer = await asyncio.open_connection(SERVER, PORT + 1)
            writer.write(b"text")
            writer.write_eof()
            await writer.drain()
            return reader, writer

        async def serve(reader, writer):
            writer.write(await reader.read())
            writer.close()

        await pair.server.start(asyncio.start_server(serve, SERVER, PORT + 1))
        reader, writer = await pair.client.start(call())
        assert await reader.read() == b"text"
        writer.close()
        await writer.wait_closed()

    run(main)


def test_datagrams_are_lost_in_a_cut_and_held_by_a_frozen_host():
    async def main(pair):
        received = []

        class Receiver(asyncio.DatagramProtocol):
            def datagram_received(self, data, address):
                received.append((data, address))

        loop = asyncio.get_running_loop()
        sender, _ = await pair.client.start(
            loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, local_addr=(CLIENT, PORT)
            )
        )
        await pair.server.start(
            loop.create_datagram_endpoint(Receiver, local_addr=(SERVER, PORT))
        )
        with pair.network.cut(Shape.HANG, [CLIENT], [SERVER]):
            sender.sendto(b"lost", (SERVER, PORT))
            await asyncio.sleep(0.01)
        pair.network.freeze(pair.server)
        sender.sendto(b"held", (SERVER, PORT))
        await asyncio.sleep(0.01)
        assert received == []
        pair.network.thaw(pair.server)
        await asyncio.sleep(0.01)
        assert received == [(b"held", (CLIENT, PORT))]

    run(main)


# Days with one seed differed from run to run, so that some failed in CI only.
def test_connections_of_a_killed_host_end_in_the_same_order_each_time():
    orders = []

    async def main(pair):
        ended = []

        class Recorder(asyncio.Protocol):
            def __init__(self, number):
                self._number = number

            def connection_lost(self, error):
                ended.append(self._number)

        loop = asyncio.get_running_loop()
        await pair.server.start(
            loop.create_server(asyncio.Protocol, SERVER, PORT + 1)
        )
        for number in range(CONNECTIONS):
            await pair.client.start(
                loop.create_connection(
                    functools.partial(Recorder, number), SERVER, PORT + 1
                )
            )
        pair.network.kill(pair.server)
        await asyncio.sleep(0.01)
        orders.append(ended)

    for _ in range(3):
        run(main)
    assert sorted(orders[0]) == list(range(CONNECTIONS))
    assert orders[1:] == [orders[0]] * 2
