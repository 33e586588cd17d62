"""Return of the store from a copy that is some seconds old, with real node processes.

In each test the store is away for a second and returns from a copy made before some
further writes: revisions and lease ids are given out again and the era rises. Operator
and upstreams write again what was lost.
"""

from __future__ import annotations

import asyncio
import signal
import time
from typing import NamedTuple

import aiohttp
import pytest

from .conftest import build_configuration, build_rule, wait_until
from .test_news import find_readers, knows_all

# Required by the users: a change is in force on every instance within this time after
# the store has acknowledged it.
CONFIG_APPLY_S = 2.0
# Required by the users: a draining or removed upstream gets no request later than this.
DRAIN_TIMEOUT_S = 2.0
# Required by the users: an entry that is missing after a return counts as gone after
# this time.
REREGISTRATION_S = 2.0
# Required: the records of the instances are back within this time after the return.
REGISTRATION_S = 3.0
OUTAGE_S = 1.0
LOST_WRITES = 30
# Interval of the requests to each instance and of the reads of its state.
SAMPLE_INTERVAL_S = 0.05
# Time after a bound in which the requests show whether it was kept.
OBSERVATION_S = 0.6
# Time for which older knowledge of the copy must not come into force.
CARRY_OVER_S = 4.0
# Longer than the lifetime of a lease: one that is not renewed has ended by then.
LEASE_S = 13.0
FIRST_VERSION = 10
SERVICES = ("service-a", "service-b", "service-c")
NODE_PREFIX = "verbenacross/nodes/"
SAFE, ONCE, SOLO, LATE = "/safe/x", "/once/x", "/solo/x", "/late/x"


class Response(NamedTuple):
    """A request and its status, ``None`` without a response."""

    node: str
    path: str
    sent_at: float
    status: int | None


class Sample(NamedTuple):
    """What an instance knew at a time."""

    node: str
    at: float
    version: int
    evacuated: list[str]


