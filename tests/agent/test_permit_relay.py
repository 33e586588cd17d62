import asyncio
from typing import Any

from tests.agent.memory_overlay import MemoryOverlay
from tests.fake_clock import FakeClock
from tests.fake_store import FakeStore
from verbenacross.agent.peer_sender import PeerSender
from verbenacross.agent.permit_coordinator import REBUILD_WAIT_S
from verbenacross.agent.permit_relay import PermitRelay
from verbenacross.agent.service_policies import ServicePolicies
from verbenacross.agent.shard_ownership import ShardOwnership
from verbenacross.infrastructure.instance_list import AGENT_SERVICE, Instance
from verbenacross.policy import PolicyTable
from verbenacross.protocol.messages import PermitReport, PermitRequest
from verbenacross.settings import Address
from verbenacross.upstreams import (
    ObservationReporter,
    ObservationTable,
    UpstreamDirectory,
)

ADDRESS = Address("127.0.0.1", 80)


class RelayGroup:
    """Relays of several agents on one store; one slot on one upstream."""

    def __init__(self, *names: str) -> None:
        self.clock = FakeClock()
        self.store = FakeStore(self.clock)
        self.overlay = MemoryOverlay(*names)
        self.granted: dict[str, list[Any]] = {name: [] for name in names}
        self.ownership: dict[str, ShardOwnership] = {}
        self.relays: dict[str, PermitRelay] = {}
        self.paused: set[str] = set()
        self.observations = ObservationTable(self.clock)
        directory = UpstreamDirectory()
        agents = [Instance(name, AGENT_SERVICE, ADDRESS, "a") for name in names]
        directory.replace([*agents, Instance("u0", "web", ADDRESS, "a")])
        for name in names:
            self._add_agent(name, directory)

    def _add_agent(self, name: str, directory: UpstreamDirectory) -> None:
        network = self.overlay.networks[name]
        ownership = ShardOwnership(name, 1, network, self.store, self.clock)
        relay = PermitRelay(
            name,
            network,
            PeerSender(network),
            ownership,
            directory,
            self.observations,
            ServicePolicies(PolicyTable()),
            self.granted[name].append,
            self.clock,
        )
        network.messages.subscribe(
            lambda m: relay.handle_peer_message(m.sender, m.message)
        )
        self.ownership[name] = ownership
        self.relays[name] = relay

    async def wait(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            self.clock.now += 0.5
            for name, ownership in self.ownership.items():
                if name not in self.paused:
                    await ownership.step()
            await self.exchange()

    async def exchange(self) -> None:
        for _ in range(6):
            await asyncio.sleep(0)
            self.overlay.deliver(1)

    async def request(self, name: str, permit: str) -> bool:
        request = PermitRequest(permit, "web", 2_000, (), 1)
        self.relays[name].handle_entry_message(request)
        await self.exchange()
        return any(grant.permit == permit for grant in self.granted[name])

    def find_holder(self) -> str:
        (holder,) = [
            name for name, ownership in self.ownership.items() if ownership.holds(0)
        ]
        return holder


async def test_all_agents_ask_the_holder_and_it_keeps_the_share():
    """The agents together must grant the slot once, not once per agent."""
    agents = RelayGroup("a", "b", "c")
    await agents.wait(REBUILD_WAIT_S + 2)
    assert [await agents.request(name, f"p-{name}") for name in "abc"].count(True) == 1


async def test_request_that_reaches_another_agent_is_sent_on_to_the_holder():
    """Requests must not be lost while agents disagree on the live members."""
    agents = RelayGroup("a", "b")
    await agents.wait(REBUILD_WAIT_S + 2)
    holder = agents.find_holder()
    other = "b" if holder == "a" else "a"
    agents.overlay.alive = [other]
    await agents.wait(1)
    await agents.request(other, "p1")
    assert await agents.request(other, "p1")


async def test_new_coordinator_waits_for_reports():
    """A slot must not be granted again after the coordinator has crashed."""
    agents = RelayGroup("a", "b")
    await agents.wait(REBUILD_WAIT_S + 2)
    holder = agents.find_holder()
    other = "b" if holder == "a" else "a"
    assert await agents.request(other, "p1")
    agents.paused.add(holder)
    agents.overlay.partitioned.add(holder)
    agents.overlay.alive = [other]
    await agents.wait(9)
    while not agents.ownership[other].holds(0):
        await agents.wait(0.5)
    assert not await agents.request(other, "p2")
    agents.relays[other].handle_entry_message(PermitReport("p1", "web", "u0"))
    await agents.wait(REBUILD_WAIT_S)
    assert not await agents.request(other, "p2")


async def test_closing_coordinator_hands_its_permits_over():
    """A slot must not be granted again after the coordinator has shut down."""
    agents = RelayGroup("a", "b")
    await agents.wait(REBUILD_WAIT_S + 2)
    holder = agents.find_holder()
    other = "b" if holder == "a" else "a"
    assert await agents.request(holder, "p1")
    await agents.ownership[holder].close()
    await agents.exchange()
    assert agents.relays[other].dump_state()["web"]["held"] == {"u0": 1}


async def test_store_outage_leaves_one_coordinator_on_the_side_of_the_majority():
    """During a store outage the slot must be granted, but only on the majority side."""
    agents = RelayGroup("a", "b", "c")
    agents.store.down = True
    await agents.wait(5)
    assert not await agents.request("a", "p0")
    await agents.wait(10)
    for name in "abc":
        await agents.request(name, f"p-{name}")
    assert sum(map(len, agents.granted.values())) == 1
    isolated = RelayGroup("a", "b", "c")
    isolated.store.down = True
    isolated.overlay.alive = ["a"]
    await isolated.wait(15)
    assert not await isolated.request("a", "p1")


async def test_draining_upstream_gets_no_permit():
    """No long request may be sent to a draining upstream."""
    agents = RelayGroup("a")
    await agents.wait(REBUILD_WAIT_S + 2)
    ObservationReporter(agents.observations, "a").report_state("u0", "draining")
    assert not await agents.request("a", "p1")
