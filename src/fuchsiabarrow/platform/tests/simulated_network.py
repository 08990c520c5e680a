"""Network between simulated hosts, on virtual time.

An event loop connects the protocols of simulated hosts without sockets, so that
the code under test opens and accepts connections and sends datagrams as in
production. Data arrives in order, after the delay of the link and the time that
the links of both hosts take for it. Pairs of hosts can be cut off from each
other, also in one direction or on their open connections only; hosts can be
killed or frozen.

Code runs on the host that is set in its context (`Host.start`); tasks, timers
and accepted connections inherit it.
"""

import asyncio
import collections
from collections.abc import Collection
import contextlib
import contextvars
import dataclasses
import enum
import math
import socket
from unittest import mock

from fuchsiabarrow.utils.tests import virtual_time

WITHIN_DOMAIN_DELAY_S = 0.0001
BETWEEN_DOMAINS_DELAY_S = 0.00075
FIRST_EPHEMERAL_PORT = 32_768
# Bytes that a connection takes in before its writer has to wait.
WINDOW_BYTES = 262_144
HIGH_WATER_BYTES = 65_536
MIN_TIMER_S = 1e-6
# Data is sent in pieces of at most this size, one after another.
SEGMENT_BYTES = 16_384
BITS_PER_BYTE = 8

_host: contextvars.ContextVar["Host"] = contextvars.ContextVar("host")


