"""The node process: proxies requests and keeps the discovery state up to date."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import aiohttp
import logbook
from aiohttp import web

from ..feed.members import Member
from ..feed.publisher import Publisher
from ..feed.record_log import RecordLog
from ..feed.store_reader import StoreReader
from ..feed.synchronizer import Synchronizer
from ..platform.headers import REQUEST_ID
from ..platform.records import NODE_PREFIX, WATCHED_PREFIX, decode_change
from ..platform.store import PlatformStore
from ..quotas.customer_quotas import CustomerQuotas
from ..quotas.quota_link import QUOTAS_PATH
from ..routes.destination_selector import DestinationSelector
from ..transport.buffer_budget import BufferBudget
from ..transport.caller_server import CLOSE_TIMEOUT_S, CallerServer
from ..transport.listening import LISTEN_BACKLOG
from ..transport.upstream_client import AUTOMATIC_HEADERS, UpstreamClient
from .balancer_registry import BalancerRegistry
from .caller_connections import CallerConnections
from .customer_admission import CustomerAdmission
from .discovery_state import DiscoveryState
from .monitoring_servers import serve_metrics, serve_readiness
from .node_metrics import NodeMetrics
from .registration import Registration
from .request_handler import RequestHandler
from .settings_watcher import SettingsWatcher
from .shutdown import Shutdown
from .upstream_prober import UpstreamProber

if TYPE_CHECKING:
    from aioprometheus import Registry

    from ..feed.record_log import RecordBatch
    from ..routes.caller_limits import CallerLimits
    from ..routes.route_table import RouteTable
    from .settings import NodeSettings

# The platform's store responds within milliseconds, so a call that takes longer has
# failed.
STORE_TIMEOUT_S = 0.8
MAX_HEADER_BYTES = 65_536
PROBE_KEEPALIVE_S = 8.0
# Limit on requests in flight per megabyte of the memory limit.
REQUESTS_PER_MB = 5
# Share of the memory limit that the bodies of responses may take that are held until
# they are complete; the buffers of streamed responses may take as much again.
BUFFER_SHARE = 0.2
BYTES_PER_MB = 1_000_000
# Longer than any idle timeout, because ``CallerConnections`` closes idle connections
# instead of the HTTP library.
LIBRARY_KEEPALIVE_S = 86_400.0

logger = logbook.Logger("verbenacross.node")


class Node:
    """One instance: proxies requests and synchronizes records with the others."""

    def __init__(
        self, settings: NodeSettings, client: UpstreamClient, sessions: HttpSessions
    ) -> None:
        self.settings = settings
        self.metrics = NodeMetrics()
        self.discovery = DiscoveryState()
        self.shutdown = Shutdown(settings)
        self.connections = CallerConnections(settings.max_descriptors)
        store = PlatformStore(sessions.store, settings.store, STORE_TIMEOUT_S)
        self.record_log = RecordLog()
        self.record_log.batches.subscribe(self._apply_batch)
        self.reader = StoreReader(store, WATCHED_PREFIX, self.record_log)
        self.publisher = Publisher(self.record_log, self.reader.is_fresh)
        member = Member(
            settings.instance,
            str(settings.peer_listen),
            settings.failure_domain,
            settings.link_mbps,
        )
        self.synchronizer = Synchronizer(
            member,
            settings.seeds,
            self.reader,
            self.publisher,
            self.record_log,
            self.discovery.get_members,
            self.discovery.upstreams.start_reregistration_grace,
            is_first_start=settings.is_first_start,
        )
        self.registration = Registration(
            store,
            self.record_log,
            self.synchronizer,
            self.discovery.get_members,
            NODE_PREFIX,
            member,
        )
        prober = UpstreamProber(sessions.probes, self._find_health_path)
        self.balancers = BalancerRegistry(settings, self.discovery, prober)
        self.buffers = BufferBudget(
            int(settings.memory_mb * BYTES_PER_MB * BUFFER_SHARE)
        )
        self.quotas = CustomerQuotas(
            member, self.discovery.get_members, self.discovery.count_instances
        )
        self.publisher.handlers[QUOTAS_PATH] = self.quotas.handle_connection
        self.discovery.table_changes.subscribe(self.quotas.apply_table)
        self.admission = CustomerAdmission(
            self.synchronizer.get_staleness_s,
            self.quotas,
            settings.revocation_timeout_s,
        )
        self.handler = RequestHandler(
            self.discovery,
            self.balancers,
            client,
            self.connections,
            self.shutdown,
            self.metrics,
            DestinationSelector(random.Random()),
            settings.memory_mb * REQUESTS_PER_MB,
            self.buffers,
            self.admission,
        )
        self._limits: CallerLimits | None = None
        self.discovery.table_changes.subscribe(self._apply_limits)
        self.discovery.table_changes.subscribe(self.admission.apply_table)

    @classmethod
    async def run_from_settings(
        cls, settings: NodeSettings, path: str, listener: socket.socket | None = None
    ) -> None:
        """Runs a node until SIGTERM; reloads its settings on SIGHUP and on changes.

        Accepts connections from ``listener`` if it is given.
        """
        async with AsyncExitStack() as stack:
            client = await UpstreamClient.from_stack(stack, MAX_HEADER_BYTES)
            sessions = await HttpSessions.from_stack(stack)
            node = cls(settings, client, sessions)
            stack.callback(node.balancers.close)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, node.shutdown.start)
            watcher = SettingsWatcher(path, settings, node.apply_settings)
            loop.add_signal_handler(signal.SIGHUP, watcher.reload)
            stack.callback(asyncio.create_task(watcher.run()).cancel)
            await node.run(stack, listener)

    async def run(
        self, stack: AsyncExitStack, listener: socket.socket | None = None
    ) -> None:
        """Serves callers until the shutdown is complete."""
        settings = self.settings
        server = CallerServer(
            self.handler.handle,
            accepts_ahead=lambda: True,
            get_idle_timeout_s=lambda: self.connections.idle_timeout_s,
            request_id_header=REQUEST_ID,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            keepalive_timeout=LIBRARY_KEEPALIVE_S,
        )
        server.closed_connections.subscribe(self.metrics.record_closed_connection)
        server.late_requests.subscribe(self.metrics.record_late_request)
        await serve_readiness(stack, settings.readiness_listen, self.is_ready)
        await serve_metrics(stack, settings.metrics_listen, self)
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await self._listen(runner, listener)
        await self.publisher.listen(stack, settings.peer_listen)
        for background in (
            self.synchronizer.run(),
            self.connections.run(server),
            self.quotas.run(),
        ):
            stack.callback(asyncio.create_task(background).cancel)
        registration = asyncio.create_task(self.registration.run())
        stack.callback(registration.cancel)
        logger.info("started", extra={"listen": str(settings.listen)})
        await self.shutdown.started.wait()
        # Peers replace this instance as their source while it still serves them.
        registration.cancel()
        removal = asyncio.create_task(self.registration.close())
        stack.callback(removal.cancel)

        async def stop_listening() -> None:
            for site in list(runner.sites):
                await site.stop()

        await self.shutdown.wait(server, stop_listening)

    async def _listen(
        self, runner: web.ServerRunner, listener: socket.socket | None
    ) -> None:
        """Accepts callers; raises ``OSError`` if the address cannot be used."""
        host, port = self.settings.listen.host, self.settings.listen.port
        if listener is not None and listener.getsockname()[:2] == (host, port):
            await web.SockSite(runner, listener, backlog=LISTEN_BACKLOG).start()
            return
        # The settings have changed since the socket was opened, or it was not opened.
        if listener is not None:
            listener.close()
        await web.TCPSite(runner, host, port, backlog=LISTEN_BACKLOG).start()

    def is_ready(self) -> bool:
        """Returns whether the process accepts new connections."""
        return self.discovery.is_loaded() and not self.shutdown.started.is_set()

    def apply_settings(self, settings: NodeSettings) -> None:
        """Applies changed settings; addresses and names stay until the next start."""
        self.settings = settings
        self.balancers.apply_settings(settings)
        self.shutdown.grace_s = settings.grace_period_s
        self.synchronizer.set_seeds(settings.seeds)
        self.admission.revocation_timeout_s = settings.revocation_timeout_s

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process for JSON."""
        return {
            "instance": self.settings.instance,
            "ready": self.is_ready(),
            "in_flight": self.shutdown.drain.in_flight,
            "store_connected": self.reader.is_connected,
            "is_fresh": self.synchronizer.is_fresh(),
            "store_era": self.record_log.position.era,
            "revision": self.record_log.revision,
            "ignored_records": self.record_log.ignored_count,
            "sources": self.synchronizer.describe_sources(),
            "knowledge": self.discovery.describe(),
            "services": self.balancers.describe(),
            "quotas": self.quotas.describe(),
            "hedging": self.balancers.describe_hedging(),
        }

    def refresh_metrics(self) -> Registry:
        """Updates the gauges and returns the registry."""
        table = self.discovery.table
        customers = table.customers if table else None
        for name, value in (
            ("ready", self.is_ready()),
            ("in_flight", self.shutdown.drain.in_flight),
            ("store_connected", self.reader.is_connected),
            ("store_reads", self.reader.call_count),
            ("store_checks", self.reader.check_count),
            ("store_era", self.record_log.position.era),
            ("store_revision", self.record_log.revision),
            ("ignored_records", self.record_log.ignored_count),
            ("subscribers", self.publisher.subscriber_count),
            ("is_fresh", self.synchronizer.is_fresh()),
            ("configuration_version", table.version if table else 0),
            ("customers", len(customers.by_name) if customers else 0),
            ("customer_keys", customers.key_count if customers else 0),
            ("instances", self.balancers.instance_count),
            ("waiting", self.balancers.count_waiting()),
            ("probes", self.balancers.count_probes()),
            ("unprobed", self.balancers.count_unprobed()),
            ("upstreams_leaving", self.balancers.count_leaving()),
            ("upstreams_busy", self.balancers.count_busy()),
            ("evacuated_domains", len(self.discovery.evacuated_domains)),
            ("upstreams_evacuated", self.balancers.count_evacuated()),
            ("upstreams_cold", self.balancers.count_cold()),
            ("cold_requests", self.balancers.count_cold_requests()),
            ("held_back", self.balancers.count_held_back()),
            ("buffered_bytes", self.buffers.held_bytes),
            ("streamed_responses", self.buffers.stream_count),
            *self.quotas.get_gauges().items(),
        ):
            self.metrics.gauges.set({"name": name}, float(value))
        self.metrics.set_quota_fractions(self.quotas.get_fractions())
        self.metrics.set_reserved_slots(self.balancers.count_reserved_slots())
        for service, counts in self.balancers.get_hedge_counts().items():
            self.metrics.set_hedge_counts(service, counts)
        return self.metrics.registry

    def _apply_batch(self, batch: RecordBatch) -> None:
        self.discovery.begin_era(batch.era)
        for record in batch.records:
            try:
                change = decode_change(record)
                if change is not None:
                    self.discovery.apply(
                        change, batch.source, is_restored=batch.is_restored
                    )
            except Exception:
                # The source must not end, nor the other records be lost, because of a
                # record that this version does not handle.
                logger.exception(
                    "record cannot be applied",
                    extra={"key": record.key, "revision": record.revision},
                )

    def _apply_limits(self, table: RouteTable) -> None:
        limits = table.limits
        if limits != self._limits:
            logger.info("limits on callers in force", extra=limits._asdict())
            self._limits = limits
        self.connections.idle_timeout_s = limits.idle_timeout_s
        self.connections.header_timeout_s = limits.header_timeout_s
        self.connections.max_header_bytes = limits.max_header_bytes

    def _find_health_path(self, service: str) -> str | None:
        table = self.discovery.table
        found = table.services.get(service) if table is not None else None
        return found.health_path if found is not None else None


class HttpSessions:
    """HTTP client sessions for the store and for probes."""

    def __init__(
        self, store: aiohttp.ClientSession, probes: aiohttp.ClientSession
    ) -> None:
        self.store = store
        self.probes = probes

    @classmethod
    async def from_stack(cls, stack: AsyncExitStack) -> HttpSessions:
        """Opens the sessions; the stack closes them."""
        store = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, socket_factory=open_store_socket),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        probes = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=PROBE_KEEPALIVE_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            # A probe needs no headers but Host; each byte is sent hundreds of times a
            # second.
            skip_auto_headers=AUTOMATIC_HEADERS,
        )
        await stack.enter_async_context(store)
        await stack.enter_async_context(probes)
        return cls(store, probes)


def open_store_socket(address: tuple[Any, ...]) -> socket.socket:
    """Opens a socket whose keepalive finds a dead peer within about three seconds."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    return opened
