"""The node process."""

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
from ..platform.records import NODE_PREFIX, WATCHED_PREFIX, read_change
from ..platform.store import PlatformStore
from ..routes.destination_choice import DestinationChoice
from ..transport.caller_server import CLOSE_TIMEOUT_S, CallerServer
from ..transport.upstream_client import UpstreamClient
from .balancers import Balancers
from .caller_connections import CallerConnections
from .knowledge import Knowledge
from .node_metrics import NodeMetrics
from .registration import Registration
from .request_handler import RequestHandler
from .settings_watch import SettingsWatch
from .shutdown import Shutdown
from .side_servers import serve_metrics, serve_readiness
from .upstream_prober import UpstreamProber

if TYPE_CHECKING:
    from aioprometheus import Registry

    from ..feed.record_log import RecordBatch
    from ..routes.route_table import RouteTable
    from .settings import NodeSettings

# The platform's store answers in milliseconds; a longer silence means trouble.
STORE_TIMEOUT_S = 0.8
LISTEN_BACKLOG = 1_024
MAX_HEADER_BYTES = 65_536
PROBE_KEEPALIVE_S = 8.0
# Requests in flight for each megabyte of the limit: answers of 100 kB fill half of it.
REQUESTS_PER_MB = 5
# Above every idle limit, because ``CallerConnections`` closes idle connections.
OWN_IDLE_SWEEP_S = 86_400.0

logger = logbook.Logger("verbenacross.node")


class Node:
    """Entry and control of one instance."""

    def __init__(
        self, settings: NodeSettings, client: UpstreamClient, sessions: Sessions
    ) -> None:
        self.settings = settings
        self.metrics = NodeMetrics()
        self.knowledge = Knowledge()
        self.shutdown = Shutdown(settings)
        self.connections = CallerConnections(settings.max_descriptors)
        store = PlatformStore(sessions.store, settings.store, STORE_TIMEOUT_S)
        self.log = RecordLog()
        self.log.batches.subscribe(self._take_batch)
        self.reader = StoreReader(store, WATCHED_PREFIX, self.log)
        self.publisher = Publisher(self.log, self.reader.is_fresh)
        own = Member(
            settings.instance, str(settings.peer_listen), settings.failure_domain
        )
        self.registration = Registration(store, self.log, NODE_PREFIX, own)
        self.synchronizer = Synchronizer(
            own,
            settings.seeds,
            self.reader,
            self.publisher,
            self.log,
            lambda: list(self.knowledge.members.values()),
            self.knowledge.expect_returns,
            is_first_start=settings.is_first_start,
        )
        prober = UpstreamProber(sessions.probes, self._find_health_path)
        self.balancers = Balancers(settings, self.knowledge, prober)
        self.handler = RequestHandler(
            self.knowledge,
            self.balancers,
            client,
            self.connections,
            self.shutdown,
            self.metrics,
            DestinationChoice(random.Random()),
            settings.memory_mb * REQUESTS_PER_MB,
        )
        self.knowledge.configurations.subscribe(self._take_table)

    @classmethod
    async def run_from_settings(cls, settings: NodeSettings, path: str) -> None:
        """Runs a node until it is told to stop; follows changes of its settings."""
        async with AsyncExitStack() as stack:
            client = await UpstreamClient.from_stack(stack, MAX_HEADER_BYTES)
            sessions = await Sessions.from_stack(stack)
            node = cls(settings, client, sessions)
            stack.callback(node.balancers.close)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, node.shutdown.request)
            watch = SettingsWatch(path, settings, node.take_settings)
            loop.add_signal_handler(signal.SIGHUP, watch.read)
            stack.callback(asyncio.create_task(watch.run()).cancel)
            await node.run(stack)

    async def run(self, stack: AsyncExitStack) -> None:
        """Serves callers until stopped, then lets requests in flight end."""
        settings = self.settings
        server = CallerServer(
            self.handler.handle,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            keepalive_timeout=OWN_IDLE_SWEEP_S,
        )
        await serve_readiness(stack, settings.readiness_listen, self.is_ready)
        await serve_metrics(stack, settings.metrics_listen, self)
        runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_S)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        address = settings.listen
        await web.TCPSite(
            runner, address.host, address.port, backlog=LISTEN_BACKLOG
        ).start()
        await self.publisher.listen(stack, settings.peer_listen)
        for work in (
            self.synchronizer.run(),
            self.registration.run(),
            self.connections.run(server),
        ):
            stack.callback(asyncio.create_task(work).cancel)
        stack.push_async_callback(self.registration.close)
        logger.info("started", extra={"listen": str(address)})
        await self.shutdown.wait()

    def is_ready(self) -> bool:
        """Returns whether the process wants new connections."""
        return self.knowledge.is_complete() and not self.shutdown.requested.is_set()

    def take_settings(self, settings: NodeSettings) -> None:
        """Takes changed settings; addresses and names stay until the next start."""
        self.settings = settings
        self.balancers.take_settings(settings)
        self.shutdown.grace_s = settings.grace_period_s
        self.synchronizer.set_seeds(settings.seeds)

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process as a JSON object."""
        return {
            "instance": self.settings.instance,
            "ready": self.is_ready(),
            "in_flight": self.shutdown.drain.in_flight,
            "store_connected": self.reader.is_connected,
            "is_fresh": self.synchronizer.is_fresh(),
            "revision": self.log.revision,
            "knowledge": self.knowledge.describe(),
            "services": self.balancers.describe(),
        }

    def refresh_metrics(self) -> Registry:
        """Returns the registry with gauges of this moment."""
        table = self.knowledge.table
        for name, value in (
            ("ready", self.is_ready()),
            ("in_flight", self.shutdown.drain.in_flight),
            ("store_connected", self.reader.is_connected),
            ("store_reads", self.reader.call_count),
            ("store_checks", self.reader.check_count),
            ("subscribers", self.publisher.subscriber_count),
            ("is_fresh", self.synchronizer.is_fresh()),
            ("configuration_version", table.version if table else 0),
            ("instances", self.balancers.instances),
            ("waiting", self.balancers.count_waiting()),
            ("probes", self.balancers.count_probes()),
        ):
            self.metrics.gauges.set({"name": name}, float(value))
        return self.metrics.registry

    def _take_batch(self, batch: RecordBatch) -> None:
        for record in batch.records:
            change = read_change(record)
            if change is not None:
                self.knowledge.apply(change, batch.source)

    def _take_table(self, table: RouteTable) -> None:
        self.connections.idle_timeout_s = table.limits.idle_timeout_s

    def _find_health_path(self, service: str) -> str | None:
        table = self.knowledge.table
        found = table.services.get(service) if table is not None else None
        return found.health_path if found is not None else None


class Sessions:
    """HTTP sessions for everything but requests of callers."""

    def __init__(
        self, store: aiohttp.ClientSession, probes: aiohttp.ClientSession
    ) -> None:
        self.store = store
        self.probes = probes

    @classmethod
    async def from_stack(cls, stack: AsyncExitStack) -> Sessions:
        """Returns sessions that the stack closes."""
        store = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, socket_factory=open_socket),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        probes = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=0, keepalive_timeout=PROBE_KEEPALIVE_S
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        await stack.enter_async_context(store)
        await stack.enter_async_context(probes)
        return cls(store, probes)


def open_socket(address: tuple[Any, ...]) -> socket.socket:
    """Returns a socket whose silent peer is noticed within about three seconds."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    return opened