class Drill:
    """A fleet under steady requests, and a store that is lost and returns.

    ``nodes`` get the requests to each of ``paths``. ``states`` holds what each
    registered upstream last reported.
    """

    def __init__(self, site) -> None:
        self.site = site
        self.store = site.store
        self.nodes = []
        self.paths = {SAFE}
        self.states: dict[str, str] = {}
        self.by_id = {}
        self.endpoints = []
        self.responses: list[Response] = []
        self.samples: list[Sample] = []
        self.lost_at = self.returned_at = float("inf")
        self._calls: set[asyncio.Task] = set()
        self._count = 0

    async def configure(self, version) -> float:
        """Writes a configuration with a route ``/vN/`` for each version N so far."""
        rules = [
            build_rule("/safe/"),
            build_rule("/once/", kind="unsafe"),
            build_rule("/solo/", service="service-b"),
            build_rule("/late/", service="service-c"),
        ]
        rules += [build_rule(f"/v{n}/") for n in range(FIRST_VERSION, version + 1)]
        await self.store.put(
            "op/config", build_configuration(*rules, version=version, services=SERVICES)
        )
        return time.monotonic()

    async def add_upstream(self, identifier, **options):
        upstream = await self.site.add_upstream(identifier, **options)
        self.by_id[identifier] = upstream
        self.states[identifier] = "ready"
        return upstream

    async def add_node(self, name, domain, **changes):
        endpoint = await self.store.open_endpoint()
        # A node that starts while the store is away cannot reach it either.
        if self.endpoints:
            endpoint.fault = self.endpoints[0].fault
        self.endpoints.append(endpoint)
        return await self.site.add_node(
            name, endpoint=endpoint, domain=domain, **changes
        )

    async def report(self, identifier, state="ready", **options) -> float:
        """Writes the next report of an upstream; returns when it was acknowledged."""
        self.states[identifier] = state
        entry = self.by_id[identifier].describe(state, **options)
        await self.store.put(f"servers/{identifier}", entry)
        return time.monotonic()

    async def remove(self, identifier) -> float:
        self.states.pop(identifier, None)
        await self.store.remove(f"servers/{identifier}")
        return time.monotonic()

    async def write_others(self, count=LOST_WRITES) -> None:
        """Writes heartbeats of the upstreams and records of no meaning in turn."""
        for number in range(count):
            identifiers = sorted(self.states)
            if number % 2 and identifiers:
                identifier = identifiers[number // 2 % len(identifiers)]
                await self.report(identifier, self.states[identifier])
            else:
                await self.store.put(f"elsewhere/{number}", number)

    async def write_again(self, *without) -> None:
        """Lets the registered upstreams write their entries again."""
        for identifier, state in self.states.items():
            if identifier not in without:
                await self.report(identifier, state)

    async def lose(self, fault="reset") -> None:
        """Makes the store unavailable to all instances for ``OUTAGE_S``."""
        self.lost_at = time.monotonic()
        for endpoint in self.endpoints:
            endpoint.fault = fault
            if fault == "reset":
                endpoint.reset_connections()
        await asyncio.sleep(OUTAGE_S)

    async def bring_back(self, saved) -> None:
        """Makes the store available as it was when the copy was made."""
        await self.store.restore(saved)
        for endpoint in self.endpoints:
            endpoint.fault = ""
        self.returned_at = time.monotonic()

    async def replay(self, saved) -> None:
        """Loses the store and brings it back."""
        await self.lose()
        await self.bring_back(saved)

    async def wait_since(self, moment, seconds) -> None:
        await asyncio.sleep(max(0.0, moment + seconds - time.monotonic()))

    async def call_steadily(self) -> None:
        """Sends requests to all nodes until cancelled."""
        while True:
            for node in self.nodes:
                for path in self.paths:
                    call = asyncio.create_task(self._call(node, path))
                    self._calls.add(call)
                    call.add_done_callback(self._calls.discard)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _call(self, node, path) -> None:
        self._count += 1
        sent_at = time.monotonic()
        method = "POST" if path == ONCE else "GET"
        request_id = f"r{self._count}"
        try:
            status, _, _ = await node.call(path, method, request_id)
        except aiohttp.ClientError:
            status = None
        self.responses.append(Response(node.name, path, sent_at, status))

    async def sample_steadily(self) -> None:
        """Reads what all nodes know until cancelled."""
        while True:
            for node in self.nodes:
                knowledge = (await node.read_state())["knowledge"]
                self.samples.append(
                    Sample(
                        node.name,
                        time.monotonic(),
                        knowledge["version"],
                        knowledge["evacuated_domains"],
                    )
                )
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def find_refused(self, path=SAFE, since=0.0, until=float("inf")) -> list:
        """Returns node, status and time since the return of requests without 200."""
        return [
            (response.node, response.status, round(response.sent_at - self.lost_at, 2))
            for response in self.responses
            if response.path == path
            and since <= response.sent_at <= until
            and response.status != 200
        ]

    def find_runs(self, identifier, since, until=float("inf")) -> list[float]:
        """Returns the times after ``since`` at which requests reached an upstream."""
        return [
            round(run.started_at - since, 2)
            for run in self.by_id[identifier].runs
            if since < run.started_at <= until
        ]

    async def check_in_force(self, path, acknowledged_at, nodes=None) -> None:
        """Checks that a change which adds a route is in force on all nodes in time."""
        names = {node.name for node in nodes or self.nodes}
        self.paths.add(path)
        due_at = acknowledged_at + CONFIG_APPLY_S
        await self.wait_since(max(due_at, time.monotonic()), OBSERVATION_S)
        self.paths.discard(path)
        await asyncio.gather(*self._calls)
        served = {
            name: min(
                (
                    round(response.sent_at - acknowledged_at, 2)
                    for response in self.responses
                    if response.path == path
                    and response.node == name
                    and response.status == 200
                    and response.sent_at >= acknowledged_at
                ),
                default=None,
            )
            for name in names
        }
        print(f"{path}: seconds from acknowledgement to the first success: {served}")
        called = {
            response.node
            for response in self.responses
            if response.path == path and response.sent_at > due_at
        }
        assert called >= names
        assert [row for row in self.find_refused(path, due_at) if row[0] in names] == []

    async def check_not_used(self, identifier, since, observed_until) -> None:
        """Checks that no request reaches an upstream from a time on."""
        await self.wait_since(observed_until, 0.0)
        assert self.find_runs(identifier, since) == []

    def check_served(self) -> None:
        """Checks that no request was refused since the store was lost."""
        assert any(response.sent_at > self.returned_at for response in self.responses)
        assert self.find_refused(SAFE) == []

    def check_versions(self, minimum) -> None:
        """Checks that no node went back from a version or below one."""
        latest: dict[str, int] = {}
        assert any(sample.at > self.returned_at for sample in self.samples)
        for sample in self.samples:
            if sample.at < self.lost_at:
                continue
            late_s = round(sample.at - self.returned_at, 2)
            known = latest.get(sample.node, minimum)
            assert sample.version >= known, (sample.node, late_s)
            latest[sample.node] = sample.version

    def check_logged_versions(self, node) -> None:
        """Checks that a node has not gone back since its start, from any source."""
        lines = node.find_lines("configuration in force")
        versions = [line["version"] for line in lines]
        print(f"{node.name}: {[(line['version'], line['source']) for line in lines]}")
        assert versions
        assert versions == sorted(versions)

    def find_registrations(self) -> dict[str, int]:
        """Returns the lease of each registered node; those without a lease lack."""
        return {
            key.removeprefix(NODE_PREFIX): item.lease
            for key, item in self.store.items.items()
            if key.startswith(NODE_PREFIX) and self.store.has_lease(item.lease)
        }


@pytest.fixture
async def drill(empty_site):
    """Three registered nodes in two failure domains, with requests to each.

    Two upstreams of a service are in domain ``a`` and one is in ``b``; another service
    has one upstream, a third has none.
    """
    drill = Drill(empty_site)
    await drill.configure(FIRST_VERSION)
    for identifier, zone in (("u0", "a"), ("u1", "b"), ("u2", "a")):
        await drill.add_upstream(identifier, zone=zone)
    await drill.add_upstream("solo", service="service-b")
    drill.copy_before_start = drill.store.make_copy()
    for number in range(3):
        await drill.add_node(f"node-{number}", "ab"[number % 2])
    for node in empty_site.nodes:
        await node.wait_ready()
    for node in empty_site.nodes:
        await wait_until(lambda node=node: knows_all(node, empty_site.nodes))
    await wait_until(lambda: len(drill.find_registrations()) == 3)
    drill.nodes = [*empty_site.nodes]
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(drill.call_steadily()),
            group.create_task(drill.sample_steadily()),
        ]
        await asyncio.sleep(1.0)
        yield drill
        for task in tasks:
            task.cancel()


