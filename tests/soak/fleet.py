"""Node processes, upstreams and a store, each behind a proxy that injects faults."""

from __future__ import annotations

import asyncio
import math
import time
from contextlib import AsyncExitStack
from typing import NamedTuple

from standins.fault_proxy import FaultProxy, build_faults
from standins.platform_upstream import PlatformUpstreamStandIn
from tests.node.conftest import (
    SMALL_BUFFER_PROGRAM,
    Site,
    build_configuration,
    build_rule,
)

HOST = "127.0.0.1"
NODES = 3
UPSTREAMS = 5
# Long enough that stops, drains and broken connections meet requests in flight.
SERVICE_TIME_S = 0.03
MARKER_PATH = "/marker-"
LARGE_PATH = "/large/x"
LONG_PATH = "/long/x"
# Size of a response to a request for ``LARGE_PATH``, in repetitions of its text.
LARGE_REPEATS = 15_000
# Upstreams work for so long on a request for ``LONG_PATH``.
LONG_SERVICE_TIME_S = 1.5


class SoakUpstream(PlatformUpstreamStandIn):
    """Upstream whose responses name the request; records when requests arrive."""

    def __init__(self, identifier: str) -> None:
        super().__init__(identifier, service_time_s=SERVICE_TIME_S)
        self.arrivals: list[tuple[float, str]] = []
        # Time, request and length of each rejection that stated a valid time.
        self.pauses: list[tuple[float, str, float]] = []

    async def _execute(self, run, reader):
        is_long = run.target == LONG_PATH
        self.service_time_s = LONG_SERVICE_TIME_S if is_long else SERVICE_TIME_S
        await super()._execute(run, reader)

    async def _respond(self, behaviour, run, reader, writer):
        now, request_id = time.monotonic(), run.headers.get("x-request-id", "")
        self.arrivals.append((now, request_id))
        if behaviour == "shed" and self.retry_after.replace(".", "").isdecimal():
            self.pauses.append((now, request_id, float(self.retry_after)))
        return await super()._respond(behaviour, run, reader, writer)

    def build_response(self, request_id: str, status: str = "200 OK") -> bytes:
        self.body = build_body(request_id)
        return super().build_response(request_id, status)


def build_body(request_id: str) -> bytes:
    """Returns the only correct response body for a request."""
    repeats = LARGE_REPEATS if request_id.startswith("large") else 20
    return f"answer to {request_id}".encode() * repeats


class FaultWindows:
    """Time windows of faults during which a node may miss its guarantees."""

    def __init__(self) -> None:
        self.windows: list[tuple[float, float]] = []

    def open(self, start: float, end: float = math.inf) -> int:
        """Adds a window; returns its index."""
        self.windows.append((start, end))
        return len(self.windows) - 1

    def close(self, index: int) -> None:
        """Closes a window now."""
        self.windows[index] = (self.windows[index][0], time.monotonic())

    def is_undisturbed(self, start: float, end: float) -> bool:
        """Returns whether no window overlaps the interval."""
        return all(last < start or first > end for first, last in self.windows)


class PlannedStop(NamedTuple):
    """When a node was asked to stop and when its process had ended."""

    asked_at: float
    ended_at: float


