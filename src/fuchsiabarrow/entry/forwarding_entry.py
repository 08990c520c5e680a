"""Composition root of an entry that forwards whole requests to upstreams."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import random
import secrets

import aiohttp.web
import logbook

from fuchsiabarrow import exceptions
from fuchsiabarrow.catalogs import access
from fuchsiabarrow.catalogs import service as catalog_service
from fuchsiabarrow.fleet import directory as directory_module
from fuchsiabarrow.fleet import lists
from fuchsiabarrow.fleet import loads
from fuchsiabarrow.fleet import store_calls
from fuchsiabarrow.fleet import watchers
from fuchsiabarrow.forwarding import connection_pools
from fuchsiabarrow.forwarding import isolation
from fuchsiabarrow.forwarding import links
from fuchsiabarrow.forwarding import service as forwarding_service
from fuchsiabarrow.kernel import registry
from fuchsiabarrow.peers import load_reports
from fuchsiabarrow.peers import relays
from fuchsiabarrow.peers import shared_stores
from fuchsiabarrow.peers import summaries
from fuchsiabarrow.peers import tunnels
from fuchsiabarrow.peers import updates
from fuchsiabarrow.placement import service as placement_service
from fuchsiabarrow.platform import frontend as frontend_module
from fuchsiabarrow.platform import settings as settings_module
from fuchsiabarrow.platform import store as store_module
from fuchsiabarrow.platform import upstream_codec
from fuchsiabarrow.platform import upstream_control
from fuchsiabarrow.platform import wire
from fuchsiabarrow.platform import wire_names
from fuchsiabarrow.scheduling import shares
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.utils import clocks
from fuchsiabarrow.utils import listeners

__all__ = ["ForwardingEntry"]

STORE_TIMEOUT_S = 1.0
# Two watches each occupy one connection to the store; the rest are for other
# calls to the store and for fetching collections from other entries.
STORE_CONNECTIONS = 6
# After SIGTERM the platform keeps sending new connections until two readiness
# checks have failed: the first comes within 1 s, the second 1 s later.
DEREGISTRATION_DELAY_S = 3.1
# Time by which a copy may be older than the wait of a watch and still count as
# current: the store's answer may be that late.
SOURCE_DELAY_S = 0.5
EPOCH_BITS = 64
# Requests that still run this long before SIGKILL are ended, so that the
# process can exit: a part of the grace period, up to a maximum. A sixth is what
# is granted to answers that are cut.
SIGKILL_MARGIN_FRACTION = 0.16
MAX_SIGKILL_MARGIN_S = 0.5
# Part of this time in which answers are sent; the rest is for the exit.
ANSWER_FRACTION = 0.4
# Part of it after which the process exits in any case.
EXIT_FRACTION = 0.8
DRAIN_POLL_S = 0.05
# What the listeners beside that for callers serve is small, or can be had from
# another entry.
LISTENER_SHUTDOWN_TIMEOUT_S = 0.01
# Another entry whose configuration was confirmed within this time will trust
# keys for a while yet, so a caller that is refused here can retry there.
RECENT_CONFIRMATION_S = 3.0

_log = logbook.Logger(__name__)


class ForwardingEntry:
    """A running entry that forwards whole requests to upstreams.

    Attributes:
        kernel: Registry of the services of this entry.

    Args:
        settings: Settings that the platform wrote for this process.
        seed: Seed of the random number generator, None to take one from the
            system.
        read_time_s: Clock of the ages of what the store holds. It also counts
            time for which the instance is suspended, as keys may be revoked
            meanwhile.
    """

    def __init__(
        self,
        settings: settings_module.PlatformSettings,
        seed: int | None = None,
        read_time_s: clocks.Clock = clocks.read_boot_time_s,
    ):
        self._read_time_s = read_time_s
        self.kernel = registry.Kernel()
        self._settings = settings
        self._source = random.Random(seed)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "ForwardingEntry":
        await self._stack.enter_async_context(self.kernel)
        try:
            await self._add_replicated_state()
            await self._add_forwarding()
            await self._add_load_reports()
            await self._add_tunnels()
            await self._add_placement()
            await self._add_http_interfaces()
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

    async def _add_replicated_state(self) -> None:
        kernel, settings = self.kernel, self._settings
        read_time_s = self._read_time_s
        session = await kernel.add(
            "session",
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(
                    limit=STORE_CONNECTIONS, keepalive_timeout=10.0
                ),
                auto_decompress=False,
            ),
        )
        wait_s = watchers.compute_wait_s(settings.apply_s)
        store = shared_stores.SharedStore(
            store_calls.CountedStore(
                store_module.StoreClient(
                    session, settings.store_address, STORE_TIMEOUT_S
                ),
                read_time_s,
            ),
            session,
            self._find_sources,
            settings.name,
            wait_s + SOURCE_DELAY_S,
            wire_names.CONFIGURATION_KIND,
            self._source,
            read_time_s,
        )
        await kernel.add("store", contextlib.nullcontext(store))
        directory = directory_module.Directory(read_time_s)
        await kernel.add("directory", contextlib.nullcontext(directory))
        current_catalog = catalog_service.CurrentCatalog(
            wire.decode_catalog, wire_names.CONFIGURATION_NAME, read_time_s
        )
        await kernel.add(
            "current_catalog", contextlib.nullcontext(current_catalog)
        )
        current_catalog.add_listener(
            lambda catalog: directory.set_services(catalog.get_layer_counts())
        )
        list_updater = lists.UpstreamListUpdater(
            directory, wire.decode_upstream
        )
        await kernel.add("list_updater", contextlib.nullcontext(list_updater))
        update_server = updates.UpdateServer(
            secrets.randbits(EPOCH_BITS), wait_s + SOURCE_DELAY_S, read_time_s
        )
        await kernel.add("update_server", contextlib.nullcontext(update_server))
        catalog_watcher = await kernel.add(
            "catalog_watcher",
            watchers.CollectionWatcher(
                store,
                wire_names.CONFIGURATION_KIND,
                self._announce(
                    wire_names.CONFIGURATION_KIND, current_catalog.make_sink()
                ),
                self._source,
                lists.OUTAGE_EFFECT_S,
                wait_s,
                count_entries=self._count_store_readers,
                has_one_object=True,
                read_time_s=read_time_s,
            ),
        )
        upstream_watcher = await kernel.add(
            "upstream_watcher",
            watchers.CollectionWatcher(
                store,
                wire_names.UPSTREAMS_KIND,
                self._announce(
                    wire_names.UPSTREAMS_KIND, list_updater.make_sink()
                ),
                self._source,
                lists.OUTAGE_EFFECT_S,
                watchers.CONFIRMED_WATCH_WAIT_S,
                self._count_store_readers,
                read_time_s=read_time_s,
            ),
        )
        catalog_watcher.share_revisions_with(upstream_watcher)
        self._share_collections()

    def _share_collections(self) -> None:
        """Lets other entries follow the collections of this one."""
        kernel = self.kernel
        server, store = kernel.get("update_server"), kernel.get("store")
        current_catalog, directory, list_updater = (
            kernel.get("current_catalog"),
            kernel.get("directory"),
            kernel.get("list_updater"),
        )

        def share(kind, watcher, get_objects, get_confirmed_s) -> None:
            server.add_collection(
                updates.SharedCollection(
                    kind,
                    get_objects,
                    get_confirmed_s,
                    lambda: watcher.revision,
                    lambda: (
                        not (store.is_following(kind) or watcher.is_unreachable)
                    ),
                )
            )

        share(
            wire_names.CONFIGURATION_KIND,
            kernel.get("catalog_watcher"),
            current_catalog.get_objects,
            lambda: current_catalog.confirmed_at_s,
        )
        share(
            wire_names.UPSTREAMS_KIND,
            kernel.get("upstream_watcher"),
            list_updater.get_objects,
            lambda: directory.updated_at_s,
        )
        # Changes that do not come from the watchers: delayed removals, copies
        # relayed by other entries.
        current_catalog.add_listener(
            lambda _: server.announce(wire_names.CONFIGURATION_KIND)
        )
        directory.add_listener(
            lambda: server.announce(wire_names.UPSTREAMS_KIND)
        )

    def _announce(self, kind: str, sink: watchers.Sink) -> watchers.Sink:
        """Returns a sink that also tells followers of confirmations."""
        server = self.kernel.get("update_server")

        def confirm(at_s: float) -> None:
            sink.confirm(at_s)
            server.announce(kind)

        return dataclasses.replace(
            sink, confirm=confirm, report_outage=lambda: server.announce(kind)
        )

    def _find_sources(self) -> list[str]:
        """Returns the entries through which this one reads the store."""
        is_available = "load_reports" in self.kernel
        return (
            self.kernel.get("load_reports").find_sources()
            if is_available
            else []
        )

    def _count_store_readers(self) -> int:
        """Returns how many entries may read the store like this one.

        These are all live ones if this one cannot follow its sources. Returns 1
        before load reports start.
        """
        if "load_reports" not in self.kernel:
            return 1
        reports = self.kernel.get("load_reports")
        if self.kernel.get("store").has_only_store():
            return reports.count_live()
        return reports.count_sources()

    async def _add_forwarding(self) -> None:
        kernel, settings = self.kernel, self._settings
        metrics = metrics_module.ForwardingMetrics()
        await kernel.add("metrics", contextlib.nullcontext(metrics))
        load_table = loads.LoadTable()
        await kernel.add("load_table", contextlib.nullcontext(load_table))
        forwarding_settings = forwarding_service.Settings(
            failure_domain=settings.failure_domain,
            budget_ratio=settings.budget_ratio,
            budget_extra=settings.budget_extra,
            budget_window_s=settings.budget_window_s,
        )
        link_table = links.LinkTable(
            asyncio.get_running_loop().time, self._source
        )
        await kernel.add("link_table", contextlib.nullcontext(link_table))
        tunnel_client = tunnels.TunnelClient(
            settings.failure_domain,
            lambda: kernel.get("load_reports").find_helpers(),
            self._source,
        )
        connection_pool = await kernel.add(
            "connection_pool",
            connection_pools.ConnectionPool(
                forwarding_settings.connect_timeout_s,
                link_table,
                tunnel_client,
                metrics,
            ),
        )
        share_table = shares.ShareTable(
            settings.name, asyncio.get_running_loop().time()
        )
        await kernel.add("share_table", contextlib.nullcontext(share_table))
        control = upstream_control.UpstreamControl(connection_pool)
        await kernel.add("upstream_control", contextlib.nullcontext(control))
        await kernel.add(
            "forwarding",
            forwarding_service.ForwardingService(
                kernel.get("directory"),
                load_table,
                upstream_codec.UpstreamCodec(),
                connection_pool,
                control,
                kernel.get("current_catalog").get,
                lambda: kernel.get("load_reports").count_quota_shares(),
                lambda: kernel.get("load_reports").get_propagation_delay_s(),
                forwarding_settings,
                self._source,
                metrics,
                share_table,
            ),
        )

    async def _add_load_reports(self) -> None:
        kernel, settings = self.kernel, self._settings
        forwarding = kernel.get("forwarding")
        reports = await kernel.add(
            "load_reports",
            load_reports.LoadReports(
                kernel.get("directory"),
                kernel.get("load_table"),
                forwarding.crash_counts,
                forwarding.part_crashes,
                forwarding.upstream_limits,
                forwarding.record_reported,
                kernel.get("current_catalog").get_age_s,
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
                self._make_helper,
                lambda: not kernel.get("link_table").has_lasting_fault(),
                kernel.get("share_table"),
            ),
        )

        await self._add_relay(reports)

    async def _add_relay(self, reports: load_reports.LoadReports) -> None:
        kernel, settings = self.kernel, self._settings
        current_catalog, list_updater = (
            kernel.get("current_catalog"),
            kernel.get("list_updater"),
        )
        find_holders_by_kind = {
            wire_names.CONFIGURATION_KIND: reports.find_configuration_holders,
            wire_names.UPSTREAMS_KIND: reports.find_upstream_list_holders,
        }
        relay = relays.Relay(
            kernel.get("session"),
            [
                relays.RelayedCollection(
                    wire_names.CONFIGURATION_KIND,
                    current_catalog.get_objects,
                    current_catalog.get_age_s,
                    current_catalog.make_sink(),
                ),
                relays.RelayedCollection(
                    wire_names.UPSTREAMS_KIND,
                    list_updater.get_objects,
                    kernel.get("directory").get_age_s,
                    list_updater.make_sink(),
                ),
            ],
            lambda kind, limit_s: find_holders_by_kind[kind](limit_s),
            self._source,
            watchers.compute_wait_s(settings.apply_s),
            self._read_time_s,
        )
        await kernel.add("relay", relay)
        app = relay.make_app()
        kernel.get("update_server").add_routes(app)
        await kernel.add(
            "relay_listener",
            listeners.Listener(
                app,
                f"{settings.ip}:{settings.entry_port}",
                LISTENER_SHUTDOWN_TIMEOUT_S,
            ),
        )

    async def _add_tunnels(self) -> None:
        kernel, settings = self.kernel, self._settings
        directory = kernel.get("directory")
        if settings.tunnel_port:

            def is_known(address: str) -> bool:
                upstream = directory.find_by_address(address)
                return upstream is not None and not upstream.is_leaving

            await kernel.add(
                "tunnel_server",
                tunnels.TunnelServer(
                    f"{settings.ip}:{settings.tunnel_port}",
                    lambda: not kernel.get("link_table").is_cut_off(),
                    is_known,
                    self._connect_for_other,
                ),
            )
        await kernel.add(
            "isolation_monitor",
            isolation.IsolationMonitor(
                kernel.get("link_table"),
                directory,
                kernel.get("connection_pool"),
                self._source,
            ),
        )

    async def _connect_for_other(
        self,
        address: str,
        make_protocol: Callable[[], asyncio.Protocol],
        timeout_s: float,
    ) -> asyncio.Protocol:
        """Connects to an upstream for another entry.

        Raises:
            UpstreamUnreachableError: The upstream does not accept connections.
                This entry avoids it then, too.
            NoHelperError: The same, but the links of this entry may be at
                fault.
        """
        kernel = self.kernel
        is_sound = kernel.get("link_table").is_sound()
        try:
            return await kernel.get("connection_pool").connect_directly(
                address, make_protocol, timeout_s
            )
        except exceptions.UpstreamUnreachableError as error:
            upstream = kernel.get("directory").find_by_address(address)
            if upstream is not None:
                kernel.get("forwarding").record_failure(
                    upstream, f"connect: {error}"
                )
            if not is_sound:
                raise exceptions.NoHelperError(str(error)) from error
            raise

    def _make_helper(self) -> summaries.Helper | None:
        """Returns how other entries reach upstreams through this one."""
        kernel = self.kernel
        link_table = kernel.get("link_table")
        if "tunnel_server" not in kernel or link_table.is_cut_off():
            return None
        server = kernel.get("tunnel_server")
        return summaries.Helper(
            link_table.reached_at_s,
            server.address,
            self._settings.failure_domain,
            server.token,
            link_table.has_fault(),
        )

    async def _add_placement(self) -> None:
        kernel = self.kernel

        def has_duty() -> bool:
            # While upstreams may only seem dead, the leader sends no orders.
            return (
                kernel.get("load_reports").has_duty()
                and not kernel.get("link_table").has_fault()
            )

        await kernel.add(
            "placement",
            placement_service.PlacementService(
                kernel.get("directory"),
                kernel.get("current_catalog").get,
                kernel.get("upstream_control").place,
                kernel.get("upstream_control").read_report,
                has_duty,
                lambda u: kernel.get("load_table").get(u.key).requests,
            ),
        )

    async def _add_http_interfaces(self) -> None:
        kernel, settings = self.kernel, self._settings
        reports = kernel.get("load_reports")
        frontend = frontend_module.Frontend(
            kernel.get("current_catalog"),
            kernel.get("forwarding"),
            access.Limits(settings.apply_s, settings.revoke_s),
            lambda: bool(
                reports.find_configuration_holders(RECENT_CONFIRMATION_S)
            ),
            self._source,
        )
        await kernel.add("frontend", contextlib.nullcontext(frontend))
        await kernel.add(
            "frontend_listener",
            listeners.ServerListener(
                frontend.make_server(), settings.caller_address
            ),
        )
        app = aiohttp.web.Application()
        app.router.add_get(wire_names.READY_PATH, self._answer_ready)
        await kernel.add(
            "ready_listener",
            listeners.Listener(
                app, settings.ready_address, LISTENER_SHUTDOWN_TIMEOUT_S
            ),
        )

        if settings.operator_address:
            app = aiohttp.web.Application()
            app.router.add_get("/metrics", self._answer_metrics)
            await kernel.add(
                "operator_listener",
                listeners.Listener(
                    app, settings.operator_address, LISTENER_SHUTDOWN_TIMEOUT_S
                ),
            )

    async def _answer_metrics(self, _) -> aiohttp.web.Response:
        kernel = self.kernel
        metrics = kernel.get("metrics")
        current_catalog, directory = (
            kernel.get("current_catalog"),
            kernel.get("directory"),
        )
        if current_catalog.catalog is not None:
            metrics.configuration_version.set(current_catalog.catalog.version)
        metrics.configuration_age_s.set(current_catalog.get_age_s())
        metrics.list_age_s.set(directory.get_age_s())
        metrics.upstreams.set(len(directory.get_all()))
        metrics.avoided_upstreams.set(directory.count_avoided())
        metrics.isolated.set(kernel.get("link_table").is_isolated())
        if "tunnel_server" in kernel:
            metrics.tunnels.set(kernel.get("tunnel_server").count())
        metrics.entries.set(kernel.get("load_reports").count_live())
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
        """Returns whether this entry can serve callers.

        It can if it is not stopping, knows at least one upstream and has a
        configuration recent enough for its keys to be trusted.
        """
        kernel = self.kernel
        current_catalog = kernel.get("current_catalog")
        return (
            not kernel.get("frontend").is_stopping
            and current_catalog.catalog is not None
            and current_catalog.get_age_s() < self._settings.revoke_s
            and bool(kernel.get("directory").get_all())
        )

    def reload(self, settings: settings_module.PlatformSettings) -> None:
        """Applies changes of settings that need no restart.

        These are the ages from which keys are not trusted and unknown routes
        not denied, the ratio and the extra retries of the retry budget, and the
        time limit of a shutdown.
        """
        self._settings = settings
        self.kernel.get("frontend").set_limits(
            access.Limits(settings.apply_s, settings.revoke_s)
        )
        self.kernel.get("forwarding").set_retry_budget(
            settings.budget_ratio, settings.budget_extra
        )
        _log.info(logs.format_event("reloaded", entry=settings.name))

    def _stop_tunnels(self) -> tuple[Callable[[], int], Callable[[], int]]:
        """Refuses new tunnels.

        Returns:
            Functions that count the open ones and that cut them.
        """
        if "tunnel_server" not in self.kernel:
            return lambda: 0, lambda: 0
        server = self.kernel.get("tunnel_server")
        server.is_stopping = True
        return server.count, server.cut

    async def drain(self) -> float:
        """Shuts down gracefully: stops accepting and finishes running work.

        New connections are accepted for `DEREGISTRATION_DELAY_S`, as the
        platform still sends them. At the time limit, requests whose answer has
        not begun are refused; shortly after it, answers that are not complete
        are cut.

        Returns:
            Loop time by which the process has to exit.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        grace_s = self._settings.grace_s
        margin_s = min(MAX_SIGKILL_MARGIN_S, SIGKILL_MARGIN_FRACTION * grace_s)
        limit_s = grace_s - margin_s
        kernel = self.kernel
        forwarding, frontend, listener, reports = (
            kernel.get("forwarding"),
            kernel.get("frontend"),
            kernel.get("frontend_listener"),
            kernel.get("load_reports"),
        )
        _log.info(
            logs.format_event(
                "stopping", limit_s=limit_s, running=forwarding.running
            )
        )
        frontend.stop()
        reports.is_stopping = True
        count_tunnels, cut_tunnels = self._stop_tunnels()
        await reports.send_now()
        await asyncio.sleep(min(DEREGISTRATION_DELAY_S, limit_s - DRAIN_POLL_S))
        listener.stop_accepting()
        limit_at_s = started_s + limit_s
        await self._finish_requests(limit_at_s, count_tunnels)
        tunnel_count = cut_tunnels()
        refused = forwarding.end_requests()
        # What was read by now is still answered.
        listener.pause_reading()
        await self._finish_requests(
            limit_at_s + ANSWER_FRACTION * margin_s, lambda: 0
        )
        cut = await listener.cut()
        _log.info(
            logs.format_event(
                "stopped",
                took_s=round(loop.time() - started_s, 2),
                refused=refused,
                cut=cut,
                tunnels=tunnel_count,
            )
        )
        return limit_at_s + EXIT_FRACTION * margin_s

    async def _finish_requests(
        self, until_s: float, count_others: Callable[[], int]
    ) -> None:
        """Closes callers' connections as soon as their last answer is sent.

        Args:
            until_s: Loop time at which it returns in any case.
            count_others: Returns the number of other things to wait for.
        """
        loop = asyncio.get_running_loop()
        frontend = self.kernel.get("frontend")
        listener = self.kernel.get("frontend_listener")
        while True:
            # Lets requests on connections accepted just now be read first.
            await asyncio.sleep(
                min(DRAIN_POLL_S, max(0.0, until_s - loop.time()))
            )
            listener.close_idle(frontend.busy_connections)
            is_busy = listener.connections or count_others()
            if not is_busy or loop.time() >= until_s:
                return
