"""Node processes, upstreams and a store, each behind a proxy that injects faults."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import AsyncExitStack

from standins.fault_proxy import FaultProxy, build_faults
from standins.platform_upstream import PlatformUpstreamStandIn
from tests.node.conftest import Site, build_configuration, build_rule

HOST = "127.0.0.1"
NODES = 3
UPSTREAMS = 5
# Long enough that stops, drains and cuts find work in flight.
WORK_S = 0.03
MARKER_PATH = "/marker-"


class SoakUpstream(PlatformUpstreamStandIn):
    """Server whose answers name the request; notes when requests reach it."""

    def __init__(self, identifier: str) -> None:
        super().__init__(identifier, work_s=WORK_S)
        self.arrivals: list[tuple[float, str]] = []

    async def _behave(self, behaviour, run, reader, writer):
        self.arrivals.append((time.monotonic(), run.headers.get("x-request-id", "")))
        return await super()._behave(behaviour, run, reader, writer)

    def build_answer(self, request_id: str, status: str = "200 OK") -> bytes:
        self.body = build_body(request_id)
        return super().build_answer(request_id, status)


def build_body(request_id: str) -> bytes:
    """Returns the only right body of the answer to a request."""
    return f"answer to {request_id}".encode() * 20


class Disturbance:
    """When a node was last disturbed in a way that excuses it."""

    def __init__(self) -> None:
        self.spans: list[tuple[float, float]] = []

    def add(self, start: float, end: float = math.inf) -> int:
        """Notes a span; returns its number."""
        self.spans.append((start, end))
        return len(self.spans) - 1

    def end(self, number: int) -> None:
        """Ends a span now."""
        self.spans[number] = (self.spans[number][0], time.monotonic())

    def is_calm(self, start: float, end: float) -> bool:
        """Returns whether no span touches a time."""
        return all(last < start or first > end for first, last in self.spans)


class SoakFleet:
    """The fleet of one seed.

    ``versions`` holds the time at which each version was acknowledged, ``leaving`` that
    of each upstream that drains, ``ended`` the nodes that ended by themselves.
    """

    def __init__(self, stack: AsyncExitStack, folder) -> None:
        self.stack = stack
        self.site = Site(stack, folder)
        self.upstreams: list[SoakUpstream] = []
        self.upstream_proxies: dict[str, FaultProxy] = {}
        self.caller_proxies: dict[str, FaultProxy] = {}
        self.addresses: dict[str, str] = {}
        self.fronts = {}
        self.kills: dict[str, Disturbance] = {}
        self.outages: dict[str, Disturbance] = {}
        self.versions: dict[int, float] = {}
        self.leaving: dict[str, float] = {}
        self.ended: list[str] = []
        self.born = 1

    async def open(self) -> None:
        """Starts everything and waits until it serves."""
        await self.site.open()
        await self.configure()
        for number in range(UPSTREAMS):
            await self.add_upstream(f"u{number}")
        for number in range(NODES):
            name = f"node-{number}"
            front = self.fronts[name] = await self.site.store.open_front()
            node = await self.site.add_node(name, front=front, domain="ab"[number % 2])
            self.kills[name] = Disturbance()
            self.outages[name] = Disturbance()
            proxy, address = await self.open_proxy(node.settings["listen"])
            self.caller_proxies[name] = proxy
            self.addresses[name] = address
        for node in self.site.nodes:
            await node.wait_ready()

    async def open_proxy(self, target: str) -> tuple[FaultProxy, str]:
        """Returns a proxy to a target and its address."""
        host, _, port = target.rpartition(":")
        proxy = FaultProxy(HOST, (host, int(port)))
        server = await asyncio.start_server(proxy.serve, HOST, 0)
        self.stack.callback(server.close)
        return proxy, f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def add_upstream(self, identifier: str) -> SoakUpstream:
        """Starts an upstream and lists it."""
        upstream = SoakUpstream(identifier)
        await self.stack.enter_async_context(upstream)
        proxy, address = await self.open_proxy(upstream.address)
        upstream.address = address
        self.upstreams.append(upstream)
        self.upstream_proxies[identifier] = proxy
        await self.list_upstream(upstream)
        return upstream

    async def list_upstream(self, upstream: SoakUpstream, state="ready") -> None:
        """Writes the entry of an upstream."""
        entry = upstream.describe(state, self.born)
        await self.site.store.put(f"servers/{upstream.id}", entry)

    async def configure(self) -> None:
        """Writes the next version, which adds a route of its own."""
        version = len(self.versions) + 1
        rules = [build_rule("/safe/"), build_rule("/once/", kind="unsafe")]
        rules += [
            build_rule(f"{MARKER_PATH}{number}/") for number in range(1, version + 1)
        ]
        configuration = build_configuration(*rules, version=version)
        await self.site.store.put("op/config", configuration)
        self.versions[version] = time.monotonic()


def set_faults(proxy: FaultProxy, **faults) -> None:
    """Sets faults for open and later connections; without any, ends all."""
    changes = faults or build_faults()
    proxy.faults.update(changes)
    for connection in proxy.connections:
        connection.faults.update(changes)


def reset_connections(proxy: FaultProxy) -> None:
    """Breaks all open connections."""
    for connection in [*proxy.connections]:
        connection.reset()