async def make_copy_with_lost_writes(drill):
    """Returns a copy that lacks the latest writes, which all nodes know."""
    saved = drill.store.make_copy()
    await drill.write_others()
    await asyncio.sleep(1.0)
    return saved


@pytest.mark.parametrize("fault", ["reset", "busy", "silent"])
async def test_configuration_written_after_the_return_is_in_force(drill, fault):
    """Guards against a new version that is dropped because its revision is lower."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.lose(fault)
    await drill.bring_back(saved)

    acknowledged_at = await drill.configure(FIRST_VERSION + 1)

    await drill.check_in_force("/v11/x", acknowledged_at)
    drill.check_versions(FIRST_VERSION)
    drill.check_served()


async def test_lost_configuration_that_is_written_again_stays_in_force(drill):
    """Guards against a gap in force of a version that the copy lacks."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.check_in_force("/v11/x", await drill.configure(FIRST_VERSION + 1))
    drill.paths.add("/v11/x")
    await drill.replay(saved)

    await drill.write_others(3)
    await asyncio.sleep(1.0)
    await drill.configure(FIRST_VERSION + 1)
    await asyncio.sleep(2.0)
    await drill.check_in_force("/v12/x", await drill.configure(FIRST_VERSION + 2))

    assert drill.find_refused("/v11/x", drill.lost_at) == []
    drill.check_versions(FIRST_VERSION + 1)
    drill.check_served()


async def test_configuration_that_no_instance_saw_is_in_force_when_written_again(drill):
    """Guards against a version that was lost before any instance had read it."""
    saved = await make_copy_with_lost_writes(drill)
    loss = asyncio.create_task(drill.lose())
    await asyncio.sleep(OUTAGE_S / 2)
    await drill.configure(FIRST_VERSION + 1)
    await loss
    await drill.bring_back(saved)

    await drill.write_others(3)
    acknowledged_at = await drill.configure(FIRST_VERSION + 1)

    await drill.check_in_force("/v11/x", acknowledged_at)
    drill.check_served()


