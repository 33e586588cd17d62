"""Propagation of changes after compactions, hand-overs and starts of instances.

Guards against changes that do not come into force, against older configurations that
replace newer ones, and against use of upstreams that drain or are removed. Each test
plays rounds on one fleet: a disturbance, then a configuration and a `draining` report.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import time
from datetime import datetime
from typing import TYPE_CHECKING

import aiohttp
import pytest

from standins.fault_proxy import FaultProxy

from .conftest import build_rule, wait_until

if TYPE_CHECKING:
    from standins.platform_upstream import PlatformUpstreamStandIn

    from .conftest import NodeProcess, Site

# Required: within this time after the write, a configuration is in force on every
# instance, and a draining upstream gets no more requests.
MAX_PROPAGATION_S = 2.0
# Required: an instance that was started, paused or cut off is bound after this time.
STABLE_WINDOW_S = 3.0
OUTAGE_S = 1.0
ROUNDS = int(os.environ.get("PROPAGATION_ROUNDS", "1"))
SEED = int(os.environ.get("PROPAGATION_SEED", "1"))
DOMAINS = ("a", "b", "a", "b", "a", "a")
# Of each domain, two or three instances register.
MEMBERS = 5
# A reader that was replaced reads for another second.
MAX_READERS = 3
# Keys without meaning in front of and behind those of upstreams: a read of all records
# takes several pages.
FILLERS = 130
# Bound of the wait for a state that is a precondition of a round.
SETTLING_TIMEOUT_S = 15.0
TRAFFIC_INTERVAL_S = 0.1
# Between a request's decision and its arrival on a busy machine.
ARRIVAL_SLACK_S = 0.05
REPORTED_LINES = (
    "store history lost, reading all records",
    "read all records",
    "received all records",
    "store was away",
    "store era",
    "source is behind the standby",
)


class StorePath:
    """An instance's path to the store, which can be cut."""

    def __init__(self, endpoint, proxy: FaultProxy, address: str) -> None:
        self.endpoint = endpoint
        self.proxy = proxy
        self.address = address

    def _set(self, **faults) -> None:
        self.proxy.faults.update(faults)
        for connection in self.proxy.connections:
            connection.faults.update(faults)

    def refuse(self) -> None:
        """Resets all connections and refuses new ones."""
        self._set(refuse=True)
        self.reset()

    def silence(self) -> None:
        """Forwards nothing more; connections stay open."""
        self._set(silent=True)

    def reset(self) -> None:
        for connection in [*self.proxy.connections]:
            connection.reset()

    def restore(self) -> None:
        """Lets new connections through; those that lost bytes are reset."""
        self._set(refuse=False, silent=False)
        self.reset()


