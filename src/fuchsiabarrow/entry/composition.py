"""Composition root of an entry that generates tokens over engine chains."""

import asyncio
import contextlib
import random

import logbook
from opentelemetry.sdk.trace import export

from fuchsiabarrow.actions import calls
from fuchsiabarrow.actions import claims
from fuchsiabarrow.actions import forwarding
from fuchsiabarrow.actions import retention
from fuchsiabarrow.actions import service as actions_service
from fuchsiabarrow.actions import writers
from fuchsiabarrow.adapters import engines as engine_adapter
from fuchsiabarrow.adapters import instances as instance_adapter
from fuchsiabarrow.adapters import objects as object_adapter
from fuchsiabarrow.adapters import orders as order_adapter
from fuchsiabarrow.adapters import probes
from fuchsiabarrow.adapters import services as service_adapter
from fuchsiabarrow.adapters import sessions
from fuchsiabarrow.configuration import documents
from fuchsiabarrow.configuration import service as configuration_service
from fuchsiabarrow.entry import authentication
from fuchsiabarrow.entry import callers
from fuchsiabarrow.entry import operators
from fuchsiabarrow.entry import settings as settings_module
from fuchsiabarrow.entry import state as state_module
from fuchsiabarrow.kernel import registry
from fuchsiabarrow.leases import service as leases_service
from fuchsiabarrow.limits import service as limits_service
from fuchsiabarrow.orders import service as orders_service
from fuchsiabarrow.peers import members
from fuchsiabarrow.peers import service as peers_service
from fuchsiabarrow.routing import service as routing_service
from fuchsiabarrow.streams import connections
from fuchsiabarrow.streams import service as streams_service
from fuchsiabarrow.telemetry import logs
from fuchsiabarrow.telemetry import metrics as metrics_module
from fuchsiabarrow.telemetry import traces
from fuchsiabarrow.utils import listeners

__all__ = ["Entry"]

DRAIN_POLL_S = 0.02
# Share of the stop limit reserved for ending the remaining streams, so that
# their callers resume them at other entries, and for pending journal writes.
FINAL_STOP_FRACTION = 0.2

_log = logbook.Logger(__name__)