async def test_upstream_that_registers_after_the_return_gets_requests(drill):
    """Guards against a new upstream that is dropped because of its lower revision."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.replay(saved)

    await drill.write_again()
    await drill.add_upstream("late", service="service-c")
    acknowledged_at = time.monotonic()

    await drill.check_in_force(LATE, acknowledged_at)
    drill.check_served()


async def test_upstream_that_drains_after_the_return_gets_no_more_requests(drill):
    """Guards against a report of draining that is dropped with its lower revision."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.replay(saved)
    assert drill.find_runs("u0", drill.lost_at - 1.0)

    await drill.write_again()
    draining_at = await drill.report("u0", "draining")

    late_at = draining_at + DRAIN_TIMEOUT_S
    await drill.check_not_used("u0", late_at, late_at + 2.0)
    drill.check_served()


async def test_no_instance_goes_back_to_an_older_configuration(drill):
    """Guards against the copy's configuration until the operator writes again."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.check_in_force("/v11/x", await drill.configure(FIRST_VERSION + 1))
    drill.paths.add("/v11/x")
    await drill.replay(saved)
    await drill.write_again()

    await drill.wait_since(drill.returned_at, CARRY_OVER_S)

    assert drill.find_refused("/v11/x", drill.lost_at) == []
    drill.check_versions(FIRST_VERSION + 1)
    drill.check_served()


async def test_upstream_that_drains_is_not_used_although_the_copy_says_ready(drill):
    """Guards against an older report of the copy, until the next one and after it."""
    saved = await make_copy_with_lost_writes(drill)
    assert drill.find_runs("u0", time.monotonic() - 1.0)
    draining_at = await drill.report("u0", "draining")
    await drill.wait_since(draining_at, DRAIN_TIMEOUT_S)
    await drill.replay(saved)

    await drill.write_again("u0")
    await drill.wait_since(drill.returned_at, 1.5)
    await drill.report("u0", "draining")

    late_at = draining_at + DRAIN_TIMEOUT_S
    await drill.check_not_used("u0", late_at, drill.returned_at + CARRY_OVER_S)
    drill.check_served()


async def test_upstream_that_was_removed_is_not_used_although_the_copy_has_it(drill):
    """Guards against a removed upstream of the copy, and against a ban of its id."""
    drill.paths.add(SOLO)
    await asyncio.sleep(0.5)
    saved = await make_copy_with_lost_writes(drill)
    assert drill.find_runs("solo", time.monotonic() - 1.0)
    removed_at = await drill.remove("solo")
    await drill.wait_since(removed_at, DRAIN_TIMEOUT_S)
    await drill.replay(saved)

    await drill.write_again()
    await drill.wait_since(drill.returned_at, 2.0)
    # The store removes the entry again, as nobody renews it.
    await drill.remove("solo")

    late_at = removed_at + DRAIN_TIMEOUT_S
    await drill.check_not_used("solo", late_at, drill.returned_at + CARRY_OVER_S)
    drill.paths.discard(SOLO)
    await drill.check_in_force(SOLO, await drill.report("solo", born=2))
    drill.check_served()


async def register_after_the_copy(drill):
    """Returns a copy without the only upstream of a service that is in use."""
    saved = drill.store.make_copy()
    await drill.add_upstream("late", service="service-c")
    await drill.check_in_force(LATE, time.monotonic())
    await drill.write_others()
    drill.paths.add(LATE)
    await asyncio.sleep(0.5)
    return saved


async def test_upstream_missing_from_the_copy_is_kept_if_it_registers_again(drill):
    """Guards against refused requests until a live upstream registers again."""
    saved = await register_after_the_copy(drill)
    await drill.replay(saved)

    await drill.write_again("late")
    await drill.wait_since(drill.returned_at, 1.5)
    await drill.report("late")
    await drill.wait_since(drill.returned_at, 5.0)

    assert drill.find_refused(LATE, drill.lost_at) == []
    drill.check_served()


async def test_upstream_missing_from_the_copy_is_dropped_if_it_stays_away(drill):
    """Guards against a gone upstream that stays in use, or a live one dropped soon."""
    saved = await register_after_the_copy(drill)
    await drill.replay(saved)

    await drill.write_again("late")
    gone_at = drill.returned_at + REREGISTRATION_S
    await drill.check_not_used(
        "late", gone_at + DRAIN_TIMEOUT_S, gone_at + DRAIN_TIMEOUT_S + 2.0
    )

    assert drill.find_refused(LATE, drill.lost_at, gone_at) == []
    drill.check_served()


async def check_evacuation(drill, expected, since) -> None:
    """Checks what all nodes say of the evacuated domains from a time on."""
    samples = [sample for sample in drill.samples if sample.at > since]
    assert {sample.node for sample in samples} == {node.name for node in drill.nodes}
    assert [
        (sample.node, round(sample.at - drill.returned_at, 2))
        for sample in samples
        if sample.evacuated != expected
    ] == []


async def test_evacuation_started_since_the_copy_goes_on(drill):
    """Guards against requests to an evacuated domain, and one that never ends."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.store.put("op/evacuate/a", b"")
    started_at = time.monotonic()
    await drill.wait_since(started_at, CONFIG_APPLY_S)
    await drill.replay(saved)
    await drill.write_again()

    await drill.wait_since(drill.returned_at, CARRY_OVER_S)
    await drill.store.put("op/evacuate/a", b"")
    await asyncio.sleep(1.0)
    await check_evacuation(drill, ["a"], started_at + CONFIG_APPLY_S)
    assert drill.find_runs("u0", started_at + CONFIG_APPLY_S) == []
    assert drill.find_runs("u2", started_at + CONFIG_APPLY_S) == []

    await drill.store.remove("op/evacuate/a")
    due_at = time.monotonic() + CONFIG_APPLY_S
    await drill.wait_since(due_at, 1.0)
    await check_evacuation(drill, [], due_at)
    drill.check_served()


