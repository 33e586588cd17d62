"""The entry process: the data path between callers and upstreams."""

from __future__ import annotations

import asyncio
import random
import uuid
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import aiohttp
import logbook
from aiohttp import web
from aioprometheus import Counter, Registry

from ..limits import PermitClient, ServiceGate
from ..observability import AdminServer
from ..policy import PolicyTable
from ..policy.policy_selector import (
    PolicySelector,
    RetiredVersion,
    SelectedPolicy,
    UnknownService,
    UnknownVersion,
)
from ..refusals import RefusedError, refuse_not_run
from ..routing import ServiceRouter
from ..upstreams import ObservationReporter, ObservationTable, UpstreamDirectory
from ..upstreams.replacement_watch import ReplacementWatch
from .agent_link import AgentLink
from .forwarder import MS_PER_S, Forwarder
from .headers import CALLER_HEADER, REQUEST_ID_HEADER, SERVICE_HEADER
from .request_reader import build_context, read_service, read_version

if TYPE_CHECKING:
    from ..protocol.messages import DirectoryUpdates
    from ..settings import EntrySettings

logger = logbook.Logger("verbenacross.entry")


class Entry:
    """Accepts requests of callers and forwards each to an upstream."""

    def __init__(self, settings: EntrySettings, session: aiohttp.ClientSession) -> None:
        self.settings = settings
        self.table = PolicyTable()
        self.directory = UpstreamDirectory()
        self.selector = PolicySelector(self.table)
        self.registry = Registry()
        self.observations = ObservationTable()
        ReplacementWatch(self.directory, self.observations)
        self.reporter = ObservationReporter(self.observations, settings.instance)
        self.link = AgentLink(settings, self.table, self.directory, self.observations)
        self.permits = PermitClient(self.link.send)
        self.link.grants.subscribe(self.permits.take)
        self._forwarder = Forwarder(session)
        self._gates: dict[str, ServiceGate] = {}
        self._generator = random.Random()
        self._stopping = asyncio.Event()
        self._in_flight = 0
        self._requests = Counter(
            "verbenacross_requests_total", "Requests by outcome", registry=self.registry
        )
        self.directory.changes.subscribe(self._update_routers)

    @classmethod
    async def run_from_config(cls, settings: EntrySettings) -> None:
        """Runs an entry until it is told to stop."""
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(
                aiohttp.ClientSession(
                    cookie_jar=aiohttp.DummyCookieJar(),
                    auto_decompress=False,
                    connector=aiohttp.TCPConnector(limit=0),
                )
            )
            entry = cls(settings, session)
            asyncio.get_running_loop().add_signal_handler(15, entry.stop)
            await entry.run(stack)

    async def run(self, stack: AsyncExitStack) -> None:
        """Serves callers until stopped, then lets requests in flight end."""
        await stack.enter_async_context(AdminServer(self, self.settings.admin_listen))
        link_task = asyncio.create_task(self.link.run())
        stack.callback(link_task.cancel)
        permits_task = asyncio.create_task(self.permits.run())
        stack.callback(permits_task.cancel)
        server = web.Server(self.handle, access_log=None)
        runner = web.ServerRunner(
            server, shutdown_timeout=self.settings.drain_timeout_ms / MS_PER_S
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        address = self.settings.listen
        await web.TCPSite(runner, address.host, address.port).start()
        logger.info("entry started", extra={"listen": str(address)})
        await self._stopping.wait()
        await asyncio.sleep(self.settings.drain_notice_ms / MS_PER_S)

    def stop(self) -> None:
        """Starts a graceful shutdown."""
        self._stopping.set()

    def is_ready(self) -> bool:
        """Returns whether the entry has policies and is not stopping."""
        return self.link.synchronized and not self._stopping.is_set()

    def dump_state(self) -> dict[str, Any]:
        """Returns the state of the process as a JSON object."""
        return {
            "instance": self.settings.instance,
            "ready": self.is_ready(),
            "agent_connected": self.link.connected,
            "watermark": self.link.watermark,
            "in_flight": self._in_flight,
            "draining": sorted(self.observations.find_draining()),
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
        """Answers one request of a caller."""
        request_id = request.headers.get(REQUEST_ID_HEADER) or uuid.uuid4().hex
        self._in_flight += 1
        try:
            return await self._serve(request, request_id)
        except RefusedError as error:
            self._requests.inc({"outcome": error.refusal.problem})
            return error.refusal.build_response(request_id)
        finally:
            self._in_flight -= 1

    async def _serve(
        self, request: web.BaseRequest, request_id: str
    ) -> web.StreamResponse:
        service = request.headers.get(SERVICE_HEADER) or read_service(request.path)
        selected = self._select_policy(request, service)
        context = build_context(request, request_id, selected)
        return await self._forwarder.forward(request, context, self._get_gate(service))

    def _select_policy(self, request: web.BaseRequest, service: str) -> SelectedPolicy:
        version = read_version(request)
        caller = request.headers.get(CALLER_HEADER, "")
        match self.selector.select(service, caller, version):
            case SelectedPolicy() as selected:
                return selected
            case UnknownService():
                title = f"No policy serves {service!r}"
                raise refuse_not_run(404, "unknown-service", title)
            case UnknownVersion():
                title = f"Service {service!r} has no policy version {version}"
                raise refuse_not_run(404, "unknown-version", title)
            case RetiredVersion():
                title = f"Policy version {version} of {service!r} is retired"
                raise refuse_not_run(410, "retired-version", title)

    def _get_gate(self, service: str) -> ServiceGate:
        gate = self._gates.get(service)
        if gate is None:
            router = ServiceRouter(self._generator)
            router.set_instances(self.directory.get_service(service))
            gate = self._gates[service] = ServiceGate(
                service, router, self.permits, self.reporter
            )
        return gate

    def _update_routers(self, updates: DirectoryUpdates) -> None:
        for service, gate in self._gates.items():
            gate.router.set_instances(self.directory.get_service(service))