class Shape(enum.Enum):
    """What a fault does to connections between two hosts.

    Attributes:
        HANG: Packets are dropped: new connections are not established, and
            existing ones are silent until the fault ends.
        RESET: Existing connections are reset, new ones are refused.
        REFUSE: Existing connections live on, new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True, eq=False)
class Fault:
    """A fault between each host of one set and each of another.

    With `is_one_way`, only packets from the first set to the other are dropped.
    """

    shape: Shape
    hosts: frozenset[str]
    others: frozenset[str]
    is_one_way: bool = False

    def affects(self, first: str, second: str) -> bool:
        return (first in self.hosts and second in self.others) or (
            not self.is_one_way
            and second in self.hosts
            and first in self.others
        )


@dataclasses.dataclass
class ConnectionRecord:
    """An attempt to connect, and what became of it.

    Attributes:
        at_s: Loop time of the attempt.
        source: Address of the host that connects.
        destination: Address of the host that it connects to.
        port: Port that it connects to.
        opened_s: Loop time at which the connection was established, or None.
        closed_s: Loop time at which one side closed it, or None.
        sent_bytes: Bytes sent over it, in both directions.
    """

    at_s: float
    source: str
    destination: str
    port: int
    opened_s: float | None = None
    closed_s: float | None = None
    sent_bytes: int = 0

    def is_open(self) -> bool:
        return self.opened_s is not None and self.closed_s is None


class Host:
    """One start of a host; a host that starts again is another instance.

    Attributes:
        address: Its IP address.
        domain: Its failure domain.
        is_alive: Whether it was not killed.
        is_frozen: Whether nothing is delivered to it or sent by it.
        link_mbps: Rate of its link in each direction, in Mbit/s.
    """

    def __init__(self, address: str, domain: str):
        self.address = address
        self.domain = domain
        self.is_alive = True
        self.is_frozen = False
        self.link_mbps = math.inf
        # Loop times until which its link is busy.
        self._sending_until_s = 0.0
        self._receiving_until_s = 0.0

    def reserve_sending(self, size: int, from_s: float) -> float:
        """Returns when its link has sent some bytes, after earlier ones."""
        begin_s = max(from_s, self._sending_until_s)
        self._sending_until_s = begin_s + self._compute_transfer_s(size)
        return self._sending_until_s

    def reserve_receiving(self, size: int, from_s: float) -> float:
        """Returns when its link has received some bytes, after earlier ones."""
        begin_s = max(from_s, self._receiving_until_s)
        self._receiving_until_s = begin_s + self._compute_transfer_s(size)
        return self._receiving_until_s

    def _compute_transfer_s(self, size: int) -> float:
        return size * BITS_PER_BYTE / (self.link_mbps * 1e6)

    def start(self, coroutine) -> asyncio.Task:
        """Runs a coroutine as a task on this host."""
        context = contextvars.copy_context()
        context.run(_host.set, self)
        return asyncio.get_running_loop().create_task(
            coroutine, context=context
        )


class Network:
    """Hosts, their connections and the faults between them.

    Attributes:
        hosts: Current host by address.
        connections: All attempts to connect, in order.
        domain_bytes: Bytes sent by pair of failure domains, the smaller first.
    """

    def __init__(self):
        self.hosts: dict[str, Host] = {}
        self.connections: list[ConnectionRecord] = []
        self.domain_bytes: collections.Counter = collections.Counter()
        self._faults: list[Fault] = []
        self._servers: dict[tuple[str, int], _Server] = {}
        self._datagram_endpoints: dict[tuple[str, int], _Endpoint] = {}
        # In the order of their opening: a set would end them in an order that
        # differs between runs of one seed.
        self._transports: dict[_Transport, None] = {}
        self._held_datagrams: list[tuple] = []
        self._changed = asyncio.Event()
        self._next_port = FIRST_EPHEMERAL_PORT

    # Hosts and faults.

    def add_host(self, address: str, domain: str) -> Host:
        """Adds a host, or starts a killed one again."""
        host = Host(address, domain)
        self.hosts[address] = host
        return host

    def kill(self, host: Host) -> None:
        """Resets the connections of a host; later ones are refused."""
        host.is_alive = host.is_frozen = False
        for by_address in (self._servers, self._datagram_endpoints):
            for key in [k for k, v in by_address.items() if v.host is host]:
                del by_address[key]
        for transport in self._find_transports(host):
            transport.die()
        self._announce_change()

    def freeze(self, host: Host) -> None:
        """Stops delivery to and from a host until `thaw`.

        Its connections stay open, and new ones are established, but it neither
        receives nor sends anything. Its timers go on.
        """
        host.is_frozen = True

    def thaw(self, host: Host) -> None:
        """Delivers what was held back by `freeze`."""
        host.is_frozen = False
        self._flush()

    def begin_fault(
        self,
        shape: Shape,
        hosts: Collection[str],
        others: Collection[str],
        is_one_way: bool = False,
    ) -> Fault:
        """Cuts off the hosts of one set from those of another."""
        if is_one_way and shape is not Shape.HANG:
            raise ValueError("only packets that are dropped have a direction")
        fault = Fault(shape, frozenset(hosts), frozenset(others), is_one_way)
        self._faults.append(fault)
        if shape is Shape.RESET:
            for transport in list(self._transports):
                if fault.affects(*transport.pair):
                    transport.lose(ConnectionResetError())
        return fault

    def end_fault(self, fault: Fault) -> None:
        """Ends a fault; data held back by it is delivered."""
        self._faults.remove(fault)
        self._flush()

    @contextlib.contextmanager
    def cut(
        self,
        shape: Shape,
        hosts: Collection[str],
        others: Collection[str],
        is_one_way: bool = False,
    ):
        """Cuts off hosts from others during a ``with`` block."""
        fault = self.begin_fault(shape, hosts, others, is_one_way)
        try:
            yield fault
        finally:
            self.end_fault(fault)

    def is_cut(self, first: str, second: str) -> bool:
        """Returns whether no connection between two hosts can be opened."""
        return any(fault.affects(first, second) for fault in self._faults)

    def is_dark(self, first: str, second: str) -> bool:
        """Returns whether packets between two hosts are dropped."""
        return any(
            fault.shape is Shape.HANG and fault.affects(first, second)
            for fault in self._faults
        )

    def compute_delay_s(self, first: Host, second: Host) -> float:
        """Returns the delay of packets between two hosts."""
        is_near = first.domain == second.domain
        return WITHIN_DOMAIN_DELAY_S if is_near else BETWEEN_DOMAINS_DELAY_S

    def compute_arrival_delay_s(
        self, sender: Host, receiver: Host, size: int
    ) -> float:
        """Returns the time until data sent now has arrived on both links."""
        now_s = asyncio.get_running_loop().time()
        delay_s = self.compute_delay_s(sender, receiver)
        sent_s = sender.reserve_sending(size, now_s)
        received_s = receiver.reserve_receiving(size, now_s + delay_s)
        return max(received_s, sent_s + delay_s) - now_s

    def silence_connections(
        self, hosts: Collection[str], others: Collection[str]
    ) -> int:
        """Drops all packets of the open connections between hosts for good.

        New connections work.

        Returns:
            The number of connections.
        """
        silenced = [
            transport
            for transport in self._transports
            if transport.pair[0] in hosts and transport.pair[1] in others
        ]
        for transport in silenced:
            transport.is_silenced = transport.peer.is_silenced = True
        return len(silenced)

    def reset_connections(
        self, hosts: Collection[str], others: Collection[str]
    ) -> None:
        """Resets the open connections between hosts."""
        for transport in list(self._transports):
            first, second = transport.pair
            if (first in hosts and second in others) or (
                second in hosts and first in others
            ):
                transport.lose(ConnectionResetError())

    def count_bytes(self, first: Host, second: Host, size: int) -> None:
        self.domain_bytes[tuple(sorted((first.domain, second.domain)))] += size

    def count_crossing_bytes(self) -> int:
        """Returns the number of bytes sent between failure domains."""
        return sum(
            size
            for (first, second), size in self.domain_bytes.items()
            if first != second
        )

    def find_connections(
        self,
        sources: Collection[str],
        destinations: Collection[str],
        since_s: float = float("-inf"),
        until_s: float = float("inf"),
    ) -> list[ConnectionRecord]:
        """Returns the attempts to connect from some hosts to others."""
        return [
            record
            for record in self.connections
            if since_s <= record.at_s < until_s
            and record.source in sources
            and record.destination in destinations
        ]

    def _find_transports(self, host: Host) -> list["_Transport"]:
        return [t for t in self._transports if t.host is host]

    def _flush(self) -> None:
        for transport in list(self._transports):
            transport.flush()
        held, self._held_datagrams = self._held_datagrams, []
        for datagram in held:
            self.send_datagram(*datagram)
        self._announce_change()

    def _announce_change(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Connections.

    async def connect(self, protocol_factory, address: str, port: int):
        """Implements `asyncio.loop.create_connection`."""
        loop = asyncio.get_running_loop()
        own = _host.get()
        record = ConnectionRecord(loop.time(), own.address, address, port)
        self.connections.append(record)
        while (
            own.is_frozen
            or self.is_dark(own.address, address)
            or self.is_dark(address, own.address)
        ):
            await self._changed.wait()
        peer = self.hosts.get(address)
        if peer is None or not own.is_alive:
            raise OSError("no route to host")
        await asyncio.sleep(2 * self.compute_delay_s(own, peer))
        server = self._servers.get((address, port))
        is_refused = server is None or self.is_cut(own.address, address)
        if is_refused or not own.is_alive:
            raise ConnectionRefusedError(f"{address}:{port} refuses")
        record.opened_s = loop.time()
        local = (own.address, self.take_port())
        remote = (address, port)
        transport = _Transport(
            self, own, local, remote, contextvars.copy_context(), record
        )
        accepted = _Transport(
            self, server.host, remote, local, server.context.copy(), record
        )
        transport.peer, accepted.peer = accepted, transport
        self._transports |= {transport: None, accepted: None}
        accepted.accept(server.protocol_factory)
        protocol = protocol_factory()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        return transport, protocol

    def listen(self, protocol_factory, address: str, port: int) -> "_Server":
        """Implements `asyncio.loop.create_server`."""
        host = _host.get()
        if not host.is_alive:
            raise OSError("host is dead")
        port = port or self.take_port()
        if (address, port) in self._servers or address != host.address:
            raise OSError(f"cannot listen on {address}:{port}")
        server = _Server(self, host, (address, port), protocol_factory)
        self._servers[address, port] = server
        return server

    def take_port(self) -> int:
        self._next_port += 1
        return self._next_port

    def remove_server(self, server: "_Server") -> None:
        if self._servers.get(server.address) is server:
            del self._servers[server.address]

    def remove_transport(self, transport: "_Transport") -> None:
        self._transports.pop(transport, None)

    # Datagrams.

    def open_datagram_endpoint(self, protocol_factory, local_address: tuple):
        """Implements `asyncio.loop.create_datagram_endpoint`."""
        protocol = protocol_factory()
        endpoint = _Endpoint(
            self,
            _host.get(),
            local_address,
            protocol,
            contextvars.copy_context(),
        )
        self._datagram_endpoints[local_address] = endpoint
        protocol.connection_made(endpoint)
        return endpoint, protocol

    def remove_endpoint(self, endpoint: "_Endpoint") -> None:
        if self._datagram_endpoints.get(endpoint.address) is endpoint:
            del self._datagram_endpoints[endpoint.address]

    def send_datagram(
        self, sender: "_Endpoint", data: bytes, address: tuple
    ) -> None:
        own, peer = sender.host, self.hosts.get(address[0])
        if peer is None or not own.is_alive:
            return
        if own.is_frozen:
            self._held_datagrams.append((sender, data, address))
        elif not self.is_dark(own.address, peer.address):
            self.count_bytes(own, peer, len(data))
            asyncio.get_running_loop().call_later(
                self.compute_arrival_delay_s(own, peer, len(data)),
                self._deliver_datagram,
                sender,
                data,
                address,
            )

    def _deliver_datagram(
        self, sender: "_Endpoint", data: bytes, address: tuple
    ) -> None:
        endpoint = self._datagram_endpoints.get(address)
        if endpoint is None:
            return
        if endpoint.host.is_frozen:
            self._held_datagrams.append((sender, data, address))
            return
        endpoint.context.run(
            endpoint.protocol.datagram_received, data, sender.address
        )


class _Socket:
    """Stands in for the socket of a connection or listener."""

    family = socket.AF_INET
    type = socket.SOCK_STREAM
    proto = socket.IPPROTO_TCP

    def __init__(self, local: tuple, remote: tuple | None = None):
        self._local = local
        self._remote = remote
        self.user_timeout_s: float | None = None

    def getsockname(self) -> tuple:
        return self._local

    def getpeername(self) -> tuple | None:
        return self._remote

    def getsockopt(self, *details) -> int:
        return 0

    def setsockopt(self, level: int, option: int, value) -> None:
        if (level, option) == (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT):
            self.user_timeout_s = value / 1000.0 or None

    def fileno(self) -> int:
        return -1


class _Server(asyncio.AbstractServer):
    """A listener; closing it leaves its connections open."""

    def __init__(self, network, host, address, protocol_factory):
        self.host = host
        self.address = address
        self.protocol_factory = protocol_factory
        self.context = contextvars.copy_context()
        self.sockets = [_Socket(address)]
        self._network = network

    def close(self) -> None:
        self._network.remove_server(self)

    def is_serving(self) -> bool:
        return self.host.is_alive

    def get_loop(self) -> asyncio.AbstractEventLoop:
        return asyncio.get_running_loop()

    async def start_serving(self) -> None:
        pass

    async def wait_closed(self) -> None:
        pass


class _Endpoint(asyncio.DatagramTransport):
    """A datagram socket."""

    def __init__(self, network, host, address, protocol, context):
        super().__init__()
        self.host = host
        self.address = address
        self.protocol = protocol
        self.context = context
        self._network = network
        self._is_closing = False

    def sendto(self, data, addr=None) -> None:
        if not self._is_closing:
            self._network.send_datagram(self, bytes(data), addr)

    def close(self) -> None:
        self._is_closing = True
        self._network.remove_endpoint(self)

    def abort(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self._is_closing


class _Item(enum.Enum):
    """What a connection transmits besides data."""

    OPEN = enum.auto()
    END = enum.auto()
    RESET = enum.auto()


class _Transport(asyncio.Transport):
    """One side of a connection.

    Items are held back by the sender while packets are dropped, and by the
    receiver while it is frozen or has paused reading. An aborted connection
    still sends what was held back, as the kernel does, unless the time limit
    for unacknowledged data has passed.
    """

    def __init__(self, network, host, local, remote, context, record):
        super().__init__(
            {
                "socket": _Socket(local, remote),
                "sockname": local,
                "peername": remote,
            }
        )
        self.peer: _Transport | None = None
        self.host = host
        self.pair = (local[0], remote[0])
        # Whether all that it sends is lost.
        self.is_silenced = False
        self._network = network
        self._context = context
        self._record = record
        self._protocol = None
        self._held: collections.deque = collections.deque()
        self._in_flight: collections.deque = collections.deque()
        self._inbox: collections.deque = collections.deque()
        self._unread_bytes = 0
        self._high_water_bytes = HIGH_WATER_BYTES
        self._low_water_bytes = HIGH_WATER_BYTES // 4
        self._is_writing_paused = False
        self._is_reading_paused = False
        self._is_end_sent = False
        self._is_closing = False
        self._is_lost = False
        self._user_timer: asyncio.TimerHandle | None = None

    # Interface of `asyncio.Transport`.

    def write(self, data) -> None:
        if self._is_closing or not data:
            return
        if self._is_end_sent:
            raise RuntimeError("cannot write after write_eof")
        data = bytes(data)
        self._unread_bytes += len(data)
        self._record.sent_bytes += len(data)
        for begin in range(0, len(data), SEGMENT_BYTES):
            self._send(data[begin : begin + SEGMENT_BYTES])
        if (
            not self._is_writing_paused
            and self.get_write_buffer_size() > self._high_water_bytes
        ):
            self._is_writing_paused = True
            self._protocol.pause_writing()

    def writelines(self, list_of_data) -> None:
        self.write(b"".join(list_of_data))

    def write_eof(self) -> None:
        if not (self._is_closing or self._is_end_sent):
            self._is_end_sent = True
            self._send(_Item.END)

    def can_write_eof(self) -> bool:
        return True

    def get_write_buffer_size(self) -> int:
        return max(0, self._unread_bytes - WINDOW_BYTES)

    def get_write_buffer_limits(self) -> tuple[int, int]:
        return self._low_water_bytes, self._high_water_bytes

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        if high is None:
            high = HIGH_WATER_BYTES if low is None else 4 * low
        self._high_water_bytes = high
        self._low_water_bytes = high // 4 if low is None else low

    def pause_reading(self) -> None:
        self._is_reading_paused = True

    def resume_reading(self) -> None:
        self._is_reading_paused = False
        asyncio.get_running_loop().call_soon(self._read)

    def is_reading(self) -> bool:
        return not (self._is_reading_paused or self._is_closing)

    def set_protocol(self, protocol) -> None:
        self._protocol = protocol

    def get_protocol(self):
        return self._protocol

    def is_closing(self) -> bool:
        return self._is_closing

    def close(self) -> None:
        if not self._is_closing:
            self.write_eof()
            self._finish(None)

    def abort(self) -> None:
        if not self._is_lost:
            if not self._is_closing:
                self._send(_Item.RESET)
            self._finish(None)

    # Used by the network.

    def accept(self, protocol_factory) -> None:
        """Passes a new connection to a listener's protocol."""
        self._protocol_factory = protocol_factory
        self._inbox.append(_Item.OPEN)
        self._read()

    def die(self) -> None:
        """Ends this side because its host was killed."""
        self._held.clear()
        self._send(_Item.RESET)
        self._finish(ConnectionResetError())

    def lose(self, error: Exception) -> None:
        """Ends this side with an error and without sending anything."""
        self._held.clear()
        self._finish(error)

    def flush(self) -> None:
        """Sends and delivers what was held back, if it no longer has to be."""
        while self._held and not self._must_hold():
            self._transmit(self._held.popleft())
        if not self._held and self._user_timer is not None:
            self._user_timer.cancel()
            self._user_timer = None
        self._remove_if_done()
        self._read()

    def _must_hold(self) -> bool:
        return (
            self.host.is_frozen
            or self.is_silenced
            or self._network.is_dark(*self.pair)
        )

    def _send(self, item) -> None:
        if self._held or self._must_hold():
            self._held.append(item)
            timeout_s = self.get_extra_info("socket").user_timeout_s
            if timeout_s is not None and self._user_timer is None:
                self._user_timer = asyncio.get_running_loop().call_later(
                    timeout_s, self._expire
                )
        else:
            self._transmit(item)

    def _expire(self) -> None:
        """Gives up on data that was not acknowledged in time."""
        self._user_timer = None
        if self._held and not self.host.is_frozen:
            self._held.clear()
            self._finish(TimeoutError())
            self._remove_if_done()

    def _transmit(self, item) -> None:
        network, own, peer = self._network, self.host, self.peer.host
        size = len(item) if isinstance(item, bytes) else 0
        if size:
            network.count_bytes(own, peer, size)
        self._in_flight.append(item)
        asyncio.get_running_loop().call_later(
            network.compute_arrival_delay_s(own, peer, size), self._land
        )

    def _land(self) -> None:
        if self._in_flight:
            item = self._in_flight.popleft()
            if not self.is_silenced:
                self.peer.receive(item)

    def receive(self, item) -> None:
        """Takes in what the other side has sent."""
        if self._is_lost:
            if isinstance(item, bytes):
                self._send(_Item.RESET)
            return
        self._inbox.append(item)
        self._read()

    def _read(self) -> None:
        while self._inbox and not (
            self._is_reading_paused or self.host.is_frozen or self._is_lost
        ):
            self._context.run(self._handle, self._inbox.popleft())

    def _handle(self, item) -> None:
        if item is _Item.OPEN:
            self._protocol = self._protocol_factory()
            self._protocol.connection_made(self)
        elif item is _Item.END:
            if not self._protocol.eof_received():
                self.close()
        elif item is _Item.RESET:
            self.lose(ConnectionResetError())
        else:
            self.peer.acknowledge(len(item))
            self._protocol.data_received(item)

    def acknowledge(self, size: int) -> None:
        """Records that the other side has read some bytes."""
        self._unread_bytes -= size
        if (
            self._is_writing_paused
            and self.get_write_buffer_size() <= self._low_water_bytes
        ):
            self._is_writing_paused = False
            if not self._is_closing:
                self._context.run(self._protocol.resume_writing)

    def _finish(self, error: Exception | None) -> None:
        if self._is_lost:
            return
        self._is_closing = self._is_lost = True
        loop = asyncio.get_running_loop()
        if self._record.closed_s is None:
            self._record.closed_s = loop.time()
        loop.call_soon(self._notify_lost, error, context=self._context)

    def _remove_if_done(self) -> None:
        if self._is_lost and not self._held:
            self._network.remove_transport(self)

    def _notify_lost(self, error: Exception | None) -> None:
        self._remove_if_done()
        if self._protocol is not None:
            self._protocol.connection_lost(error)