async def test_evacuation_ended_since_the_copy_does_not_start_again(drill):
    """Guards against an evacuation that only the copy holds, and one that is missed."""
    await drill.store.put("op/evacuate/a", b"")
    await asyncio.sleep(CONFIG_APPLY_S)
    saved = await make_copy_with_lost_writes(drill)
    await drill.store.remove("op/evacuate/a")
    ended_at = time.monotonic()
    await drill.wait_since(ended_at, CONFIG_APPLY_S)
    await drill.replay(saved)
    await drill.write_again()

    await drill.wait_since(drill.returned_at, CARRY_OVER_S)
    await drill.store.remove("op/evacuate/a")
    await asyncio.sleep(1.0)
    await check_evacuation(drill, [], ended_at + CONFIG_APPLY_S)

    await drill.store.put("op/evacuate/a", b"")
    due_at = time.monotonic() + CONFIG_APPLY_S
    await drill.wait_since(due_at, 1.0)
    await check_evacuation(drill, ["a"], due_at)
    drill.check_served()


def check_registrations(drill, nodes) -> None:
    """Checks that nodes are registered, each with a lease of its own."""
    registrations = drill.find_registrations()
    late_s = round(time.monotonic() - drill.returned_at, 2)
    assert set(registrations) >= {node.name for node in nodes}, late_s
    assert len(set(registrations.values())) == len(registrations)


async def test_lost_registrations_are_back_with_new_leases(drill):
    """Guards against instances that renew a lease which is now that of another one."""
    await drill.write_others()
    await asyncio.sleep(1.0)
    await drill.replay(drill.copy_before_start)
    await drill.write_again()

    await drill.wait_since(drill.returned_at, REGISTRATION_S)
    while time.monotonic() < drill.returned_at + LEASE_S:
        check_registrations(drill, drill.nodes)
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    assert all("lease-end" not in call for e in drill.endpoints for call in e.calls)
    drill.check_served()


async def test_registrations_of_the_copy_stay_with_valid_leases(drill):
    """Guards against registrations that lapse as their leases are not renewed."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.replay(saved)
    await drill.write_again()

    while time.monotonic() < drill.returned_at + LEASE_S:
        check_registrations(drill, drill.nodes)
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    drill.check_served()


async def test_second_return_within_two_seconds(drill):
    """Guards against instances that take the second return for the first one."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.check_in_force("/v11/x", await drill.configure(FIRST_VERSION + 1))
    drill.paths.add("/v11/x")
    await drill.replay(saved)
    first_lost_at, first_returned_at = drill.lost_at, drill.returned_at
    await drill.configure(FIRST_VERSION + 2)
    await drill.write_again()
    await asyncio.sleep(0.5)
    await drill.replay(saved)
    assert drill.returned_at - first_returned_at < 2.0

    await drill.write_again()
    draining_at = await drill.report("u0", "draining")
    await drill.configure(FIRST_VERSION + 2)
    await drill.check_in_force("/v13/x", await drill.configure(FIRST_VERSION + 3))
    late_at = draining_at + DRAIN_TIMEOUT_S
    await drill.check_not_used("u0", late_at, late_at + 2.0)

    drill.lost_at = first_lost_at
    assert drill.find_refused("/v11/x", first_lost_at) == []
    drill.check_versions(FIRST_VERSION + 1)
    drill.check_served()


