"""Composition root of an entry that serves whole requests on the platform."""

import asyncio
import contextlib
import random

import aiohttp.web
import logbook

from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import followers
from fuchsiabarrow.fleet import lists
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import upstreams
from fuchsiabarrow.forwarding import connections
from fuchsiabarrow.forwarding import service as forwarding_service
from fuchsiabarrow.kernel import registry
from fuchsiabarrow.peers import load_reports
from fuchsiabarrow.peers import relays
from fuchsiabarrow.placement import service as placement_service
from fuchsiabarrow.platform import exchanges
from fuchsiabarrow.platform import front as front_module
from fuchsiabarrow.platform import names
from fuchsiabarrow.platform import runners
from fuchsiabarrow.platform import settings as settings_module
from fuchsiabarrow.platform import store as store_module
from fuchsiabarrow.platform import wire
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import listeners

__all__ = ["Router"]

STORE_TIMEOUT_S = 1.0
# Connections to the store: two watches, and calls beside them.
STORE_CONNECTIONS = 6
# Time after SIGTERM in which the platform still sends new connections: two
# missed readiness checks, a second apart, the first within a second.
READY_LAG_S = 3.1
# Time before SIGKILL by which the process has ended.
STOP_SLACK_S = 0.5
STOP_POLL_S = 0.05
# A configuration confirmed within this time is not about to be distrusted.
CONFIRMED_S = 3.0

_log = logbook.Logger(__name__)


