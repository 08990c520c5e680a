"""Callers with raw connections to one entry, on a simulated network.

The entry is composed as in production, with its HTTP server and its connections
to a fake store and fake upstreams, on virtual time.
"""

import asyncio
import contextlib
import dataclasses

from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.platform import settings as settings_module
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import configuration_days
from fuchsiabarrow.platform.tests import fake_stores
from fuchsiabarrow.platform.tests import fake_upstreams
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.platform.tests import simulated_network
from fuchsiabarrow.utils import listeners

HOST = "shop.example"
KEY = "key-1"
ENTRY_IP = "10.0.0.0"
ENTRY_PORT = 1
STORE_IP = "10.9.9.9"
CALLER_IP = "10.5.0.1"
GENERATION = {wire_names.TOKEN_COUNTS: "800,60", wire_names.LENGTH_HINT: "60"}
# Time after a change until the entry has it; the store's watches deliver it.
ADOPTION_S = 0.3
# The entry takes retries from its share of the budget from this time on.
WARM_UP_S = 6.0


@dataclasses.dataclass
class Answer:
    """What a caller received for one request.

    Attributes:
        status: Status of the answer; None if it has no head.
        headers: Its headers, names in lower case.
        body: Its body, without the framing of chunks.
        is_complete: Whether the framing shows the end of the body.
        took_s: Time from the first byte of the request to the end of the
            answer.
    """

    status: int | None = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    took_s: float = 0.0


class Caller:
    """One connection to the entry, kept for many requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    async def exchange(
        self, path: str, method: str = "GET", body: bytes = b"", **headers
    ) -> Answer:
        """Sends a request and reads its answer."""
        began_s = asyncio.get_running_loop().time()
        self.writer.write(make_request(path, method, body, **headers))
        answer = await self.read_answer()
        answer.took_s = asyncio.get_running_loop().time() - began_s
        return answer

    async def read_answer(self) -> Answer:
        """Reads one answer, which may be cut anywhere."""
        answer = Answer()
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            answer.status = int(lines[0].split()[1])
            for line in lines[1:-2]:
                name, _, value = line.partition(": ")
                answer.headers[name.lower()] = value
            if "content-length" in answer.headers:
                length = int(answer.headers["content-length"])
                answer.body = await self.reader.readexactly(length)
                answer.is_complete = True
            while not answer.is_complete:
                line = await self.reader.readuntil(b"\r\n")
                chunk = await self.reader.readexactly(int(line, 16) + 2)
                answer.body += chunk[:-2]
                answer.is_complete = len(chunk) == 2
        return answer

    async def is_open_after(self, seconds: float) -> bool:
        """Returns whether the connection is open, and silent, for a time.

        Raises:
            AssertionError: Bytes have arrived that belong to no request.
        """
        try:
            async with asyncio.timeout(seconds):
                rest = await self.reader.read(1000)
        except TimeoutError:
            return True
        except ConnectionError:
            return False
        assert rest == b"", f"bytes that answer no request: {rest!r}"
        return False


def make_request(
    path: str,
    method: str = "GET",
    body: bytes = b"",
    request_id: str = "r1",
    deadline_ms: int = 20_000,
    **headers: str,
) -> bytes:
    """Returns an encoded request with a valid key."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    fields = {
        "Host": HOST,
        wire_names.ATTEMPT_ID: request_id,
        wire_names.AUTHORIZATION: f"Token {KEY}",
        wire_names.DEADLINE_MS: str(deadline_ms),
        "Content-Length": str(len(body)),
        **named,
    }
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Deployment:
    """A store, upstreams and one entry; a context manager that ends them.

    Attributes:
        network: The network.
        store: The store.
        upstreams: Upstreams by name.
        entry: The entry.
        routes: Routes of the newest configuration by name.
        config: Its other parts.

    Args:
        network: The network.
        routes: Routes of the first configuration by name.
        limits: Limits of the first configuration that are not the defaults.
    """

    def __init__(
        self,
        network: simulated_network.Network,
        routes: dict[str, dict],
        limits: dict | None = None,
    ):
        self.network = network
        self.store = fake_stores.FakeStore(f"{STORE_IP}:1", 5.0)
        self.upstreams: dict[str, fake_upstreams.FakeUpstream] = {}
        self.entry: forwarding_entry.ForwardingEntry | None = None
        self.config = sample_objects.make_config()
        self.config["limits"] |= limits or {}
        self.routes = routes
        self._hosts: dict[str, simulated_network.Host] = {}
        self._callers: list[Caller] = []
        self._exits: list = []

    async def __aenter__(self) -> "Deployment":
        await self._enter(STORE_IP, self.store)
        await self.commit()
        for name, service, layers in (
            ("desk-1", "desk", None),
            ("desk-2", "desk", None),
            ("left", "model", (0, 40)),
            ("right", "model", (40, 80)),
        ):
            await self.add_upstream(name, service, layers)
        settings = settings_module.parse(
            configuration_days.SETTINGS.format(
                name="entry-000",
                ip=ENTRY_IP,
                domain="a",
                seeds=f"{ENTRY_IP}:1",
                apply_ms=2000,
            )
        )
        self.network.add_host(CALLER_IP, "a")
        self.entry = forwarding_entry.ForwardingEntry(
            settings, 1, asyncio.get_running_loop().time
        )
        await self._enter(ENTRY_IP, self.entry)
        await asyncio.sleep(1.0)
        return self

    async def __aexit__(self, *details) -> None:
        for caller in self._callers:
            caller.writer.close()
        await asyncio.sleep(ADOPTION_S)
        for host, context in reversed(self._exits):
            if host.is_alive:
                await host.start(context.__aexit__(None, None, None))

    async def _enter(self, address: str, context) -> None:
        host = self.network.add_host(address, "a")
        await host.start(context.__aenter__())
        self._hosts[address] = host
        self._exits.append((host, context))

    async def add_upstream(self, name: str, service: str, layers=None):
        """Starts an upstream and registers it."""
        ip = f"10.2.0.{len(self.upstreams)}"
        upstream = fake_upstreams.FakeUpstream(
            name, service, "a100" if layers else None, f"{ip}:80"
        )
        upstream.layers = layers
        self.upstreams[name] = upstream
        await self._enter(ip, upstream)
        await self.store.put("servers", name, upstream.make_entry())
        return upstream

    def kill_upstream(self, name: str) -> None:
        """Ends an upstream; its connections are reset."""
        ip = self.upstreams[name].address.partition(":")[0]
        self.network.kill(self._hosts[ip])

    async def commit(self) -> None:
        """Writes the routes and the rest of the configuration."""
        self.config["version"] += 1
        self.config["routes"] = list(self.routes.values())
        await self.store.put("config", "main", self.config)

    async def change_limits(self, **limits) -> None:
        """Writes other limits and waits until the entry has them."""
        self.config["limits"] = self.config["limits"] | limits
        await self.commit()
        await asyncio.sleep(ADOPTION_S)

    def get_server_connections(self) -> list[listeners.Connection]:
        """Returns the connections of callers at the entry's server."""
        return self.entry.kernel.get("frontend_listener")._server.connections

    async def connect(self) -> Caller:
        """Opens a connection of a caller."""
        host = self.network.hosts[CALLER_IP]
        caller = Caller(
            *await host.start(asyncio.open_connection(ENTRY_IP, ENTRY_PORT))
        )
        self._callers.append(caller)
        return caller


def run(test, routes: dict[str, dict], **options):
    """Runs a test with a deployment and returns its result."""

    async def main(network):
        async with Deployment(network, routes, **options) as deployment:
            return await test(deployment)

    return simulated_network.run(main)