class Entry:
    """A running entry that generates tokens over chains of engines.

    Attributes:
        caller_address: ``ip:port`` bound for callers, once started.
        operator_address: ``ip:port`` bound for operators, once started.
        kernel: Registry of the services of this entry.

    Args:
        settings: Settings of the entry.
        seed: Seed of the random number generator, None to take one from the
            system.
        exporter: Span exporter that replaces the one in the settings.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        seed: int | None = None,
        exporter: export.SpanExporter | None = None,
    ):
        self.caller_address = ""
        self.operator_address = ""
        self.kernel = registry.Kernel()
        self._settings = settings
        self._source = random.Random(seed)
        self._exporter = exporter
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Entry":
        await self._stack.enter_async_context(self.kernel)
        try:
            await self._add_platform_clients()
            await self._add_peers()
            await self._add_core_services()
            await self._add_http_interfaces()
            await self.kernel.get("peers").join(self.operator_address)
        except BaseException:
            await self._stack.aclose()
            raise
        _log.info(
            logs.format_event(
                "started",
                entry=self._settings.entry.name,
                callers=self.caller_address,
                operators=self.operator_address,
            )
        )
        return self

    async def __aexit__(self, *details) -> None:
        await self._stack.aclose()

    async def _add_platform_clients(self) -> None:
        kernel, settings = self.kernel, self._settings
        session = await kernel.add("session", sessions.make_session())
        timeout_s = settings.platform.timeout_s
        store = object_adapter.HttpObjectStore(
            session, settings.platform.objects_address, timeout_s
        )
        await kernel.add("store", contextlib.nullcontext(store))
        instance_list = instance_adapter.HttpInstanceList(
            session, settings.platform.instances_address, timeout_s
        )
        await kernel.add("instance_list", contextlib.nullcontext(instance_list))

    async def _add_peers(self) -> None:
        kernel, entry = self.kernel, self._settings.entry
        own_member = members.Member(
            entry.name,
            self._settings.peers.address,
            entry.operator_address,
            entry.region,
            entry.failure_domain,
        )

        await kernel.add(
            "peers",
            peers_service.PeersService(
                kernel.get("session"),
                own_member,
                kernel.get("store"),
                self._settings.peers,
                self._source,
            ),
        )

    async def _add_core_services(self) -> None:
        kernel, settings = self.kernel, self._settings
        metrics = metrics_module.PipelineMetrics()
        state = state_module.EntryState()
        key_index = authentication.KeyIndex()
        await kernel.add("metrics", contextlib.nullcontext(metrics))
        await kernel.add("state", contextlib.nullcontext(state))
        await kernel.add("key_index", contextlib.nullcontext(key_index))
        await kernel.add(
            "routing",
            routing_service.RoutingService(
                kernel.get("instance_list"),
                kernel.get("peers"),
                settings.entry.name,
                probes.make_probe(
                    kernel.get("session"), settings.engines.connect_timeout_s
                ),
                settings.routing,
                self._source,
            ),
        )
        await kernel.add(
            "admission", limits_service.AdmissionService(documents.Limits())
        )
        await self._add_streams()
        await self._add_actions()
        configuration = configuration_service.ConfigurationService(
            kernel.get("store"),
            kernel.get("peers"),
            settings.configuration,
            self._source,
        )
        await self._add_orders()
        configuration.add_listener(
            self.kernel.get("orders").apply_configuration
        )
        configuration.add_listener(key_index.update)
        configuration.add_listener(self._change_limits)
        await kernel.add("configuration", configuration)

    async def _add_streams(self) -> None:
        kernel, settings = self.kernel, self._settings
        metrics = kernel.get("metrics")

        def make_connection(instance_id: str, address: str):
            return engine_adapter.EngineConnection(
                kernel.get("session"),
                instance_id,
                address,
                settings.engines,
                metrics.count_event,
            )

        engine_connections = connections.EngineConnections(
            make_connection, kernel.get("routing").health
        )
        await kernel.add("engine_connections", engine_connections)
        kernel.get("routing").add_list_listener(
            engine_connections.close_unlisted
        )
        tracer = traces.make_tracer(settings.traces, self._exporter)
        await kernel.add(
            "streams",
            streams_service.StreamsService(
                kernel.get("routing"),
                engine_connections,
                kernel.get("peers"),
                tracer,
                metrics,
                settings.streams,
                self._source,
            ),
        )

    async def _add_orders(self) -> None:
        kernel, settings = self.kernel, self._settings
        leases = await kernel.add(
            "leases",
            leases_service.LeasesService(
                settings.entry.name,
                kernel.get("store"),
                settings.leases,
                self._source,
            ),
        )
        engine_orders = order_adapter.HttpEngineOrders(
            kernel.get("session"), settings.orders.timeout_s
        )
        await kernel.add(
            "orders",
            orders_service.OrdersService(
                leases,
                kernel.get("peers"),
                kernel.get("routing"),
                engine_orders,
                settings.orders,
                self._source,
            ),
        )

    async def _add_actions(self) -> None:
        kernel, settings = self.kernel, self._settings
        writer = await kernel.add(
            "journal_writer",
            writers.JournalWriter(
                kernel.get("store"),
                settings.actions.writer,
                self._source,
                forwarding.make_forwarder(
                    kernel.get("peers"),
                    settings.actions.writer.forward_timeout_s,
                ),
            ),
        )
        forwarding.register_forward_handler(kernel.get("peers"), writer)
        await kernel.add(
            "journal_sweeper",
            retention.JournalSweeper(
                kernel.get("store"),
                lambda name: (
                    kernel.get("peers").find_remote_owner(name) is None
                ),
                settings.actions.keys,
                self._source,
            ),
        )
        sender = calls.CallSender(
            service_adapter.HttpPlainService(kernel.get("session")),
            kernel.get("routing").choose_service_instance,
            settings.actions.claims.sends,
            kernel.get("routing").record_connection_result,
        )
        runner = await kernel.add(
            "action_runner",
            claims.ActionRunner(
                settings.entry.name,
                writer,
                sender,
                settings.actions.claims,
            ),
        )
        await kernel.add("actions", actions_service.ActionsService(runner))

    async def _add_http_interfaces(self) -> None:
        kernel, entry = self.kernel, self._settings.entry
        operator_app = operators.make_app(
            kernel,
            entry.name,
            entry.max_body_bytes,
            self._settings.operators.bootstrap_key_sha256,
        )
        listener = await kernel.add(
            "operator_listener",
            listeners.Listener(operator_app, entry.operator_address),
        )
        self.operator_address = listener.address
        caller_app = callers.make_app(
            kernel,
            entry.name,
            entry.max_body_bytes,
            self._settings.actions.keys,
        )
        operators.add_health_routes(caller_app, kernel)
        listener = await kernel.add(
            "caller_listener",
            listeners.Listener(caller_app, entry.caller_address),
        )
        self.caller_address = listener.address

    def _change_limits(self, configuration: documents.Configuration) -> None:
        limits = configuration.limits
        self.kernel.get("admission").set_limits(limits)
        self.kernel.get("streams").budget.set_limits(
            limits.retry_ratio, limits.retry_reserve
        )

    async def drain(self) -> None:
        """Shuts down gracefully: refuses new work and waits for running work.

        Streams that still run shortly before the stop limit are ended with an
        error event, on which their callers resume them at another entry.
        """
        limit_s = self._settings.entry.stop_limit_s
        self.kernel.get("state").is_draining = True
        _log.info(logs.format_event("stopping", limit_s=limit_s))
        await self.kernel.get("orders").stop()
        streams = self.kernel.get("streams")
        actions = self.kernel.get("actions")
        try:
            async with asyncio.timeout(limit_s * (1 - FINAL_STOP_FRACTION)):
                while streams.count_running() or actions.count_running():
                    await asyncio.sleep(DRAIN_POLL_S)
        except TimeoutError:
            streams.interrupt_all()
        try:
            async with asyncio.timeout(limit_s * FINAL_STOP_FRACTION / 2):
                await actions.finish_writes()
        except TimeoutError:
            _log.error(logs.format_event("stop_limit", left="actions"))
        await self.kernel.get("peers").leave()
        _log.info(logs.format_event("stopped"))