class SoakFleet:
    """The fleet of one seed.

    ``acknowledged_at`` holds when the store acknowledged each configuration version,
    ``draining_since`` when each upstream announced a drain or was removed,
    ``drain_reports`` when each such record was written again,
    ``limits`` the operator's limits on callers,
    ``wanted_states`` what each upstream reports, ``None`` once it is removed,
    ``stops`` the planned stops of each node, and ``exited_nodes`` the nodes that exited
    unexpectedly. ``node_faults`` and
    ``store_outages`` hold the fault windows of each node, ``upstream_faults`` those of
    the link to each upstream.
    """

    def __init__(self, stack: AsyncExitStack, folder) -> None:
        self.stack = stack
        self.site = Site(stack, folder)
        self.upstreams: list[SoakUpstream] = []
        self.upstream_proxies: dict[str, FaultProxy] = {}
        self.caller_proxies: dict[str, FaultProxy] = {}
        self.addresses: dict[str, str] = {}
        self.store_endpoints = {}
        self.node_faults: dict[str, FaultWindows] = {}
        self.upstream_faults: dict[str, FaultWindows] = {}
        self.store_outages: dict[str, FaultWindows] = {}
        self.acknowledged_at: dict[int, float] = {}
        self.draining_since: dict[str, float] = {}
        self.drain_reports: list[tuple[str, float]] = []
        self.wanted_states: dict[str, str | None] = {}
        self.limits = {"idle_timeout": "3s", "header_timeout": "3s"}
        # The newest version that the operator has written or is writing.
        self.version = 0
        # Cleared while neither operator nor upstreams reach the store.
        self.is_store_present = asyncio.Event()
        self.is_store_present.set()
        self.stops: dict[str, list[PlannedStop]] = {}
        self.exited_nodes: list[str] = []
        self.born = 1

    async def open(self) -> None:
        """Starts all processes and servers and waits until every node is ready."""
        await self.site.open()
        await self.publish_configuration()
        for number in range(UPSTREAMS):
            await self.add_upstream(f"u{number}")
        for number in range(NODES):
            name = f"node-{number}"
            endpoint = self.store_endpoints[
                name
            ] = await self.site.store.open_endpoint()
            node = await self.site.add_node(
                name,
                endpoint=endpoint,
                domain="ab"[number % 2],
                program=SMALL_BUFFER_PROGRAM,
            )
            self.node_faults[name] = FaultWindows()
            self.store_outages[name] = FaultWindows()
            proxy, address = await self.open_proxy(node.settings["listen"])
            self.caller_proxies[name] = proxy
            self.addresses[name] = address
        for node in self.site.nodes:
            await node.wait_ready()

    async def open_proxy(self, target: str) -> tuple[FaultProxy, str]:
        """Starts a fault proxy for a target; returns it and its address."""
        host, _, port = target.rpartition(":")
        proxy = FaultProxy(HOST, (host, int(port)))
        server = await asyncio.start_server(proxy.serve, HOST, 0)
        self.stack.callback(server.close)
        return proxy, f"{HOST}:{server.sockets[0].getsockname()[1]}"

    async def add_upstream(self, identifier: str) -> SoakUpstream:
        """Starts an upstream behind a proxy and writes its entry to the store."""
        upstream = SoakUpstream(identifier)
        await self.stack.enter_async_context(upstream)
        proxy, address = await self.open_proxy(upstream.address)
        upstream.address = address
        self.upstreams.append(upstream)
        self.upstream_proxies[identifier] = proxy
        self.upstream_faults[identifier] = FaultWindows()
        await self.register_upstream(upstream)
        return upstream

    async def register_upstream(self, upstream: SoakUpstream, state="ready") -> None:
        """Writes the entry of an upstream to the store, once that is present."""
        self.wanted_states[upstream.id] = state
        await self.is_store_present.wait()
        entry = upstream.describe(state, self.born)
        await self.site.store.put(f"servers/{upstream.id}", entry)

    async def remove_upstream(self, upstream: SoakUpstream) -> None:
        """Removes the entry of an upstream that leaves without a report."""
        self.wanted_states[upstream.id] = None
        await self.is_store_present.wait()
        await self.site.store.remove(f"servers/{upstream.id}")

    async def publish_configuration(self) -> None:
        """Writes the next configuration version, which adds a route of its own."""
        self.version += 1
        version = self.version
        await self.is_store_present.wait()
        await self.write_configuration(version)
        self.acknowledged_at[version] = time.monotonic()

    async def write_configuration(self, version: int) -> None:
        """Writes a configuration with a route for each version so far."""
        rules = [
            build_rule("/safe/"),
            build_rule("/once/", kind="unsafe"),
            build_rule("/large/", kind="download", timeout="3s"),
            build_rule("/long/", timeout="8s"),
        ]
        rules += [
            build_rule(f"{MARKER_PATH}{number}/") for number in range(1, version + 1)
        ]
        configuration = build_configuration(*rules, version=version, **self.limits)
        await self.site.store.put("op/config", configuration)


def set_faults(proxy: FaultProxy, **faults) -> None:
    """Sets faults for open and later connections; without arguments, clears all."""
    changes = faults or build_faults()
    proxy.faults.update(changes)
    for connection in proxy.connections:
        connection.faults.update(changes)


def reset_connections(proxy: FaultProxy) -> None:
    """Resets all open connections."""
    for connection in [*proxy.connections]:
        connection.reset()