class PropagationFleet:
    """Instances with traffic, and what of it broke a requirement."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.random = random.Random(SEED)
        self.version = 1
        self.paths: dict[str, StorePath] = {}
        self.violations: list[str] = []
        self.delays_s: list[float] = []
        # When the last disturbance of an instance ended.
        self.disturbed_until: dict[str, float] = {}
        # Paths that stay cut until the checks of a round are done.
        self.cut: list[StorePath] = []
        # Upstreams that must not be used after a moment, and why.
        self.unusable: list[tuple[PlatformUpstreamStandIn, float, str]] = []
        self.first_lines: dict[str, int] = {}

    @property
    def nodes(self) -> list[NodeProcess]:
        return self.site.nodes

    @classmethod
    async def open(cls, site: Site) -> PropagationFleet:
        self = cls(site)
        await self.configure()
        for number in range(2):
            await site.add_upstream(f"stay-{number}")
        for number in range(FILLERS):
            await site.store.put(f"{'ax'[number % 2]}/{number}", {"comment": "x"})
        for number, domain in enumerate(DOMAINS):
            await self.add_node(f"node-{number}", domain)
        for node in self.nodes:
            await node.wait_ready()
        await wait_until(self.has_settled, timeout_s=SETTLING_TIMEOUT_S)
        task = asyncio.create_task(self.send_traffic())
        site.stack.callback(task.cancel)
        return self

    async def add_node(self, name: str, domain: str) -> None:
        endpoint = await self.site.store.open_endpoint()
        host, port = endpoint.address.split(":")
        proxy = FaultProxy(host, (host, int(port)))
        server = await asyncio.start_server(proxy.serve, host, 0)
        self.site.stack.callback(server.close)
        address = f"{host}:{server.sockets[0].getsockname()[1]}"
        self.paths[name] = StorePath(endpoint, proxy, address)
        seeds = [node.settings["peer_listen"] for node in self.nodes[:3]]
        node = await self.site.add_node(
            name, endpoint=self.paths[name], domain=domain, seeds=seeds
        )
        self.disturbed_until[name] = -float("inf")
        self.first_lines[node.name] = 0

    async def has_settled(self) -> bool:
        states = [await node.read_state() for node in self.nodes]
        members = [len(state["knowledge"]["members"]) for state in states]
        return min(members) >= MEMBERS and self.has_followers()

    def has_followers(self) -> bool:
        """Returns whether each domain has a reader and not all instances read."""
        return len(set(DOMAINS)) <= len(self.find_readers()) <= MAX_READERS

    def find_readers(self) -> list[NodeProcess]:
        roles = ("reading the store", "receiving records from peers")
        readers = []
        for node in self.nodes:
            lines = node.lines[self.first_lines[node.name] :]
            latest = [line["message"] for line in lines if line["message"] in roles]
            if latest and latest[-1] == roles[0]:
                readers.append(node)
        return readers

    def find_paths(self, nodes) -> list[StorePath]:
        return [self.paths[node.name] for node in nodes]

    async def configure(self) -> float:
        """Adds a route; returns when the configuration was acknowledged."""
        rules = [build_rule("/safe/"), build_rule(f"/v{self.version}/")]
        await self.site.configure(*rules, version=self.version)
        return time.monotonic()

    async def drain(self, upstream) -> float:
        await self.site.store.put(
            f"servers/{upstream.id}", upstream.describe("draining")
        )
        return time.monotonic()

    async def leave(self, upstream) -> None:
        """Reports `draining` and removes the entry at once."""
        await self.drain(upstream)
        await self.site.store.remove(f"servers/{upstream.id}")

    async def churn(self) -> None:
        """Changes, adds and removes keys without meaning on all pages."""
        store = self.site.store
        for number in self.random.sample(range(FILLERS), 6):
            key = f"{'ax'[number % 2]}/{number}"
            if self.random.random() < 0.4:
                await store.remove(key)
            else:
                await store.put(key, {"comment": str(number)})

    def send_request(self, node, path):
        headers = {"Host": "host.example", "X-Request-Id": f"{random.random()}"}
        return self.site.session.get(node.url + path, headers=headers)

    async def send_traffic(self) -> None:
        while True:
            for node in self.nodes:
                task = asyncio.create_task(self.send_one(node))
                task.add_done_callback(lambda done: done.exception())
            await asyncio.sleep(TRAFFIC_INTERVAL_S)

    async def send_one(self, node) -> None:
        async with self.send_request(node, "/safe/x") as response:
            await response.read()

    async def expect_route(self, node, path) -> None:
        try:
            async with self.send_request(node, path) as response:
                status = response.status
                await response.read()
        except aiohttp.ClientError as error:
            self.violations.append(f"{node.name}: {path}: {error!r}")
            return
        if status != 200:
            self.violations.append(f"{node.name}: {path} answered {status}")

    def find_bound(self, node, acknowledged_at) -> float:
        """Returns from when a change must be in force on an instance."""
        bound = self.disturbed_until[node.name] + STABLE_WINDOW_S
        return max(acknowledged_at + MAX_PROPAGATION_S, bound)

    async def play_round(self, disturb) -> None:
        """Plays a disturbance and checks the changes that follow it."""
        number = self.version
        site = self.site
        removed = await site.add_upstream(f"removed-{number}")
        leaver = await site.add_upstream(f"leaver-{number}")
        in_gap = await site.add_upstream(f"gap-{number}")
        await self.wait_for_line("upstream discovered", in_gap.id)
        await site.store.remove(f"servers/{removed.id}")
        await self.wait_for_line("upstream removed", removed.id)
        removed_at = time.monotonic() + ARRIVAL_SLACK_S
        await asyncio.sleep(self.random.uniform(0.0, 0.6))

        await disturb(self, in_gap)

        self.version += 1
        wall_time = time.time()
        configured_at = await self.configure()
        drained_at = await self.drain(leaver)
        checks = [
            asyncio.create_task(self.check_node(node, configured_at))
            for node in self.nodes
        ]
        await asyncio.gather(*checks)
        await asyncio.sleep(0.5)
        bound = drained_at + MAX_PROPAGATION_S
        self.unusable += [
            (removed, removed_at, "removed before the disturbance"),
            (leaver, bound, "draining"),
            (in_gap, bound, "left in the gap"),
        ]
        for upstream, after, reason in self.unusable:
            self.check_runs(upstream, after, reason)
        self.check_versions()
        self.record_delays(wall_time)
        for path in self.cut:
            path.restore()
        self.cut.clear()
        await wait_until(self.has_followers, timeout_s=SETTLING_TIMEOUT_S)

    async def wait_for_line(self, message, upstream) -> None:
        for node in self.nodes:
            await wait_until(
                lambda node=node: node.find_lines(message, upstream=upstream),
                timeout_s=SETTLING_TIMEOUT_S,
            )

    async def check_node(self, node, configured_at) -> None:
        bound = self.find_bound(node, configured_at)
        await asyncio.sleep(bound - time.monotonic())
        for _ in range(3):
            await self.expect_route(node, f"/v{self.version}/x")

    def check_runs(self, upstream, after, state) -> None:
        late = [
            run
            for run in upstream.runs
            if run.started_at > after + ARRIVAL_SLACK_S and run.target != "/health"
        ]
        if late:
            latest = max(run.started_at for run in late) - after
            self.violations.append(
                f"{upstream.id} ({state}): {len(late)} late requests, "
                f"the last one {latest:.2f} s after the bound"
            )

    def check_versions(self) -> None:
        for node in self.nodes:
            lines = node.lines[self.first_lines[node.name] :]
            versions = [
                line["version"]
                for line in lines
                if line["message"] == "configuration in force"
            ]
            if versions != sorted(versions):
                self.violations.append(f"{node.name}: versions {versions}")

    def record_delays(self, wall_time) -> None:
        delays_s = []
        for node in self.nodes:
            for line in node.find_lines("configuration in force", version=self.version):
                moment = datetime.fromisoformat(line["time"]).timestamp()
                delays_s.append(moment - wall_time)
        self.delays_s.append(max(delays_s, default=float("inf")))

    async def play(self, disturb) -> None:
        failed = 0
        for number in range(ROUNDS):
            before = len(self.violations)
            await self.play_round(disturb)
            for violation in self.violations[before:]:
                print(f"round {number}: {violation}")
            failed += len(self.violations) > before
        print(f"{ROUNDS} rounds, {failed} failed, slowest configurations in s:")
        print([round(delay, 2) for delay in sorted(self.delays_s)])
        for message in REPORTED_LINES:
            lines = [line for node in self.nodes for line in node.find_lines(message)]
            examples = [
                {name: line[name] for name in line if name not in ("level", "logger")}
                for line in lines[-3:]
            ]
            print(message, len(lines), json.dumps(examples))
        assert not self.violations


@pytest.fixture
async def fleet(empty_site):
    return await PropagationFleet.open(empty_site)


async def lose_store(fleet, nodes, duration_s, meanwhile) -> None:
    """Cuts instances off from the store; ``meanwhile`` runs at a moment of that."""
    paths = fleet.find_paths(nodes)
    for path in paths:
        path.refuse()
    await asyncio.sleep(duration_s / 2)
    await meanwhile()
    await asyncio.sleep(duration_s / 2)
    for path in paths:
        path.restore()


def build_compaction(fleet, in_gap):
    async def change_and_compact() -> None:
        fleet.version += 1
        await fleet.configure()
        await fleet.churn()
        await fleet.leave(in_gap)
        await fleet.churn()
        await fleet.site.store.compact_history()

    return change_and_compact


@pytest.mark.parametrize("outage", [False, True])
async def test_history_is_dropped_while_readers_are_away(fleet, outage):
    """Guards against changes that are lost when all records are read."""

    async def disturb(fleet, in_gap) -> None:
        nodes = fleet.nodes if outage else fleet.find_readers()
        duration_s = OUTAGE_S if outage else fleet.random.uniform(0.02, 0.3)
        await lose_store(fleet, nodes, duration_s, build_compaction(fleet, in_gap))
        await asyncio.sleep(fleet.random.uniform(0.0, 1.5))

    await fleet.play(disturb)


@pytest.mark.parametrize("outage", [False, True])
async def test_history_is_dropped_while_all_records_are_read(fleet, outage):
    """Guards against changes between the pages, or before the next watch."""

    async def disturb(fleet, in_gap) -> None:
        store = fleet.site.store
        delay_s = fleet.random.uniform(0.03, 0.15)
        for path in fleet.paths.values():
            path.endpoint.delay_s = delay_s
        nodes = fleet.nodes if outage else fleet.find_readers()
        duration_s = OUTAGE_S if outage else 0.05
        await lose_store(fleet, nodes, duration_s, store.compact_history)
        fleet.version += 1
        for step in range(10):
            await asyncio.sleep(fleet.random.uniform(0.0, 2 * delay_s))
            await fleet.churn()
            if step == 3:
                await fleet.configure()
            if step == 5:
                await fleet.leave(in_gap)
            if step in (4, 6):
                await store.compact_history()
        await asyncio.sleep(fleet.random.uniform(0.0, 0.5))
        for path in fleet.paths.values():
            path.endpoint.delay_s = 0.0

    await fleet.play(disturb)


@pytest.mark.parametrize("outage", [False, True])
async def test_history_is_dropped_after_watches_heard_nothing(fleet, outage):
    """Guards against a server that leaves while no watch is answered."""

    async def disturb(fleet, in_gap) -> None:
        for path in fleet.paths.values():
            path.silence()
        await asyncio.sleep(fleet.random.uniform(0.0, 0.5))
        await build_compaction(fleet, in_gap)()
        await asyncio.sleep(1.0)
        if outage:
            await lose_store(
                fleet, fleet.nodes, OUTAGE_S, fleet.site.store.compact_history
            )
        for path in fleet.paths.values():
            path.restore()
        await asyncio.sleep(fleet.random.uniform(0.0, 1.5))

    await fleet.play(disturb)


@pytest.mark.parametrize("outage", [False, True])
@pytest.mark.parametrize("fault", ["refuse", "silence"])
async def test_all_readers_lose_the_store(fleet, fault, outage):
    """Guards against instances that keep to sources which have lost the store.

    The readers stay cut off until the changes have been checked. Only the others are
    bound.
    """

    async def disturb(fleet, in_gap) -> None:
        await asyncio.sleep(STABLE_WINDOW_S)
        readers = fleet.find_readers()
        for node in fleet.nodes:
            fleet.disturbed_until[node.name] = -float("inf")
        if outage:
            await lose_store(
                fleet, fleet.nodes, OUTAGE_S, build_compaction(fleet, in_gap)
            )
        else:
            await fleet.leave(in_gap)
            await asyncio.sleep(fleet.random.uniform(0.0, 0.5))
        for node in readers:
            path = fleet.paths[node.name]
            getattr(path, fault)()
            fleet.cut.append(path)
            fleet.disturbed_until[node.name] = time.monotonic() + STABLE_WINDOW_S
        # Often at the moment of the loss, which no instance has noticed yet.
        await asyncio.sleep(max(0.0, fleet.random.uniform(-1.0, 2.0)))

    await fleet.play(disturb)


@pytest.mark.parametrize("outage", [False, True])
async def test_one_reader_is_cut_off_and_serves_subscribers(fleet, outage):
    """Guards against a source that is behind and has not noticed it yet."""

    async def disturb(fleet, in_gap) -> None:
        for node in fleet.nodes:
            fleet.disturbed_until[node.name] = -float("inf")
        reader = fleet.random.choice(fleet.find_readers())
        fleet.paths[reader.name].silence()
        if outage:
            others = [node for node in fleet.nodes if node is not reader]
            await lose_store(fleet, others, OUTAGE_S, build_compaction(fleet, in_gap))
        else:
            await build_compaction(fleet, in_gap)()
        fleet.cut.append(fleet.paths[reader.name])
        fleet.disturbed_until[reader.name] = time.monotonic() + STABLE_WINDOW_S
        await asyncio.sleep(max(0.0, fleet.random.uniform(-1.0, 2.0)))

    await fleet.play(disturb)


@pytest.mark.parametrize("outage", [False, True])
async def test_a_reader_is_paused_and_resumed(fleet, outage):
    """Guards against a resumed source that passes on what it knew before."""

    async def disturb(fleet, in_gap) -> None:
        reader = fleet.random.choice(fleet.find_readers())
        others = [node for node in fleet.nodes if node is not reader]
        reader.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fleet.random.uniform(0.0, 0.5))
        change = build_compaction(fleet, in_gap)
        if outage:
            await lose_store(fleet, others, OUTAGE_S, change)
        else:
            await change()
        await asyncio.sleep(fleet.random.uniform(0.0, 2.5))
        reader.send_signal(signal.SIGCONT)
        fleet.disturbed_until[reader.name] = time.monotonic()
        await asyncio.sleep(fleet.random.uniform(0.0, 1.0))

    await fleet.play(disturb)


@pytest.mark.parametrize("outage", [False, True])
async def test_an_instance_starts_from_sources_that_are_behind(fleet, outage):
    """Guards against records of peers that lack the latest changes.

    The instance stops as planned and starts again. Without ``outage`` the readers hear
    nothing from the store but have not noticed it, and the instance's own reads of the
    store are slow.
    """

    async def disturb(fleet, in_gap) -> None:
        followers = [node for node in fleet.nodes if node not in fleet.find_readers()]
        node = followers[-1]
        node.send_signal(signal.SIGTERM)
        await node.wait_exit(timeout_s=SETTLING_TIMEOUT_S)
        fleet.first_lines[node.name] = len(node.lines)
        path = fleet.paths[node.name]
        path.endpoint.delay_s = fleet.random.uniform(0.1, 0.6)
        readers = fleet.find_paths(fleet.find_readers())
        change = build_compaction(fleet, in_gap)
        await node.start()
        # Python needs some tenths of a second until the first connection.
        await asyncio.sleep(fleet.random.uniform(0.0, 0.8))
        if outage:
            await lose_store(fleet, fleet.nodes, OUTAGE_S, change)
        else:
            for reader in readers:
                reader.silence()
            await change()
            await asyncio.sleep(1.0)
            for reader in readers:
                reader.restore()
        path.endpoint.delay_s = 0.0
        fleet.disturbed_until[node.name] = time.monotonic()
        await node.wait_ready()
        await asyncio.sleep(fleet.random.uniform(0.0, 1.0))

    await fleet.play(disturb)
