"""The entry process, which proxies the requests of callers to upstreams."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import aiohttp
import logbook
from aiohttp import web
from aioprometheus import Counter, Registry

from ..infrastructure.http_key_value_store import HttpKeyValueStore
from ..infrastructure.instance_list import AGENT_SERVICE
from ..limits import AdmissionController, PermitClient
from ..observability.admin_server import AdminServer
from ..policy import PolicyTable
from ..policy.policy_selector import (
    PolicySelector,
    RetiredVersion,
    SelectedPolicy,
    UnknownService,
    UnknownVersion,
)
from ..refusals import RequestProblemError, build_not_run_error
from ..routing import ServiceRouter
from ..transport.caller_server import CallerServer
from ..transport.drain import Drain
from ..transport.headers import CALLER_HEADER, SERVICE_HEADER
from ..transport.upstream_client import UpstreamClient
from ..upstreams import ObservationReporter, ObservationTable, UpstreamDirectory
from ..upstreams.replacement_detector import ReplacementDetector
from .agent_link import AgentLink
from .forwarder import Forwarder
from .idempotency_keys import IdempotencyKeys
from .request_reader import (
    build_context,
    read_request_id,
    read_service,
    read_version,
    validate_request,
)

if TYPE_CHECKING:
    from ..protocol.messages import DirectoryUpdates
    from ..settings import EntrySettings
    from ..transport.closed_connection import ClosedConnection

MS_PER_S = 1_000
STORE_TIMEOUT_MS = 1_000
ABORT_TIMEOUT_S = 0.5
LISTEN_BACKLOG = 1_024

logger = logbook.Logger("verbenacross.entry")


class Entry:
    """Accepts requests from callers and forwards each to an upstream."""

    def __init__(
        self, settings: EntrySettings, client: UpstreamClient, keys: IdempotencyKeys
    ) -> None:
        self.settings = settings
        self.table = PolicyTable()
        self.directory = UpstreamDirectory()
        self.selector = PolicySelector(self.table)
        self.registry = Registry()
        self.observations = ObservationTable()
        ReplacementDetector(self.directory, self.observations)
        self.reporter = ObservationReporter(self.observations, settings.instance)
        self.link = AgentLink(settings, self.table, self.directory, self.observations)
        self.permits = PermitClient(self.link.send)
        self.link.grants.subscribe(self.permits.accept_grant)
        self._drain = Drain()
        self._forwarder = Forwarder(client, keys, self._drain)
        self._admissions: dict[str, AdmissionController] = {}
        self._generator = random.Random()
        self._stopping = asyncio.Event()
        self._listening = False
        self._refused_requests = Counter(
            "verbenacross_refusals_total",
            "Refused requests by problem",
            registry=self.registry,
        )
        self._closed_connections = Counter(
            "verbenacross_caller_connections_closed_total",
            "Connections of callers that this process closed, by reason and by "
            "whether a request on them was left unanswered",
            registry=self.registry,
        )
        self.directory.changes.subscribe(self._update_routers)

    @classmethod
    async def run_from_config(cls, settings: EntrySettings) -> None:
        """Runs an entry until SIGTERM."""
        async with AsyncExitStack() as stack:
            client = await UpstreamClient.from_stack(stack, settings.max_header_bytes)
            store_session = await stack.enter_async_context(aiohttp.ClientSession())
            store = HttpKeyValueStore(
                store_session, settings.store_url, STORE_TIMEOUT_MS
            )
            keys = IdempotencyKeys(
                store, settings.instance, settings.keyed_requests_per_second
            )
            stack.push_async_callback(keys.close)
            entry = cls(settings, client, keys)
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, entry.stop)
            await entry.run(stack)

    async def run(self, stack: AsyncExitStack) -> None:
        """Serves callers until ``stop`` is called, then drains requests in flight."""
        await stack.enter_async_context(AdminServer(self, self.settings.admin_listen))
        link_task = asyncio.create_task(self.link.run())
        stack.callback(link_task.cancel)
        permits_task = asyncio.create_task(self.permits.run())
        stack.callback(permits_task.cancel)
        server = CallerServer(
            self.handle,
            access_log=None,
            auto_decompress=False,
            max_line_size=self.settings.max_header_bytes,
            max_field_size=self.settings.max_header_bytes,
        )
        server.closed_connections.subscribe(self._count_closed_connection)
        runner = web.ServerRunner(server, shutdown_timeout=ABORT_TIMEOUT_S)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        address = self.settings.listen
        site = web.TCPSite(runner, address.host, address.port, backlog=LISTEN_BACKLOG)
        await site.start()
        self._listening = True
        logger.info("entry started", extra={"listen": str(address)})
        await self._stopping.wait()
        await self._shut_down(site, server)

    async def _shut_down(self, site: web.TCPSite, server: CallerServer) -> None:
        logger.info("entry stopping", extra={"in_flight": self._drain.in_flight})
        await asyncio.sleep(self.settings.drain_notice_ms / MS_PER_S)
        await site.stop()
        end = time.monotonic() + self.settings.drain_timeout_ms / MS_PER_S
        if not await self._drain.wait_complete(server, end):
            logger.warning(
                "drain timeout expired; aborting requests in flight",
                extra={
                    "in_flight": self._drain.in_flight,
                    "unsent_bytes": server.count_unsent_bytes(),
                },
            )
        await server.close_idle(end)

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        closed_at = time.monotonic() + self.settings.drain_notice_ms / MS_PER_S
        end = closed_at + self.settings.drain_timeout_ms / MS_PER_S
        self._drain.start(closed_at, end)
        self._stopping.set()

    def is_ready(self) -> bool:
        """Returns whether the entry listens, is synchronized and is not stopping."""
        ready = self._listening and self.link.synchronized
        return ready and not self._stopping.is_set()

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process as a JSON-serializable object."""
        return {
            "instance": self.settings.instance,
            "ready": self.is_ready(),
            "agent_connected": self.link.connected,
            "watermark": self.link.watermark,
            "in_flight": self._drain.in_flight,
            "retry_budgets": {
                service: {"tokens": budget.tokens, "spent": budget.spent}
                for service, budget in self._forwarder.budgets.items()
            },
            "services": {
                name: admission.describe()
                for name, admission in self._admissions.items()
            },
            "draining": sorted(self.observations.get_draining()),
            "permits": self.permits.dump_state(),
            "policies": {
                key: {
                    "revision": self.table.valid[key].revision,
                    "state": policy.state,
                }
                for key, policy in self.table.policies.items()
            },
        }

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request and sends the response."""
        self._drain.begin_request()
        try:
            response = await self._respond(request)
            if not response.prepared:
                self._drain.set_connection_close(request, response)
                # Sent here, so that the request stays in flight until then.
                await response.prepare(request)
                await response.write_eof()
            return response
        finally:
            self._drain.end_request()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        request_id = ""
        try:
            request_id = read_request_id(request)
            return await self._forward(request, request_id)
        except RequestProblemError as error:
            details = error.details
            self._refused_requests.inc({"problem": details.problem})
            logger.info(
                "request refused: {}",
                details.problem,
                extra={
                    "request_id": request_id,
                    "path": request.path,
                    "execution": details.execution.value,
                    "detail": details.detail,
                },
            )
            return details.build_response(request_id)

    async def _forward(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        validate_request(request)
        service = request.headers.get(SERVICE_HEADER) or read_service(request.path)
        selected = self._select_policy(request, service)
        context = build_context(request, request_id, selected, self._drain)
        started = time.monotonic()
        response, upstream = await self._forwarder.forward(
            request, context, self._get_admission(service)
        )
        if self.settings.access_log:
            logger.info(
                "request completed",
                extra={
                    "request_id": request_id,
                    "policy_revision": context.policy_revision,
                    "upstream": upstream,
                    "status": response.status,
                    "duration_ms": round((time.monotonic() - started) * MS_PER_S, 3),
                },
            )
        return response

    def _select_policy(self, request: web.BaseRequest, service: str) -> SelectedPolicy:
        version = read_version(request)
        caller = request.headers.get(CALLER_HEADER, "")
        match self.selector.select(service, caller, version):
            case SelectedPolicy() as selected:
                return selected
            case UnknownService():
                title = f"No policy serves {service!r}"
                raise build_not_run_error(404, "unknown-service", title)
            case UnknownVersion():
                title = f"Service {service!r} has no policy version {version}"
                raise build_not_run_error(404, "unknown-version", title)
            case RetiredVersion():
                title = f"Policy version {version} of {service!r} is retired"
                raise build_not_run_error(410, "retired-version", title)

    def _get_admission(self, service: str) -> AdmissionController:
        admission = self._admissions.get(service)
        if admission is None:
            router = ServiceRouter(
                self._generator, self.settings.failure_domain, self.observations
            )
            router.ejections.subscribe(
                lambda ejection: self.reporter.report_ejection(
                    ejection.upstream, ejection.duration_ms
                )
            )
            router.set_instances(self.directory.get_instances(service))
            router.set_peers(self._get_peers(), self.settings.instance)
            admission = self._admissions[service] = AdmissionController(
                service, router, self.permits, self.reporter
            )
        return admission

    def _count_closed_connection(self, closed: ClosedConnection) -> None:
        unanswered = "yes" if closed.unanswered else "no"
        self._closed_connections.inc(
            {"reason": closed.reason.value, "unanswered": unanswered}
        )

    def _update_routers(self, updates: DirectoryUpdates) -> None:
        peers = self._get_peers()
        for service, admission in self._admissions.items():
            admission.router.set_peers(peers, self.settings.instance)
            admission.router.set_instances(self.directory.get_instances(service))
            admission.dispatch()

    def _get_peers(self) -> list[str]:
        """Returns the ids of the live instances with an agent, as every entry has."""
        agents = self.directory.get_instances(AGENT_SERVICE)
        return [agent.id for agent in agents if agent.state == "live"]
