"""One entry with a fake store and fake upstreams, on loopback."""

import asyncio
import contextlib

import aiohttp

from fuchsiabarrow.entry import forwarding_entry
from fuchsiabarrow.platform import settings as settings_module
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.platform.tests import fake_stores
from fuchsiabarrow.platform.tests import fake_upstreams
from fuchsiabarrow.platform.tests import sample_objects
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils.tests import free_ports

HOST = "shop.example"
# "model" is a service that generates token streams on several upstreams, "desk"
# one whose upstreams answer each request alone.
ROUTES = [
    sample_objects.make_route(name="draft", path_prefix="/draft/"),
    sample_objects.make_route(
        name="read",
        path_prefix="/read/",
        kind="idempotent",
        service="desk",
        timeout_ms=600,
        resumable=False,
    ),
    sample_objects.make_route(
        name="book",
        path_prefix="/book/",
        kind="non_idempotent",
        service="desk",
        timeout_ms=600,
        max_attempts=1,
        resumable=False,
    ),
    sample_objects.make_route(
        name="open",
        path_prefix="/open/",
        kind="idempotent",
        service="desk",
        timeout_ms=600,
        anonymous=True,
        resumable=False,
    ),
]
SETTINGS = """\
node_name=entry-1
ip=127.0.0.1
zone=a
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
listen.control=127.0.0.1:{control}
internal_ports={inner},{inner}
seeds=127.0.0.1:{control}
limits.memory_mb=300
limits.max_fds=4100
bounds.drain_ms=2000
bounds.grace_s={grace_s}
bounds.config_apply_ms=2000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_extra=202
bounds.stall_ms=3000
provider.address={store}
"""


class EntryHarness:
    """A fake store, fake upstreams and one entry.

    Attributes:
        store: The fake store.
        upstreams: Fake upstreams by name.
        entry: The entry under test.
        session: HTTP session of the caller.
        settings_text: Settings file of the entry.
        ports: Ports for callers, readiness checks, metrics and other entries.

    Args:
        grace_s: Time from SIGTERM to SIGKILL in the settings.
        read_time_s: Clock of the ages of what the store holds.
    """

    def __init__(
        self,
        grace_s: float = 8.0,
        read_time_s: clocks.Clock = clocks.read_boot_time_s,
    ):
        self._read_time_s = read_time_s
        self.upstreams: dict[str, fake_upstreams.FakeUpstream] = {}
        self.store: fake_stores.FakeStore | None = None
        self.entry: forwarding_entry.ForwardingEntry | None = None
        self.session: aiohttp.ClientSession | None = None
        self.settings_text = ""
        self.ports = free_ports.find_ports(4)
        self._grace_s = grace_s
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "EntryHarness":
        enter = self._stack.enter_async_context
        self.store = await enter(fake_stores.FakeStore())
        self.session = await enter(aiohttp.ClientSession())
        await self.store.put(
            "config", "main", sample_objects.make_config(routes=ROUTES)
        )
        await self.add_upstream("desk-1", "desk")
        await self.add_upstream("desk-2", "desk")
        await self.add_upstream("left", "model", "a100", (0, 40))
        await self.add_upstream("right", "model", "a100", (40, 80))
        front, ready, control, inner = self.ports
        self.settings_text = SETTINGS.format(
            front=front,
            ready=ready,
            control=control,
            inner=inner,
            store=self.store.address,
            grace_s=self._grace_s,
        )
        self.entry = await enter(
            forwarding_entry.ForwardingEntry(
                settings_module.parse(self.settings_text),
                1,
                self._read_time_s,
            )
        )
        await self.wait(self.entry.is_ready)
        await self.wait(
            lambda: len(self.entry.kernel.get("directory").get_all()) == 4
        )
        return self

    async def __aexit__(self, *details) -> None:
        await self._stack.aclose()

    async def add_upstream(self, name, service, kind=None, layers=None):
        """Starts a fake upstream and registers it."""
        upstream = await self._stack.enter_async_context(
            fake_upstreams.FakeUpstream(name, service, kind)
        )
        upstream.layers = layers
        self.upstreams[name] = upstream
        await self.store.put("servers", name, upstream.make_entry())
        return upstream

    async def wait(self, condition, limit_s: float = 5.0) -> None:
        """Waits until a condition holds."""
        async with asyncio.timeout(limit_s):
            while not condition():
                await asyncio.sleep(0.01)

    def call(self, path: str, method: str = "GET", **options):
        """Sends a request with a valid key; headers set to None are removed."""
        headers = {
            "Host": HOST,
            wire_names.ATTEMPT_ID: "r1",
            wire_names.AUTHORIZATION: "Token key-1",
            wire_names.DEADLINE_MS: "20000",
        }
        headers.update(options.pop("headers", {}))
        headers = {k: v for k, v in headers.items() if v is not None}
        return self.session.request(
            method,
            f"http://127.0.0.1:{self.ports[0]}{path}",
            headers=headers,
            **options,
        )

    async def fetch(self, path: str, method: str = "GET", **options):
        """Returns status, headers and body of the response to a request."""
        async with self.call(path, method, **options) as response:
            return response.status, response.headers, await response.read()