class Loop(virtual_time.VirtualLoop):
    """Event loop whose connections and datagrams use a simulated network.

    Attributes:
        network: The network.
        errors: Exceptions that reached the exception handler.
    """

    def __init__(self):
        super().__init__()
        self.network = Network()
        self.errors: list[dict] = []
        self.set_exception_handler(
            lambda _, context: self.errors.append(context)
        )

    def call_at(self, when, callback, *args, context=None):
        # The clock stands still while callbacks run: a timer for the rest of a
        # time that rounding makes too small to add would fire forever.
        when = max(when, self.time() + MIN_TIMER_S)
        return super().call_at(when, callback, *args, context=context)

    async def create_connection(
        self, protocol_factory, host=None, port=None, sock=None, **options
    ):
        if sock is not None:
            host, port = sock.getpeername()
        return await self.network.connect(protocol_factory, host, port)

    async def create_server(
        self, protocol_factory, host=None, port=None, **options
    ):
        return self.network.listen(protocol_factory, host, port)

    async def create_datagram_endpoint(
        self, protocol_factory, local_addr=None, **options
    ):
        return self.network.open_datagram_endpoint(protocol_factory, local_addr)


async def _open_socket(*, addr_infos, **options) -> _Socket:
    """Replaces the function with which HTTP clients connect their sockets."""
    del options
    return _Socket(("", 0), addr_infos[0][4][:2])


def run(main):
    """Runs a coroutine function on virtual time and returns its result.

    HTTP clients use the simulated network as well.

    Args:
        main: The coroutine function; its argument is the network.

    Raises:
        RuntimeError: A callback or a task that nobody waited for failed.
    """
    loop = Loop()
    try:
        with mock.patch(
            "aiohttp.connector.aiohappyeyeballs.start_connection", _open_socket
        ):
            result = loop.run_until_complete(main(loop.network))
        if loop.errors:
            raise RuntimeError(f"unhandled: {loop.errors[0]}")
        return result
    finally:
        loop.close()