class Router:
    """One running entry.

    Attributes:
        kernel: Services by name.

    Args:
        settings: What the platform tells this process.
        seed: Seeds the random choices, None for the system's randomness.
    """

    def __init__(
        self,
        settings: settings_module.PlatformSettings,
        seed: int | None = None,
    ):
        self.kernel = registry.Kernel()
        self._settings = settings
        self._source = random.Random(seed)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Router":
        await self._stack.enter_async_context(self.kernel)
        try:
            await self._add_knowledge()
            await self._add_forwarding()
            await self._add_entries()
            await self._add_placement()
            await self._add_interfaces()
        except BaseException:
            await self._stack.aclose()
            raise
        _log.info(
            logs.format_event(
                "started",
                entry=self._settings.name,
                failure_domain=self._settings.failure_domain,
                callers=self._settings.caller_address,
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        await self._stack.aclose()

    async def _add_knowledge(self) -> None:
        kernel, settings = self.kernel, self._settings
        read_time_s = asyncio.get_running_loop().time
        session = await kernel.add(
            "session",
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=STORE_CONNECTIONS, keepalive_timeout=10.0
                ),
                auto_decompress=False,
            ),
        )
        store = store_module.StoreClient(
            session, settings.store_address, STORE_TIMEOUT_S
        )
        await kernel.add("store", contextlib.nullcontext(store))
        directory = directory_module.Directory(read_time_s)
        await kernel.add("directory", contextlib.nullcontext(directory))
        keeper = catalog_service.CatalogKeeper(
            wire.decode_catalog, names.CONFIGURATION_NAME, read_time_s
        )
        await kernel.add("catalogs", contextlib.nullcontext(keeper))
        list_keeper = lists.ListKeeper(directory, wire.decode_upstream)
        await kernel.add("list", contextlib.nullcontext(list_keeper))
        catalog_follower = await kernel.add(
            "catalog_follower",
            followers.Follower(
                store,
                names.CONFIGURATION_KIND,
                keeper.make_sink(),
                self._source,
                lists.LATE_LAPSE_S,
                count_entries=self._count_entries,
            ),
        )
        upstream_follower = await kernel.add(
            "upstream_follower",
            followers.Follower(
                store,
                names.UPSTREAMS_KIND,
                list_keeper.make_sink(),
                self._source,
                lists.LATE_LAPSE_S,
                followers.VOUCHED_WAIT_S,
                self._count_entries,
            ),
        )
        catalog_follower.vouch_for(upstream_follower)

    def _count_entries(self) -> int:
        """Returns how many entries are alive, as far as is known."""
        is_begun = "entries" in self.kernel
        return self.kernel.get("entries").count_live() if is_begun else 1

    async def _add_forwarding(self) -> None:
        kernel, settings = self.kernel, self._settings
        metrics = metrics_module.ForwardingMetrics()
        await kernel.add("metrics", contextlib.nullcontext(metrics))
        ledger = loads.Ledger()
        await kernel.add("ledger", contextlib.nullcontext(ledger))
        forwarding_settings = forwarding_service.Settings(
            failure_domain=settings.failure_domain,
            budget_ratio=settings.budget_ratio,
            budget_extra=settings.budget_extra,
            budget_window_s=settings.budget_window_s,
        )
        pool = await kernel.add(
            "pool",
            connections.ConnectionPool(forwarding_settings.connect_timeout_s),
        )
        control = runners.RunnerControl(pool)
        await kernel.add("control", contextlib.nullcontext(control))
        await kernel.add(
            "forwarding",
            forwarding_service.ForwardingService(
                kernel.get("directory"),
                ledger,
                exchanges.RunnerCodec(),
                pool,
                control,
                kernel.get("catalogs").get,
                lambda: kernel.get("entries").count_sharing(),
                lambda: kernel.get("entries").get_lag_s(),
                forwarding_settings,
                self._source,
                metrics,
            ),
        )

    async def _add_entries(self) -> None:
        kernel, settings = self.kernel, self._settings
        forwarding = kernel.get("forwarding")

        def note_suspect(upstream: upstreams.Upstream, sender: str) -> None:
            forwarding.note_failure(upstream, f"told by {sender}")

        entries = await kernel.add(
            "entries",
            load_reports.LoadReports(
                kernel.get("directory"),
                kernel.get("ledger"),
                kernel.get("forwarding").crashes,
                note_suspect,
                kernel.get("catalogs").get_age_s,
                load_reports.Settings(
                    settings.name,
                    settings.failure_domain,
                    f"{settings.ip}:{settings.entry_port}",
                    tuple(
                        f"{ip}:{settings.entry_port}"
                        for ip in settings.seed_ips
                    ),
                ),
                self._source,
            ),
        )

        await self._add_relay(entries)

    async def _add_relay(self, entries: load_reports.LoadReports) -> None:
        kernel, settings = self.kernel, self._settings
        keeper, listing = kernel.get("catalogs"), kernel.get("list")
        informed = {
            names.CONFIGURATION_KIND: entries.find_configuration_informed,
            names.UPSTREAMS_KIND: entries.find_list_informed,
        }
        relay = relays.Relay(
            kernel.get("session"),
            [
                relays.Source(
                    names.CONFIGURATION_KIND,
                    keeper.get_objects,
                    keeper.get_age_s,
                    keeper.make_sink(),
                ),
                relays.Source(
                    names.UPSTREAMS_KIND,
                    listing.get_objects,
                    kernel.get("directory").get_age_s,
                    listing.make_sink(),
                ),
            ],
            lambda kind, limit_s: informed[kind](limit_s),
            self._source,
        )
        await kernel.add("relay", relay)
        await kernel.add(
            "relay_listener",
            listeners.Listener(
                relay.make_app(), f"{settings.ip}:{settings.entry_port}"
            ),
        )

    async def _add_placement(self) -> None:
        kernel = self.kernel
        await kernel.add(
            "placement",
            placement_service.PlacementService(
                kernel.get("directory"),
                kernel.get("catalogs").get,
                kernel.get("control").place,
                kernel.get("control").read_report,
                kernel.get("entries").is_first,
            ),
        )

    async def _add_interfaces(self) -> None:
        kernel, settings = self.kernel, self._settings
        entries = kernel.get("entries")
        front = front_module.Front(
            kernel.get("catalogs"),
            kernel.get("forwarding"),
            settings.revoke_s,
            lambda: bool(entries.find_configuration_informed(CONFIRMED_S)),
            self._source,
        )
        await kernel.add("front", contextlib.nullcontext(front))
        await kernel.add(
            "front_listener",
            listeners.ServerListener(
                front.make_server(), settings.caller_address
            ),
        )
        app = aiohttp.web.Application()
        app.router.add_get(names.READY_PATH, self._answer_ready)
        await kernel.add(
            "ready_listener", listeners.Listener(app, settings.ready_address)
        )

        if settings.operator_address:
            app = aiohttp.web.Application()
            app.router.add_get("/metrics", self._answer_metrics)
            await kernel.add(
                "operator_listener",
                listeners.Listener(app, settings.operator_address),
            )

    async def _answer_metrics(self, _) -> aiohttp.web.Response:
        kernel = self.kernel
        metrics = kernel.get("metrics")
        keeper, directory = kernel.get("catalogs"), kernel.get("directory")
        if keeper.catalog is not None:
            metrics.configuration_version.set(keeper.catalog.version)
        metrics.configuration_age_s.set(keeper.get_age_s())
        metrics.list_age_s.set(directory.get_age_s())
        metrics.upstreams.set(len(directory.get_all()))
        metrics.entries.set(kernel.get("entries").count_live())
        return aiohttp.web.Response(
            body=metrics.encode(), content_type="text/plain"
        )

    async def _answer_ready(self, _) -> aiohttp.web.Response:
        is_ready = self.is_ready()
        return aiohttp.web.Response(
            status=200 if is_ready else 503,
            text="ready\n" if is_ready else "not ready\n",
        )

    def is_ready(self) -> bool:
        """Tells whether this entry can serve callers."""
        kernel = self.kernel
        keeper = kernel.get("catalogs")
        return (
            not kernel.get("front").is_stopping
            and keeper.catalog is not None
            and keeper.get_age_s() < self._settings.revoke_s
            and bool(kernel.get("directory").get_all())
        )

    def reload(self, settings: settings_module.PlatformSettings) -> None:
        """Takes over the bounds of a changed settings file."""
        self._settings = settings
        self.kernel.get("front").set_revocation(settings.revoke_s)
        self.kernel.get("forwarding").set_budget(
            settings.budget_ratio, settings.budget_extra
        )
        _log.info(logs.format_event("reloaded", entry=settings.name))

    async def drain(self) -> None:
        """Stops gracefully: no new work, then the end of what runs."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        limit_s = self._settings.grace_s - STOP_SLACK_S
        kernel = self.kernel
        forwarding = kernel.get("forwarding")
        _log.info(
            logs.format_event(
                "stopping", limit_s=limit_s, running=forwarding.running
            )
        )
        kernel.get("front").stop()
        entries = kernel.get("entries")
        entries.is_stopping = True
        await entries.tell_now()
        await asyncio.sleep(min(READY_LAG_S, limit_s))
        listener, front = kernel.get("front_listener"), kernel.get("front")
        listener.stop_accepting()
        while True:
            # Requests of connections that were just accepted are read first.
            await asyncio.sleep(STOP_POLL_S)
            listener.close_idle(front.busy)
            if not front.busy or loop.time() - began_s > limit_s:
                break
        _log.info(
            logs.format_event(
                "stopped",
                took_s=round(loop.time() - began_s, 2),
                running=forwarding.running,
            )
        )
