"""Opens connections to upstreams, directly or through other entries.

A connection is reused only if the last response on it was complete and no bytes
followed it: late or extra bytes would be parsed as the next response.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Coroutine
import random
import socket
from typing import Protocol

import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import links
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import addresses

__all__ = ["ConnectionPool", "Tunnels"]

# Longest idle time after which a connection is still reused. Upstreams announce
# keep-alive timeouts in whole seconds, of which the shortest is 1 s.
MAX_IDLE_S = 0.8
MAX_IDLE_PER_ADDRESS = 4
TCP_USER_TIMEOUT_MS = 3000
# Time after which a connection that is still being opened is also opened
# through another entry. A direct one usually takes a few milliseconds.
TUNNEL_DELAY_S = 0.1

# Number of connections that are tried through other entries at the same time
# before one of them has shown that a link is cut.
MAX_QUESTIONS = 1
# Time for another entry to connect to an upstream that refused a connection.
SECOND_OPINION_TIMEOUT_S = 0.25

_log = logbook.Logger(__name__)


class Tunnels(Protocol):
    """Connections through other entries."""

    async def open(
        self,
        address: str,
        make_protocol: Callable[[], asyncio.Protocol],
        timeout_s: float,
    ) -> tuple[asyncio.Protocol, str]:
        """Returns a connected protocol and the address of the other entry.

        Args:
            address: ``ip:port`` of the upstream.
            make_protocol: Makes the protocol.
            timeout_s: Time limit in seconds.

        Raises:
            UpstreamUnreachableError: The other entry does not reach it either.
            NoHelperError: No other entry could be asked.
        """

    def is_available(self, helper: str) -> bool:
        """Returns whether an entry is alive and still opens tunnels."""


class ConnectionPool:
    """Opens connections and keeps idle ones for a short time.

    A connection that cannot be opened directly is opened through another entry
    if that one reaches the upstream.

    Args:
        connect_timeout_s: Timeout for opening a connection.
        link_table: Which upstreams this entry reaches by itself.
        tunnels: Opens connections through other entries; None if there are no
            others.
        metrics: Metrics of the entry, None to count nothing.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        link_table: links.LinkTable | None = None,
        tunnels: Tunnels | None = None,
        metrics: metrics_module.ForwardingMetrics | None = None,
    ):
        self._connect_timeout_s = connect_timeout_s
        self._links = link_table or links.LinkTable(
            asyncio.get_running_loop().time, random.Random()
        )
        self._tunnels = tunnels
        self._metrics = metrics
        self._attempts: set[asyncio.Task] = set()
        # Number of other entries that are being asked for a connection.
        self._questions = 0
        self._idle: dict[str, collections.deque] = {}
        self._in_use_counts: collections.Counter[str] = collections.Counter()

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(self, *details) -> None:
        for task in list(self._attempts):
            task.cancel()
        await asyncio.gather(*self._attempts, return_exceptions=True)
        for idle in self._idle.values():
            for protocol, _ in idle:
                protocol.close()
        self._idle.clear()

    async def open(
        self,
        address: str,
        may_reuse: bool = True,
        timeout_s: float | None = None,
    ) -> connections.Connection:
        """Returns a connection for one request.

        Args:
            address: ``ip:port`` of the upstream.
            may_reuse: Whether an idle connection may be used. The upstream may
                close it at any time, also while a request is being sent.
            timeout_s: Timeout for opening a connection; applies only if it is
                shorter than that of the pool.

        Raises:
            UpstreamUnreachableError: The connection could not be opened;
                nothing was sent.
        """
        state = self._get_state(address)
        # Idle connections over a link that is cut may be silent for good.
        is_cut = state in (links.LinkState.CUT, links.LinkState.UNCERTAIN)
        if may_reuse and not is_cut:
            protocol = self._take_idle(address)
            if protocol is not None:
                self._in_use_counts[address] += 1
                return connections.Connection(
                    self.release, address, protocol, True
                )
        connect_timeout_s = self._connect_timeout_s
        if timeout_s is not None:
            connect_timeout_s = min(connect_timeout_s, timeout_s)
        if self._tunnels is None or state is links.LinkState.DIRECT:
            protocol, helper = await self._connect(address, connect_timeout_s)
        else:
            protocol, helper = await self._open_either_way(
                address, connect_timeout_s, state
            )
        self._in_use_counts[address] += 1
        return connections.Connection(
            self.release, address, protocol, False, helper
        )

    def _get_state(self, address: str) -> links.LinkState:
        """Returns how to connect to an upstream."""
        state = self._links.get_state(address)
        if (
            state is links.LinkState.DOUBTFUL
            and not self._links.has_cuts()
            and self._questions >= MAX_QUESTIONS
        ):
            return links.LinkState.DIRECT
        return state

    async def _connect(
        self, address: str, timeout_s: float
    ) -> tuple[connections.ResponseProtocol, str]:
        """Connects to an upstream without the help of another entry."""
        loop = asyncio.get_running_loop()
        protocol = await self.connect_directly(
            address, lambda: connections.make_protocol(loop), timeout_s
        )
        return protocol, ""

    async def connect_directly(
        self,
        address: str,
        make_protocol: Callable[[], asyncio.Protocol],
        timeout_s: float,
    ) -> asyncio.Protocol:
        """Returns a protocol that is connected to an upstream.

        Args:
            address: ``ip:port`` of the upstream.
            make_protocol: Makes the protocol.
            timeout_s: Timeout; that of the pool applies if it is shorter.

        Raises:
            UpstreamUnreachableError: The connection could not be opened.
        """
        loop = asyncio.get_running_loop()
        timeout_s = min(max(0.0, timeout_s), self._connect_timeout_s)
        host, port = addresses.parse_address(address)
        try:
            async with asyncio.timeout(timeout_s):
                transport, protocol = await loop.create_connection(
                    make_protocol, host, port
                )
        except (OSError, TimeoutError) as error:
            self._links.record_unreachable(address)
            reason = connections.describe_error(error)
            raise exceptions.UpstreamUnreachableError(
                f"{address}: cannot connect ({reason}); use another upstream"
            ) from error
        if self._links.record_reached(address):
            _log.info(logs.format_event("link_restored", address=address))
        _configure_socket(transport)
        return protocol

    async def _open_either_way(
        self, address: str, timeout_s: float, state: links.LinkState
    ) -> tuple[connections.ResponseProtocol, str]:
        """Connects directly or through another entry, whichever is first.

        Raises:
            UpstreamUnreachableError: Neither way leads to the upstream.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        direct = tunnel = used = None
        is_usual = state is links.LinkState.DOUBTFUL
        if is_usual or self._links.try_start_trial(address):
            direct = self._start(self._connect(address, timeout_s))
        try:
            if is_usual:
                await asyncio.wait({direct}, timeout=TUNNEL_DELAY_S)
                if _has_succeeded(direct):
                    used = direct
                    return direct.result()
            left_s = deadline_s - loop.time()
            if direct is not None and direct.done():
                # Refused, as by a dead upstream, which is to be found soon.
                left_s = min(left_s, SECOND_OPINION_TIMEOUT_S)
            tunnel = self._start(self._ask(address, left_s))
            used = await self._wait_for_either(
                direct, tunnel, None if is_usual else TUNNEL_DELAY_S
            )
            if used is tunnel and self._metrics is not None:
                self._metrics.tunnels_opened.inc()
            return used.result()
        finally:
            self._settle(address, direct, tunnel, used)

    async def _wait_for_either(
        self,
        direct: asyncio.Task | None,
        tunnel: asyncio.Task,
        rest_timeout_s: float | None,
    ) -> asyncio.Task:
        """Returns the first of two attempts that succeeds.

        Raises:
            UpstreamUnreachableError: Both have failed.
            NoHelperError: The same, but the links of this entry are known to
                be at fault, and no other entry could tell.
        """
        tasks = [task for task in (direct, tunnel) if task is not None]
        try:
            return await _wait_for_success(tasks, rest_timeout_s)
        except exceptions.UpstreamUnreachableError:
            if (
                isinstance(_get_error(tunnel), exceptions.NoHelperError)
                and self._links.has_fault()
            ):
                raise _get_error(tunnel) from None
            raise

    def _settle(
        self,
        address: str,
        direct: asyncio.Task | None,
        tunnel: asyncio.Task | None,
        used: asyncio.Task | None,
    ) -> None:
        """Records the state of a link, and closes a second connection.

        Attempts that are still pending go on for that, unless the direct
        connection is used.

        Args:
            address: ``ip:port`` of the upstream.
            direct: Opens a direct connection; None if not started.
            tunnel: Opens a connection through another entry; None if not
                started.
            used: The one whose connection is used; None if there is none.
        """
        if direct is not None and _has_succeeded(direct) and tunnel is not None:
            tunnel.cancel()
        for task in (direct, tunnel):
            if task is None or task is used:
                continue
            if not task.done():
                task.add_done_callback(
                    lambda _: self._settle(address, direct, tunnel, used)
                )
                return
            if _has_succeeded(task):
                task.result()[0].abort()
        if direct is None or tunnel is None or _get_error(direct) is None:
            return
        if _has_succeeded(tunnel):
            self._record_cut(address, tunnel.result()[1], _get_error(direct))
        elif not isinstance(
            _get_error(tunnel), exceptions.NoHelperError | None
        ):
            self._links.record_dead(address)

    async def _ask(
        self, address: str, timeout_s: float
    ) -> tuple[connections.ResponseProtocol, str]:
        """Connects to an upstream through another entry."""
        loop = asyncio.get_running_loop()
        self._questions += 1
        try:
            return await self._tunnels.open(
                address, lambda: connections.make_protocol(loop), timeout_s
            )
        finally:
            self._questions -= 1

    def _start(self, work: Coroutine) -> asyncio.Task:
        """Starts a task that the pool cancels when it is closed."""
        task = asyncio.create_task(work)
        self._attempts.add(task)
        task.add_done_callback(self._attempts.discard)
        return task

    async def check_link(self, address: str) -> bool | None:
        """Asks another entry whether it reaches an upstream.

        Returns:
            Whether it does, so that the link of this entry is cut; None if no
            entry could be asked.
        """
        if self._tunnels is None:
            return None
        try:
            protocol, helper = await self._ask(address, self._connect_timeout_s)
        except exceptions.NoHelperError:
            return None
        except exceptions.UpstreamUnreachableError:
            self._links.record_dead(address)
            return False
        protocol.abort()
        self._record_cut(address, helper, "found by a check")
        return True

    def _record_cut(self, address: str, helper: str, why: object) -> None:
        if self._links.record_cut(address):
            _log.info(
                logs.format_event(
                    "link_cut", address=address, helper=helper, why=why
                )
            )

    def record_reported(self, address: str) -> None:
        """Records that another upstream or entry cannot reach an upstream."""
        self._links.record_reported(address)

    def is_reported(self, address: str) -> bool:
        """Returns whether an upstream seems dead not only to this entry."""
        return self._links.is_reported(address)

    def is_isolated(self) -> bool:
        """Returns whether this entry seems to reach no upstream by itself."""
        return self._links.is_isolated()

    def is_way_lost(self, connection: connections.Connection) -> bool:
        """Returns whether no more data is expected on an open connection.

        It goes over a link that is cut, or through an entry that is gone.
        """
        if connection.helper:
            return not self._tunnels.is_available(connection.helper)
        state = self._links.get_state(connection.address)
        return state is links.LinkState.CUT

    def _take_idle(self, address: str) -> connections.ResponseProtocol | None:
        idle = self._idle.get(address)
        now_s = asyncio.get_running_loop().time()
        while idle:
            protocol, idle_since_s = idle.pop()
            is_fresh = now_s - idle_since_s < MAX_IDLE_S
            if (
                is_fresh
                and protocol.is_connected()
                and (not protocol.should_close)
            ):
                return protocol
            protocol.close()
        return None

    def release(
        self,
        address: str,
        protocol: connections.ResponseProtocol,
        is_reusable: bool,
    ) -> None:
        """Keeps a connection for reuse, or closes it."""
        self._in_use_counts[address] -= 1
        if self._in_use_counts[address] <= 0:
            del self._in_use_counts[address]
        idle = self._idle.setdefault(address, collections.deque())
        if is_reusable and protocol.is_connected():
            now_s = asyncio.get_running_loop().time()
            protocol.become_idle()
            idle.append((protocol, now_s))
            if len(idle) > MAX_IDLE_PER_ADDRESS:
                idle.popleft()[0].close()
        else:
            protocol.abort()
        if not idle:
            del self._idle[address]


async def _wait_for_success(
    tasks: list[asyncio.Task], rest_timeout_s: float | None
) -> asyncio.Task:
    """Returns the first task that succeeds.

    Args:
        tasks: The tasks.
        rest_timeout_s: How long to wait for the others once one has failed;
            None for no limit.

    Raises:
        UpstreamUnreachableError: All have failed, or did not end in time.
    """
    pending, timeout_s = set(tasks), None
    while pending:
        done, pending = await asyncio.wait(
            pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        for task in tasks:
            if _has_succeeded(task):
                return task
        if not done:
            break
        timeout_s = rest_timeout_s
    # The error of the direct connection says more; it comes first.
    errors = filter(None, map(_get_error, tasks))
    raise next(
        errors,
        exceptions.UpstreamUnreachableError(
            "all attempts to connect were cancelled; use another upstream"
        ),
    )


def _get_error(task: asyncio.Task) -> BaseException | None:
    """Returns the error of a task that has failed and was not cancelled."""
    is_ended = task.done() and not task.cancelled()
    return task.exception() if is_ended else None


def _has_succeeded(task: asyncio.Task) -> bool:
    return task.done() and not task.cancelled() and task.exception() is None


def _configure_socket(transport: asyncio.Transport) -> None:
    """Sets the socket options of an upstream connection.

    The kernel closes it if sent bytes stay unacknowledged for 3000 ms.
    """
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