async def test_return_during_a_series_of_configurations(drill):
    """Guards against versions that are late or go back while others follow."""
    acknowledged_at: dict[int, float] = {}
    version = FIRST_VERSION

    async def publish(count):
        nonlocal version
        for _ in range(count):
            version += 1
            acknowledged_at[version] = await drill.configure(version)
            await asyncio.sleep(0.1)

    await publish(5)
    saved = drill.store.make_copy()
    await drill.write_others()
    await publish(10)
    await drill.replay(saved)
    # Nothing was acknowledged meanwhile; what was lost counts from the next writes.
    for lost in [n for n in acknowledged_at if acknowledged_at[n] < drill.lost_at]:
        acknowledged_at.pop(lost)
    await publish(30)
    await asyncio.sleep(CONFIG_APPLY_S + OBSERVATION_S)

    late = [
        (sample.node, sample.version, number)
        for number, written_at in acknowledged_at.items()
        for sample in drill.samples
        if sample.at > written_at + CONFIG_APPLY_S and sample.version < number
    ]
    print(f"{len(late)} samples of a version that was late")
    assert late[:5] == []
    drill.check_versions(FIRST_VERSION)
    drill.check_served()


async def test_return_while_a_reader_stops_and_an_instance_starts(drill):
    """Guards against a hand-over of the reader to one with older knowledge."""
    saved = await make_copy_with_lost_writes(drill)
    reader = find_readers(drill.site)[0]
    await drill.lose()
    drill.nodes.remove(reader)
    reader.send_signal(signal.SIGTERM)
    await drill.bring_back(saved)
    seeds = [node.settings["peer_listen"] for node in drill.site.nodes]
    added = await drill.add_node(
        "node-3", reader.settings["failure_domain"], seeds=seeds
    )

    await drill.write_again()
    await drill.check_in_force("/v11/x", await drill.configure(FIRST_VERSION + 1))
    await added.wait_ready()
    drill.nodes.append(added)
    await drill.wait_since(drill.returned_at, REGISTRATION_S)
    check_registrations(drill, [node for node in drill.nodes if node is not added])
    draining_at = await drill.report("u0", "draining")
    late_at = draining_at + DRAIN_TIMEOUT_S
    await drill.check_not_used("u0", late_at, late_at + 1.0)
    await drill.check_in_force("/v12/x", await drill.configure(FIRST_VERSION + 2))

    assert await reader.wait_exit() == 0
    drill.check_logged_versions(added)
    drill.check_versions(FIRST_VERSION)
    drill.check_served()


async def test_all_requests_are_served_during_the_return(drill):
    """Guards against requests that are refused because of the return."""
    drill.paths |= {ONCE, SOLO}
    saved = await make_copy_with_lost_writes(drill)
    await drill.replay(saved)
    await asyncio.sleep(1.0)
    await drill.write_again()

    await drill.wait_since(drill.returned_at, 8.0)

    for path in (SAFE, ONCE, SOLO):
        assert drill.find_refused(path) == []
    drill.check_served()


@pytest.mark.parametrize("starts", ["while the store is away", "after the return"])
async def test_instance_that_starts_during_the_return(drill, starts):
    """Guards against an instance that keeps the records of a peer of another era."""
    saved = await make_copy_with_lost_writes(drill)
    seeds = [node.settings["peer_listen"] for node in drill.nodes]
    loss = asyncio.create_task(drill.lose())
    await asyncio.sleep(OUTAGE_S / 2)
    if starts == "while the store is away":
        added = await drill.add_node("node-3", "b", seeds=seeds)
    await loss
    await drill.bring_back(saved)
    if starts == "after the return":
        added = await drill.add_node("node-3", "b", seeds=seeds)

    await drill.write_again()
    await drill.check_in_force("/v11/x", await drill.configure(FIRST_VERSION + 1))
    await added.wait_ready()
    drill.nodes.append(added)
    drill.paths.add("/v11/x")
    acknowledged_at = await drill.configure(FIRST_VERSION + 2)
    draining_at = await drill.report("u0", "draining")
    await drill.check_in_force("/v12/x", acknowledged_at)

    late_at = draining_at + DRAIN_TIMEOUT_S
    await drill.check_not_used("u0", late_at, late_at + 1.0)
    assert drill.find_refused("/v11/x", acknowledged_at) == []
    drill.check_logged_versions(added)
    drill.check_versions(FIRST_VERSION)
    drill.check_served()


async def test_instance_that_starts_before_the_return_does_not_go_back(drill):
    """Guards against the copy's version after that of a peer, and the reverse.

    The instance starts while the store is away and the peers know a version that the
    copy lacks.
    """
    saved = await make_copy_with_lost_writes(drill)
    await drill.check_in_force("/v11/x", await drill.configure(FIRST_VERSION + 1))
    seeds = [node.settings["peer_listen"] for node in drill.nodes]
    loss = asyncio.create_task(drill.lose())
    await asyncio.sleep(0)
    added = await drill.add_node("node-3", "b", seeds=seeds)
    await loss
    await drill.bring_back(saved)

    await drill.write_again()
    await drill.wait_since(drill.returned_at, CARRY_OVER_S)
    await drill.configure(FIRST_VERSION + 1)
    await drill.check_in_force("/v12/x", await drill.configure(FIRST_VERSION + 2))
    await added.wait_ready()

    drill.check_logged_versions(added)
    drill.check_versions(FIRST_VERSION + 1)
    drill.check_served()


async def test_instance_that_starts_after_the_return_takes_no_older_version(drill):
    """Guards against a peer that sends the version of before the return."""
    saved = await make_copy_with_lost_writes(drill)
    await drill.check_in_force("/v11/x", await drill.configure(FIRST_VERSION + 1))
    await drill.replay(saved)
    await drill.write_again()
    await drill.configure(FIRST_VERSION + 1)
    acknowledged_at = await drill.configure(FIRST_VERSION + 2)
    await drill.wait_since(acknowledged_at, CONFIG_APPLY_S)

    seeds = [node.settings["peer_listen"] for node in drill.nodes]
    added = await drill.add_node("node-3", "b", seeds=seeds)
    await added.wait_ready()
    drill.nodes.append(added)
    await asyncio.sleep(CONFIG_APPLY_S)

    drill.check_logged_versions(added)
    await drill.check_in_force("/v12/x", acknowledged_at)
    drill.check_versions(FIRST_VERSION + 1)
    drill.check_served()


@pytest.mark.parametrize("known", ["never evacuated", "evacuated until before"])
async def test_evacuation_written_right_after_the_return_starts_in_time(drill, known):
    """Guards against a start that is taken for a record of the copy.

    The readers first see it among all records.
    """
    if known == "evacuated until before":
        await drill.store.put("op/evacuate/a", b"")
        await asyncio.sleep(CONFIG_APPLY_S)
        await drill.store.remove("op/evacuate/a")
        await asyncio.sleep(CONFIG_APPLY_S)
    saved = await make_copy_with_lost_writes(drill)
    await drill.replay(saved)

    await drill.store.put("op/evacuate/a", b"")
    due_at = time.monotonic() + CONFIG_APPLY_S
    await drill.write_again()
    await drill.wait_since(due_at, 1.0)

    await check_evacuation(drill, ["a"], due_at)
    assert drill.find_runs("u0", due_at) == []
    drill.check_served()


async def test_evacuation_that_ends_right_after_the_return_ends_in_time(drill):
    """Guards against an end that is taken for a record that the copy lacks."""
    await drill.store.put("op/evacuate/a", b"")
    await asyncio.sleep(CONFIG_APPLY_S)
    saved = await make_copy_with_lost_writes(drill)
    await drill.replay(saved)

    await drill.store.remove("op/evacuate/a")
    due_at = time.monotonic() + CONFIG_APPLY_S
    await drill.write_again()
    await drill.wait_since(due_at, 1.0)

    await check_evacuation(drill, [], due_at)
    drill.check_served()
